"""Records of releases and results that are not yet in the table."""

from collections.abc import Callable, Iterator

from tanagerspoke.coordination import claim_entries
from tanagerspoke.coordination import claim_events
from tanagerspoke.coordination import claim_limits
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.state import claims

# With larger bodies a group of 64 rows would not fit into one request, so they
# go to the object store.
_MAX_INLINE_RESPONSE_BYTES = 8192
# A record waits this long for claims that can share its transaction.
_RECORD_LINGER_S = 0.02

_STATE_BY_RESULT = {
    agent.Finished: claims.ClaimState.FINISHED,
    agent.NotRun: claims.ClaimState.RELEASED,
    agent.Unknown: claims.ClaimState.UNKNOWN,
}


class Records:
    """Keeps records until they are in the table and resolves their conflicts.

    Args:
        op_ids: ids of operations, shared with the rest of the protocol.
        emit: called with each action.
        on_finished: called with each record that needs no further
            transaction.

    Attributes:
        unwritten: all records by attempt id.
        ready: records that may be sent by attempt id, the oldest first; the
            others wait for the object store.
    """

    def __init__(
        self,
        *,
        limits: claim_limits.Limits,
        op_ids: Iterator[int],
        emit: Callable[[claim_events.Action], None],
        on_finished: Callable[[claim_entries.Record], None],
    ) -> None:
        self._limits = limits
        self._op_ids = op_ids
        self._emit = emit
        self._on_finished = on_finished
        self._object_puts: dict[int, claim_entries.Record] = {}
        self._response_bytes = 0
        self.unwritten: dict[str, claim_entries.Record] = {}
        self.ready: dict[str, claim_entries.Record] = {}

    def release(
        self,
        claim: claim_entries.Claim,
        condition: platform.Condition,
        now: float,
    ) -> None:
        """Queues the release of a claim that was abandoned."""
        if claim.attempt_id in self.unwritten:
            return
        record = claim_entries.Record(
            key=claim.key,
            attempt_id=claim.attempt_id,
            digest=claim.request.digest,
            state=claims.ClaimState.RELEASED,
            response=None,
            condition=condition,
            linger_until=now + _RECORD_LINGER_S,
            request_ids=[],
        )
        self.unwritten[record.attempt_id] = record
        self.ready[record.attempt_id] = record

    def add(
        self,
        event: claim_events.CompletionRequested,
        condition: platform.Condition,
        now: float,
    ) -> None:
        """Queues the record of a completion."""
        completion = event.completion
        record = claim_entries.Record(
            key=claims.claim_row_key(
                client_account=completion.client_account,
                service=completion.service,
                key=completion.key,
            ),
            attempt_id=completion.attempt_id,
            digest=completion.digest,
            state=_STATE_BY_RESULT[type(completion.result)],
            response=None,
            condition=condition,
            linger_until=now + _RECORD_LINGER_S,
            request_ids=[event.request_id],
        )
        self.unwritten[record.attempt_id] = record
        result = completion.result
        if isinstance(result, agent.Finished) and self._attach_response(
            record, result
        ):
            return
        self.ready[record.attempt_id] = record

    def _attach_response(
        self, record: claim_entries.Record, result: agent.Finished
    ) -> bool:
        """Adds the response to the record if its size permits.

        Returns True if the record must wait until the body is stored as an
        object.
        """
        size = len(result.body)
        if self._response_bytes + size > self._limits.max_response_bytes:
            return False
        record.response_bytes = size
        self._response_bytes += size
        if size <= _MAX_INLINE_RESPONSE_BYTES:
            record.response = claims.StoredResponse(
                status=result.status, headers=result.headers, body=result.body
            )
            return False
        key = claims.response_object_key(attempt_id=record.attempt_id)
        record.response = claims.StoredResponse(
            status=result.status, headers=result.headers, object_key=key
        )
        op_id = next(self._op_ids)
        self._object_puts[op_id] = record
        self._emit(
            claim_events.StoreObject(op_id=op_id, key=key, data=result.body)
        )
        return True

    def handle_object_stored(self, event: claim_events.StoreObjectDone) -> None:
        """Makes a record ready after its body was stored, or without it."""
        record = self._object_puts.pop(event.op_id, None)
        if record is None:
            return
        self._response_bytes -= record.response_bytes
        record.response_bytes = 0
        if not event.stored:
            record.response = None
        self.ready[record.attempt_id] = record

    def finish(self, record: claim_entries.Record) -> None:
        """Drops a record that is done and replies to its requests."""
        if self.ready.get(record.attempt_id) is not record:
            return
        del self.ready[record.attempt_id]
        del self.unwritten[record.attempt_id]
        self._on_finished(record)
        self._response_bytes -= record.response_bytes
        for request_id in record.request_ids:
            self._emit(
                claim_events.ReplyToCompletion(
                    request_id=request_id, accepted=True
                )
            )

    def set_release_version(
        self, claim: claim_entries.Claim, version: int
    ) -> None:
        """Makes the release of an abandoned claim expect this row version."""
        record = self.ready.get(claim.attempt_id)
        if record is not None:
            record.condition = platform.VersionIs(version=version)

    def resolve(
        self, record: claim_entries.Record, row: platform.Row | None
    ) -> bool:
        """Resolves a conflict; returns True to send the record again."""
        if row is None:
            record.condition = platform.Absent()
            return True
        value = claims.decode(row.value)
        same_attempt = (
            value is not None and value.attempt_id == record.attempt_id
        )
        # A release also replaces a row that another attempt released. A delayed
        # insert of this attempt may be conditional on that row's version; the
        # replacement changes the version, so the insert fails.
        replaceable = value is not None and (
            (same_attempt and value.state is claims.ClaimState.CLAIMED)
            or (
                not same_attempt
                and record.state is claims.ClaimState.RELEASED
                and value.state is claims.ClaimState.RELEASED
            )
        )
        if replaceable:
            record.condition = platform.VersionIs(version=row.version)
            return True
        written = same_attempt and value.state is record.state
        # A release is not needed if the row is another attempt's, or if no
        # gateway reported "not run": it then comes from a late duplicate of the
        # claim request, and the attempt may have another outcome.
        unneeded = record.state is claims.ClaimState.RELEASED and not (
            same_attempt and record.request_ids
        )
        if not written and not unneeded:
            self._emit(
                claim_events.ReportContradiction(
                    key=record.key,
                    attempt_id=record.attempt_id,
                    state=record.state,
                )
            )
        self.finish(record)
        return False
