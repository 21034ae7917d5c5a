"""Tests of second attempts within the share that the operators set."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from bench import second_attempts as model
from tanagerspoke.coordination.second_attempts import allowance
from tanagerspoke.coordination.second_attempts import timing
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams
from tests.coordination import helpers

_STEPS = st.lists(
    st.sampled_from(("call", "waiting call", "write", "retry", "hedge")),
    max_size=400,
)
_IDLE = upstreams.LoadReport(in_flight=0, slots=3)
_COLD = dataclasses.replace(_IDLE, phase=upstreams.UpstreamPhase.COLD)


@hypothesis.given(steps=_STEPS, share=st.floats(0.0, 1.0))
def test_share_bounds_the_attempts_of_any_interval(
    steps: list[str], share: float
) -> None:
    """Guards against more extra work than the operators accept."""
    allowed = allowance.Allowance(share=share)
    repeatable = hedges = 0
    # Largest excess of an interval that ends now.
    excess = 0.0
    for step in steps:
        match step:
            case "call" | "waiting call":
                repeatable += 1
                excess = max(0.0, excess - share)
                allowed.record_call(
                    repeatable=True, waited=step == "waiting call"
                )
            case "write":
                allowed.record_call(repeatable=False, waited=False)
            case "retry":
                allowed.record_retry()
            case _ if allowed.spend():
                hedges += 1
                excess += 1.0
        assert hedges <= share * repeatable + 1e-6
        assert excess <= allowance.MAX_CARRY_ATTEMPTS + 1e-6


def test_allowance_is_zero_while_most_calls_wait() -> None:
    """Guards against extra work for upstreams that are overloaded."""
    allowed = allowance.Allowance(share=1.0)
    for _ in range(10):
        allowed.record_call(repeatable=True, waited=False)
    assert allowed.remaining == allowance.MAX_CARRY_ATTEMPTS
    for _ in range(20):
        allowed.record_call(repeatable=True, waited=True)
    assert allowed.remaining == 0.0
    assert not allowed.spend()


@pytest.mark.parametrize(
    ("started_at", "slowness", "expected"),
    [
        (0.0, 1.0, 0.3),
        # The host of the first attempt is known to be slow.
        (0.0, 2.0, 0.15),
        (0.0, 100.0, 0.075),
        # Less of the target is left, after a wait or an attempt that failed.
        (0.25, 1.0, 0.5),
        # The second attempt can't meet the target.
        (0.45, 1.0, 1.05),
        # It can't meet the deadline either.
        (1.9, 1.0, None),
    ],
)
def test_time_of_a_second_attempt(
    started_at: float, slowness: float, expected: float | None
) -> None:
    """Guards against second attempts that come too early or too late."""
    call = _call(1, 0.0)
    durations = timing.RouteDurations(
        typical_s=0.1, median_s=0.12, due_s=0.3, late_s=0.6
    )
    due_at = timing.due_at(
        call=call,
        started_at=started_at,
        host_slowness=slowness,
        durations=durations,
    )
    assert due_at == pytest.approx(expected)


def _check_limit(run: model.Run, share: float) -> None:
    for hedges, sent_calls in run.hedges_by_node:
        assert hedges <= share * sent_calls


def _compare(
    load: model.Load, share: float, duration_s: float = 20.0
) -> tuple[model.Run, model.Run]:
    load = dataclasses.replace(load, duration_s=duration_s)
    limited = model.run(load, share=share, seed=1)
    _check_limit(limited, share)
    return model.run(load, share=0.0, seed=1), limited


def test_third_of_the_upstreams_slow_in_spells() -> None:
    """Guards against second attempts that do not cut the slowest answers.

    Load: 40 % of the slots; every 150 ms another third of the upstreams is six
    times slower for the calls that start then.
    """
    without, limited = _compare(model.LOADS["spells"], 0.05)
    assert limited.quantile_s(0.99) < 0.85 * without.quantile_s(0.99)
    assert limited.quantile_s(0.5) < 1.05 * without.quantile_s(0.5)


def test_mute_upstream() -> None:
    """Guards against calls that wait for an upstream that never answers.

    Load: 40 % of the slots; one of nine upstreams answers no call for 2 s in
    each 6 s, while its health responses show it idle.
    """
    without, limited = _compare(model.LOADS["mute"], 0.05)
    missed = 1.0 - limited.in_time_share
    assert missed < 0.5 * (1.0 - without.in_time_share)


def test_all_upstreams_slow() -> None:
    """Guards against extra work where no upstream would be faster.

    Load: 20 % of the slots; all upstreams are three times slower for 20 s.
    """
    load = model.LOADS["all slow"]
    without, limited = _compare(load, 0.05, duration_s=45.0)
    assert limited.quantile_s(0.99) < 1.05 * without.quantile_s(0.99)
    while_slow = [at for at in limited.hedge_times if 20.5 < at < 40.0]
    assert len(while_slow) < len(limited.hedge_times) / 20


def test_full_house() -> None:
    """Guards against second attempts that take the slots of waiting calls.

    Load: 120 % of what the upstreams can do, with slow spells.
    """
    without, limited = _compare(model.LOADS["full house"], 0.1, 8.0)
    assert limited.hedges < 0.002 * limited.first_attempts
    assert limited.in_time_share > without.in_time_share - 0.02


def test_nodes_with_few_calls() -> None:
    """Guards against nodes whose share never amounts to a second attempt.

    Load: 20 nodes with four calls a second each and slow spells.
    """
    without, limited = _compare(model.LOADS["few calls"], 0.02, 45.0)
    assert sum(hedges > 0 for hedges, _ in limited.hedges_by_node) >= 15
    assert limited.quantile_s(0.99) < without.quantile_s(0.99)


def _call(call_id: int, now: float, *, idempotent: bool = True) -> calls.Call:
    return calls.Call(
        call_id=call_id,
        client_account="",
        call_class=calls.CallClass.LOOKUP,
        idempotent=idempotent,
        hedge=idempotent,
        arrived_at=now,
        target_at=now + 0.6,
        deadline=now + 2.0,
        route="r",
        max_attempts=2,
    )


class _Node:
    """A node whose upstreams respond to probes with `loads` and hold calls."""

    def __init__(
        self, *, count: int, loads: dict[str, upstreams.LoadReport]
    ) -> None:
        self.loads = loads
        self.dispatches: list[calls.Dispatch] = []
        self.cancelled: list[calls.CancelAttempt] = []
        self.scheduler = helpers.make_route_scheduler(
            cross_zone_penalty_s=0.0,
            budget_ratio=1.0,
            budget_window_s=100.0,
            probe_rate_s=60.0,
            hedge_share=1.0,
        )
        listed = helpers.make_upstreams(count)
        self.handle(calls.UpstreamsChanged(upstreams=listed), 0.0)

    def handle(self, event: calls.SchedulerEvent, now: float) -> None:
        for action in self.scheduler.handle(event=event, now=now):
            match action:
                case calls.Probe(upstream_id=upstream_id):
                    load = self.loads.get(upstream_id, _IDLE)
                    probed = calls.ProbeEnded(
                        upstream_id=upstream_id, load=load, responded=True
                    )
                    self.handle(probed, now)
                case calls.Dispatch():
                    self.dispatches.append(action)
                case calls.CancelAttempt():
                    self.cancelled.append(action)

    def run(self, until: float) -> None:
        while (at := self.scheduler.next_wakeup) is not None and at <= until:
            self.handle(calls.Tick(), at)


def test_second_attempt_of_a_route_without_samples() -> None:
    """Guards against a start without second attempts, or with early ones.

    The loser is cancelled once the other attempt has an answer.
    """
    node = _Node(count=3, loads={})
    node.handle(calls.CallArrived(call=_call(1, 0.0)), 0.0)
    node.run(0.299)
    assert len(node.dispatches) == 1
    node.run(0.32)
    first, hedge = node.dispatches
    assert hedge.is_hedge
    assert hedge.upstream_id != first.upstream_id
    node.handle(
        calls.AttemptEnded(
            call_id=1,
            attempt=hedge.attempt,
            upstream_id=hedge.upstream_id,
            result=calls.Answered(status=200),
        ),
        0.35,
    )
    assert [c.attempt for c in node.cancelled] == [first.attempt]


def test_second_attempt_comes_earlier_on_a_slow_host() -> None:
    """Guards against a wait for an upstream that reports a slow host."""
    node = _Node(count=3, loads={})
    node.handle(calls.CallArrived(call=_call(1, 0.0)), 0.0)
    slow = dataclasses.replace(_IDLE, in_flight=1, host_slowness=3.0)
    first = node.dispatches[0].upstream_id
    node.loads[first] = slow
    node.handle(calls.LoadReported(upstream_id=first, load=slow), 0.05)
    node.run(0.16)
    assert [d.is_hedge for d in node.dispatches] == [False, True]


def test_no_second_attempt_of_a_write_or_on_a_cold_upstream() -> None:
    """Guards against a repeated write, and against load on cold upstreams."""
    node = _Node(count=3, loads={})
    node.handle(calls.CallArrived(call=_call(1, 0.0, idempotent=False)), 0.0)
    node.run(1.9)
    assert len(node.dispatches) == 1
    node = _Node(count=2, loads={"u1": _COLD})
    node.handle(calls.CallArrived(call=_call(1, 0.0)), 0.0)
    assert node.dispatches[0].upstream_id == "u0"
    node.run(1.9)
    assert len(node.dispatches) == 1


def test_no_second_attempt_on_an_upstream_whose_entry_says_cold() -> None:
    """Guards against hedges to cold upstreams whose calls are not limited."""
    node = _Node(count=3, loads={})
    cold_until = {f"u{number}": 10.0 for number in range(3)}
    listed = helpers.make_upstreams(3)
    changed = calls.UpstreamsChanged(upstreams=listed, cold_until=cold_until)
    node.handle(changed, 0.0)
    node.handle(calls.CallArrived(call=_call(1, 0.0)), 0.0)
    node.run(1.9)
    assert len(node.dispatches) == 1


def test_share_that_is_changed_while_a_call_runs() -> None:
    """Guards against a changed setting that only new calls follow."""
    node = _Node(count=3, loads={})
    node.handle(calls.CallArrived(call=_call(1, 0.0)), 0.0)
    node.scheduler.set_hedge_share(0.0)
    node.run(1.9)
    assert len(node.dispatches) == 1


def test_second_attempts_leave_a_part_of_the_budget_to_retries() -> None:
    """Guards against second attempts that use up the budget of retries."""
    node = _Node(count=3, loads={})
    budget = node.scheduler._budget
    while budget.remaining(0.0) > 0.2 * budget.allowed(0.0):
        assert budget.spend(0.0)
    node.handle(calls.CallArrived(call=_call(1, 0.0)), 0.0)
    node.run(1.9)
    assert len(node.dispatches) == 1
    assert budget.spend(1.9)
