"""Runs the claim protocol of the agent: its I/O, tasks and metrics."""

import asyncio
from collections.abc import Coroutine
import contextlib
import itertools
import logging
import random
import time
from typing import Any, Protocol
import uuid

import mode

from tanagerspoke import exceptions
from tanagerspoke.coordination import claim_events
from tanagerspoke.coordination import claim_limits
from tanagerspoke.coordination import claims
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.settings import options
from tanagerspoke.transport.store import platform_client

log = logging.getLogger(__name__)

_RESULT_LABELS = {
    agent.Granted: "granted",
    agent.Replay: "replay",
    agent.InProgress: "in_progress",
    agent.OutcomeUnknown: "outcome_unknown",
    agent.KeyReused: "key_reused",
    agent.StoreUnavailable: "store_unavailable",
}


class ClaimMetrics(Protocol):
    """Records the metrics of the claim service."""

    def count_claim(self, result: str) -> None:
        """Counts a reply to a claim request."""

    def observe_group_commit(self, rows: int) -> None:
        """Records the number of rows in a transaction."""

    def count_platform_error(self, operation: str) -> None:
        """Counts a failed operation of the platform."""


class NullMetrics:
    """Discards all metrics."""

    def count_claim(self, result: str) -> None:
        """Does nothing."""

    def observe_group_commit(self, rows: int) -> None:
        """Does nothing."""

    def count_platform_error(self, operation: str) -> None:
        """Does nothing."""


