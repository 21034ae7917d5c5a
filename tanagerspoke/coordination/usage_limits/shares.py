"""Divides the tolerated usage of an account between its two owners.

In any window of W seconds, the calls of an account with rate r and burst b
that are admitted by all nodes must not exceed

    B = (r * W + b) * (1 + overage) + tolerance

A token is used at most E = `TOKEN_LIFETIME_S` after it was granted, so the
tokens that are used in a window were granted in W + E seconds. In that time,
the owner grants at most r * (W + E) + b and the backup owner at most its pool.
The sum of both is at most B, since the pool is limited to the difference.
"""

import dataclasses

from tanagerspoke.protocol import routing

# Time after the sending of a request for which its tokens can be used.
TOKEN_LIFETIME_S = 0.2
# Parts of the tolerance that the pool of the backup owner uses. The rest
# covers the lifetime of the owner's tokens.
_POOL_SHARE_OF_TOLERANCE = 0.8
_POOL_SHARE_OF_OVERAGE = 0.5
# A bucket that holds less than one token would never grant one.
_MIN_BURST_CALLS = 1.0
_MIN_CALLS_PER_S = 1e-6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tolerance:
    """How far accounts may exceed their limit in a sliding window.

    Attributes:
        overage: as a share of the limit.
        tolerance_calls: calls in addition to `overage`.
    """

    window_s: float
    overage: float
    tolerance_calls: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shares:
    """What each owner of one account may grant.

    Attributes:
        calls_per_s: refill rate of the owner's bucket.
        burst_calls: capacity of the owner's bucket.
        pool_calls: tokens that the backup owner may grant in any
            `pool_window_s`.
    """

    calls_per_s: float
    burst_calls: float
    pool_calls: float
    pool_window_s: float


def max_calls(account: routing.Account, tolerance: Tolerance) -> float:
    """Returns the calls that may be admitted in any window."""
    limit = account.calls_per_s * tolerance.window_s + account.burst_calls
    return limit * (1.0 + tolerance.overage) + tolerance.tolerance_calls


def divide(account: routing.Account, tolerance: Tolerance) -> Shares:
    """Returns the shares of an account's owners.

    Without enough tolerance for the lifetime of tokens, the owner's burst and
    then its rate are lowered. One call is granted even where the bound is less
    than one.
    """
    bound = max_calls(account, tolerance)
    span_s = tolerance.window_s + TOKEN_LIFETIME_S
    burst = max(
        _MIN_BURST_CALLS,
        min(account.burst_calls, bound - account.calls_per_s * span_s),
    )
    rate = max(
        _MIN_CALLS_PER_S, min(account.calls_per_s, (bound - burst) / span_s)
    )
    limit = account.calls_per_s * tolerance.window_s + account.burst_calls
    pool = (
        _POOL_SHARE_OF_TOLERANCE * tolerance.tolerance_calls
        + _POOL_SHARE_OF_OVERAGE * tolerance.overage * limit
    )
    return Shares(
        calls_per_s=rate,
        burst_calls=burst,
        pool_calls=max(0.0, min(pool, bound - rate * span_s - burst)),
        pool_window_s=span_s,
    )
