"""Rate limit, mean duration and backoff of the claim transactions."""

from tanagerspoke.coordination import claim_limits
from tanagerspoke.protocol import randomness

# Tolerance for rounding errors in the number of tokens.
_TOKEN_ROUNDING_ERROR = 1e-6
# Capacity of the token bucket, as a time at the maximum write rate.
_BURST_S = 0.1
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
# Weight of the last transaction in the moving average of the duration.
_DURATION_WEIGHT = 0.2
# Consecutive failures after which new claims are refused at once. A single
# lost reply is resolved by the read that follows it immediately.
_FAILURES_UNTIL_DOWN = 2


class Pacing:
    """Keeps transactions below the write rate and backs off in an outage.

    Attributes:
        mean_duration_s: moving average of the time to commit a transaction.
        not_before: earliest time of the next operation after failures.
    """

    def __init__(
        self, *, limits: claim_limits.Limits, rng: randomness.Random
    ) -> None:
        self._limits = limits
        self._rng = rng
        self._failures = 0
        self._sent_at = 0.0
        self._tokens = 1.0
        self._refilled_at: float | None = None
        self.mean_duration_s = 0.0
        self.not_before = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the table is considered unavailable."""
        return self._failures >= _FAILURES_UNTIL_DOWN

    def refill(self, now: float) -> None:
        """Adds tokens for the time since the last call."""
        rate = self._limits.writes_per_s
        if self._refilled_at is not None:
            added = max(0.0, now - self._refilled_at) * rate
            self._tokens = min(max(1.0, rate * _BURST_S), self._tokens + added)
        self._refilled_at = now

    def send_at(self, due_at: float) -> float | None:
        """Returns the earliest time for an operation that is due at `due_at`.

        Returns None before the first `refill`.
        """
        if self._refilled_at is None:
            return None
        earliest = max(due_at, self.not_before)
        # The tolerance avoids a wake-up at which a token is still missing
        # only because of rounding.
        if self._tokens < 1.0 - _TOKEN_ROUNDING_ERROR:
            missing_s = (1.0 - self._tokens) / self._limits.writes_per_s
            earliest = max(earliest, self._refilled_at + missing_s)
        return earliest

    def record_sent(self, *, rows: int, now: float) -> None:
        """Records the start of a transaction and consumes its tokens."""
        self._sent_at = now
        self._tokens -= rows if self._limits.charge_rows else 1.0

    def record_reply(self) -> None:
        """Records a reply of the table, which ends a series of failures."""
        self._failures = 0

    def record_commit(self, now: float) -> None:
        """Updates the mean duration with that of the committed transaction."""
        duration_s = now - self._sent_at
        self.mean_duration_s += _DURATION_WEIGHT * (
            duration_s - self.mean_duration_s
        )

    def record_unanswered(self, now: float) -> None:
        """Records an operation without a reply; may start a backoff."""
        self._failures += 1
        if not self.is_down:
            return
        backoff_s = min(
            _MAX_BACKOFF_S,
            _MIN_BACKOFF_S
            * 2 ** min(10, self._failures - _FAILURES_UNTIL_DOWN),
        )
        self.not_before = now + backoff_s * self._rng.uniform(0.5, 1.0)

    def queue_wait_s(self, queue_length: int) -> float:
        """Returns the expected wait of a new claim in the queue.

        Assumes that records fill half of each group.
        """
        rows = self._limits.group_rows
        group_tokens = rows if self._limits.charge_rows else 1
        interval_s = max(
            self.mean_duration_s, group_tokens / self._limits.writes_per_s
        )
        return queue_length / (rows / 2) * interval_s
