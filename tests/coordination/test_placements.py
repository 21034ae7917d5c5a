"""Tests of the explanation of where a call would go."""

import dataclasses

import pytest

from bench import second_attempts as model
from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import upstreams
from tests.coordination import helpers
from tests.coordination import test_load_patterns
from tests.coordination.cold_upstreams import test_patterns

# More calls than the queue of the only node can hold.
_OVERRUN = model.Load(
    name="overrun", plan=model.no_fault, utilization=10.0, nodes=1, upstreams=1
)
_IDLE = upstreams.LoadReport(in_flight=0, slots=3)


@pytest.fixture
def explained(
    monkeypatch: pytest.MonkeyPatch,
) -> list[tuple[placement.ServicePlacement, list[calls.SchedulerAction]]]:
    """Explains each call before it arrives, and others before each event."""
    handle = route_scheduling.RouteScheduler.handle
    pairs = []

    def explain_and_handle(self, *, event, now):
        if isinstance(event, calls.CallArrived):
            explanation = self.explain(call=event.call, now=now)
        elif isinstance(event, calls.AttemptEnded):
            self.explain(call=_call(now), now=now)
        actions = handle(self, event=event, now=now)
        if isinstance(event, calls.CallArrived):
            own_id = event.call.call_id
            own = [a for a in actions if getattr(a, "call_id", None) == own_id]
            pairs.append((explanation, own))
        return actions

    monkeypatch.setattr(
        route_scheduling.RouteScheduler, "handle", explain_and_handle
    )
    return pairs


def _call(now: float, *, deadline_s: float = 3.0) -> calls.Call:
    return calls.Call(
        call_id=-1,
        client_account="",
        call_class=calls.CallClass.LOOKUP,
        idempotent=True,
        hedge=True,
        arrived_at=now,
        target_at=now + 0.6,
        deadline=now + deadline_s,
        route="unused",
    )


def _check_agreement(explained) -> tuple[int, int]:
    """Compares explanations with actions; returns those sent and refused."""
    sent = refused = 0
    for explanation, actions in explained:
        if explanation.outcome is placement.Outcome.REFUSE:
            (refusal,) = actions
            assert explanation.refusal.code == refusal.code
            assert (
                explanation.refusal.retry_after_s - 1e-9
                <= refusal.retry_after_s
                <= explanation.refusal.max_retry_after_s + 1e-9
            )
            refused += 1
            continue
        assert not any(isinstance(a, calls.Refuse) for a in actions)
        if explanation.calls_ahead:
            continue
        chosen = [a.upstream_id for a in actions]
        by_id = {c.upstream_id: c for c in explanation.candidates}
        if explanation.outcome is placement.Outcome.SEND:
            taken, best = by_id[chosen[0]], by_id[explanation.upstream_id]
            assert taken.exclusion in (None, placement.Exclusion.TOO_BUSY)
            if taken.exclusion is None:
                assert taken.cost_s <= 1.1 * best.cost_s + 1e-9
            sent += 1
        elif chosen:
            # One draw in ten allows the last slot.
            assert by_id[chosen[0]].exclusion is placement.Exclusion.TOO_BUSY
    return sent, refused


@pytest.mark.parametrize("name", ["spells", "full house"])
def test_explanation_changes_nothing(
    name: str, request: pytest.FixtureRequest
) -> None:
    """Guards against an explanation that alters the calls after it.

    A draw of the random generator, a token or a place would show in the calls.
    """
    load = dataclasses.replace(model.LOADS[name], duration_s=4.0)
    expected = model.run(load, share=0.05, seed=1)
    explained = request.getfixturevalue("explained")
    assert model.run(load, share=0.05, seed=1) == expected
    assert len(explained) == len(expected.records)


@pytest.mark.parametrize(
    ("load", "min_sent", "min_refused"),
    [
        (model.LOADS["spells"], 100, 0),
        (model.LOADS["full house"], 10, 0),
        (_OVERRUN, 0, 100),
    ],
)
def test_explanation_agrees_with_the_decision(
    load: model.Load, min_sent: int, min_refused: int, explained
) -> None:
    """Guards against an explanation of something else than what happens."""
    load = dataclasses.replace(load, duration_s=6.0)
    model.run(load, share=None, seed=1)
    sent, refused = _check_agreement(explained)
    assert sent >= min_sent
    assert refused >= min_refused


