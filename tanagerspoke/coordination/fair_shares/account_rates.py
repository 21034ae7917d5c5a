"""Usual call rate of each client account at one node.

The usual rate is the weight of the account when capacity is shared.
"""

from collections.abc import Mapping
import math

from tanagerspoke.protocol import routing

# Account name of calls that need no key. Together they count as one account.
PUBLIC = ""
# Usage limits are about this multiple of an account's usual rate.
_LIMIT_TO_USUAL_RATE = 1.6
# Time constant of the average demand of accounts without a limit. A burst of
# half a minute at seven times the usual rate raises the weight by 60 %.
_AVERAGE_S = 300.0
# Age that is assumed at least of an average, so that the first calls of an
# account do not count as a high rate.
_MIN_AVERAGE_AGE_S = 10.0
# Weight of an account without a limit that has made few or no calls, in calls
# per second at this node.
MIN_CALLS_PER_S = 0.1


class AccountRates:
    """Usual rates of the accounts in the routing table.

    Attributes:
        is_active: whether the deployment has accounts.
        version: changes whenever accounts may have been removed.
    """

    def __init__(self, *, nodes: int = 1) -> None:
        """Creates an instance for a deployment without accounts.

        Args:
            nodes: live nodes, over which the calls of an account with a limit
                are assumed to be spread evenly.
        """
        self.is_active = False
        self.version = 0
        self._nodes = max(1, nodes)
        self._limits: dict[str, float] = {}
        self._averages: dict[str, _AverageRate] = {}

    def apply(
        self, accounts: Mapping[str, routing.Account] | None, now: float
    ) -> None:
        """Replaces the accounts by those of a newer routing table.

        Args:
            accounts: accounts by name, None if the deployment has none.
            now: monotonic seconds.
        """
        self.version += 1
        self.is_active = accounts is not None
        named = accounts or {}
        self._limits = {
            name: account.calls_per_s
            for name, account in named.items()
            if account.calls_per_s
        }
        unlimited = {name for name in named if name not in self._limits}
        if self.is_active:
            unlimited.add(PUBLIC)
        self._averages = {
            name: self._averages.get(name) or _AverageRate(since=now)
            for name in unlimited
        }

    def set_nodes(self, nodes: int) -> None:
        """Sets the number of live nodes."""
        self._nodes = max(1, nodes)

    @property
    def accounts(self) -> list[str]:
        """Names of all accounts, with `PUBLIC`."""
        return [*self._limits, *self._averages]

    def is_known(self, account: str) -> bool:
        """Returns whether the routing table names an account."""
        return account in self._limits or account in self._averages

    def record_call(self, account: str, now: float) -> None:
        """Records a call that arrived, whether or not it is served."""
        average = self._averages.get(account)
        if average is not None:
            average.add(now)

    def calls_per_s(self, account: str, now: float) -> float:
        """Returns the usual rate of an account at this node."""
        limit = self._limits.get(account)
        if limit is not None:
            return limit / (_LIMIT_TO_USUAL_RATE * self._nodes)
        average = self._averages.get(account)
        if average is None:
            return MIN_CALLS_PER_S
        return max(MIN_CALLS_PER_S, average.per_second(now))


class _AverageRate:
    """Exponentially weighted average of the rate of calls."""

    def __init__(self, *, since: float) -> None:
        self._since = since
        self._count = 0.0
        self._counted_at = since

    def add(self, now: float) -> None:
        # A call whose body took long counts after others that arrived later.
        now = max(now, self._counted_at)
        self._count = self._decayed_count(now) + 1.0
        self._counted_at = now

    def per_second(self, now: float) -> float:
        age_s = max(_MIN_AVERAGE_AGE_S, now - self._since)
        # The weights of the calls since the start sum up to this time.
        averaged_s = _AVERAGE_S * -math.expm1(-age_s / _AVERAGE_S)
        return self._decayed_count(now) / averaged_s

    def _decayed_count(self, now: float) -> float:
        return self._count * math.exp((self._counted_at - now) / _AVERAGE_S)
