"""Messages of the platform's table, object store and host list (JSON)."""

from typing import TypeAlias

import msgspec


class Absent(msgspec.Struct, frozen=True, kw_only=True, tag="absent"):
    """Condition: the row does not exist."""


class VersionIs(msgspec.Struct, frozen=True, kw_only=True, tag="version"):
    """Condition: the row exists with this version."""

    version: int


class Always(msgspec.Struct, frozen=True, kw_only=True, tag="always"):
    """No condition."""


Condition: TypeAlias = Absent | VersionIs | Always


class Put(msgspec.Struct, frozen=True, kw_only=True, tag="put"):
    """Writes the row; it expires after `ttl_s` seconds where given."""

    value: str
    ttl_s: float | None = None


class Delete(msgspec.Struct, frozen=True, kw_only=True, tag="delete"):
    """Removes the row."""


class Check(msgspec.Struct, frozen=True, kw_only=True, tag="check"):
    """Writes nothing; only the condition counts."""


Write: TypeAlias = Put | Delete | Check


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a transaction."""

    key: str
    condition: Condition
    write: Write


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Rows that are written together or not at all."""

    operations: tuple[Operation, ...]


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A stored row; versions grow over the whole table, never repeated."""

    key: str
    value: str
    version: int


class Committed(msgspec.Struct, frozen=True, kw_only=True, tag="committed"):
    """The transaction took effect; all its rows have this version."""

    version: int


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """A condition that failed, with the row as it stands (None: absent)."""

    key: str
    row: Row | None


class Rejected(msgspec.Struct, frozen=True, kw_only=True, tag="rejected"):
    """Nothing was written, because these conditions failed."""

    conflicts: tuple[Conflict, ...]


TransactionReply: TypeAlias = Committed | Rejected


class ScanReply(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a key prefix in key order; `more` where the limit cut it."""

    rows: tuple[Row, ...]
    more: bool


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A host process in the platform's list.

    Attributes:
        role: `upstream` or `entry`; for `entry`, the port is the peer port
            of the agent.
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
    """The platform's lagging list of live and leaving hosts."""

    version: int
    hosts: tuple[HostEntry, ...]
