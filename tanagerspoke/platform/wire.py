"""Documents and rows of the platform's store, with its field names.

The types state the range of every field. A value outside its range is rejected
where it is decoded, so that no other code has to expect it.
"""

from typing import Annotated

import msgspec

from tanagerspoke.protocol import ranges

# Tables that the platform's operator (`op`) and workers (`servers`) write.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
# Prefix of the keys of rows that evacuate the zone that follows it.
EVACUATION_PREFIX = "evacuate/"
WORKERS_TABLE = "servers"

# `address:port`; see `manifest.decode_endpoint` for the ranges of both.
_EndpointText = Annotated[str, msgspec.Meta(max_length=64)]


class TrafficShare(msgspec.Struct, frozen=True, kw_only=True):
    """Share of a route's traffic that a service receives."""

    service: ranges.Name
    weight: ranges.Weight


class RouteHost(msgspec.Struct, frozen=True, kw_only=True):
    """Host of a route; decoded by itself if the route is unusable."""

    host: ranges.HostName


class RoutePrefix(msgspec.Struct, frozen=True, kw_only=True):
    """Path prefix of a route; decoded by itself if the route is unusable."""

    prefix: ranges.PathPrefix


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Route in a manifest.

    Attributes:
        kind: `safe` or `download` (with large responses) if a request may run
            more than once, `unsafe` or `upload` (with large bodies) if it may
            not.
        service: the only service; ignored if `traffic_split` is given.
        max_attempts: maximum number of times that a request is sent to a
            worker; attempts of which no byte was sent do not count.
        public: whether its requests need no key.
    """

    host: ranges.HostName
    prefix: ranges.PathPrefix
    kind: str
    timeout_s: ranges.Seconds
    target_latency_s: ranges.Seconds
    max_attempts: ranges.Attempts
    priority: ranges.Priority = 0
    service: ranges.Name | None = None
    traffic_split: Annotated[
        tuple[TrafficShare, ...], msgspec.Meta(max_length=1000)
    ] = ()
    public: bool = False


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Service in a manifest.

    Attributes:
        cold_start_s: time for which a worker is cold after its start.
        cold_per_s: requests per second that a cold worker tolerates; 0 where
            there is no limit.
    """

    health_path: ranges.Path = "/health"
    cold_start_s: ranges.OptionalSeconds = 0.0
    cold_per_s: ranges.CallRate = 0.0


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """Client account in a manifest.

    Attributes:
        priority: rank of its requests, which precedes that of the route.
        rate_per_s: usage limit over all nodes; 0 where there is none.
        burst: requests beyond the rate that may come at once.
    """

    api_keys: Annotated[
        tuple[Annotated[str, msgspec.Meta(max_length=512)], ...],
        msgspec.Meta(max_length=10_000),
    ] = ()
    priority: ranges.Priority | None = None
    rate_per_s: ranges.CallRate | None = None
    burst: ranges.CallRate | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the requests and connections of clients."""

    max_header_bytes: ranges.HeaderBytes
    max_body_bytes: ranges.BodyBytes
    header_timeout_s: ranges.Seconds
    idle_timeout_s: ranges.Seconds


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """Complete routing configuration.

    Its parts are decoded one by one, so that an unusable part does not take
    the others out of service.

    Attributes:
        version: number of the configuration, as eight hexadecimal digits.
        routes: encoded routes by name.
        services: encoded services by name.
        limits: encoded limits.
        tenants: encoded client accounts by name, None if there are none.
    """

    version: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{8}$")]
    routes: dict[str, msgspec.Raw]
    services: dict[str, msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b"null")
    tenants: dict[str, msgspec.Raw] | None = None


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry that a worker writes about itself.

    Attributes:
        address: IP address and port.
        state: `ready` or `draining`.
        seq_no: number of the report since the worker's start.
        born: time of the worker's start in Unix milliseconds.
        cold_left_s: encoded seconds for which the worker will remain slow;
            decoded by itself, so that an invalid value does not make the
            entry unusable.
    """

    service: ranges.Name
    address: _EndpointText
    zone: ranges.Name
    slots: ranges.Slots
    state: str
    seq_no: ranges.SequenceNumber
    born: ranges.UnixMs
    cold_left_s: msgspec.Raw = msgspec.Raw(b"0")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Row of the store.

    Attributes:
        ver: version of the store in which the row was last changed.
        value: base64 on the wire; absent if the row was removed.
    """

    key: str
    ver: int = 0
    value: bytes | None = None
    deleted: bool = False


class RowsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a table, or changes to them.

    Attributes:
        ver: newest version of the store; the next feed request starts after it.
        has_more: whether further rows follow the last one.
    """

    rows: tuple[Row, ...] = ()
    ver: int = 0
    has_more: bool = False


class TransactionRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row that a transaction writes or removes.

    Attributes:
        part: name of the store's partition that holds the row; rows of this
            program are in the partition with the empty name.
    """

    table: str
    key: str
    part: str = ""
    value: bytes = b""


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes and removals that are applied atomically."""

    set_keys: tuple[TransactionRow, ...] = ()
    remove: tuple[TransactionRow, ...] = ()


class NodeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry that an edge node writes about itself.

    Attributes:
        address: IP address and peer port.
    """

    zone: ranges.Name
    address: _EndpointText
    link_mbps: ranges.LinkMbps