class ClaimService(mode.Service):
    """Performs the actions of the claim protocol."""

    def __init__(
        self,
        *,
        cfg: options.Store,
        platform: platform_client.PlatformClient,
        metrics: ClaimMetrics | None = None,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._metrics = metrics or NullMetrics()
        self._protocol = claims.ClaimProtocol(
            limits=claim_limits.Limits(
                writes_per_s=cfg.writes_per_s,
                group_rows=cfg.group_rows,
                retention_s=cfg.claim_retention_s,
            ),
            writer_id=uuid.uuid4().hex[:12],
            wall_clock_ms=lambda: int(time.time() * 1000),
            rng=random.Random(),
        )
        self._request_ids = itertools.count(1)
        self._reply_futures: dict[int, asyncio.Future[Any]] = {}
        self._operation_tasks: set[asyncio.Task[None]] = set()
        self._wakeup_timer: asyncio.TimerHandle | None = None
        self._all_written = asyncio.Event()
        self._all_written.set()

    async def claim(self, request: agent.ClaimRequest) -> agent.ClaimReply:
        """Claims the right to run a write.

        Cancelling the call means that the gateway no longer waits.
        """
        request_id, fut = self._new_request()
        self._handle(
            claim_events.ClaimRequested(request_id=request_id, claim=request)
        )
        try:
            reply = await fut
        except asyncio.CancelledError:
            self._handle(
                claim_events.ClaimRequestCancelled(
                    request_id=request_id, attempt_id=request.attempt_id
                )
            )
            raise
        finally:
            del self._reply_futures[request_id]
        self._metrics.count_claim(_RESULT_LABELS[type(reply)])
        return reply

    async def complete(
        self, request: agent.CompleteRequest
    ) -> agent.CompleteReply:
        """Returns once the result of a claimed write needs no transaction.

        It is then in the table, or was dropped because of the row's state.

        Raises:
            PlatformUnavailableError: too many records are waiting to be
                written.
        """
        request_id, fut = self._new_request()
        self._handle(
            claim_events.CompletionRequested(
                request_id=request_id, completion=request
            )
        )
        try:
            accepted = await fut
        finally:
            del self._reply_futures[request_id]
        if not accepted:
            raise exceptions.PlatformUnavailableError(
                "too many outcomes wait for the table; report this one later"
            )
        return agent.CompleteReply()

    async def flush(self, *, timeout_s: float) -> int:
        """Waits until all records are written; returns the number unwritten."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_written.wait(), timeout_s)
        return self._protocol.unwritten

    async def on_stop(self) -> None:
        """Cancels running operations; unwritten records are lost."""
        if self._protocol.unwritten:
            log.warning(
                "claim_records_lost", extra={"rows": self._protocol.unwritten}
            )
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
            self._wakeup_timer = None
        tasks = tuple(self._operation_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _new_request(self) -> tuple[int, asyncio.Future[Any]]:
        request_id = next(self._request_ids)
        fut = asyncio.get_running_loop().create_future()
        self._reply_futures[request_id] = fut
        return request_id, fut

    def _handle(self, event: claim_events.Event) -> None:
        now = time.monotonic()
        for action in self._protocol.handle(event=event, now=now):
            self._perform(action)
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
            self._wakeup_timer = None
        if self._protocol.unwritten:
            self._all_written.clear()
        else:
            self._all_written.set()
        wakeup_at = self._protocol.next_wakeup
        if wakeup_at is not None and not self.should_stop:
            self._wakeup_timer = asyncio.get_running_loop().call_later(
                max(0.0, wakeup_at - now), self._handle, claim_events.Tick()
            )

    def _perform(self, action: claim_events.Action) -> None:
        match action:
            case claim_events.Transact():
                rows = len(action.transaction.operations)
                self._metrics.observe_group_commit(rows)
                self._start_operation(self._transact(action))
            case claim_events.ReadRow():
                self._start_operation(self._read_row(action))
            case claim_events.StoreObject():
                self._start_operation(self._store_object(action))
            case claim_events.ReadObject():
                self._start_operation(self._read_object(action))
            case claim_events.Reply(request_id=request_id, reply=reply):
                self._set_reply(request_id, reply)
            case claim_events.ReplyToCompletion():
                self._set_reply(action.request_id, action.accepted)
            case claim_events.ReportContradiction():
                log.error(
                    "claim_record_contradicts_row",
                    extra={
                        "row": action.key,
                        "attempt_id": action.attempt_id,
                        "state": action.state,
                    },
                )

    def _set_reply(self, request_id: int, value: Any) -> None:
        fut = self._reply_futures.get(request_id)
        if fut is not None and not fut.done():
            fut.set_result(value)

    def _start_operation(self, operation: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(operation)
        self._operation_tasks.add(task)
        task.add_done_callback(self._operation_tasks.discard)

    async def _transact(self, action: claim_events.Transact) -> None:
        event: claim_events.Event = claim_events.OperationUnanswered(
            op_id=action.op_id
        )
        try:
            reply = await self._platform.transact(action.transaction)
            event = claim_events.TransactionReplied(
                op_id=action.op_id, reply=reply
            )
        except exceptions.PlatformError as exc:
            self._record_error("transact", exc)
        self._handle(event)

    async def _read_row(self, action: claim_events.ReadRow) -> None:
        event: claim_events.Event = claim_events.OperationUnanswered(
            op_id=action.op_id
        )
        try:
            row: platform.Row | None = await self._platform.get(action.key)
            event = claim_events.RowRead(op_id=action.op_id, row=row)
        except exceptions.PlatformError as exc:
            self._record_error("get", exc)
        self._handle(event)

    async def _store_object(self, action: claim_events.StoreObject) -> None:
        stored = False
        try:
            # If the object exists, an earlier operation of this attempt stored
            # it.
            await self._platform.put_object(key=action.key, data=action.data)
            stored = True
        except exceptions.PlatformError as exc:
            self._record_error("put_object", exc)
        self._handle(
            claim_events.StoreObjectDone(op_id=action.op_id, stored=stored)
        )

    async def _read_object(self, action: claim_events.ReadObject) -> None:
        data = None
        try:
            data = await self._platform.get_object(action.key)
        except exceptions.PlatformError as exc:
            self._record_error("get_object", exc)
        self._handle(claim_events.ReadObjectDone(op_id=action.op_id, data=data))

    def _record_error(
        self, operation: str, exc: exceptions.PlatformError
    ) -> None:
        self._metrics.count_platform_error(operation)
        log.warning(
            "claim_operation_unanswered",
            extra={"operation": operation, "error": str(exc)},
        )
