"""Tests of the times at which refused callers return."""

import hypothesis
from hypothesis import strategies as st

from tanagerspoke.coordination import return_times


def _delay_s(
    times: return_times.ReturnTimes,
    *,
    priority: int = 1,
    first_at: float = 0.0,
    now: float = 0.0,
) -> float:
    return times.next_delay_s(
        priority=priority, first_at=first_at, interval_s=0.1, now=now
    )


def test_callers_refused_together_return_one_by_one() -> None:
    """Guards against callers that come back together and are refused again."""
    times = return_times.ReturnTimes()
    delays = [_delay_s(times, first_at=0.5) for _ in range(4)]
    assert [round(delay, 6) for delay in delays] == [0.5, 0.6, 0.7, 0.8]


def test_urgent_caller_does_not_wait_for_less_urgent_ones() -> None:
    """Guards against a booking that returns after lookups refused before it."""
    times = return_times.ReturnTimes()
    for _ in range(20):
        _delay_s(times, priority=2)
    assert _delay_s(times, priority=1) == 0.0
    assert _delay_s(times, priority=1) > 0.0


def test_passed_places_are_forgotten() -> None:
    """Guards against delays that stay long after an overload has ended."""
    times = return_times.ReturnTimes()
    for _ in range(20):
        _delay_s(times)
    assert _delay_s(times, now=10.0) == 0.0


@hypothesis.given(
    refusals=st.lists(
        st.tuples(st.integers(0, 3), st.floats(0, 1), st.floats(0, 100)),
        max_size=60,
    )
)
def test_delays_are_bounded(
    refusals: list[tuple[int, float, float]],
) -> None:
    """Guards against a caller that is sent away for an unbounded time."""
    times = return_times.ReturnTimes()
    now = 0.0
    for priority, step_s, first_in_s in refusals:
        now += step_s
        delay_s = _delay_s(
            times, priority=priority, first_at=now + first_in_s, now=now
        )
        assert first_in_s - 1e-6 <= delay_s <= first_in_s + 3.0 + 1e-6
