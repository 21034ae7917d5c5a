"""Writes with an idempotency key, from claim to outcome record."""

from collections.abc import Awaitable, Callable
import hashlib
import logging
import time
from typing import TypeAlias
import uuid

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.state import config
from tanagerspoke.state import declarations
from tanagerspoke.transport import caller_server
from tanagerspoke.transport import dispatcher
from tanagerspoke.transport import grpc_agent
from tanagerspoke.transport import upstream_client

log = logging.getLogger(__name__)

_COMPLETE_TIMEOUT_S = 2.0

Dispatch: TypeAlias = Callable[
    [calls.Call, caller_server.CallerRequest],
    Awaitable[caller_server.CallerAnswer],
]


class KeyedWrites:
    """Runs each write of one key at most once, by way of the agent."""

    def __init__(self, *, agent_client: grpc_agent.AgentClient) -> None:
        self._agent = agent_client

    async def run(
        self,
        *,
        call: calls.Call,
        request: caller_server.CallerRequest,
        route: config.Route,
        dispatch: Dispatch,
    ) -> caller_server.CallerAnswer:
        """Claims the write, dispatches it and records its outcome.

        Raises:
            CallRefusedError: the write is proven not run.
            CallFailedError: the outcome of the write is unknown.
        """
        if request.key is None:
            if route.key_rule is declarations.KeyRule.REQUIRED:
                raise exceptions.CallRefusedError(
                    code=errors.ErrorCode.KEY_REQUIRED,
                    message="this write needs the header Idempotency-Key",
                )
            return await dispatch(call, request)
        claim = _claim_request(call, request)
        replayed = await self._claim(claim, call)
        if replayed is not None:
            return replayed
        try:
            answered = await dispatch(call, request)
        except exceptions.CallRefusedError:
            await self._complete(claim, agent.NotRun())
            raise
        except dispatcher.CallFailedError:
            await self._complete(claim, agent.Unknown())
            raise
        answer = answered.answer
        await self._complete(
            claim,
            agent.Finished(
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
            ),
        )
        return answered

    async def _claim(
        self, claim: agent.ClaimRequest, call: calls.Call
    ) -> caller_server.CallerAnswer | None:
        try:
            reply = await self._agent.claim(
                claim, timeout_s=max(0.0, call.deadline - time.monotonic())
            )
        except exceptions.AgentUnavailableError as exc:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.AGENT_UNAVAILABLE,
                message=str(exc),
                retry_after_s=1.0,
            ) from exc
        match reply:
            case agent.Granted():
                return None
            case agent.Replay():
                return caller_server.CallerAnswer(
                    answer=upstream_client.Answer(
                        status=reply.status,
                        headers=reply.headers,
                        body=reply.body,
                    ),
                    outcome=errors.Outcome.REPLAYED,
                )
        raise _claim_refusal(reply)

    async def _complete(
        self,
        claim: agent.ClaimRequest,
        result: agent.Finished | agent.NotRun | agent.Unknown,
    ) -> None:
        try:
            await self._agent.complete(
                agent.CompleteRequest(
                    client_account=claim.client_account,
                    service=claim.service,
                    key=claim.key,
                    digest=claim.digest,
                    attempt_id=claim.attempt_id,
                    result=result,
                ),
                timeout_s=_COMPLETE_TIMEOUT_S,
            )
        except exceptions.AgentUnavailableError as exc:
            log.warning(
                "outcome_not_recorded",
                extra={
                    "client_account": claim.client_account,
                    "service": claim.service,
                    "error": str(exc),
                },
            )


def _claim_request(
    call: calls.Call, request: caller_server.CallerRequest
) -> agent.ClaimRequest:
    digest = hashlib.sha256(
        f"{request.method} {request.path}\n".encode() + request.body
    )
    return agent.ClaimRequest(
        client_account=request.client_account,
        service=request.service,
        key=request.key or "",
        digest=digest.hexdigest(),
        attempt_id=uuid.uuid4().hex,
        deadline_ms=int((call.deadline - call.arrived_at) * 1000),
    )


def _claim_refusal(reply: agent.ClaimReply) -> Exception:
    match reply:
        case agent.InProgress(retry_after_s=retry_after_s):
            return exceptions.CallRefusedError(
                code=errors.ErrorCode.IN_PROGRESS,
                message="an earlier request with this key still runs",
                retry_after_s=retry_after_s,
            )
        case agent.KeyReused():
            return exceptions.CallRefusedError(
                code=errors.ErrorCode.KEY_REUSED,
                message="the key was used before with another request",
            )
        case agent.StoreUnavailable(retry_after_s=retry_after_s):
            return exceptions.CallRefusedError(
                code=errors.ErrorCode.STORE_UNAVAILABLE,
                message="the write could not be claimed in the table",
                retry_after_s=retry_after_s,
            )
    return dispatcher.CallFailedError(code=errors.ErrorCode.OUTCOME_UNKNOWN)
