"""Carries out the decisions of a service's scheduler."""

import asyncio
import collections
from collections.abc import Callable, Mapping
import dataclasses
import functools
import logging
from typing import Protocol

from tanagerspoke import exceptions
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.upstreams import upstream_client
from tanagerspoke.transport.upstreams import upstream_dialect

log = logging.getLogger(__name__)

# Delay of the next tick after an unexpected error of the scheduler.
_RETRY_TICK_S = 0.1
# A load report that takes longer is out of date when it arrives.
_PROBE_TIMEOUT_S = 0.1


class Scheduler(Protocol):
    """Decides when and where each call of a service runs."""

    @property
    def next_wakeup(self) -> float | None:
        """Time at which a `Tick` event is due, or None."""

    def handle(
        self, *, event: calls.SchedulerEvent, now: float
    ) -> list[calls.SchedulerAction]:
        """Returns the actions that an event causes."""

    def would_refuse(
        self, *, call: calls.Call, now: float
    ) -> calls.Refuse | None:
        """Returns the refusal if the call would be refused now, or None."""

    def set_gateways(self, gateways: int) -> None:
        """Sets the number of live gateways or edge nodes.

        All of them share the upstreams.
        """


class CallFailedError(exceptions.TanagerspokeError):
    """A call may have run, but no complete response was received."""

    def __init__(self, *, code: errors.ErrorCode) -> None:
        super().__init__(f"the call failed: {code}")
        self.code = code


OnDone = Callable[[upstream_client.Response | None, Exception | None], None]


@dataclasses.dataclass(kw_only=True, slots=True)
class _RunningCall:
    """A call with a pending result or with attempts that have not ended.

    Attributes:
        exchanges: running exchanges by attempt number.
        responses: received responses by attempt number.
        done: whether the call has its result or was abandoned.
    """

    call: calls.Call
    request: upstream_dialect.UpstreamRequest
    on_done: OnDone
    exchanges: dict[int, upstream_client.Exchange]
    responses: dict[int, upstream_client.Response]
    done: bool = False


def _ignore_upstream(upstream_id: str) -> None:
    del upstream_id


def _ignore_dispatch(action: calls.Dispatch) -> None:
    del action


def _ignore_attempt_end(
    action: calls.Dispatch,
    ended: upstream_client.EndedExchange,
    elapsed_s: float,
) -> None:
    del action, ended, elapsed_s


def _ignore_ejection(action: calls.ReportEjection) -> None:
    del action


