"""Token budget for extra attempts, and the rules for retries."""

from tanagerspoke.protocol import calls


class TokenBudget:
    """Tokens earned by calls and spent on extra attempts.

    For n calls, at most `capacity + tokens_per_call * n` extra attempts run.
    """

    def __init__(self, *, tokens_per_call: float, capacity: float) -> None:
        self._tokens_per_call = tokens_per_call
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Tokens that can be spent now."""
        return self._tokens

    def add_call(self) -> None:
        """Adds the tokens of a call."""
        self._tokens = min(self._capacity, self._tokens + self._tokens_per_call)

    def spend(self) -> bool:
        """Spends a token; returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(
    *, call: calls.Call, result: calls.AttemptResult, now: float
) -> bool:
    """Returns whether a retry is safe and can still meet the deadline."""
    if not call.retry or now >= call.deadline:
        return False
    match result:
        case calls.NotSent() | calls.Shed() | calls.WrongUpstream():
            return True
        case calls.Answered(failed=failed):
            return failed and call.idempotent
        case calls.Broken() | calls.Crossed():
            return call.idempotent
    return False
