"""Tests of the order of queued calls where client accounts share a service."""

import collections
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke.coordination import route_scheduling
from tanagerspoke.coordination import target_queue
from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.coordination.fair_shares import service_shares
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import routing
from tests.coordination import helpers

_NOW = 5.0


def _rates(**limits: float) -> account_rates.AccountRates:
    rates = account_rates.AccountRates()
    rates.apply(
        {
            name: routing.Account(name=name, calls_per_s=limit)
            for name, limit in limits.items()
        },
        0.0,
    )
    return rates


def former_key(queued: target_queue.QueuedCall, now: float = _NOW) -> tuple:
    """Returns the sort key that was in force before fair shares."""
    call = queued.call
    late = queued.latest_start_at < now
    arrival_key = call.arrived_at if late else -call.arrived_at
    return (late, call.account_priority, call.priority, arrival_key)


_QUEUED_CALLS = st.lists(
    st.builds(
        dict,
        account=st.sampled_from(["", "a", "b", "c"]),
        arrived_at=st.floats(0.0, 5.0),
        latest_start_at=st.sampled_from([4.0, 6.0]),
        account_priority=st.integers(0, 1),
        priority=st.integers(0, 1),
    ),
    max_size=14,
).map(
    lambda options: [
        helpers.make_queued_call(i, **each) for i, each in enumerate(options)
    ]
)


@hypothesis.given(queued=_QUEUED_CALLS)
def test_order_without_accounts_is_unchanged(
    queued: list[target_queue.QueuedCall],
) -> None:
    """Guards against changes for deployments without client accounts."""
    shares = service_shares.ServiceShares(rates=account_rates.AccountRates())
    queue = target_queue.TargetQueue(shares=shares)
    for each in queued:
        queue.push(each)
        queue.record_sent(each.call, 1.0)
    expected = sorted(queued, key=former_key)
    assert queue.order(_NOW) == expected
    for each in queued:
        key = former_key(each)
        assert queue.calls_ahead(each, _NOW) == sum(
            former_key(other) < key for other in queued
        )


@hypothesis.given(
    queued=_QUEUED_CALLS,
    sent=st.lists(st.sampled_from(["", "a", "b", "c", "gone"]), max_size=9),
)
def test_shares_come_after_lateness_and_priorities(
    queued: list[target_queue.QueuedCall], sent: list[str]
) -> None:
    """Guards against late or less urgent calls that are sent first.

    Within one account, the order of arrival must remain, and `where` must
    state the same order.
    """
    queue = target_queue.TargetQueue(
        shares=service_shares.ServiceShares(rates=_rates(a=0.0, b=1.0, c=9.0))
    )
    for each in queued:
        queue.push(each)
    for account in sent:
        queue.record_sent(
            helpers.make_queued_call(0, account=account).call, 4.0
        )
    order = queue.order(_NOW)
    groups = [former_key(each)[:3] for each in order]
    assert groups == sorted(groups)
    assert sorted(e.call.call_id for e in order) == list(range(len(queued)))
    for account in ("", "a", "b", "c"):
        own = [e for e in order if e.call.client_account == account]
        assert own == sorted(own, key=former_key)
    assert [queue.calls_ahead(each, _NOW) for each in order] == list(
        range(len(order))
    )


def test_call_that_is_not_queued_has_a_place() -> None:
    """Guards against an explanation that leaves out the account's share."""
    queue = target_queue.TargetQueue(
        shares=service_shares.ServiceShares(rates=_rates(a=2.0, b=2.0))
    )
    for number in range(6):
        queue.push(
            helpers.make_queued_call(number, account="a", arrived_at=number)
        )
        queue.record_sent(helpers.make_queued_call(0, account="a").call, _NOW)
    newcomer = helpers.make_queued_call(9, account="b", arrived_at=0.0)
    assert queue.calls_ahead(newcomer, _NOW) == 0
    assert len(queue) == 6


def test_retry_is_not_counted() -> None:
    """Guards against accounts that lose their place to failing upstreams."""
    shares = service_shares.ServiceShares(rates=_rates(a=2.0))
    scheduler = helpers.make_route_scheduler(shares=shares)
    scheduler.handle(
        event=calls.UpstreamsChanged(upstreams=helpers.make_upstreams(2)),
        now=0.0,
    )
    call = helpers.make_call(1, account="a", deadline_s=9.0)
    first = _next_dispatch(scheduler, helpers.arrive(scheduler, call, 0.0))
    ended = helpers.end(scheduler, first, 0.2, calls.NotSent())
    assert _next_dispatch(scheduler, ended).attempt == 2
    assert 0.9 < shares.received("a", 0.2) <= 1.0


def _next_dispatch(
    scheduler: route_scheduling.RouteScheduler,
    actions: list[calls.SchedulerAction],
) -> calls.Dispatch:
    while True:
        for action in actions:
            if isinstance(action, calls.Dispatch):
                return action
        now = scheduler.next_wakeup
        actions = scheduler.handle(event=calls.Tick(), now=now)


def test_first_slots_are_divided_between_accounts() -> None:
    """Guards against one account that gets all of several free slots.

    No account has received anything, as after the start of a node.
    """
    queue = target_queue.TargetQueue(
        shares=service_shares.ServiceShares(rates=_rates(a=1.0, b=1.0, c=1.0))
    )
    for number, account in enumerate("aaabbbccc"):
        queue.push(helpers.make_queued_call(number, account=account))
    first = [each.call.client_account for each in queue.order(_NOW)[:3]]
    assert sorted(first) == ["a", "b", "c"]


@pytest.mark.parametrize(
    ("usual_calls_per_s", "served_calls_per_s"), [(20.0, 28.0), (5.0, 7.0)]
)
def test_few_large_accounts_at_full_load(
    usual_calls_per_s: float, served_calls_per_s: float
) -> None:
    """Guards against accounts that are starved.

    Load: 72 accounts of which few are large, all with queued calls at any
    time, at a node of a fleet of 40 or 170. An account with queued calls is
    served at least a quarter as often as the others, relative to its weight.
    """
    sizes = [1.0 / (k + 1) ** 1.1 for k in range(72)]
    limits = {
        f"a{k}": 1.6 * usual_calls_per_s * size / sum(sizes)
        for k, size in enumerate(sizes)
    }
    rates = _rates(**limits)
    queue = target_queue.TargetQueue(
        shares=service_shares.ServiceShares(rates=rates)
    )
    rng = random.Random(1)
    accounts = list(limits)
    for number, account in enumerate(accounts * 3):
        queue.push(
            helpers.make_queued_call(
                number, account=account, arrived_at=-number
            )
        )
    served: collections.Counter[str] = collections.Counter()
    now = 0.0
    while (now := now + rng.expovariate(served_calls_per_s)) < 40.0:
        first = queue.order(now)[0]
        account = first.call.client_account
        queue.remove(first.call.call_id)
        queue.record_sent(first.call, now)
        queue.push(
            helpers.make_queued_call(
                first.call.call_id, account=account, arrived_at=now
            )
        )
        if now > 10.0:
            served[account] += 1
    total = sum(served.values())
    for account, limit in limits.items():
        others = (total - served[account]) / (sum(limits.values()) - limit)
        # Less than one call cannot be expected to the calls of an account.
        assert served[account] + 1.0 >= 0.25 * others * limit
    assert min(served[account] for account in accounts) >= 1
    assert total > 0.8 * 30.0 * served_calls_per_s
