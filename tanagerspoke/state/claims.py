"""Rows of claims on writes in the platform's table."""

import enum

import msgspec


class ClaimState(enum.StrEnum):
    """State of a claim row.

    A row changes from `claimed` to one of the other states. Another attempt
    can claim the key only after `released`.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a finished write; a large body is in the object store."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    object_key: str | None = None


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a claim row; times are in ms since the Unix epoch.

    Attributes:
        answer: response of the write; None in a finished row whose response
            could not be stored.
        write_id: id of the transaction that wrote the row. Reading back one
            row of a transaction shows whether all of its rows were written.
    """

    attempt_id: str
    digest: str
    state: ClaimState
    deadline_at_ms: int
    answer: StoredResponse | None = None
    write_id: str = ""


class KeyStatus(enum.Enum):
    """Status of a key for an attempt that requests it.

    Attributes:
        OWN_CLAIM: the attempt itself claimed the key.
        OWN_RELEASED: the attempt itself claimed and released the key.
        FREE: another attempt released the key.
        OTHER_REQUEST: the key was used for a different request.
        FINISHED: the write ran and its response is stored.
        RUNNING: another attempt may still be running.
        OUTCOME_UNKNOWN: the write may have run; its response is not known.
    """

    OWN_CLAIM = enum.auto()
    OWN_RELEASED = enum.auto()
    FREE = enum.auto()
    OTHER_REQUEST = enum.auto()
    FINISHED = enum.auto()
    RUNNING = enum.auto()
    OUTCOME_UNKNOWN = enum.auto()


_decoder = msgspec.json.Decoder(ClaimRow)


def claim_row_key(*, client_account: str, service: str, key: str) -> str:
    """Returns the table key of a claim row."""
    return f"claim/{client_account}/{service}/{key}"


def response_object_key(*, attempt_id: str) -> str:
    """Returns the object key of a large response.

    It does not include the idempotency key, which may contain characters
    that are reserved in URLs.
    """
    return f"claim-answers/{attempt_id}"


def encode(row: ClaimRow) -> str:
    """Returns the JSON text of a claim row."""
    return msgspec.json.encode(row).decode()


def decode(value: str) -> ClaimRow | None:
    """Returns the claim row of a JSON text, or None if it is malformed."""
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError:
        return None


def key_status(
    *,
    row: ClaimRow | None,
    attempt_id: str,
    digest: str,
    now_ms: int,
    grace_ms: int,
) -> KeyStatus:
    """Returns the status of a row's key for an attempt.

    An unreadable row (None) is treated as an unknown outcome, so its write is
    never run again. The clock only decides between `RUNNING` and
    `OUTCOME_UNKNOWN`. Neither permits a run, so clock differences between
    hosts are harmless.
    """
    if row is None:
        return KeyStatus.OUTCOME_UNKNOWN
    same_attempt = row.attempt_id == attempt_id
    if row.state is ClaimState.RELEASED:
        return KeyStatus.OWN_RELEASED if same_attempt else KeyStatus.FREE
    if same_attempt and row.state is ClaimState.CLAIMED:
        return KeyStatus.OWN_CLAIM
    if row.digest != digest:
        return KeyStatus.OTHER_REQUEST
    if row.state is ClaimState.FINISHED and row.answer is not None:
        return KeyStatus.FINISHED
    may_be_running = now_ms < row.deadline_at_ms + grace_ms
    if row.state is ClaimState.CLAIMED and may_be_running:
        return KeyStatus.RUNNING
    return KeyStatus.OUTCOME_UNKNOWN
