"""Documents and rows of the platform's store, as they are spelled there."""

import msgspec

# Tables that the platform's operator and workers write.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
WORKERS_TABLE = "servers"


class SplitPart(msgspec.Struct, frozen=True, kw_only=True):
    """A service's part of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route of a manifest.

    Attributes:
        kind: `safe` requests may be repeated, `unsafe` ones may not.
        service: the only service, where `traffic_split` is absent.
        max_attempts: workers, not attempts, that a request may be sent to.
    """

    host: str
    prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[SplitPart, ...] = ()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service of a manifest."""

    health_path: str = "/health"


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What clients may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """The whole configuration.

    Attributes:
        version: eight hexadecimal digits.
    """

    version: str
    routes: dict[str, Route]
    services: dict[str, Service]
    limits: Limits


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker writes of itself.

    Attributes:
        address: IP address and port.
        state: `ready` or `draining`.
        seq_no: counts the reports of one start.
        born: Unix milliseconds of the worker's start.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    seq_no: int
    born: int


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row of the store; `value` is base64, absent where it was removed."""

    key: str
    ver: int = 0
    value: bytes | None = None
    deleted: bool = False


class RowsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a table, or their changes.

    Attributes:
        ver: newest version of the store, from which a feed goes on.
    """

    rows: tuple[Row, ...] = ()
    ver: int = 0
    has_more: bool = False


class KeptRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row that a transaction writes or names."""

    table: str
    key: str
    part: str = ""
    value: bytes = b""


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that take effect together or not at all."""

    set_keys: tuple[KeptRow, ...] = ()
    remove: tuple[KeptRow, ...] = ()


class NodeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What an edge node writes of itself in its table.

    Attributes:
        address: IP address and peer port.
    """

    zone: str
    address: str
    link_mbps: float
