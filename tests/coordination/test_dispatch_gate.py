"""Tests that every attempt passes the gate immediately before it is sent."""

import dataclasses

import pytest

from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.coordination.accounts import key_gate
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import upstreams
from tanagerspoke.state import accounts
from tests.coordination import helpers

_FAST = upstreams.LoadReport(in_flight=0, slots=3)
_REVOKED = errors.ErrorCode.API_KEY_REJECTED


class _Gate(dispatch_gate.DispatchGate):
    """Gate whose answers a test sets; records what was sent."""

    def __init__(self) -> None:
        self.code: errors.ErrorCode | None = None
        self.closed_upstreams: set[str] = set()
        self.sent: list[str] = []

    def check(self, call: calls.Call, now: float) -> errors.ErrorCode | None:
        del call, now
        return self.code

    def admits(self, upstream: upstreams.Upstream, now: float) -> bool:
        del now
        return upstream.upstream_id not in self.closed_upstreams

    def record_dispatch(self, upstream: upstreams.Upstream, now: float) -> None:
        del now
        self.sent.append(upstream.upstream_id)


def _scheduler(
    gate: dispatch_gate.DispatchGate,
) -> route_scheduling.RouteScheduler:
    scheduler = helpers.make_route_scheduler(
        gate=dispatch_gate.CombinedGate(parts=(gate,))
    )
    scheduler.handle(
        event=calls.UpstreamsChanged(upstreams=helpers.make_upstreams(2)),
        now=0.0,
    )
    return scheduler


def _call() -> calls.Call:
    return calls.Call(
        call_id=1,
        client_account="shop",
        call_class=calls.CallClass.LOOKUP,
        idempotent=True,
        hedge=True,
        arrived_at=0.0,
        target_at=0.6,
        deadline=2.0,
        route="r",
    )


def _report(
    scheduler: route_scheduling.RouteScheduler, upstream_id: str, now: float
) -> list[calls.SchedulerAction]:
    return scheduler.handle(
        event=calls.ProbeEnded(
            upstream_id=upstream_id, load=_FAST, responded=True
        ),
        now=now,
    )


def _dispatches(actions: list[calls.SchedulerAction]) -> list[calls.Dispatch]:
    return [a for a in actions if isinstance(a, calls.Dispatch)]


def test_closed_gate_refuses_at_arrival() -> None:
    """Guards against calls that queue although they can never be sent."""
    gate = _Gate()
    gate.code = _REVOKED
    (action,) = _scheduler(gate).handle(
        event=calls.CallArrived(call=_call()), now=0.0
    )
    assert isinstance(action, calls.Refuse)
    assert action.code is _REVOKED


def test_gate_that_closes_while_a_call_waits() -> None:
    """Guards against a queued call that runs on a revoked key."""
    gate = _Gate()
    scheduler = _scheduler(gate)
    scheduler.handle(event=calls.CallArrived(call=_call()), now=0.0)
    gate.code = _REVOKED
    actions = _report(scheduler, "u0", 0.005)
    assert not _dispatches(actions)
    assert [a.code for a in actions if isinstance(a, calls.Refuse)] == [
        _REVOKED
    ]
    assert gate.sent == []


def test_gate_that_closes_before_a_retry() -> None:
    """Guards against a retry on a revoked key."""
    gate = _Gate()
    scheduler = _scheduler(gate)
    scheduler.handle(event=calls.CallArrived(call=_call()), now=0.0)
    (sent,) = _dispatches(_report(scheduler, "u0", 0.005))
    gate.code = _REVOKED
    actions = scheduler.handle(
        event=calls.AttemptEnded(
            call_id=1,
            attempt=sent.attempt,
            upstream_id=sent.upstream_id,
            result=calls.Shed(),
        ),
        now=0.01,
    )
    actions += _report(scheduler, "u1", 0.012)
    assert not _dispatches(actions)
    assert gate.sent == ["u0"]


