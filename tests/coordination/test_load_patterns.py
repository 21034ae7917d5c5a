"""Patterns of load and faults of upstreams, in virtual time.

Each test names the pattern that operators have seen, and checks who is served,
who waits and which upstreams get work.
"""

import collections
from collections.abc import Callable
import dataclasses
import random
import statistics

from bench import simulation
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import retry_budget
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.coordination import subsetting
from tanagerspoke.protocol import calls
from tests.coordination import helpers

_NODES = 3
_TARGET_S = 0.6
_TIMEOUT_S = 3.0
_MEAN_SERVICE_TIME_S = 0.15
_Upstreams = list[simulation.FakeUpstream]


class _Fleet:
    """Nodes that share upstreams, and the calls that they received.

    Attributes:
        ejections: times at which upstreams were ejected, with their ids.
        sent: times of attempts by upstream.
        durations: service times in seconds by call.
    """

    def __init__(
        self,
        *,
        upstreams: int = 9,
        seed: int = 1,
        load_report_age_s: float = 0.0,
        slots: int = 3,
        nodes: int = _NODES,
        probes_per_upstream_s: float = 30.0,
    ) -> None:
        self._node_count = nodes
        self._probes_per_upstream_s = probes_per_upstream_s
        self.clock = simulation.Clock()
        self.ejections: list[tuple[float, str]] = []
        self.sent: dict[str, list[float]] = collections.defaultdict(list)
        self._rng = random.Random(seed)
        self._call_ids = 0
        self.durations: dict[int, float] = {}
        listed = helpers.make_upstreams(upstreams, slots=slots)
        fakes = simulation.make_fakes(
            clock=self.clock,
            listed=listed,
            load_report_age_s=load_report_age_s,
        )
        self.fakes: _Upstreams = list(fakes.values())
        self.nodes = [
            simulation.Gateway(
                clock=self.clock,
                scheduler=self._observed_scheduler(number),
                zone="abc"[number % 3],
                fakes=fakes,
                service_time_s=lambda call, attempt: self.durations[
                    call.call_id
                ],
            )
            for number in range(nodes)
        ]
        for node in self.nodes:
            node.handle(calls.UpstreamsChanged(upstreams=listed))

    def _observed_scheduler(
        self, number: int
    ) -> route_scheduling.RouteScheduler:
        fleet = self

        class Observed(route_scheduling.RouteScheduler):
            def handle(self, *, event, now):
                actions = super().handle(event=event, now=now)
                for action in actions:
                    match action:
                        case calls.ReportEjection(upstream_id=upstream_id):
                            fleet.ejections.append((now, upstream_id))
                        case calls.Dispatch(upstream_id=upstream_id):
                            fleet.sent[upstream_id].append(now)
                return actions

        return Observed(
            availability_zone="abc"[number % 3],
            cross_zone_penalty_s=0.03,
            budget=retry_budget.RetryBudget(
                ratio=0.2,
                shared_extra=40.0,
                window_s=10.0,
                shared_extra_from=0.0,
                nodes=self._node_count,
            ),
            probes=probe_rounds.ProbeRounds(
                availability_zone="abc"[number % 3],
                rate_per_upstream_s=self._probes_per_upstream_s,
            ),
            rng=random.Random(number),
            nodes=self._node_count,
        )

    def offer(
        self,
        *,
        rate_per_s: float,
        until_s: float,
        from_s: float = 0.0,
        mean_s: float = _MEAN_SERVICE_TIME_S,
        target_s: float = _TARGET_S,
        route: str = "read",
        idempotent: bool = True,
        priority: int = 1,
        node_weights: tuple[float, ...] | None = None,
    ) -> None:
        """Schedules calls of a route at random times."""
        at = from_s
        while (at := at + self._rng.expovariate(rate_per_s)) < until_s:
            self._call_ids += 1
            self.durations[self._call_ids] = simulation.draw_service_time_s(
                mean_s=mean_s, sigma=0.3, rng=self._rng
            )
            call = calls.Call(
                call_id=self._call_ids,
                client_account="",
                call_class=calls.CallClass.LOOKUP,
                idempotent=idempotent,
                hedge=idempotent,
                arrived_at=at,
                target_at=at + target_s,
                deadline=at + 5.0 * target_s,
                route=route,
                max_attempts=3 if idempotent else 1,
                priority=priority,
            )
            (node,) = self._rng.choices(self.nodes, weights=node_weights)
            self.clock.schedule(at, node.receive_call, call)

    def at(self, at_s: float, change: Callable[[], None]) -> None:
        self.clock.schedule(at_s, change)

    def run(self) -> list[simulation.CallRecord]:
        self.clock.run()
        return [r for node in self.nodes for r in node.records.values()]


def _rate(utilization: float, *, upstreams: int = 9) -> float:
    return utilization * 3 * upstreams / _MEAN_SERVICE_TIME_S


