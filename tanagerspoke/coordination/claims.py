"""Claim protocol of at-most-once writes, with group commit.

A claim is a row that one conditional transaction inserts. One transaction is
in flight at a time and the next one takes what gathered meanwhile (group
commit, Gawlick and Kinkade 1985). Only conditions of transactions decide:
reads may be stale and can only confirm a claim, never refute one.
"""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import heapq
import itertools
from typing import TypeAlias

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import randomness
from tanagerspoke.state import claims

# Bodies above this size would crowd a group of 64 rows out of one request.
_INLINE_ANSWER_BYTES = 8192
# Records wait this long for claims to share their transaction with.
_RECORD_LINGER_S = 0.02
_TOKEN_ERROR = 1e-6
# Unused share of the write rate that may be spent at once.
_BURST_S = 0.1
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
# Share of `answer_within_s` that a claim may spend in the queue. Without this
# bound the queue of an overloaded agent holds only claims that are about to
# be given up, and their releases take the place of others.
_QUEUE_SHARE = 0.5
# Weight of the last transaction in the mean duration.
_DURATION_WEIGHT = 0.2
# Consecutive failures after which new claims are refused without waiting. One
# lost answer is settled by the read that follows at once.
_DOWN_FAILURES = 2
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits of the claim protocol in one agent.

    Attributes:
        writes_per_s: most transactions a second, or rows with `charge_rows`.
        group_rows: most rows of one transaction.
        retention_s: lifetime of rows.
        answer_within_s: longest wait of a claim for the table.
        grace_s: added to a claim's deadline before repeats get "outcome
            unknown"; covers clock differences between hosts.
        max_entries: most claims and records in memory. A claim keeps its
            place until it is completed, so its release always finds one.
        max_answer_bytes: most bytes of answers waiting to be recorded; above
            it a record is written without its answer.
        charge_rows: whether the table counts rows instead of transactions.
    """

    writes_per_s: float
    group_rows: int
    retention_s: float
    answer_within_s: float = 1.0
    grace_s: float = 5.0
    max_entries: int = 20_000
    max_answer_bytes: int = 33_554_432
    charge_rows: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimAsked:
    """A gateway asks for a claim; the same attempt may ask again."""

    request_id: int
    claim: agent.ClaimRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskerLeft:
    """The gateway no longer waits for the reply to this claim."""

    request_id: int
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompletionAsked:
    """A gateway reports the end of a claimed write."""

    request_id: int
    completion: agent.CompleteRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transacted:
    """The table answered a transaction."""

    op_id: int
    reply: platform.TransactionReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RowRead:
    """The table answered a read."""

    op_id: int
    row: platform.Row | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unanswered:
    """A transaction or read got no answer; it may still take effect."""

    op_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectStored:
    """The object store took the object or has it already, or failed."""

    op_id: int
    stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectRead:
    """The object store returned an object; None where it has none or failed."""

    op_id: int
    data: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed; see `ClaimProtocol.next_wakeup`."""


