"""Tests of the preferred upstreams of a node."""

import collections
import dataclasses
import statistics

import hypothesis
from hypothesis import strategies as st

from tanagerspoke.coordination import subsetting
from tests.coordination import helpers

_LISTED = helpers.make_upstreams(90)


def _preferred(node: str = "n1", zone: str = "a", **changes) -> frozenset[str]:
    options = {"listed": _LISTED, "size": 6} | changes
    return subsetting.preferred_ids(
        node=node, availability_zone=zone, **options
    )


def test_own_zone_goes_first() -> None:
    """Guards against calls that cross zones without need."""
    zones = {u.upstream_id: u.availability_zone for u in _LISTED}
    assert {zones[name] for name in _preferred(zone="b")} == {"b"}
    assert len(_preferred(zone="b", size=40)) == 40


def test_nodes_prefer_different_upstreams() -> None:
    """Guards against nodes that all prefer the same few upstreams."""
    counts = collections.Counter(
        name for number in range(200) for name in _preferred(node=f"n{number}")
    )
    assert len(counts) == 30
    mean = statistics.mean(counts.values())
    assert max(counts.values()) < 1.6 * mean
    assert min(counts.values()) > 0.5 * mean


@hypothesis.given(
    removed=st.sampled_from(sorted(u.upstream_id for u in _LISTED)),
    node=st.integers(0, 50).map(str),
)
def test_little_moves_when_the_list_changes(removed: str, node: str) -> None:
    """Guards against connections that are all opened again after a change."""
    before = _preferred(node=node)
    remaining = [u for u in _LISTED if u.upstream_id != removed]
    after = _preferred(node=node, listed=remaining)
    assert len(before - after) <= (removed in before)
    restarted = [dataclasses.replace(u, started_ms=5) for u in _LISTED]
    assert _preferred(node=node, listed=reversed(restarted)) == before
