"""Tests that a scheduler sends no attempt of a call whose key was removed."""

import random

import pytest

from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import retry_budget
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

_DIGEST = key_digests.digest("k1")
_REVOCATIONS = pytest.mark.parametrize(
    ("is_removed", "code", "retry_after_s"),
    [
        (True, errors.ErrorCode.API_KEY_REJECTED, None),
        (False, errors.ErrorCode.CONFIG_UNCONFIRMED, 0.3),
    ],
)


class _Node:
    """A scheduler with one queued call on a key that is still valid."""

    def __init__(self) -> None:
        self.clock = 0.0
        self.index = accounts.AccountIndex()
        self.index.apply(
            {"shop": routing.Account(name="shop", key_digests=(_DIGEST,))}
        )
        proofs = freshness.ConfigFreshness(bound_s=5.0)
        proofs.set_version(1)
        proofs.record_proof(version=1, proven_at=0.0)
        gate = key_gate.KeyGate(
            index=self.index, config_freshness=proofs, clock=lambda: self.clock
        )
        self.scheduler = route_scheduling.RouteScheduler(
            availability_zone="a",
            cross_zone_penalty_s=0.03,
            budget=retry_budget.RetryBudget(
                ratio=0.2,
                shared_extra=100.0,
                window_s=10.0,
                shared_extra_from=0.0,
                nodes=1,
            ),
            probes=probe_rounds.ProbeRounds(
                availability_zone="a", rate_per_upstream_s=30.0
            ),
            rng=random.Random(1),
            gate=dispatch_gate.CombinedGate(parts=(gate,)),
        )
        self.handle(
            calls.UpstreamsChanged(upstreams=helpers.make_upstreams(2)), 0.0
        )
        call = calls.Call(
            call_id=1,
            client_account="shop",
            call_class=calls.CallClass.LOOKUP,
            idempotent=True,
            hedge=True,
            arrived_at=0.0,
            target_at=0.6,
            deadline=2.0,
            route="r",
            key_digest=_DIGEST,
        )
        self.handle(calls.CallArrived(call=call), 0.0)

    def handle(
        self, event: calls.SchedulerEvent, now: float
    ) -> list[calls.SchedulerAction]:
        actions = self.scheduler.handle(event=event, now=now)
        return [
            a for a in actions if isinstance(a, calls.Dispatch | calls.Refuse)
        ]

    def report(self, upstream_id: str, now: float) -> list:
        load = upstreams.LoadReport(in_flight=0, slots=3)
        return self.handle(
            calls.ProbeEnded(
                upstream_id=upstream_id, load=load, responded=True
            ),
            now,
        )

    def revoke(self, *, is_removed: bool) -> None:
        """Removes the key, or lets the proof expire while the node freezes.

        The scheduler's clock does not show a suspension of the machine.
        """
        if is_removed:
            self.index.apply({"shop": routing.Account(name="shop")})
        else:
            self.clock += 5.0


@_REVOCATIONS
def test_queued_call(
    is_removed: bool, code: errors.ErrorCode, retry_after_s: float | None
) -> None:
    """Guards against a first attempt on a key that was removed meanwhile."""
    node = _Node()
    node.revoke(is_removed=is_removed)
    assert node.report("u0", 0.005) == [
        calls.Refuse(call_id=1, code=code, retry_after_s=retry_after_s)
    ]


@_REVOCATIONS
def test_retry(
    is_removed: bool, code: errors.ErrorCode, retry_after_s: float | None
) -> None:
    """Guards against a retry on a key that was removed after the attempt."""
    node = _Node()
    (sent,) = node.report("u0", 0.005)
    node.revoke(is_removed=is_removed)
    ended = calls.AttemptEnded(
        call_id=1,
        attempt=sent.attempt,
        upstream_id=sent.upstream_id,
        result=calls.Shed(),
    )
    actions = node.handle(ended, 0.01) + node.report("u1", 0.012)
    assert actions == [
        calls.Refuse(call_id=1, code=code, retry_after_s=retry_after_s)
    ]


@_REVOCATIONS
def test_hedge(
    is_removed: bool, code: errors.ErrorCode, retry_after_s: float | None
) -> None:
    """Guards against a hedge on a key that was removed after the attempt."""
    del code, retry_after_s
    node = _Node()
    assert node.report("u0", 0.005)
    node.revoke(is_removed=is_removed)
    now = 0.005
    while node.scheduler.next_wakeup is not None and now < 1.9:
        now = max(now, node.scheduler.next_wakeup)
        assert not node.handle(calls.Tick(), now) + node.report("u1", now)
    assert now > 0.005
