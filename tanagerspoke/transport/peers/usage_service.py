"""Admits calls within the fleet-wide usage limits of client accounts."""

import asyncio
import collections
from collections.abc import Callable, Mapping
import functools
import logging
import random
import time

from tanagerspoke.coordination.usage_limits import grants
from tanagerspoke.coordination.usage_limits import lanes
from tanagerspoke.coordination.usage_limits import owner_answers
from tanagerspoke.coordination.usage_limits import ownership
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import edge_status
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import edge
from tanagerspoke.transport.operations import usage_metrics
from tanagerspoke.transport.peers import usage_socket

log = logging.getLogger(__name__)

# At the first start of the fleet, nodes read the list of nodes a second time
# after 5 s, when the others have registered.
_FIRST_START_S = 7.0
_MAX_LOGGED_ACCOUNTS = 20

OnVerdict = Callable[[verdicts.Verdict], None]


def _read_boot_clock() -> float:
    """Returns seconds of a clock that also counts while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class UsageService:
    """Gets tokens for this node's calls, and grants those that it owns."""

    def __init__(
        self,
        *,
        cfg: edge.Edge,
        metrics: usage_metrics.UsageMetrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        boot_clock: Callable[[], float] = _read_boot_clock,
    ) -> None:
        """Creates a service that is not started.

        Args:
            cfg: options of this node; `usage_limits` is set.
            metrics: counts verdicts and requests.
            rng: chooses the first request id.
            clock: returns seconds of the clock of grants.
            boot_clock: returns seconds of the clock of held tokens, which also
                counts while the machine is suspended.
        """
        self._node = cfg.node
        self._metrics = metrics
        self._clock = clock
        self._boot_clock = boot_clock
        self._tolerance = _tolerance(cfg.usage_limits)
        self._over_limit_log = usage_metrics.OverLimitLog()
        self._owners = ownership.Ownership()
        self._grants = grants.Grants(
            divide=self._divide,
            starts_full_until=(
                clock() + _FIRST_START_S if cfg.first_start else float("-inf")
            ),
        )
        self._lanes = lanes.Lanes(
            node=cfg.node,
            owners=self._owners,
            first_request_id=rng.randrange(usage.REQUEST_IDS),
        )
        self._socket = usage_socket.UsageSocket(
            peers=cfg.peers,
            on_message=self._receive,
            on_ignored=metrics.count_request,
        )
        self._owner_answers = owner_answers.OwnerAnswers()
        self._accounts: dict[str, routing.Account] = {}
        self._roles: dict[str, grants.Role] = {}
        self._on_verdicts: dict[int, tuple[str, OnVerdict]] = {}
        self._next_waiter_id = 0
        self._actions: collections.deque[verdicts.Action] = collections.deque()
        self._is_executing = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    @property
    def exchanged_bytes(self) -> int:
        """Bytes of all datagrams exchanged with other nodes."""
        return self._socket.exchanged_bytes

    async def start(self) -> None:
        """Opens the port for datagrams.

        Raises:
            OSError: the port is in use.
        """
        await self._socket.start()

    def close(self) -> None:
        """Closes the port; calls that wait get no verdict."""
        self._on_verdicts.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._over_limit_log.close()
        self._socket.close()

    def set_options(self, cfg: edge.Edge) -> None:
        """Applies a changed tolerance.

        Whether limits are applied at all is decided at the start.
        """
        if cfg.usage_limits is None:
            return
        tolerance = _tolerance(cfg.usage_limits)
        if tolerance != self._tolerance:
            self._tolerance = tolerance
            self._update_roles()

    def set_nodes(self, nodes: tuple[zone_feed.Node, ...]) -> None:
        """Sets the listed nodes."""
        names = frozenset(node.name for node in nodes)
        self._socket.set_nodes(nodes)
        self._owners.set_nodes(names)
        self._lanes.set_nodes(names)
        self._owner_answers.keep_only(names)
        self._update_roles()

    def set_accounts(
        self, accounts: Mapping[str, routing.Account] | None
    ) -> None:
        """Sets the accounts of the newest routing table."""
        self._accounts = {
            name: account
            for name, account in (accounts or {}).items()
            if account.calls_per_s > 0
        }
        self._owners.set_accounts(self._accounts)
        self._metrics.set_accounts(self._accounts)
        self._update_roles()
        self._execute(self._lanes.set_accounts(self._accounts))

    def held_tokens(self, account: str) -> int:
        """Returns the tokens that this node holds for an account's calls."""
        return self._lanes.held_tokens(account, self._boot_clock())

    def owners(self, account: str) -> tuple[edge_status.OwnerStatus, ...]:
        """Returns the owner and the backup owner of an account."""
        now = self._boot_clock()
        return tuple(
            edge_status.OwnerStatus(node=node, responds=True)
            if node == self._node
            else self._owner_answers.status(node, now)
            for node in self._owners.owners(account)
        )

    def acquire(
        self,
        account: routing.Account,
        on_verdict: OnVerdict,
        *,
        is_retry: bool = False,
    ) -> Callable[[], None]:
        """Asks for a token for a call of an account with a limit.

        Args:
            account: the account.
            on_verdict: called once, possibly before this returns.
            is_retry: whether the caller returns after an earlier request.

        Returns:
            A function that ends the wait; `on_verdict` is not called later.
        """
        waiter_id = self._next_waiter_id
        self._next_waiter_id += 1
        self._on_verdicts[waiter_id] = (account.name, on_verdict)
        self._execute(
            self._lanes.acquire(
                account=account.name,
                waiter_id=waiter_id,
                is_retry=is_retry,
                now=self._boot_clock(),
            )
        )
        return functools.partial(self._cancel, waiter_id)

    def _cancel(self, waiter_id: int) -> None:
        if self._on_verdicts.pop(waiter_id, None) is not None:
            self._lanes.cancel(waiter_id)

    def _divide(self, account: routing.Account) -> shares.Shares:
        return shares.divide(account, self._tolerance)

    def _update_roles(self) -> None:
        before = self._roles
        self._roles = {
            account: grants.role_of_rank(rank)
            for account, rank in self._owners.accounts_of(self._node)
        }
        self._grants.update(
            roles=self._roles, accounts=self._accounts, now=self._clock()
        )
        for role in grants.Role:
            owned = {a for a, r in self._roles.items() if r is role}
            owned_before = {a for a, r in before.items() if r is role}
            self._metrics.set_owned(role.value, len(owned))
            if owned != owned_before:
                _log_owner_change(
                    role, owned - owned_before, owned_before - owned
                )

    def _receive(self, node: str, message: usage.Message) -> None:
        match message:
            case usage.TokenRequest():
                reply = self._answer(message)
                self._metrics.count_request(reply.result.name.lower())
                self._socket.send(node, reply)
            case usage.TokenReply():
                self._owner_answers.record_answer(node, self._boot_clock())
                self._execute(
                    self._lanes.receive(
                        node=node, reply=message, now=self._boot_clock()
                    )
                )

    def _answer(self, request: usage.TokenRequest) -> usage.TokenReply:
        reply = self._grants.answer(request, self._clock())
        self._metrics.count_granted(reply.granted)
        return reply

    def _execute(self, actions: list[verdicts.Action]) -> None:
        """Executes actions and those that they cause, in this order."""
        self._actions.extend(actions)
        if self._is_executing:
            return
        self._is_executing = True
        try:
            while self._actions:
                try:
                    self._execute_one(self._actions.popleft())
                except Exception:
                    # The other calls still get their verdicts.
                    log.exception("usage_action_failed")
        finally:
            self._is_executing = False
        self._arm_timer()

    def _execute_one(self, action: verdicts.Action) -> None:
        match action:
            case verdicts.Decide(waiter_id=waiter_id, verdict=verdict):
                self._decide(waiter_id, verdict)
            case verdicts.Ask(node=node, request=request):
                if node != self._node:
                    self._owner_answers.record_request(node, self._boot_clock())
                    self._socket.send(node, request)
                    return
                self._actions.extend(
                    self._lanes.receive(
                        node=node,
                        reply=self._answer(request),
                        now=self._boot_clock(),
                    )
                )
            case verdicts.ReportSilence(node=node, is_silent=True):
                log.warning("usage_owner_silent", extra={"node": node})
            case verdicts.ReportSilence(node=node):
                log.info("usage_owner_answers", extra={"node": node})

    def _decide(self, waiter_id: int, verdict: verdicts.Verdict) -> None:
        waiter = self._on_verdicts.pop(waiter_id, None)
        if waiter is None:
            return
        account, on_verdict = waiter
        match verdict:
            case verdicts.Admitted():
                result = "admitted"
            case verdicts.Unconfirmed():
                result = "unconfirmed"
            case verdicts.OverLimit():
                result = "over_limit"
                self._over_limit_log.count(
                    account, self._accounts[account].calls_per_s
                )
        self._metrics.count_verdict(account, result)
        on_verdict(verdict)

    def _arm_timer(self) -> None:
        wakeup_at = self._lanes.next_wakeup
        if wakeup_at is None or (
            self._timer is not None and self._timer_at <= wakeup_at
        ):
            # A timer that is too early is cheaper than a new one for each
            # call.
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wakeup_at
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, wakeup_at - self._boot_clock()), self._on_timer
        )

    def _on_timer(self) -> None:
        self._timer = None
        self._execute(self._lanes.tick(self._boot_clock()))


def _tolerance(limits: edge.UsageLimits) -> shares.Tolerance:
    return shares.Tolerance(
        window_s=limits.window_s,
        overage=limits.overage,
        tolerance_calls=limits.tolerance_calls,
    )


def _log_owner_change(
    role: grants.Role, gained: set[str], lost: set[str]
) -> None:
    log.info(
        "usage_owner_changed",
        extra={
            "role": role.value,
            "gained": len(gained),
            "lost": len(lost),
            "client_accounts": sorted(gained | lost)[:_MAX_LOGGED_ACCOUNTS],
        },
    )
