"""An account over its limit whose refused callers return."""

import functools
import random

import pytest

from bench import usage_fleet
from bench import usage_limits
from tanagerspoke.coordination.usage_limits import grants
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage

_ACCOUNT = routing.Account(name="a", calls_per_s=20.0, burst_calls=20.0)
_SECONDS = 20.0


def _admitted(
    *, calls_per_s: float, tells_returns: bool
) -> tuple[int, int, int]:
    """Runs calls of which each refused one returns up to twice.

    Returns:
        The first requests, those of them that were admitted, and the admitted
        returns.
    """
    fleet = usage_fleet.UsageFleet(
        nodes=40,
        accounts=[_ACCOUNT],
        divide=functools.partial(
            shares.divide, tolerance=usage_limits.TOLERANCE
        ),
        link=lambda *_: [0.001],
    )
    rng = random.Random(1)
    calls: list[tuple[int, int]] = []

    def call(returns: int) -> None:
        number = len(calls)
        calls.append((number, returns))
        fleet.call(
            rng.choice(fleet.nodes),
            "a",
            is_retry=tells_returns and returns > 0,
        )
        fleet.at(fleet.now + 0.2, functools.partial(follow, number))

    def follow(number: int) -> None:
        _, returns = calls[number]
        _, _, verdict = fleet.results[number]
        if not isinstance(verdict, verdicts.Admitted) and returns < 2:
            fleet.at(
                fleet.now + verdict.retry_after_s,
                functools.partial(call, returns + 1),
            )

    time_s = 0.0
    while time_s < _SECONDS:
        time_s += rng.expovariate(calls_per_s)
        fleet.at(time_s, functools.partial(call, 0))
    fleet.run(_SECONDS + 20.0)
    admitted = [
        returns
        for number, returns in calls
        if isinstance(fleet.results[number][2], verdicts.Admitted)
    ]
    first = sum(returns == 0 for _, returns in calls)
    return first, admitted.count(0), len(admitted) - admitted.count(0)


def test_first_requests_get_the_tokens_of_an_account_over_its_limit() -> None:
    """Guards against tokens for returning callers, which are late by then."""
    overload = 4.0 * _ACCOUNT.calls_per_s
    _, first, _ = _admitted(calls_per_s=overload, tells_returns=True)
    _, first_before, _ = _admitted(calls_per_s=overload, tells_returns=False)
    tokens = _ACCOUNT.calls_per_s * _SECONDS + _ACCOUNT.burst_calls
    assert first >= 0.9 * tokens
    assert first_before <= 0.6 * tokens


def test_returning_callers_are_admitted_below_the_limit() -> None:
    """Guards against refusals of callers that return after a short burst."""
    first, admitted, returned = _admitted(
        calls_per_s=0.9 * _ACCOUNT.calls_per_s, tells_returns=True
    )
    assert admitted + returned >= 0.99 * first


@pytest.mark.parametrize("role", list(grants.Role))
def test_returning_callers_leave_tokens_to_first_requests(
    role: grants.Role,
) -> None:
    """Guards against returns that empty the bucket or the pool."""
    state = grants.Grants(
        divide=functools.partial(
            shares.divide, tolerance=usage_limits.TOLERANCE
        ),
        starts_full_until=1.0,
    )
    state.update(roles={"a": role}, accounts={"a": _ACCOUNT}, now=0.0)

    def ask(*, waiting: int = 0, extra: int = 0) -> usage.TokenReply:
        return state.answer(
            usage.TokenRequest(
                request_id=1, account="a", waiting=waiting, extra=extra
            ),
            1.0,
        )

    # A refused first request shows that the account is over its limit.
    while ask(waiting=1).granted:
        pass
    reply = ask(extra=2)
    assert reply.granted == 0
    assert reply.result in (
        usage.Result.OVER_LIMIT,
        usage.Result.POOL_EMPTY,
    )
    assert reply.retry_after_ms > 0
