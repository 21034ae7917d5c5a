"""Group commit: chooses the rows and the time of the next transaction."""

import collections
from collections.abc import Callable, Iterator, Mapping

from tanagerspoke.coordination import claim_entries
from tanagerspoke.coordination import claim_events
from tanagerspoke.coordination import claim_limits
from tanagerspoke.coordination import claim_pacing
from tanagerspoke.protocol import platform


class GroupCommit:
    """Sends one transaction at a time with the entries queued so far.

    Args:
        writer_id: unique to this process; the prefix of its write ids.
        records: records that may be sent, the oldest first.
        op_ids: ids of operations, shared with the rest of the protocol.
        emit: called with each action.
        is_open: returns whether an entry still needs a transaction.
        abandon: called with a claim that cannot be decided in time.
        make_operation: returns the operation of an entry in a group.

    Attributes:
        in_flight: the transaction that waits for its reply.
        unanswered: the transaction that got no reply; one of its rows is
            read to learn whether it was committed.
        to_resubmit: entries of the last group that are sent again, without
            new ones.
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
        make_operation: Callable[
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
        self._make_operation = make_operation
        self._queue: collections.deque[claim_entries.Claim] = (
            collections.deque()
        )
        self._read_op_id: int | None = None
        self._records_first = False
        self.in_flight: claim_entries.Group | None = None
        self.unanswered: claim_entries.Group | None = None
        self.to_resubmit: list[claim_entries.Entry] = []

    @property
    def queue_length(self) -> int:
        """Number of queued claims, including some that got their reply."""
        return len(self._queue)

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next operation; None while one is in flight."""
        return None if self._is_busy() else self._send_at()

    def add(self, claim: claim_entries.Claim) -> None:
        """Adds a claim to the queue."""
        self._queue.append(claim)

    def is_in_flight(self, entry: claim_entries.Entry) -> bool:
        """Returns whether the transaction in flight contains the entry."""
        group = self.in_flight
        return group is not None and any(e is entry for e in group.entries)

    def send(self, now: float) -> None:
        """Emits the next read or transaction if it is due."""
        if self._is_busy():
            return
        self._drop_closed()
        send_at = self._send_at()
        if send_at is None or send_at > now:
            return
        if self.unanswered is not None:
            self._read_back(self.unanswered)
            return
        entries = self._next_entries(now)
        if entries:
            self._transact(entries, now)

    def handle_unanswered(self, op_id: int) -> bool:
        """Records an operation without a reply.

        Returns False if the operation is not the current one.
        """
        group = self.in_flight
        if group is not None and group.op_id == op_id:
            self.in_flight = None
            self.unanswered = group
            for entry in group.entries:
                if isinstance(entry, claim_entries.Claim):
                    entry.may_be_written = True
            return True
        if self._read_op_id == op_id:
            self._read_op_id = None
            return True
        return False

    def finish_read_back(self, op_id: int) -> claim_entries.Group | None:
        """Ends the read-back and returns the group that it concerns.

        Returns None if the operation is not the current read.
        """
        group = self.unanswered
        if group is None or self._read_op_id != op_id:
            return None
        self._read_op_id = None
        self.unanswered = None
        return group

    def _is_busy(self) -> bool:
        return self.in_flight is not None or self._read_op_id is not None

    def _send_at(self) -> float | None:
        """Returns when the next operation may be sent; None if none waits."""
        if self.unanswered is not None:
            return self._pacing.not_before
        due_at = self._due_at()
        return None if due_at is None else self._pacing.send_at(due_at)

    def _due_at(self) -> float | None:
        """Returns when the next transaction is due, ignoring the rate limit."""
        if self.to_resubmit or self._queue:
            return 0.0
        if len(self._records) >= self._limits.group_rows:
            return 0.0
        for record in self._records.values():
            return record.linger_until
        return None

    def _drop_closed(self) -> None:
        self.to_resubmit = [e for e in self.to_resubmit if self._is_open(e)]
        while self._queue and not self._is_open(self._queue[0]):
            self._queue.popleft()

    def _read_back(self, group: claim_entries.Group) -> None:
        self._read_op_id = next(self._op_ids)
        entry = next(
            (e for e in group.entries if self._is_open(e)), group.entries[0]
        )
        self._emit(claim_events.ReadRow(op_id=self._read_op_id, key=entry.key))

    def _next_entries(self, now: float) -> list[claim_entries.Entry]:
        # A group with a conflict is resubmitted without new rows. Otherwise
        # a stream of claims on used keys could make every transaction fail.
        if self.to_resubmit:
            entries = self.to_resubmit
            self.to_resubmit = []
            return entries
        # While claims wait, records first get up to half of the rows, or every
        # other group if groups hold one row. Then claims are added, and records
        # fill the remaining rows.
        max_rows = self._limits.group_rows
        record_limit = max_rows
        if self._queue:
            record_limit = max_rows // 2
            if max_rows == 1 and self._records_first:
                record_limit = 1
        self._records_first = not self._records_first
        chosen: dict[str, claim_entries.Entry] = {}
        self._add_records(chosen, record_limit)
        self._add_claims(chosen, max_rows, now)
        self._add_records(chosen, max_rows)
        return list(chosen.values())

    def _add_records(
        self, chosen: dict[str, claim_entries.Entry], limit: int
    ) -> None:
        for record in self._records.values():
            if len(chosen) >= limit:
                return
            chosen.setdefault(record.key, record)

    def _add_claims(
        self, chosen: dict[str, claim_entries.Entry], limit: int, now: float
    ) -> None:
        skipped = []
        # A claim whose reply would come too late is left out, because its row
        # would need a release afterwards.
        expected_reply_at = now + self._pacing.mean_duration_s
        while self._queue and len(chosen) < limit:
            claim = self._queue.popleft()
            if not self._is_open(claim):
                continue
            if claim.reply_by <= expected_reply_at:
                self._abandon(claim, now)
            elif claim.key in chosen:
                skipped.append(claim)
            else:
                chosen[claim.key] = claim
        self._queue.extendleft(reversed(skipped))

    def _transact(self, entries: list[claim_entries.Entry], now: float) -> None:
        self._pacing.record_sent(rows=len(entries), now=now)
        op_id = next(self._op_ids)
        group = claim_entries.Group(
            op_id=op_id,
            write_id=f"{self._writer_id}-{op_id}",
            entries=entries,
        )
        self.in_flight = group
        transaction = platform.Transaction(
            operations=tuple(self._make_operation(e, group) for e in entries)
        )
        self._emit(claim_events.Transact(op_id=op_id, transaction=transaction))
