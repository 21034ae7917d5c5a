"""Attempt durations by call class, and slowness and failures of upstreams."""

from tanagerspoke.coordination import ejection
from tanagerspoke.coordination import hedging
from tanagerspoke.protocol import calls
from tanagerspoke.state import loads

_DEFAULT_LATENCY_S = 0.01
_MEAN_SAMPLE_WEIGHT = 0.05
# A timeout counts as a failure of the upstream only if the attempt ran for at
# least this multiple of the class's mean duration: an attempt with a shorter
# deadline may time out at a healthy upstream.
_MIN_TIMEOUT_FAILURE_RATIO = 3.0


class ClassStatistics:
    """Collects the results of attempts by call class and by upstream."""

    def __init__(self, *, view: loads.LoadView, eject: bool = True) -> None:
        """Creates statistics without samples.

        Args:
            view: the service's upstreams, of which a bounded share is ejected.
            eject: whether failures eject an upstream.
        """
        self._ejection_enabled = eject
        self._ejector = ejection.Ejector(view=view)
        self._hedge_delay = hedging.HedgeDelay()
        self._mean_s_by_class: dict[calls.CallClass, float] = {}

    @property
    def hedge_delay_s(self) -> float | None:
        """Seconds until a hedge is sent, or None without enough samples."""
        return self._hedge_delay.delay_s

    def mean_latency_s(self, call_class: calls.CallClass) -> float:
        """Returns the mean attempt duration of the class."""
        return self._mean_s_by_class.get(call_class, _DEFAULT_LATENCY_S)

    def add_result(
        self,
        *,
        call: calls.Call,
        record: loads.UpstreamLoad,
        result: calls.AttemptResult,
        is_hedge: bool,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Adds the result of an attempt that ran for `elapsed_s`."""
        match result:
            case calls.Answered(failed=False):
                self._add_duration(call, record, elapsed_s, now)
                self._ejector.record_success(record)
            case calls.Cancelled():
                # Not a failure; the elapsed time is a lower bound of the
                # duration.
                self.add_lower_bound(
                    call=call, record=record, elapsed_s=elapsed_s, now=now
                )
                if not is_hedge and hedging.may_hedge(call):
                    self._hedge_delay.add_sample(elapsed_s)
            case calls.TimedOut():
                self.add_lower_bound(
                    call=call, record=record, elapsed_s=elapsed_s, now=now
                )
                mean_s = self.mean_latency_s(call.call_class)
                if elapsed_s >= _MIN_TIMEOUT_FAILURE_RATIO * mean_s:
                    self._record_failure(record, now)
            case calls.Shed():
                record.record_failure(now)
            case _:
                self._record_failure(record, now)

    def add_lower_bound(
        self,
        *,
        call: calls.Call,
        record: loads.UpstreamLoad,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Adds the elapsed time of an attempt as a lower bound."""
        mean_s = self._mean_s_by_class.get(call.call_class)
        if mean_s is not None and call.call_class is not calls.CallClass.PULL:
            record.record_min_duration(ratio=elapsed_s / mean_s, now=now)

    def _record_failure(self, record: loads.UpstreamLoad, now: float) -> None:
        record.record_failure(now)
        if self._ejection_enabled:
            self._ejector.record_failure(record=record, now=now)

    def _add_duration(
        self,
        call: calls.Call,
        record: loads.UpstreamLoad,
        elapsed_s: float,
        now: float,
    ) -> None:
        call_class = call.call_class
        mean_s = self._mean_s_by_class.get(call_class)
        if mean_s is None:
            mean_s = self._mean_s_by_class[call_class] = max(elapsed_s, 1e-6)
        record.record_duration(
            ratio=elapsed_s / mean_s,
            pull=call_class is calls.CallClass.PULL,
            now=now,
        )
        self._mean_s_by_class[call_class] = max(
            1e-6, mean_s + _MEAN_SAMPLE_WEIGHT * (elapsed_s - mean_s)
        )
        if call_class is calls.CallClass.LOOKUP:
            self._hedge_delay.add_sample(elapsed_s)
