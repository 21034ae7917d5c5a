"""Schedules the calls of one service in one gateway by call class."""

import dataclasses
import heapq
import math

from tanagerspoke.coordination import admission
from tanagerspoke.coordination import balancing
from tanagerspoke.coordination import call_attempts
from tanagerspoke.coordination import class_statistics
from tanagerspoke.coordination import hedging
from tanagerspoke.coordination import retries
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads

# Extra attempts for each call. Together they stay under the 5 % of extra load
# that hedges and retries may cause.
_HEDGES_PER_CALL = 0.035
_RETRIES_PER_CALL = 0.01
_BUDGET_CAPACITY_TOKENS = 5.0
_MAX_ATTEMPTS = 3
# Interval at which queued calls are tried again: the estimates of the other
# gateways' calls change over time without an event.
_RECHECK_INTERVAL_S = 0.005
# A queued call expires before its deadline by this multiple of its class's mean
# duration, since a later start would most likely miss the deadline.
_SERVICE_TIME_MARGIN = 2.0
# Queued calls per slot and class; bounds memory when deadlines are long.
_MAX_QUEUED_PER_SLOT = 16
_MIN_QUEUE_LIMIT = 64
_NO_UPSTREAM_RETRY_AFTER_S = 1.0
_MIN_RETRY_AFTER_S = 0.1
_MAX_HEDGE_TRIES = 3
# Attempts that a gateway may always have in flight, as a multiple of its equal
# part of the slots. Above 1, so that the calls queued at upstreams are divided
# evenly too: otherwise the gateway that learns of a free slot first would take
# it each time.
_FAIR_SHARE_FACTOR = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mechanisms:
    """Switches that turn mechanisms off, to measure what each contributes."""

    queue: bool = True
    classes: bool = True
    hedging: bool = True
    retries: bool = True
    ejection: bool = True
    load_reports: bool = True
    zone_preference: bool = True


