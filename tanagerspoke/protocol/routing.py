"""Routes, services and limits of one version of the routing table."""

from collections.abc import Mapping
import dataclasses
import enum

from tanagerspoke.protocol import ranges
from tanagerspoke.protocol import zones as zones_types


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
        public: whether its calls need no key, also if the deployment has
            client accounts.
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
    public: bool = False


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
    ACCOUNT = "account"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigProblem:
    """A part of a routing table that is not in force as it was written.

    Attributes:
        name: name of the route, service or client account; empty for the
            limits.
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
        cold_start_s: time for which an upstream is cold after its start, as
            the configuration states it. No decision uses it: entries and health
            responses of upstreams state when their cold period ends, which a
            node could only guess from this time and the upstream's start.
        cold_calls_per_s: calls per second that a cold upstream tolerates from
            all nodes together; 0 where there is no limit.
    """

    name: str
    health_path: ranges.Path
    cold_start_s: ranges.OptionalSeconds = 0.0
    cold_calls_per_s: ranges.CallRate = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account of the deployment.

    Attributes:
        key_digests: digests of its API keys; the keys themselves are never
            kept or sent to another node.
        priority: rank of its calls, which precedes that of the route; None
            where the route's rank alone applies.
        calls_per_s: usage limit over all nodes; 0 where there is none.
        burst_calls: calls beyond the rate that may come at once.
    """

    name: ranges.Name
    key_digests: tuple[ranges.KeyDigest, ...] = ()
    priority: ranges.Priority | None = None
    calls_per_s: ranges.CallRate = 0.0
    burst_calls: ranges.CallRate = 0.0


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
        accounts: client accounts by name, None if the deployment has none, so
            that calls need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits | None
    unusable_routes: tuple[UnusableRoute, ...] = ()
    problems: tuple[ConfigProblem, ...] = ()
    accounts: Mapping[str, Account] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingChange:
    """Result of a read of the routing configuration.

    Attributes:
        position: position in the change history to continue reading from.
        table: the newest version, None where nothing changed or the newest
            version cannot be read.
        problem: why the newest version cannot be read, or None.
        zones: change of the evacuated zones, None where nothing changed.
    """

    position: int
    table: RoutingTable | None = None
    problem: str | None = None
    zones: zones_types.ZonesChange | None = None
