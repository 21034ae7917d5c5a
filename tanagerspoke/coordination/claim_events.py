"""Events and actions of the claim protocol."""

import dataclasses
from typing import TypeAlias

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.state import claims


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimAsked:
    """A gateway asks for a claim; the same attempt may ask again."""

    request_id: int
    claim: agent.ClaimRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskerLeft:
    """The gateway no longer waits for the reply to this claim."""

    request_id: int
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompletionAsked:
    """A gateway reports the end of a claimed write."""

    request_id: int
    completion: agent.CompleteRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transacted:
    """The table answered a transaction."""

    op_id: int
    reply: platform.TransactionReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RowRead:
    """The table answered a read."""

    op_id: int
    row: platform.Row | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unanswered:
    """A transaction or read got no answer; it may still take effect."""

    op_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectStored:
    """The object store took the object or has it already, or failed."""

    op_id: int
    stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectRead:
    """The object store returned an object; None where it has none or failed."""

    op_id: int
    data: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed; see `ClaimProtocol.next_wakeup`."""


Event: TypeAlias = (
    ClaimAsked
    | AskerLeft
    | CompletionAsked
    | Transacted
    | RowRead
    | Unanswered
    | ObjectStored
    | ObjectRead
    | Tick
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transact:
    """Send the transaction to the table."""

    op_id: int
    transaction: platform.Transaction


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """Read a row of the table."""

    op_id: int
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreObject:
    """Put an object if it is absent."""

    op_id: int
    key: str
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadObject:
    """Get an object."""

    op_id: int
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Answer a claim."""

    request_id: int
    reply: agent.ClaimReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompletionDone:
    """Answer a completion.

    Attributes:
        accepted: False where the bounded memory is full; the gateway must
            ask again later.
    """

    request_id: int
    accepted: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Contradiction:
    """A record was dropped, because the row belongs to something else."""

    key: str
    attempt_id: str
    state: claims.ClaimState


Action: TypeAlias = (
    Transact
    | Read
    | StoreObject
    | ReadObject
    | Reply
    | CompletionDone
    | Contradiction
)
