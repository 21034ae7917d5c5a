"""Gets the tokens of the calls of one node from the owners of accounts."""

from collections.abc import Mapping
import dataclasses

from tanagerspoke.coordination.usage_limits import demand
from tanagerspoke.coordination.usage_limits import ownership
from tanagerspoke.coordination.usage_limits import shares
from tanagerspoke.coordination.usage_limits import silence
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage

# An answer takes about 1 ms; after this time, the request or the answer is
# taken as lost.
_ANSWER_TIMEOUT_S = 0.03
# Longest wait of a call for its verdict: two requests to each owner.
_VERDICT_TIMEOUT_S = 4 * _ANSWER_TIMEOUT_S
# Further calls are refused as unconfirmed; each waits in memory.
MAX_WAITING_CALLS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _OpenRequest:
    """A request without an answer."""

    account: str
    node: str
    sent_at: float
    waiting: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Round:
    """Requests for the calls of one account that wait now.

    Attributes:
        targets: nodes to ask in turn, again from the first after the last.
        step: number of requests that were sent.
    """

    targets: tuple[str, ...]
    step: int
    next_step_at: float


class Allowance:
    """Decides which calls have a token, and which node to ask for more.

    Times are seconds of a clock that also counts while the machine is
    suspended, because tokens expire meanwhile. Each method returns the actions
    to carry out, in order.
    """

    def __init__(
        self,
        *,
        node: str,
        owners: ownership.Ownership,
        first_request_id: int,
        silent_nodes: silence.Silence | None = None,
        for_retries: bool = False,
    ) -> None:
        """Creates a state without accounts.

        Args:
            node: name of this node.
            owners: the owners of accounts; changed by its holder.
            first_request_id: random, so that a late answer to an earlier
                process of this node is not taken as an answer to this one.
            silent_nodes: nodes that do not answer; None for a state of its
                own.
            for_retries: whether the calls are those of callers that return.
                Their tokens are requested as further ones, which the owner
                grants after those of first requests.
        """
        self._node = node
        self._for_retries = for_retries
        self._owners = owners
        self._next_request_id = first_request_id % usage.REQUEST_IDS
        self._demands: dict[str, demand.Demand] = {}
        self._account_of_waiter: dict[int, str] = {}
        self._rounds: dict[str, _Round] = {}
        # In the order of sending.
        self._open_requests: dict[int, _OpenRequest] = {}
        self._silence = silent_nodes or silence.Silence()

    @property
    def waiting_calls(self) -> int:
        """Number of calls without a verdict."""
        return len(self._account_of_waiter)

    @property
    def next_wakeup(self) -> float | None:
        """Time at which `tick` is due, or None."""
        return min(
            (
                min(current.next_step_at, self._demands[account].give_up_at)
                for account, current in self._rounds.items()
            ),
            default=None,
        )

    def set_accounts(
        self, accounts: Mapping[str, routing.Account]
    ) -> list[verdicts.Action]:
        """Sets the accounts with a limit; forgets all others."""
        actions: list[verdicts.Action] = []
        for name in self._demands.keys() - accounts.keys():
            actions += self._demands.pop(name).drop_waiting()
            self._rounds.pop(name, None)
        for name, account in accounts.items():
            known = self._demands.get(name)
            if known is None:
                self._demands[name] = demand.Demand(
                    calls_per_s=account.calls_per_s
                )
            else:
                known.set_limit(account.calls_per_s)
        return self._decided(actions)

    def set_nodes(self, nodes: frozenset[str]) -> None:
        """Sets the listed nodes, after the owners were changed."""
        self._silence.keep_only(nodes, frozenset(self._demands))
        for account_demand in self._demands.values():
            account_demand.end_hold_off()

    def held_tokens(self, account: str, now: float) -> int:
        """Returns the tokens of an account that are held and not used."""
        account_demand = self._demands.get(account)
        return 0 if account_demand is None else account_demand.held.count(now)

    def acquire(
        self, *, account: str, waiter_id: int, now: float
    ) -> list[verdicts.Action]:
        """Asks for a token for a call."""
        account_demand = self._demands.get(account)
        if account_demand is None or not self._owners.owners(account):
            return [_unconfirmed(waiter_id)]
        account_demand.count_arrival(now)
        if not account_demand.waiting:
            if account_demand.held.take(now):
                verdict: verdicts.Verdict | None = verdicts.Admitted()
            else:
                verdict = account_demand.refusal(now)
            if verdict is not None:
                return [verdicts.Decide(waiter_id=waiter_id, verdict=verdict)]
        if len(self._account_of_waiter) >= MAX_WAITING_CALLS:
            return [_unconfirmed(waiter_id)]
        account_demand.waiting[waiter_id] = now + _VERDICT_TIMEOUT_S
        self._account_of_waiter[waiter_id] = account
        if account in self._rounds:
            return []
        return self._start_round(account, now)

    def cancel(self, waiter_id: int) -> None:
        """Ends the wait of a call whose caller left."""
        account = self._account_of_waiter.pop(waiter_id, None)
        if account is None:
            return
        waiting = self._demands[account].waiting
        waiting.pop(waiter_id, None)
        if not waiting:
            self._rounds.pop(account, None)

    def receive(
        self, *, node: str, reply: usage.TokenReply, now: float
    ) -> list[verdicts.Action]:
        """Applies an answer; each request counts once."""
        request = self._open_requests.get(reply.request_id)
        if request is None or request.node != node:
            return []
        del self._open_requests[reply.request_id]
        actions: list[verdicts.Action] = []
        if self._silence.answered(node):
            actions.append(verdicts.ReportSilence(node=node, is_silent=False))
        if reply.result is not usage.Result.NOT_OWNER:
            self._silence.confirm_owner(node, request.account)
        account_demand = self._demands.get(request.account)
        if account_demand is None:
            return actions
        account_demand.held.add(
            reply.granted, expires_at=request.sent_at + shares.TOKEN_LIFETIME_S
        )
        actions += account_demand.serve(now)
        if request.waiting:
            actions += self._follow_up(request, reply, now)
        if not account_demand.waiting:
            self._rounds.pop(request.account, None)
        return self._decided(actions)

    def tick(self, now: float) -> list[verdicts.Action]:
        """Ends waits that are too long; repeats unanswered requests."""
        actions: list[verdicts.Action] = []
        for account, current in list(self._rounds.items()):
            actions += self._demands[account].give_up(now)
            if not self._demands[account].waiting:
                del self._rounds[account]
            if current.next_step_at <= now:
                actions += self._leave_target(current, now)
                if account in self._rounds:
                    actions += self._ask_next(account, now)
        return self._decided(actions)

    def _follow_up(
        self, request: _OpenRequest, reply: usage.TokenReply, now: float
    ) -> list[verdicts.Action]:
        account = request.account
        account_demand = self._demands[account]
        if not account_demand.waiting:
            return []
        match reply.result:
            case usage.Result.GRANTED if (
                # Owners of an older build also answer so to retries that got
                # fewer tokens than they asked for.
                not self._for_retries or reply.granted >= request.waiting
            ):
                # The calls that wait came after the request was sent.
                return self._start_round(account, now)
            case usage.Result.NOT_OWNER:
                self._silence.suspect_for_account(request.node, account, now)
                return self._skip_target(account, request.node, now)
            case _:
                # This node's own answers cost no messages.
                return account_demand.refuse_waiting(
                    reply,
                    now,
                    hold_off=request.node != self._node,
                    decided_by=request.node,
                )

    def _start_round(self, account: str, now: float) -> list[verdicts.Action]:
        owners = self._owners.owners(account)
        if not owners:
            return []
        actions: list[verdicts.Action] = []
        suspected = [
            node
            for node in owners
            if self._silence.is_suspected(node, account, now)
        ]
        if not suspected:
            targets = [node for node in owners for _ in range(2)]
        elif len(suspected) == len(owners):
            targets = [*owners, *owners]
        else:
            answering = [node for node in owners if node not in suspected]
            targets = [*answering, *answering, *suspected]
            for node in suspected:
                if self._silence.check_due(node, now):
                    actions.append(self._ask(account, node, now, waiting=0))
        self._rounds[account] = _Round(
            targets=tuple(targets), step=0, next_step_at=now
        )
        return actions + self._ask_next(account, now)

    def _ask_next(self, account: str, now: float) -> list[verdicts.Action]:
        current = self._rounds[account]
        node = current.targets[current.step % len(current.targets)]
        self._rounds[account] = dataclasses.replace(
            current,
            step=current.step + 1,
            next_step_at=now + _ANSWER_TIMEOUT_S,
        )
        account_demand = self._demands[account]
        waiting = min(len(account_demand.waiting), usage.MAX_TOKENS)
        extra = 0
        if node != self._node:
            extra = account_demand.expected_calls(now)
        return [self._ask(account, node, now, waiting=waiting, extra=extra)]

    def _skip_target(
        self, account: str, node: str, now: float
    ) -> list[verdicts.Action]:
        """Asks the next other node at once, for each node once in a round.

        Otherwise owners whose lists differ would be asked again and again.
        """
        current = self._rounds.get(account)
        if current is None or _last_target(current) != node:
            return []
        for step in range(current.step, len(current.targets)):
            if current.targets[step] != node:
                self._rounds[account] = dataclasses.replace(current, step=step)
                return self._ask_next(account, now)
        return []

    def _leave_target(
        self, current: _Round, now: float
    ) -> list[verdicts.Action]:
        """Suspects the last asked node if another one is asked next."""
        last = _last_target(current)
        if last == current.targets[current.step % len(current.targets)]:
            return []
        if not self._silence.suspect(last, now):
            return []
        return [verdicts.ReportSilence(node=last, is_silent=True)]

    def _ask(
        self,
        account: str,
        node: str,
        now: float,
        *,
        waiting: int,
        extra: int = 0,
    ) -> verdicts.Ask:
        self._drop_expired_requests(now)
        request_id = self._next_request_id
        self._next_request_id = (request_id + 1) % usage.REQUEST_IDS
        self._open_requests[request_id] = _OpenRequest(
            account=account, node=node, sent_at=now, waiting=waiting
        )
        return verdicts.Ask(
            node=node,
            request=usage.TokenRequest(
                request_id=request_id,
                account=account,
                waiting=0 if self._for_retries else waiting,
                extra=waiting if self._for_retries else extra,
            ),
        )

    def _drop_expired_requests(self, now: float) -> None:
        """Forgets requests whose tokens could no longer be used."""
        while self._open_requests:
            request_id, request = next(iter(self._open_requests.items()))
            if request.sent_at + shares.TOKEN_LIFETIME_S > now:
                return
            del self._open_requests[request_id]

    def _decided(self, actions: list[verdicts.Action]) -> list[verdicts.Action]:
        for action in actions:
            if isinstance(action, verdicts.Decide):
                self._account_of_waiter.pop(action.waiter_id, None)
        return actions


def _last_target(current: _Round) -> str:
    return current.targets[(current.step - 1) % len(current.targets)]


def _unconfirmed(waiter_id: int) -> verdicts.Decide:
    return verdicts.Decide(waiter_id=waiter_id, verdict=demand.unconfirmed())
