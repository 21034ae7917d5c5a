"""Cold upstreams and evacuated zones under load, in virtual time.

Each test names its load. 8 nodes share 9 upstreams of 3 slots in 3 zones;
without cold ones, they can serve 180 calls of 0.15 s in a second.
"""

import collections
from collections.abc import Iterable
import dataclasses
import random

from bench import simulation
from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import retry_budget
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.coordination import route_statistics
from tanagerspoke.coordination.cold_upstreams import cold_gate
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads
from tests.coordination import helpers

_NODES = 8
_COLD_CALLS_PER_S = 8.0
_MAX_COLD_CALLS_IN_1_S = 8.0 * 1.5 + 8
_ZONE_A = ("u0", "u3", "u6")


class _Fleet:
    """Nodes with the gate of cold upstreams.

    Attributes:
        sent: times of attempts by upstream, in the order of their start.
        hedged: times of hedges by upstream.
        ejected: ids of ejected upstreams.
    """

    def __init__(self, *, count: int = 9, limited: bool = True) -> None:
        self.clock = simulation.Clock()
        self.sent: dict[str, list[float]] = collections.defaultdict(list)
        self.hedged: dict[str, list[float]] = collections.defaultdict(list)
        self.ejected: set[str] = set()
        self.listed = helpers.make_upstreams(count)
        self.cold_until: dict[str, float] = {}
        self._limited = limited
        self._rng = random.Random(1)
        self._durations: dict[int, float] = {}
        self.fakes = simulation.make_fakes(clock=self.clock, listed=self.listed)
        self.nodes = [self._add_node(number) for number in range(_NODES)]
        self.handle(calls.UpstreamsChanged(upstreams=self.listed))

    def _add_node(self, number: int) -> simulation.Gateway:
        fleet = self

        class Observed(route_scheduling.RouteScheduler):
            def handle(self, *, event, now):
                actions = super().handle(event=event, now=now)
                for action in actions:
                    if isinstance(action, calls.Dispatch):
                        sent = fleet.hedged if action.is_hedge else fleet.sent
                        sent[action.upstream_id].append(now)
                    if isinstance(action, calls.ReportEjection):
                        fleet.ejected.add(action.upstream_id)
                return actions

        rate = _COLD_CALLS_PER_S if self._limited else 0.0
        gate = cold_gate.ColdUpstreamGate(
            node=f"n{number}",
            nodes=lambda: frozenset(f"n{n}" for n in range(_NODES)),
            calls_per_s=lambda: rate,
            is_cold=lambda *args: scheduler.is_cold(*args),
        )
        zone = "abc"[number % 3]
        scheduler = Observed(
            availability_zone=zone,
            cross_zone_penalty_s=0.03,
            budget=retry_budget.RetryBudget(
                ratio=0.2,
                shared_extra=40.0,
                window_s=10.0,
                shared_extra_from=0.0,
                nodes=_NODES,
            ),
            probes=probe_rounds.ProbeRounds(
                availability_zone=zone, rate_per_upstream_s=30.0
            ),
            rng=random.Random(number),
            nodes=_NODES,
            node=f"n{number}",
            gate=dispatch_gate.CombinedGate(parts=(gate,)),
            limits_cold=lambda: rate > 0.0,
        )
        return simulation.Gateway(
            clock=self.clock,
            scheduler=scheduler,
            zone=zone,
            fakes=self.fakes,
            service_time_s=lambda call, attempt: self._durations[call.call_id],
        )

    def handle(self, event: calls.SchedulerEvent) -> None:
        for node in self.nodes:
            node.handle(event)

    def make_cold(
        self, ids: Iterable[str], for_s: float, announced: bool = True
    ) -> None:
        """Makes upstreams twice as slow, which all nodes may learn at once."""
        for upstream_id in ids:
            self.fakes[upstream_id].slow_factor = 2.0
            if announced:
                self.cold_until[upstream_id] = self.clock.now + for_s
            self.clock.schedule(
                self.clock.now + for_s,
                setattr,
                self.fakes[upstream_id],
                "slow_factor",
                1.0,
            )
        self.handle(
            calls.UpstreamsChanged(
                upstreams=self.listed, cold_until=dict(self.cold_until)
            )
        )

    def evacuate(self, *zones: str) -> None:
        self.handle(calls.ZonesEvacuated(zones=frozenset(zones)))

    def offer(self, *, rate_per_s: float, until_s: float) -> None:
        at = 0.0
        while (at := at + self._rng.expovariate(rate_per_s)) < until_s:
            call_id = len(self._durations) + 1
            self._durations[call_id] = simulation.draw_service_time_s(
                mean_s=0.15, sigma=0.3, rng=self._rng
            )
            call = calls.Call(
                call_id=call_id,
                client_account="",
                call_class=calls.CallClass.LOOKUP,
                idempotent=True,
                hedge=True,
                arrived_at=at,
                target_at=at + 0.6,
                deadline=at + 3.0,
                route="read",
                max_attempts=3,
                priority=1,
            )
            node = self._rng.choice(self.nodes)
            self.clock.schedule(at, node.receive_call, call)

    def run(self) -> list[simulation.CallRecord]:
        self.clock.run()
        return [r for node in self.nodes for r in node.records.values()]

    def most_in_1_s(self, upstream_id: str, start: float, end: float) -> int:
        attempts = self.sent[upstream_id] + self.hedged[upstream_id]
        times = sorted(at for at in attempts if start <= at < end)
        return max(
            (sum(at <= t < at + 1.0 for t in times) for at in times), default=0
        )

    def count(self, ids: Iterable[str], start: float, end: float) -> int:
        return sum(
            start <= at < end
            for upstream_id in ids
            for at in self.sent[upstream_id] + self.hedged[upstream_id]
        )


