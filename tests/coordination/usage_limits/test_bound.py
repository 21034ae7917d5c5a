"""The bound over all nodes, under any schedule of faults."""

import functools
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from bench import usage_fleet
from bench import usage_limits
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.protocol import routing

_SECONDS = 10.0
_FAULT = st.sampled_from(
    ["restart", "stop", "cut", "heal", "part", "stall", "0", "1", "owners"]
)
# Faults that repeat at an interval find more than single ones.
_FAULTS = st.lists(
    st.tuples(
        _FAULT,
        st.floats(0.0, _SECONDS),
        st.integers(0, 4),
        st.integers(1, 8),
        st.floats(0.1, 2.0),
    ),
    max_size=6,
)


def _account(calls_per_s: float, burst_calls: float) -> routing.Account:
    return routing.Account(
        name="a", calls_per_s=calls_per_s, burst_calls=burst_calls
    )


class _Network:
    """Loses, delays and repeats datagrams, and cuts nodes off."""

    def __init__(self, *, seed: int, loss: float, max_delay_s: float) -> None:
        self._rng = random.Random(seed)
        self._loss = loss
        self._max_delay_s = max_delay_s
        self.cut: set[str] = set()
        self.stalled_node = ""
        self.stalled_until = 0.0

    def link(self, source: str, target: str, now: float) -> list[float]:
        if source == self.stalled_node and now < self.stalled_until:
            return [self.stalled_until - now]
        if (source in self.cut) != (target in self.cut):
            return []
        delays = []
        while self._rng.random() >= self._loss:
            is_slow = self._rng.random() < 0.3
            delays.append(
                self._rng.uniform(0.0, self._max_delay_s if is_slow else 0.01)
            )
            if self._rng.random() < 0.8:
                break
        return delays


def _apply_fault(
    fleet: usage_fleet.UsageFleet, network: _Network, kind: str, number: int
) -> None:
    node = fleet.nodes[number % len(fleet.nodes)]
    match kind:
        case "restart":
            fleet.start(node)
        case "stop" if len(fleet.running) > 1:
            fleet.stop(node)
        case "cut":
            network.cut ^= {node}
        case "heal":
            network.cut.clear()
        case "part":
            network.cut = {fleet.owners("a")[0]}
        case "stall":
            network.stalled_node = fleet.owners("a")[0]
            network.stalled_until = fleet.now + 2.0
        case "0" | "1":
            fleet.start(fleet.owners("a")[int(kind)])
        case "owners":
            for owner in fleet.owners("a"):
                fleet.start(owner)


def _flood(
    fleet: usage_fleet.UsageFleet, account: routing.Account, seed: int
) -> None:
    """Schedules steady calls and bursts, several times the limit."""
    rng = random.Random(seed)
    calls_per_s = 3.0 * account.calls_per_s + account.burst_calls + 10.0
    burst_share = rng.choice([0.0, 0.5, 0.9])
    time_s = 0.0
    while time_s < _SECONDS:
        count = 1
        if rng.random() < burst_share:
            count = int(calls_per_s * rng.uniform(0.1, 1.0)) + 1
        time_s += rng.uniform(0.0, 2.0 * count / calls_per_s)
        node = rng.choice(fleet.nodes)
        for _ in range(count):
            fleet.at(
                time_s,
                functools.partial(
                    fleet.call, node, "a", is_retry=rng.random() < 0.5
                ),
            )


def _excess(
    fleet: usage_fleet.UsageFleet,
    account: routing.Account,
    tolerance: shares.Tolerance,
) -> float:
    return usage_fleet.max_in_window(
        fleet.admitted_at("a"), tolerance.window_s
    ) - shares.max_calls(account, tolerance)


@hypothesis.settings(deadline=None, max_examples=300)
@hypothesis.given(
    faults=_FAULTS,
    seed=st.integers(0, 2**16),
    loss=st.sampled_from([0.0, 0.1, 0.5]),
    max_delay_s=st.sampled_from([0.02, 0.25, 2.0]),
    limit=st.tuples(st.floats(0.2, 30.0), st.floats(0.0, 40.0)),
    tolerance=st.builds(
        shares.Tolerance,
        window_s=st.sampled_from([1.0, 5.0]),
        overage=st.sampled_from([0.0, 0.1, 1.0]),
        tolerance_calls=st.sampled_from([1.0, 20.0]),
    ),
)
def test_no_schedule_exceeds_the_bound(
    faults, seed, loss, max_delay_s, limit, tolerance
) -> None:
    """Guards against more calls in a window than the tolerance allows.

    Datagrams are lost, late or repeated; nodes are cut off, killed and
    restarted, also both owners at once; all agree on the list of nodes.
    """
    account = _account(*limit)
    network = _Network(seed=seed, loss=loss, max_delay_s=max_delay_s)
    fleet = usage_fleet.UsageFleet(
        nodes=5,
        accounts=[account],
        divide=functools.partial(shares.divide, tolerance=tolerance),
        link=network.link,
    )
    for kind, time_s, number, repeats, interval_s in faults:
        for repeat in range(repeats):
            fleet.at(
                time_s + repeat * interval_s,
                functools.partial(_apply_fault, fleet, network, kind, number),
            )
    _flood(fleet, account, seed)
    fleet.run(_SECONDS + 3.0)
    assert fleet.results
    assert _excess(fleet, account, tolerance) <= 1e-6


