"""Tests of the control plane budget."""

import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tanagerspoke.coordination import budget

_BYTES_PER_S = 4096


def _budget() -> budget.ControlBudget:
    return budget.ControlBudget(
        bytes_per_s=_BYTES_PER_S, cpu_share=0.042, memory_bytes=1000, now=0.0
    )


@hypothesis.settings(max_examples=150, stateful_step_count=40)
class BudgetMachine(stateful.RuleBasedStateMachine):
    """Guards against overdrawing the byte budget over any window."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = _budget()
        self.now = 0.0
        self.unsettled: list[budget.Grant] = []
        # Time and bytes of every grant; `settle` replaces the granted bytes by
        # the used ones.
        self.granted: list[list[float]] = []
        self.grant_index: dict[int, int] = {}

    @stateful.rule(seconds=st.floats(0, 3))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(seconds=st.floats(0, 100))
    def step_clock_back(self, seconds: float) -> None:
        self.budget.request(
            kind=budget.Kind.PROBE, size_bytes=10**6, now=self.now - seconds
        )

    @stateful.rule(
        kind=st.sampled_from(budget.Kind), size=st.integers(1, _BYTES_PER_S)
    )
    def request(self, kind: budget.Kind, size: int) -> None:
        grant = self.budget.request(kind=kind, size_bytes=size, now=self.now)
        if grant is not None:
            self.grant_index[id(grant)] = len(self.granted)
            self.unsettled.append(grant)
            self.granted.append([self.now, size])

    @stateful.precondition(lambda self: self.unsettled)
    @stateful.rule(share=st.floats(0, 1))
    def settle(self, share: float) -> None:
        grant = self.unsettled.pop(0)
        used = int(grant.size_bytes * share)
        self.budget.settle(grant, used_bytes=used, now=self.now)
        self.granted[self.grant_index[id(grant)]][1] = used

    @stateful.invariant()
    def never_overdrawn(self) -> None:
        for first in range(len(self.granted)):
            spent = 0.0
            for at, size in itertools.islice(self.granted, first, None):
                spent += size
                window_s = at - self.granted[first][0]
                assert spent <= _BYTES_PER_S * (window_s + 1) + 1e-6
        assert (
            sum(size for _, size in self.granted)
            <= _BYTES_PER_S * self.now + 1e-6
        )


TestBudgetMachine = BudgetMachine.TestCase


def test_probes_leave_room_for_heartbeats() -> None:
    """Guards against heartbeats that are starved by a surge of probes."""
    control_budget = _budget()
    grant_counts = dict.fromkeys(budget.Kind, 0)

    def send(kind: budget.Kind, size: int, now: float) -> None:
        grant = control_budget.request(kind=kind, size_bytes=size, now=now)
        if grant is not None:
            grant_counts[kind] += 1
            control_budget.settle(grant, used_bytes=size, now=now)

    for tick in range(1, 1001):
        send(budget.Kind.PROBE, 530, tick / 100)
        if tick % 25 == 0:
            send(budget.Kind.HEARTBEAT, 900, tick / 100)
    # A heartbeat of 900 bytes every 0.25 s for 10 s, without the first ones.
    assert grant_counts[budget.Kind.HEARTBEAT] >= 38
    assert grant_counts[budget.Kind.PROBE] > 0


def test_polls_leave_room_for_probes() -> None:
    """Guards against polls at their shortest interval that starve probes."""
    control_budget = _budget()
    probed_at = [0.0]
    # In each second: a poll of the head, two of host lists and a heartbeat.
    polls = (
        budget.Kind.HEAD,
        budget.Kind.HOSTS,
        budget.Kind.HOSTS,
        budget.Kind.HEARTBEAT,
    )
    for tick in range(1, 241):
        now = tick / 4
        kind = polls[tick % 4]
        grant = control_budget.request(kind=kind, size_bytes=940, now=now)
        if grant is not None:
            control_budget.settle(grant, used_bytes=940, now=now)
        else:
            # The bucket is empty at the start.
            assert kind is budget.Kind.HOSTS or tick == 1
        grant = control_budget.request(
            kind=budget.Kind.PROBE, size_bytes=530, now=now
        )
        if grant is not None:
            control_budget.settle(grant, used_bytes=530, now=now)
            probed_at.append(now)
    gaps = [b - a for a, b in itertools.pairwise([*probed_at, 60.0])]
    assert max(gaps) <= 6.0


@pytest.mark.parametrize("seed", range(10))
def test_host_list_is_granted_in_time_while_the_budget_is_used_up(
    seed: int,
) -> None:
    """Guards against a list of leaving hosts that is read after their drain.

    New calls must end 3 s after the entry changed. The poll interval takes up
    to 1.25 s of it, and the news to other hosts 0.3 s.
    """
    rng = random.Random(seed)
    control_budget = _budget()
    due_at = {"heartbeat": 0.3, "peer": 0.4, "head": 0.5, "list": 0.6}
    waits = []

    def is_granted(kind: budget.Kind, size: int, now: float) -> bool:
        grant = control_budget.request(kind=kind, size_bytes=size, now=now)
        if grant is not None:
            control_budget.settle(grant, used_bytes=size, now=now)
        return grant is not None

    list_due_at = due_at["list"]
    for tick in range(1, 6001):
        now = tick / 100
        for name in [n for n, at in due_at.items() if now >= at]:
            # Half a second between heartbeats to two peers, and from one.
            due_at[name] = now + rng.uniform(0.4, 0.6)
            match name:
                case "peer":
                    control_budget.charge(
                        kind=budget.Kind.HEARTBEAT, size_bytes=300, now=now
                    )
                case "heartbeat":
                    is_granted(budget.Kind.HEARTBEAT, 560, now)
                    is_granted(budget.Kind.HEARTBEAT, 560, now)
                case "head":
                    if is_granted(budget.Kind.HEAD, 791, now):
                        due_at[name] = now + rng.uniform(0.75, 1.25)
                case _ if is_granted(budget.Kind.HOSTS, 534, now):
                    waits.append(now - list_due_at)
                    # The list and the drain rows in turn.
                    list_due_at = now + rng.uniform(0.375, 0.625)
                    due_at[name] = list_due_at
                case _:
                    due_at[name] = now + 0.25
    assert max(waits) <= 3.0 - 1.25 - 0.3


def test_essential_kinds_are_granted_while_processor_time_is_overspent() -> (
    None
):
    """Guards against a surge of claims that delays configuration and drains."""
    control_budget = _budget()
    control_budget.charge_cpu(kind=budget.Kind.PROCESS, cpu_s=50.0, now=1.0)
    for kind in budget.Kind:
        grant = control_budget.request(kind=kind, size_bytes=100, now=2.0)
        essential = kind in ("heartbeat", "head", "config", "hosts")
        assert (grant is not None) == essential, kind
    assert control_budget.request(
        kind=budget.Kind.PROBE, size_bytes=100, now=20.0
    )


def test_debt_of_peer_messages_is_paid_first() -> None:
    """Guards against peer messages that raise the spending above the budget."""
    control_budget = _budget()
    control_budget.charge(
        kind=budget.Kind.HEARTBEAT, size_bytes=3 * _BYTES_PER_S, now=1.0
    )
    request = {"kind": budget.Kind.HEARTBEAT, "size_bytes": 100}
    assert control_budget.request(**request, now=3.2) is None
    assert control_budget.request(**request, now=3.3) is not None


def test_rate_holds_over_a_window_from_full_bucket_to_debt() -> None:
    """Guards against a burst that raises a window's mean above the budget."""
    window_s = 20
    control_budget = budget.ControlBudget(
        bytes_per_s=4096.0, cpu_share=1.0, memory_bytes=1 << 30, now=0.0
    )
    spent = 0
    for step in range(100 * window_s):
        now = 60.0 + step / 100
        grant = control_budget.request(
            kind=budget.Kind.HEARTBEAT, size_bytes=500, now=now
        )
        if grant is not None:
            control_budget.settle(grant, used_bytes=500, now=now)
            spent += 500
    control_budget.charge(kind=budget.Kind.HEARTBEAT, size_bytes=700, now=now)
    assert spent + 700 <= 4096 * window_s
