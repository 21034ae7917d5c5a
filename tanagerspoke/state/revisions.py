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
    """The newest committed revision and the change that made it.

    Attributes:
        digest: `digest_of` all items at this revision; empty: not known.
        origin: change id of the table's first revision, which tells one
            table from another.
    """

    revision: int
    change_id: str
    author: str
    digest: str = ""
    origin: str = ""


class StoredItem(msgspec.Struct, frozen=True, kw_only=True):
    """One declaration with the revision that wrote it."""

    revision: int
    item: agent.Item


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the revision log."""

    revision: int
    change_id: str
    author: str
    items: tuple[agent.Item, ...]
    digest: str = ""


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Revisions in force on a host, in its agent and its gateways.

    Attributes:
        problem: why a newer revision is not in force, or empty.
    """

    host: str
    revision: int
    gateways: dict[str, int] = {}
    problem: str = ""


_head_decoder = msgspec.json.Decoder(Head)
_item_decoder = msgspec.json.Decoder(StoredItem)
_change_decoder = msgspec.json.Decoder(Change)
_status_decoder = msgspec.json.Decoder(NodeStatus)


def log_key(revision: int) -> str:
    """Returns the table key of a revision log entry."""
    return f"{LOG_PREFIX}{revision:012d}"


def encode(message: Head | StoredItem | Change | NodeStatus) -> str:
    """Returns the JSON text of a row value."""
    return msgspec.json.encode(message).decode()


def decode_head(value: str) -> Head:
    """Returns the head of a row value."""
    return _decode(_head_decoder, value)


def decode_stored(value: str) -> StoredItem:
    """Returns the declaration of a row value with its revision."""
    return _decode(_item_decoder, value)


def decode_item(value: str) -> agent.Item:
    """Returns the declaration of a row value."""
    return decode_stored(value).item


def decode_change(value: str) -> Change:
    """Returns the revision log entry of a row value."""
    return _decode(_change_decoder, value)


def decode_status(value: str) -> NodeStatus:
    """Returns the node status of a row value."""
    return _decode(_status_decoder, value)


def _decode(decoder: msgspec.json.Decoder, value: str) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise exceptions.ProtocolError(f"malformed row: {exc}") from exc


def digest_of(items: Iterable[agent.Item]) -> str:
    """Returns the digest of a set of items, whatever their order.

    The SHA-256 values are joined by exclusive or, so that a change updates
    the digest from the items that it touches. A scan that mixed two states
    of the table, as stale reads cause, does not have the head's digest.
    """
    digest = 0
    for item in items:
        digest ^= _item_digest(item)
    return f"{digest:064x}"


def update_digest(
    digest: str,
    *,
    removed: Iterable[agent.Item],
    added: Iterable[agent.Item],
) -> str:
    """Returns the digest after a change of some items."""
    value = int(digest, 16)
    for item in (*removed, *added):
        value ^= _item_digest(item)
    return f"{value:064x}"


def _item_digest(item: agent.Item) -> int:
    text = f"{item.kind}\0{item.name}\0{item.body}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest())
