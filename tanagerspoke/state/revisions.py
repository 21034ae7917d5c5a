"""Table rows of the configuration: head, revision log and declarations."""

import msgspec

from tanagerspoke.protocol import agent

HEAD_KEY = "config/head"
ITEM_PREFIX = "config/item/"
LOG_PREFIX = "config/log/"
STATUS_PREFIX = "status/"
DRAIN_PREFIX = "drain/"


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The newest committed revision and the change that made it."""

    revision: int
    change_id: str
    author: str


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


_head_decoder = msgspec.json.Decoder(Head)
_item_decoder = msgspec.json.Decoder(StoredItem)
_change_decoder = msgspec.json.Decoder(Change)


def item_key(item: agent.Item) -> str:
    """Returns the table key of a declaration."""
    return f"{ITEM_PREFIX}{item.kind}/{item.name}"


def log_key(revision: int) -> str:
    """Returns the table key of a revision log entry."""
    return f"{LOG_PREFIX}{revision:012d}"


def encode(message: Head | StoredItem | Change) -> str:
    """Returns the JSON text of a row value."""
    return msgspec.json.encode(message).decode()


def decode_head(value: str) -> Head:
    """Returns the head of a row value."""
    return _head_decoder.decode(value)


def decode_item(value: str) -> agent.Item:
    """Returns the declaration of a row value."""
    return _item_decoder.decode(value).item


def decode_change(value: str) -> Change:
    """Returns the revision log entry of a row value."""
    return _change_decoder.decode(value)
