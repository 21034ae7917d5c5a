"""Discrete-event simulation of gateways and upstreams, without I/O."""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import heapq
import itertools
import random
import time
from typing import Any

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams

# Network delays in one direction, within a zone and between zones.
_SAME_ZONE_DELAY_S = 0.0002
_CROSS_ZONE_DELAY_S = 0.0006
# Time from the arrival of an attempt at an upstream with `fail_fast` until its
# gateway has the response.
_FAST_FAILURE_DELAY_S = 0.001
# Time from the arrival of a probe at an upstream that does not respond until
# the probe ends.
_PROBE_TIMEOUT_S = 0.25


class Clock:
    """Virtual time in seconds, with a queue of scheduled callbacks."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._sequence = itertools.count()

    def schedule(
        self, at_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedules a callback; a time in the past counts as now."""
        event = (max(at_s, self.now), next(self._sequence), callback, args)
        heapq.heappush(self._heap, event)

    def run(self) -> None:
        """Runs callbacks in the order of their times until none is left."""
        while self._heap:
            self.now, _, callback, args = heapq.heappop(self._heap)
            callback(*args)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """An attempt in transit to, queued at or running on an upstream.

    Attributes:
        gateway_done: whether the gateway has passed its end to the scheduler.
        upstream_done: whether the upstream has finished or dropped it.
    """

    gateway: "Gateway"
    call: calls.Call
    attempt: int
    fake: "FakeUpstream"
    service_time_s: float
    running: bool = False
    gateway_done: bool = False
    upstream_done: bool = False


