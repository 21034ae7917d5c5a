"""JSON messages of the platform's table, object store and host list."""

from typing import TypeAlias

import msgspec


class Absent(msgspec.Struct, frozen=True, kw_only=True, tag="absent"):
    """Condition: the row does not exist."""


class VersionIs(msgspec.Struct, frozen=True, kw_only=True, tag="version"):
    """Condition: the row exists with this version."""

    version: int


class Always(msgspec.Struct, frozen=True, kw_only=True, tag="always"):
    """Condition: none; the write is unconditional."""


Condition: TypeAlias = Absent | VersionIs | Always


class Put(msgspec.Struct, frozen=True, kw_only=True, tag="put"):
    """Writes the row; it expires after `ttl_s` seconds if given."""

    value: str
    ttl_s: float | None = None


class Delete(msgspec.Struct, frozen=True, kw_only=True, tag="delete"):
    """Removes the row."""


class Check(msgspec.Struct, frozen=True, kw_only=True, tag="check"):
    """Writes nothing; only the condition is checked."""


Write: TypeAlias = Put | Delete | Check


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """Condition and write of one row in a transaction."""

    key: str
    condition: Condition
    write: Write


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Operations that are applied atomically."""

    operations: tuple[Operation, ...]


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A stored row; versions increase and are unique in the whole table."""

    key: str
    value: str
    version: int


class Committed(msgspec.Struct, frozen=True, kw_only=True, tag="committed"):
    """The transaction took effect; all its rows have this version."""

    version: int


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """A failed condition, with the current row (None: the row is absent)."""

    key: str
    row: Row | None


class Rejected(msgspec.Struct, frozen=True, kw_only=True, tag="rejected"):
    """Nothing was written, because conditions failed."""

    conflicts: tuple[Conflict, ...]


TransactionReply: TypeAlias = Committed | Rejected


class ScanReply(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a key prefix in key order.

    Attributes:
        more: whether the limit cut off further rows.
    """

    rows: tuple[Row, ...]
    more: bool


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A process in the platform's host list.

    Attributes:
        role: `upstream` or `entry`; for `entry`, the port is the peer port
            of the host's agent.
        service: service of an upstream, empty for an entry host.
        state: `live` or `leaving`.
    """

    name: str
    role: str
    address: str
    port: int
    availability_zone: str
    region: str = ""
    service: str = ""
    slots: int = 1
    state: str = "live"


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """Live and leaving hosts; changes appear in the list with a delay."""

    version: int
    hosts: tuple[HostEntry, ...]
