"""Runs writes with an idempotency key at most once.

A write is claimed at the agent, dispatched, and its result is then reported to
the agent, which records it.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import hashlib
import logging
import random
import time
from typing import Protocol, TypeAlias
import uuid

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.state import config
from tanagerspoke.state import declarations
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.upstreams import dispatcher
from tanagerspoke.transport.upstreams import upstream_client

log = logging.getLogger(__name__)

# The agent replies to a claim within 1 s unless it hangs.
_CLAIM_TIMEOUT_S = 2.0
_COMPLETE_TIMEOUT_S = 5.0
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0
# Time for which the report of a result is retried. If the result is never
# recorded, the row stays claimed and later requests with the key get "outcome
# unknown".
_REPORT_RETRY_LIMIT_S = 600.0
_MAX_CONCURRENT_REPORTS = 64
_MAX_PENDING_RESULTS = 10_000
_MAX_PENDING_RESPONSE_BYTES = 33_554_432
# Longer responses are not recorded and cannot be replayed, since gRPC refuses
# messages above 4 MiB.
_MAX_RECORDED_RESPONSE_BYTES = 3_145_728
_CLOSE_TIMEOUT_S = 2.0

Dispatch: TypeAlias = Callable[
    [calls.Call, caller_calls.CallerRequest],
    Awaitable[caller_calls.CallerResponse],
]
EarlyRefusal: TypeAlias = Callable[
    [calls.Call, caller_calls.CallerRequest], calls.Refuse | None
]
Result: TypeAlias = agent.Finished | agent.NotRun | agent.Unknown


class ClaimAgent(Protocol):
    """The part of the agent client that keyed writes use."""

    async def claim(
        self, request: agent.ClaimRequest, *, timeout_s: float
    ) -> agent.ClaimReply:
        """Claims the right to run a write.

        Raises:
            AgentUnavailableError: no reply was received; the agent may
                hold the claim.
            ProtocolError: the reply could not be decoded.
        """

    async def complete(
        self, request: agent.CompleteRequest, *, timeout_s: float
    ) -> None:
        """Reports the result of a claimed write.

        Raises:
            AgentUnavailableError: the agent did not confirm the result.
        """


class KeyedWrites:
    """Claims keyed writes at the agent, so that each runs at most once.

    Args:
        early_refusal: returns the scheduler's refusal of a call, or None; a
            call that would be refused is not claimed.
        clock: monotonic time in seconds.
        max_pending_results: limit of the results that wait to be reported to
            the agent. Results above it are dropped, and later requests with
            their keys get "outcome unknown".
        max_pending_response_bytes: limit of the total size of the responses
            in these results. A result above it is reported as unknown.
    """

    def __init__(
        self,
        *,
        agent_client: ClaimAgent,
        early_refusal: EarlyRefusal | None = None,
        clock: Callable[[], float] = time.monotonic,
        max_pending_results: int = _MAX_PENDING_RESULTS,
        max_pending_response_bytes: int = _MAX_PENDING_RESPONSE_BYTES,
    ) -> None:
        self._agent = agent_client
        self._early_refusal = early_refusal
        self._clock = clock
        self._max_pending_results = max_pending_results
        self._max_pending_response_bytes = max_pending_response_bytes
        self._pending_response_bytes = 0
        self._rng = random.Random()
        self._write_tasks: set[asyncio.Task[caller_calls.CallerResponse]] = (
            set()
        )
        self._report_tasks: set[asyncio.Task[None]] = set()
        self._report_slots = asyncio.Semaphore(_MAX_CONCURRENT_REPORTS)
        self._retry_now = asyncio.Event()

    def retry_reports_now(self) -> None:
        """Reports the pending results without waiting for their backoff.

        Called when the agent is reachable again. A backoff of several seconds
        would exceed the grace period of a claim, and later requests with the
        key would get "outcome unknown" for a write that has a response.
        """
        self._retry_now.set()
        self._retry_now = asyncio.Event()

    async def run(
        self,
        *,
        call: calls.Call,
        request: caller_calls.CallerRequest,
        route: config.Route,
        dispatch: Dispatch,
    ) -> caller_calls.CallerResponse:
        """Claims the write, dispatches it and reports its result.

        A dispatched write continues after its caller has disconnected, so
        that the caller's next request with the key gets its response.

        Raises:
            CallRefusedError: this request has certainly not run; an earlier one
                with the key may have.
            CallFailedError: the outcome of the write is unknown.
        """
        if request.idempotency_key is None:
            return await self._run_without_key(call, request, route, dispatch)
        self._refuse_early(call, request)
        claim = self._claim_request(call, request)
        replayed = await self._claim(claim, call)
        if replayed is not None:
            return replayed
        if request.record is not None:
            # A granted claim proves that no earlier request with the key ran.
            request.record.earlier_request_may_have_run = False
        # The process may have been paused while it waited for the claim.
        if self._clock() >= call.deadline:
            self._start_report(claim, agent.NotRun())
            raise _deadline_error()
        write_task = asyncio.get_running_loop().create_task(
            self._dispatch(claim, call, request, dispatch)
        )
        self._write_tasks.add(write_task)
        write_task.add_done_callback(self._finish_write_task)
        return await asyncio.shield(write_task)

    async def close(self) -> None:
        """Waits briefly for running writes and pending results to end.

        Cancels the rest.
        """
        cancelled_writes = await _wait_then_cancel(self._write_tasks)
        # Cancelled writes have started to report their results by now.
        unrecorded = await _wait_then_cancel(self._report_tasks)
        if cancelled_writes or unrecorded:
            log.warning(
                "writes_cut_off",
                extra={"running": cancelled_writes, "unrecorded": unrecorded},
            )

    async def _run_without_key(
        self,
        call: calls.Call,
        request: caller_calls.CallerRequest,
        route: config.Route,
        dispatch: Dispatch,
    ) -> caller_calls.CallerResponse:
        if route.key_rule is declarations.KeyRule.REQUIRED:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.KEY_REQUIRED,
                message="this write needs the header Idempotency-Key",
            )
        single_attempt = dataclasses.replace(
            call, idempotent=False, hedge=False, retry=False
        )
        return await dispatch(single_attempt, request)

    def _refuse_early(
        self, call: calls.Call, request: caller_calls.CallerRequest
    ) -> None:
        if self._clock() >= call.deadline:
            raise _deadline_error()
        refusal = (
            self._early_refusal(call, request) if self._early_refusal else None
        )
        if refusal is not None:
            raise exceptions.CallRefusedError(
                code=refusal.code,
                message=f"not run: {refusal.code}",
                retry_after_s=refusal.retry_after_s,
            )

    def _claim_request(
        self, call: calls.Call, request: caller_calls.CallerRequest
    ) -> agent.ClaimRequest:
        digest = hashlib.sha256(
            f"{request.method} {request.path}\n".encode() + request.body
        )
        remaining_s = call.deadline - self._clock()
        return agent.ClaimRequest(
            client_account=request.client_account,
            service=request.service,
            key=request.idempotency_key or "",
            digest=digest.hexdigest(),
            attempt_id=uuid.uuid4().hex,
            deadline_ms=max(1, int(remaining_s * 1000)),
        )

    async def _claim(
        self, claim: agent.ClaimRequest, call: calls.Call
    ) -> caller_calls.CallerResponse | None:
        remaining_s = max(0.0, call.deadline - self._clock())
        try:
            reply = await self._agent.claim(
                claim, timeout_s=min(_CLAIM_TIMEOUT_S, remaining_s)
            )
        except (
            exceptions.AgentUnavailableError,
            exceptions.ProtocolError,
        ) as exc:
            # The agent may hold the claim although no reply was received.
            self._start_report(claim, agent.NotRun())
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.AGENT_UNAVAILABLE,
                message=str(exc),
                retry_after_s=1.0,
            ) from exc
        except asyncio.CancelledError:
            self._start_report(claim, agent.NotRun())
            raise
        match reply:
            case agent.Granted():
                return None
            case agent.Replay():
                return caller_calls.CallerResponse(
                    response=upstream_client.Response(
                        status=reply.status,
                        headers=reply.headers,
                        body=reply.body,
                    ),
                    outcome=errors.Outcome.REPLAYED,
                )
        raise _claim_error(reply)

    async def _dispatch(
        self,
        claim: agent.ClaimRequest,
        call: calls.Call,
        request: caller_calls.CallerRequest,
        dispatch: Dispatch,
    ) -> caller_calls.CallerResponse:
        """Dispatches a claimed write and always reports its result."""
        result: Result = agent.Unknown()
        # Only an attempt that has certainly not run may be retried.
        non_idempotent_call = dataclasses.replace(
            call, idempotent=False, hedge=False
        )
        try:
            caller_resp = await dispatch(non_idempotent_call, request)
            result = agent.Finished(
                status=caller_resp.response.status,
                headers=caller_resp.response.headers,
                body=caller_resp.response.body,
            )
        except exceptions.CallRefusedError as exc:
            if errors.outcome_of(exc.code) is errors.Outcome.NOT_RUN:
                result = agent.NotRun()
            raise
        finally:
            self._start_report(claim, result)
        return caller_resp

    def _finish_write_task(
        self, write_task: asyncio.Task[caller_calls.CallerResponse]
    ) -> None:
        self._write_tasks.discard(write_task)
        if not write_task.cancelled():
            # Retrieves the exception: if the caller disconnected, nobody else
            # does and asyncio would log it.
            write_task.exception()

    def _start_report(self, claim: agent.ClaimRequest, result: Result) -> None:
        """Reports a result in the background until the agent confirms it."""
        if len(self._report_tasks) >= self._max_pending_results:
            _log_unrecorded(
                claim,
                "too many results are waiting to be reported to the agent",
            )
            return
        response_bytes = (
            len(result.body) if isinstance(result, agent.Finished) else 0
        )
        if (
            response_bytes > _MAX_RECORDED_RESPONSE_BYTES
            or self._pending_response_bytes + response_bytes
            > self._max_pending_response_bytes
        ):
            _log_unrecorded(
                claim,
                f"a response of {response_bytes} bytes exceeds the limits",
            )
            result = agent.Unknown()
            response_bytes = 0
        self._pending_response_bytes += response_bytes
        task = asyncio.get_running_loop().create_task(
            self._report(claim, result, response_bytes)
        )
        self._report_tasks.add(task)
        task.add_done_callback(self._report_tasks.discard)

    async def _report(
        self, claim: agent.ClaimRequest, result: Result, response_bytes: int
    ) -> None:
        try:
            await self._report_with_retries(
                agent.CompleteRequest(
                    client_account=claim.client_account,
                    service=claim.service,
                    key=claim.key,
                    digest=claim.digest,
                    attempt_id=claim.attempt_id,
                    result=result,
                ),
                claim,
            )
        finally:
            self._pending_response_bytes -= response_bytes

    async def _report_with_retries(
        self, completion: agent.CompleteRequest, claim: agent.ClaimRequest
    ) -> None:
        give_up_at = self._clock() + _REPORT_RETRY_LIMIT_S
        backoff_s = _FIRST_BACKOFF_S
        while True:
            try:
                async with self._report_slots:
                    await self._agent.complete(
                        completion, timeout_s=_COMPLETE_TIMEOUT_S
                    )
                return
            except exceptions.AgentUnavailableError as exc:
                if self._clock() >= give_up_at:
                    _log_unrecorded(claim, str(exc))
                    return
            backoff_s = await self._back_off(backoff_s)

    async def _back_off(self, backoff_s: float) -> float:
        """Waits for the backoff; returns the next one in seconds.

        Returns early, with the first backoff, if the agent is reachable again.
        """
        try:
            await asyncio.wait_for(
                self._retry_now.wait(),
                backoff_s * self._rng.uniform(0.5, 1.0),
            )
        except TimeoutError:
            return min(_MAX_BACKOFF_S, 2 * backoff_s)
        return _FIRST_BACKOFF_S


async def _wait_then_cancel(tasks: set[asyncio.Task]) -> int:
    """Waits for tasks, cancels those still running and returns their number."""
    if not tasks:
        return 0
    _, unfinished = await asyncio.wait(tuple(tasks), timeout=_CLOSE_TIMEOUT_S)
    for task in unfinished:
        task.cancel()
    await asyncio.gather(*unfinished, return_exceptions=True)
    return len(unfinished)


def _log_unrecorded(claim: agent.ClaimRequest, reason: str) -> None:
    log.warning(
        "outcome_not_recorded",
        extra={
            "client_account": claim.client_account,
            "service": claim.service,
            "attempt_id": claim.attempt_id,
            "error": reason,
        },
    )


def _deadline_error() -> exceptions.CallRefusedError:
    return exceptions.CallRefusedError(
        code=errors.ErrorCode.QUEUE_TIMEOUT,
        message="the deadline passed before the write was dispatched",
        retry_after_s=1.0,
    )


def _claim_error(reply: agent.ClaimReply) -> Exception:
    match reply:
        case agent.InProgress(retry_after_s=retry_after_s):
            return exceptions.CallRefusedError(
                code=errors.ErrorCode.IN_PROGRESS,
                message="an earlier request with this key still runs",
                retry_after_s=retry_after_s,
            )
        case agent.KeyReused():
            return exceptions.CallRefusedError(
                code=errors.ErrorCode.KEY_REUSED,
                message="the key was used before with another request",
            )
        case agent.StoreUnavailable(retry_after_s=retry_after_s):
            return exceptions.CallRefusedError(
                code=errors.ErrorCode.STORE_UNAVAILABLE,
                message="the write could not be claimed in the table",
                retry_after_s=retry_after_s,
            )
    return dispatcher.CallFailedError(code=errors.ErrorCode.OUTCOME_UNKNOWN)
