"""Tests of the client account limits."""

from tanagerspoke.coordination import limits
from tanagerspoke.protocol import errors


def _enter(limiter, now, rate=None, concurrency=None):
    return limiter.enter(
        client_account="a", rate_per_s=rate, concurrency=concurrency, now=now
    )


def test_rate_is_divided_over_the_gateways():
    """Guards against a fleet that admits the limit once per gateway."""
    limiter = limits.AccountLimiter(gateways=5)
    admitted = sum(
        _enter(limiter, n / 100, rate=50.0) is None for n in range(1000)
    )
    # One share of 10/s for 10 s, and the burst of one second.
    assert 100 <= admitted <= 110
    limited = _enter(limiter, 10.0, rate=50.0)
    assert limited is None or limited.retry_after_s <= 0.1


def test_concurrency_is_divided_and_released():
    """Guards against a slot of the limit that is never given back."""
    limiter = limits.AccountLimiter(gateways=3)
    assert [_enter(limiter, 0.0, concurrency=6) for _ in range(2)] == [
        None,
        None,
    ]
    limited = _enter(limiter, 0.0, concurrency=6)
    assert limited.code is errors.ErrorCode.CONCURRENCY_LIMITED
    limiter.leave(client_account="a")
    assert _enter(limiter, 0.0, concurrency=6) is None
    limiter.set_gateways(1)
    assert _enter(limiter, 0.0, concurrency=6) is None
