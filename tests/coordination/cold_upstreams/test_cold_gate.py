"""The limit of calls to cold upstreams, over all nodes."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke.coordination.cold_upstreams import cold_gate
from tests.coordination import helpers

_OVERAGE = 1.5
_TOLERANCE_CALLS = 8
_UPSTREAMS = helpers.make_upstreams(3)
_NODES = tuple(f"n{n}" for n in range(12))
_RATES = st.sampled_from([0.5, 1.0, 3.0, 4.0, 7.9, 8.0, 20.0, 100.0])
_WAITS_S = st.sampled_from([0.0, 0.001, 0.04, 0.1, 0.25, 0.5, 0.999, 1.0])


class _Node:
    """A process with its own list of nodes."""

    def __init__(self, *, name: str, rate: float) -> None:
        self.listed: frozenset[str] | None = None
        self.gate = cold_gate.ColdUpstreamGate(
            node=name,
            nodes=lambda: self.listed,
            calls_per_s=lambda: rate,
            is_cold=lambda upstream, now: True,
        )

    def send(self, sent: dict[str, list[float]], now: float) -> None:
        """Sends as many calls as the gate lets pass."""
        for upstream in _UPSTREAMS:
            while self.gate.admits(upstream, now):
                self.gate.record_dispatch(upstream, now)
                sent[upstream.upstream_id].append(now)


def _assert_bound(sent: dict[str, list[float]], rate: float) -> None:
    for times in sent.values():
        for start in times:
            count = sum(start <= at < start + 1.0 for at in times)
            assert count <= rate * _OVERAGE + _TOLERANCE_CALLS


@hypothesis.given(
    live=st.sets(st.sampled_from(_NODES), min_size=1),
    rate=_RATES,
    demand=st.lists(
        st.tuples(_WAITS_S, st.sets(st.integers(0, 11))), max_size=40
    ),
)
def test_agreeing_lists_keep_the_bound(live, rate, demand) -> None:
    """Guards against more calls in a second than a cold upstream may get."""
    nodes = [_Node(name=name, rate=rate) for name in sorted(live)]
    sent = {u.upstream_id: [] for u in _UPSTREAMS}
    now = 0.0
    for wait_s, askers in demand:
        now += wait_s
        for number in sorted(askers):
            node = nodes[number % len(nodes)]
            node.listed = frozenset(live)
            node.send(sent, now)
    _assert_bound(sent, rate)
    for times in sent.values():
        assert len(times) <= 4 + rate * now


@hypothesis.given(data=st.data(), unknown=st.sampled_from([0, 1, 2]))
def test_differing_lists_keep_the_bound(data, unknown) -> None:
    """Guards against excess calls while nodes start, stop or are cut off.

    Each list holds any stopped nodes and all live ones, except for at most
    `unknown` nodes that started lately and that any others may not know. Nodes
    start, stop or restart at most 4 times less 2 for each such node.
    """
    rate = data.draw(_RATES)
    changes_left = 4 - 2 * unknown
    live = {name: _Node(name=name, rate=rate) for name in _NODES[:6]}
    new_names = frozenset(_NODES[:unknown])
    sent = {u.upstream_id: [] for u in _UPSTREAMS}
    now = 0.0
    for wait_s in data.draw(st.lists(_WAITS_S, max_size=20)):
        now += wait_s
        changed = data.draw(st.sampled_from(_NODES))
        if changes_left > 0 and data.draw(st.booleans()):
            changes_left -= 1
            if live.pop(changed, None) is None:
                live[changed] = _Node(name=changed, rate=rate)
        for name, node in live.items():
            stopped = data.draw(st.sets(st.sampled_from(_NODES), max_size=4))
            missing = data.draw(st.booleans())
            node.listed = frozenset(live) | stopped | {name}
            if missing:
                node.listed -= new_names - {name}
            node.send(sent, now)
    _assert_bound(sent, rate)


def test_rate_is_used() -> None:
    """Guards against a rate that is left unused, or saved up for a burst."""
    nodes = [_Node(name=name, rate=20.0) for name in _NODES]
    sent = {u.upstream_id: [] for u in _UPSTREAMS}
    for step in range(1001):
        for node in nodes:
            node.listed = frozenset(_NODES)
            node.send(sent, step / 100)
    assert all(195 <= len(times) <= 204 for times in sent.values())
    for node in nodes:
        node.send(sent, 99.0)
    assert all(times.count(99.0) == 4 for times in sent.values())


@pytest.mark.parametrize("listed", [None, frozenset({"n1"})])
def test_node_that_is_not_listed(listed: frozenset[str] | None) -> None:
    """Guards against a node that the others don't count."""
    node = _Node(name="n0", rate=20.0)
    node.listed = listed
    assert not node.gate.admits(_UPSTREAMS[0], 1.0)


def test_upstreams_that_are_not_limited() -> None:
    """Guards against a limit of warm upstreams, or without a rate."""
    cold = dataclasses.replace(_UPSTREAMS[0], upstream_id="cold")
    for rate, upstream in ((0.0, cold), (1.0, _UPSTREAMS[0])):
        gate = cold_gate.ColdUpstreamGate(
            node="n0",
            nodes=lambda: None,
            calls_per_s=lambda rate=rate: rate,
            is_cold=lambda u, now: u is cold,
        )
        for _ in range(100):
            assert gate.admits(upstream, 0.0)
            gate.record_dispatch(upstream, 0.0)
