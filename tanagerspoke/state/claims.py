"""Rows of the claims on writes, as the platform's table holds them."""

import enum

import msgspec


class ClaimState(enum.StrEnum):
    """State of a claim row."""

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
    """Value of a claim row; times are ms since the epoch."""

    attempt_id: str
    digest: str
    state: ClaimState
    deadline_at_ms: int
    answer: StoredAnswer | None = None


_decoder = msgspec.json.Decoder(ClaimRow)


def row_key(*, client_account: str, service: str, key: str) -> str:
    """Returns the table key of a claim."""
    return f"claim/{client_account}/{service}/{key}"


def encode(row: ClaimRow) -> str:
    """Returns the JSON text of a claim row."""
    return msgspec.json.encode(row).decode()


def decode(value: str) -> ClaimRow:
    """Returns the claim row of a JSON text.

    Raises:
        msgspec.ValidationError: the text is no claim row.
    """
    return _decoder.decode(value)
