"""Times of the claim protocol's transactions: rate, duration, back-off."""

from tanagerspoke.coordination import claim_limits
from tanagerspoke.protocol import randomness

_TOKEN_ERROR = 1e-6
# Unused share of the write rate that may be spent at once.
_BURST_S = 0.1
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
# Weight of the last transaction in the mean duration.
_DURATION_WEIGHT = 0.2
# Consecutive failures after which new claims are refused without waiting. One
# lost answer is settled by the read that follows at once.
_DOWN_FAILURES = 2


class Pacing:
    """Keeps transactions below the write rate and backs off in an outage.

    Attributes:
        duration_s: mean duration of a committed transaction.
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
        self._tokens_at: float | None = None
        self.duration_s = 0.0
        self.not_before = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the table counts as down."""
        return self._failures >= _DOWN_FAILURES

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that passed."""
        rate = self._limits.writes_per_s
        if self._tokens_at is not None:
            gained = max(0.0, now - self._tokens_at) * rate
            self._tokens = min(max(1.0, rate * _BURST_S), self._tokens + gained)
        self._tokens_at = now

    def send_at(self, wanted: float) -> float | None:
        """Returns when a transaction that is wanted at a time may be sent."""
        if self._tokens_at is None:
            return None
        at = max(wanted, self.not_before)
        # Rounding must not leave a wake-up that finds nothing to do.
        if self._tokens < 1.0 - _TOKEN_ERROR:
            missing = (1.0 - self._tokens) / self._limits.writes_per_s
            at = max(at, self._tokens_at + missing)
        return at

    def note_sent(self, *, rows: int, now: float) -> None:
        """Takes the tokens of a transaction."""
        self._sent_at = now
        self._tokens -= rows if self._limits.charge_rows else 1.0

    def note_answer(self) -> None:
        """Notes that the table answered."""
        self._failures = 0

    def note_commit(self, now: float) -> None:
        """Notes the duration of the transaction in flight."""
        last_s = now - self._sent_at
        self.duration_s += _DURATION_WEIGHT * (last_s - self.duration_s)

    def note_silence(self, now: float) -> None:
        """Notes an operation without an answer; backs off after two."""
        self._failures += 1
        if not self.is_down:
            return
        backoff_s = min(
            _MAX_BACKOFF_S,
            _FIRST_BACKOFF_S * 2 ** min(10, self._failures - _DOWN_FAILURES),
        )
        self.not_before = now + backoff_s * self._rng.uniform(0.5, 1.0)

    def queue_wait_s(self, waiting: int) -> float:
        """Returns the expected wait; records take half of each group."""
        rows = self._limits.group_rows
        cost = rows if self._limits.charge_rows else 1
        interval_s = max(self.duration_s, cost / self._limits.writes_per_s)
        return waiting / (rows / 2) * interval_s
