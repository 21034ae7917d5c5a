"""Calls to the upstreams of a zone that returns to service."""

import functools

from tanagerspoke.coordination import subsetting
from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads

_NODES = tuple(f"n{number}" for number in range(41))
_SLOTS = 6


def _upstream(name: str, zone: str) -> upstreams.Upstream:
    return upstreams.Upstream(
        upstream_id=name,
        service="s",
        address="127.0.0.1",
        port=7000,
        slots=_SLOTS,
        availability_zone=zone,
    )


def _views(*zones: str) -> list[loads.LoadView]:
    """Returns the views of all nodes after the evacuation of zone b."""
    views = [
        loads.LoadView(position=functools.partial(subsetting.position, node))
        for node in _NODES
    ]
    listed = [_upstream(f"{z}{n}", z) for z in zones for n in range(5)]
    for view in views:
        view.set_upstreams(listed=listed, now=0.0)
        view.set_evacuated_zones(frozenset("b"), 1.0)
    return views


def _allowed(views: list[loads.LoadView], upstream_id: str, now: float) -> int:
    """Returns the calls that all nodes together may have in flight."""
    return sum(view.get(upstream_id).attempt_limit(now) for view in views)


def test_fleet_returns_to_a_zone_in_steps() -> None:
    """Guards against one call of each node at the moment of the return.

    41 nodes would send 41 calls to an upstream with six slots.
    """
    views = _views("a", "b")
    for view in views:
        view.set_evacuated_zones(frozenset(), 10.0)
    for number in range(5):
        name = f"b{number}"
        allowed = [_allowed(views, name, 10.0 + t) for t in (0, 1, 2, 3, 4.6)]
        assert allowed == sorted(allowed)
        # A tenth of the nodes, with one call each; a few more by chance.
        assert allowed[0] <= 2 * _SLOTS
        assert allowed[-1] == len(_NODES) * _SLOTS
        assert all(
            view.get(name).ramp_min_share == 0.0
            and view.get(f"a{number}").attempt_limit(10.0) == _SLOTS
            for view in views
        )


def test_first_zone_that_returns_is_used_by_all_nodes() -> None:
    """Guards against calls that wait although a whole zone is back."""
    views = _views("b")
    for view in views:
        assert not view.eligible
        view.set_evacuated_zones(frozenset(), 10.0)
        assert all(r.attempt_limit(10.0) >= 1 for r in view.eligible)


def test_later_ramps_begin_on_all_nodes() -> None:
    """Guards against nodes that leave out an upstream after its ejection."""
    for view in _views("a", "b"):
        view.set_evacuated_zones(frozenset(), 10.0)
        record = view.get("b0")
        assert record.attempt_limit(20.0) == _SLOTS
        record.ramp_starts_at = 30.0
        assert record.attempt_limit(30.0) == 1