def _in_time_share(
    records: list[simulation.CallRecord], route: str = "read"
) -> float:
    of_route = [r for r in records if r.call.route == route]
    in_time = [
        r
        for r in of_route
        if r.outcome == "useful"
        and r.latency_s <= r.call.target_at - r.call.arrived_at
    ]
    return len(in_time) / len(of_route)


def test_full_upstreams_that_reset_connections() -> None:
    """Guards against ejection of a busy service's upstreams.

    Pattern: upstreams with short queues reset the connection when they are
    full, during a burst of 1.5 times what the service can do. Their reports
    are 100 ms old, so nodes often see a free slot that is taken.
    """
    fleet = _Fleet(load_report_age_s=0.1)
    for fake in fleet.fakes:
        fake.resets_beyond = 0
    fleet.offer(rate_per_s=_rate(0.5), until_s=12.0)
    fleet.offer(rate_per_s=_rate(1.0), from_s=4.0, until_s=7.0)
    records = fleet.run()
    assert sum(fake.resets for fake in fleet.fakes) > 50
    assert fleet.ejections == []
    before_and_after = [
        r for r in records if not 4.0 <= r.call.arrived_at < 9.0
    ]
    assert _in_time_share(before_and_after) > 0.95


def test_upstream_that_resets_every_connection() -> None:
    """Guards against an upstream that drops calls and is never ejected.

    Pattern: its probes are good, but each request is reset.
    """
    fleet = _Fleet()
    lying = fleet.fakes[0]
    lying.resets_beyond = 0
    lying.upstream = dataclasses.replace(lying.upstream, slots=0)
    fleet.offer(rate_per_s=_rate(0.3), until_s=20.0)
    records = fleet.run()
    assert {name for _, name in fleet.ejections} == {"u0"}
    late_sends = [at for at in fleet.sent["u0"] if at > 10.0]
    sends = [at for at in fleet.sent["u1"] if at > 10.0]
    # At most a fifth of the calls of an upstream that serves.
    assert len(late_sends) < 0.2 * len(sends)
    assert _in_time_share(records) > 0.98


def test_upstream_whose_probes_fail_but_serves() -> None:
    """Guards against a probe that outweighs the evidence of calls.

    Pattern: health is reported as bad on a third of the upstreams, while they
    serve well. Their capacity is needed.
    """
    fleet = _Fleet()
    for fake in fleet.fakes[::3]:
        fake.probes_fail = True
    fleet.offer(rate_per_s=_rate(0.55), until_s=15.0)
    records = fleet.run()
    assert fleet.ejections == []
    assert _in_time_share(records) > 0.95


def test_many_nodes_that_share_few_upstreams() -> None:
    """Guards against calls that wait although most slots are free.

    Pattern: 120 nodes share 4 upstreams, so each node may send less than one
    probe a second and gets a call every few seconds. A third of the hosts is
    slow. Calls waited for probes that were never sent, and were refused.
    """
    fleet = _Fleet(upstreams=4, nodes=120, probes_per_upstream_s=21.0)
    fleet.fakes[0].slow_factor = 5.0
    fleet.offer(rate_per_s=_rate(0.4, upstreams=4), until_s=20.0)
    records = fleet.run()
    assert _in_time_share(records) > 0.9


def test_overload_of_upstreams_with_two_slots() -> None:
    """Guards against upstreams with two slots that stay half idle.

    Pattern: a burst of 1.3 times what the upstreams can do with one slot in
    use. The second slot makes a call 1.7 times as long. Most calls left one
    slot free, and a late call was hardly ever sent, since even a single call
    uses more than the share that late calls may use.
    """
    fleet = _Fleet(upstreams=9, slots=2)
    for fake in fleet.fakes:
        fake.full_slow_factor = 1.7
    one_slot_per_s = 9 / _MEAN_SERVICE_TIME_S
    fleet.offer(rate_per_s=1.3 * one_slot_per_s, until_s=10.0, idempotent=False)
    records = fleet.run()
    assert _in_time_share(records) > 0.89


def test_probes_that_are_used_up_while_there_is_room() -> None:
    """Guards against calls that wait for a report that cannot come in time.

    Pattern: 60 nodes share 4 upstreams, and the probe rate allows one probe
    per node in 7 seconds. Writes come at an eighth of the capacity.
    """
    fleet = _Fleet(upstreams=4, nodes=60, probes_per_upstream_s=2.0)
    fleet.offer(
        rate_per_s=_rate(0.12, upstreams=4), until_s=40.0, idempotent=False
    )
    records = fleet.run()
    assert [r for r in records if r.outcome != "useful"] == []
    assert _in_time_share(records) > 0.95


