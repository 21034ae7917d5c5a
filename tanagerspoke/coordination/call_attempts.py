"""Attempts of one call, as both schedulers keep them."""

from collections.abc import Mapping
from typing import Protocol

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.state import loads


class Attempt(Protocol):
    """An attempt that has not ended."""

    @property
    def record(self) -> loads.UpstreamLoad:
        """The upstream that it was sent to."""


class CallState(Protocol):
    """A call with its attempts by number.

    Attributes:
        done: whether its caller has an answer, or left.
        started: attempt whose answer is streamed to the caller.
    """

    done: bool
    started: int | None

    @property
    def call(self) -> calls.Call:
        """The call."""

    @property
    def attempts(self) -> Mapping[int, Attempt]:
        """Its attempts that have not ended."""


def cancel_others(
    state: CallState, *, kept: int | None
) -> list[calls.SchedulerAction]:
    """Returns the actions that cancel all attempts but the kept one."""
    return [
        calls.CancelAttempt(
            call_id=state.call.call_id,
            attempt=number,
            upstream_id=attempt.record.upstream.upstream_id,
        )
        for number, attempt in state.attempts.items()
        if number != kept
    ]


def settle(state: CallState, attempt: int) -> list[calls.SchedulerAction]:
    """Ends a call with the answer of an attempt; cancels the others."""
    state.done = True
    return [
        calls.Settle(call_id=state.call.call_id, attempt=attempt),
        *cancel_others(state, kept=attempt),
    ]


def start_answer(
    state: CallState | None, attempt: int
) -> list[calls.SchedulerAction]:
    """Streams the answer of an attempt, unless another one was first."""
    if state is None or state.done or attempt not in state.attempts:
        return []
    if state.started is not None:
        return []
    state.started = attempt
    return cancel_others(state, kept=attempt)


def unknown_outcome(result: calls.AttemptResult) -> errors.ErrorCode:
    """Returns the code of an attempt that may have run."""
    match result:
        case calls.TimedOut():
            return errors.ErrorCode.UPSTREAM_TIMEOUT
        case calls.Crossed():
            return errors.ErrorCode.CROSSED_REPLY
    return errors.ErrorCode.UPSTREAM_BROKEN
