"""Budget and rules of repeated attempts."""

from tanagerspoke.protocol import calls


class TokenBudget:
    """Tokens earned by first attempts and spent on extra ones.

    Over n first attempts at most `initial + share * n` extra attempts run.
    """

    def __init__(self, *, share: float, capacity: float) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Tokens at hand."""
        return self._tokens

    def earn(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def spend(self) -> bool:
        """Takes a token; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_repeat(
    *, call: calls.Call, result: calls.AttemptResult, now: float
) -> bool:
    """Returns whether another attempt is safe and can still be useful."""
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
