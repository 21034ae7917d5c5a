"""Rate limiter of the platform's stand-in."""


class RateLimit:
    """Token bucket; times are in seconds of a monotonic clock."""

    def __init__(self, *, rate_per_s: float, burst_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(1.0, rate_per_s * burst_s)
        self._tokens = self._burst
        self._updated_at: float | None = None

    def try_acquire(self, *, cost: float, now: float) -> bool:
        """Takes `cost` tokens; returns False if there are too few.

        A cost above the bucket's size is admitted when the bucket is full and
        leaves a negative balance; otherwise a large transaction would never be
        admitted.
        """
        if self._updated_at is not None:
            elapsed_s = now - self._updated_at
            self._tokens = min(
                self._burst, self._tokens + elapsed_s * self._rate_per_s
            )
        self._updated_at = now
        if self._tokens < min(cost, self._burst):
            return False
        self._tokens -= cost
        return True
