"""Options of `tanagerspoke-edge`."""

from typing import Annotated

import pydantic
from pydantic import dataclasses

from tanagerspoke.settings import options

_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True)
_NotNegative = Annotated[float, pydantic.Field(ge=0)]


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class RetryBudget:
    """Attempts beyond the first of each call, over the whole fleet.

    Attributes:
        ratio: share of a service's calls in a window.
        shared_extra: attempts that all nodes together may add in a window.
        window_s: length of the sliding window.
    """

    ratio: _NotNegative
    shared_extra: _NotNegative
    window_s: options.PositiveSeconds


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Edge:
    """Options of one edge process, decoded from the platform's settings.

    Attributes:
        first_start: whether the whole fleet starts for the first time.
        peers: where the other nodes of the zone reach this one.
        link_mbps: bandwidth of the host's link.
        readiness: where the platform asks whether this node is ready.
        drain_s: time within which a leaving upstream gets no more calls.
        config_apply_s: time within which a new configuration is in force.
        stop_grace_s: time between SIGTERM and SIGKILL.
        probes_per_upstream_s: most probes that an upstream may get on average,
            from all nodes together.
        metrics_port: port of the node's metrics.
        known_peers: nodes to ask for their state while the store is away;
            they may be down, or not exist any more.
        hold_answer_bytes: longest answer that is held whole.
    """

    node: str
    availability_zone: str
    first_start: bool
    callers: options.Endpoint
    readiness: options.Endpoint
    peers: options.Endpoint
    link_mbps: Annotated[float, pydantic.Field(gt=0)]
    store: options.Endpoint
    drain_s: _NotNegative
    config_apply_s: _NotNegative
    stop_grace_s: _NotNegative
    retry_budget: RetryBudget
    probes_per_upstream_s: _NotNegative
    metrics_port: options.Port = 9464
    known_peers: tuple[options.Endpoint, ...] = ()
    hold_answer_bytes: Annotated[int, pydantic.Field(ge=1024)] = 262_144
    log_level: options.LogLevel = "INFO"
