"""Gets tokens for first requests, and for callers that return after them.

While an account is over its limit, most of its requests are those of callers
that were refused and returned. They are late by then: a token is worth more to
a first request, which can still meet its target.
"""

from collections.abc import Mapping

from tanagerspoke.coordination.usage_limits import allowance
from tanagerspoke.coordination.usage_limits import ownership
from tanagerspoke.coordination.usage_limits import silence
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage


class Lanes:
    """The calls of one node in two lanes; see `allowance.Allowance`."""

    def __init__(
        self,
        *,
        node: str,
        owners: ownership.Ownership,
        first_request_id: int,
    ) -> None:
        """Creates lanes without accounts; see `allowance.Allowance`."""
        silent_nodes = silence.Silence()
        self._first, self._retries = self._lanes = tuple(
            allowance.Allowance(
                node=node,
                owners=owners,
                # The ids of the lanes are half of the range apart, so that an
                # answer has one recipient.
                first_request_id=(
                    first_request_id + for_retries * usage.REQUEST_IDS // 2
                ),
                silent_nodes=silent_nodes,
                for_retries=for_retries,
            )
            for for_retries in (False, True)
        )

    @property
    def waiting_calls(self) -> int:
        """Number of calls without a verdict."""
        return sum(lane.waiting_calls for lane in self._lanes)

    @property
    def next_wakeup(self) -> float | None:
        """Time at which `tick` is due, or None."""
        wakeups = (lane.next_wakeup for lane in self._lanes)
        return min((at for at in wakeups if at is not None), default=None)

    def set_accounts(
        self, accounts: Mapping[str, routing.Account]
    ) -> list[verdicts.Action]:
        """Sets the accounts with a limit; forgets all others."""
        return [
            action
            for lane in self._lanes
            for action in lane.set_accounts(accounts)
        ]

    def set_nodes(self, nodes: frozenset[str]) -> None:
        """Sets the listed nodes, after the owners were changed."""
        for lane in self._lanes:
            lane.set_nodes(nodes)

    def held_tokens(self, account: str, now: float) -> int:
        """Returns the tokens of an account that are held and not used."""
        return self._first.held_tokens(account, now)

    def acquire(
        self, *, account: str, waiter_id: int, is_retry: bool, now: float
    ) -> list[verdicts.Action]:
        """Asks for a token for a call.

        Args:
            account: name of the account.
            waiter_id: number of the call, unique over both lanes.
            is_retry: whether its caller returns after an earlier request.
            now: seconds of a clock that counts while suspended.
        """
        lane = self._retries if is_retry else self._first
        return lane.acquire(account=account, waiter_id=waiter_id, now=now)

    def cancel(self, waiter_id: int) -> None:
        """Ends the wait of a call whose caller left."""
        for lane in self._lanes:
            lane.cancel(waiter_id)

    def receive(
        self, *, node: str, reply: usage.TokenReply, now: float
    ) -> list[verdicts.Action]:
        """Applies an answer; each request counts once."""
        return [
            action
            for lane in self._lanes
            for action in lane.receive(node=node, reply=reply, now=now)
        ]

    def tick(self, now: float) -> list[verdicts.Action]:
        """Ends waits that are too long; repeats unanswered requests."""
        return [action for lane in self._lanes for action in lane.tick(now)]
