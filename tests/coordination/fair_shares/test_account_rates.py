"""Tests of the weights of client accounts, and of what is forgotten."""

import pytest

from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.coordination.fair_shares import service_shares
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import routing


def _accounts(**limits: float) -> dict[str, routing.Account]:
    return {
        name: routing.Account(name=name, calls_per_s=limit)
        for name, limit in limits.items()
    }


def _call(account: str) -> calls.Call:
    return calls.Call(
        call_id=1,
        client_account=account,
        call_class=calls.CallClass.LOOKUP,
        idempotent=True,
        arrived_at=0.0,
        deadline=1.0,
    )


def test_limit_decides_and_changes_at_once() -> None:
    """Guards against weights of an earlier limit or number of nodes."""
    rates = account_rates.AccountRates(nodes=4)
    rates.apply(_accounts(a=16.0), 0.0)
    assert rates.calls_per_s("a", 0.0) == pytest.approx(2.5)
    shares = service_shares.ServiceShares(rates=rates)
    for _ in range(9):
        shares.record_sent(_call("a"), 1.0)
    (before,) = shares.ranks(["a"], 1.0)
    rates.apply(_accounts(a=32.0), 1.0)
    assert rates.calls_per_s("a", 1.0) == pytest.approx(5.0)
    (after,) = shares.ranks(["a"], 1.0)
    assert after < before
    rates.set_nodes(2)
    assert rates.calls_per_s("a", 1.0) == pytest.approx(10.0)


def test_demand_decides_without_a_limit() -> None:
    """Guards against new accounts without weight, and against fast changes.

    A burst at seven times the usual rate must hardly raise the weight.
    """
    rates = account_rates.AccountRates()
    rates.apply(_accounts(a=0.0, new=0.0), 0.0)
    assert rates.calls_per_s("a", 0.0) == account_rates.MIN_CALLS_PER_S
    for number in range(4000):
        rates.record_call("a", number * 0.5)
        if number == 60:
            assert rates.calls_per_s("a", 30.0) == pytest.approx(2.0, rel=0.1)
    assert rates.calls_per_s("a", 2000.0) == pytest.approx(2.0, rel=0.01)
    for number in range(420):
        rates.record_call("a", 2000.0 + number / 14.0)
    assert rates.calls_per_s("a", 2030.0) < 1.6 * 2.0
    assert rates.calls_per_s("new", 2030.0) == account_rates.MIN_CALLS_PER_S


def test_late_record_of_an_earlier_call() -> None:
    """Guards against averages that grow with calls that arrive in disorder."""
    rates = account_rates.AccountRates()
    rates.apply(_accounts(a=0.0), 0.0)
    rates.record_call("a", 100.0)
    rates.record_call("a", 40.0)
    in_order = account_rates.AccountRates()
    in_order.apply(_accounts(a=0.0), 0.0)
    in_order.record_call("a", 100.0)
    in_order.record_call("a", 100.0)
    assert rates.calls_per_s("a", 120.0) == in_order.calls_per_s("a", 120.0)


def test_removed_accounts_are_forgotten() -> None:
    """Guards against memory of accounts that the configuration lacks."""
    rates = account_rates.AccountRates()
    shares = service_shares.ServiceShares(rates=rates)
    rates.apply(_accounts(a=1.0, b=0.0), 0.0)
    for account in ("a", "b", "unknown", account_rates.PUBLIC):
        rates.record_call(account, 0.0)
        shares.record_sent(_call(account), 0.0)
    assert sorted(rates.accounts) == ["", "a", "b"]
    assert shares.received("unknown", 0.0) == 0.0
    rates.apply(_accounts(b=0.0), 1.0)
    assert sorted(rates.accounts) == ["", "b"]
    assert shares.ranks(["a", "b"], 1.0)[0] == 0.0
    rates.apply(_accounts(a=1.0, b=0.0), 2.0)
    assert shares.received("a", 2.0) == 0.0
    assert shares.received("b", 2.0) > 0.0
    rates.apply(None, 3.0)
    assert not shares.is_active
    assert rates.accounts == []
