"""Queues by call class that are fair between client accounts."""

import collections
import dataclasses

from tanagerspoke.protocol import calls

# After this many short calls from the queue, a queued pull is sent before the
# next one, so that pulls are not starved.
_SHORT_CALLS_PER_PULL = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueuedCall:
    """A call in a queue.

    Attributes:
        expires_at: monotonic seconds after which it is refused.
        cost: work of the call, relative to an ordinary call.
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
        self._queues_by_account: dict[str, collections.deque[QueuedCall]] = {}
        self._ring: collections.deque[str] = collections.deque()
        self._deficits: dict[str, float] = {}
        self._accounts_by_call: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._accounts_by_call)

    def ahead_of(self, account: str) -> int:
        """Returns how many calls are served before a new one of the account."""
        queue = self._queues_by_account.get(account)
        same_account = len(queue) if queue else 0
        other_accounts = sum(
            min(len(q), same_account + 1)
            for name, q in self._queues_by_account.items()
            if name != account
        )
        return same_account + other_accounts

    def push(self, queued_call: QueuedCall, *, at_front: bool = False) -> None:
        """Adds a call; `at_front` puts it before its account's other calls."""
        account = queued_call.call.client_account
        queue = self._queues_by_account.get(account)
        if queue is None:
            queue = self._queues_by_account[account] = collections.deque()
            self._ring.append(account)
            self._deficits[account] = 0.0
        if at_front:
            queue.appendleft(queued_call)
        else:
            queue.append(queued_call)
        self._accounts_by_call[queued_call.call.call_id] = account

    def head(self) -> QueuedCall | None:
        """Returns the next call without removing it."""
        if not self._ring:
            return None
        while True:
            account = self._ring[0]
            queued_call = self._queues_by_account[account][0]
            if self._deficits[account] >= queued_call.cost:
                return queued_call
            self._deficits[account] += self._quantum
            if self._deficits[account] >= queued_call.cost:
                return queued_call
            self._ring.rotate(-1)

    def pop(self) -> QueuedCall | None:
        """Removes and returns the next call."""
        queued_call = self.head()
        if queued_call is None:
            return None
        account = self._ring[0]
        queue = self._queues_by_account[account]
        queue.popleft()
        del self._accounts_by_call[queued_call.call.call_id]
        self._deficits[account] -= queued_call.cost
        if not queue:
            self._remove_account(account)
        elif self._deficits[account] < queue[0].cost:
            self._ring.rotate(-1)
        return queued_call

    def remove(self, call_id: int) -> QueuedCall | None:
        """Removes a call that expired or whose caller disconnected."""
        account = self._accounts_by_call.pop(call_id, None)
        if account is None:
            return None
        queue = self._queues_by_account[account]
        queued_call = next(c for c in queue if c.call.call_id == call_id)
        queue.remove(queued_call)
        if not queue:
            self._remove_account(account)
        return queued_call

    def _remove_account(self, account: str) -> None:
        del self._queues_by_account[account]
        del self._deficits[account]
        self._ring.remove(account)


class AdmissionQueue:
    """The class queues of one service: short calls first, then pulls."""

    def __init__(self, *, use_classes: bool = True) -> None:
        self._use_classes = use_classes
        self._queues = {c: ClassQueue() for c in calls.CallClass}
        self._short_calls_since_pull = 0
        # A counter rather than a sum, since the scheduler reads it several
        # times per call.
        self._length = 0
        # Lookups and writes take turns. If they were served by age, writes
        # would wait behind a backlog of older lookups, which have shorter
        # deadlines and expire unserved.
        self._short_class_turns = [
            calls.CallClass.LOOKUP,
            calls.CallClass.WRITE,
        ]

    def __len__(self) -> int:
        return self._length

    def queue(self, call_class: calls.CallClass) -> ClassQueue:
        """Returns the queue of the class."""
        if not self._use_classes:
            return self._queues[calls.CallClass.LOOKUP]
        return self._queues[call_class]

    @property
    def queued_short_calls(self) -> int:
        """Number of queued calls that are not pulls."""
        if not self._use_classes:
            return len(self)
        return len(self) - len(self._queues[calls.CallClass.PULL])

    def ahead_of(self, call: calls.Call) -> dict[calls.CallClass, int]:
        """Returns by class how many calls are served before a new one."""
        same_class = self.queue(call.call_class).ahead_of(call.client_account)
        ahead = {call.call_class: same_class}
        if not self._use_classes:
            return ahead
        for call_class in (calls.CallClass.LOOKUP, calls.CallClass.WRITE):
            if call_class is call.call_class:
                continue
            queued_count = len(self._queues[call_class])
            # Lookups and writes take turns; pulls wait for both.
            if call.call_class is not calls.CallClass.PULL:
                queued_count = min(queued_count, same_class + 1)
            ahead[call_class] = queued_count
        return ahead

    def push(self, queued_call: QueuedCall, *, at_front: bool = False) -> None:
        """Adds a call to the queue of its class."""
        self.queue(queued_call.call.call_class).push(
            queued_call, at_front=at_front
        )
        self._length += 1

    def remove(self, call: calls.Call) -> QueuedCall | None:
        """Removes a call that expired or whose caller disconnected."""
        removed = self.queue(call.call_class).remove(call.call_id)
        if removed is not None:
            self._length -= 1
        return removed

    def order(self) -> list[calls.CallClass]:
        """Returns the classes with queued calls, the next one first."""
        order = [c for c in self._short_class_turns if len(self._queues[c])]
        if len(self._queues[calls.CallClass.PULL]):
            if self._short_calls_since_pull >= _SHORT_CALLS_PER_PULL:
                order.insert(0, calls.CallClass.PULL)
            else:
                order.append(calls.CallClass.PULL)
        return order

    def pop(self, call_class: calls.CallClass) -> QueuedCall | None:
        """Removes and returns the next call of a class, given by `order`."""
        if call_class is calls.CallClass.PULL:
            self._short_calls_since_pull = 0
        else:
            self._short_calls_since_pull += 1
            if call_class is self._short_class_turns[0]:
                self._short_class_turns.reverse()
        popped = self._queues[call_class].pop()
        if popped is not None:
            self._length -= 1
        return popped
