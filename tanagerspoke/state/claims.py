"""Rows of the claims on writes, as the platform's table holds them."""

import enum

import msgspec


class ClaimState(enum.StrEnum):
    """State of a claim row.

    A row goes from `claimed` to one of the others. Only `released` may be
    followed by the claim of another attempt.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a finished write; a large body lies in the object store."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    object_key: str | None = None


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a claim row; times are ms since the epoch.

    Attributes:
        answer: None in a finished row whose answer could not be stored.
        write_id: names the transaction that wrote the row, so that reading
            one row back settles a whole group.
    """

    attempt_id: str
    digest: str
    state: ClaimState
    deadline_at_ms: int
    answer: StoredAnswer | None = None
    write_id: str = ""


class Standing(enum.Enum):
    """What an existing row means for an attempt that asks for the key."""

    OWN = enum.auto()
    OWN_RELEASED = enum.auto()
    FREE = enum.auto()
    OTHER_DIGEST = enum.auto()
    ANSWERED = enum.auto()
    RUNNING = enum.auto()
    UNKNOWN = enum.auto()


_decoder = msgspec.json.Decoder(ClaimRow)


def row_key(*, client_account: str, service: str, key: str) -> str:
    """Returns the table key of a claim."""
    return f"claim/{client_account}/{service}/{key}"


def answer_key(*, attempt_id: str) -> str:
    """Returns the object key of a large answer.

    It holds no idempotency key, because that may contain characters which
    have a meaning in a URL.
    """
    return f"claim-answers/{attempt_id}"


def encode(row: ClaimRow) -> str:
    """Returns the JSON text of a claim row."""
    return msgspec.json.encode(row).decode()


def decode(value: str) -> ClaimRow | None:
    """Returns the claim row of a JSON text, or None where it is none."""
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError:
        return None


def standing(
    *,
    row: ClaimRow | None,
    attempt_id: str,
    digest: str,
    now_ms: int,
    grace_ms: int,
) -> Standing:
    """Returns what a row means for an attempt.

    An unreadable row (None) counts as an unknown outcome: the key is never
    run again. The clock only separates `RUNNING` from `UNKNOWN`; neither
    permits a run, so clock errors between hosts are harmless.
    """
    if row is None:
        return Standing.UNKNOWN
    own = row.attempt_id == attempt_id
    if row.state is ClaimState.RELEASED:
        return Standing.OWN_RELEASED if own else Standing.FREE
    if own and row.state is ClaimState.CLAIMED:
        return Standing.OWN
    if row.digest != digest:
        return Standing.OTHER_DIGEST
    if row.state is ClaimState.FINISHED and row.answer is not None:
        return Standing.ANSWERED
    in_time = now_ms < row.deadline_at_ms + grace_ms
    if row.state is ClaimState.CLAIMED and in_time:
        return Standing.RUNNING
    return Standing.UNKNOWN
