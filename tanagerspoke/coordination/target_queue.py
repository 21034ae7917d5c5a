"""Queue of calls, ordered by lateness, priority and time of arrival.

The priority of the client account precedes that of the route. In deployments
with client accounts, the share that the account received precedes the arrival
while the service has no room.
"""

from collections.abc import Callable, Iterable
import dataclasses

from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.coordination.fair_shares import service_shares
from tanagerspoke.protocol import calls


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueuedCall:
    """A call in the queue.

    Attributes:
        latest_start_at: monotonic seconds after which a start is expected
            to miss the latency target.
        expires_at: monotonic seconds after which the call is refused.
    """

    call: calls.Call
    latest_start_at: float
    expires_at: float


class TargetQueue:
    """Calls that wait for an upstream of one service.

    Calls that can still meet their target go first, by priority and then the
    newest first: under overload, oldest first would make all of them late. Late
    calls follow, by priority and then the oldest first. Where client accounts
    share the capacity, this order of arrival only applies among the calls of
    one account and where accounts received equal shares.
    """

    def __init__(
        self,
        *,
        shares: service_shares.ServiceShares | None = None,
        has_room: Callable[[int], bool] = lambda queued_calls: False,
    ) -> None:
        """Creates an empty queue.

        Args:
            shares: what the client accounts received; None without accounts.
            has_room: returns whether the service can take a number of queued
                calls soon, so that the order of arrival applies.
        """
        self._shares = shares or service_shares.ServiceShares(
            rates=account_rates.AccountRates()
        )
        self._has_room = has_room
        self._queued: dict[int, QueuedCall] = {}

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def call_ids(self) -> list[int]:
        """Ids of the queued calls."""
        return list(self._queued)

    @property
    def next_expiry(self) -> float | None:
        """Earliest time at which a call expires, or None."""
        return min((c.expires_at for c in self._queued.values()), default=None)

    def push(self, queued_call: QueuedCall) -> None:
        """Adds a call."""
        self._queued[queued_call.call.call_id] = queued_call

    def remove(self, call_id: int) -> QueuedCall | None:
        """Removes a call; returns None if it isn't queued."""
        return self._queued.pop(call_id, None)

    def pop_expired(self, now: float) -> list[QueuedCall]:
        """Removes and returns the expired calls."""
        expired = [c for c in self._queued.values() if c.expires_at <= now]
        for queued_call in expired:
            del self._queued[queued_call.call.call_id]
        return expired

    def record_sent(self, call: calls.Call, now: float) -> None:
        """Records the first attempt of a call."""
        if self._shares.is_active:
            self._shares.record_sent(call, now)

    def calls_ahead(self, queued_call: QueuedCall, now: float) -> int:
        """Returns the number of calls that go before a call, queued or not."""
        queued = list(self._queued.values())
        if not any(c is queued_call for c in queued):
            queued.append(queued_call)
        if self._shares_decide(len(queued)):
            order = self._fair_order(queued, now)
            return next(i for i, c in enumerate(order) if c is queued_call)
        key = _sort_key(queued_call, now)
        return sum(_sort_key(c, now) < key for c in queued)

    def order(self, now: float) -> list[QueuedCall]:
        """Returns the queued calls in the order in which they are sent."""
        if self._shares_decide(len(self._queued)):
            return self._fair_order(self._queued.values(), now)
        return sorted(self._queued.values(), key=lambda c: _sort_key(c, now))

    def _shares_decide(self, queued_calls: int) -> bool:
        return (
            self._shares.is_active
            and queued_calls > 1
            and not self._has_room(queued_calls)
        )

    def _fair_order(
        self, queued: Iterable[QueuedCall], now: float
    ) -> list[QueuedCall]:
        keyed = sorted(
            ((_sort_key(c, now), c) for c in queued), key=lambda pair: pair[0]
        )
        ranks = self._shares.ranks(
            [c.call.client_account for _, c in keyed], now
        )
        ranked = zip(keyed, ranks, strict=True)
        return [
            c for (_, c), _ in sorted(ranked, key=lambda r: (r[0][0][:3], r[1]))
        ]


def _sort_key(
    queued_call: QueuedCall, now: float
) -> tuple[bool, int, int, float]:
    call = queued_call.call
    late = queued_call.latest_start_at < now
    arrival_key = call.arrived_at if late else -call.arrived_at
    return (late, call.account_priority, call.priority, arrival_key)
