"""Fair shares under load, in virtual time and without network.

Eight nodes share 18 upstreams with two slots. 72 accounts send calls, few of
them many. See `bench/fair_shares.py`.
"""

import dataclasses
import statistics

import pytest

from bench import fair_shares as model
from tanagerspoke.coordination import target_queue
from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.coordination.fair_shares import service_shares
from tests.coordination.fair_shares import test_queue_order


def _run(
    name: str, *, shared: bool, seed: int = 1, **changes: float
) -> model.Run:
    load = dataclasses.replace(
        model.LOADS[name], surge_at=6.0, ends_at=14.0, **changes
    )
    shares = model.fair_shares if shared else None
    return model.run(load, seed=seed, shares=shares)


def _check_no_account_starves(run: model.Run) -> None:
    """Checks that each account is served a quarter as often as all."""
    all_served = statistics.mean(r.outcome == "useful" for r in run.records)
    served = run.served_shares(min_calls=5)
    assert len(served) > model.ACCOUNTS / 2
    assert min(served.values()) >= 0.25 * all_served


@pytest.mark.parametrize("seed", [1, 2])
def test_one_account_at_seven_times_its_usual_rate(seed: int) -> None:
    """Guards against an account that takes capacity from the others.

    All priorities are equal. Others must meet their target nearly as often as
    without the surge: nine times in ten of those.
    """
    usual = _run("seven times", shared=True, seed=seed, surge=1.0)
    surge = _run("seven times", shared=True, seed=seed)
    assert surge.in_time_share(surging=False) >= 0.9 * usual.in_time_share(
        surging=False
    )
    _check_no_account_starves(surge)


def test_surge_of_an_account_without_a_limit() -> None:
    """Guards against a surge that raises the weight of its own account."""
    usual = _run("no limits", shared=True, surge=1.0)
    surge = _run("no limits", shared=True)
    assert surge.in_time_share(surging=False) >= 0.9 * usual.in_time_share(
        surging=False
    )
    _check_no_account_starves(surge)


def test_72_accounts_at_twice_their_usual_rate() -> None:
    """Guards against small or large accounts that lose out at full load."""
    run = _run("all double", shared=True)
    _check_no_account_starves(run)
    by_arrival = _run("all double", shared=False)
    # Shares order calls and waste no capacity.
    assert run.in_time_share() >= 0.95 * by_arrival.in_time_share()


def test_two_priorities() -> None:
    """Guards against shares that precede the priorities of accounts."""
    run = _run("two priorities", shared=True)
    in_time = {0: [], 1: []}
    for record in run.records:
        in_time[record.call.account_priority].append(model.is_in_time(record))
    assert statistics.mean(in_time[0]) > 1.5 * statistics.mean(in_time[1])
    by_arrival = _run("two priorities", shared=False)
    first = [r for r in by_arrival.records if not r.call.account_priority]
    assert statistics.mean(in_time[0]) >= 0.95 * statistics.mean(
        model.is_in_time(r) for r in first
    )


def test_service_with_spare_capacity() -> None:
    """Guards against shares that delay calls where nothing is short."""
    by_arrival = _run("spare capacity", shared=False)
    run = _run("spare capacity", shared=True)
    assert run.in_time_share() >= by_arrival.in_time_share()
    assert run.dispatched == by_arrival.dispatched


@pytest.mark.parametrize("name", ["all double", "two priorities"])
def test_deployment_without_accounts(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against other decisions where the deployment has no accounts.

    The decisions are compared with those of a queue that only knows the order
    that was in force before fair shares.
    """

    def inactive_shares(
        rates: account_rates.AccountRates,
    ) -> service_shares.ServiceShares:
        rates.apply(None, 0.0)
        return model.fair_shares(rates)

    load = dataclasses.replace(model.LOADS[name], surge_at=2.0, ends_at=6.0)
    run = model.run(load, seed=1, shares=inactive_shares)
    monkeypatch.setattr(
        target_queue.TargetQueue,
        "order",
        lambda self, now: sorted(
            self._queued.values(),
            key=lambda queued: test_queue_order.former_key(queued, now),
        ),
    )
    former = model.run(load, seed=1)
    assert run.dispatched == former.dispatched
    assert run.records == former.records
