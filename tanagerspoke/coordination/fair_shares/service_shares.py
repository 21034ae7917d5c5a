"""Shares of one service's capacity that client accounts received recently."""

from collections.abc import Iterable
import math

from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.protocol import calls

# Time constant with which calls that were sent are forgotten. Where 72 accounts
# share 7 calls/s, the largest is served 0.33 times as often as the others,
# relative to its weight; with 5 s it was 0.15 times.
WINDOW_S = 10.0
# Added to the calls that the usual rate allows in the window. Without it, one
# call of an account that makes few calls on this node would count as many times
# its rate. With one call, the figure above is 0.25.
_EXTRA_CALLS = 0.5


class ServiceShares:
    """Calls of each account that were sent to upstreams of one service."""

    def __init__(self, *, rates: account_rates.AccountRates) -> None:
        """Creates an instance without sent calls.

        Args:
            rates: usual rates of the accounts, followed as they change.
        """
        self._rates = rates
        self._version = rates.version
        # Decayed number of calls, and the time to which it was decayed.
        self._received: dict[str, tuple[float, float]] = {}

    @property
    def is_active(self) -> bool:
        """Whether the order of calls depends on their accounts."""
        return self._rates.is_active

    def record_sent(self, call: calls.Call, now: float) -> None:
        """Records the first attempt of a call."""
        self._forget_removed()
        account = call.client_account
        if self._rates.is_known(account):
            self._received[account] = (self.received(account, now) + 1.0, now)

    def received(self, account: str, now: float) -> float:
        """Returns the decayed number of calls of an account."""
        count, counted_at = self._received.get(account, (0.0, now))
        return count * math.exp((counted_at - now) / WINDOW_S)

    def ranks(self, accounts: Iterable[str], now: float) -> list[float]:
        """Returns the rank of each queued call among those of all accounts.

        The rank is what the account has received relative to its usual rate;
        the lowest is served first. Each call is ranked as if the account's
        calls before it had been sent already, so that an account does not get
        all of several free slots.

        Args:
            accounts: accounts of the calls, in the order in which those of the
                same account are sent.
            now: monotonic seconds.
        """
        self._forget_removed()
        # Received calls, and those that the usual rate allows.
        shares: dict[str, tuple[float, float]] = {}
        ranks = []
        for account in accounts:
            share = shares.get(account)
            if share is None:
                rate = self._rates.calls_per_s(account, now)
                share = (
                    self.received(account, now),
                    rate * WINDOW_S + _EXTRA_CALLS,
                )
            received, allowed = share
            ranks.append(received / allowed)
            shares[account] = (received + 1.0, allowed)
        return ranks

    def _forget_removed(self) -> None:
        if self._version == self._rates.version:
            return
        self._version = self._rates.version
        self._received = {
            account: sent
            for account, sent in self._received.items()
            if self._rates.is_known(account)
        }