def test_silent_preferred_upstreams() -> None:
    """Guards against calls that wait for the same silent upstreams each time.

    Pattern: the six upstreams that a node prefers, of 90, stop responding to
    probes and calls, and stay listed.
    """
    fleet = _Fleet(upstreams=90)
    silent = subsetting.preferred_ids(
        node="",
        availability_zone="a",
        listed=[fake.upstream for fake in fleet.fakes],
        size=6,
    )
    for fake in fleet.fakes:
        if fake.upstream.upstream_id in silent:
            fleet.at(2.0, lambda fake=fake: setattr(fake, "frozen", True))
    fleet.offer(rate_per_s=15.0, until_s=12.0)
    records = fleet.run()
    waits = [
        record.latency_s - fleet.durations[record.call.call_id]
        for record in records
        if record.call.arrived_at > 3.0 and record.outcome == "useful"
    ]
    assert _in_time_share(records) > 0.95
    assert statistics.quantiles(waits, n=100)[89] < 0.05


def test_zone_with_more_callers_than_the_others() -> None:
    """Guards against calls that wait in a full zone while others have room.

    Pattern: two thirds of the calls arrive in one of three zones, 1.5 times
    what its own upstreams can do, at 75 % of the capacity of all.
    """
    fleet = _Fleet(upstreams=36)
    fleet.offer(
        rate_per_s=_rate(0.75, upstreams=36),
        until_s=6.0,
        node_weights=(4.0, 1.0, 1.0),
    )
    records = fleet.run()
    assert _in_time_share(records) > 0.95
    by_zone = collections.Counter(
        "abc"[int(name[1:]) % 3]
        for name, sent in fleet.sent.items()
        for _ in sent
    )
    assert max(by_zone.values()) < 1.5 * min(by_zone.values())


def test_flapping_upstream_earns_trust_slowly() -> None:
    """Guards against calls lost to an upstream that goes down and up by turns.

    Pattern: one of nine upstreams crashes for 1.4 s, comes back for 1.4 s, and
    so on.
    """
    fleet = _Fleet()
    flapping = fleet.fakes[0]
    for number in range(10):
        fleet.at(2.0 + 2.8 * number, flapping.crash)
        fleet.at(
            3.4 + 2.8 * number, lambda: setattr(flapping, "crashed", False)
        )
    fleet.offer(rate_per_s=_rate(0.4), until_s=30.0)
    records = fleet.run()
    assert _in_time_share(records) > 0.98
    first_half = [at for at in fleet.sent["u0"] if 2.0 < at < 16.0]
    second_half = [at for at in fleet.sent["u0"] if at >= 16.0]
    assert len(second_half) <= len(first_half)


def test_upstreams_that_fail_half_of_their_calls() -> None:
    """Guards against an even share of work for upstreams that often fail.

    Pattern: a sixth of the upstreams fails half of its requests at once,
    while its probes are good and show it idle.
    """
    fleet = _Fleet(upstreams=12)
    for fake in fleet.fakes[:2]:
        fleet.at(3.0, lambda fake=fake: setattr(fake, "fail_share", 0.5))
    fleet.offer(rate_per_s=_rate(0.4, upstreams=12), until_s=20.0)
    records = fleet.run()
    assert _in_time_share(records) > 0.97
    grey = statistics.mean(
        sum(at > 5.0 for at in fleet.sent[name]) for name in ("u0", "u1")
    )
    healthy = statistics.mean(
        sum(at > 5.0 for at in fleet.sent[f"u{n}"]) for n in range(2, 12)
    )
    assert grey < 0.5 * healthy


def test_short_work_beside_long_work() -> None:
    """Guards against short calls that wait behind long ones.

    Pattern: a patient route with work of 0.5 s, which also gets short work of
    another route, at 80 % of the capacity.
    """
    fleet = _Fleet()
    fleet.offer(
        rate_per_s=0.6 * 27 / 0.5,
        until_s=20.0,
        mean_s=0.5,
        target_s=1.5,
        route="patient",
    )
    fleet.offer(
        rate_per_s=0.2 * 27 / 0.1,
        until_s=20.0,
        mean_s=0.1,
        target_s=0.4,
        route="short",
    )
    records = fleet.run()
    assert _in_time_share(records, "short") > 0.95
    assert _in_time_share(records, "patient") > 0.95
    waits = {
        route: statistics.mean(
            r.latency_s - fleet.durations[r.call.call_id]
            for r in records
            if r.call.route == route and r.outcome == "useful"
        )
        for route in ("short", "patient")
    }
    assert waits["short"] < 0.1


def test_urgent_writes_beside_a_burst_of_reads() -> None:
    """Guards against bookings that are refused while lookups are served.

    Pattern: lookups at 1.7 times the capacity, and bookings of higher
    priority at a fifth of it.
    """
    fleet = _Fleet()
    fleet.offer(rate_per_s=_rate(1.7), until_s=8.0, priority=2)
    fleet.offer(
        rate_per_s=_rate(0.2),
        until_s=8.0,
        route="booking",
        idempotent=False,
        priority=1,
    )
    records = fleet.run()
    assert _in_time_share(records, "booking") > 0.9
    assert _in_time_share(records, "booking") > _in_time_share(records)
