"""What owners grant, and who the owners are."""

import hypothesis
from hypothesis import strategies as st
import pytest

from bench import usage_limits
from tanagerspoke.coordination.usage_limits import backup_pool
from tanagerspoke.coordination.usage_limits import grants
from tanagerspoke.coordination.usage_limits import ownership
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.coordination.usage_limits import token_bucket
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage

_ACCOUNT = routing.Account(name="a", calls_per_s=4.0, burst_calls=8.0)


def _grants(*, starts_full_until: float = -1.0) -> grants.Grants:
    return grants.Grants(
        divide=lambda a: shares.divide(a, usage_limits.TOLERANCE),
        starts_full_until=starts_full_until,
    )


def _update(
    state: grants.Grants,
    role: grants.Role | None,
    now: float,
    account: routing.Account = _ACCOUNT,
) -> None:
    roles = {} if role is None else {"a": role}
    state.update(roles=roles, accounts={"a": account}, now=now)


def _ask(state: grants.Grants, waiting: int, now: float) -> usage.TokenReply:
    return state.answer(
        usage.TokenRequest(request_id=1, account="a", waiting=waiting), now
    )


def test_new_owner_starts_empty_and_first_fleet_full() -> None:
    """Guards against a burst for each change or restart of the owner."""
    state = _grants()
    _update(state, grants.Role.OWNER, 0.0)
    assert _ask(state, 9, 0.0).granted == 0
    assert _ask(state, 9, 1.0).granted == 4
    # It loses the role for a moment; another owner grants meanwhile.
    _update(state, None, 9.0)
    assert _ask(state, 1, 9.0).result is usage.Result.NOT_OWNER
    _update(state, grants.Role.OWNER, 9.1)
    assert _ask(state, 9, 9.1).granted == 0
    state = _grants(starts_full_until=7.0)
    _update(state, grants.Role.OWNER, 1.0)
    assert _ask(state, 9, 1.0).granted == 8


def test_changed_limit_applies_at_once() -> None:
    """Guards against tokens of a higher limit that outlast it."""
    state = _grants(starts_full_until=1.0)
    _update(state, grants.Role.OWNER, 0.0)
    lowered = routing.Account(name="a", calls_per_s=1.0, burst_calls=2.0)
    _update(state, grants.Role.OWNER, 1.0, lowered)
    assert _ask(state, 9, 1.0).granted == 2
    assert _ask(state, 9, 2.0).granted == 1
    _update(state, grants.Role.OWNER, 2.0)
    assert _ask(state, 9, 3.0).granted == 4


def test_refused_calls_are_told_the_time_of_a_token_each() -> None:
    """Guards against callers that all return for the same token."""
    bucket = token_bucket.TokenBucket(
        calls_per_s=4.0, burst_calls=8.0, tokens=0.5, now=0.0
    )
    assert bucket.book(1, 0.0) == pytest.approx(0.125)
    assert bucket.book(2, 0.0) == pytest.approx(0.375)
    assert bucket.book(1, 0.1) == pytest.approx(0.775)
    # Under a lasting overload, the times stay bounded.
    assert [bucket.book(1000, 0.2) for _ in range(3)][1:] == [5.0, 5.0]


def test_tokens_in_advance_leave_half_of_the_burst() -> None:
    """Guards against unused tokens that are missing on another node."""
    bucket = token_bucket.TokenBucket(
        calls_per_s=4.0, burst_calls=8.0, tokens=8.0, now=0.0
    )
    assert bucket.take(waiting=2, extra=10, now=0.0) == 4
    assert bucket.take(waiting=2, extra=10, now=0.0) == 2


def test_new_backup_owner_waits_for_a_window() -> None:
    """Guards against a pool that two backup owners grant in one window."""
    state = _grants()
    _update(state, grants.Role.BACKUP, 0.0)
    reply = _ask(state, 1, 5.1)
    assert reply.result is usage.Result.POOL_EMPTY
    assert reply.next_token_ms == pytest.approx(100, abs=1)
    assert _ask(state, 100, 5.3).granted == 17


@hypothesis.given(
    steps=st.lists(
        st.tuples(st.floats(0.0, 1.0), st.integers(0, 9)), max_size=60
    ),
    size=st.floats(0.0, 20.0),
)
def test_pool_keeps_its_size_in_any_window(steps, size) -> None:
    """Guards against a pool that grants more than its part of the bound."""
    pool = backup_pool.BackupPool(calls=size, window_s=2.0, available_from=0.0)
    now, granted = 0.0, []
    for elapsed_s, wanted in steps:
        now += elapsed_s
        granted.append((now, pool.take(wanted, now)))
    for start, _ in granted:
        assert sum(n for t, n in granted if start <= t < start + 2.0) <= size
    wait_s = pool.seconds_to_next(now)
    if size >= 1.0:
        assert pool.take(1, now + wait_s + 1e-6) == 1


@hypothesis.given(
    rate=st.floats(0.01, 1e4),
    burst=st.floats(0.0, 1e4),
    tolerance=st.builds(
        shares.Tolerance,
        window_s=st.floats(0.5, 60.0),
        overage=st.floats(0.0, 2.0),
        tolerance_calls=st.floats(0.0, 100.0),
    ),
)
def test_shares_of_both_owners_add_up_to_the_bound(
    rate, burst, tolerance
) -> None:
    """Guards against shares that exceed the bound with little tolerance."""
    account = routing.Account(name="a", calls_per_s=rate, burst_calls=burst)
    share = shares.divide(account, tolerance)
    granted = (
        share.calls_per_s * (tolerance.window_s + shares.TOKEN_LIFETIME_S)
        + share.burst_calls
        + share.pool_calls
    )
    bound = max(1.0, shares.max_calls(account, tolerance))
    assert granted <= bound * (1 + 1e-9) + 1e-4
    assert 0 < share.calls_per_s <= rate
    assert share.pool_calls >= 0


@hypothesis.given(
    lists=st.lists(st.frozensets(st.integers(0, 12), max_size=9), max_size=5)
)
def test_owners_depend_only_on_the_list(lists) -> None:
    """Guards against nodes that disagree after different changes."""
    names = [f"a{number}" for number in range(8)]
    changed = ownership.Ownership()
    changed.set_accounts(names[:4])
    changed.set_accounts(names)
    for numbers in lists:
        nodes = {f"n{number}" for number in numbers}
        changed.set_nodes(nodes)
        fresh = ownership.Ownership()
        fresh.set_nodes(nodes)
        fresh.set_accounts(names)
        for name in names:
            owners = changed.owners(name)
            assert owners == fresh.owners(name)
            assert len(owners) == min(2, len(nodes))
