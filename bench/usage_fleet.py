"""Nodes that grant tokens of client accounts, in simulated time.

The decision modules are those of the edge; datagrams take the delays that the
caller gives, without a network.
"""

from collections.abc import Callable, Iterable, Sequence
import functools
import heapq
import itertools

from tanagerspoke.coordination.usage_limits import grants
from tanagerspoke.coordination.usage_limits import lanes
from tanagerspoke.coordination.usage_limits import ownership
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import codec
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage

# Delays of the copies of a datagram from one node to another at a time; an
# empty sequence if it is lost.
Link = Callable[[str, str, float], Sequence[float]]
Divide = Callable[[routing.Account], shares.Shares]

_HEADER_BYTES = 28
# Request ids of restarted processes begin at other numbers.
_IDS_PER_PROCESS = 1_000_003


class _Process:
    """The decision modules of one process of a node."""

    def __init__(
        self,
        *,
        node: str,
        nodes: frozenset[str],
        accounts: dict[str, routing.Account],
        divide: Divide,
        starts_full_until: float,
        number: int,
        now: float,
    ) -> None:
        self.node = node
        self.wakeup_at: float | None = None
        self.owners = ownership.Ownership()
        self.grants = grants.Grants(
            divide=divide, starts_full_until=starts_full_until
        )
        self.lanes = lanes.Lanes(
            node=node,
            owners=self.owners,
            first_request_id=number * _IDS_PER_PROCESS,
        )
        self.owners.set_nodes(nodes)
        self.set_accounts(accounts, now)

    def set_accounts(
        self, accounts: dict[str, routing.Account], now: float
    ) -> list[verdicts.Action]:
        self.accounts = accounts
        self.owners.set_accounts(accounts)
        self._update_roles(now)
        return self.lanes.set_accounts(accounts)

    def set_nodes(self, nodes: frozenset[str], now: float) -> None:
        self.owners.set_nodes(nodes)
        self.lanes.set_nodes(nodes)
        self._update_roles(now)

    def _update_roles(self, now: float) -> None:
        self.grants.update(
            roles={
                account: grants.role_of_rank(rank)
                for account, rank in self.owners.accounts_of(self.node)
            },
            accounts=self.accounts,
            now=now,
        )


class UsageFleet:
    """Runs calls of accounts on nodes that agree on the list of nodes.

    Attributes:
        now: simulated seconds.
        results: time, account and verdict of each call that got one, by the
            number of the call, in the order of the verdicts.
        sent_bytes: total size of all datagrams, with their headers.
    """

    def __init__(
        self,
        *,
        nodes: int,
        accounts: Iterable[routing.Account],
        divide: Divide,
        link: Link,
    ) -> None:
        """Creates nodes that start with the whole fleet."""
        self.now = 0.0
        self.results: dict[int, tuple[float, str, verdicts.Verdict]] = {}
        self.sent_bytes = 0
        self._divide = divide
        self._link = link
        self._accounts = {account.name: account for account in accounts}
        self.nodes = tuple(f"n{number}" for number in range(nodes))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._waiter_ids = itertools.count()
        self._account_of_waiter: dict[int, str] = {}
        self._processes: dict[str, _Process] = {}
        for node in self.nodes:
            self.start(node, starts_full_until=1.0)

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def run(self, until_s: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until_s

    def start(self, node: str, *, starts_full_until: float = -1.0) -> None:
        """Starts a new process of a node, which forgets all state."""
        self._processes[node] = _Process(
            node=node,
            nodes=frozenset(self.nodes),
            accounts=self._accounts,
            divide=self._divide,
            starts_full_until=starts_full_until,
            number=next(self._sequence),
            now=self.now,
        )

    def stop(self, node: str) -> None:
        """Kills the process of a node, which stays listed."""
        self._processes.pop(node, None)

    @property
    def running(self) -> frozenset[str]:
        """Names of the nodes whose processes run."""
        return frozenset(self._processes)

    def set_account(self, account: routing.Account) -> None:
        """Changes a limit on all nodes at once."""
        self._accounts = self._accounts | {account.name: account}
        for process in self._processes.values():
            self._execute(
                process, process.set_accounts(self._accounts, self.now)
            )

    def set_nodes(self, node: str, listed: Iterable[str]) -> None:
        """Changes the list of nodes as one node knows it."""
        process = self._processes.get(node)
        if process is not None:
            process.set_nodes(frozenset(listed), self.now)

    def owners(self, account: str) -> tuple[str, ...]:
        """Returns the owner and the backup owner of an account."""
        process = next(iter(self._processes.values()))
        return process.owners.owners(account)

    def call(self, node: str, account: str, *, is_retry: bool = False) -> None:
        """Makes a call on a node; calls to a stopped node are lost."""
        waiter_id = next(self._waiter_ids)
        process = self._processes.get(node)
        if process is None:
            return
        self._account_of_waiter[waiter_id] = account
        self._execute(
            process,
            process.lanes.acquire(
                account=account,
                waiter_id=waiter_id,
                is_retry=is_retry,
                now=self.now,
            ),
        )

    def _execute(
        self, process: _Process, actions: list[verdicts.Action]
    ) -> None:
        pending = list(actions)
        while pending:
            match pending.pop(0):
                case verdicts.Decide(waiter_id=waiter_id, verdict=verdict):
                    account = self._account_of_waiter.pop(waiter_id)
                    self.results[waiter_id] = (self.now, account, verdict)
                case verdicts.Ask(node=node, request=request):
                    if node != process.node:
                        self._send(process.node, node, request)
                        continue
                    pending += process.lanes.receive(
                        node=node,
                        reply=process.grants.answer(request, self.now),
                        now=self.now,
                    )
        self._schedule_tick(process)

    def _schedule_tick(self, process: _Process) -> None:
        wakeup_at = process.lanes.next_wakeup
        if wakeup_at is None or (
            process.wakeup_at is not None and process.wakeup_at <= wakeup_at
        ):
            return
        process.wakeup_at = wakeup_at
        self.at(wakeup_at, functools.partial(self._tick, process))

    def _tick(self, process: _Process) -> None:
        process.wakeup_at = None
        if self._processes.get(process.node) is process:
            self._execute(process, process.lanes.tick(self.now))

    def _send(self, source: str, target: str, message: usage.Message) -> None:
        size = len(codec.encode(message)) + _HEADER_BYTES
        self.sent_bytes += size
        for delay_s in self._link(source, target, self.now):
            self.at(
                self.now + delay_s,
                functools.partial(self._deliver, source, target, message),
            )

    def _deliver(
        self, source: str, target: str, message: usage.Message
    ) -> None:
        process = self._processes.get(target)
        if process is None:
            return
        match message:
            case usage.TokenRequest():
                reply = process.grants.answer(message, self.now)
                self._send(target, source, reply)
            case usage.TokenReply():
                self._execute(
                    process,
                    process.lanes.receive(
                        node=source, reply=message, now=self.now
                    ),
                )

    def admitted_at(self, account: str) -> list[float]:
        """Returns the times at which calls of an account were admitted."""
        return [
            time_s
            for time_s, name, verdict in self.results.values()
            if name == account and isinstance(verdict, verdicts.Admitted)
        ]


def max_in_window(times: Sequence[float], window_s: float) -> int:
    """Returns the largest number of sorted times in any window."""
    largest = first = 0
    for last, time_s in enumerate(times):
        while times[first] < time_s - window_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest
