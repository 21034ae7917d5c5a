"""Group commit, rate, outages and bounds of the claim protocol."""

import random

from tanagerspoke.coordination import claim_events as events
from tanagerspoke.coordination import claim_limits
from tanagerspoke.coordination import claims as protocol
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.standins import table as standin
from tanagerspoke.state import claims as rows


class Driver:
    """One protocol, a table, and time that the test moves."""

    def __init__(self, **limits) -> None:
        defaults = {"writes_per_s": 10.0, "group_rows": 8, "retention_s": 60.0}
        self.now = 100.0
        self.table = standin.Table()
        self.replies: dict[int, agent.ClaimReply] = {}
        self.done: dict[int, bool] = {}
        self.pending: list[events.Action] = []
        self.sent_at: list[float] = []
        self.machine = protocol.ClaimProtocol(
            limits=claim_limits.Limits(**(defaults | limits)),
            writer_id="writer",
            wall_clock_ms=lambda: int(self.now * 1000),
            rng=random.Random(1),
        )

    def give(self, event: events.Event) -> None:
        for action in self.machine.handle(event=event, now=self.now):
            match action:
                case events.Reply(request_id=request_id, reply=reply):
                    self.replies[request_id] = reply
                case events.CompletionDone():
                    self.done[action.request_id] = action.accepted
                case _:
                    self.pending.append(action)
                    self.sent_at.append(self.now)

    def ask(self, number: int, *, key: str = "", deadline_ms: int = 5_000):
        request = agent.ClaimRequest(
            client_account="account",
            service="booking",
            key=key or f"key-{number}",
            digest="digest",
            attempt_id=f"attempt-{number}",
            deadline_ms=deadline_ms,
        )
        self.give(events.ClaimAsked(request_id=number, claim=request))

    def complete(self, number: int, result, *, key: str = "") -> None:
        completion = agent.CompleteRequest(
            client_account="account",
            service="booking",
            key=key or f"key-{number}",
            digest="digest",
            attempt_id=f"attempt-{number}",
            result=result,
        )
        self.give(
            events.CompletionAsked(
                request_id=1_000 + number, completion=completion
            )
        )

    def next_operation(self) -> events.Action:
        """Returns the oldest operation, waiting up to 1 s for one."""
        end = self.now + 1.0
        while not self.pending and self.now < end:
            self.now += 0.001
            self.give(events.Tick())
        return self.pending[0]

    def answer(self) -> None:
        """Carries out the oldest operation."""
        action = self.next_operation()
        self.pending.remove(action)
        match action:
            case events.Transact(transaction=transaction):
                reply = self.table.transact(transaction, now=self.now)
                event = events.Transacted(op_id=action.op_id, reply=reply)
            case events.Read(key=key):
                row = self.table.get(key, at=self.now)
                event = events.RowRead(op_id=action.op_id, row=row)
        self.give(event)

    def lose(self) -> None:
        """Lets the oldest operation end without answer or effect."""
        action = self.pending.pop(0)
        self.give(events.Unanswered(op_id=action.op_id))

    def pass_time(self, seconds: float, *, up: bool) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            self.give(events.Tick())
            while self.pending:
                self.answer() if up else self.lose()

    def row(self, number: int) -> rows.ClaimRow | None:
        row = self.table.get(f"claim/account/booking/key-{number}", at=self.now)
        return None if row is None else rows.decode(row.value)


def test_conflict_does_not_fail_the_rest_of_the_group() -> None:
    """Guards against one used key refusing its whole group."""
    driver = Driver(writes_per_s=1_000.0)
    driver.ask(0, key="used")
    driver.answer()
    for number in (1, 2, 3, 4):
        driver.ask(number, key="used" if number == 3 else "")
    assert len(driver.next_operation().transaction.operations) == 4
    driver.answer()
    assert driver.replies[3] == agent.InProgress(retry_after_s=1.0)
    assert len(driver.next_operation().transaction.operations) == 3
    driver.answer()
    assert [driver.replies[n] for n in (0, 1, 2, 4)] == [agent.Granted()] * 4


def test_rate_of_transactions_stays_within_the_share() -> None:
    """Guards against an agent that writes more than its share."""
    driver = Driver(writes_per_s=20.0, group_rows=2)
    for number in range(100):
        driver.ask(number, deadline_ms=60_000)
        driver.pass_time(0.01, up=True)
    assert 19 <= len(driver.sent_at) <= 23


