"""Upstreams and the load reports that they send."""

import dataclasses
import enum


class UpstreamPhase(enum.StrEnum):
    """Phase that an upstream reports about itself."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """One worker of a service, as the platform's host list gives it."""

    upstream_id: str
    service: str
    address: str
    port: int
    availability_zone: str
    region: str = ""
    slots: int = 1
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load that an upstream reports: calls in flight and slots."""

    in_flight: int
    slots: int
    phase: UpstreamPhase = UpstreamPhase.READY
