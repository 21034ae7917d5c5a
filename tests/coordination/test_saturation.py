"""Tests of the slowdown of saturated upstreams and of route durations."""

import random

from hypothesis import given
from hypothesis import strategies as st

from tanagerspoke.coordination import attempt_durations
from tanagerspoke.coordination import saturation


def _trained_cost(saturated_ratio: float) -> saturation.SaturationCost:
    cost = saturation.SaturationCost()
    for _ in range(200):
        cost.add_sample(saturated=False, duration_ratio=1.0)
        cost.add_sample(saturated=True, duration_ratio=saturated_ratio)
    return cost


def test_last_slot_stays_free_where_saturation_is_slow() -> None:
    """Guards against filling upstreams that slow down when they are full."""
    cost = _trained_cost(1.7)
    for slots in (3, 4, 6):
        assert not cost.may_use_last_slot(slots=slots, draw=0.5)
        assert cost.may_use_last_slot(slots=slots, draw=0.05)


def test_last_of_two_slots_is_used_below_its_cost() -> None:
    """Guards against upstreams with two slots that run one call at a time.

    With both slots in use at a slowdown of 1.7, they serve 2 / 1.7 = 1.18
    times as many calls as with one.
    """
    assert _trained_cost(1.7).may_use_last_slot(slots=2, draw=0.5)
    assert not _trained_cost(2.2).may_use_last_slot(slots=2, draw=0.5)


def test_only_slot_is_used() -> None:
    """Guards against upstreams with one slot that never get a call."""
    assert _trained_cost(5.0).may_use_last_slot(slots=1, draw=0.5)


def test_last_slot_is_used_without_a_slowdown() -> None:
    """Guards against slots that lie idle under load."""
    assert _trained_cost(1.0).may_use_last_slot(slots=3, draw=0.99)


@given(st.lists(st.floats(0.001, 10.0), min_size=16, max_size=600))
def test_quantiles_of_the_recent_durations(durations: list[float]) -> None:
    """Guards against a sorted list whose samples differ from the ring's."""
    window = attempt_durations.AttemptDurations()
    for duration_s in durations:
        window.add(duration_s)
    recent = sorted(durations[-256:])
    quantile = random.Random(len(durations)).random()
    expected = recent[min(len(recent) - 1, int(quantile * len(recent)))]
    assert window.quantile_s(quantile, target_s=1.0) == expected


def test_few_samples_use_the_target() -> None:
    """Guards against a quantile that is taken from a single sample."""
    window = attempt_durations.AttemptDurations()
    window.add(5.0)
    assert window.quantile_s(0.5, target_s=1.0) < 1.0
