"""Claim protocol for at-most-once writes, with group commit.

A claim is a row that a conditional transaction inserts into the table. Only
one transaction is in flight at a time; the next one contains the rows that
were queued in the meantime (group commit, Gawlick and Kinkade 1985). Only the
condition of a transaction decides whether a claim is granted: reads may be
stale, so they can confirm a claim but never rule one out.
"""

from collections.abc import Callable, Iterable
import heapq
import itertools

from tanagerspoke.coordination import claim_entries
from tanagerspoke.coordination import claim_events
from tanagerspoke.coordination import claim_groups
from tanagerspoke.coordination import claim_limits
from tanagerspoke.coordination import claim_pacing
from tanagerspoke.coordination import claim_records
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import randomness
from tanagerspoke.state import claims

# Share of `reply_within_s` that a claim may spend in the queue. Without this
# bound the queue of an overloaded agent holds only claims that are about to
# time out, and the releases of those use up the capacity for other claims.
_MAX_QUEUE_SHARE = 0.5


class ClaimProtocol:
    """State machine that decides what the agent writes to the table and when.

    Args:
        writer_id: unique to this process; the prefix of its write ids.
        wall_clock_ms: returns milliseconds since the epoch.
    """

    def __init__(
        self,
        *,
        limits: claim_limits.Limits,
        writer_id: str,
        wall_clock_ms: Callable[[], int],
        rng: randomness.Random,
    ) -> None:
        self._limits = limits
        self._wall_clock_ms = wall_clock_ms
        self._op_ids = itertools.count(1)
        self._claims: dict[str, claim_entries.Claim] = {}
        self._object_reads: dict[
            int, tuple[claim_entries.Claim, claims.StoredResponse]
        ] = {}
        self._grants: dict[str, claim_entries.Grant] = {}
        self._final_replies: dict[str, agent.ClaimReply] = {}
        self._timers: list[tuple[float, str]] = []
        self._actions: list[claim_events.Action] = []
        self._pacing = claim_pacing.Pacing(limits=limits, rng=rng)
        self._records = claim_records.Records(
            limits=limits,
            op_ids=self._op_ids,
            emit=self._emit,
            on_finished=self._remember_record,
        )
        self._groups = claim_groups.GroupCommit(
            limits=limits,
            writer_id=writer_id,
            pacing=self._pacing,
            records=self._records.ready,
            op_ids=self._op_ids,
            emit=self._emit,
            is_open=self._is_open,
            abandon=self._abandon,
            make_operation=self._make_operation,
        )

    @property
    def next_wakeup(self) -> float | None:
        """Time at which the next `Tick` is needed, or None."""
        times = [self._timers[0][0]] if self._timers else []
        send_at = self._groups.next_wakeup
        if send_at is not None:
            times.append(send_at)
        return min(times, default=None)

    @property
    def unwritten(self) -> int:
        """Number of records not yet written to the table."""
        return len(self._records.unwritten)

    def handle(
        self, *, event: claim_events.Event, now: float
    ) -> list[claim_events.Action]:
        """Applies an event and returns the resulting actions."""
        self._pacing.refill(now)
        match event:
            case claim_events.ClaimRequested():
                self._handle_claim(event, now)
            case claim_events.ClaimRequestCancelled():
                self._cancel_request(event, now)
            case claim_events.CompletionRequested():
                self._complete(event, now)
            case claim_events.TransactionReplied():
                self._handle_transaction_reply(event, now)
            case claim_events.RowRead():
                self._handle_row(event, now)
            case claim_events.OperationUnanswered():
                self._handle_unanswered(event.op_id, now)
            case claim_events.StoreObjectDone():
                self._records.handle_object_stored(event)
            case claim_events.ReadObjectDone():
                self._handle_object(event)
        self._expire_due(now)
        self._groups.send(now)
        actions = self._actions
        self._actions = []
        return actions

    def _emit(self, action: claim_events.Action) -> None:
        self._actions.append(action)

    # Claims.

    def _handle_claim(
        self, event: claim_events.ClaimRequested, now: float
    ) -> None:
        request = event.claim
        claim = self._claims.get(request.attempt_id)
        if claim is not None:
            claim.request_ids.append(event.request_id)
            return
        reply = self._remembered_reply(request.attempt_id, now)
        if reply is None and self._refuses_claims():
            reply = agent.StoreUnavailable(
                retry_after_s=claim_entries.RETRY_AFTER_S
            )
            self._remember_reply(request.attempt_id, reply)
        if reply is None:
            self._start_claim(event, now)
        else:
            self._send_reply([event.request_id], reply)

    def _remembered_reply(
        self, attempt_id: str, now: float
    ) -> agent.ClaimReply | None:
        """Returns the reply to an attempt that already got one, or None."""
        record = self._records.unwritten.get(attempt_id)
        if record is not None:
            return claim_entries.reply_after_completion(record)
        grant = self._grants.get(attempt_id)
        if grant is not None and now < grant.expires_at:
            return agent.Granted()
        return self._final_replies.get(attempt_id)

    def _remember_reply(self, attempt_id: str, reply: agent.ClaimReply) -> None:
        """Stores a final reply; drops the oldest one above the limit."""
        self._final_replies[attempt_id] = reply
        if len(self._final_replies) > self._limits.max_entries:
            del self._final_replies[next(iter(self._final_replies))]

    def _remember_record(self, record: claim_entries.Record) -> None:
        reply = claim_entries.reply_after_completion(record)
        self._remember_reply(record.attempt_id, reply)

    def _refuses_claims(self) -> bool:
        """Returns whether new claims are refused without a transaction."""
        if self._pacing.is_down:
            return True
        entries = len(self._claims) + len(self._grants) + self.unwritten
        if entries >= self._limits.max_entries:
            return True
        max_wait_s = _MAX_QUEUE_SHARE * self._limits.reply_within_s
        return self._pacing.queue_wait_s(self._groups.queue_length) > max_wait_s

    def _start_claim(
        self, event: claim_events.ClaimRequested, now: float
    ) -> None:
        request = event.claim
        deadline = now + request.deadline_ms / 1000
        claim = claim_entries.Claim(
            key=claims.claim_row_key(
                client_account=request.client_account,
                service=request.service,
                key=request.key,
            ),
            request=request,
            deadline=deadline,
            reply_by=min(deadline, now + self._limits.reply_within_s),
            deadline_at_ms=self._wall_clock_ms() + request.deadline_ms,
            request_ids=[event.request_id],
        )
        self._claims[claim.attempt_id] = claim
        self._groups.add(claim)
        heapq.heappush(self._timers, (claim.reply_by, claim.attempt_id))

    def _cancel_request(
        self, event: claim_events.ClaimRequestCancelled, now: float
    ) -> None:
        claim = self._claims.get(event.attempt_id)
        if claim is None or event.request_id not in claim.request_ids:
            return
        claim.request_ids.remove(event.request_id)
        if not claim.request_ids:
            self._abandon(claim, now)

    def _abandon(self, claim: claim_entries.Claim, now: float) -> None:
        """Ends an undecided claim; releases it if its row may be written."""
        self._finish_claim(claim, claim.fallback_reply)
        if claim.may_be_written or self._groups.is_in_flight(claim):
            self._records.release(claim, claim.condition, now)

    def _finish_claim(
        self, claim: claim_entries.Claim, reply: agent.ClaimReply
    ) -> None:
        del self._claims[claim.attempt_id]
        self._send_reply(claim.request_ids, reply)
        # A grant is kept in `_grants` with the version of its row, and a
        # replay can be read again from the finished row.
        if not isinstance(reply, agent.Granted | agent.Replay):
            self._remember_reply(claim.attempt_id, reply)

    def _grant(
        self, claim: claim_entries.Claim, version: int, now: float
    ) -> None:
        if now >= claim.deadline:
            self._finish_claim(claim, claim.fallback_reply)
            condition = platform.VersionIs(version=version)
            self._records.release(claim, condition, now)
            return
        self._finish_claim(claim, agent.Granted())
        expires_at = claim.deadline + self._limits.grace_s
        self._grants[claim.attempt_id] = claim_entries.Grant(
            version=version, expires_at=expires_at
        )
        heapq.heappush(self._timers, (expires_at, claim.attempt_id))

    def _send_reply(
        self, request_ids: Iterable[int], reply: agent.ClaimReply
    ) -> None:
        for request_id in request_ids:
            self._actions.append(
                claim_events.Reply(request_id=request_id, reply=reply)
            )

    def _expire_due(self, now: float) -> None:
        """Abandons claims and drops grants whose time has passed."""
        while self._timers and self._timers[0][0] <= now:
            _, attempt_id = heapq.heappop(self._timers)
            claim = self._claims.get(attempt_id)
            if claim is not None and claim.reply_by <= now:
                self._abandon(claim, now)
            grant = self._grants.get(attempt_id)
            if grant is not None and grant.expires_at <= now:
                del self._grants[attempt_id]

    def _is_open(self, entry: claim_entries.Entry) -> bool:
        """Returns whether the entry still needs a transaction."""
        if isinstance(entry, claim_entries.Claim):
            return self._claims.get(entry.attempt_id) is entry
        return self._records.ready.get(entry.attempt_id) is entry

    # Completions.

    def _complete(
        self, event: claim_events.CompletionRequested, now: float
    ) -> None:
        completion = event.completion
        attempt_id = completion.attempt_id
        existing = self._records.unwritten.get(attempt_id)
        if existing is not None:
            existing.request_ids.append(event.request_id)
            return
        claim = self._claims.get(attempt_id)
        grant = self._grants.pop(attempt_id, None)
        condition: platform.Condition = platform.Absent()
        if claim is not None:
            condition = claim.condition
            self._finish_claim(claim, claim.fallback_reply)
        elif grant is not None:
            condition = platform.VersionIs(version=grant.version)
        elif self.unwritten >= self._limits.max_entries:
            self._actions.append(
                claim_events.ReplyToCompletion(
                    request_id=event.request_id, accepted=False
                )
            )
            return
        self._records.add(event, condition, now)

    # Transactions and their replies.

    def _make_operation(
        self, entry: claim_entries.Entry, group: claim_entries.Group
    ) -> platform.Operation:
        retention_s = self._limits.retention_s
        if isinstance(entry, claim_entries.Claim):
            # The row must outlive its claim even if the retention time is
            # shorter than the deadline.
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

    def _handle_transaction_reply(
        self, event: claim_events.TransactionReplied, now: float
    ) -> None:
        group = self._groups.in_flight
        if group is None or group.op_id != event.op_id:
            return
        match event.reply:
            case platform.Committed(version=version):
                self._groups.in_flight = None
                self._pacing.record_reply()
                self._pacing.record_commit(now)
                self._apply_commit(group, version, now)
            case platform.Rejected(conflicts=conflicts):
                by_key = {c.key: c for c in conflicts}
                if not any(e.key in by_key for e in group.entries):
                    # None of the conflicts concerns a row of the group, so
                    # the reply does not say what happened to the rows.
                    self._handle_unanswered(event.op_id, now)
                    return
                self._groups.in_flight = None
                self._pacing.record_reply()
                self._apply_conflicts(group, by_key, now)

    def _apply_commit(
        self, group: claim_entries.Group, version: int, now: float
    ) -> None:
        for entry in group.entries:
            if isinstance(entry, claim_entries.Record):
                self._records.finish(entry)
            elif self._is_open(entry):
                self._grant(entry, version, now)
            else:
                self._records.set_release_version(entry, version)

    def _apply_conflicts(
        self,
        group: claim_entries.Group,
        by_key: dict[str, platform.Conflict],
        now: float,
    ) -> None:
        for entry in group.entries:
            conflict = by_key.get(entry.key)
            if conflict is None:
                resend = True
            elif isinstance(entry, claim_entries.Record):
                resend = self._records.resolve(entry, conflict.row)
            else:
                resend = self._resolve_claim(entry, conflict.row, now)
            if resend and self._is_open(entry):
                self._groups.to_resubmit.append(entry)

    def _resolve_claim(
        self, claim: claim_entries.Claim, row: platform.Row | None, now: float
    ) -> bool:
        """Replies according to the row; returns True to resend the claim."""
        if not self._is_open(claim):
            return False
        if row is None:
            claim.condition = platform.Absent()
            return True
        value = claims.decode(row.value)
        status = claims.key_status(
            row=value,
            attempt_id=claim.attempt_id,
            digest=claim.request.digest,
            now_ms=self._wall_clock_ms(),
            grace_ms=int(self._limits.grace_s * 1000),
        )
        match status:
            case claims.KeyStatus.FREE:
                claim.condition = platform.VersionIs(version=row.version)
                return True
            case claims.KeyStatus.OWN_CLAIM:
                self._grant(claim, row.version, now)
            case claims.KeyStatus.OWN_RELEASED:
                self._finish_claim(claim, claim.fallback_reply)
            case claims.KeyStatus.FINISHED:
                self._replay(claim, value)
            case claims.KeyStatus.OTHER_REQUEST:
                self._finish_claim(claim, agent.KeyReused())
            case claims.KeyStatus.RUNNING:
                reply = agent.InProgress(
                    retry_after_s=claim_entries.RETRY_AFTER_S
                )
                self._finish_claim(claim, reply)
            case claims.KeyStatus.OUTCOME_UNKNOWN:
                self._finish_claim(claim, agent.OutcomeUnknown())
        return False

    def _replay(self, claim: claim_entries.Claim, row: claims.ClaimRow) -> None:
        stored = row.answer
        if stored.object_key is None:
            self._finish_claim(claim, _replay_reply(stored, stored.body))
            return
        # The row of the finished write makes every insert of this claim fail,
        # so no release is needed.
        claim.may_be_written = False
        claim.fallback_reply = agent.OutcomeUnknown()
        op_id = next(self._op_ids)
        self._object_reads[op_id] = (claim, stored)
        self._actions.append(
            claim_events.ReadObject(op_id=op_id, key=stored.object_key)
        )

    def _handle_object(self, event: claim_events.ReadObjectDone) -> None:
        claim, stored = self._object_reads.pop(event.op_id, (None, None))
        if claim is None or not self._is_open(claim):
            return
        reply = claim.fallback_reply
        if event.data is not None:
            reply = _replay_reply(stored, event.data)
        self._finish_claim(claim, reply)

    def _handle_unanswered(self, op_id: int, now: float) -> None:
        if self._groups.handle_unanswered(op_id):
            self._pacing.record_unanswered(now)

    def _handle_row(self, event: claim_events.RowRead, now: float) -> None:
        group = self._groups.finish_read_back(event.op_id)
        if group is None:
            return
        self._pacing.record_reply()
        row = event.row
        value = None if row is None else claims.decode(row.value)
        if value is not None and value.write_id == group.write_id:
            # Transactions are atomic: if one row was written, all were.
            self._apply_commit(group, row.version, now)
            return
        # The read may be stale, or the transaction may still be executed
        # later. The entries are sent again; if the first transaction took
        # effect, the conflicts return its rows with their attempt ids.
        self._groups.to_resubmit = [
            e for e in group.entries if self._is_open(e)
        ]


def _replay_reply(stored: claims.StoredResponse, body: bytes) -> agent.Replay:
    return agent.Replay(status=stored.status, headers=stored.headers, body=body)
