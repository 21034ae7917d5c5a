"""The agent's service for claims on writes."""

import logging
import time

import mode

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.settings import options
from tanagerspoke.state import claims
from tanagerspoke.transport import platform_client

log = logging.getLogger(__name__)


class ClaimService(mode.Service):
    """Writes claims and outcome records to the platform's table."""

    def __init__(
        self,
        *,
        cfg: options.Store,
        platform: platform_client.PlatformClient,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._platform = platform

    async def claim(self, request: agent.ClaimRequest) -> agent.ClaimReply:
        """Inserts the claim row if it is absent."""
        key = claims.row_key(
            client_account=request.client_account,
            service=request.service,
            key=request.key,
        )
        row = claims.ClaimRow(
            attempt_id=request.attempt_id,
            digest=request.digest,
            state=claims.ClaimState.CLAIMED,
            deadline_at_ms=int(time.time() * 1000) + request.deadline_ms,
        )
        try:
            reply = await self._platform.transact(
                _put(key, platform.Absent(), row)
            )
        except exceptions.PlatformError:
            return agent.StoreUnavailable(retry_after_s=1.0)
        match reply:
            case platform.Committed():
                return agent.Granted()
            case platform.Rejected(conflicts=(conflict, *_)):
                return _existing(request, claims.decode(conflict.row.value))
        return agent.StoreUnavailable(retry_after_s=1.0)

    async def complete(
        self, request: agent.CompleteRequest
    ) -> agent.CompleteReply:
        """Writes the outcome record."""
        key = claims.row_key(
            client_account=request.client_account,
            service=request.service,
            key=request.key,
        )
        state = claims.ClaimState.UNKNOWN
        answer = None
        match request.result:
            case agent.Finished(status=status, headers=headers, body=body):
                state = claims.ClaimState.FINISHED
                answer = claims.StoredAnswer(
                    status=status, headers=headers, body=body
                )
            case agent.NotRun():
                state = claims.ClaimState.RELEASED
        await self._platform.transact(
            _put(
                key,
                platform.Always(),
                claims.ClaimRow(
                    attempt_id=request.attempt_id,
                    digest=request.digest,
                    state=state,
                    deadline_at_ms=0,
                    answer=answer,
                ),
            )
        )
        return agent.CompleteReply()


def _put(
    key: str, condition: platform.Condition, row: claims.ClaimRow
) -> platform.Transaction:
    return platform.Transaction(
        operations=(
            platform.Operation(
                key=key,
                condition=condition,
                write=platform.Put(value=claims.encode(row)),
            ),
        )
    )


def _existing(
    request: agent.ClaimRequest, row: claims.ClaimRow
) -> agent.ClaimReply:
    if row.digest != request.digest:
        return agent.KeyReused()
    match row.state:
        case claims.ClaimState.FINISHED if row.answer is not None:
            return agent.Replay(
                status=row.answer.status,
                headers=row.answer.headers,
                body=row.answer.body,
            )
        case claims.ClaimState.CLAIMED:
            return agent.InProgress(retry_after_s=1.0)
    return agent.OutcomeUnknown()
