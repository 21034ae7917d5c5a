"""Upstreams and the load reports that they send."""

import collections
from collections.abc import Iterable
import dataclasses
import enum

from tanagerspoke.protocol import ranges


class UpstreamPhase(enum.StrEnum):
    """Lifecycle phase that an upstream reports."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """A worker of a service, as the platform lists it.

    Attributes:
        leaving: whether it is draining, so it must get no new calls.
        started_ms: start of its process in ms since the Unix epoch, 0 where
            it is not reported; a different start under the same id is a
            different worker.
    """

    upstream_id: str
    service: str
    address: str
    port: ranges.Port
    availability_zone: str
    region: str = ""
    slots: ranges.Slots = 1
    leaving: bool = False
    started_ms: ranges.UnixMs = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load that an upstream reports about itself.

    Attributes:
        in_flight: calls that run or wait at the upstream.
        slots: calls that the upstream runs at the same time.
        host_slowness: current duration of work on the upstream's host
            relative to the usual one; 1 means no slowdown.
    """

    in_flight: int
    slots: int
    phase: UpstreamPhase = UpstreamPhase.READY
    host_slowness: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """What an upstream states in a response about further calls.

    Attributes:
        leaving: whether it is leaving, so it must get no new calls.
        pause_s: seconds for which it wants no calls from this process, None
            where it states none.
        cold_s: seconds for which it stays cold, None where it states none.
    """

    leaving: bool = False
    pause_s: float | None = None
    cold_s: float | None = None


def group_by_service(
    listed: Iterable[Upstream],
) -> dict[str, tuple[Upstream, ...]]:
    """Returns the upstreams of each service, in the order of the list."""
    grouped: dict[str, list[Upstream]] = collections.defaultdict(list)
    for upstream in listed:
        grouped[upstream.service].append(upstream)
    return {service: tuple(members) for service, members in grouped.items()}
