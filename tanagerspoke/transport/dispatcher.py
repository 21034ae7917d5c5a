"""Runs the calls of one service as its scheduler decides."""

import asyncio
from collections.abc import Callable
import dataclasses

from tanagerspoke import exceptions
from tanagerspoke.coordination import scheduling
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport import upstream_client


class CallFailedError(exceptions.TanagerspokeError):
    """A call may have run, and no whole answer came."""

    def __init__(self, *, code: errors.ErrorCode) -> None:
        super().__init__(f"the call failed: {code}")
        self.code = code


@dataclasses.dataclass(kw_only=True, slots=True)
class _Running:
    """A call that has not been answered yet."""

    call: calls.Call
    request: upstream_client.UpstreamRequest
    fut: asyncio.Future[upstream_client.Answer]
    exchanges: dict[int, upstream_client.Exchange]
    answers: dict[int, upstream_client.Answer]


class ServiceDispatcher:
    """Owns the scheduler and the running calls of one service."""

    def __init__(
        self,
        *,
        scheduler: scheduling.ServiceScheduler,
        client: upstream_client.UpstreamClient,
        clock: Callable[[], float],
        on_draining: Callable[[str], None],
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._clock = clock
        self._on_draining = on_draining
        self._upstreams: dict[str, upstreams.Upstream] = {}
        self._running: dict[int, _Running] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def run(
        self, *, call: calls.Call, request: upstream_client.UpstreamRequest
    ) -> upstream_client.Answer:
        """Returns the whole answer of an upstream.

        Raises:
            CallRefusedError: the call is proven not run.
            CallFailedError: the outcome of the call is unknown.
        """
        running = _Running(
            call=call,
            request=request,
            fut=asyncio.get_running_loop().create_future(),
            exchanges={},
            answers={},
        )
        self._running[call.call_id] = running
        self.handle(calls.Arrive(call=call))
        try:
            return await running.fut
        except asyncio.CancelledError:
            self.handle(calls.CallerLeft(call_id=call.call_id))
            raise
        finally:
            self._running.pop(call.call_id, None)

    def set_upstreams(self, changed: tuple[upstreams.Upstream, ...]) -> None:
        """Takes the whole list of the service's upstreams."""
        self._upstreams = {u.upstream_id: u for u in changed}
        self.handle(calls.UpstreamsChanged(upstreams=changed))

    def handle(self, event: calls.SchedulerEvent) -> None:
        """Gives an event to the scheduler and carries out its actions."""
        now = self._clock()
        for action in self._scheduler.handle(event=event, now=now):
            self._carry_out(action, now)
        self._arm_timer(now)

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _carry_out(self, action: calls.SchedulerAction, now: float) -> None:
        running = self._running.get(action.call_id)
        if running is None:
            return
        match action:
            case calls.Dispatch():
                self._dispatch(running, action, now)
            case calls.CancelAttempt(attempt=attempt):
                running.exchanges[attempt].cancel()
            case calls.Settle(attempt=attempt):
                _resolve(running.fut, running.answers[attempt])
            case calls.Refuse(code=code, retry_after_s=retry_after_s):
                _reject(
                    running.fut,
                    exceptions.CallRefusedError(
                        code=code,
                        message=f"not run: {code}",
                        retry_after_s=retry_after_s,
                    ),
                )
            case calls.Fail(code=code):
                _reject(running.fut, CallFailedError(code=code))

    def _dispatch(
        self, running: _Running, action: calls.Dispatch, now: float
    ) -> None:
        upstream = self._upstreams[action.upstream_id]

        def on_ended(ended: upstream_client.Ended) -> None:
            if ended.answer is not None:
                running.answers[action.attempt] = ended.answer
            self._note_phase(action.upstream_id, ended.load)
            self.handle(
                calls.AttemptEnded(
                    call_id=action.call_id,
                    attempt=action.attempt,
                    upstream_id=action.upstream_id,
                    result=ended.result,
                    load=ended.load,
                )
            )

        running.exchanges[action.attempt] = self._client.send(
            upstream=upstream,
            request=running.request,
            attempt=action.attempt,
            timeout_s=max(0.0, running.call.deadline - now),
            on_ended=on_ended,
        )

    def _note_phase(
        self, upstream_id: str, load: upstreams.LoadReport | None
    ) -> None:
        if load is None:
            return
        if load.phase is upstreams.UpstreamPhase.DRAINING:
            self._on_draining(upstream_id)

    def _arm_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wakeup = self._scheduler.next_wakeup
        if wakeup is not None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.0, wakeup - now), self.handle, calls.Tick()
            )


def _resolve(
    fut: asyncio.Future[upstream_client.Answer],
    answer: upstream_client.Answer,
) -> None:
    if not fut.done():
        fut.set_result(answer)


def _reject(
    fut: asyncio.Future[upstream_client.Answer], exc: Exception
) -> None:
    if not fut.done():
        fut.set_exception(exc)