@pytest.mark.parametrize("full_pool", [False, True])
def test_full_limit_at_the_backup_owner_breaks_the_bound(
    full_pool: bool,
) -> None:
    """Guards against a check of the bound that can't fail."""
    tolerance = usage_limits.TOLERANCE
    account = _account(20.0, 40.0)

    def divide(limited: routing.Account) -> shares.Shares:
        divided = shares.divide(limited, tolerance)
        if not full_pool:
            return divided
        return shares.Shares(
            calls_per_s=divided.calls_per_s,
            burst_calls=divided.burst_calls,
            pool_calls=20.0 * 5.0 + 40.0,
            pool_window_s=divided.pool_window_s,
        )

    network = _Network(seed=1, loss=0.0, max_delay_s=0.01)
    fleet = usage_fleet.UsageFleet(
        nodes=5, accounts=[account], divide=divide, link=network.link
    )
    network.cut = set(fleet.nodes) - {fleet.owners("a")[0]}
    _flood(fleet, account, seed=1)
    fleet.run(_SECONDS)
    assert (_excess(fleet, account, tolerance) > 0) == full_pool


def test_a_lowered_limit_binds_within_a_window() -> None:
    """Guards against tokens of the old limit that outlast the window."""
    tolerance = usage_limits.TOLERANCE
    network = _Network(seed=2, loss=0.1, max_delay_s=0.05)
    fleet = usage_fleet.UsageFleet(
        nodes=5,
        accounts=[_account(50.0, 50.0)],
        divide=functools.partial(shares.divide, tolerance=tolerance),
        link=network.link,
    )
    lowered = _account(4.0, 2.0)
    _flood(fleet, _account(50.0, 50.0), seed=2)
    fleet.at(3.0, functools.partial(fleet.set_account, lowered))
    fleet.run(_SECONDS)
    late = [t for t in fleet.admitted_at("a") if t > 3.0 + tolerance.window_s]
    assert late
    assert usage_fleet.max_in_window(
        late, tolerance.window_s
    ) <= shares.max_calls(lowered, tolerance)


@hypothesis.settings(deadline=None, max_examples=100)
@hypothesis.given(
    seed=st.integers(0, 2**16),
    changes=st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=8),
    differ_s=st.floats(0.0, 3.0),
    rate=st.floats(0.2, 50.0),
)
def test_different_lists_add_only_the_rate_while_they_differ(
    seed, changes, differ_s, rate
) -> None:
    """Guards against two owners that each grant a burst.

    Some nodes drop the owner from their list for a time, or only some learn
    that it is back.
    """
    tolerance = usage_limits.TOLERANCE
    account = _account(rate, 60.0)
    network = _Network(seed=seed, loss=0.05, max_delay_s=0.05)
    fleet = usage_fleet.UsageFleet(
        nodes=5,
        accounts=[account],
        divide=functools.partial(shares.divide, tolerance=tolerance),
        link=network.link,
    )
    others = set(fleet.nodes) - {fleet.owners("a")[0]}
    for number, is_early in changes:
        node = fleet.nodes[number]
        for time_s, listed in ((3.0, others), (7.0, fleet.nodes)):
            fleet.at(
                time_s if is_early else time_s + differ_s,
                functools.partial(fleet.set_nodes, node, listed),
            )
    for node in fleet.nodes:
        for time_s, listed in ((3.0, others), (7.0, fleet.nodes)):
            fleet.at(
                time_s + differ_s,
                functools.partial(fleet.set_nodes, node, listed),
            )
    _flood(fleet, account, seed)
    fleet.run(_SECONDS + 4.0)
    assert _excess(fleet, account, tolerance) <= rate * 2 * differ_s + 1e-6


@pytest.mark.parametrize("nodes", [40, 170])
@pytest.mark.parametrize("calls_per_s", [0.5, 2.0, 10.0])
def test_calls_below_the_limit_are_admitted(
    nodes: int, calls_per_s: float
) -> None:
    """Guards against refusals of allowed calls that are spread over nodes."""
    even = usage_limits.compare(
        calls_per_s=calls_per_s, nodes=nodes, even=True, seconds=30.0
    )
    assert even["owner"] == 0.0
    at_random = usage_limits.compare(
        calls_per_s=calls_per_s, nodes=nodes, even=False, seconds=30.0
    )
    assert at_random["owner"] < 0.01
    assert at_random["owner"] < at_random["fixed"]
