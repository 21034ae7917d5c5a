"""Attempt durations by route, and slowness and failures of upstreams."""

from tanagerspoke.coordination import attempt_durations
from tanagerspoke.coordination import ejection
from tanagerspoke.coordination import saturation
from tanagerspoke.protocol import calls
from tanagerspoke.state import loads

# A timeout counts as a failure of the upstream only if the attempt ran for at
# least this multiple of the route's median duration: an attempt with a shorter
# deadline may time out at a healthy upstream.
_MIN_TIMEOUT_FAILURE_RATIO = 3.0
# A cold upstream takes twice the usual time, so that the same factor applies to
# twice the median.
_MIN_COLD_TIMEOUT_FAILURE_RATIO = 6.0
# A connection that ends without a response before this share of the route's
# median duration was probably dropped by a full upstream, or had been forgotten
# while it was idle.
_MAX_FAST_DROP_RATIO = 0.25
# Such a drop counts as load in full, so that the upstream gets less work for a
# moment, but only in part for its ejection: a busy service of which each
# upstream drops some calls must not lose a third of its upstreams. An upstream
# that drops all its calls is still ejected.
_FAST_DROP_WEIGHT = 0.5
# Bounds the ratios of routes whose median is nearly 0.
_MIN_MEDIAN_S = 0.001
# Stands for routes without samples; nothing is added to it.
_NO_DURATIONS = attempt_durations.AttemptDurations()


class RouteStatistics:
    """Collects the results of attempts by route and by upstream."""

    def __init__(self, *, view: loads.LoadView) -> None:
        """Creates statistics without samples.

        Args:
            view: the service's upstreams, of which a bounded share is ejected.
        """
        self._view = view
        self._ejector = ejection.Ejector(view=view)
        self._saturation_cost = saturation.SaturationCost()
        self._durations_by_route: dict[
            str, attempt_durations.AttemptDurations
        ] = {}

    def quantile_s(self, call: calls.Call, quantile: float) -> float:
        """Returns a quantile of the attempt durations of the call's route.

        Until the route has enough samples, it is derived from the target.
        """
        durations = self._durations_by_route.get(call.route, _NO_DURATIONS)
        return durations.quantile_s(quantile, target_s=call.target_latency_s)

    def has_enough_samples(self, call: calls.Call) -> bool:
        """Returns whether quantiles of the call's route are measured."""
        durations = self._durations_by_route.get(call.route, _NO_DURATIONS)
        return durations.has_enough_samples

    def may_use_last_slot(self, draw: float) -> bool:
        """Returns whether a call may take an upstream's last slot.

        Args:
            draw: random number in [0, 1).
        """
        return self._saturation_cost.may_use_last_slot(
            slots=self._view.total_slots / max(1, len(self._view.eligible)),
            draw=draw,
        )

    def add_result(
        self,
        *,
        call: calls.Call,
        record: loads.UpstreamLoad,
        result: calls.AttemptResult,
        saturated: bool,
        is_hedge: bool,
        elapsed_s: float,
        now: float,
        cold: bool = False,
    ) -> bool:
        """Adds an ended attempt; returns whether it ejects its upstream.

        Args:
            call: the attempt's call.
            record: the upstream that it was sent to.
            result: how it ended.
            saturated: whether nearly all slots of the upstream were in use
                after it started.
            is_hedge: whether it was sent as a hedge.
            elapsed_s: seconds from its start to its end.
            now: monotonic seconds.
            cold: whether the upstream was cold when it started. Its duration
                then says nothing about the route, whose quantiles decide when
                calls are late and hedged.
        """
        ratio = self._ratio_to_median(call, elapsed_s)
        match result:
            case calls.Answered(failed=False):
                record.record_duration(ratio=ratio, pull=False, now=now)
                if not cold:
                    self._saturation_cost.add_sample(
                        saturated=saturated, duration_ratio=ratio
                    )
                    self._durations_for(call).add(elapsed_s)
                self._ejector.record_success(record)
            case calls.Cancelled():
                # The elapsed time is a lower bound of the duration.
                record.record_min_duration(ratio=ratio, now=now)
                if not is_hedge and not cold:
                    self._durations_for(call).add(elapsed_s)
            case calls.TimedOut():
                record.record_min_duration(ratio=ratio, now=now)
                if ratio >= (
                    _MIN_COLD_TIMEOUT_FAILURE_RATIO
                    if cold
                    else _MIN_TIMEOUT_FAILURE_RATIO
                ):
                    return self._record_failure(record, now)
            case calls.Shed():
                record.record_failure(now)
            case calls.WrongUpstream():
                # Another process listens at the upstream's address now.
                self._view.mark_draining(record.upstream.upstream_id)
            case calls.Broken(dropped=True) if ratio < _MAX_FAST_DROP_RATIO:
                return self._record_failure(
                    record, now, weight=_FAST_DROP_WEIGHT
                )
            case _:
                return self._record_failure(record, now)
        return False

    def add_lower_bound(
        self,
        *,
        call: calls.Call,
        record: loads.UpstreamLoad,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Adds the elapsed time of a running attempt as a lower bound."""
        record.record_min_duration(
            ratio=self._ratio_to_median(call, elapsed_s), now=now
        )

    def _ratio_to_median(self, call: calls.Call, elapsed_s: float) -> float:
        return elapsed_s / max(_MIN_MEDIAN_S, self.quantile_s(call, 0.5))

    def _record_failure(
        self, record: loads.UpstreamLoad, now: float, *, weight: float = 1.0
    ) -> bool:
        record.record_failure(now)
        return self._ejector.record_failure(
            record=record, now=now, weight=weight
        )

    def _durations_for(
        self, call: calls.Call
    ) -> attempt_durations.AttemptDurations:
        durations = self._durations_by_route.get(call.route)
        if durations is None:
            durations = self._durations_by_route[call.route] = (
                attempt_durations.AttemptDurations()
            )
        return durations
