"""Calls, and the events and actions of the schedulers.

Times are in seconds of the monotonic clock of the process.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import TypeAlias

from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams


class CallClass(enum.StrEnum):
    """Class of a call; it determines queue, share of slots and hedging."""

    LOOKUP = "lookup"
    WRITE = "write"
    PULL = "pull"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A call that is to be sent to an upstream.

    Attributes:
        idempotent: whether the call may run more than once.
        hedge: whether a second attempt may run concurrently with the first.
        retry: whether failed attempts may be retried at all, including those
            that did not run; outer layers set it to False for calls that are
            retries themselves and for writes without an idempotency key.
        route: name of the route, under which durations are recorded.
        target_at: time by which the response meets the latency target, or
            None where the call has no target.
        max_attempts: maximum number of times that the call is sent to an
            upstream; attempts of which no byte was sent do not count.
        priority: rank of the call; 0 is served first.
        stops_at: time by which this process must have the response, since it
            is stopping; None if it is not.
        account_priority: rank of the client account, which precedes
            `priority`.
        key_digest: digest of the API key that the call was sent with, None if
            it needs none.
    """

    call_id: int
    client_account: str
    call_class: CallClass
    idempotent: bool
    arrived_at: float
    deadline: float
    hedge: bool = False
    retry: bool = True
    route: str = ""
    target_at: float | None = None
    max_attempts: int = 3
    priority: int = 0
    stops_at: float | None = None
    account_priority: int = 0
    key_digest: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The upstream sent a complete response.

    Attributes:
        failed: whether the response is an upstream failure (5xx).
    """

    status: int
    failed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shed:
    """The upstream rejected the call and reported that it did not run it."""

    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WrongUpstream:
    """Another upstream responded at the address; it did not run the call."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """The exchange failed after bytes of the request had been written.

    Attributes:
        dropped: whether the connection ended before any byte of a response.
            The upstream may be full, or have forgotten the idle connection; it
            may also have run the call.
    """

    dropped: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Crossed:
    """The response carried the id of another request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimedOut:
    """The deadline passed before the response was complete."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The process cancelled the attempt."""


# The class names are values of the metric label `result` and of the call
# trace in the log.
AttemptResult: TypeAlias = (
    Answered
    | NotSent
    | Shed
    | WrongUpstream
    | Broken
    | Crossed
    | TimedOut
    | Cancelled
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallArrived:
    """A call arrived and needs an upstream."""

    call: Call


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """An attempt ended; its slot is free again."""

    call_id: int
    attempt: int
    upstream_id: str
    result: AttemptResult
    load: upstreams.LoadReport | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseStarted:
    """The first bytes of a streamed response are sent to the caller.

    The call is then bound to this attempt: it is neither retried nor hedged,
    and other attempts are cancelled. `AttemptEnded` still follows.
    """

    call_id: int
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the response was sent."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamsChanged:
    """The complete list of the service's upstreams.

    Attributes:
        cold_until: ends of the cold periods that their entries state, by id.
    """

    upstreams: tuple[upstreams.Upstream, ...]
    cold_until: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZonesEvacuated:
    """The complete set of evacuated availability zones."""

    zones: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainMarked:
    """The upstream was reported as draining."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoticeReceived:
    """A response of the upstream held a notice.

    Attributes:
        upstream: the upstream as it was listed when the request was sent; the
            list may have changed since.
    """

    upstream: upstreams.Upstream
    notice: upstreams.Notice


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported:
    """A load report from a probe was received."""

    upstream_id: str
    load: upstreams.LoadReport


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeEnded:
    """A probe that the scheduler requested ended.

    Attributes:
        load: None where the upstream did not respond or its response carried
            no load report.
        responded: whether the upstream responded.
    """

    upstream_id: str
    load: upstreams.LoadReport | None
    responded: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """The time returned by the scheduler's `next_wakeup` was reached."""


SchedulerEvent: TypeAlias = (
    CallArrived
    | AttemptEnded
    | ResponseStarted
    | CallerDisconnected
    | UpstreamsChanged
    | ZonesEvacuated
    | DrainMarked
    | NoticeReceived
    | LoadReported
    | ProbeEnded
    | Tick
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DispatchBasis:
    """State of the chosen upstream when an attempt was dispatched.

    Attributes:
        local_in_flight: attempts of this process in flight at the upstream,
            this one included.
        expected_in_flight: estimated number of attempts of all processes in
            flight at the upstream.
        report_age_s: age of the upstream's last load report.
        slowness: attempt durations at the upstream relative to the median of
            their route.
        eligible_upstreams: number of upstreams that were eligible.
    """

    local_in_flight: int
    expected_in_flight: float
    report_age_s: float
    slowness: float
    eligible_upstreams: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """Send the call to the upstream; attempts are numbered from 1."""

    call_id: int
    attempt: int
    upstream_id: str
    is_hedge: bool = False
    basis: DispatchBasis | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; an `AttemptEnded(Cancelled)` must follow."""

    call_id: int
    attempt: int
    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Respond "not run": no attempt was sent, or none of them ran."""

    call_id: int
    code: errors.ErrorCode
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeliverResponse:
    """Send the response of this attempt to the caller."""

    call_id: int
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fail:
    """Respond "outcome unknown" with this error code."""

    call_id: int
    code: errors.ErrorCode


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """Request the upstream's load; a `ProbeEnded` must follow."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportEjection:
    """Log and count an ejection; it lasts `duration_s` seconds."""

    upstream_id: str
    duration_s: float


SchedulerAction: TypeAlias = (
    Dispatch
    | CancelAttempt
    | Refuse
    | DeliverResponse
    | Fail
    | Probe
    | ReportEjection
)
