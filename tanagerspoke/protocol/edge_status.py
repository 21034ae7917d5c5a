"""State of an edge node, returned on the operators' port.

Times are ages in seconds at the time of the answer.
"""

import msgspec


class OwnerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A node that grants an account's tokens, as seen from the asked node.

    Attributes:
        node: name of the node; the first one of an account is its owner, the
            second its backup owner.
        responds: whether it answered the last request, True for the asked node
            itself, None if it was not asked since it was listed.
        last_answer_age_s: age of its last answer, None if there is none.
        unanswered_s: age of the oldest request since that answer, None if it
            answered all.
    """

    node: str
    responds: bool | None
    last_answer_age_s: float | None = None
    unanswered_s: float | None = None


class AccountStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A client account; its keys are never stated.

    Attributes:
        calls_per_s: usage limit over all nodes, 0 where there is none.
        burst_calls: calls beyond the rate that may come at once.
        admitted: calls that ended within the window and were not refused.
        refused: calls refused within the window, by reason.
        held_tokens: tokens that this node holds, None where calls need none.
        owners: owner and backup owner; empty where calls need no token.
    """

    name: str
    calls_per_s: float
    burst_calls: float
    admitted: int = 0
    refused: dict[str, int] = {}
    held_tokens: int | None = None
    owners: tuple[OwnerStatus, ...] = ()


class ProofStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The newest proof that the configuration is the newest.

    Attributes:
        age_s: None if there is no proof.
        max_age_s: age from which calls with a key are refused.
        source: `store`, or the name or address of the node that gave it; None
            if there is no proof.
        keyed_calls_run: whether calls with a key run at this node now.
    """

    age_s: float | None
    max_age_s: float
    source: str | None
    keyed_calls_run: bool


class ZoneStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuated zone, with the store version that this node learnt it at."""

    zone: str
    store_version: int


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Load and queue of a service, as this node knows them.

    Attributes:
        upstreams: listed upstreams.
        eligible: those that may get calls: they neither leave nor drain, and
            their zone is not evacuated. The following numbers count these.
        slots: calls that they may run at a time.
        cold: those that work slowly after their start.
        cold_upstreams: names of some of them.
        paused: those that asked for no calls for a time.
        ejected: those that get no calls for a time after failures.
        full: those whose slots this node expects to be in use.
        own_in_flight: attempts of this node in flight.
        queued_calls: calls that wait at this node.
        mean_utilization: moving average over load reports of the calls in
            flight for each slot, None without a report.
        newest_report_age_s: age of the newest load report, None without one.
    """

    service: str
    upstreams: int
    eligible: int
    slots: int
    cold: int
    cold_upstreams: tuple[str, ...]
    paused: int
    ejected: int
    full: int
    own_in_flight: int
    queued_calls: int
    mean_utilization: float | None
    newest_report_age_s: float | None


class EdgeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an edge.

    Attributes:
        config_version: version of the configuration in force, None without
            one.
        ready: whether the platform may send connections to the node.
        followed_node: node whose zone feed this one follows; None while it
            reads the store itself.
        nodes: listed nodes.
        window_s: time over which calls are counted.
        proof: None where calls need no proof.
        limits_applied: whether this node applies usage limits.
        accounts: the accounts with the most refused calls first.
        total_accounts: number of accounts of the configuration.
        refused_without_account: calls refused within the window before their
            account was known, by reason.
        services: the services with the most queued calls first.
        total_services: number of services that are declared, have upstreams or
            had calls.
    """

    node: str
    availability_zone: str
    config_version: int | None
    unusable_routes: int
    ready: bool
    followed_node: str | None
    nodes: int
    window_s: float
    proof: ProofStatus | None
    limits_applied: bool
    accounts: tuple[AccountStatus, ...]
    total_accounts: int
    refused_without_account: dict[str, int]
    zones: tuple[ZoneStatus, ...]
    services: tuple[ServiceStatus, ...]
    total_services: int
