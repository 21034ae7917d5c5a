"""How a node gets tokens, without a network."""

import pytest

from tanagerspoke.coordination.usage_limits import allowance
from tanagerspoke.coordination.usage_limits import ownership
from tanagerspoke.coordination.usage_limits import verdicts
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import usage

_NODES = frozenset({"n1", "n2", "n3", "n4"})


class _Node:
    """A node that owns nothing, with its actions."""

    def __init__(self, *, nodes: frozenset[str] = _NODES) -> None:
        self.account = routing.Account(name="a", calls_per_s=10.0)
        owners = ownership.Ownership()
        owners.set_nodes(nodes)
        owners.set_accounts(["a"])
        self.owner, self.backup = (*owners.owners("a"), "", "")[:2]
        self.allowance = allowance.Allowance(
            node="me", owners=owners, first_request_id=usage.REQUEST_IDS - 1
        )
        self.allowance.set_accounts({"a": self.account})
        self.asked: list[verdicts.Ask] = []
        self.decided: dict[int, verdicts.Verdict] = {}

    def take(self, actions: list[verdicts.Action]) -> None:
        for action in actions:
            match action:
                case verdicts.Ask():
                    self.asked.append(action)
                case verdicts.Decide(waiter_id=waiter_id, verdict=verdict):
                    assert waiter_id not in self.decided
                    self.decided[waiter_id] = verdict

    def acquire(self, waiter_id: int, now: float) -> None:
        self.take(
            self.allowance.acquire(account="a", waiter_id=waiter_id, now=now)
        )

    def reply(
        self,
        now: float,
        *,
        ask: verdicts.Ask | None = None,
        node: str = "",
        result: usage.Result = usage.Result.GRANTED,
        **fields: int,
    ) -> None:
        ask = ask or self.asked[-1]
        reply = usage.TokenReply(
            request_id=ask.request.request_id, result=result, **fields
        )
        self.take(
            self.allowance.receive(node=node or ask.node, reply=reply, now=now)
        )

    def tick(self, now: float) -> None:
        self.take(self.allowance.tick(now))

    def asked_nodes(self) -> list[str]:
        return [ask.node for ask in self.asked]


def test_silent_owner_is_asked_twice_and_then_the_backup_owner() -> None:
    """Guards against calls that wait for a dead owner again and again."""
    node = _Node()
    node.acquire(1, 0.0)
    for now in (0.031, 0.062):
        assert node.allowance.next_wakeup <= now
        node.tick(now)
    assert node.asked_nodes() == [node.owner, node.owner, node.backup]
    node.reply(0.063, granted=1)
    assert node.decided[1] == verdicts.Admitted()
    assert node.allowance.next_wakeup is None
    # A later call asks the backup owner first, and checks the owner.
    node.asked.clear()
    node.acquire(2, 0.5)
    assert sorted(node.asked_nodes()) == sorted([node.owner, node.backup])
    check = next(ask for ask in node.asked if ask.node == node.owner)
    assert check.request.waiting == 0
    # The owner answers again.
    node.reply(0.501, granted=1)
    node.reply(0.501, ask=check)
    node.asked.clear()
    node.acquire(3, 0.6)
    assert node.asked_nodes() == [node.owner]


def test_unanswered_call_is_unconfirmed_after_120_ms() -> None:
    """Guards against calls that wait for owners that are both away."""
    node = _Node()
    node.acquire(1, 0.0)
    node.acquire(2, 0.1)
    for now in (0.031, 0.062, 0.093):
        node.tick(now)
        assert not node.decided
    node.tick(0.121)
    assert isinstance(node.decided.pop(1), verdicts.Unconfirmed)
    assert not node.decided
    node.tick(0.221)
    assert 0 < node.decided[2].retry_after_s <= 0.3
    assert node.allowance.waiting_calls == 0
    assert node.allowance.next_wakeup is None


def test_node_that_is_not_owner_counts_like_no_answer() -> None:
    """Guards against calls that end because lists differ for a moment."""
    node = _Node()
    node.acquire(1, 0.0)
    node.reply(0.001, result=usage.Result.NOT_OWNER)
    node.reply(0.002, result=usage.Result.NOT_OWNER)
    assert node.asked_nodes() == [node.owner, node.backup]
    # Both disagree: no message before the time-out, so that none loops.
    node.tick(0.033)
    assert node.asked_nodes()[2:] == [node.backup]
    node.reply(0.034, granted=1)
    assert node.decided[1] == verdicts.Admitted()
    node.acquire(2, 0.5)
    assert node.asked_nodes()[-1] == node.backup
    node.reply(0.501, granted=1)
    node.acquire(3, 1.1)
    assert node.asked_nodes()[-1] == node.owner


