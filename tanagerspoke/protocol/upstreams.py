"""Upstreams and the load reports that they send."""

import collections
from collections.abc import Iterable
import dataclasses
import enum


class UpstreamPhase(enum.StrEnum):
    """Phase that an upstream reports about itself."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """One worker of a service, as the platform's host list gives it.

    Attributes:
        started_ms: Unix milliseconds of the start of its process, 0 where it
            is not told; another start under the same id is another worker.
    """

    upstream_id: str
    service: str
    address: str
    port: int
    availability_zone: str
    region: str = ""
    slots: int = 1
    leaving: bool = False
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load that an upstream reports: calls in flight and slots.

    Attributes:
        in_flight: calls that run or wait.
        host_slowness: how much longer work takes on the upstream's host at
            this moment than usual; 1 means as usual.
    """

    in_flight: int
    slots: int
    phase: UpstreamPhase = UpstreamPhase.READY
    host_slowness: float = 1.0


def by_service(listed: Iterable[Upstream]) -> dict[str, tuple[Upstream, ...]]:
    """Returns the upstreams of each service, in the order of the list."""
    found: dict[str, list[Upstream]] = collections.defaultdict(list)
    for upstream in listed:
        found[upstream.service].append(upstream)
    return {service: tuple(members) for service, members in found.items()}
