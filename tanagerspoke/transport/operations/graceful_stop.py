"""Graceful stop of a process that serves callers."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import time

from tanagerspoke.coordination import lifecycle

log = logging.getLogger(__name__)


class GracefulStop:
    """Closes the listeners, then waits until the running calls have ended.

    A call that is still running at the stop deadline, or at a second request
    to stop, is logged and counted. The server resets its connection on close.

    Args:
        lame_duck_s: time from the request to stop until the listeners close.
        stop_deadline_s: maximum time from the request to stop until the wait
            for running calls ends.

    Attributes:
        aborted_calls: number of calls that were running when the wait ended.
    """

    def __init__(
        self,
        *,
        lame_duck_s: float,
        stop_deadline_s: float,
        close_listeners: Callable[[], Awaitable[None]],
    ) -> None:
        self._lifecycle = lifecycle.Lifecycle(
            lame_duck_s=lame_duck_s, stop_deadline_s=stop_deadline_s
        )
        self._close_listeners = close_listeners
        self._stop_finished = asyncio.Event()
        self._tick_timer: asyncio.TimerHandle | None = None
        self._close_tasks: set[asyncio.Task[None]] = set()
        self.aborted_calls = 0

    @property
    def is_ready(self) -> bool:
        """Whether no stop was requested."""
        return self._lifecycle.is_ready

    @property
    def listeners_closed(self) -> bool:
        """Whether the listeners have closed or are closing.

        A call that starts now may not end before the stop deadline.
        """
        return self._lifecycle.phase in (
            lifecycle.Phase.DRAINING,
            lifecycle.Phase.STOPPED,
        )

    @property
    def stop_deadline_at(self) -> float | None:
        """Time at which running calls are aborted, None before a stop."""
        return self._lifecycle.stop_deadline_at

    @property
    def is_stopped(self) -> bool:
        """Whether new calls must be refused."""
        return self._lifecycle.phase is lifecycle.Phase.STOPPED

    def call_started(self, call: lifecycle.RunningCall) -> None:
        """Adds a running call, which a stop waits for."""
        self._handle(lifecycle.CallStarted(call=call))

    def call_ended(self, call_id: int) -> None:
        """Removes a call that has ended."""
        self._handle(lifecycle.CallEnded(call_id=call_id))

    def request(self) -> None:
        """Requests the stop; a second request ends the wait for calls."""
        log.info("stop_requested", extra={"running": self._lifecycle.running})
        self._handle(lifecycle.StopRequested())

    async def run(self) -> None:
        """Requests the stop and waits until all calls ended or were aborted."""
        self.request()
        await self._stop_finished.wait()
        for task in list(self._close_tasks):
            await task

    def _handle(self, event: lifecycle.Event) -> None:
        actions = self._lifecycle.handle(event=event, now=time.monotonic())
        for action in actions:
            self._execute(action)
        if isinstance(event, lifecycle.StopRequested | lifecycle.Tick):
            self._schedule_tick()

    def _execute(self, action: lifecycle.Action) -> None:
        match action:
            case lifecycle.CloseListeners():
                log.info(
                    "listeners_closed",
                    extra={"running": self._lifecycle.running},
                )
                task = asyncio.ensure_future(self._close_listeners())
                self._close_tasks.add(task)
                task.add_done_callback(self._close_tasks.discard)
            case lifecycle.AbortCall(call=call):
                self.aborted_calls += 1
                log.warning(
                    "call_cut",
                    extra={
                        "client_account": call.client_account,
                        "service": call.service,
                        "call_id": call.call_id,
                    },
                )
            case lifecycle.Finish():
                self._stop_finished.set()

    def _schedule_tick(self) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        wakeup_at = self._lifecycle.next_wakeup
        if wakeup_at is not None:
            self._tick_timer = asyncio.get_running_loop().call_later(
                max(0.0, wakeup_at - time.monotonic()),
                self._handle,
                lifecycle.Tick(),
            )
