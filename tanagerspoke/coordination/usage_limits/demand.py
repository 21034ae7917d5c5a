"""Calls of one account at one node that need tokens."""

import collections

from tanagerspoke.coordination.usage_limits import arrival_rate
from tanagerspoke.coordination.usage_limits import held_tokens
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import usage

# Time for which tokens are requested in advance, so that an account with many
# calls needs few messages.
_EXPECTED_S = 0.1
# Shortest time that a refused call is told to wait.
_MIN_RETRY_AFTER_S = 0.05
# Longest time that a call is told; see `token_bucket`.
_MAX_RETRY_AFTER_S = 5.0
# Time after a refusal by another node in which further calls are refused
# without a message. It bounds the messages of an account over its limit.
_MIN_HOLD_OFF_S = 0.05
_MAX_HOLD_OFF_S = 1.0
# With an empty pool, it bounds the time until the owner is tried again.
_MAX_POOL_HOLD_OFF_S = 0.25
# Another owner, or the pool after some of its grants have expired, may grant
# the call a token by then.
_UNCONFIRMED_RETRY_AFTER_S = 0.2


class Demand:
    """Waiting calls, held tokens and the last refusal of an account.

    Attributes:
        held: tokens that are not used.
        waiting: times by which waiting calls get a verdict, by their ids in
            the order of their arrival.
    """

    def __init__(self, *, calls_per_s: float) -> None:
        """Creates the state of an account with this limit."""
        self.held = held_tokens.HeldTokens()
        self.waiting: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._interval_s = 1.0 / calls_per_s
        self._arrivals = arrival_rate.ArrivalRate()
        # Result and end of the last refusal, and the last time that was told.
        self._hold_off_until = float("-inf")
        self._hold_off_result = usage.Result.OVER_LIMIT
        self._told_until = float("-inf")
        self._decided_by = ""

    @property
    def give_up_at(self) -> float:
        """Time at which the first waiting call gets a verdict at the latest."""
        return next(iter(self.waiting.values()), float("inf"))

    def set_limit(self, calls_per_s: float) -> None:
        """Sets a changed limit; calls may be granted tokens at once."""
        self._interval_s = 1.0 / calls_per_s
        self.end_hold_off()

    def end_hold_off(self) -> None:
        """Forgets the last refusal, since the owner or limit changed."""
        self._hold_off_until = float("-inf")

    def count_arrival(self, now: float) -> None:
        """Counts a call for the tokens that are requested in advance."""
        self._arrivals.count(now)

    def expected_calls(self, now: float) -> int:
        """Returns the number of calls to request tokens for in advance."""
        expected = int(self._arrivals.per_second(now) * _EXPECTED_S)
        return min(expected, usage.MAX_TOKENS)

    def serve(self, now: float) -> list[verdicts.Action]:
        """Admits waiting calls while tokens are held."""
        actions: list[verdicts.Action] = []
        while self.waiting and self.held.take(now):
            waiter_id, _ = self.waiting.popitem(last=False)
            actions.append(_decide(waiter_id, verdicts.Admitted()))
        return actions

    def refuse_waiting(
        self,
        reply: usage.TokenReply,
        now: float,
        *,
        hold_off: bool,
        decided_by: str = "",
    ) -> list[verdicts.Action]:
        """Refuses all waiting calls after a reply without enough tokens.

        Args:
            reply: its result is `OVER_LIMIT` or `POOL_EMPTY`.
            now: seconds of the node's clock.
            hold_off: whether later calls are refused as well until the owner
                expects a token.
            decided_by: node that replied.
        """
        next_token_s = reply.next_token_ms / 1000.0
        if hold_off:
            longest_s = _MAX_HOLD_OFF_S
            if reply.result is usage.Result.POOL_EMPTY:
                longest_s = _MAX_POOL_HOLD_OFF_S
            self._hold_off_until = now + min(
                max(next_token_s, _MIN_HOLD_OFF_S), longest_s
            )
        self._hold_off_result = reply.result
        self._decided_by = decided_by
        self._told_until = (
            now + reply.retry_after_ms / 1000.0 - self._interval_s
        )
        actions: list[verdicts.Action] = []
        while self.waiting:
            waiter_id, _ = self.waiting.popitem(last=False)
            actions.append(_decide(waiter_id, self._next_refusal(now)))
        return actions

    def refusal(self, now: float) -> verdicts.Verdict | None:
        """Returns the verdict for a call while no token is expected."""
        if now >= self._hold_off_until:
            return None
        return self._next_refusal(now)

    def give_up(self, now: float) -> list[verdicts.Action]:
        """Ends the wait of calls that have waited long enough."""
        actions: list[verdicts.Action] = []
        while self.give_up_at <= now:
            waiter_id, _ = self.waiting.popitem(last=False)
            actions.append(_decide(waiter_id, unconfirmed()))
        return actions

    def drop_waiting(self) -> list[verdicts.Action]:
        """Ends the wait of all calls, since the account has no limit now."""
        actions: list[verdicts.Action] = [
            _decide(waiter_id, unconfirmed()) for waiter_id in self.waiting
        ]
        self.waiting.clear()
        return actions

    def _next_refusal(self, now: float) -> verdicts.Verdict:
        self._told_until = min(
            max(self._told_until + self._interval_s, now),
            now + _MAX_RETRY_AFTER_S,
        )
        if self._hold_off_result is usage.Result.POOL_EMPTY:
            return unconfirmed()
        return verdicts.OverLimit(
            retry_after_s=max(_MIN_RETRY_AFTER_S, self._told_until - now),
            decided_by=self._decided_by,
        )


def unconfirmed() -> verdicts.Unconfirmed:
    """Returns the verdict for a call for which no owner answered."""
    return verdicts.Unconfirmed(retry_after_s=_UNCONFIRMED_RETRY_AFTER_S)


def _decide(waiter_id: int, verdict: verdicts.Verdict) -> verdicts.Decide:
    return verdicts.Decide(waiter_id=waiter_id, verdict=verdict)
