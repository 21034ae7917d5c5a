"""Group commit: which rows the next transaction takes, and when."""

import collections
from collections.abc import Callable, Iterator, Mapping

from tanagerspoke.coordination import claim_entries
from tanagerspoke.coordination import claim_events
from tanagerspoke.coordination import claim_limits
from tanagerspoke.coordination import claim_pacing
from tanagerspoke.protocol import platform


class GroupCommit:
    """Has one transaction in flight; the next takes what gathered meanwhile.

    Args:
        writer_id: unique for this process; part of the write ids.
        records: records that may be sent, the oldest first.
        op_ids: ids of operations, shared with the rest of the protocol.
        emit: takes an action.
        is_open: whether a claim or record still needs a transaction.
        abandon: answers a claim that cannot be settled in time.
        operation: returns the operation of an entry in a group.

    Attributes:
        in_flight: the transaction that waits for its answer.
        unsettled: the transaction that got no answer and is read back.
        retry: entries of the last group that are sent again, on their own.
    """

    def __init__(
        self,
        *,
        limits: claim_limits.Limits,
        writer_id: str,
        pacing: claim_pacing.Pacing,
        records: Mapping[str, claim_entries.Record],
        op_ids: Iterator[int],
        emit: Callable[[claim_events.Action], None],
        is_open: Callable[[claim_entries.Entry], bool],
        abandon: Callable[[claim_entries.Claim, float], None],
        operation: Callable[
            [claim_entries.Entry, claim_entries.Group], platform.Operation
        ],
    ) -> None:
        self._limits = limits
        self._writer_id = writer_id
        self._pacing = pacing
        self._records = records
        self._op_ids = op_ids
        self._emit = emit
        self._is_open = is_open
        self._abandon = abandon
        self._operation = operation
        self._waiting: collections.deque[claim_entries.Claim] = (
            collections.deque()
        )
        self._reading: int | None = None
        self._records_first = False
        self.in_flight: claim_entries.Group | None = None
        self.unsettled: claim_entries.Group | None = None
        self.retry: list[claim_entries.Entry] = []

    @property
    def waiting(self) -> int:
        """Number of claims in the queue, answered ones included."""
        return len(self._waiting)

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next operation; None while one is under way."""
        return None if self._is_busy() else self._send_at()

    def add(self, claim: claim_entries.Claim) -> None:
        """Queues a claim."""
        self._waiting.append(claim)

    def has_in_flight(self, entry: claim_entries.Entry) -> bool:
        """Returns whether the transaction in flight has the entry."""
        group = self.in_flight
        return group is not None and any(e is entry for e in group.entries)

    def send(self, now: float) -> None:
        """Sends the next read or transaction if one is due."""
        if self._is_busy():
            return
        self._drop_answered()
        send_at = self._send_at()
        if send_at is None or send_at > now:
            return
        if self.unsettled is not None:
            self._read_back(self.unsettled)
            return
        entries = self._next_entries(now)
        if entries:
            self._transact(entries, now)

    def take_silence(self, op_id: int) -> bool:
        """Notes an operation without an answer; returns whether it counts."""
        group = self.in_flight
        if group is not None and group.op_id == op_id:
            self.in_flight = None
            self.unsettled = group
            for entry in group.entries:
                if isinstance(entry, claim_entries.Claim):
                    entry.unsettled = True
            return True
        if self._reading == op_id:
            self._reading = None
            return True
        return False

    def take_read(self, op_id: int) -> claim_entries.Group | None:
        """Returns the group that was read back, which is settled now."""
        group = self.unsettled
        if group is None or self._reading != op_id:
            return None
        self._reading = None
        self.unsettled = None
        return group

    def _is_busy(self) -> bool:
        return self.in_flight is not None or self._reading is not None

    def _send_at(self) -> float | None:
        """Returns when the next operation may be sent, if one is wanted."""
        if self.unsettled is not None:
            return self._pacing.not_before
        wanted = self._wanted_at()
        return None if wanted is None else self._pacing.send_at(wanted)

    def _wanted_at(self) -> float | None:
        if self.retry or self._waiting:
            return 0.0
        if len(self._records) >= self._limits.group_rows:
            return 0.0
        for record in self._records.values():
            return record.ready_at
        return None

    def _drop_answered(self) -> None:
        self.retry = [e for e in self.retry if self._is_open(e)]
        while self._waiting and not self._is_open(self._waiting[0]):
            self._waiting.popleft()

    def _read_back(self, group: claim_entries.Group) -> None:
        self._reading = next(self._op_ids)
        entry = next(
            (e for e in group.entries if self._is_open(e)), group.entries[0]
        )
        self._emit(claim_events.Read(op_id=self._reading, key=entry.key))

    def _next_entries(self, now: float) -> list[claim_entries.Entry]:
        # A group with a conflict is resubmitted without new rows: repeats of
        # used keys could otherwise make every transaction fail.
        if self.retry:
            entries = self.retry
            self.retry = []
            return entries
        rows = self._limits.group_rows
        share = rows
        if self._waiting:
            share = rows // 2
            if rows == 1 and self._records_first:
                share = 1
        self._records_first = not self._records_first
        taken: dict[str, claim_entries.Entry] = {}
        self._take_records(taken, share)
        self._take_claims(taken, rows, now)
        self._take_records(taken, rows)
        return list(taken.values())

    def _take_records(
        self, taken: dict[str, claim_entries.Entry], limit: int
    ) -> None:
        for record in self._records.values():
            if len(taken) >= limit:
                return
            taken.setdefault(record.key, record)

    def _take_claims(
        self, taken: dict[str, claim_entries.Entry], limit: int, now: float
    ) -> None:
        skipped = []
        # A claim that the table cannot settle in time would need a release.
        settled_at = now + self._pacing.duration_s
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

    def _transact(self, entries: list[claim_entries.Entry], now: float) -> None:
        self._pacing.note_sent(rows=len(entries), now=now)
        op_id = next(self._op_ids)
        group = claim_entries.Group(
            op_id=op_id,
            write_id=f"{self._writer_id}-{op_id}",
            entries=entries,
        )
        self.in_flight = group
        transaction = platform.Transaction(
            operations=tuple(self._operation(e, group) for e in entries)
        )
        self._emit(claim_events.Transact(op_id=op_id, transaction=transaction))