@pytest.mark.parametrize("case", ["late", "repeated", "other node"])
def test_grant_counts_once_and_until_it_expires(case: str) -> None:
    """Guards against tokens that are used twice or after 0.2 s."""
    node = _Node()
    node.acquire(1, 0.0)
    ask = node.asked[-1]
    if case == "late":
        # Its lifetime is counted from the sending of the request.
        node.reply(0.199, ask=ask, granted=2)
        assert node.decided.pop(1) == verdicts.Admitted()
        node.acquire(2, 0.201)
    elif case == "repeated":
        for _ in range(2):
            node.reply(0.001, ask=ask, granted=1)
        assert node.decided.pop(1) == verdicts.Admitted()
        node.acquire(2, 0.002)
    else:
        node.reply(0.001, ask=ask, node="n9", granted=1)
    assert not node.decided
    assert node.allowance.waiting_calls


def test_calls_over_the_limit_are_told_different_times() -> None:
    """Guards against refused calls that all come back at once.

    Until the owner expects a token, calls are refused without a message.
    """
    node = _Node()
    for waiter_id in range(4):
        node.acquire(waiter_id, 0.0)
    assert node.asked[0].request.waiting == 1
    node.reply(0.001, granted=1)
    assert node.asked[1].request.waiting == 3
    node.reply(
        0.002,
        result=usage.Result.OVER_LIMIT,
        granted=1,
        next_token_ms=80,
        retry_after_ms=80,
    )
    node.acquire(4, 0.05)
    assert len(node.asked) == 2
    assert node.decided[0] == node.decided[1] == verdicts.Admitted()
    waits = [node.decided[number].retry_after_s for number in (2, 3, 4)]
    assert waits == pytest.approx([0.08, 0.18, 0.232])
    node.acquire(5, 0.083)
    assert len(node.asked) == 3
    node.reply(0.084, result=usage.Result.OVER_LIMIT)
    assert node.decided[5].retry_after_s == 0.05


def test_caller_that_leaves_uses_no_token() -> None:
    """Guards against verdicts and tokens for calls that ended."""
    node = _Node()
    node.acquire(1, 0.0)
    node.allowance.cancel(1)
    node.reply(0.001, granted=1)
    node.acquire(2, 0.002)
    assert node.decided == {2: verdicts.Admitted()}
    node.allowance.cancel(2)
    assert len(node.asked) == 1


def test_unknown_nodes_or_accounts_are_unconfirmed_at_once() -> None:
    """Guards against calls that wait although nobody can be asked."""
    node = _Node(nodes=frozenset())
    node.acquire(1, 0.0)
    assert isinstance(node.decided[1], verdicts.Unconfirmed)
    node = _Node()
    node.acquire(1, 0.0)
    node.take(node.allowance.set_accounts({}))
    node.acquire(2, 0.0)
    assert all(
        isinstance(node.decided[n], verdicts.Unconfirmed) for n in (1, 2)
    )
    node.reply(0.001, granted=1)


def test_waiting_calls_and_open_requests_are_bounded() -> None:
    """Guards against memory that grows while owners are away."""
    node = _Node()
    for waiter_id in range(allowance.MAX_WAITING_CALLS + 1):
        node.acquire(waiter_id, 0.0)
    assert list(node.decided) == [allowance.MAX_WAITING_CALLS]
    for step in range(1, 100):
        node.tick(step * 0.031)
        node.acquire(10_000 + step, step * 0.031)
    assert len(node.allowance._open_requests) < 20


def test_busy_account_asks_for_expected_calls() -> None:
    """Guards against a message for each call of an account with many."""
    node = _Node()
    for number in range(200):
        now = number / 100.0
        node.acquire(number, now)
        if node.allowance.waiting_calls:
            request = node.asked[-1].request
            node.reply(now, granted=request.waiting + request.extra)
    assert len(node.decided) == 200
    assert 5 <= node.asked[-1].request.extra <= 10
    assert len(node.asked) < 90


def test_count_of_held_tokens_takes_none() -> None:
    """Guards against an operator's question that uses an account's tokens."""
    node = _Node()
    node.acquire(1, 0.0)
    node.reply(0.01, granted=3)
    for _ in range(5):
        assert node.allowance.held_tokens("a", 0.1) == 2
    assert node.allowance.held_tokens("a", 10.0) == 0
    assert node.allowance.held_tokens("unknown", 0.1) == 0
    node.acquire(2, 0.1)
    assert isinstance(node.decided[2], verdicts.Admitted)
