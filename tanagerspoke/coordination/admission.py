"""Bounded class queues that are fair between client accounts."""

import collections
import dataclasses

from tanagerspoke.protocol import calls

# After this many dispatches of short calls from the queue, a waiting pull
# goes first, so that pulls are not starved.
_SHORT_CALLS_PER_PULL = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """A call in a queue.

    Attributes:
        expires_at: monotonic seconds after which it is refused.
        cost: share of the service that the call takes; 1 for a plain call.
    """

    call: calls.Call
    expires_at: float
    cost: float = 1.0


class ClassQueue:
    """Deficit round robin over client accounts.

    Source: Shreedhar and Varghese, "Efficient fair queueing using deficit
    round robin", 1995. While two accounts both wait, the costs served for
    them differ by at most one quantum and the largest cost.
    """

    def __init__(self, *, quantum: float = 1.0) -> None:
        self._quantum = quantum
        self._accounts: dict[str, collections.deque[Waiting]] = {}
        self._ring: collections.deque[str] = collections.deque()
        self._deficits: dict[str, float] = {}
        self._accounts_by_call: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._accounts_by_call)

    def ahead_of(self, account: str) -> int:
        """Returns how many calls are served before a new one of the account."""
        queue = self._accounts.get(account)
        own = len(queue) if queue else 0
        others = sum(
            min(len(q), own + 1)
            for name, q in self._accounts.items()
            if name != account
        )
        return own + others

    def push(self, waiting: Waiting, *, first: bool = False) -> None:
        """Adds a call; `first` puts it before the others of its account."""
        account = waiting.call.client_account
        queue = self._accounts.get(account)
        if queue is None:
            queue = self._accounts[account] = collections.deque()
            self._ring.append(account)
            self._deficits[account] = 0.0
        if first:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)
        self._accounts_by_call[waiting.call.call_id] = account

    def head(self) -> Waiting | None:
        """Returns the call that is next, without removing it."""
        if not self._ring:
            return None
        while True:
            account = self._ring[0]
            waiting = self._accounts[account][0]
            if self._deficits[account] >= waiting.cost:
                return waiting
            self._deficits[account] += self._quantum
            if self._deficits[account] >= waiting.cost:
                return waiting
            self._ring.rotate(-1)

    def pop(self) -> Waiting | None:
        """Removes and returns the call that is next."""
        waiting = self.head()
        if waiting is None:
            return None
        account = self._ring[0]
        queue = self._accounts[account]
        queue.popleft()
        del self._accounts_by_call[waiting.call.call_id]
        self._deficits[account] -= waiting.cost
        if not queue:
            self._drop(account)
        elif self._deficits[account] < queue[0].cost:
            self._ring.rotate(-1)
        return waiting

    def remove(self, call_id: int) -> Waiting | None:
        """Removes a call that left or expired."""
        account = self._accounts_by_call.pop(call_id, None)
        if account is None:
            return None
        queue = self._accounts[account]
        waiting = next(w for w in queue if w.call.call_id == call_id)
        queue.remove(waiting)
        if not queue:
            self._drop(account)
        return waiting

    def _drop(self, account: str) -> None:
        del self._accounts[account]
        del self._deficits[account]
        self._ring.remove(account)


class AdmissionQueue:
    """The class queues of one service: short calls first, then pulls."""

    def __init__(self, *, use_classes: bool = True) -> None:
        self._use_classes = use_classes
        self._queues = {c: ClassQueue() for c in calls.CallClass}
        self._short_calls = 0
        # Counted, since the scheduler asks several times a call.
        self._length = 0
        # Lookups and writes take turns: by age, writes would wait behind a
        # backlog of lookups whose shorter deadlines drop them first.
        self._turns = [calls.CallClass.LOOKUP, calls.CallClass.WRITE]

    def __len__(self) -> int:
        return self._length

    def queue(self, call_class: calls.CallClass) -> ClassQueue:
        """Returns the queue that holds the class."""
        if not self._use_classes:
            return self._queues[calls.CallClass.LOOKUP]
        return self._queues[call_class]

    @property
    def short_calls(self) -> int:
        """Waiting calls that are not pulls."""
        if not self._use_classes:
            return len(self)
        return len(self) - len(self._queues[calls.CallClass.PULL])

    def ahead_of(self, call: calls.Call) -> dict[calls.CallClass, int]:
        """Returns by class the calls that are served before a new one."""
        own = self.queue(call.call_class).ahead_of(call.client_account)
        ahead = {call.call_class: own}
        if not self._use_classes:
            return ahead
        for call_class in (calls.CallClass.LOOKUP, calls.CallClass.WRITE):
            if call_class is call.call_class:
                continue
            waiting = len(self._queues[call_class])
            # Lookups and writes take turns; pulls wait for all of them.
            if call.call_class is not calls.CallClass.PULL:
                waiting = min(waiting, own + 1)
            ahead[call_class] = waiting
        return ahead

    def push(self, waiting: Waiting, *, first: bool = False) -> None:
        """Adds a call to the queue of its class."""
        self.queue(waiting.call.call_class).push(waiting, first=first)
        self._length += 1

    def remove(self, call: calls.Call) -> Waiting | None:
        """Removes a call that left or expired."""
        removed = self.queue(call.call_class).remove(call.call_id)
        if removed is not None:
            self._length -= 1
        return removed

    def order(self) -> list[calls.CallClass]:
        """Returns the classes that wait, the one that goes first in front."""
        order = [c for c in self._turns if len(self._queues[c])]
        if len(self._queues[calls.CallClass.PULL]):
            if self._short_calls >= _SHORT_CALLS_PER_PULL:
                order.insert(0, calls.CallClass.PULL)
            else:
                order.append(calls.CallClass.PULL)
        return order

    def pop(self, call_class: calls.CallClass) -> Waiting | None:
        """Removes and returns the next call of a class from `order`."""
        if call_class is calls.CallClass.PULL:
            self._short_calls = 0
        else:
            self._short_calls += 1
            if call_class is self._turns[0]:
                self._turns.reverse()
        popped = self._queues[call_class].pop()
        if popped is not None:
            self._length -= 1
        return popped
