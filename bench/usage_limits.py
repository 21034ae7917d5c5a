"""Compares schemes for usage limits over the fleet, in simulated time.

For each scheme, it states the share of the calls that one bucket for the whole
fleet would admit, but that the scheme refuses. Calls arrive at random times at
0.9 of the limit, or evenly, each on a random node.

    python -m bench.usage_limits
"""

import argparse
import functools
import random

from bench import usage_fleet
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.coordination.usage_limits import token_bucket
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import routing

TOLERANCE = shares.Tolerance(window_s=5.0, overage=0.1, tolerance_calls=20.0)
_LOAD = 0.9
# One-way delay of a datagram.
_DELAY_S = 0.0005
# Interval of the shares by demand, and their delay over the zone feed.
_SHARES_INTERVAL_S = 1.0
# Part of the limit that is divided evenly, for nodes without recent calls.
_EVEN_PART = 0.2

# Time and node number of a call.
Arrival = tuple[float, int]


def arrivals(
    *, calls_per_s: float, nodes: int, seconds: float, seed: int, even: bool
) -> list[Arrival]:
    """Returns the calls of one account in the order of their times."""
    rng = random.Random(seed)
    calls: list[Arrival] = []
    # Starts when the nodes do, and after the first tokens can be missing.
    now = rng.random() / calls_per_s
    while now < seconds:
        calls.append((now, rng.randrange(nodes)))
        now += 1.0 / calls_per_s if even else rng.expovariate(calls_per_s)
    return calls


def run_one_bucket(
    account: routing.Account, calls: list[Arrival]
) -> list[bool]:
    """Returns which calls one bucket for all nodes admits."""
    return _run_buckets(account, [(time_s, 0) for time_s, _ in calls], 1)


def run_fixed_shares(
    account: routing.Account, calls: list[Arrival], nodes: int
) -> list[bool]:
    """Returns which calls are admitted by equal shares of all nodes."""
    return _run_buckets(account, calls, nodes)


def run_demand_shares(
    account: routing.Account, calls: list[Arrival], nodes: int
) -> list[bool]:
    """Returns which calls are admitted by shares of the last interval."""
    buckets = [_bucket(account, nodes) for _ in range(nodes)]
    admitted = []
    counts = [[0] * nodes]
    interval = 0
    for time_s, node in calls:
        while interval < int(time_s / _SHARES_INTERVAL_S):
            interval += 1
            # The counts of an interval are in force one interval later.
            told = counts[-2] if len(counts) > 1 else counts[-1]
            counts.append([0] * nodes)
            for number, bucket in enumerate(buckets):
                share = _EVEN_PART / nodes
                if sum(told):
                    share += (1.0 - _EVEN_PART) * told[number] / sum(told)
                bucket.set_limit(
                    calls_per_s=max(1e-6, share * account.calls_per_s),
                    burst_calls=max(1.0, share * account.burst_calls),
                    now=interval * _SHARES_INTERVAL_S,
                )
        counts[-1][node] += 1
        admitted.append(
            bool(buckets[node].take(waiting=1, extra=0, now=time_s))
        )
    return admitted


def run_owner(
    account: routing.Account, calls: list[Arrival], nodes: int
) -> tuple[list[bool], int]:
    """Returns which calls an owner's tokens admit, and the bytes sent."""
    fleet = usage_fleet.UsageFleet(
        nodes=nodes,
        accounts=[account],
        divide=functools.partial(shares.divide, tolerance=TOLERANCE),
        link=lambda source, target, now: (_DELAY_S,),
    )
    for time_s, node in calls:
        fleet.at(
            time_s,
            functools.partial(fleet.call, fleet.nodes[node], account.name),
        )
    fleet.run(calls[-1][0] + 1.0)
    admitted = [
        isinstance(fleet.results[number][2], verdicts.Admitted)
        for number in range(len(calls))
    ]
    return admitted, fleet.sent_bytes


def refused_share(allowed: list[bool], admitted: list[bool]) -> float:
    """Returns the share of the allowed calls that were refused."""
    refused = sum(
        is_allowed and not is_admitted
        for is_allowed, is_admitted in zip(allowed, admitted, strict=True)
    )
    return refused / max(1, sum(allowed))


def compare(
    *,
    calls_per_s: float,
    nodes: int,
    even: bool,
    seconds: float = 60.0,
    seeds: int = 3,
) -> dict[str, float]:
    """Returns the refused share by scheme, and the bytes of each call.

    The limit is `calls_per_s` divided by the load of 0.9, with a burst of the
    calls of two seconds.
    """
    limit = calls_per_s / _LOAD
    account = routing.Account(
        name="account-1", calls_per_s=limit, burst_calls=2.0 * limit
    )
    sums = dict.fromkeys(("fixed", "by demand", "owner", "bytes a call"), 0.0)
    for seed in range(seeds):
        calls = arrivals(
            calls_per_s=calls_per_s,
            nodes=nodes,
            seconds=seconds,
            seed=seed,
            even=even,
        )
        allowed = run_one_bucket(account, calls)
        owner, sent_bytes = run_owner(account, calls, nodes)
        results = {
            "fixed": run_fixed_shares(account, calls, nodes),
            "by demand": run_demand_shares(account, calls, nodes),
            "owner": owner,
        }
        for scheme, admitted in results.items():
            sums[scheme] += refused_share(allowed, admitted) / seeds
        sums["bytes a call"] += sent_bytes / len(calls) / seeds
    return sums


def _run_buckets(
    account: routing.Account, calls: list[Arrival], nodes: int
) -> list[bool]:
    buckets = [_bucket(account, nodes) for _ in range(nodes)]
    return [
        bool(buckets[node].take(waiting=1, extra=0, now=time_s))
        for time_s, node in calls
    ]


def _bucket(account: routing.Account, nodes: int) -> token_bucket.TokenBucket:
    burst = max(1.0, account.burst_calls / nodes)
    return token_bucket.TokenBucket(
        calls_per_s=account.calls_per_s / nodes,
        burst_calls=burst,
        tokens=burst,
        now=0.0,
    )


def main() -> None:
    """Prints a table of all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args()
    print("nodes calls/s arrivals  fixed  by demand  owner  bytes a call")
    for nodes in (40, 170):
        for calls_per_s in (0.5, 1.0, 2.0, 5.0, 10.0, 200.0):
            for even in (True, False):
                row = compare(
                    calls_per_s=calls_per_s,
                    nodes=nodes,
                    even=even,
                    seconds=args.seconds,
                )
                print(
                    f"{nodes:5} {calls_per_s:7.1f}"
                    f" {'even' if even else 'random':>8}"
                    f" {row['fixed']:6.3f} {row['by demand']:10.3f}"
                    f" {row['owner']:6.3f} {row['bytes a call']:13.0f}"
                )


if __name__ == "__main__":
    main()