def test_overload_refuses_early_and_keeps_granting() -> None:
    """Guards against a queue that holds only claims about to be given up."""
    driver = Driver(writes_per_s=100.0, group_rows=1)
    granted = 0
    for number in range(2_000):
        driver.ask(number, deadline_ms=60_000)
        if number % 5:
            continue
        driver.now += 0.01
        driver.give(events.Tick())
        if driver.pending and driver.now - driver.sent_at[-1] > 0.045:
            driver.answer()
        for asked in [n for n, r in driver.replies.items() if r]:
            if driver.replies[asked] == agent.Granted():
                granted += 1
                driver.complete(asked, agent.Unknown())
                driver.replies[asked] = None
    # 4 s of 20 transactions, alternately a claim and a record.
    assert granted >= 30


def test_lost_answer_is_settled_by_one_read() -> None:
    """Guards against refusing writes whose claim took effect."""
    driver = Driver()
    driver.ask(1)
    action = driver.pending[0]
    driver.table.transact(action.transaction, now=driver.now)
    driver.lose()
    assert isinstance(driver.pending[0], events.Read)
    driver.answer()
    assert driver.replies[1] == agent.Granted()


def test_outage_is_answered_fast_and_probed_singly() -> None:
    """Guards against waiting callers and against a storm at the return."""
    driver = Driver(writes_per_s=60.0)
    for number in range(300):
        driver.ask(number, deadline_ms=60_000)
    driver.pass_time(1.1, up=False)
    assert len(driver.replies) == 300
    assert set(driver.replies.values()) == {
        agent.StoreUnavailable(retry_after_s=1.0)
    }
    driver.ask(300)
    assert isinstance(driver.replies[300], agent.StoreUnavailable)
    before = len(driver.sent_at)
    driver.pass_time(20.0, up=False)
    assert len(driver.sent_at) - before <= 25
    before = len(driver.sent_at)
    driver.pass_time(3.0, up=True)
    assert len(driver.sent_at) - before <= 4
    driver.ask(301)
    driver.answer()
    assert driver.replies[301] == agent.Granted()
    assert driver.machine.unwritten == 0


def test_asker_past_its_deadline_gets_no_grant() -> None:
    """Guards against a run after the deadline, and against a stuck row."""
    driver = Driver()
    driver.ask(1, deadline_ms=50)
    driver.now += 0.2
    driver.answer()
    assert isinstance(driver.replies[1], agent.StoreUnavailable)
    driver.pass_time(0.5, up=True)
    assert driver.row(1).state is rows.ClaimState.RELEASED


def test_repeat_after_the_deadline_is_unknown() -> None:
    """Guards against a second run of a write whose gateway was killed."""
    driver = Driver()
    driver.ask(1, key="key", deadline_ms=1_000)
    driver.answer()
    for number, wait_s, reply in (
        (2, 0.5, agent.InProgress(retry_after_s=1.0)),
        (3, 6.0, agent.OutcomeUnknown()),
    ):
        driver.pass_time(wait_s, up=True)
        driver.ask(number, key="key")
        driver.answer()
        assert driver.replies[number] == reply


def test_full_memory_refuses_claims_but_takes_their_releases() -> None:
    """Guards against a release without a place, which leaves a stuck row."""
    driver = Driver(max_entries=2, writes_per_s=1_000.0)
    for number in (1, 2):
        driver.ask(number)
        driver.answer()
    driver.ask(3)
    assert isinstance(driver.replies[3], agent.StoreUnavailable)
    for number in (1, 2):
        driver.complete(number, agent.NotRun())
    driver.complete(9, agent.NotRun())
    assert driver.done == {1_009: False}
    driver.pass_time(0.5, up=True)
    assert driver.done == {1_009: False, 1_001: True, 1_002: True}
    driver.ask(4)
    driver.answer()
    assert driver.replies[4] == agent.Granted()


def test_answer_without_object_store_is_unknown_to_repeats() -> None:
    """Guards against a replay of an answer that was not stored."""
    driver = Driver()
    driver.ask(1)
    driver.answer()
    finished = agent.Finished(status=200, headers=(), body=b"x" * 8_193)
    driver.complete(1, finished)
    store = driver.pending.pop(0)
    assert store.data == finished.body
    driver.give(events.ObjectStored(op_id=store.op_id, stored=False))
    driver.pass_time(0.5, up=True)
    driver.ask(2, key="key-1")
    driver.answer()
    assert driver.replies[2] == agent.OutcomeUnknown()


def test_unreadable_row_is_never_replaced() -> None:
    """Guards against a run over a row of a newer or broken program."""
    driver = Driver()
    put = platform.Operation(
        key="claim/account/booking/key-1",
        condition=platform.Always(),
        write=platform.Put(value="{}"),
    )
    transaction = platform.Transaction(operations=(put,))
    driver.table.transact(transaction, now=driver.now)
    driver.ask(1)
    driver.answer()
    assert driver.replies[1] == agent.OutcomeUnknown()
