"""Attempts of one call, as both schedulers keep them."""

from collections.abc import Mapping
from typing import Protocol

from tanagerspoke.protocol import calls
from tanagerspoke.state import loads


class Attempt(Protocol):
    """An attempt that has not ended."""

    @property
    def record(self) -> loads.UpstreamLoad:
        """The upstream that it was sent to."""


class CallState(Protocol):
    """A call with its attempts by number."""

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
