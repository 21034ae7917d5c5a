"""Routes, services and limits of one version of the routing table."""

from collections.abc import Mapping
import dataclasses
import enum

from tanagerspoke.protocol import ranges


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's calls."""

    service: ranges.Name
    weight: ranges.Weight = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How the calls of one host and path prefix are handled.

    Attributes:
        host: host name in lower case, without a port.
        path_prefix: begins and ends with a slash.
        idempotent: whether a call may run more than once.
        timeout_s: maximum time from a request to its response.
        target_latency_s: latency target; slower responses are late.
        max_attempts: maximum number of times that a call is sent to an
            upstream; attempts of which no byte was sent do not count.
        priority: rank of the route; 0 is served first.
        services: services among which the calls are divided by weight.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: ranges.Seconds
    target_latency_s: ranges.Seconds
    max_attempts: ranges.Attempts
    priority: ranges.Priority
    services: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnusableRoute:
    """A route whose calls are refused, because it could not be understood.

    Attributes:
        host: as in `Route`; None if it is not known, so that any call without
            a route may be one of this route.
        path_prefix: as in `Route`; None if it is not known, so that any call
            to the host without a route may be one of this route.
    """

    name: str
    host: str | None
    path_prefix: str | None


class ConfigPart(enum.StrEnum):
    """Kind of a part of a routing table."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigProblem:
    """A part of a routing table that is not in force as it was written.

    Attributes:
        name: name of the route or service; empty for the limits.
        problem: what is wrong with it.
    """

    part: ConfigPart
    name: str
    problem: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service that routes may refer to.

    Attributes:
        health_path: path on which its upstreams respond to probes.
    """

    name: str
    health_path: ranges.Path


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_timeout_s: time from the first byte of a request to the end of
            its headers.
        idle_timeout_s: time for which a connection may be unused.
    """

    max_header_bytes: ranges.HeaderBytes
    max_body_bytes: ranges.BodyBytes
    header_timeout_s: ranges.Seconds
    idle_timeout_s: ranges.Seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingTable:
    """One version of the operators' routing configuration.

    Attributes:
        limits: None if they could not be understood; those of the previous
            version stay in force.
        unusable_routes: routes whose calls are refused.
        problems: parts that are not in force as written, bounded in number.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits | None
    unusable_routes: tuple[UnusableRoute, ...] = ()
    problems: tuple[ConfigProblem, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingChange:
    """Result of a read of the routing configuration.

    Attributes:
        position: position in the change history to continue reading from.
        table: the newest version, None where nothing changed or the newest
            version cannot be read.
        problem: why the newest version cannot be read, or None.
    """

    position: int
    table: RoutingTable | None = None
    problem: str | None = None
