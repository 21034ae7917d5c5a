"""Decides which calls can't be served in time, and when callers may return."""

from tanagerspoke.coordination import return_times
from tanagerspoke.coordination import route_statistics
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import randomness
from tanagerspoke.state import loads

# Quantile that is used as the expected duration of an attempt. A queued call
# that would end after its target is late; a hedge that would do so is deferred
# to the time of a late hedge.
EXPECTED_DURATION_QUANTILE = 0.4
# Quantile that is used as the duration of an attempt which a process that stops
# must wait for.
_LONGEST_DURATION_QUANTILE = 0.99
_NO_UPSTREAM_RETRY_AFTER_S = 0.5
# A new proof of the configuration may arrive within one or two queries, and
# the next try may reach a node that has one.
CONFIG_UNCONFIRMED_RETRY_AFTER_S = 0.3
_MIN_RETRY_AFTER_S = 0.05
# Longest wait for the queue that is expected of a caller that returns.
_MAX_QUEUE_WAIT_S = 1.0
# Range of the random factor that separates the callers of different nodes.
_MAX_RETURN_FACTOR = 1.2


class Refusals:
    """Refusals of the calls of one service and node."""

    def __init__(
        self,
        *,
        view: loads.LoadView,
        statistics: route_statistics.RouteStatistics,
        rng: randomness.Random,
    ) -> None:
        """Creates an instance without refused callers.

        Args:
            view: the service's upstreams.
            statistics: attempt durations by route.
            rng: random number generator.
        """
        self._view = view
        self._statistics = statistics
        self._rng = rng
        self._return_times = return_times.ReturnTimes()

    def may_be_needed(self, now: float) -> bool:
        """Returns whether any call can be unservable now."""
        return (
            not self._view.eligible or self._view.paused_until(now) is not None
        )

    def unservable_code(
        self, call: calls.Call, now: float
    ) -> errors.ErrorCode | None:
        """Returns why the call cannot be served in time, or None."""
        if call.stops_at is not None and call.stops_at < (
            now + self._statistics.quantile_s(call, _LONGEST_DURATION_QUANTILE)
        ):
            return errors.ErrorCode.STOPPING
        if not self._view.eligible:
            return errors.ErrorCode.NO_UPSTREAM
        paused_until = self._view.paused_until(now)
        if paused_until is not None and paused_until > self.latest_start_at(
            call
        ):
            return errors.ErrorCode.UPSTREAM_SHED
        return None

    def latest_start_at(self, call: calls.Call) -> float:
        """Returns the time after which a start misses the call's target."""
        expected_s = self._statistics.quantile_s(
            call, EXPECTED_DURATION_QUANTILE
        )
        return (call.target_at or call.deadline) - expected_s

    def refuse(
        self,
        call: calls.Call,
        code: errors.ErrorCode,
        *,
        queued_calls: int,
        parallel_calls: float,
        now: float,
    ) -> calls.Refuse:
        """Returns the refusal of a call, with the time of its return.

        Args:
            call: the call.
            code: why it is refused.
            queued_calls: calls of this node that wait for an upstream.
            parallel_calls: calls that this node can expect to run at the same
                time.
            now: monotonic seconds.
        """
        # Neither depends on the load of the upstreams.
        if code is errors.ErrorCode.API_KEY_REJECTED:
            return calls.Refuse(call_id=call.call_id, code=code)
        if code is errors.ErrorCode.CONFIG_UNCONFIRMED:
            return calls.Refuse(
                call_id=call.call_id,
                code=code,
                retry_after_s=CONFIG_UNCONFIRMED_RETRY_AFTER_S,
            )
        interval_s = self._interval_s(call, parallel_calls)
        first_at = self._first_return_at(interval_s, queued_calls, now)
        delay_s = 0.0
        # A caller of a node that stops is served by another one.
        if code is not errors.ErrorCode.STOPPING:
            delay_s = self._return_times.next_delay_s(
                priority=call.priority,
                first_at=first_at,
                interval_s=interval_s,
                now=now,
            )
        factor = self._rng.uniform(1.0, _MAX_RETURN_FACTOR)
        return calls.Refuse(
            call_id=call.call_id,
            code=code,
            retry_after_s=max(_MIN_RETRY_AFTER_S, delay_s) * factor,
        )

    def preview(
        self,
        call: calls.Call,
        code: errors.ErrorCode,
        *,
        queued_calls: int,
        parallel_calls: float,
        now: float,
    ) -> placement.Refusal:
        """Returns what `refuse` would state; changes no state."""
        delay_s = 0.0
        if code is not errors.ErrorCode.STOPPING:
            delay_s = self._return_times.preview_delay_s(
                priority=call.priority,
                first_at=self._first_return_at(
                    self._interval_s(call, parallel_calls), queued_calls, now
                ),
                now=now,
            )
        delay_s = max(_MIN_RETRY_AFTER_S, delay_s)
        return placement.Refusal(
            code=code.value,
            status=errors.status_of(code),
            retry_after_s=delay_s,
            max_retry_after_s=delay_s * _MAX_RETURN_FACTOR,
        )

    def _interval_s(self, call: calls.Call, parallel_calls: float) -> float:
        return self._statistics.quantile_s(call, 0.5) / max(1.0, parallel_calls)

    def _first_return_at(
        self, interval_s: float, queued_calls: int, now: float
    ) -> float:
        if not self._view.eligible:
            return now + _NO_UPSTREAM_RETRY_AFTER_S
        return self._view.paused_until(now) or now + min(
            _MAX_QUEUE_WAIT_S, queued_calls * interval_s
        )
