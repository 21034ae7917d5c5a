"""State of unfinished calls and their attempts, shared by both schedulers."""

from collections.abc import Iterator
import dataclasses
import heapq

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.state import loads


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """An attempt that has not ended.

    Attributes:
        started_at: monotonic seconds.
        saturated: whether nearly all slots of the upstream were in use after
            it started.
        host_slowness: slowness of the host by a fresh report at the start, 1
            where it was not known.
        cold: whether the upstream was cold, and its calls limited for this,
            when it started.
    """

    record: loads.UpstreamLoad
    started_at: float
    is_hedge: bool
    saturated: bool = False
    host_slowness: float = 1.0
    cold: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class CallState:
    """A call from its arrival until its last attempt ended.

    Attributes:
        attempts: attempts that have not ended, by number.
        tried: ids of the upstreams of all attempts.
        attempt_count: number of attempts that were started.
        sent_count: number of attempts that reached an upstream or may have.
        hedge_tries: number of failed tries to send a due hedge.
        done: whether its caller got a response or disconnected.
        queued: whether it waits for an upstream.
        queued_at: monotonic seconds.
        streaming_attempt: attempt whose response is streamed to the caller.
        error_response_attempt: last attempt whose response was a failure.
        unknown_outcome_code: set once an attempt without a response may have
            run the call.
        not_run_code: why its last attempt did not run.
        retry_after_s: delay before a retry, requested by the upstream that
            shed the call last; None if it requested none.
    """

    call: calls.Call
    attempts: dict[int, Attempt]
    tried: tuple[str, ...] = ()
    attempt_count: int = 0
    sent_count: int = 0
    hedge_tries: int = 0
    done: bool = False
    queued: bool = False
    queued_at: float = 0.0
    streaming_attempt: int | None = None
    error_response_attempt: int | None = None
    unknown_outcome_code: errors.ErrorCode | None = None
    not_run_code: errors.ErrorCode | None = None
    retry_after_s: float | None = None


class OpenCalls:
    """The calls of one service that have not ended."""

    def __init__(self) -> None:
        self._states: dict[int, CallState] = {}
        # Times at which to consider a hedge, with the call's id.
        self._hedge_times: list[tuple[float, int]] = []

    def __getitem__(self, call_id: int) -> CallState:
        return self._states[call_id]

    def get(self, call_id: int) -> CallState | None:
        """Returns a call, or None if it has ended."""
        return self._states.get(call_id)

    def add(self, call: calls.Call) -> CallState:
        """Adds a new call and returns its state."""
        state = CallState(call=call, attempts={})
        self._states[call.call_id] = state
        return state

    def end_attempt(
        self, event: calls.AttemptEnded
    ) -> tuple[CallState, Attempt] | None:
        """Removes an attempt.

        Returns:
            The state of its call and the attempt, or None if it is unknown.
        """
        state = self._states.get(event.call_id)
        attempt = state and state.attempts.pop(event.attempt, None)
        if state is None or attempt is None:
            return None
        return state, attempt

    def start_response(
        self, event: calls.ResponseStarted
    ) -> list[calls.SchedulerAction]:
        """Binds a call to the first attempt whose response is streamed.

        Returns:
            The actions that cancel its other attempts.
        """
        state = self._states.get(event.call_id)
        if state is None or state.done or event.attempt not in state.attempts:
            return []
        if state.streaming_attempt is not None:
            return []
        state.streaming_attempt = event.attempt
        return cancel_attempts(state, keep=event.attempt)

    def settle(
        self, state: CallState, attempt: int
    ) -> list[calls.SchedulerAction]:
        """Ends a call with an attempt's response and cancels the others."""
        state.done = True
        actions = [
            calls.DeliverResponse(call_id=state.call.call_id, attempt=attempt),
            *cancel_attempts(state, keep=attempt),
        ]
        self.remove_finished(state)
        return actions

    def fail(self, state: CallState) -> calls.SchedulerAction | None:
        """Ends a call that has no attempt in flight and no success.

        Returns:
            The action that responds to its caller, or None if no attempt ran
            the call, so it has to be refused.
        """
        state.done = True
        self.remove_finished(state)
        call_id = state.call.call_id
        if state.error_response_attempt is not None:
            return calls.DeliverResponse(
                call_id=call_id, attempt=state.error_response_attempt
            )
        if state.unknown_outcome_code is not None:
            return calls.Fail(call_id=call_id, code=state.unknown_outcome_code)
        return None

    def remove_finished(self, state: CallState) -> None:
        """Removes a finished call unless it still has attempts in flight."""
        if not state.attempts:
            self._states.pop(state.call.call_id, None)

    @property
    def next_hedge_at(self) -> float | None:
        """Time at which to consider the next hedge, or None."""
        while self._hedge_times and not self._may_still_hedge(
            self._hedge_times[0][1]
        ):
            heapq.heappop(self._hedge_times)
        return self._hedge_times[0][0] if self._hedge_times else None

    def schedule_hedge(self, state: CallState, at: float) -> None:
        """Schedules a time at which to consider a hedge."""
        heapq.heappush(self._hedge_times, (at, state.call.call_id))

    def pop_due_hedges(self, now: float) -> Iterator[CallState]:
        """Removes the due hedges and yields those calls that still need one."""
        while self._hedge_times and self._hedge_times[0][0] <= now:
            _, call_id = heapq.heappop(self._hedge_times)
            if self._may_still_hedge(call_id):
                yield self._states[call_id]

    def _may_still_hedge(self, call_id: int) -> bool:
        state = self._states.get(call_id)
        return (
            state is not None
            and not state.done
            and state.streaming_attempt is None
            and len(state.attempts) == 1
        )


def cancel_attempts(
    state: CallState, *, keep: int | None
) -> list[calls.SchedulerAction]:
    """Returns the actions that cancel all attempts except `keep`."""
    return [
        calls.CancelAttempt(
            call_id=state.call.call_id,
            attempt=number,
            upstream_id=attempt.record.upstream.upstream_id,
        )
        for number, attempt in state.attempts.items()
        if number != keep
    ]


def record_failure(
    state: CallState, attempt: int, result: calls.AttemptResult
) -> None:
    """Records in the call why an attempt had no successful response."""
    match result:
        case calls.Answered():
            state.error_response_attempt = attempt
        case calls.NotSent():
            state.sent_count -= 1
            state.not_run_code = errors.ErrorCode.UPSTREAM_UNREACHABLE
        case calls.Shed(retry_after_s=retry_after_s):
            state.not_run_code = errors.ErrorCode.UPSTREAM_SHED
            state.retry_after_s = retry_after_s
        case calls.WrongUpstream():
            state.not_run_code = errors.ErrorCode.UPSTREAM_UNREACHABLE
        case calls.TimedOut():
            state.unknown_outcome_code = errors.ErrorCode.UPSTREAM_TIMEOUT
        case calls.Crossed():
            state.unknown_outcome_code = errors.ErrorCode.CROSSED_REPLY
        case _:
            state.unknown_outcome_code = errors.ErrorCode.UPSTREAM_BROKEN