Event: TypeAlias = (
    ClaimAsked
    | AskerLeft
    | CompletionAsked
    | Transacted
    | RowRead
    | Unanswered
    | ObjectStored
    | ObjectRead
    | Tick
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transact:
    """Send the transaction to the table."""

    op_id: int
    transaction: platform.Transaction


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """Read a row of the table."""

    op_id: int
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreObject:
    """Put an object if it is absent."""

    op_id: int
    key: str
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadObject:
    """Get an object."""

    op_id: int
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Answer a claim."""

    request_id: int
    reply: agent.ClaimReply


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompletionDone:
    """Answer a completion.

    Attributes:
        accepted: False where the bounded memory is full; the gateway must
            ask again later.
    """

    request_id: int
    accepted: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Contradiction:
    """A record was dropped, because the row belongs to something else."""

    key: str
    attempt_id: str
    state: claims.ClaimState


Action: TypeAlias = (
    Transact
    | Read
    | StoreObject
    | ReadObject
    | Reply
    | CompletionDone
    | Contradiction
)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Claim:
    """A claim that is not answered yet.

    Attributes:
        unsettled: a transaction with this claim got no answer.
        last_resort: reply where nothing better is known in time.
    """

    key: str
    request: agent.ClaimRequest
    deadline: float
    answer_by: float
    deadline_at_ms: int
    askers: list[int]
    condition: platform.Condition = dataclasses.field(
        default_factory=platform.Absent
    )
    unsettled: bool = False
    last_resort: agent.ClaimReply = dataclasses.field(
        default_factory=lambda: agent.StoreUnavailable(
            retry_after_s=_RETRY_AFTER_S
        )
    )

    @property
    def attempt_id(self) -> str:
        return self.request.attempt_id

    def row(self, write_id: str) -> claims.ClaimRow:
        return claims.ClaimRow(
            attempt_id=self.attempt_id,
            digest=self.request.digest,
            state=claims.ClaimState.CLAIMED,
            deadline_at_ms=self.deadline_at_ms,
            write_id=write_id,
        )


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Record:
    """A release or an outcome that is not in the table yet."""

    key: str
    attempt_id: str
    digest: str
    state: claims.ClaimState
    answer: claims.StoredAnswer | None
    condition: platform.Condition
    ready_at: float
    askers: list[int]
    answer_bytes: int = 0

    def row(self, write_id: str) -> claims.ClaimRow:
        return claims.ClaimRow(
            attempt_id=self.attempt_id,
            digest=self.digest,
            state=self.state,
            deadline_at_ms=0,
            answer=self.answer,
            write_id=write_id,
        )


_Entry: TypeAlias = _Claim | _Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Group:
    """Rows of one transaction."""

    op_id: int
    write_id: str
    entries: list[_Entry]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Grant:
    """A granted claim that is not completed yet."""

    version: int
    expires_at: float


class ClaimProtocol:
    """Decides what the agent writes to the table, and when.

    Args:
        writer_id: unique for this process; part of the write ids.
        wall_clock_ms: returns ms since the epoch.
    """

    def __init__(
        self,
        *,
        limits: Limits,
        writer_id: str,
        wall_clock_ms: Callable[[], int],
        rng: randomness.Random,
    ) -> None:
        self._limits = limits
        self._writer_id = writer_id
        self._wall_clock_ms = wall_clock_ms
        self._rng = rng
        self._op_ids = itertools.count(1)
        self._claims: dict[str, _Claim] = {}
        self._waiting: collections.deque[_Claim] = collections.deque()
        self._records: dict[str, _Record] = {}
        self._storing: dict[int, _Record] = {}
        self._fetching: dict[int, tuple[_Claim, claims.StoredAnswer]] = {}
        self._unwritten: dict[str, _Record] = {}
        self._grants: dict[str, _Grant] = {}
        self._replies: dict[str, agent.ClaimReply] = {}
        self._timers: list[tuple[float, str]] = []
        self._retry: list[_Entry] = []
        self._in_flight: _Group | None = None
        self._unsettled: _Group | None = None
        self._reading: int | None = None
        self._failures = 0
        self._not_before = 0.0
        self._sent_at = 0.0
        self._duration_s = 0.0
        self._tokens = 1.0
        self._tokens_at: float | None = None
        self._records_first = False
        self._answer_bytes = 0
        self._actions: list[Action] = []

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next `Tick` that is needed, or None."""
        times = [self._timers[0][0]] if self._timers else []
        if self._in_flight is None and self._reading is None:
            send_at = self._send_at()
            if send_at is not None:
                times.append(send_at)
        return min(times, default=None)

    @property
    def unwritten(self) -> int:
        """Number of releases and outcomes that are not in the table yet."""
        return len(self._unwritten)

    def handle(self, *, event: Event, now: float) -> list[Action]:
        """Returns what follows from an event."""
        self._refill(now)
        match event:
            case ClaimAsked():
                self._ask(event, now)
            case AskerLeft():
                self._leave(event, now)
            case CompletionAsked():
                self._complete(event, now)
            case Transacted():
                self._take_reply(event, now)
            case RowRead():
                self._take_row(event, now)
            case Unanswered():
                self._take_silence(event.op_id, now)
            case ObjectStored():
                self._take_stored(event)
            case ObjectRead():
                self._take_object(event)
        self._take_due(now)
        self._send(now)
        actions = self._actions
        self._actions = []
        return actions

    # Claims.

    def _ask(self, event: ClaimAsked, now: float) -> None:
        request = event.claim
        claim = self._claims.get(request.attempt_id)
        if claim is not None:
            claim.askers.append(event.request_id)
            return
        reply = self._remembered(request.attempt_id, now)
        if reply is None and self._refuses_claims():
            reply = agent.StoreUnavailable(retry_after_s=_RETRY_AFTER_S)
            self._note_reply(request.attempt_id, reply)
        if reply is None:
            self._start_claim(event, now)
        else:
            self._reply([event.request_id], reply)

    def _remembered(
        self, attempt_id: str, now: float
    ) -> agent.ClaimReply | None:
        """Returns the reply to an attempt that was answered before."""
        record = self._unwritten.get(attempt_id)
        if record is not None:
            return _late_reply(record)
        grant = self._grants.get(attempt_id)
        if grant is not None and now < grant.expires_at:
            return agent.Granted()
        return self._replies.get(attempt_id)

    def _note_reply(self, attempt_id: str, reply: agent.ClaimReply) -> None:
        """Remembers a final reply; the oldest ones are forgotten first."""
        self._replies[attempt_id] = reply
        if len(self._replies) > self._limits.max_entries:
            del self._replies[next(iter(self._replies))]

    def _refuses_claims(self) -> bool:
        if self._failures >= _DOWN_FAILURES:
            return True
        entries = len(self._claims) + len(self._grants) + self.unwritten
        if entries >= self._limits.max_entries:
            return True
        longest_s = _QUEUE_SHARE * self._limits.answer_within_s
        return self._queue_wait_s() > longest_s

    def _queue_wait_s(self) -> float:
        """Returns the expected wait; records take half of each group."""
        rows = self._limits.group_rows
        cost = rows if self._limits.charge_rows else 1
        interval_s = max(self._duration_s, cost / self._limits.writes_per_s)
        return len(self._waiting) / (rows / 2) * interval_s

    def _start_claim(self, event: ClaimAsked, now: float) -> None:
        request = event.claim
        deadline = now + request.deadline_ms / 1000
        claim = _Claim(
            key=claims.row_key(
                client_account=request.client_account,
                service=request.service,
                key=request.key,
            ),
            request=request,
            deadline=deadline,
            answer_by=min(deadline, now + self._limits.answer_within_s),
            deadline_at_ms=self._wall_clock_ms() + request.deadline_ms,
            askers=[event.request_id],
        )
        self._claims[claim.attempt_id] = claim
        self._waiting.append(claim)
        heapq.heappush(self._timers, (claim.answer_by, claim.attempt_id))

    def _leave(self, event: AskerLeft, now: float) -> None:
        claim = self._claims.get(event.attempt_id)
        if claim is None or event.request_id not in claim.askers:
            return
        claim.askers.remove(event.request_id)
        if not claim.askers:
            self._abandon(claim, now)

    def _abandon(self, claim: _Claim, now: float) -> None:
        """Answers a claim that the table did not settle in time."""
        self._answer(claim, claim.last_resort)
        if claim.unsettled or self._is_in_flight(claim):
            self._release(claim, claim.condition, now)

    def _is_in_flight(self, entry: _Entry) -> bool:
        group = self._in_flight
        return group is not None and any(e is entry for e in group.entries)

    def _answer(self, claim: _Claim, reply: agent.ClaimReply) -> None:
        del self._claims[claim.attempt_id]
        self._reply(claim.askers, reply)
        # Grants are remembered with their version, and a finished row gives
        # the same replay again.
        if not isinstance(reply, agent.Granted | agent.Replay):
            self._note_reply(claim.attempt_id, reply)

    def _grant(self, claim: _Claim, version: int, now: float) -> None:
        if now >= claim.deadline:
            self._answer(claim, claim.last_resort)
            condition = platform.VersionIs(version=version)
            self._release(claim, condition, now)
            return
        self._answer(claim, agent.Granted())
        expires_at = claim.deadline + self._limits.grace_s
        self._grants[claim.attempt_id] = _Grant(
            version=version, expires_at=expires_at
        )
        heapq.heappush(self._timers, (expires_at, claim.attempt_id))

    def _reply(self, askers: Iterable[int], reply: agent.ClaimReply) -> None:
        for request_id in askers:
            self._actions.append(Reply(request_id=request_id, reply=reply))

    def _take_due(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, attempt_id = heapq.heappop(self._timers)
            claim = self._claims.get(attempt_id)
            if claim is not None and claim.answer_by <= now:
                self._abandon(claim, now)
            grant = self._grants.get(attempt_id)
            if grant is not None and grant.expires_at <= now:
                del self._grants[attempt_id]

    # Releases and outcome records.

    def _release(
        self, claim: _Claim, condition: platform.Condition, now: float
    ) -> None:
        if claim.attempt_id in self._unwritten:
            return
        record = _Record(
            key=claim.key,
            attempt_id=claim.attempt_id,
            digest=claim.request.digest,
            state=claims.ClaimState.RELEASED,
            answer=None,
            condition=condition,
            ready_at=now + _RECORD_LINGER_S,
            askers=[],
        )
        self._unwritten[record.attempt_id] = record
        self._records[record.attempt_id] = record

    def _complete(self, event: CompletionAsked, now: float) -> None:
        completion = event.completion
        attempt_id = completion.attempt_id
        existing = self._unwritten.get(attempt_id)
        if existing is not None:
            existing.askers.append(event.request_id)
            return
        claim = self._claims.get(attempt_id)
        grant = self._grants.pop(attempt_id, None)
        condition: platform.Condition = platform.Absent()
        if claim is not None:
            condition = claim.condition
            self._answer(claim, claim.last_resort)
        elif grant is not None:
            condition = platform.VersionIs(version=grant.version)
        elif self.unwritten >= self._limits.max_entries:
            self._actions.append(
                CompletionDone(request_id=event.request_id, accepted=False)
            )
            return
        self._queue_record(event, condition, now)

    def _queue_record(
        self, event: CompletionAsked, condition: platform.Condition, now: float
    ) -> None:
        completion = event.completion
        record = _Record(
            key=claims.row_key(
                client_account=completion.client_account,
                service=completion.service,
                key=completion.key,
            ),
            attempt_id=completion.attempt_id,
            digest=completion.digest,
            state=_STATES[type(completion.result)],
            answer=None,
            condition=condition,
            ready_at=now + _RECORD_LINGER_S,
            askers=[event.request_id],
        )
        self._unwritten[record.attempt_id] = record
        result = completion.result
        if isinstance(result, agent.Finished) and self._keep_answer(
            record, result
        ):
            return
        self._records[record.attempt_id] = record

    def _keep_answer(self, record: _Record, result: agent.Finished) -> bool:
        """Adds the answer; returns True where the object store comes first."""
        size = len(result.body)
        if self._answer_bytes + size > self._limits.max_answer_bytes:
            return False
        record.answer_bytes = size
        self._answer_bytes += size
        if size <= _INLINE_ANSWER_BYTES:
            record.answer = claims.StoredAnswer(
                status=result.status, headers=result.headers, body=result.body
            )
            return False
        key = claims.answer_key(attempt_id=record.attempt_id)
        record.answer = claims.StoredAnswer(
            status=result.status, headers=result.headers, object_key=key
        )
        op_id = next(self._op_ids)
        self._storing[op_id] = record
        self._actions.append(
            StoreObject(op_id=op_id, key=key, data=result.body)
        )
        return True

    def _take_stored(self, event: ObjectStored) -> None:
        record = self._storing.pop(event.op_id, None)
        if record is None:
            return
        self._answer_bytes -= record.answer_bytes
        record.answer_bytes = 0
        if not event.stored:
            record.answer = None
        self._records[record.attempt_id] = record

    def _finish_record(self, record: _Record) -> None:
        if self._records.get(record.attempt_id) is not record:
            return
        del self._records[record.attempt_id]
        del self._unwritten[record.attempt_id]
        self._note_reply(record.attempt_id, _late_reply(record))
        self._answer_bytes -= record.answer_bytes
        for request_id in record.askers:
            self._actions.append(
                CompletionDone(request_id=request_id, accepted=True)
            )

    # Sending.

    def _refill(self, now: float) -> None:
        rate = self._limits.writes_per_s
        if self._tokens_at is not None:
            gained = max(0.0, now - self._tokens_at) * rate
            self._tokens = min(max(1.0, rate * _BURST_S), self._tokens + gained)
        self._tokens_at = now

    def _send_at(self) -> float | None:
        """Returns when the next operation may be sent, if one is wanted."""
        if self._unsettled is not None:
            return self._not_before
        wanted = self._wanted_at()
        if wanted is None or self._tokens_at is None:
            return None
        at = max(wanted, self._not_before)
        # Rounding must not leave a wake-up that finds nothing to do.
        if self._tokens < 1.0 - _TOKEN_ERROR:
            missing = (1.0 - self._tokens) / self._limits.writes_per_s
            at = max(at, self._tokens_at + missing)
        return at

    def _wanted_at(self) -> float | None:
        if self._retry or self._waiting:
            return 0.0
        if len(self._records) >= self._limits.group_rows:
            return 0.0
        for record in self._records.values():
            return record.ready_at
        return None

    def _send(self, now: float) -> None:
        if self._in_flight is not None or self._reading is not None:
            return
        self._drop_answered()
        send_at = self._send_at()
        if send_at is None or send_at > now:
            return
        if self._unsettled is not None:
            self._read_back(self._unsettled)
            return
        entries = self._next_entries(now)
        if entries:
            self._sent_at = now
            self._transact(entries)

    def _drop_answered(self) -> None:
        self._retry = [e for e in self._retry if self._is_open(e)]
        while self._waiting and not self._is_open(self._waiting[0]):
            self._waiting.popleft()

    def _is_open(self, entry: _Entry) -> bool:
        if isinstance(entry, _Claim):
            return self._claims.get(entry.attempt_id) is entry
        return self._records.get(entry.attempt_id) is entry

    def _read_back(self, group: _Group) -> None:
        self._reading = next(self._op_ids)
        entry = next(
            (e for e in group.entries if self._is_open(e)), group.entries[0]
        )
        self._actions.append(Read(op_id=self._reading, key=entry.key))

    def _next_entries(self, now: float) -> list[_Entry]:
        # A group with a conflict is resubmitted without new rows: repeats of
        # used keys could otherwise make every transaction fail.
        if self._retry:
            entries = self._retry
            self._retry = []
            return entries
        rows = self._limits.group_rows
        share = rows
        if self._waiting:
            share = rows // 2
            if rows == 1 and self._records_first:
                share = 1
        self._records_first = not self._records_first
        taken: dict[str, _Entry] = {}
        self._take_records(taken, share)
        self._take_claims(taken, rows, now)
        self._take_records(taken, rows)
        return list(taken.values())

    def _take_records(self, taken: dict[str, _Entry], limit: int) -> None:
        for record in self._records.values():
            if len(taken) >= limit:
                return
            taken.setdefault(record.key, record)

    def _take_claims(
        self, taken: dict[str, _Entry], limit: int, now: float
    ) -> None:
        skipped = []
        # A claim that the table cannot settle in time would need a release.
        settled_at = now + self._duration_s
        while self._waiting and len(taken) < limit:
            claim = self._waiting.popleft()
            if not self._is_open(claim):
                continue
            if claim.answer_by <= settled_at:
                self._abandon(claim, now)
            elif claim.key in taken:
                skipped.append(claim)
            else:
                taken[claim.key] = claim
        self._waiting.extendleft(reversed(skipped))

    def _transact(self, entries: list[_Entry]) -> None:
        self._tokens -= len(entries) if self._limits.charge_rows else 1.0
        op_id = next(self._op_ids)
        group = _Group(
            op_id=op_id,
            write_id=f"{self._writer_id}-{op_id}",
            entries=entries,
        )
        self._in_flight = group
        transaction = platform.Transaction(
            operations=tuple(self._operation(e, group) for e in entries)
        )
        self._actions.append(Transact(op_id=op_id, transaction=transaction))

    def _operation(self, entry: _Entry, group: _Group) -> platform.Operation:
        retention_s = self._limits.retention_s
        if isinstance(entry, _Claim):
            # A row must outlive its claim, however short the retention is.
            retention_s = max(
                retention_s,
                entry.request.deadline_ms / 1000 + 2 * self._limits.grace_s,
            )
        return platform.Operation(
            key=entry.key,
            condition=entry.condition,
            write=platform.Put(
                value=claims.encode(entry.row(group.write_id)),
                ttl_s=retention_s,
            ),
        )

    # Replies of the table.

    def _take_reply(self, event: Transacted, now: float) -> None:
        group = self._in_flight
        if group is None or group.op_id != event.op_id:
            return
        match event.reply:
            case platform.Committed(version=version):
                self._in_flight = None
                self._failures = 0
                self._note_duration(now)
                self._take_commit(group, version, now)
            case platform.Rejected(conflicts=conflicts):
                by_key = {c.key: c for c in conflicts}
                if not any(e.key in by_key for e in group.entries):
                    # Such a reply says nothing about the rows.
                    self._take_silence(event.op_id, now)
                    return
                self._in_flight = None
                self._failures = 0
                self._take_conflicts(group, by_key, now)

    def _note_duration(self, now: float) -> None:
        last_s = now - self._sent_at
        self._duration_s += _DURATION_WEIGHT * (last_s - self._duration_s)

    def _take_commit(self, group: _Group, version: int, now: float) -> None:
        for entry in group.entries:
            if isinstance(entry, _Record):
                self._finish_record(entry)
            elif self._is_open(entry):
                self._grant(entry, version, now)
            else:
                self._adjust_release(entry, version)

    def _adjust_release(self, claim: _Claim, version: int) -> None:
        """Notes the version of the row of a claim that was given up."""
        record = self._records.get(claim.attempt_id)
        if record is not None:
            record.condition = platform.VersionIs(version=version)

    def _take_conflicts(
        self,
        group: _Group,
        by_key: dict[str, platform.Conflict],
        now: float,
    ) -> None:
        for entry in group.entries:
            conflict = by_key.get(entry.key)
            if conflict is None:
                again = True
            elif isinstance(entry, _Record):
                again = self._resolve_record(entry, conflict.row)
            else:
                again = self._resolve_claim(entry, conflict.row, now)
            if again and self._is_open(entry):
                self._retry.append(entry)

    def _resolve_claim(
        self, claim: _Claim, row: platform.Row | None, now: float
    ) -> bool:
        """Answers a claim from the row; returns True to send it again."""
        if not self._is_open(claim):
            return False
        if row is None:
            claim.condition = platform.Absent()
            return True
        value = claims.decode(row.value)
        standing = claims.standing(
            row=value,
            attempt_id=claim.attempt_id,
            digest=claim.request.digest,
            now_ms=self._wall_clock_ms(),
            grace_ms=int(self._limits.grace_s * 1000),
        )
        match standing:
            case claims.Standing.FREE:
                claim.condition = platform.VersionIs(version=row.version)
                return True
            case claims.Standing.OWN:
                self._grant(claim, row.version, now)
            case claims.Standing.OWN_RELEASED:
                self._answer(claim, claim.last_resort)
            case claims.Standing.ANSWERED:
                self._replay(claim, value)
            case claims.Standing.OTHER_DIGEST:
                self._answer(claim, agent.KeyReused())
            case claims.Standing.RUNNING:
                reply = agent.InProgress(retry_after_s=_RETRY_AFTER_S)
                self._answer(claim, reply)
            case claims.Standing.UNKNOWN:
                self._answer(claim, agent.OutcomeUnknown())
        return False

    def _replay(self, claim: _Claim, row: claims.ClaimRow) -> None:
        answer = row.answer
        if answer.object_key is None:
            self._answer(claim, _replay_reply(answer, answer.body))
            return
        # The row of the finished write keeps any insert of this claim out.
        claim.unsettled = False
        claim.last_resort = agent.OutcomeUnknown()
        op_id = next(self._op_ids)
        self._fetching[op_id] = (claim, answer)
        self._actions.append(ReadObject(op_id=op_id, key=answer.object_key))

    def _take_object(self, event: ObjectRead) -> None:
        claim, answer = self._fetching.pop(event.op_id, (None, None))
        if claim is None or not self._is_open(claim):
            return
        reply = claim.last_resort
        if event.data is not None:
            reply = _replay_reply(answer, event.data)
        self._answer(claim, reply)

    def _resolve_record(
        self, record: _Record, row: platform.Row | None
    ) -> bool:
        """Returns True where the record must be sent again."""
        if row is None:
            record.condition = platform.Absent()
            return True
        value = claims.decode(row.value)
        own = value is not None and value.attempt_id == record.attempt_id
        # An insert of this attempt may still be under way with the version of
        # a row that another attempt released, so that row is replaced too.
        replaceable = value is not None and (
            (own and value.state is claims.ClaimState.CLAIMED)
            or (
                not own
                and record.state is claims.ClaimState.RELEASED
                and value.state is claims.ClaimState.RELEASED
            )
        )
        if replaceable:
            record.condition = platform.VersionIs(version=row.version)
            return True
        written = own and value.state is record.state
        # Where no gateway reported "not run", the release belongs to a late
        # repeat of a claim, and the attempt may have ended in another way.
        moot = record.state is claims.ClaimState.RELEASED and not (
            own and record.askers
        )
        if not written and not moot:
            self._actions.append(
                Contradiction(
                    key=record.key,
                    attempt_id=record.attempt_id,
                    state=record.state,
                )
            )
        self._finish_record(record)
        return False

    def _take_silence(self, op_id: int, now: float) -> None:
        group = self._in_flight
        if group is not None and group.op_id == op_id:
            self._in_flight = None
            self._unsettled = group
            for entry in group.entries:
                if isinstance(entry, _Claim):
                    entry.unsettled = True
        elif self._reading == op_id:
            self._reading = None
        else:
            return
        self._failures += 1
        if self._failures < _DOWN_FAILURES:
            return
        backoff_s = min(
            _MAX_BACKOFF_S,
            _FIRST_BACKOFF_S * 2 ** min(10, self._failures - _DOWN_FAILURES),
        )
        self._not_before = now + backoff_s * self._rng.uniform(0.5, 1.0)

    def _take_row(self, event: RowRead, now: float) -> None:
        group = self._unsettled
        if group is None or self._reading != event.op_id:
            return
        self._reading = None
        self._unsettled = None
        self._failures = 0
        row = event.row
        value = None if row is None else claims.decode(row.value)
        if value is not None and value.write_id == group.write_id:
            # Transactions are atomic, so one row speaks for all.
            self._take_commit(group, row.version, now)
            return
        # The read may be stale, or the transaction still under way: it is
        # sent again, and its conflicts show the attempt ids.
        self._retry = [e for e in group.entries if self._is_open(e)]


_STATES = {
    agent.Finished: claims.ClaimState.FINISHED,
    agent.NotRun: claims.ClaimState.RELEASED,
    agent.Unknown: claims.ClaimState.UNKNOWN,
}


def _late_reply(record: _Record) -> agent.ClaimReply:
    """Returns the reply to a claim that is repeated after its completion."""
    if record.state is claims.ClaimState.RELEASED:
        return agent.StoreUnavailable(retry_after_s=_RETRY_AFTER_S)
    return agent.OutcomeUnknown()


def _replay_reply(answer: claims.StoredAnswer, body: bytes) -> agent.Replay:
    return agent.Replay(status=answer.status, headers=answer.headers, body=body)
