"""The token bucket of an account at its owner."""

# Longest time that a refused call is told. Under a lasting overload, most
# callers give up before; each time told is counted from another moment, so
# callers still return spread out.
_MAX_BOOKED_S = 5.0
# Tokens that nobody waits for are granted only from the upper half of the
# bucket: near the limit, one that expires unused is missing elsewhere.
_RESERVED_SHARE = 0.5
# Time after the refusal of a first request in which callers that return get
# tokens only from the upper half as well. Otherwise they would take those of
# first requests, and be late in spite of them.
_OVER_LIMIT_MEMORY_S = 2.0


class TokenBucket:
    """Token bucket that also tells refused calls when to come back."""

    def __init__(
        self,
        *,
        calls_per_s: float,
        burst_calls: float,
        tokens: float,
        now: float,
    ) -> None:
        """Creates a bucket that holds `tokens`."""
        self._calls_per_s = calls_per_s
        self._burst_calls = burst_calls
        self._tokens = min(tokens, burst_calls)
        self._refilled_at = now
        # Time of the last token that a refused call was told to come back for.
        self._booked_until = float("-inf")
        self._over_limit_until = float("-inf")

    def set_limit(
        self, *, calls_per_s: float, burst_calls: float, now: float
    ) -> None:
        """Sets a limit; a lower burst caps the tokens that are held."""
        self._refill(now)
        self._calls_per_s = calls_per_s
        self._burst_calls = burst_calls
        self._tokens = min(self._tokens, burst_calls)
        self._booked_until = min(self._booked_until, now)

    def take(self, *, waiting: int, extra: int, now: float) -> int:
        """Returns the number of tokens granted.

        Args:
            waiting: calls that wait for a token.
            extra: further tokens, for calls that are expected soon.
            now: seconds of the owner's monotonic clock.
        """
        self._refill(now)
        granted = min(waiting, int(self._tokens))
        if granted < waiting:
            self._over_limit_until = now + _OVER_LIMIT_MEMORY_S
        reserved = _RESERVED_SHARE * self._burst_calls
        spare = self._tokens - granted - reserved
        granted += min(extra, max(0, int(spare)))
        self._tokens -= granted
        return granted

    def take_for_retries(self, calls: int, now: float) -> int:
        """Returns the number of tokens granted to callers that return.

        Args:
            calls: calls that wait for a token.
            now: seconds of the owner's monotonic clock.
        """
        self._refill(now)
        reserved = 0.0
        if now < self._over_limit_until:
            reserved = _RESERVED_SHARE * self._burst_calls
        granted = min(calls, max(0, int(self._tokens - reserved)))
        self._tokens -= granted
        return granted

    def seconds_to_next(self, now: float) -> float:
        """Returns the time until the bucket holds a token."""
        self._refill(now)
        return max(0.0, 1.0 - self._tokens) / self._calls_per_s

    def book(self, count: int, now: float) -> float:
        """Books tokens for refused calls, each after all booked before.

        Bookings only spread the times at which callers return; other calls
        may take the tokens.

        Returns:
            Seconds until the first of the booked tokens.
        """
        interval_s = 1.0 / self._calls_per_s
        latest = now + _MAX_BOOKED_S
        first = max(
            now + self.seconds_to_next(now), self._booked_until + interval_s
        )
        self._booked_until = min(first + (count - 1) * interval_s, latest)
        return min(first, latest) - now

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._tokens = min(
            self._burst_calls, self._tokens + elapsed_s * self._calls_per_s
        )
        self._refilled_at = max(now, self._refilled_at)
