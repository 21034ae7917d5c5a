"""Table rows of the configuration: head, revision log and declarations."""

from collections.abc import Iterable
import hashlib
from typing import Any

import msgspec

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent

HEAD_KEY = "config/head"
ITEM_PREFIX = "config/item/"
LOG_PREFIX = "config/log/"
STATUS_PREFIX = "status/"
DRAIN_PREFIX = "drain/"


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The newest committed revision and the change that created it.

    Attributes:
        digest: result of `digest_of` for all items at this revision; empty
            if it is not known.
        origin: change id of the table's first revision, which identifies the
            table.
    """

    revision: int
    change_id: str
    author: str
    digest: str = ""
    origin: str = ""


class StoredItem(msgspec.Struct, frozen=True, kw_only=True):
    """One declaration with the revision that last wrote it."""

    revision: int
    item: agent.ConfigItem


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the revision log."""

    revision: int
    change_id: str
    author: str
    items: tuple[agent.ConfigItem, ...]
    digest: str = ""


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Active revisions of a host's agent and of its gateways.

    Attributes:
        problem: why a newer revision is not active, or empty.
    """

    host: str
    revision: int
    gateways: dict[str, int] = {}
    problem: str = ""


_head_decoder = msgspec.json.Decoder(Head)
_item_decoder = msgspec.json.Decoder(StoredItem)
_change_decoder = msgspec.json.Decoder(Change)
_status_decoder = msgspec.json.Decoder(HostStatus)


def log_key(revision: int) -> str:
    """Returns the table key of a revision log entry."""
    return f"{LOG_PREFIX}{revision:012d}"


def encode(message: Head | StoredItem | Change | HostStatus) -> str:
    """Returns the JSON text of a row value."""
    return msgspec.json.encode(message).decode()


def decode_head(value: str) -> Head:
    """Returns the head of a row value."""
    return _decode(_head_decoder, value)


def decode_stored(value: str) -> StoredItem:
    """Returns the declaration of a row value and its revision."""
    return _decode(_item_decoder, value)


def decode_item(value: str) -> agent.ConfigItem:
    """Returns the declaration of a row value."""
    return decode_stored(value).item


def decode_change(value: str) -> Change:
    """Returns the revision log entry of a row value."""
    return _decode(_change_decoder, value)


def decode_status(value: str) -> HostStatus:
    """Returns the host status of a row value."""
    return _decode(_status_decoder, value)


def _decode(decoder: msgspec.json.Decoder, value: str) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise exceptions.ProtocolError(f"malformed row: {exc}") from exc


def digest_of(items: Iterable[agent.ConfigItem]) -> str:
    """Returns the digest of a set of items, independent of their order.

    The SHA-256 values of the items are combined by exclusive or, so a change
    can update the digest from the items that it touches. Stale reads can make
    a scan return a mix of two states of the table; its digest then differs
    from the head's.
    """
    digest = 0
    for item in items:
        digest ^= _item_digest(item)
    return f"{digest:064x}"


def update_digest(
    digest: str,
    *,
    removed: Iterable[agent.ConfigItem],
    added: Iterable[agent.ConfigItem],
) -> str:
    """Returns the digest after items were removed and added."""
    value = int(digest, 16)
    for item in (*removed, *added):
        value ^= _item_digest(item)
    return f"{value:064x}"


def _item_digest(item: agent.ConfigItem) -> int:
    text = f"{item.kind}\0{item.name}\0{item.body}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest())
