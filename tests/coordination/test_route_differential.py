"""Comparison of the edge's scheduler with round robin, in virtual time.

Both schedule the same calls, with the same service times and faults.
"""

from collections.abc import Callable
import random

import pytest

from bench import naive
from bench import simulation
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.protocol import calls
from tests.coordination import helpers

_UPSTREAM_COUNT = 9
_NODE_COUNT = 3
_DURATION_S = 20.0
_MEAN_SERVICE_TIME_S = 0.15
# Calls per second that keep 40 % of the slots busy.
_LOW_RATE = 0.4 * 3 * _UPSTREAM_COUNT / _MEAN_SERVICE_TIME_S
_TARGET_S = 0.6
_TIMEOUT_S = 2.5
_ROUTES = ("read", "write")

_Upstreams = list[simulation.FakeUpstream]
_FaultPlan = Callable[[simulation.Clock, _Upstreams], None]


def _no_fault(clock: simulation.Clock, fakes: _Upstreams) -> None:
    """Causes no fault."""


def _slow_host(clock: simulation.Clock, fakes: _Upstreams) -> None:
    clock.schedule(4.0, setattr, fakes[0], "slow_factor", 8.0)
    clock.schedule(14.0, setattr, fakes[0], "slow_factor", 1.0)


def _intermittent_slowness(clock: simulation.Clock, fakes: _Upstreams) -> None:
    """Slows each host in about a quarter of the intervals of 150 ms."""
    rng = random.Random(7)
    for fake in fakes:
        at = 0.0
        while at < _DURATION_S:
            factor = rng.choice((1.0, 1.0, 1.0, 5.0))
            clock.schedule(at, setattr, fake, "slow_factor", factor)
            at += 0.15


def _failing(clock: simulation.Clock, fakes: _Upstreams) -> None:
    clock.schedule(4.0, setattr, fakes[0], "fail_fast", True)
    clock.schedule(14.0, setattr, fakes[0], "fail_fast", False)


def _frozen(clock: simulation.Clock, fakes: _Upstreams) -> None:
    clock.schedule(6.0, setattr, fakes[0], "frozen", True)


def _lost_zone(clock: simulation.Clock, fakes: _Upstreams) -> None:
    for fake in fakes:
        if fake.upstream.availability_zone == "b":
            clock.schedule(8.0, fake.crash)


def _edge_scheduler(number: int) -> route_scheduling.RouteScheduler:
    return helpers.make_route_scheduler(
        zone="abc"[number % 3],
        budget_extra=20.0,
        nodes=_NODE_COUNT,
        seed=number,
    )


def _run(
    *, plan: _FaultPlan, seed: int, rate_per_s: float, edge: bool
) -> list[simulation.CallRecord]:
    clock = simulation.Clock()
    listed = helpers.make_upstreams(_UPSTREAM_COUNT)
    fakes = simulation.make_fakes(clock=clock, listed=listed)

    def service_time_s(call: calls.Call, attempt: int) -> float:
        # The same attempt takes equally long under both schedulers.
        return simulation.draw_service_time_s(
            mean_s=_MEAN_SERVICE_TIME_S,
            sigma=0.8,
            rng=simulation.attempt_rng(seed, call, attempt),
        )

    nodes = [
        simulation.Gateway(
            clock=clock,
            scheduler=(
                _edge_scheduler(number)
                if edge
                else naive.NaiveScheduler(start_index=3 * number)
            ),
            zone="abc"[number % 3],
            fakes=fakes,
            service_time_s=service_time_s,
        )
        for number in range(_NODE_COUNT)
    ]
    for node in nodes:
        node.handle(calls.UpstreamsChanged(upstreams=listed))
    plan(clock, list(fakes.values()))
    rng = random.Random(seed)
    at = 0.0
    call_id = 0
    while (at := at + rng.expovariate(rate_per_s)) < _DURATION_S:
        call_id += 1
        idempotent = rng.random() < 0.8
        call = calls.Call(
            call_id=call_id,
            client_account="",
            call_class=calls.CallClass.LOOKUP,
            idempotent=idempotent,
            hedge=idempotent,
            arrived_at=at,
            target_at=at + _TARGET_S,
            deadline=at + _TIMEOUT_S,
            route=_ROUTES[not idempotent],
            max_attempts=2,
        )
        clock.schedule(at, rng.choice(nodes).receive_call, call)
    clock.run()
    return [record for node in nodes for record in node.records.values()]


def _count_in_time(records: list[simulation.CallRecord]) -> int:
    return sum(
        record.outcome == "useful" and record.latency_s <= _TARGET_S
        for record in records
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("plan", "rate_per_s"),
    [
        (_no_fault, _LOW_RATE),
        (_no_fault, 2.2 * _LOW_RATE),
        (_slow_host, _LOW_RATE),
        (_intermittent_slowness, _LOW_RATE),
        (_failing, _LOW_RATE),
        (_frozen, _LOW_RATE),
        (_lost_zone, _LOW_RATE),
    ],
)
def test_serves_no_fewer_calls_in_time_than_round_robin(
    plan: _FaultPlan, rate_per_s: float, seed: int
) -> None:
    """Guards against a scheduler that meets fewer targets than round robin."""
    edge = _run(plan=plan, seed=seed, rate_per_s=rate_per_s, edge=True)
    round_robin = _run(plan=plan, seed=seed, rate_per_s=rate_per_s, edge=False)
    assert len(edge) == len(round_robin)
    assert all(record.outcome for record in edge)
    assert _count_in_time(edge) >= _count_in_time(round_robin)
