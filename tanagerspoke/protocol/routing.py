"""Routes, services and limits of one version of the routing table."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's calls."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How the calls of one host and path prefix are handled.

    Attributes:
        host: host name in lower case, without a port.
        path_prefix: begins and ends with a slash.
        idempotent: whether a call may run more than once.
        timeout_s: longest time that a caller is kept waiting.
        target_latency_s: time within which an answer is in time.
        max_attempts: most upstreams that one call may be sent to.
        priority: rank of the route; 0 goes first.
        services: services that share the route's calls by weight.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    services: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service that routes may name.

    Attributes:
        health_path: path that an upstream of it answers probes on.
    """

    name: str
    health_path: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_timeout_s: time from the first byte of a request to the end of
            its headers.
        idle_timeout_s: time that its connection may be unused.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingTable:
    """One version of the operators' routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingChange:
    """What a read of the routing configuration brought.

    Attributes:
        position: where the next change follows on.
        table: the newest version, None where nothing changed.
        problem: why the newest version cannot be read, or None.
    """

    position: int
    table: RoutingTable | None = None
    problem: str | None = None