class ServiceDispatcher:
    """Runs the calls of one service as its scheduler decides."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        client: upstream_client.UpstreamClient,
        clock: Callable[[], float],
        on_draining: Callable[[upstreams.Upstream], None],
        health_path: Callable[[], str] = lambda: "/health",
        on_load_report: Callable[[str], None] = _ignore_upstream,
        on_dispatch: Callable[[calls.Dispatch], None] = _ignore_dispatch,
        on_attempt_ended: Callable[
            [calls.Dispatch, upstream_client.EndedExchange, float], None
        ] = _ignore_attempt_end,
        on_ejected: Callable[[calls.ReportEjection], None] = _ignore_ejection,
    ) -> None:
        """Creates the dispatcher.

        Args:
            scheduler: decides when and where each call runs.
            client: sends the requests to the upstreams.
            clock: returns monotonic seconds.
            on_draining: called with each upstream that reports that it is
                draining, whether or not it is still listed.
            health_path: returns the path that probes request.
            on_load_report: called with the id of an upstream that sent a load
                report.
            on_dispatch: called before each attempt is sent.
            on_attempt_ended: called when an attempt ends, with its duration in
                seconds.
            on_ejected: called when an upstream is ejected.
        """
        self._scheduler = scheduler
        self._client = client
        self._clock = clock
        self._on_draining = on_draining
        self._health_path = health_path
        self._on_load_report = on_load_report
        self._on_dispatch = on_dispatch
        self._on_attempt_ended = on_attempt_ended
        self._on_ejected = on_ejected
        self._upstreams: dict[str, upstreams.Upstream] = {}
        self._running: dict[int, _RunningCall] = {}
        self._events: collections.deque[calls.SchedulerEvent] = (
            collections.deque()
        )
        self._handling = False
        self._timer: asyncio.TimerHandle | None = None
        self._wakeup_at: float | None = None

    async def run(
        self, *, call: calls.Call, request: upstream_dialect.UpstreamRequest
    ) -> upstream_client.Response:
        """Runs a call and returns its response, complete or streamed.

        Raises:
            CallRefusedError: the call has certainly not run.
            CallFailedError: the outcome of the call is unknown.
        """
        future = asyncio.get_running_loop().create_future()

        def on_done(
            response: upstream_client.Response | None, exc: Exception | None
        ) -> None:
            if future.done():
                return
            if exc is not None:
                future.set_exception(exc)
            else:
                future.set_result(response)

        abandon = self.start(call=call, request=request, on_done=on_done)
        try:
            return await future
        except asyncio.CancelledError:
            abandon()
            raise

    def start(
        self,
        *,
        call: calls.Call,
        request: upstream_dialect.UpstreamRequest,
        on_done: OnDone,
    ) -> Callable[[], None]:
        """Starts a call and returns a function that abandons it.

        `on_done` is called once with the result or the exception of the call
        (see `run`), possibly before this returns. It is not called after the
        call was abandoned.
        """
        running = _RunningCall(
            call=call,
            request=request,
            on_done=on_done,
            exchanges={},
            responses={},
        )
        self._running[call.call_id] = running
        try:
            self.handle(calls.CallArrived(call=call))
        except Exception:
            # The caller receives the exception, so no attempt may keep running.
            running.done = True
            for exchange in list(running.exchanges.values()):
                exchange.cancel()
            self._remove_if_ended(running)
            raise
        return functools.partial(self._abandon, running)

    @property
    def in_flight(self) -> int:
        """Number of running attempts."""
        return sum(len(r.exchanges) for r in self._running.values())

    def queued(self, call_class: calls.CallClass) -> int:
        """Returns the number of calls of a class without running attempts."""
        return sum(
            not r.exchanges and r.call.call_class is call_class
            for r in self._running.values()
        )

    def would_refuse(self, call: calls.Call) -> calls.Refuse | None:
        """Returns the refusal if the call would be refused now, or None."""
        return self._scheduler.would_refuse(call=call, now=self._clock())

    def set_gateways(self, gateways: int) -> None:
        """Sets the number of live gateways or edge nodes.

        All of them share the upstreams.
        """
        self._scheduler.set_gateways(gateways)

    def set_upstreams(
        self,
        service_upstreams: tuple[upstreams.Upstream, ...],
        cold_until: Mapping[str, float] | None = None,
    ) -> None:
        """Replaces the list of the service's upstreams.

        Args:
            service_upstreams: all upstreams of the service.
            cold_until: ends of the cold periods that entries state, by
                upstream, in seconds of the clock.
        """
        self._upstreams = {u.upstream_id: u for u in service_upstreams}
        self.handle(
            calls.UpstreamsChanged(
                upstreams=service_upstreams, cold_until=cold_until or {}
            )
        )

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Sets the zones whose upstreams get nothing more."""
        self.handle(calls.ZonesEvacuated(zones=zones))

    def handle(self, event: calls.SchedulerEvent) -> None:
        """Passes an event to the scheduler and executes the actions.

        If an action causes another event, that event is queued until all
        actions of the current event are executed, so that actions are executed
        in the scheduler's order.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                now = self._clock()
                for action in self._scheduler.handle(
                    event=self._events.popleft(), now=now
                ):
                    self._execute(action, now)
        finally:
            self._handling = False
        self._arm_timer()

    def close(self) -> None:
        """Stops the timer and cancels all running attempts."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for running in list(self._running.values()):
            for exchange in list(running.exchanges.values()):
                exchange.cancel()

    def _abandon(self, running: _RunningCall) -> None:
        if self._running.get(running.call.call_id) is not running:
            return
        running.done = True
        self.handle(calls.CallerDisconnected(call_id=running.call.call_id))
        # Attempts that the scheduler cancelled have ended; cancels the rest.
        for exchange in list(running.exchanges.values()):
            exchange.cancel()
        self._remove_if_ended(running)

    def _remove_if_ended(self, running: _RunningCall) -> None:
        if running.done and not running.exchanges:
            self._running.pop(running.call.call_id, None)

    def _send_probe(self, upstream_id: str) -> None:
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            self.handle(
                calls.ProbeEnded(
                    upstream_id=upstream_id, load=None, responded=False
                )
            )
            return
        self._client.send(
            upstream=upstream,
            request=upstream_dialect.UpstreamRequest(
                request_id="",
                client_account="",
                method="GET",
                path=self._health_path(),
                headers=(),
                body=b"",
                may_stream=False,
                probe=True,
            ),
            attempt=1,
            timeout_s=_PROBE_TIMEOUT_S,
            on_ended=lambda ended: self._on_probe_ended(upstream_id, ended),
            on_notice=functools.partial(self._on_notice, upstream),
        )

    def _on_probe_ended(
        self, upstream_id: str, ended: upstream_client.EndedExchange
    ) -> None:
        responded = isinstance(ended.result, calls.Answered)
        self.handle(
            calls.ProbeEnded(
                upstream_id=upstream_id, load=ended.load, responded=responded
            )
        )

    def _execute(self, action: calls.SchedulerAction, now: float) -> None:
        if isinstance(action, calls.Probe):
            self._send_probe(action.upstream_id)
            return
        if isinstance(action, calls.ReportEjection):
            self._on_ejected(action)
            return
        running = self._running.get(action.call_id)
        if running is None:
            return
        match action:
            case calls.Dispatch():
                self._dispatch(running, action, now)
            case calls.CancelAttempt(attempt=attempt):
                exchange = running.exchanges.get(attempt)
                if exchange is not None:
                    exchange.cancel()
            case calls.DeliverResponse(attempt=attempt):
                self._complete(running, running.responses.pop(attempt), None)
            case calls.Refuse(code=code, retry_after_s=retry_after_s):
                self._complete(
                    running,
                    None,
                    exceptions.CallRefusedError(
                        code=code,
                        message=f"not run: {code}",
                        retry_after_s=retry_after_s,
                    ),
                )
            case calls.Fail(code=code):
                self._complete(running, None, CallFailedError(code=code))

    def _complete(
        self,
        running: _RunningCall,
        response: upstream_client.Response | None,
        exc: Exception | None,
    ) -> None:
        if running.done:
            return
        running.done = True
        running.on_done(response, exc)
        self._remove_if_ended(running)

    def _dispatch(
        self, running: _RunningCall, action: calls.Dispatch, now: float
    ) -> None:
        upstream = self._upstreams.get(action.upstream_id)
        # The process may have been paused since the call arrived; a call must
        # not be sent after its deadline.
        if upstream is None or running.call.deadline <= now:
            self._on_exchange_ended(
                running,
                action,
                upstream_client.EndedExchange(result=calls.NotSent()),
                now,
            )
            return

        def on_ended(ended: upstream_client.EndedExchange) -> None:
            self._report_load(upstream, ended.load)
            self._on_exchange_ended(running, action, ended, now)

        self._on_dispatch(action)
        running.exchanges[action.attempt] = self._client.send(
            upstream=upstream,
            request=running.request,
            attempt=action.attempt,
            timeout_s=running.call.deadline - now,
            on_ended=on_ended,
            on_started=lambda response: self._on_response_started(
                running, action, response
            ),
            on_notice=functools.partial(self._on_notice, upstream),
        )

    def _on_notice(
        self, upstream: upstreams.Upstream, notice: upstreams.Notice
    ) -> None:
        if notice.leaving:
            self._on_draining(upstream)
        self.handle(calls.NoticeReceived(upstream=upstream, notice=notice))

    def _on_response_started(
        self,
        running: _RunningCall,
        action: calls.Dispatch,
        response: upstream_client.Response,
    ) -> None:
        if running.done:
            running.exchanges[action.attempt].cancel()
            return
        assert response.stream is not None
        response.stream.on_abandoned = lambda: self._abandon(running)
        self._complete(running, response, None)
        self.handle(
            calls.ResponseStarted(
                call_id=action.call_id, attempt=action.attempt
            )
        )

    def _on_exchange_ended(
        self,
        running: _RunningCall,
        action: calls.Dispatch,
        ended: upstream_client.EndedExchange,
        started_at: float,
    ) -> None:
        running.exchanges.pop(action.attempt, None)
        self._on_attempt_ended(action, ended, self._clock() - started_at)
        if ended.response is not None:
            running.responses[action.attempt] = ended.response
        try:
            self.handle(
                calls.AttemptEnded(
                    call_id=action.call_id,
                    attempt=action.attempt,
                    upstream_id=action.upstream_id,
                    result=ended.result,
                    load=ended.load,
                )
            )
        except Exception as exc:
            # Otherwise the caller would never get a result.
            self._complete(running, None, exc)
        self._remove_if_ended(running)

    def _report_load(
        self,
        upstream: upstreams.Upstream,
        load: upstreams.LoadReport | None,
    ) -> None:
        if load is None:
            return
        self._on_load_report(upstream.upstream_id)
        if load.phase is upstreams.UpstreamPhase.DRAINING:
            self._on_draining(upstream)

    def _arm_timer(self) -> None:
        wakeup = self._scheduler.next_wakeup
        if wakeup == self._wakeup_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._wakeup_at = wakeup
        if wakeup is not None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.0, wakeup - self._clock()), self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._wakeup_at = None
        try:
            self.handle(calls.Tick())
        except Exception:
            # Without another tick, queued calls would wait until an event.
            log.exception("scheduler_failed")
            self._wakeup_at = self._clock() + _RETRY_TICK_S
            self._timer = asyncio.get_running_loop().call_later(
                _RETRY_TICK_S, self._on_timer
            )
