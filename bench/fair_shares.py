"""Service of client accounts that share a service, in virtual time.

Run with `python -m bench.fair_shares [LOAD ...]`. Each line of the output is
one load over three seeds, with calls ordered by arrival or by fair shares. Runs
with the same seed have the same calls. Refused callers do not return.
"""

from collections.abc import Callable, Sequence
import dataclasses
import random
import statistics
import sys

from bench import simulation
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.coordination.fair_shares import service_shares
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import routing
from tests.coordination import helpers

NODES = 8
_UPSTREAMS = 18
_SLOTS = 2
_ZONES = "abc"
_MEAN_SERVICE_TIME_S = 0.15
_TARGET_S = 0.6
_TIMEOUT_S = 2.0
_LIMIT_TO_USUAL_RATE = 1.6
# Calls per second that the upstreams can serve.
CAPACITY_PER_S = _UPSTREAMS * _SLOTS / _MEAN_SERVICE_TIME_S
ACCOUNTS = 72
# The account that sends more than usual: the second largest.
SURGING = "a1"

SharesFactory = Callable[
    [account_rates.AccountRates], service_shares.ServiceShares
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Calls that are offered.

    Attributes:
        utilization: share of the capacity that all accounts use together at
            their usual rate.
        surge: multiple of its usual rate that `SURGING` sends in the surge.
        surge_all: the same for all other accounts.
        priorities: priorities of the accounts, in turn.
        route_costs: mean service time of each account's calls, in turn,
            relative to that of all; each cost has a route of its own.
        has_limits: whether the accounts have usage limits.
        surge_at: start of the surge, in seconds.
        ends_at: end of the surge and of the run, in seconds.
    """

    name: str
    utilization: float = 0.7
    surge: float = 1.0
    surge_all: float = 1.0
    priorities: tuple[int, ...] = (0,)
    route_costs: tuple[float, ...] = (1.0,)
    has_limits: bool = True
    surge_at: float = 12.0
    ends_at: float = 30.0

    @property
    def usual_rates(self) -> dict[str, float]:
        """Calls per second of each account over all nodes."""
        sizes = [1.0 / (k + 1) ** 1.1 for k in range(ACCOUNTS)]
        scale = self.utilization * CAPACITY_PER_S / sum(sizes)
        return {f"a{k}": scale * size for k, size in enumerate(sizes)}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Result of one load.

    Attributes:
        records: calls that arrived during the surge, and their results.
        dispatched: ids of the calls that were sent, in order.
    """

    records: list[simulation.CallRecord]
    dispatched: list[int]

    def in_time_share(self, *, surging: bool | None = None) -> float:
        """Share of calls that met their target.

        Args:
            surging: whether those of `SURGING` count or those of all others;
                None for both.
        """
        return statistics.mean(
            is_in_time(r)
            for r in self.records
            if surging is None or (r.call.client_account == SURGING) == surging
        )

    def served_shares(self, min_calls: int) -> dict[str, float]:
        """Share of the calls of each account that were served.

        Args:
            min_calls: accounts with fewer calls are left out.
        """
        served: dict[str, list[bool]] = {}
        for record in self.records:
            served.setdefault(record.call.client_account, []).append(
                record.outcome == "useful"
            )
        return {
            account: statistics.mean(results)
            for account, results in served.items()
            if len(results) >= min_calls
        }


def is_in_time(record: simulation.CallRecord) -> bool:
    """Returns whether a call was served within its target."""
    return record.outcome == "useful" and record.latency_s <= _TARGET_S


LOADS = {
    load.name: load
    for load in (
        Load(name="usual"),
        Load(name="seven times", surge=7.0),
        Load(name="no limits", surge=7.0, has_limits=False, surge_at=20.0),
        Load(name="all double", surge=2.0, surge_all=2.0),
        Load(
            name="two priorities", surge=2.0, surge_all=2.0, priorities=(0, 1)
        ),
        Load(name="unequal routes", surge=7.0, route_costs=(0.5, 1.5)),
        Load(name="spare capacity", utilization=0.3),
    )
}


def run(
    load: Load,
    *,
    seed: int,
    shares: SharesFactory | None = None,
) -> Run:
    """Runs a load.

    Args:
        load: calls that are offered.
        seed: seed of their times and of all decisions.
        shares: creates the shares of a scheduler; None without accounts.
    """
    clock = simulation.Clock()
    listed = helpers.make_upstreams(_UPSTREAMS, slots=_SLOTS)
    fakes = simulation.make_fakes(clock=clock, listed=listed)

    def service_time_s(call: calls.Call, attempt: int) -> float:
        return simulation.draw_service_time_s(
            mean_s=_MEAN_SERVICE_TIME_S * float(call.route),
            sigma=0.5,
            rng=simulation.attempt_rng(seed, call, attempt),
        )

    accounts = {
        name: routing.Account(
            name=name,
            calls_per_s=_LIMIT_TO_USUAL_RATE * rate if load.has_limits else 0.0,
        )
        for name, rate in load.usual_rates.items()
    }
    dispatched: list[int] = []
    nodes = []
    rates = []
    for number in range(NODES):
        rates.append(account_rates.AccountRates(nodes=NODES))
        if shares is not None:
            rates[-1].apply(accounts, 0.0)
        nodes.append(
            simulation.Gateway(
                clock=clock,
                scheduler=_scheduler(
                    number,
                    seed,
                    None if shares is None else shares(rates[-1]),
                    dispatched,
                ),
                zone=_ZONES[number % 3],
                fakes=fakes,
                service_time_s=service_time_s,
            )
        )
        nodes[-1].handle(calls.UpstreamsChanged(upstreams=listed))

    def receive(number: int, call: calls.Call) -> None:
        rates[number].record_call(call.client_account, clock.now)
        nodes[number].receive_call(call)

    rng = random.Random(seed)
    for number, call in enumerate(_calls(load, rng)):
        clock.schedule(
            call.arrived_at,
            receive,
            rng.randrange(NODES),
            dataclasses.replace(call, call_id=number),
        )
    clock.run()
    records = [r for node in nodes for r in node.records.values()]
    return Run(
        records=[r for r in records if r.call.arrived_at >= load.surge_at],
        dispatched=dispatched,
    )


def _calls(load: Load, rng: random.Random) -> list[calls.Call]:
    """Returns the calls of all accounts in the order of their arrival."""
    arrivals = []
    for index, (account, rate) in enumerate(load.usual_rates.items()):
        surge = load.surge if account == SURGING else load.surge_all
        for start, end, factor in (
            (0.0, load.surge_at, 1.0),
            (load.surge_at, load.ends_at, surge),
        ):
            at = start
            while (at := at + rng.expovariate(rate * factor)) < end:
                arrivals.append((at, index, account))
    return [
        calls.Call(
            call_id=0,
            client_account=account,
            call_class=calls.CallClass.LOOKUP,
            idempotent=True,
            hedge=True,
            arrived_at=at,
            target_at=at + _TARGET_S,
            deadline=at + _TIMEOUT_S,
            route=str(load.route_costs[index % len(load.route_costs)]),
            max_attempts=2,
            account_priority=load.priorities[index % len(load.priorities)],
        )
        for at, index, account in sorted(arrivals)
    ]


def _scheduler(
    number: int,
    seed: int,
    shares: service_shares.ServiceShares | None,
    dispatched: list[int],
) -> route_scheduling.RouteScheduler:
    class Observed(route_scheduling.RouteScheduler):
        def handle(
            self, *, event: calls.SchedulerEvent, now: float
        ) -> list[calls.SchedulerAction]:
            actions = super().handle(event=event, now=now)
            dispatched.extend(
                action.call_id
                for action in actions
                if isinstance(action, calls.Dispatch) and action.attempt == 1
            )
            return actions

    return helpers.make_route_scheduler(
        scheduler_type=Observed,
        zone=_ZONES[number % 3],
        budget_extra=40.0,
        nodes=NODES,
        seed=seed * 100 + number,
        shares=shares,
    )


def fair_shares(
    rates: account_rates.AccountRates,
) -> service_shares.ServiceShares:
    """Creates the shares of a scheduler as the edge does."""
    return service_shares.ServiceShares(rates=rates)


def row(name: str, order: str, runs: Sequence[Run]) -> str:
    """Returns a line of the output."""
    others, surging = (
        statistics.mean(r.in_time_share(surging=s) for r in runs)
        for s in (False, True)
    )
    served = [r.served_shares(min_calls=10) for r in runs]
    least = min(min(shares.values()) for shares in served)
    return f"{name:15} {order:10} {others:7.3f} {surging:8.3f} {least:7.3f}"


def main() -> None:
    """Prints a row for each load and order."""
    print("load            order       others  surging   least")
    for load in [LOADS[name] for name in sys.argv[1:] or LOADS]:
        for order, shares in (("arrival", None), ("shares", fair_shares)):
            runs = [run(load, seed=seed, shares=shares) for seed in (1, 2, 3)]
            print(row(load.name, order, runs), flush=True)


if __name__ == "__main__":
    main()