class FakeUpstream:
    """Upstream with slots, a FIFO queue in front of them, and faults.

    Attributes:
        slow_factor: multiplies the service time of attempts that start.
        full_slow_factor: multiplies it as well for those that take the last
            slot.
        fail_fast: responds with 500 after a short delay and uses no slot.
        crashed: refuses connections.
        frozen: attempts that start never finish, and probes get no response.
        resets_beyond: if set, an attempt that would make the queue longer than
            this is reset without a response.
        probes_fail: probes get no response.
        fail_share: share of the attempts that get a response 500.
        reported_in_flight: if set, the number in flight in load reports.
        reports_slowness: whether load reports contain `slow_factor`.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        upstream: upstreams.Upstream,
        load_report_age_s: float,
    ) -> None:
        self.upstream = upstream
        self.slow_factor = 1.0
        self.full_slow_factor = 1.0
        self.fail_fast = False
        self.crashed = False
        self.frozen = False
        self.resets_beyond: int | None = None
        self.probes_fail = False
        self.fail_share = 0.0
        self._rng = random.Random(upstream.upstream_id)
        self.resets = 0
        self.reported_in_flight: int | None = None
        self.reports_slowness = False
        self._clock = clock
        self._load_report_age_s = load_report_age_s
        self._running: set[Job] = set()
        self._queue: collections.deque[Job] = collections.deque()
        self._load_history = collections.deque([(0.0, 0)])

    def receive(self, job: Job) -> None:
        """Accepts an attempt, unless it is cancelled or a fault prevents it."""
        if job.upstream_done:
            return
        if self.crashed:
            job.gateway.end_attempt(job, calls.NotSent(), None)
            return
        if (
            self.resets_beyond is not None
            and len(self._queue) >= self.resets_beyond
            and len(self._running) >= self.upstream.slots
        ):
            self.resets += 1
            job.upstream_done = True
            job.gateway.end_attempt(job, calls.Broken(dropped=True), None)
            return
        if self.fail_fast or self._rng.random() < self.fail_share:
            self._clock.schedule(
                self._clock.now + _FAST_FAILURE_DELAY_S, self._fail, job
            )
            return
        self._queue.append(job)
        self._start_queued_jobs()
        self._record_load()

    def probe(self) -> upstreams.LoadReport | None:
        """Returns the load report of a probe; None if it gets no response."""
        if self.crashed or self.frozen or self.probes_fail:
            return None
        return self._load_report()

    def cancel(self, job: Job) -> None:
        """Drops an attempt that its gateway has abandoned; frees its slot."""
        job.upstream_done = True
        if job in self._running:
            self._running.remove(job)
        elif job in self._queue:
            self._queue.remove(job)
        self._start_queued_jobs()
        self._record_load()

    def crash(self) -> None:
        """Breaks queued and running attempts; later ones are refused."""
        self.crashed = True
        jobs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in sorted(
            jobs, key=lambda job: (job.call.call_id, job.attempt)
        ):
            job.upstream_done = True
            job.gateway.end_attempt(job, calls.Broken(), None)

    def _fail(self, job: Job) -> None:
        result = calls.Answered(status=500, failed=True)
        job.gateway.end_attempt(job, result, self._load_report())

    def _start_queued_jobs(self) -> None:
        while self._queue and len(self._running) < self.upstream.slots:
            job = self._queue.popleft()
            self._running.add(job)
            if not self.frozen:
                service_time_s = job.service_time_s * self.slow_factor
                if len(self._running) == self.upstream.slots:
                    service_time_s *= self.full_slow_factor
                finish_at = self._clock.now + service_time_s
                self._clock.schedule(finish_at, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job.upstream_done or job not in self._running:
            return
        load = self._load_report()
        self._running.remove(job)
        job.upstream_done = True
        self._start_queued_jobs()
        self._record_load()
        at_s = self._clock.now + job.gateway.one_way_delay_s(self)
        result = calls.Answered(status=200)
        self._clock.schedule(at_s, job.gateway.end_attempt, job, result, load)

    def _record_load(self) -> None:
        in_flight = len(self._running) + len(self._queue)
        self._load_history.append((self._clock.now, in_flight))

    def _load_report(self) -> upstreams.LoadReport:
        in_flight = len(self._running) + len(self._queue)
        if self._load_report_age_s:
            sampled_at = self._clock.now - self._load_report_age_s
            while (
                len(self._load_history) > 1
                and self._load_history[1][0] <= sampled_at
            ):
                self._load_history.popleft()
            in_flight = self._load_history[0][1]
        else:
            self._load_history.clear()
        if self.reported_in_flight is not None:
            in_flight = self.reported_in_flight
        slowness = self.slow_factor if self.reports_slowness else 1.0
        return upstreams.LoadReport(
            in_flight=in_flight,
            slots=self.upstream.slots,
            host_slowness=slowness,
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class CallRecord:
    """A call and its result.

    Attributes:
        outcome: `useful` (a successful response), `refused` or `failed`; empty
            until the call ends.
        latency_s: virtual time from its arrival to its end.
    """

    call: calls.Call
    outcome: str = ""
    latency_s: float = 0.0


class Gateway:
    """Runs a scheduler and the attempts that it dispatches.

    Attributes:
        handled_events: number of events that the scheduler has handled.
        handling_time_s: real time that the scheduler took for them.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        scheduler: Any,
        zone: str,
        fakes: dict[str, FakeUpstream],
        service_time_s: Callable[[calls.Call, int], float],
    ) -> None:
        self.scheduler = scheduler
        self.records: dict[int, CallRecord] = {}
        self.first_attempts = 0
        self.hedges = 0
        self.retries = 0
        self.handled_events = 0
        self.handling_time_s = 0.0
        self._clock = clock
        self._zone = zone
        self._fakes = fakes
        self._service_time_s = service_time_s
        self._jobs: dict[tuple[int, int], Job] = {}
        self._results: dict[tuple[int, int], calls.AttemptResult] = {}
        self._wakeup: float | None = None

    def one_way_delay_s(self, fake: FakeUpstream) -> float:
        """Returns the network delay to an upstream in one direction."""
        if fake.upstream.availability_zone == self._zone:
            return _SAME_ZONE_DELAY_S
        return _CROSS_ZONE_DELAY_S

    def receive_call(self, call: calls.Call) -> None:
        """Accepts a call from a caller."""
        self.records[call.call_id] = CallRecord(call=call)
        self.handle(calls.CallArrived(call=call))

    def handle(self, event: calls.SchedulerEvent) -> None:
        """Passes an event to the scheduler and executes its actions."""
        now = self._clock.now
        started_at = time.perf_counter()
        actions = self.scheduler.handle(event=event, now=now)
        wakeup = self.scheduler.next_wakeup
        self.handling_time_s += time.perf_counter() - started_at
        self.handled_events += 1
        for action in actions:
            self._execute(action)
        if wakeup is not None and (
            self._wakeup is None or wakeup < self._wakeup
        ):
            self._wakeup = wakeup
            self._clock.schedule(wakeup, self._tick, wakeup)

    def _tick(self, wakeup: float) -> None:
        if self._wakeup == wakeup:
            self._wakeup = None
            self.handle(calls.Tick())

    def end_attempt(
        self,
        job: Job,
        result: calls.AttemptResult,
        load: upstreams.LoadReport | None,
    ) -> None:
        """Passes the end of an attempt to the scheduler, at most once."""
        if job.gateway_done:
            return
        job.gateway_done = True
        key = (job.call.call_id, job.attempt)
        self._jobs.pop(key, None)
        self._results[key] = result
        self.handle(
            calls.AttemptEnded(
                call_id=job.call.call_id,
                attempt=job.attempt,
                upstream_id=job.fake.upstream.upstream_id,
                result=result,
                load=load,
            )
        )

    def _execute(self, action: calls.SchedulerAction) -> None:
        match action:
            case calls.Dispatch():
                self._dispatch(action)
            case calls.CancelAttempt(call_id=call_id, attempt=attempt):
                job = self._jobs.get((call_id, attempt))
                if job is not None:
                    self._abort(job, calls.Cancelled())
            case calls.Probe(upstream_id=upstream_id):
                fake = self._fakes[upstream_id]
                at_s = self._clock.now + self.one_way_delay_s(fake)
                self._clock.schedule(at_s, self._probe, fake)
            case calls.DeliverResponse(call_id=call_id, attempt=attempt):
                result = self._results[(call_id, attempt)]
                succeeded = (
                    isinstance(result, calls.Answered) and not result.failed
                )
                self._record_outcome(
                    call_id, "useful" if succeeded else "failed"
                )
            case calls.Refuse(call_id=call_id):
                self._record_outcome(call_id, "refused")
            case calls.Fail(call_id=call_id):
                self._record_outcome(call_id, "failed")

    def _probe(self, fake: FakeUpstream) -> None:
        load = fake.probe()
        delay_s = self.one_way_delay_s(fake) if load else _PROBE_TIMEOUT_S
        event = calls.ProbeEnded(
            upstream_id=fake.upstream.upstream_id,
            load=load,
            responded=load is not None,
        )
        self._clock.schedule(self._clock.now + delay_s, self.handle, event)

    def _record_outcome(self, call_id: int, outcome: str) -> None:
        record = self.records[call_id]
        if record.outcome:
            raise AssertionError(f"call {call_id} ended twice")
        record.outcome = outcome
        record.latency_s = self._clock.now - record.call.arrived_at

    def _dispatch(self, action: calls.Dispatch) -> None:
        call = self.records[action.call_id].call
        fake = self._fakes[action.upstream_id]
        if action.is_hedge:
            self.hedges += 1
        elif action.attempt > 1:
            self.retries += 1
        else:
            self.first_attempts += 1
        job = Job(
            gateway=self,
            call=call,
            attempt=action.attempt,
            fake=fake,
            service_time_s=self._service_time_s(call, action.attempt),
        )
        self._jobs[(call.call_id, action.attempt)] = job
        self._clock.schedule(
            self._clock.now + self.one_way_delay_s(fake), fake.receive, job
        )
        self._clock.schedule(call.deadline, self._abort, job, calls.TimedOut())

    def _abort(self, job: Job, result: calls.AttemptResult) -> None:
        if job.gateway_done:
            return
        at_s = self._clock.now + self.one_way_delay_s(job.fake)
        self._clock.schedule(at_s, job.fake.cancel, job)
        # Scheduled rather than called, because this may run within `handle`.
        self._clock.schedule(
            self._clock.now, self.end_attempt, job, result, None
        )


def make_fakes(
    *,
    clock: Clock,
    listed: Iterable[upstreams.Upstream],
    load_report_age_s: float = 0.0,
) -> dict[str, FakeUpstream]:
    """Returns upstreams by id, which report the slowness of their hosts."""
    fakes = {
        upstream.upstream_id: FakeUpstream(
            clock=clock,
            upstream=upstream,
            load_report_age_s=load_report_age_s,
        )
        for upstream in listed
    }
    for fake in fakes.values():
        fake.reports_slowness = True
    return fakes


def attempt_rng(seed: int, call: calls.Call, attempt: int) -> random.Random:
    """Returns the generator of an attempt, the same under all schedulers."""
    return random.Random(seed * 1_000_003 + call.call_id * 7 + attempt)


def draw_service_time_s(
    *, mean_s: float, sigma: float, rng: random.Random
) -> float:
    """Returns a log-normal service time with the given mean."""
    return mean_s * rng.lognormvariate(-sigma * sigma / 2.0, sigma)
