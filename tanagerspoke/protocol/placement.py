"""Where an edge would send a call, and why; returned on the operators' port.

Durations are in seconds from the time of the explanation.
"""

import enum

import msgspec


class Exclusion(enum.StrEnum):
    """Why an upstream gets no call now."""

    LEAVING = "leaving"
    DRAINING = "draining"
    EJECTED = "ejected"
    PAUSED = "paused"
    ZONE_EVACUATED = "zone_evacuated"
    # Cold upstreams are used for calls that wait, and not for hedges.
    COLD = "cold"
    # The gate lets this node send no call to the cold upstream now.
    COLD_LIMIT = "cold_limit"
    # A choice among cold upstreams only leaves out the others.
    NOT_COLD = "not_cold"
    # A part of the gate without a reason of its own.
    NOT_ADMITTED = "not_admitted"
    RAMPING_UP = "ramping_up"
    ALREADY_TRIED = "already_tried"
    OWN_CALLS_FILL_IT = "own_calls_fill_it"
    FULL = "full"
    TOO_BUSY = "too_busy"
    SLOW = "slow"
    NO_FRESH_REPORT = "no_fresh_report"
    SLOW_HOST = "slow_host"


class Outcome(enum.StrEnum):
    """What happens to the call first."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal of the call.

    Attributes:
        status: HTTP status.
        retry_after_s: time after which the caller may return, None where the
            refusal states none.
        max_retry_after_s: largest value that the random factor of refusals
            makes of it.
    """

    code: str
    status: int
    message: str = ""
    retry_after_s: float | None = None
    max_retry_after_s: float | None = None


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream of the service.

    Attributes:
        in_flight: estimated calls in flight.
        own_in_flight: those of this node among them.
        report_age_s: age of its last load report, None without one.
        host_slowness: slowness of its host in that report; 1 is usual.
        slowness: duration of its attempts relative to the usual one.
        exclusion: why it gets no call now, None if it may get it.
        exclusion_after_wait: the same once the wait for a fast host has ended.
        cost_s: expected cost; the lowest is taken. A random factor of at most
            1.1 is left out.
    """

    upstream_id: str
    availability_zone: str
    in_flight: float
    own_in_flight: int
    slots: int
    report_age_s: float | None
    host_slowness: float
    slowness: float
    exclusion: Exclusion | None
    exclusion_after_wait: Exclusion | None
    cost_s: float | None


class ServicePlacement(msgspec.Struct, frozen=True, kw_only=True):
    """What would happen to the call at one service.

    Attributes:
        service: name of the service; empty until it is known.
        share: share of the route's calls that the service gets.
        upstream_id: upstream that gets the call now, None if none does.
        upstream_after_wait: upstream that would get it if the wait for a fast
            host ended now, None if none would.
        fast_host_wait_s: longest wait for an upstream on a fast host.
        expires_s: time after which the call is refused if it still waits.
        queued_calls: calls that wait at this node.
        calls_ahead: those of them that are served before this call.
    """

    service: str = ""
    share: float = 1.0
    outcome: Outcome
    refusal: Refusal | None = None
    upstream_id: str | None = None
    upstream_after_wait: str | None = None
    fast_host_wait_s: float | None = None
    expires_s: float | None = None
    queued_calls: int = 0
    calls_ahead: int = 0
    candidates: tuple[Candidate, ...] = ()


class AccountFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Client account of the call; its keys are never stated.

    Attributes:
        priority: rank of its calls, which precedes that of the route.
        calls_per_s: usage limit over all nodes, 0 where there is none.
        burst_calls: calls beyond the rate that may come at once.
        held_tokens: tokens that this node holds for its calls, None where
            calls need none.
        proof_age_s: age of the proof that the configuration is the newest,
            None without one.
        max_proof_age_s: age from which calls with a key are refused, None
            where they need no proof.
        keyed_calls_run: whether calls with a key run at this node now.
    """

    name: str
    priority: int
    calls_per_s: float
    burst_calls: float
    held_tokens: int | None
    proof_age_s: float | None
    max_proof_age_s: float | None
    keyed_calls_run: bool


class RouteFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Route of the call."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an edge.

    Attributes:
        config_version: version of the configuration in force, None without
            one.
        account: client account of the call, None where it has none.
        deadline_s: time that the call has.
        refusal: refusal before a service is chosen, or None.
        services: services of the route, more than one for a split.
        notes: what the explanation does not take into account.
    """

    node: str
    config_version: int | None
    route: RouteFacts | None = None
    account: AccountFacts | None = None
    deadline_s: float | None = None
    refusal: Refusal | None = None
    services: tuple[ServicePlacement, ...] = ()
    notes: tuple[str, ...] = ()