class ServiceScheduler:
    """Decides when and where each call of a service runs."""

    def __init__(
        self,
        *,
        availability_zone: str,
        pull_slot_share: float,
        rng: randomness.Random,
        gateways: int = 1,
        cross_zone_penalty_s: float = 0.0015,
        mechanisms: Mechanisms | None = None,
    ) -> None:
        """Creates a scheduler without upstreams.

        Args:
            availability_zone: zone of this gateway.
            pull_slot_share: largest share of all slots used by pulls, 0 to 1.
            rng: random number generator.
            gateways: live gateways that share the upstreams.
            cross_zone_penalty_s: latency that is added to the expected latency
                of upstreams in other zones.
            mechanisms: switches; all on by default.
        """
        self._enabled = mechanisms or Mechanisms()
        self._pull_slot_share = pull_slot_share
        self._rng = rng
        self._gateways = max(1, gateways)
        self._view = loads.LoadView(use_reports=self._enabled.load_reports)
        self._balancer = balancing.Balancer(
            view=self._view,
            availability_zone=availability_zone,
            cross_zone_penalty_s=(
                cross_zone_penalty_s if self._enabled.zone_preference else 0.0
            ),
            rng=rng,
        )
        self._statistics = class_statistics.ClassStatistics(
            view=self._view, eject=self._enabled.ejection
        )
        self._queue = admission.AdmissionQueue(
            use_classes=self._enabled.classes
        )
        self._hedge_budget = retries.TokenBudget(
            tokens_per_call=_HEDGES_PER_CALL, capacity=_BUDGET_CAPACITY_TOKENS
        )
        self._retry_budget = retries.TokenBudget(
            tokens_per_call=_RETRIES_PER_CALL, capacity=_BUDGET_CAPACITY_TOKENS
        )
        self._calls = call_attempts.OpenCalls()
        self._local_in_flight = 0
        self._local_pulls = 0
        self._expiries: list[tuple[float, int]] = []
        self._recheck_at: float | None = None

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next `Tick` that is needed, or None."""
        wakeup = self._recheck_at
        self._drop_stale_expiries()
        hedge_at = self._calls.next_hedge_at
        if hedge_at is not None and (wakeup is None or hedge_at < wakeup):
            wakeup = hedge_at
        if self._expiries and (wakeup is None or self._expiries[0][0] < wakeup):
            wakeup = self._expiries[0][0]
        return wakeup

    @property
    def queue_length(self) -> int:
        """Calls that wait for an upstream."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Attempts of this gateway that have not ended."""
        return self._local_in_flight

    def set_gateways(self, gateways: int) -> None:
        """Sets the number of live gateways that share the upstreams."""
        self._gateways = max(1, gateways)

    def would_refuse(
        self, *, call: calls.Call, now: float
    ) -> calls.Refuse | None:
        """Returns the refusal that the call would get now, or None.

        Checked for a write before its idempotency key is claimed in the
        store. The result can be outdated when the call arrives.
        """
        if not self._view.eligible:
            return calls.Refuse(
                call_id=call.call_id,
                code=errors.ErrorCode.NO_UPSTREAM,
                retry_after_s=_NO_UPSTREAM_RETRY_AFTER_S,
            )
        if now >= call.deadline:
            return self._refusal(call, errors.ErrorCode.QUEUE_TIMEOUT, 0.0)
        if not len(self._queue):
            return None
        wait_s = self._expected_wait_s(call)
        if len(self._queue.queue(call.call_class)) >= self._queue_limit():
            return self._refusal(call, errors.ErrorCode.QUEUE_FULL, wait_s)
        if now + wait_s >= self._expires_at(call):
            return self._refusal(call, errors.ErrorCode.QUEUE_TIMEOUT, wait_s)
        return None

    def handle(
        self, *, event: calls.SchedulerEvent, now: float
    ) -> list[calls.SchedulerAction]:
        """Returns the actions that an event leads to."""
        actions: list[calls.SchedulerAction] = []
        # The two frequent events come first: `match` tries its cases in order.
        match event:
            case calls.CallArrived(call=call):
                self._handle_arrival(call, now, actions)
            case calls.AttemptEnded():
                self._end_attempt(event, now, actions)
            case calls.ResponseStarted():
                actions += self._calls.start_response(event)
            case calls.CallerDisconnected(call_id=call_id):
                self._handle_disconnect(call_id, actions)
            case calls.UpstreamsChanged(upstreams=changed):
                self._view.set_upstreams(listed=changed, now=now)
            case calls.DrainMarked(upstream_id=upstream_id):
                self._view.mark_draining(upstream_id)
            case calls.NoticeReceived(upstream=upstream, notice=notice):
                self._view.apply_notice(upstream, notice, now)
            case calls.LoadReported(upstream_id=upstream_id, load=load):
                self._apply_report(upstream_id, load, now)
        self._run_due_work(now, actions)
        return actions

    def _handle_arrival(
        self,
        call: calls.Call,
        now: float,
        actions: list[calls.SchedulerAction],
    ) -> None:
        refusal = self.would_refuse(call=call, now=now)
        if refusal is not None:
            actions.append(refusal)
            return
        state = self._calls.add(call)
        if not len(self._queue):
            record = self._choose_upstream(state, now)
            if record is not None:
                self._dispatch(state, record, now, actions)
                return
        if not self._enabled.queue:
            state.not_run_code = errors.ErrorCode.QUEUE_FULL
            self._end_unsuccessfully(state, actions)
            return
        self._enqueue(state)

    def _enqueue(
        self, state: call_attempts.CallState, *, at_front: bool = False
    ) -> None:
        expires_at = self._expires_at(state.call)
        state.queued = True
        self._queue.push(
            admission.QueuedCall(call=state.call, expires_at=expires_at),
            at_front=at_front,
        )
        heapq.heappush(self._expiries, (expires_at, state.call.call_id))

    def _choose_upstream(
        self,
        state: call_attempts.CallState,
        now: float,
        *,
        need_free_slot: bool = False,
    ) -> loads.UpstreamLoad | None:
        call_class = state.call.call_class
        is_limited_pull = (
            call_class is calls.CallClass.PULL and self._enabled.classes
        )
        if is_limited_pull and self._local_pulls >= self._max_local_pulls():
            return None
        tried = state.tried
        # A retry may use an upstream again if there is no other. A hedge may
        # not: it would be as slow as the first attempt.
        if not need_free_slot and len(tried) >= len(self._view.eligible):
            tried = ()
        total = self._view.total_slots
        use_fair_share = not self._enabled.queue or self._local_in_flight < max(
            1, math.ceil(_FAIR_SHARE_FACTOR * total / self._gateways)
        )
        return self._balancer.choose(
            call_class=call_class,
            typical_latency_s=self._statistics.mean_latency_s(call_class),
            now=now,
            tried=tried,
            use_fair_share=use_fair_share,
            need_free_slot=need_free_slot,
        )

    def _dispatch(
        self,
        state: call_attempts.CallState,
        record: loads.UpstreamLoad,
        now: float,
        actions: list[calls.SchedulerAction],
        *,
        is_hedge: bool = False,
    ) -> None:
        call = state.call
        state.attempt_count += 1
        attempt = state.attempt_count
        state.attempts[attempt] = call_attempts.Attempt(
            record=record, started_at=now, is_hedge=is_hedge
        )
        upstream_id = record.upstream.upstream_id
        state.tried += (upstream_id,)
        record.local_in_flight += 1
        self._local_in_flight += 1
        if call.call_class is calls.CallClass.PULL:
            record.local_pulls += 1
            self._local_pulls += 1
        if attempt == 1:
            self._hedge_budget.add_call()
            self._retry_budget.add_call()
        if not is_hedge and self._enabled.hedging and hedging.may_hedge(call):
            self._schedule_hedge(state, now)
        actions.append(
            calls.Dispatch(
                call_id=call.call_id,
                attempt=attempt,
                upstream_id=upstream_id,
                is_hedge=is_hedge,
            )
        )

    def _end_attempt(
        self,
        event: calls.AttemptEnded,
        now: float,
        actions: list[calls.SchedulerAction],
    ) -> None:
        ended = self._calls.end_attempt(event)
        if ended is None:
            return
        state, attempt = ended
        if event.load is not None:
            self._view.record_report(
                record=attempt.record, load=event.load, now=now
            )
        self._release_slot(state.call, attempt)
        self._statistics.add_result(
            call=state.call,
            record=attempt.record,
            result=event.result,
            is_hedge=attempt.is_hedge,
            elapsed_s=now - attempt.started_at,
            now=now,
        )
        if state.done:
            self._calls.remove_finished(state)
            return
        result = event.result
        if isinstance(result, calls.Answered) and not result.failed:
            actions += self._calls.settle(state, event.attempt)
            return
        call_attempts.record_failure(state, event.attempt, result)
        if state.attempts:
            return
        if state.streaming_attempt is None and self._retry(
            state, result, now, actions
        ):
            return
        self._end_unsuccessfully(state, actions)

    def _release_slot(
        self, call: calls.Call, attempt: call_attempts.Attempt
    ) -> None:
        record = attempt.record
        record.local_in_flight -= 1
        self._local_in_flight -= 1
        if call.call_class is calls.CallClass.PULL:
            record.local_pulls -= 1
            self._local_pulls -= 1
        self._view.remove_if_idle(record)

    def _retry(
        self,
        state: call_attempts.CallState,
        result: calls.AttemptResult,
        now: float,
        actions: list[calls.SchedulerAction],
    ) -> bool:
        if not self._enabled.retries or state.attempt_count >= _MAX_ATTEMPTS:
            return False
        if not self._view.eligible:
            return False
        if not retries.may_retry(call=state.call, result=result, now=now):
            return False
        if not self._retry_budget.spend():
            return False
        record = self._choose_upstream(state, now)
        if record is not None:
            self._dispatch(state, record, now, actions)
            return True
        if not self._enabled.queue:
            return False
        self._enqueue(state, at_front=True)
        return True

    def _end_unsuccessfully(
        self,
        state: call_attempts.CallState,
        actions: list[calls.SchedulerAction],
    ) -> None:
        """Ends a call that has no attempt in flight and no success."""
        ended = self._calls.fail(state)
        if ended is not None:
            actions.append(ended)
            return
        code = state.not_run_code or errors.ErrorCode.QUEUE_TIMEOUT
        wait_s = state.retry_after_s or self._expected_wait_s(state.call)
        actions.append(self._refusal(state.call, code, wait_s))

    def _handle_disconnect(
        self, call_id: int, actions: list[calls.SchedulerAction]
    ) -> None:
        state = self._calls.get(call_id)
        if state is None or state.done:
            return
        state.done = True
        if state.queued:
            state.queued = False
            self._queue.remove(state.call)
        if state.call.idempotent:
            actions.extend(call_attempts.cancel_attempts(state, keep=None))
        # A write keeps running: its result is recorded for later requests
        # with the same idempotency key.
        self._calls.remove_finished(state)

    def _apply_report(
        self, upstream_id: str, load: upstreams.LoadReport, now: float
    ) -> None:
        record = self._view.get(upstream_id)
        if record is not None:
            self._view.record_report(record=record, load=load, now=now)

    def _run_due_work(
        self, now: float, actions: list[calls.SchedulerAction]
    ) -> None:
        for state in self._calls.pop_due_hedges(now):
            self._consider_hedge(state, now, actions)
        if self._expiries and self._expiries[0][0] <= now:
            self._expire(now, actions)
        if len(self._queue):
            self._dispatch_queued(now, actions)
        self._recheck_at = (
            now + _RECHECK_INTERVAL_S if len(self._queue) else None
        )

    def _dispatch_queued(
        self, now: float, actions: list[calls.SchedulerAction]
    ) -> None:
        while True:
            for call_class in self._queue.order():
                head = self._queue.queue(call_class).head()
                state = self._calls[head.call.call_id]
                record = self._choose_upstream(state, now)
                if record is not None:
                    self._queue.pop(call_class)
                    state.queued = False
                    self._dispatch(state, record, now, actions)
                    break
            else:
                return

    def _expire(self, now: float, actions: list[calls.SchedulerAction]) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, call_id = heapq.heappop(self._expiries)
            state = self._calls.get(call_id)
            if state is None or not state.queued:
                continue
            queued_call = self._queue.remove(state.call)
            state.queued = False
            if queued_call is not None:
                self._end_unsuccessfully(state, actions)

    def _schedule_hedge(
        self, state: call_attempts.CallState, now: float
    ) -> None:
        delay_s = self._statistics.hedge_delay_s
        if delay_s is not None and now + delay_s < state.call.deadline:
            self._calls.schedule_hedge(state, now + delay_s)

    def _drop_stale_expiries(self) -> None:
        while self._expiries:
            state = self._calls.get(self._expiries[0][1])
            if state is not None and state.queued:
                return
            heapq.heappop(self._expiries)

    def _consider_hedge(
        self,
        state: call_attempts.CallState,
        now: float,
        actions: list[calls.SchedulerAction],
    ) -> None:
        call = state.call
        (attempt,) = state.attempts.values()
        self._statistics.add_lower_bound(
            call=call,
            record=attempt.record,
            elapsed_s=now - attempt.started_at,
            now=now,
        )
        if state.attempt_count >= _MAX_ATTEMPTS or now >= call.deadline:
            return
        record = None
        # Queued short calls mean saturation. Queued pulls don't: they also
        # wait at the limit of pulls while slots are free.
        if not self._queue.queued_short_calls:
            record = self._choose_upstream(state, now, need_free_slot=True)
        if record is not None and self._hedge_budget.spend():
            self._dispatch(state, record, now, actions, is_hedge=True)
            return
        state.hedge_tries += 1
        if state.hedge_tries < _MAX_HEDGE_TRIES:
            self._schedule_hedge(state, now)

    def _max_local_pulls(self) -> int:
        """Returns the largest number of pulls that this gateway runs.

        This is the gateway's part of the declared share, rounded down. The
        pulls of other gateways are only estimated: when the limit followed the
        estimate, a fleet ran pulls on 24 of 40 slots where 20 were declared.
        """
        total = self._view.total_slots
        return max(1, int(self._pull_slot_share * total / self._gateways))

    def _queue_limit(self) -> int:
        return max(
            _MIN_QUEUE_LIMIT, _MAX_QUEUED_PER_SLOT * self._view.total_slots
        )

    def _expires_at(self, call: calls.Call) -> float:
        mean_s = self._statistics.mean_latency_s(call.call_class)
        margin_s = _SERVICE_TIME_MARGIN * mean_s
        # A call with a short deadline may still be queued for half of its time.
        half_s = 0.5 * (call.deadline - call.arrived_at)
        return call.deadline - min(margin_s, half_s)

    def _expected_wait_s(self, call: calls.Call) -> float:
        wait_s = 0.0
        for call_class, ahead in self._queue.ahead_of(call).items():
            mean_s = self._statistics.mean_latency_s(call_class)
            if call_class is calls.CallClass.PULL and self._enabled.classes:
                parallel = self._max_local_pulls()
            else:
                parallel = max(1, self._local_in_flight - self._local_pulls)
            wait_s += ahead * mean_s / parallel
        return wait_s

    def _refusal(
        self, call: calls.Call, code: errors.ErrorCode, wait_s: float
    ) -> calls.Refuse:
        # Random, so that refused callers don't all retry at the same time.
        wait_s = max(_MIN_RETRY_AFTER_S, wait_s)
        return calls.Refuse(
            call_id=call.call_id,
            code=code,
            retry_after_s=wait_s * self._rng.uniform(1.0, 1.5),
        )
