"""Options of `tanagerspoke-edge`."""

from typing import Annotated

import pydantic
from pydantic import dataclasses

from tanagerspoke.settings import options

_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True)
_NonNegative = Annotated[float, pydantic.Field(ge=0)]


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class RetryBudget:
    """Limit on extra attempts (retries and hedges) in the whole fleet.

    Attributes:
        ratio: extra attempts as a share of a service's calls in a window.
        shared_extra: extra attempts beyond this ratio that all nodes together
            may make in a window.
        window_s: length of the sliding window.
    """

    ratio: _NonNegative
    shared_extra: _NonNegative
    window_s: options.PositiveSeconds


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Revocation:
    """How soon a key that was removed from the configuration is refused.

    Attributes:
        bound_s: time from the confirmation of the configuration after which
            no call runs on the key, at any node, also at one that cannot
            reach the store.
    """

    bound_s: options.PositiveSeconds


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class UsageLimits:
    """Tolerance of the usage limits of client accounts.

    In any window, the calls of an account that run on all nodes together may
    exceed its limit by `overage`, as a share, and `tolerance_calls`.

    Attributes:
        window_s: length of the sliding window.
    """

    window_s: options.PositiveSeconds
    overage: _NonNegative
    tolerance_calls: _NonNegative


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class ColdUpstreams:
    """Tolerance of the rate limit of cold upstreams.

    In one second, a cold upstream may get its service's rate times `overage`
    plus `tolerance_calls` calls from all nodes together.
    """

    overage: _NonNegative
    tolerance_calls: _NonNegative


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Edge:
    """Options of one edge process, decoded from the platform's settings.

    Attributes:
        first_start: whether the whole fleet starts for the first time.
        callers: endpoint on which callers' requests are served.
        readiness: endpoint of the platform's readiness checks.
        peers: endpoint on which the other nodes of the zone reach this one.
        link_mbps: bandwidth of the host's link.
        store: endpoint of the platform's store.
        drain_s: time after which a draining upstream must get no more calls.
        config_apply_s: time after which a new configuration must be active.
        stop_grace_s: time between SIGTERM and SIGKILL.
        probes_per_upstream_s: maximum average rate of probes to an upstream,
            from all nodes together.
        metrics_port: port on which metrics are served.
        known_peers: nodes from which state is requested while the store is
            unavailable; some of them may be down or no longer exist.
        hold_answer_bytes: maximum size of a response that is buffered in
            full before it is sent to the caller; larger ones are streamed.
        revocation: None where keys have no strict revocation.
        usage_limits: None where client accounts have no usage limits.
        cold_upstreams: None where cold upstreams have no rate limit.
        hedge_share: second attempts (hedges) of all nodes together, as a share
            of the calls that may be repeated; None where only the retry budget
            limits them.
        memory_bytes: memory of the process, 0 where it is not known.
        max_descriptors: file descriptors of the process, 0 where the number
            is not known.
    """

    node: str
    availability_zone: str
    first_start: bool
    callers: options.Endpoint
    readiness: options.Endpoint
    peers: options.Endpoint
    link_mbps: Annotated[float, pydantic.Field(gt=0)]
    store: options.Endpoint
    drain_s: _NonNegative
    config_apply_s: _NonNegative
    stop_grace_s: _NonNegative
    retry_budget: RetryBudget
    probes_per_upstream_s: _NonNegative
    metrics_port: options.Port = 9464
    known_peers: tuple[options.Endpoint, ...] = ()
    hold_answer_bytes: Annotated[int, pydantic.Field(ge=1024)] = 262_144
    log_level: options.LogLevel = "INFO"
    revocation: Revocation | None = None
    usage_limits: UsageLimits | None = None
    cold_upstreams: ColdUpstreams | None = None
    hedge_share: Annotated[float, pydantic.Field(ge=0, le=1)] | None = None
    memory_bytes: Annotated[int, pydantic.Field(ge=0)] = 0
    max_descriptors: Annotated[int, pydantic.Field(ge=0)] = 0
