"""Events and actions of the claim protocol."""

import dataclasses
from typing import TypeAlias

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.state import claims


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequested:
    """A gateway requests a claim; an attempt may send its request twice."""

    request_id: int
    claim: agent.ClaimRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequestCancelled:
    """The gateway no longer waits for the reply to this request."""

    request_id: int
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompletionRequested:
    """A gateway reports the result of a claimed write."""

    request_id: int
    completion: agent.CompleteRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TransactionReplied:
    """The table replied to a transaction."""

    op_id: int
    reply: platform.TransactionReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RowRead:
    """The table replied to a read."""

    op_id: int
    row: platform.Row | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OperationUnanswered:
    """A transaction or read got no reply; it may still take effect."""

    op_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreObjectDone:
    """A `StoreObject` ended.

    Attributes:
        stored: whether the object is in the object store now; it may have
            been there before.
    """

    op_id: int
    stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadObjectDone:
    """A `ReadObject` ended.

    Attributes:
        data: None if the object does not exist or could not be read.
    """

    op_id: int
    data: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed; see `ClaimProtocol.next_wakeup`."""


Event: TypeAlias = (
    ClaimRequested
    | ClaimRequestCancelled
    | CompletionRequested
    | TransactionReplied
    | RowRead
    | OperationUnanswered
    | StoreObjectDone
    | ReadObjectDone
    | Tick
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transact:
    """Send the transaction to the table."""

    op_id: int
    transaction: platform.Transaction


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRow:
    """Read a row from the table."""

    op_id: int
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreObject:
    """Store an object unless its key exists."""

    op_id: int
    key: str
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadObject:
    """Read an object from the object store."""

    op_id: int
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Send the reply to a claim request."""

    request_id: int
    reply: agent.ClaimReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplyToCompletion:
    """Send the reply to a completion.

    Attributes:
        accepted: False if too many records are waiting; the gateway must
            send the completion again later.
    """

    request_id: int
    accepted: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportContradiction:
    """Log a record that was dropped because it contradicts its row."""

    key: str
    attempt_id: str
    state: claims.ClaimState


Action: TypeAlias = (
    Transact
    | ReadRow
    | StoreObject
    | ReadObject
    | Reply
    | ReplyToCompletion
    | ReportContradiction
)
