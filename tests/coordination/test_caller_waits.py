"""Tests of the estimate of how long callers have waited before."""

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke.coordination import caller_waits


def _after(
    waits: caller_waits.CallerWaits, deadlines_s: list[float]
) -> caller_waits.CallerWaits:
    for deadline_s in deadlines_s:
        waits.waited_s(route="r", deadline_s=deadline_s)
    return waits


def test_returning_caller_has_waited() -> None:
    """Guards against returns under overload that count as new calls."""
    waits = _after(caller_waits.CallerWaits(), [2.68] * 8 + [1.8] * 8)
    waited_s = waits.waited_s(route="r", deadline_s=1.68)
    assert waited_s == pytest.approx(1.0)
    assert waits.waited_s(route="r", deadline_s=2.675) == 0.0


def test_deadlines_that_differ_show_no_wait() -> None:
    """Guards against late service of callers with short deadlines."""
    waits = _after(
        caller_waits.CallerWaits(), [0.1 * number for number in range(1, 40)]
    )
    assert waits.waited_s(route="r", deadline_s=0.5) == 0.0


@pytest.mark.parametrize("deadlines_differ", [False, True])
def test_returns_show_among_deadlines_that_differ_by_caller(
    deadlines_differ: bool,
) -> None:
    """Guards against an account over its limit whose returns go unnoticed.

    Its callers wait for 2.3 to 2.7 s, and for a third less after a refusal.
    """
    first = [2.3 + 0.05 * number for number in range(9)]
    waits = _after(
        caller_waits.CallerWaits(), [*first, *[0.64 * d for d in first]] * 3
    )

    def waited_s(deadline_s: float) -> float:
        return waits.waited_s(
            route="r", deadline_s=deadline_s, deadlines_differ=deadlines_differ
        )

    for deadline_s in first:
        assert waited_s(deadline_s) == 0.0
        assert waited_s(0.64 * deadline_s) == pytest.approx(
            0.36 * 2.5 if deadlines_differ else 0.0, abs=0.15
        )


def test_few_calls_and_other_routes_show_no_wait() -> None:
    """Guards against conclusions from the deadlines of other calls."""
    waits = _after(caller_waits.CallerWaits(), [2.0] * 20)
    assert waits.waited_s(route="other", deadline_s=1.0) == 0.0
    assert waits.waited_s(route="r", deadline_s=None) == 0.0


def test_longer_deadlines_of_the_past_are_forgotten() -> None:
    """Guards against a change of clients after which all calls are late."""
    waits = _after(caller_waits.CallerWaits(), [5.0] * 64 + [2.0] * 64)
    assert waits.waited_s(route="r", deadline_s=2.0) == 0.0


def test_removed_routes_are_forgotten() -> None:
    """Guards against memory that grows with each new route."""
    waits = _after(caller_waits.CallerWaits(), [2.0] * 20)
    waits.keep_only(frozenset())
    assert waits.waited_s(route="r", deadline_s=1.0) == 0.0


@hypothesis.given(st.lists(st.floats(0.0, 100.0), max_size=200))
def test_wait_is_never_longer_than_a_recent_deadline(
    deadlines_s: list[float],
) -> None:
    """Guards against targets that lie before the first request."""
    waits = caller_waits.CallerWaits()
    for number, deadline_s in enumerate(deadlines_s):
        waited_s = waits.waited_s(route="r", deadline_s=deadline_s)
        recent = deadlines_s[max(0, number - 63) : number + 1]
        assert 0.0 <= waited_s <= max(recent) - deadline_s
