"""Latency with and without second attempts, in virtual time.

Run with `python -m bench.second_attempts [LOAD ...]`. Each line of the output
is one load under one setting of `hedge_share`, over three seeds. Runs with the
same seed have the same calls and faults. All loads take about 10 minutes.
"""

from collections.abc import Callable, Sequence
import dataclasses
import random
import statistics
import sys

from bench import simulation
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams
from tests.coordination import helpers

_SLOTS = 3
_ZONES = "abc"
_MEAN_SERVICE_TIME_S = 0.1
_TARGET_S = 0.6
_TIMEOUT_S = 3.0
_SPELL_S = 0.15
_SLOW_FACTOR = 6.0
_SETTINGS = (0.0, None, 0.01, 0.02, 0.05, 0.1)

_Plan = Callable[[simulation.Clock, list[simulation.FakeUpstream]], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Calls that are offered, and the faults of the upstreams.

    Attributes:
        utilization: share of the slots that the calls keep busy.
        calls_per_s: rate of the calls of all nodes; replaces `utilization`.
        plan: schedules the faults.
    """

    name: str
    plan: _Plan
    utilization: float = 0.4
    calls_per_s: float | None = None
    nodes: int = 3
    upstreams: int = 9
    duration_s: float = 60.0

    @property
    def rate_per_s(self) -> float:
        """Calls per second of all nodes."""
        if self.calls_per_s is not None:
            return self.calls_per_s
        return self.utilization * _SLOTS * self.upstreams / _MEAN_SERVICE_TIME_S


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Result of one load under one setting.

    Attributes:
        records: calls and their results.
        first_attempts: calls that were sent.
        hedges: second attempts.
        hedges_by_node: second attempts and sent calls of each node.
        hedge_times: times of the second attempts.
    """

    records: list[simulation.CallRecord]
    first_attempts: int
    hedges: int
    hedges_by_node: list[tuple[int, int]]
    hedge_times: list[float]

    def quantile_s(self, quantile: float) -> float:
        """Returns a quantile of the calls' times to their end."""
        times = sorted(r.latency_s for r in self.records)
        return times[min(len(times) - 1, int(quantile * len(times)))]

    @property
    def in_time_share(self) -> float:
        """Share of the calls that were served within their target."""
        return statistics.mean(
            r.outcome == "useful" and r.latency_s <= _TARGET_S
            for r in self.records
        )


def slow_spells(
    clock: simulation.Clock, fakes: list[simulation.FakeUpstream]
) -> None:
    """Makes another third of the upstreams slow every 150 ms."""
    rng = random.Random(7)

    def next_spell() -> None:
        slow = rng.sample(fakes, len(fakes) // 3)
        for fake in fakes:
            fake.slow_factor = _SLOW_FACTOR if fake in slow else 1.0

    for number in range(int(60.0 / _SPELL_S)):
        clock.schedule(number * _SPELL_S, next_spell)


def mute_upstream(
    clock: simulation.Clock, fakes: list[simulation.FakeUpstream]
) -> None:
    """Lets one upstream answer no call, for 2 s in each 6 s.

    Its health responses go on and show it idle.
    """
    fakes[0].probe = lambda: upstreams.LoadReport(in_flight=0, slots=_SLOTS)
    for number in range(10):
        clock.schedule(6.0 * number + 3.0, setattr, fakes[0], "frozen", True)
        clock.schedule(6.0 * number + 5.0, setattr, fakes[0], "frozen", False)


def all_slow(
    clock: simulation.Clock, fakes: list[simulation.FakeUpstream]
) -> None:
    """Makes all upstreams slow in the second third of the time."""
    for fake in fakes:
        clock.schedule(20.0, setattr, fake, "slow_factor", 3.0)
        clock.schedule(40.0, setattr, fake, "slow_factor", 1.0)


def no_fault(
    clock: simulation.Clock, fakes: list[simulation.FakeUpstream]
) -> None:
    """Causes no fault."""


LOADS = {
    load.name: load
    for load in (
        Load(name="calm", plan=no_fault),
        Load(name="spells", plan=slow_spells),
        Load(name="mute", plan=mute_upstream),
        Load(name="all slow", plan=all_slow, utilization=0.2),
        Load(name="full house", plan=slow_spells, utilization=1.2),
        Load(
            name="few calls",
            plan=slow_spells,
            nodes=20,
            upstreams=12,
            calls_per_s=80.0,
        ),
    )
}


def run(load: Load, *, share: float | None, seed: int) -> Run:
    """Runs a load with a setting of `hedge_share`."""
    rng = random.Random(seed)
    clock = simulation.Clock()
    listed = helpers.make_upstreams(load.upstreams, slots=_SLOTS)
    fakes = simulation.make_fakes(clock=clock, listed=listed)
    hedge_times: list[float] = []

    def service_time_s(call: calls.Call, attempt: int) -> float:
        return simulation.draw_service_time_s(
            mean_s=_MEAN_SERVICE_TIME_S,
            sigma=0.5,
            rng=simulation.attempt_rng(seed, call, attempt),
        )

    nodes = [
        simulation.Gateway(
            clock=clock,
            scheduler=_observed_scheduler(
                load, number, share, seed, hedge_times
            ),
            zone=_ZONES[number % 3],
            fakes=fakes,
            service_time_s=service_time_s,
        )
        for number in range(load.nodes)
    ]
    for node in nodes:
        node.handle(calls.UpstreamsChanged(upstreams=listed))
    load.plan(clock, list(fakes.values()))
    at = 0.0
    call_id = 0
    while (at := at + rng.expovariate(load.rate_per_s)) < load.duration_s:
        call_id += 1
        call = calls.Call(
            call_id=call_id,
            client_account="",
            call_class=calls.CallClass.LOOKUP,
            idempotent=True,
            hedge=True,
            arrived_at=at,
            target_at=at + _TARGET_S,
            deadline=at + _TIMEOUT_S,
            route="read",
            max_attempts=3,
        )
        clock.schedule(at, rng.choice(nodes).receive_call, call)
    clock.run()
    return Run(
        records=[r for node in nodes for r in node.records.values()],
        first_attempts=sum(node.first_attempts for node in nodes),
        hedges=sum(node.hedges for node in nodes),
        hedges_by_node=[(n.hedges, n.first_attempts) for n in nodes],
        hedge_times=hedge_times,
    )


def _observed_scheduler(
    load: Load,
    number: int,
    share: float | None,
    seed: int,
    hedge_times: list[float],
) -> route_scheduling.RouteScheduler:
    class Observed(route_scheduling.RouteScheduler):
        def handle(
            self, *, event: calls.SchedulerEvent, now: float
        ) -> list[calls.SchedulerAction]:
            actions = super().handle(event=event, now=now)
            hedge_times.extend(
                now
                for action in actions
                if isinstance(action, calls.Dispatch) and action.is_hedge
            )
            return actions

    return helpers.make_route_scheduler(
        scheduler_type=Observed,
        zone=_ZONES[number % 3],
        budget_extra=40.0,
        nodes=load.nodes,
        seed=seed * 100 + number,
        hedge_share=share,
    )


def _row(load: Load, share: float | None, runs: Sequence[Run]) -> str:
    name = "none" if share is None else f"{share:g}"
    quantiles = " ".join(
        f"{1000 * statistics.median(r.quantile_s(q) for r in runs):7.0f}"
        for q in (0.5, 0.99, 0.999)
    )
    hedges = sum(r.hedges for r in runs)
    extra = hedges / sum(r.first_attempts for r in runs)
    in_time = statistics.mean(r.in_time_share for r in runs)
    return f"{load.name:10} {name:>5} {quantiles} {in_time:8.4f} {extra:7.4f}"


def main() -> None:
    """Prints a row for each load and setting."""
    print("load       share     p50     p99   p99.9  in time   extra")
    for load in [LOADS[name] for name in sys.argv[1:] or LOADS]:
        for share in _SETTINGS:
            runs = [run(load, share=share, seed=seed) for seed in (1, 2, 3)]
            print(_row(load, share, runs), flush=True)


if __name__ == "__main__":
    main()
