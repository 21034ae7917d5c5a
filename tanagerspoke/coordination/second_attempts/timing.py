"""When a second attempt is due.

The delay follows Dean and Barroso, The Tail at Scale (CACM 2013): a second
attempt is sent once the first one has run longer than a high quantile of the
attempt durations. The quantile is 1 minus the allowed share, so that about as
many calls ask for a second attempt as are allowed.
"""

import dataclasses

from tanagerspoke.coordination import refusals
from tanagerspoke.coordination import route_statistics
from tanagerspoke.protocol import calls

# Bounds of the quantile after which a second attempt is due. Below the first,
# most second attempts would only repeat calls of ordinary length; above the
# second, 256 samples hold too few longer ones.
_MIN_QUANTILE = 0.8
_MAX_QUANTILE = 0.98
# Late second attempt: a call that can't meet its target gets one once it is
# late and has run for this multiple of a high quantile of durations.
_LATE_RATIO = 1.5
_LATE_QUANTILE = 0.95
# Until a route has enough samples: share of the target after which a second
# attempt is due, and the expected duration of an attempt as a share of it.
# Half the target leaves the second attempt as long as the first one had.
_INITIAL_DUE_SHARE = 0.5
_INITIAL_TYPICAL_SHARE = 0.3
# Bound of the factor by which a reported slowness brings the time forward.
MAX_SLOWNESS_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteDurations:
    """Attempt durations of a route in seconds.

    Attributes:
        typical_s: expected duration of a second attempt.
        median_s: duration that half of the attempts exceed.
        due_s: duration after which a second attempt is due.
        late_s: duration after which one of a late call is due.
    """

    typical_s: float
    median_s: float
    due_s: float
    late_s: float


def route_durations(
    *,
    statistics: route_statistics.RouteStatistics,
    call: calls.Call,
    share: float,
) -> RouteDurations:
    """Returns the durations of a call's route, from its target at the start.

    Args:
        statistics: attempt durations by route.
        call: call of the route.
        share: second attempts per call that are allowed, 0 to 1.
    """
    target_s = call.target_latency_s
    if not statistics.has_enough_samples(call):
        return RouteDurations(
            typical_s=_INITIAL_TYPICAL_SHARE * target_s,
            median_s=_INITIAL_TYPICAL_SHARE * target_s,
            due_s=_INITIAL_DUE_SHARE * target_s,
            late_s=target_s,
        )
    quantile = min(_MAX_QUANTILE, max(_MIN_QUANTILE, 1.0 - share))
    return RouteDurations(
        typical_s=statistics.quantile_s(
            call, refusals.EXPECTED_DURATION_QUANTILE
        ),
        median_s=statistics.quantile_s(call, 0.5),
        due_s=statistics.quantile_s(call, quantile),
        late_s=_LATE_RATIO * statistics.quantile_s(call, _LATE_QUANTILE),
    )


def due_at(
    *,
    call: calls.Call,
    started_at: float,
    host_slowness: float,
    durations: RouteDurations,
) -> float | None:
    """Returns when a second attempt is due, or None if never.

    A first attempt on a host that reports being slow is worth a second one
    earlier, by the factor of the slowness. Where the regular time is too late
    for the target, the attempt is sent at the last time at which it can still
    meet it, if the first one has then run for a median. Otherwise the call is
    late whatever is done, and the attempt waits until then.

    Args:
        call: call of the first attempt.
        started_at: start of the first attempt in monotonic seconds.
        host_slowness: slowness that the host of the first attempt reported; 1
            where it is usual or not known.
        durations: attempt durations of the route.
    """
    target_at = call.target_at or call.deadline
    factor = min(MAX_SLOWNESS_FACTOR, max(1.0, host_slowness))
    at = started_at + durations.due_s / factor
    last_in_time_at = target_at - durations.typical_s
    if at > last_in_time_at:
        at = last_in_time_at
        if at < started_at + durations.median_s / factor:
            at = max(target_at, started_at + durations.late_s)
    return at if at + durations.typical_s < call.deadline else None