def _in_time(records: list[simulation.CallRecord]) -> float:
    met = [r.outcome == "useful" and r.latency_s <= 0.6 for r in records]
    return sum(met) / len(met)


def test_all_upstreams_of_a_zone_cold_at_once() -> None:
    """Guards against overload, ejection or hedges of cold upstreams.

    Load: 90 % of what all upstreams can do. A zone is cold from 4 to 10 s, so
    that the other two are offered 1.3 times what they can do.
    """
    fleet = _Fleet()
    # One of them does not report that it is slow.
    fleet.fakes["u3"].reports_slowness = False
    fleet.offer(rate_per_s=162.0, until_s=16.0)
    fleet.clock.schedule(4.0, fleet.make_cold, _ZONE_A, 6.0)
    fleet.run()
    for upstream_id in _ZONE_A:
        in_1_s = fleet.most_in_1_s(upstream_id, 4.0, 10.0)
        assert 4 <= in_1_s <= _MAX_COLD_CALLS_IN_1_S
        assert not [at for at in fleet.hedged[upstream_id] if 4 <= at < 10]
    assert not fleet.ejected & set(_ZONE_A)
    assert fleet.count(_ZONE_A, 15.0, 16.0) > 40


def test_upstream_that_is_cold_again_in_mid_day() -> None:
    """Guards against calls to a cold upstream while others are free.

    Load: 30 % of what all upstreams can do; one is cold from 4 to 8 s.
    """
    fleet = _Fleet()
    fleet.fakes["u1"].reports_slowness = False
    fleet.offer(rate_per_s=54.0, until_s=16.0)
    fleet.clock.schedule(4.0, fleet.make_cold, ["u1"], 4.0)
    records = fleet.run()
    assert fleet.count(["u1"], 0.0, 4.0) > 10
    assert fleet.count(["u1"], 4.0, 8.0) <= 2
    assert fleet.count(["u1"], 13.0, 16.0) > 8
    assert _in_time(records) > 0.98


def test_cold_upstream_that_is_the_last_of_its_service() -> None:
    """Guards against a service that is not served because it is cold.

    Load: 4 calls a second at 8 nodes, of which 4 may use the only upstream.
    The calls of the others are refused when their target can't be met.
    """
    fleet = _Fleet(count=1)
    fleet.clock.schedule(0.0, fleet.make_cold, ["u0"], 30.0)
    fleet.offer(rate_per_s=4.0, until_s=20.0)
    records = fleet.run()
    served = [r for r in records if r.outcome == "useful"]
    assert {r.outcome for r in records} == {"useful", "refused"}
    assert 0.3 < len(served) / len(records) < 0.7
    assert fleet.most_in_1_s("u0", 0.0, 30.0) <= _MAX_COLD_CALLS_IN_1_S
    assert max(r.latency_s for r in records if r.outcome == "refused") < 1.0


def test_cold_upstream_without_a_limit_is_used_as_before() -> None:
    """Guards against changes for deployments that limit no cold upstream.

    Load: 60 calls a second for 3 upstreams that can do as many; one is cold,
    whether the nodes know it or not.
    """
    sent = []
    for announced in (True, False):
        fleet = _Fleet(count=3, limited=False)
        fleet.clock.schedule(1.0, fleet.make_cold, ["u0"], 5.0, announced)
        fleet.offer(rate_per_s=60.0, until_s=10.0)
        fleet.run()
        sent.append((fleet.sent, fleet.hedged))
    assert sent[0] == sent[1]


def test_evacuation_while_another_zone_is_short_of_slots() -> None:
    """Guards against calls, hedges or retries to an evacuated zone.

    Load: 55 % of what all upstreams can do, hence 1.6 times what zone c alone
    can do, from 4 to 8 s. Then zone b returns as well, and the load is served.
    """
    fleet = _Fleet()
    fleet.offer(rate_per_s=100.0, until_s=16.0)
    fleet.clock.schedule(4.0, fleet.evacuate, "a", "b", "without-upstreams")
    fleet.clock.schedule(8.0, fleet.evacuate, "a")
    records = fleet.run()
    assert fleet.count(_ZONE_A, 4.0001, 99.0) == 0
    assert fleet.count(("u1", "u4", "u7"), 4.0001, 8.0) == 0
    late = [r for r in records if r.call.arrived_at > 13.0]
    assert _in_time(late) > 0.9
    # Attempts in flight go on.
    assert not [r for r in records if r.outcome == "failed"]


