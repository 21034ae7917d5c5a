"""Claims and records waiting to be written to the table, and their groups."""

import dataclasses
from typing import TypeAlias

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.state import claims

# Retry delay suggested to callers in the replies to claims.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Claim:
    """A claim that got no reply yet; times are monotonic seconds.

    Attributes:
        key: key of the claim's row in the table.
        deadline: deadline of the write that the claim is for.
        reply_by: latest time of the reply.
        deadline_at_ms: `deadline` in milliseconds since the epoch.
        request_ids: ids of the requests that wait for the reply.
        condition: condition of the next transaction with this claim.
        may_be_written: a transaction with this claim got no reply, so the row
            may be in the table.
        fallback_reply: sent when the table does not decide in time.
    """

    key: str
    request: agent.ClaimRequest
    deadline: float
    reply_by: float
    deadline_at_ms: int
    request_ids: list[int]
    condition: platform.Condition = dataclasses.field(
        default_factory=platform.Absent
    )
    may_be_written: bool = False
    fallback_reply: agent.ClaimReply = dataclasses.field(
        default_factory=lambda: agent.StoreUnavailable(
            retry_after_s=RETRY_AFTER_S
        )
    )

    @property
    def attempt_id(self) -> str:
        """Id of the attempt that requests the claim."""
        return self.request.attempt_id

    def row(self, write_id: str) -> claims.ClaimRow:
        """Returns the row to write in the transaction `write_id`."""
        return claims.ClaimRow(
            attempt_id=self.attempt_id,
            digest=self.request.digest,
            state=claims.ClaimState.CLAIMED,
            deadline_at_ms=self.deadline_at_ms,
            write_id=write_id,
        )


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Record:
    """A release or a result that is not yet written to the table.

    Attributes:
        key: key of the claim's row in the table.
        condition: condition of the next transaction with this record.
        linger_until: time until which the record waits for claims that can
            share its transaction, in monotonic seconds.
        request_ids: ids of the completions that wait for the record.
        response_bytes: size of the response body that counts towards
            `Limits.max_response_bytes`.
    """

    key: str
    attempt_id: str
    digest: str
    state: claims.ClaimState
    response: claims.StoredResponse | None
    condition: platform.Condition
    linger_until: float
    request_ids: list[int]
    response_bytes: int = 0

    def row(self, write_id: str) -> claims.ClaimRow:
        """Returns the row to write in the transaction `write_id`."""
        return claims.ClaimRow(
            attempt_id=self.attempt_id,
            digest=self.digest,
            state=self.state,
            deadline_at_ms=0,
            answer=self.response,
            write_id=write_id,
        )


Entry: TypeAlias = Claim | Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """Entries whose rows are written by one transaction."""

    op_id: int
    write_id: str
    entries: list[Entry]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A granted claim that is not completed yet.

    Attributes:
        version: version of the claim's row in the table.
        expires_at: time when the grant is dropped, in monotonic seconds.
    """

    version: int
    expires_at: float


def reply_after_completion(record: Record) -> agent.ClaimReply:
    """Returns the reply to a claim request whose attempt is completed."""
    if record.state is claims.ClaimState.RELEASED:
        return agent.StoreUnavailable(retry_after_s=RETRY_AFTER_S)
    return agent.OutcomeUnknown()
