"""Queue of calls, ordered by lateness, priority and time of arrival.

The priority of the client account precedes that of the route.
"""

import dataclasses

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
    calls follow, by priority and then the oldest first.
    """

    def __init__(self) -> None:
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

    def calls_ahead(self, queued_call: QueuedCall, now: float) -> int:
        """Returns the number of calls that go before a call, queued or not."""
        key = _sort_key(queued_call, now)
        return sum(_sort_key(c, now) < key for c in self._queued.values())

    def order(self, now: float) -> list[QueuedCall]:
        """Returns the queued calls in the order in which they are sent."""
        return sorted(self._queued.values(), key=lambda c: _sort_key(c, now))


def _sort_key(
    queued_call: QueuedCall, now: float
) -> tuple[bool, int, int, float]:
    call = queued_call.call
    late = queued_call.latest_start_at < now
    arrival_key = call.arrived_at if late else -call.arrived_at
    return (late, call.account_priority, call.priority, arrival_key)