def test_gate_that_closes_before_a_hedge() -> None:
    """Guards against a hedge on a revoked key."""
    gate = _Gate()
    scheduler = _scheduler(gate)
    scheduler.handle(event=calls.CallArrived(call=_call()), now=0.0)
    assert _dispatches(_report(scheduler, "u0", 0.005))
    gate.code = _REVOKED
    now = 0.005
    while scheduler.next_wakeup is not None and now < 1.9:
        now = max(now, scheduler.next_wakeup)
        actions = scheduler.handle(event=calls.Tick(), now=now)
        actions += _report(scheduler, "u1", now)
        assert not _dispatches(actions)
    assert gate.sent == ["u0"]


def test_upstream_that_is_not_admitted_gets_nothing() -> None:
    """Guards against calls to an upstream that may not get any now."""
    gate = _Gate()
    gate.closed_upstreams = {"u0"}
    scheduler = _scheduler(gate)
    scheduler.handle(event=calls.CallArrived(call=_call()), now=0.0)
    assert not _dispatches(_report(scheduler, "u0", 0.005))
    assert _dispatches(_report(scheduler, "u1", 0.006))
    assert gate.sent == ["u1"]


class _KeyNode:
    """A scheduler with one queued call on a key that is still valid."""

    def __init__(self) -> None:
        key_digest = key_digests.digest("k1")
        self.clock = 0.0
        self.index = accounts.AccountIndex()
        self.index.apply(
            {"shop": routing.Account(name="shop", key_digests=(key_digest,))}
        )
        proofs = freshness.ConfigFreshness(bound_s=5.0)
        proofs.set_version(1)
        proofs.record_proof(version=1, proven_at=0.0)
        self.scheduler = _scheduler(
            key_gate.KeyGate(
                index=self.index,
                config_freshness=proofs,
                clock=lambda: self.clock,
            )
        )
        call = dataclasses.replace(_call(), key_digest=key_digest)
        self.scheduler.handle(event=calls.CallArrived(call=call), now=0.0)

    def revoke(self, code: errors.ErrorCode) -> None:
        """Removes the key, or lets the proof expire while the node freezes.

        The scheduler's clock does not show a suspension of the machine.
        """
        if code is _REVOKED:
            self.index.apply({"shop": routing.Account(name="shop")})
        else:
            self.clock += 5.0


_REVOCATIONS = pytest.mark.parametrize(
    ("code", "retry_after_s"),
    [(_REVOKED, None), (errors.ErrorCode.CONFIG_UNCONFIRMED, 0.3)],
)


@_REVOCATIONS
def test_key_that_is_revoked_while_the_call_waits(
    code: errors.ErrorCode, retry_after_s: float | None
) -> None:
    """Guards against a first attempt on a removed key."""
    node = _KeyNode()
    node.revoke(code)
    assert _report(node.scheduler, "u0", 0.005) == [
        calls.Refuse(call_id=1, code=code, retry_after_s=retry_after_s)
    ]


@_REVOCATIONS
def test_key_that_is_revoked_before_a_retry(
    code: errors.ErrorCode, retry_after_s: float | None
) -> None:
    """Guards against a retry on a removed key."""
    node = _KeyNode()
    (sent,) = _dispatches(_report(node.scheduler, "u0", 0.005))
    node.revoke(code)
    ended = calls.AttemptEnded(
        call_id=1,
        attempt=sent.attempt,
        upstream_id=sent.upstream_id,
        result=calls.Shed(),
    )
    actions = node.scheduler.handle(event=ended, now=0.01)
    actions += _report(node.scheduler, "u1", 0.012)
    assert not _dispatches(actions)
    assert actions[-1] == calls.Refuse(
        call_id=1, code=code, retry_after_s=retry_after_s
    )


@_REVOCATIONS
def test_key_that_is_revoked_before_a_hedge(
    code: errors.ErrorCode, retry_after_s: float | None
) -> None:
    """Guards against a hedge on a removed key."""
    del retry_after_s
    node = _KeyNode()
    assert _dispatches(_report(node.scheduler, "u0", 0.005))
    node.revoke(code)
    now = 0.005
    while node.scheduler.next_wakeup is not None and now < 1.9:
        now = max(now, node.scheduler.next_wakeup)
        actions = node.scheduler.handle(event=calls.Tick(), now=now)
        actions += _report(node.scheduler, "u1", now)
        assert not _dispatches(actions)
    assert now > 0.005