def test_all_zones_evacuated() -> None:
    """Guards against calls that wait while no zone may be used.

    Load: 50 calls a second; everything is evacuated from 2 to 4 s.
    """
    fleet = _Fleet()
    fleet.offer(rate_per_s=50.0, until_s=5.0)
    fleet.clock.schedule(2.0, fleet.evacuate, "a", "b", "c")
    fleet.clock.schedule(4.0, fleet.evacuate)
    records = fleet.run()
    refused = [r for r in records if 2.0 < r.call.arrived_at < 4.0]
    assert {r.outcome for r in refused} == {"refused"}
    assert max(r.latency_s for r in refused) == 0.0
    assert _in_time([r for r in records if r.call.arrived_at > 4.0]) > 0.9


def test_evacuated_zone_whose_upstreams_return_cold() -> None:
    """Guards against full load on a zone at the moment of its return.

    Load: 60 % of what all upstreams can do. Zone a is evacuated until 6 s and
    cold until 9 s: nothing, then at most the cold rate, then a ramp.
    """
    fleet = _Fleet()
    fleet.offer(rate_per_s=108.0, until_s=18.0)
    fleet.evacuate("a")
    fleet.clock.schedule(5.0, fleet.make_cold, _ZONE_A, 4.0)
    fleet.clock.schedule(6.0, fleet.evacuate)
    fleet.run()
    assert fleet.count(_ZONE_A, 0.0, 6.0) == 0
    steps = [fleet.count(_ZONE_A, at, at + 1.0) for at in range(6, 18)]
    assert max(steps[:3]) <= 3 * _MAX_COLD_CALLS_IN_1_S
    assert max(steps[:3]) < steps[-1] / 2
    assert steps[-1] > 25


def test_node_that_starts_in_the_midst_of_an_evacuation() -> None:
    """Guards against calls of a new node before it knows the evacuation.

    Load: 50 calls a second at the new node alone; the zones come before the
    upstreams, as at the start of a node.
    """
    fleet = _Fleet()
    node = fleet._add_node(0)
    fleet.nodes = [node]
    fleet.evacuate("a", "c")
    fleet.handle(calls.UpstreamsChanged(upstreams=fleet.listed))
    fleet.offer(rate_per_s=15.0, until_s=4.0)
    records = fleet.run()
    assert {u for u, at in fleet.sent.items() if at} <= {"u1", "u4", "u7"}
    assert _in_time(records) > 0.9


def test_results_at_a_cold_upstream() -> None:
    """Guards against cold durations in a route's quantiles, and ejection.

    Load: attempts that time out after 4 times the median, which is twice the
    usual time of a cold upstream.
    """
    view = loads.LoadView()
    view.set_upstreams(listed=helpers.make_upstreams(3), now=0.0)
    for cold in (False, True):
        results = route_statistics.RouteStatistics(view=view)
        call = helpers.make_call(1)
        ejected = []
        for duration_s, result, at_cold in (
            *[(0.1, calls.Answered(status=200), False)] * 20,
            *[(0.4, calls.TimedOut(), cold)] * 20,
            *[(0.2, calls.Answered(status=200), cold)] * 20,
        ):
            ejected.append(
                results.add_result(
                    call=call,
                    record=view.get("u0"),
                    result=result,
                    saturated=False,
                    is_hedge=False,
                    elapsed_s=duration_s,
                    now=1.0,
                    cold=at_cold,
                )
            )
        assert results.quantile_s(call, 0.9) == (0.1 if cold else 0.2)
        assert any(ejected) != cold
        view.get("u0").ejected_until = 0.0


def test_ramp_after_a_cold_period() -> None:
    """Guards against full load at the end of a cold period.

    Also guards against a ramp that another process's period starts, and
    against one that an ejection within the period puts forward.
    """
    view = loads.LoadView()
    (listed,) = helpers.make_upstreams(1, slots=40)
    view.set_upstreams(listed=[listed], now=0.0)
    view.set_cold_until({"u0": 10.0}, ramps=True, now=0.0)
    view.apply_cold_notice(listed, 11.0, ramps=True, now=1.0)
    view.apply_notice(listed, upstreams.Notice(pause_s=2.0), 2.0)
    earlier = dataclasses.replace(listed, started_ms=1)
    view.apply_cold_notice(earlier, 60.0, ramps=True, now=3.0)
    record = view.get("u0")
    limits = [record.attempt_limit(at) for at in (5.0, 12.0, 13.0, 17.0)]
    assert limits == [40, 4, 12, 40]
    view.set_cold_until({"u0": 30.0}, ramps=True, now=20.0)
    assert [record.is_cold(at) for at in (12.0, 29.9, 30.0)] == [1, 1, 0]
    assert record.attempt_limit(30.0) == 4
