"""Schedules the calls of one service by route, latency target and deadline."""

from collections.abc import Callable
import functools

from tanagerspoke.coordination import balancing
from tanagerspoke.coordination import call_attempts
from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import refusals
from tanagerspoke.coordination import retries
from tanagerspoke.coordination import retry_budget
from tanagerspoke.coordination import route_statistics
from tanagerspoke.coordination import subsetting
from tanagerspoke.coordination import target_queue
from tanagerspoke.coordination.cold_upstreams import cold_choice
from tanagerspoke.coordination.fair_shares import service_shares
from tanagerspoke.coordination.placements import candidates
from tanagerspoke.coordination.placements import upstream_choice
from tanagerspoke.coordination.second_attempts import decisions
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads

# A hedge starts once the first attempt has run longer than this quantile of
# the route's recent attempt durations.
_HEDGE_QUANTILE = 0.8
# Late hedge: an idempotent call without a response after its target is hedged
# once its attempt has run for this multiple of a high quantile of durations.
_LATE_HEDGE_RATIO = 1.5
_LATE_HEDGE_QUANTILE = 0.95
# Extra attempts that hedges leave to retries. A retry is needed more: its call
# has no other attempt in flight.
_RESERVED_FOR_RETRIES = 1.0
# A call that can no longer meet its target stays queued for at most this share
# of its target latency; it is then refused with a delay before a retry.
_MAX_LATE_WAIT_SHARE = 0.5
# Time in the queue after which upstreams of all zones are probed.
_LOCAL_ZONE_ONLY_S = probe_rounds.ROUND_DURATION_S
# Delay until a hedge that could not be sent is tried again.
_HEDGE_RECHECK_S = probe_rounds.ROUND_DURATION_S
_MAX_HEDGE_TRIES = 5
# Delay until a hedge is tried again after that many, where their share is set.
_HEDGE_PAUSE_S = 0.1
# Interval at which queued calls are tried again: the estimates of the other
# nodes' calls change over time without an event.
_RECHECK_INTERVAL_S = 0.01
_MAX_QUEUED_PER_SLOT = 16
_MIN_QUEUE_LIMIT = 64
# Upstreams that a node prefers: enough for two rounds of probes. They are
# probed first, and others of the zone if these are busy or slow.
_PREFERRED_UPSTREAMS = 6


