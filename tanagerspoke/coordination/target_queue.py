"""Queue of calls by rank and by what can still be in time."""

import dataclasses

from tanagerspoke.protocol import calls


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """A call that waits.

    Attributes:
        in_time_until: latest start with which an answer is likely in time.
        expires_at: latest start at all; the call is refused then.
    """

    call: calls.Call
    in_time_until: float
    expires_at: float


class TargetQueue:
    """Calls that wait for an upstream of one service.

    Calls that can still be in time go first, by rank, the newest first: under
    overload the oldest first would make all of them late. The others follow,
    the oldest first.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def call_ids(self) -> list[int]:
        """Ids of the waiting calls."""
        return list(self._waiting)

    @property
    def next_expiry(self) -> float | None:
        """Earliest time at which a call expires, or None."""
        return min((w.expires_at for w in self._waiting.values()), default=None)

    def push(self, waiting: Waiting) -> None:
        """Adds a call."""
        self._waiting[waiting.call.call_id] = waiting

    def remove(self, call_id: int) -> Waiting | None:
        """Removes a call, where it waits."""
        return self._waiting.pop(call_id, None)

    def expired(self, now: float) -> list[Waiting]:
        """Removes and returns the calls that expired."""
        due = [w for w in self._waiting.values() if w.expires_at <= now]
        for waiting in due:
            del self._waiting[waiting.call.call_id]
        return due

    def order(self, now: float) -> list[Waiting]:
        """Returns the waiting calls, the one that goes first in front."""
        return sorted(self._waiting.values(), key=lambda w: _rank(w, now))


def _rank(waiting: Waiting, now: float) -> tuple[bool, int, float]:
    call = waiting.call
    late = waiting.in_time_until < now
    age = call.arrived_at if late else -call.arrived_at
    return (late, call.priority, age)
