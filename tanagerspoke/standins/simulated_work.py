"""Simulated work of an upstream: slots, queue, service times and counts."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import random

from tanagerspoke.protocol import calls
from tanagerspoke.settings import options


class NotRunError(Exception):
    """The job was not started."""


class JobRunner:
    """Runs jobs in a limited number of slots, in order of arrival.

    A running job continues if its caller is cancelled, since a real write
    cannot be undone halfway. A waiting job is dropped with its caller.

    Attributes:
        counts: number of events by name, such as `started`.
    """

    def __init__(self, *, slots: int, queue_length: int) -> None:
        self._slots = asyncio.Semaphore(slots)
        self._queue_length = queue_length
        self._waiting = 0
        self._running: set[asyncio.Task[None]] = set()
        self._abandoned: set[asyncio.Task[None]] = set()
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(
        self, job: Callable[[], Awaitable[None]], *, deadline: float | None
    ) -> None:
        """Runs a job as soon as a slot is free.

        Raises:
            NotRunError: the queue is full, or no slot was free before
                `deadline` (time of the event loop, in seconds).
        """
        await self._acquire(deadline)
        task = asyncio.get_running_loop().create_task(self._run_in_slot(job))
        self._running.add(task)
        task.add_done_callback(self._on_job_done)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            self.counts["cancelled_running"] += 1
            if not task.done():
                self._abandoned.add(task)
            raise

    @property
    def abandoned_count(self) -> int:
        """Number of running jobs whose caller was cancelled."""
        return len(self._abandoned)

    async def close(self) -> None:
        """Cancels the running jobs."""
        tasks = list(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _acquire(self, deadline: float | None) -> None:
        if self._slots.locked() and self._waiting >= self._queue_length:
            self.counts["shed_queue_full"] += 1
            raise NotRunError("the queue is full")
        self._waiting += 1
        try:
            async with asyncio.timeout_at(deadline):
                await self._slots.acquire()
        except TimeoutError as exc:
            raise self._deadline_error() from exc
        except asyncio.CancelledError:
            self.counts["cancelled_waiting"] += 1
            raise
        finally:
            self._waiting -= 1
        # A free slot is acquired without checking the deadline, and after a
        # pause of the process the slot may be acquired before the timer fires.
        if deadline is not None and _now() >= deadline:
            self._slots.release()
            raise self._deadline_error()

    def _deadline_error(self) -> NotRunError:
        self.counts["shed_deadline"] += 1
        return NotRunError("the deadline passed before the start")

    async def _run_in_slot(self, job: Callable[[], Awaitable[None]]) -> None:
        self.counts["started"] += 1
        try:
            await job()
        finally:
            self._slots.release()

    def _on_job_done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        self._abandoned.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved; the caller may be cancelled.
            task.exception()


def _now() -> float:
    return asyncio.get_running_loop().time()


class ServiceTimes:
    """Draws random service times for the classes of calls."""

    def __init__(self, *, cfg: options.StandinUpstream) -> None:
        self._cfg = cfg
        self._rng = random.Random(cfg.seed)
        self._mean_ms = {
            calls.CallClass.LOOKUP: cfg.lookup_ms,
            calls.CallClass.WRITE: cfg.write_ms,
            calls.CallClass.PULL: cfg.pull_ms,
        }

    def draw_s(self, call_class: calls.CallClass, *, factor: float) -> float:
        """Returns a service time in seconds."""
        service_time_s = self._mean_ms[call_class] / 1000 * factor
        sigma = self._cfg.service_time_sigma
        if sigma > 0:
            # The mean of this log-normal factor is 1.
            service_time_s *= self._rng.lognormvariate(-(sigma**2) / 2, sigma)
        if self._rng.random() < self._cfg.straggler_share:
            service_time_s *= self._cfg.straggler_factor
        return service_time_s


def call_class_of(
    cfg: options.StandinUpstream, *, method: str, path: str
) -> calls.CallClass:
    """Returns the class of a call, by the routes or else by method and path."""
    for route in cfg.routes:
        if path.startswith(route.path_prefix):
            return route.call_class
    if method not in ("GET", "HEAD"):
        return calls.CallClass.WRITE
    if path.startswith("/pull"):
        return calls.CallClass.PULL
    return calls.CallClass.LOOKUP