class RouteScheduler:
    """Decides when and where each call of a service runs."""

    def __init__(
        self,
        *,
        availability_zone: str,
        cross_zone_penalty_s: float,
        budget: retry_budget.RetryBudget,
        probes: probe_rounds.ProbeRounds,
        rng: randomness.Random,
        nodes: int = 1,
        node: str = "",
        gate: dispatch_gate.CombinedGate | None = None,
        hedge_share: float | None = None,
        limits_cold: Callable[[], bool] = lambda: False,
        shares: service_shares.ServiceShares | None = None,
    ) -> None:
        """Creates a scheduler without upstreams.

        Args:
            availability_zone: zone of this node.
            cross_zone_penalty_s: latency that is added to the expected latency
                of upstreams in other zones.
            budget: limits the attempts beyond the first of each call.
            probes: chooses upstreams to probe.
            rng: random number generator.
            nodes: live nodes that share the upstreams.
            node: name of this node, which decides which upstreams it prefers.
            gate: passed by each attempt immediately before it is sent.
            hedge_share: hedges per call that may be repeated, 0 to 1; None
                where only the budget limits them.
            limits_cold: returns whether the calls of cold upstreams are
                limited; otherwise they are used like others.
            shares: what the client accounts received of the service; None
                without accounts.
        """
        self._gate = gate or dispatch_gate.CombinedGate(parts=())
        self._node = node
        self._availability_zone = availability_zone
        self._preferred: frozenset[str] = frozenset()
        self._budget = budget
        self._probes = probes
        self._rng = rng
        self._nodes = max(1, nodes)
        self._view = loads.LoadView(
            exact_for_s=probe_rounds.MAX_FRESH_AGE_S,
            position=functools.partial(subsetting.position, node),
        )
        self._cold = cold_choice.ColdChoice(
            view=self._view, limits_cold=limits_cold
        )
        self._balancer = balancing.Balancer(
            view=self._view,
            availability_zone=availability_zone,
            cross_zone_penalty_s=cross_zone_penalty_s,
            rng=rng,
        )
        self._statistics = route_statistics.RouteStatistics(view=self._view)
        self._queue = target_queue.TargetQueue(
            shares=shares, has_room=lambda count: self._choice.has_room(count)
        )
        self._refusals = refusals.Refusals(
            view=self._view, statistics=self._statistics, rng=rng
        )
        self._calls = call_attempts.OpenCalls()
        self._local_in_flight = 0
        self._choice = upstream_choice.UpstreamChoice(
            view=self._view,
            balancer=self._balancer,
            cold=self._cold,
            gate=self._gate,
            probes=probes,
            statistics=self._statistics,
            queue=self._queue,
            rng=rng,
            nodes=lambda: self._nodes,
            local_in_flight=lambda: self._local_in_flight,
        )
        self._recheck_at: float | None = None
        self._second_attempts: decisions.SecondAttempts | None = None
        self.set_hedge_share(hedge_share)

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next `Tick` that is needed, or None."""
        wakeups = (
            self._recheck_at,
            self._queue.next_expiry,
            self._calls.next_hedge_at,
        )
        return min((at for at in wakeups if at is not None), default=None)

    @property
    def view(self) -> loads.LoadView:
        """Upstreams of the service with their load; not to be changed."""
        return self._view

    @property
    def queue_length(self) -> int:
        """Calls that wait for an upstream."""
        return len(self._queue)

    def is_cold(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Returns whether an upstream is cold."""
        record = self._view.get(upstream.upstream_id)
        return record is not None and record.is_cold(now)

    def cold_count(self, now: float) -> int:
        """Returns the number of eligible upstreams that are cold."""
        return self._view.cold_count(now)

    def set_gateways(self, gateways: int) -> None:
        """Sets the number of live nodes that share the upstreams."""
        self._nodes = max(1, gateways)

    @property
    def hedges_left(self) -> float | None:
        """Hedges that the share allows now; None without a share."""
        if self._second_attempts is None:
            return None
        return self._second_attempts.allowance.remaining

    def set_hedge_share(self, share: float | None) -> None:
        """Sets the hedges per call that may be repeated; see `__init__`."""
        if share is None:
            self._second_attempts = None
        elif self._second_attempts is None:
            self._second_attempts = decisions.SecondAttempts(
                share=share, statistics=self._statistics
            )
        else:
            self._second_attempts.allowance.set_share(share)

    def would_refuse(
        self, *, call: calls.Call, now: float
    ) -> calls.Refuse | None:
        """Returns the refusal that the call would get now, or None."""
        code = self._refusal_code(call, now)
        return None if code is None else self._refusal(call, code, now)

    def _refusal_code(
        self, call: calls.Call, now: float
    ) -> errors.ErrorCode | None:
        if now >= call.deadline:
            return errors.ErrorCode.QUEUE_TIMEOUT
        code = self._gate.check(call, now)
        if code is None:
            code = self._refusals.unservable_code(call, now)
        if code is not None:
            return code
        limit = max(
            _MIN_QUEUE_LIMIT, _MAX_QUEUED_PER_SLOT * self._view.total_slots
        )
        if len(self._queue) >= limit:
            return errors.ErrorCode.QUEUE_FULL
        return None

    def _refusal(
        self, call: calls.Call, code: errors.ErrorCode, now: float
    ) -> calls.Refuse:
        return self._refusals.refuse(
            call,
            code,
            queued_calls=len(self._queue),
            parallel_calls=self._parallel_calls,
            now=now,
        )

    @property
    def _parallel_calls(self) -> float:
        return max(self._local_in_flight, self._view.total_slots / self._nodes)

    def explain(
        self, *, call: calls.Call, now: float
    ) -> placement.ServicePlacement:
        """Returns where a call that arrives now would go; changes no state."""
        state = call_attempts.CallState(
            call=call, attempts={}, queued=True, queued_at=now
        )
        queued_call = self._queued_call(state, now)
        wait_ends_at = None
        if self._probes.reports_load:
            wait_ends_at = self._choice.wait_ends_at(
                queued_call,
                queued_at=now,
                queued_calls=len(self._queue) + 1,
                now=now,
            )
        waited_until = queued_call.expires_at
        if wait_ends_at is not None:
            waited_until = wait_ends_at
        first, after_wait = (
            self._choice.assess_for_queued(state, queued_call, now, at=at)
            for at in (now, max(now, waited_until))
        )
        code = self._refusal_code(call, now)
        refusal = None
        if code is not None:
            refusal = self._refusals.preview(
                call,
                code,
                queued_calls=len(self._queue),
                parallel_calls=self._parallel_calls,
                now=now,
            )
        return candidates.describe(
            view=self._view,
            refusal=refusal,
            now_assessed=first,
            after_wait_assessed=after_wait,
            wait_ends_at=wait_ends_at,
            expires_at=queued_call.expires_at,
            queued_calls=len(self._queue),
            calls_ahead=self._queue.calls_ahead(queued_call, now),
            now=now,
        )

    def handle(
        self, *, event: calls.SchedulerEvent, now: float
    ) -> list[calls.SchedulerAction]:
        """Returns the actions that an event leads to."""
        actions: list[calls.SchedulerAction] = []
        match event:
            case calls.CallArrived(call=call):
                self._handle_arrival(call, now, actions)
            case calls.AttemptEnded():
                self._end_attempt(event, now, actions)
            case calls.ResponseStarted():
                actions += self._calls.start_response(event)
            case calls.CallerDisconnected(call_id=call_id):
                self._handle_disconnect(call_id, actions)
            case calls.ProbeEnded():
                self._end_probe(event, now)
            case _:
                self._update_upstreams(event, now)
        self._run_due_work(now, actions)
        return actions

    def _update_upstreams(
        self, event: calls.SchedulerEvent, now: float
    ) -> None:
        match event:
            case calls.UpstreamsChanged(upstreams=changed):
                self._view.set_upstreams(listed=changed, now=now)
                self._cold.apply_entries(event.cold_until, now)
                self._update_preferred()
            case calls.ZonesEvacuated(zones=zones):
                self._view.set_evacuated_zones(zones, now)
                self._update_preferred()
            case calls.DrainMarked(upstream_id=upstream_id):
                self._view.mark_draining(upstream_id)
            case calls.NoticeReceived(upstream=upstream, notice=notice):
                self._view.apply_notice(upstream, notice, now)
                self._cold.apply_notice(upstream, notice, now)
            case calls.LoadReported(upstream_id=upstream_id, load=load):
                self._apply_report(upstream_id, load, now)

    def _update_preferred(self) -> None:
        self._preferred = subsetting.preferred_ids(
            node=self._node,
            availability_zone=self._availability_zone,
            listed=[r.upstream for r in self._view.eligible],
            size=_PREFERRED_UPSTREAMS,
        )

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
        # A refused call adds no load, so it allows no further attempts.
        self._budget.count_call(now)
        state = self._calls.add(call)
        self._enqueue(state, now)

    def _enqueue(self, state: call_attempts.CallState, now: float) -> None:
        state.queued = True
        state.queued_at = now
        self._queue.push(self._queued_call(state, now))

    def _queued_call(
        self, state: call_attempts.CallState, now: float
    ) -> target_queue.QueuedCall:
        call = state.call
        target_at = call.target_at or call.deadline
        latest_start_at = self._refusals.latest_start_at(call)
        expected_s = target_at - latest_start_at
        late_wait_s = _MAX_LATE_WAIT_SHARE * call.target_latency_s
        return target_queue.QueuedCall(
            call=call,
            latest_start_at=latest_start_at,
            expires_at=min(
                call.deadline - expected_s,
                max(now, latest_start_at) + late_wait_s,
            ),
        )

    def _apply_report(
        self, upstream_id: str, load: upstreams.LoadReport, now: float
    ) -> None:
        record = self._view.get(upstream_id)
        if record is not None:
            self._probes.record_report(now)
            self._view.record_report(record=record, load=load, now=now)

    def _end_probe(self, event: calls.ProbeEnded, now: float) -> None:
        self._probes.end_probe(
            upstream_id=event.upstream_id,
            reported=event.load is not None,
            responded=event.responded,
        )
        if event.load is not None:
            self._apply_report(event.upstream_id, event.load, now)
            return
        record = self._view.get(event.upstream_id)
        if record is not None:
            record.record_probe_failure(now)

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
        state.sent_count += 1
        attempt = state.attempt_count
        record.local_in_flight += 1
        self._local_in_flight += 1
        in_flight = self._view.in_flight(record, now)
        state.attempts[attempt] = call_attempts.Attempt(
            record=record,
            started_at=now,
            is_hedge=is_hedge,
            saturated=in_flight / record.slots
            > upstream_choice.MAX_UNSATURATED_UTILIZATION,
            host_slowness=probe_rounds.fresh_host_slowness(record, now),
            cold=self._cold.is_cold(record, now),
        )
        if attempt == 1:
            self._queue.record_sent(call, now)
            if self._second_attempts is not None:
                self._second_attempts.record_dispatch(state=state, now=now)
        upstream_id = record.upstream.upstream_id
        self._gate.record_dispatch(record.upstream, now)
        state.tried += (upstream_id,)
        if call.idempotent and call.hedge and not is_hedge:
            self._schedule_hedge(state, now)
        actions.append(
            calls.Dispatch(
                call_id=call.call_id,
                attempt=attempt,
                upstream_id=upstream_id,
                is_hedge=is_hedge,
                basis=calls.DispatchBasis(
                    local_in_flight=record.local_in_flight,
                    expected_in_flight=in_flight,
                    report_age_s=record.report_age_s(now),
                    slowness=record.current_slowness(now),
                    eligible_upstreams=len(self._view.eligible),
                ),
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
        record = attempt.record
        if event.load is not None:
            self._probes.record_report(now)
            self._view.record_report(record=record, load=event.load, now=now)
        record.local_in_flight -= 1
        self._local_in_flight -= 1
        self._view.remove_if_idle(record)
        ejected = self._statistics.add_result(
            call=state.call,
            record=record,
            result=event.result,
            saturated=attempt.saturated,
            is_hedge=attempt.is_hedge,
            elapsed_s=now - attempt.started_at,
            now=now,
            cold=attempt.cold,
        )
        if ejected:
            actions.append(
                calls.ReportEjection(
                    upstream_id=record.upstream.upstream_id,
                    duration_s=record.ejected_until - now,
                )
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
        if state.streaming_attempt is None and self._retry(state, result, now):
            return
        self._end_unsuccessfully(state, now, actions)

    def _retry(
        self,
        state: call_attempts.CallState,
        result: calls.AttemptResult,
        now: float,
    ) -> bool:
        if (
            state.sent_count >= state.call.max_attempts
            or not self._view.eligible
        ):
            return False
        if not retries.may_retry(call=state.call, result=result, now=now):
            return False
        # An attempt that sent no byte puts no extra load on upstreams.
        sent = not isinstance(result, calls.NotSent)
        if sent and not self._budget.spend(now):
            return False
        if sent and self._second_attempts is not None:
            self._second_attempts.record_retry(state.call)
        self._enqueue(state, now)
        return True

    def _end_unsuccessfully(
        self,
        state: call_attempts.CallState,
        now: float,
        actions: list[calls.SchedulerAction],
    ) -> None:
        """Ends a call that has no attempt in flight and no success."""
        ended = self._calls.fail(state)
        if ended is not None:
            actions.append(ended)
            return
        code = state.not_run_code or errors.ErrorCode.QUEUE_TIMEOUT
        actions.append(self._refusal(state.call, code, now))

    def _handle_disconnect(
        self, call_id: int, actions: list[calls.SchedulerAction]
    ) -> None:
        state = self._calls.get(call_id)
        if state is None or state.done:
            return
        state.done = True
        if state.queued:
            state.queued = False
            self._queue.remove(call_id)
        actions.extend(call_attempts.cancel_attempts(state, keep=None))
        self._calls.remove_finished(state)

    def _run_due_work(
        self, now: float, actions: list[calls.SchedulerAction]
    ) -> None:
        for state in self._calls.pop_due_hedges(now):
            self._consider_hedge(state, now, actions)
        for queued_call in self._queue.pop_expired(now):
            state = self._calls[queued_call.call.call_id]
            state.queued = False
            if self._second_attempts is not None:
                self._second_attempts.record_expiry()
            self._end_unsuccessfully(state, now, actions)
        self._refuse_unservable(now, actions)
        if len(self._queue):
            self._dispatch_queued(now, actions)
        self._recheck_at = (
            now + _RECHECK_INTERVAL_S if len(self._queue) else None
        )

    def _refuse_unservable(
        self, now: float, actions: list[calls.SchedulerAction]
    ) -> None:
        """Refuses queued calls that no upstream will accept in time."""
        if not self._refusals.may_be_needed(now):
            return
        for state in self._queued_states():
            code = self._refusals.unservable_code(state.call, now)
            if code is None:
                continue
            self._queue.remove(state.call.call_id)
            state.queued = False
            state.not_run_code = code
            self._end_unsuccessfully(state, now, actions)

    def _dispatch_queued(
        self, now: float, actions: list[calls.SchedulerAction]
    ) -> None:
        for queued_call in self._queue.order(now):
            state = self._calls[queued_call.call.call_id]
            record = self._choice.choose_for_queued(state, queued_call, now)
            if record is None:
                continue
            self._queue.remove(queued_call.call.call_id)
            state.queued = False
            code = self._gate.check(queued_call.call, now)
            if code is not None:
                state.not_run_code = code
                self._end_unsuccessfully(state, now, actions)
                continue
            self._dispatch(state, record, now, actions)
        if len(self._queue):
            oldest_queued_at = min(s.queued_at for s in self._queued_states())
            self._start_probes(now, oldest_queued_at, actions)

    def _queued_states(self) -> list[call_attempts.CallState]:
        return [self._calls[call_id] for call_id in self._queue.call_ids]

    def _start_probes(
        self,
        now: float,
        queued_since: float,
        actions: list[calls.SchedulerAction],
    ) -> None:
        may_use_cold = self._cold.may_use(queued_at=queued_since, now=now)
        records = [
            r
            for r in self._view.eligible
            if r.local_in_flight < r.slots
            and r.ejected_until <= now
            and r.paused_until <= now
            # An upstream that may get no call now need not report its load.
            and (
                not self._cold.is_cold(r, now)
                or (may_use_cold and self._gate.admits(r.upstream, now))
            )
        ]
        self._rng.shuffle(records)
        records.sort(
            key=lambda r: (
                r.local_in_flight,
                r.probe_last_until > now,
                r.upstream.upstream_id not in self._preferred,
            )
        )
        actions.extend(
            calls.Probe(upstream_id=r.upstream.upstream_id)
            for r in self._probes.next_round(
                records=records,
                queued_calls=len(self._queue),
                all_zones=now - queued_since > _LOCAL_ZONE_ONLY_S,
                nodes=self._nodes,
                now=now,
            )
        )

    def _schedule_hedge(
        self, state: call_attempts.CallState, now: float
    ) -> None:
        call = state.call
        if self._second_attempts is not None:
            (attempt,) = state.attempts.values()
            self._follow_decision(
                state,
                self._second_attempts.first_look(call=call, attempt=attempt),
            )
            return
        at = now + self._statistics.quantile_s(call, _HEDGE_QUANTILE)
        expected_s = self._statistics.quantile_s(
            call, refusals.EXPECTED_DURATION_QUANTILE
        )
        if at + expected_s > (call.target_at or call.deadline):
            at = self._late_hedge_at(call, now)
        if at + expected_s < call.deadline:
            self._calls.schedule_hedge(state, at)

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
        if state.sent_count >= call.max_attempts or now >= call.deadline:
            return
        if self._gate.check(call, now) is not None:
            return
        if self._second_attempts is not None:
            self._consider_second_attempt(state, attempt, now, actions)
            return
        # A queue means saturation: a hedge would take a queued call's slot.
        if not len(self._queue) and self._send_hedge(state, now, actions):
            return
        late_hedge_at = self._late_hedge_at(call, attempt.started_at)
        if now < late_hedge_at < call.deadline:
            self._calls.schedule_hedge(state, late_hedge_at)

    def _consider_second_attempt(
        self,
        state: call_attempts.CallState,
        attempt: call_attempts.Attempt,
        now: float,
        actions: list[calls.SchedulerAction],
    ) -> None:
        """Considers a hedge where their share is set."""
        decision = self._second_attempts.decide(
            call=state.call,
            attempt=attempt,
            waiting_since=min(
                (s.queued_at for s in self._queued_states()), default=None
            ),
            now=now,
        )
        if isinstance(decision, decisions.SendNow):
            reserve = self._second_attempts.reserved_for_retries(
                self._budget.allowed(now)
            )
            if self._send_hedge(state, now, actions, reserve=reserve):
                return
            decision = decisions.ConsiderAt(at=now + _HEDGE_PAUSE_S)
        self._follow_decision(state, decision)

    def _follow_decision(
        self, state: call_attempts.CallState, decision: decisions.Decision
    ) -> None:
        match decision:
            case decisions.ConsiderAt(at=at) if at < state.call.deadline:
                self._calls.schedule_hedge(state, at)

    def _send_hedge(
        self,
        state: call_attempts.CallState,
        now: float,
        actions: list[calls.SchedulerAction],
        *,
        reserve: float = _RESERVED_FOR_RETRIES,
    ) -> bool:
        """Returns whether a hedge was sent or another try was scheduled."""
        if self._budget.remaining(now) <= reserve:
            return False
        fast_only = self._probes.reports_load
        record = self._choice.choose_for_hedge(
            state,
            now,
            avoids_unlimited_cold=self._second_attempts is not None,
        )
        if record is not None and self._budget.spend(now, reserve=reserve):
            if self._second_attempts is not None:
                self._second_attempts.allowance.spend()
            self._dispatch(state, record, now, actions, is_hedge=True)
            return True
        state.hedge_tries += 1
        if not fast_only or state.hedge_tries % _MAX_HEDGE_TRIES == 0:
            return False
        self._start_probes(now, state.queued_at, actions)
        self._calls.schedule_hedge(state, now + _HEDGE_RECHECK_S)
        return True

    def _late_hedge_at(self, call: calls.Call, started_at: float) -> float:
        """Returns when a late call without a response is hedged."""
        min_elapsed_s = _LATE_HEDGE_RATIO * self._statistics.quantile_s(
            call, _LATE_HEDGE_QUANTILE
        )
        return max(call.target_at or call.deadline, started_at + min_elapsed_s)
