"""The soak test's plan of faults and its closing line."""

from bench import soak
from bench import soak_faults

_TARGETS = soak_faults.Targets(
    programs=("agent-entry-1",), upstreams=("booking-1",), links=("link",)
)


def test_plan_is_fixed_by_its_seed() -> None:
    """Guards against a seed that cannot be run again."""
    plans = [
        soak_faults.plan(seed=seed, seconds=60.0, targets=_TARGETS)
        for seed in (1, 1, 2)
    ]
    assert plans[0] == plans[1] != plans[2]


def test_plan_draws_every_kind_and_overlaps() -> None:
    """Guards against faults that are never set, or never meet."""
    lanes = soak_faults.plan(seed=1, seconds=200.0, targets=_TARGETS)
    kinds = {type(p.fault) for lane in lanes for p in lane}
    assert len(kinds) == 5
    first, second = lanes
    assert any(
        a.start_s < b.end_s and b.start_s < a.end_s
        for a in first
        for b in second
    )


def test_closing_line_has_seed_and_counts() -> None:
    """Guards against a run that cannot be told apart from another."""
    line = soak.closing_line(
        seed=7, seconds=60.0, counts={"b": 2, "a": 1}, violations=3
    )
    assert line == "soak: seed=7 seconds=60 a=1 b=2 violations=3"