@pytest.mark.parametrize("limited", [True, False])
def test_explanation_agrees_with_cold_and_evacuated_upstreams(
    limited: bool, explained
) -> None:
    """Guards against an explanation that does not know a step of the choice.

    Load: 20 % of what all upstreams can do. All are cold from 2 to 4 s, a zone
    from 4 to 6 s, and another one is evacuated from 5 to 6 s.
    """
    fleet = test_patterns._Fleet(limited=limited)
    fleet.offer(rate_per_s=40.0, until_s=8.0)
    ids = [u.upstream_id for u in fleet.listed]
    fleet.clock.schedule(2.0, fleet.make_cold, ids, 2.0)
    fleet.clock.schedule(4.0, fleet.make_cold, test_patterns._ZONE_A, 2.0)
    fleet.clock.schedule(5.0, fleet.evacuate, "b")
    fleet.clock.schedule(6.0, fleet.evacuate)
    fleet.run()
    sent, _ = _check_agreement(explained)
    assert sent >= 10
    exclusions = {
        c.exclusion for e, _ in explained for c in e.candidates if c.exclusion
    }
    assert placement.Exclusion.ZONE_EVACUATED in exclusions
    cold = {placement.Exclusion.COLD, placement.Exclusion.COLD_LIMIT}
    assert exclusions & cold == (cold if limited else set())


def test_explanation_agrees_while_probes_are_used_up(explained) -> None:
    """Guards against an explanation that does not know the room condition.

    Load: 30 % of what the upstreams can do, with one probe in 20 s for each.
    """
    fleet = test_load_patterns._Fleet(nodes=20, probes_per_upstream_s=0.05)
    fleet.offer(rate_per_s=test_load_patterns._rate(0.3), until_s=6.0)
    fleet.run()
    sent, _ = _check_agreement(explained)
    assert sent >= 100


class _RefusingGate(dispatch_gate.DispatchGate):
    """Leaves out `u6` and refuses calls with `code`."""

    code: errors.ErrorCode | None = None

    def check(self, call, now):
        return self.code

    def admits(self, upstream, now):
        return upstream.upstream_id != "u6"

    def record_dispatch(self, upstream, now):
        raise AssertionError("an explanation sends nothing")


def test_reason_of_each_upstream() -> None:
    """Guards against upstreams that are left out for a wrong reason or none."""
    listed = list(helpers.make_upstreams(8))
    listed[1] = dataclasses.replace(listed[1], leaving=True)
    gate = _RefusingGate()
    scheduler = helpers.make_route_scheduler(
        budget_extra=0.0,
        probe_rate_s=60.0,
        gate=dispatch_gate.CombinedGate(parts=(gate,)),
    )
    slow = dataclasses.replace(_IDLE, host_slowness=4.0)
    full = dataclasses.replace(_IDLE, in_flight=3)
    events = [
        calls.UpstreamsChanged(upstreams=tuple(listed)),
        calls.DrainMarked(upstream_id="u2"),
        calls.NoticeReceived(
            upstream=listed[3], notice=upstreams.Notice(pause_s=2.0)
        ),
        *(
            calls.LoadReported(upstream_id=upstream_id, load=load)
            for upstream_id, load in (
                ("u0", _IDLE),
                ("u4", slow),
                ("u5", full),
                ("u6", _IDLE),
            )
        ),
    ]
    for event in events:
        scheduler.handle(event=event, now=1.0)
    explanation = scheduler.explain(call=_call(1.01), now=1.01)
    assert explanation.outcome is placement.Outcome.SEND
    assert explanation.upstream_id == "u0"
    assert {c.upstream_id: c.exclusion for c in explanation.candidates} == {
        "u0": None,
        "u1": placement.Exclusion.LEAVING,
        "u2": placement.Exclusion.DRAINING,
        "u3": placement.Exclusion.PAUSED,
        "u4": placement.Exclusion.SLOW_HOST,
        "u5": placement.Exclusion.FULL,
        "u6": placement.Exclusion.NOT_ADMITTED,
        "u7": placement.Exclusion.NO_FRESH_REPORT,
    }
    gate.code = errors.ErrorCode.CONFIG_UNCONFIRMED
    refused = scheduler.explain(call=_call(1.01), now=1.01)
    assert refused.outcome is placement.Outcome.REFUSE
    assert refused.refusal.code == "config_unconfirmed"
    assert refused.upstream_id is None
