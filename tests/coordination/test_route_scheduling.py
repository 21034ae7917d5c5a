"""Tests of the scheduler by route, latency target and deadline."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tanagerspoke.coordination import route_scheduling
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tests.coordination import helpers

_FAST = upstreams.LoadReport(in_flight=0, slots=3)
_SLOW = upstreams.LoadReport(in_flight=0, slots=3, host_slowness=5.0)
_FULL = upstreams.LoadReport(in_flight=3, slots=3)


def _scheduler(
    count: int = 3, *, shared_extra: float = 100.0, seed: int = 1
) -> route_scheduling.RouteScheduler:
    scheduler = helpers.make_route_scheduler(
        budget_extra=shared_extra, seed=seed
    )
    scheduler.handle(
        event=calls.UpstreamsChanged(upstreams=helpers.make_upstreams(count)),
        now=0.0,
    )
    return scheduler


def _call(
    call_id: int = 1,
    *,
    now: float = 0.0,
    idempotent: bool = True,
    max_attempts: int = 2,
    priority: int = 0,
) -> calls.Call:
    return calls.Call(
        call_id=call_id,
        client_account="",
        call_class=calls.CallClass.LOOKUP,
        idempotent=idempotent,
        hedge=idempotent,
        arrived_at=now,
        target_at=now + 0.6,
        deadline=now + 2.0,
        route="r",
        max_attempts=max_attempts,
        priority=priority,
    )


def _arrive(
    scheduler: route_scheduling.RouteScheduler, call: calls.Call, now: float
) -> list[calls.SchedulerAction]:
    return scheduler.handle(event=calls.CallArrived(call=call), now=now)


def _end_probe(
    scheduler: route_scheduling.RouteScheduler,
    upstream_id: str,
    load: upstreams.LoadReport | None,
    now: float,
) -> list[calls.SchedulerAction]:
    return scheduler.handle(
        event=calls.ProbeEnded(
            upstream_id=upstream_id, load=load, responded=load is not None
        ),
        now=now,
    )


def _of_type(actions: list[calls.SchedulerAction], kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


def test_a_call_waits_for_a_fast_host() -> None:
    """Guards against calls sent to a slow host while a fast one is free."""
    scheduler = _scheduler()
    actions = _arrive(scheduler, _call(), 0.0)
    assert [p.upstream_id for p in _of_type(actions, calls.Probe)] == ["u0"]
    actions = _end_probe(scheduler, "u0", _SLOW, 0.002)
    assert _of_type(actions, calls.Dispatch) == []
    assert {p.upstream_id for p in _of_type(actions, calls.Probe)} == {
        "u1",
        "u2",
    }
    actions = _end_probe(scheduler, "u1", _FAST, 0.004)
    assert [d.upstream_id for d in _of_type(actions, calls.Dispatch)] == ["u1"]


def test_call_goes_to_a_probed_host_of_a_large_service() -> None:
    """Guards against probes whose result is not used.

    Of 90 upstreams, a random sample of 16 was considered, which held none of
    the 3 that were probed for half of the calls. They waited, and further
    probes were sent for them.
    """
    scheduler = _scheduler(90)
    for call_id in range(1, 21):
        now = call_id * 1.0
        actions = _arrive(scheduler, _call(call_id, now=now), now)
        probed = [p.upstream_id for p in _of_type(actions, calls.Probe)]
        assert probed
        dispatched = []
        for upstream_id in probed:
            actions = _end_probe(scheduler, upstream_id, _FAST, now + 0.002)
            dispatched += _of_type(actions, calls.Dispatch)
            assert _of_type(actions, calls.Probe) == []
        assert [d.upstream_id for d in dispatched] == [probed[0]]
        _end_attempt(
            scheduler, dispatched[0], calls.Answered(status=200), now + 0.1
        )


def test_node_of_a_large_fleet_contacts_few_upstreams() -> None:
    """Guards against a new connection for nearly every probe and call."""
    scheduler = _scheduler(90)
    contacted = set()
    for call_id in range(1, 101):
        now = call_id * 1.0
        actions = _arrive(scheduler, _call(call_id, now=now), now)
        dispatched = []
        probes = _of_type(actions, calls.Probe)
        while probes:
            upstream_id = probes.pop(0).upstream_id
            contacted.add(upstream_id)
            actions = _end_probe(scheduler, upstream_id, _FAST, now + 0.002)
            probes += _of_type(actions, calls.Probe)
            dispatched += _of_type(actions, calls.Dispatch)
        for dispatch in dispatched:
            _end_attempt(
                scheduler, dispatch, calls.Answered(status=200), now + 0.1
            )
    assert len(contacted) == 6


def test_full_upstreams_get_no_call() -> None:
    """Guards against calls that are queued at a full upstream until they fail.

    This happened at upstreams with 3 slots, which held 4 to 5 calls for 10 s.
    """
    scheduler = _scheduler(1)
    _arrive(scheduler, _call(), 0.0)
    now = 0.0
    while now < 2.0:
        now += 0.01
        actions = _end_probe(scheduler, "u0", _FULL, now)
        assert _of_type(actions, calls.Dispatch) == []
        refused = _of_type(actions, calls.Refuse)
        if refused:
            assert refused[0].code is errors.ErrorCode.QUEUE_TIMEOUT
            assert refused[0].retry_after_s > 0
            return
    raise AssertionError("the call was neither sent nor refused")


def test_late_call_is_not_sent_to_a_busy_upstream_before_it_expires() -> None:
    """Guards against late calls that fill slow hosts just before they expire.

    For 4 s after a burst, half of the new calls became late because they were
    queued behind such calls.
    """
    scheduler = _scheduler(1)
    _arrive(scheduler, _call(), 0.0)
    busy = upstreams.LoadReport(in_flight=2, slots=3, host_slowness=5.0)
    now = 0.0
    while now < 2.0:
        now += 0.01
        actions = _end_probe(scheduler, "u0", busy, now)
        assert _of_type(actions, calls.Dispatch) == []
        if _of_type(actions, calls.Refuse):
            return
    raise AssertionError("the call was neither sent nor refused")


def test_failed_probes_do_not_hold_a_call() -> None:
    """Guards against a call that waits for reports that never come."""
    scheduler = _scheduler()
    _arrive(scheduler, _call(), 0.0)
    actions = _end_probe(scheduler, "u0", None, 0.1)
    assert len(_of_type(actions, calls.Dispatch)) == 1


def test_service_that_reports_no_load_is_not_probed_for_ever() -> None:
    """Guards against probes that use slots but bring no load reports."""
    scheduler = _scheduler(9)
    now = 0.0
    for call_id in range(1, 6):
        now += 0.2
        for probe in _of_type(
            _arrive(scheduler, _call(call_id), now), calls.Probe
        ):
            scheduler.handle(
                event=calls.ProbeEnded(
                    upstream_id=probe.upstream_id, load=None, responded=True
                ),
                now=now,
            )
    actions = _arrive(scheduler, _call(9, now=now), now)
    assert _of_type(actions, calls.Probe) == []
    assert len(_of_type(actions, calls.Dispatch)) == 1


def _dispatch_call(
    scheduler: route_scheduling.RouteScheduler, call: calls.Call, now: float
) -> calls.Dispatch:
    _arrive(scheduler, call, now)
    for upstream_id in ("u0", "u1", "u2"):
        dispatches = _of_type(
            _end_probe(scheduler, upstream_id, _FAST, now), calls.Dispatch
        )
        if dispatches:
            return dispatches[0]
    raise AssertionError("the call was not sent")


def _end_attempt(
    scheduler: route_scheduling.RouteScheduler,
    dispatch: calls.Dispatch,
    result: calls.AttemptResult,
    now: float,
) -> list[calls.SchedulerAction]:
    return scheduler.handle(
        event=calls.AttemptEnded(
            call_id=dispatch.call_id,
            attempt=dispatch.attempt,
            upstream_id=dispatch.upstream_id,
            result=result,
        ),
        now=now,
    )


def test_write_is_not_retried_after_its_response_was_lost() -> None:
    """Guards against a write that runs twice."""
    scheduler = _scheduler()
    dispatch = _dispatch_call(scheduler, _call(idempotent=False), 0.0)
    actions = _end_attempt(scheduler, dispatch, calls.Broken(), 0.1)
    assert [f.code for f in _of_type(actions, calls.Fail)] == [
        errors.ErrorCode.UPSTREAM_BROKEN
    ]
    assert _of_type(actions, calls.Dispatch) == []


def test_write_that_did_not_run_is_retried_at_another_upstream() -> None:
    """Guards against a refusal although another upstream is free."""
    scheduler = _scheduler()
    dispatch = _dispatch_call(scheduler, _call(idempotent=False), 0.0)
    actions = _end_attempt(scheduler, dispatch, calls.Shed(), 0.1)
    sent = _of_type(actions, calls.Dispatch)
    for upstream_id in ("u0", "u1", "u2"):
        if not sent:
            sent = _of_type(
                _end_probe(scheduler, upstream_id, _FAST, 0.1), calls.Dispatch
            )
    assert sent[0].upstream_id != dispatch.upstream_id


def test_attempts_stay_within_the_route_limit() -> None:
    """Guards against attempts beyond `max_attempts`."""
    scheduler = _scheduler()
    dispatch = _dispatch_call(scheduler, _call(max_attempts=1), 0.0)
    actions = _end_attempt(scheduler, dispatch, calls.Shed(), 0.1)
    assert len(_of_type(actions, calls.Refuse)) == 1


def test_retries_stay_within_the_budget() -> None:
    """Guards against retries beyond the fleet's budget."""
    scheduler = _scheduler(shared_extra=0.0)
    dispatch = _dispatch_call(scheduler, _call(), 0.0)
    actions = _end_attempt(scheduler, dispatch, calls.Shed(), 0.1)
    refused = _of_type(actions, calls.Refuse)
    assert refused[0].code is errors.ErrorCode.UPSTREAM_SHED
    assert refused[0].retry_after_s < 0.6


def test_upstream_whose_address_was_reused_gets_no_call() -> None:
    """Guards against calls to a process that took over the address."""
    scheduler = _scheduler(1)
    dispatch = _dispatch_call(scheduler, _call(), 0.0)
    _end_attempt(scheduler, dispatch, calls.WrongUpstream(), 0.1)
    actions = _arrive(scheduler, _call(2, now=0.2), 0.2)
    refused = _of_type(actions, calls.Refuse)
    assert refused[0].code is errors.ErrorCode.NO_UPSTREAM


def test_restarted_upstream_with_the_same_id_gets_calls() -> None:
    """Guards against a restarted upstream that stays out of use."""
    scheduler = _scheduler(1)
    dispatch = _dispatch_call(scheduler, _call(), 0.0)
    _end_attempt(scheduler, dispatch, calls.WrongUpstream(), 0.1)
    restarted = upstreams.Upstream(
        upstream_id="u0",
        service="s",
        address="127.0.0.1",
        port=1,
        availability_zone="a",
        slots=3,
        started_ms=5,
    )
    scheduler.handle(
        event=calls.UpstreamsChanged(upstreams=(restarted,)), now=0.2
    )
    assert _dispatch_call(scheduler, _call(2, now=0.3), 0.3).upstream_id == "u0"


def test_caller_that_left_cancels_its_attempts() -> None:
    """Guards against attempts that run on after their caller left."""
    scheduler = _scheduler()
    dispatch = _dispatch_call(scheduler, _call(idempotent=False), 0.0)
    actions = scheduler.handle(
        event=calls.CallerDisconnected(call_id=1), now=0.1
    )
    cancelled = _of_type(actions, calls.CancelAttempt)
    assert [c.attempt for c in cancelled] == [dispatch.attempt]


class _Machine(stateful.RuleBasedStateMachine):
    """Guards against double runs, wrong refusals and stuck calls.

    Random events are checked against rules that hold in any order of events.
    """

    def __init__(self) -> None:
        super().__init__()
        self.scheduler = _scheduler()
        self.now = 0.0
        self.next_id = 0
        self.open_calls: dict[int, calls.Call] = {}
        self.attempts: dict[tuple[int, int], calls.Dispatch] = {}
        self.may_have_run: set[int] = set()
        self.sent_counts: dict[int, int] = {}
        self.pending_probes: list[str] = []

    def _check(self, actions: list[calls.SchedulerAction]) -> None:
        for action in actions:
            match action:
                case calls.Dispatch(call_id=call_id, attempt=attempt):
                    self.attempts[call_id, attempt] = action
                    self.sent_counts[call_id] = (
                        self.sent_counts.get(call_id, 0) + 1
                    )
                    call = self.open_calls[call_id]
                    assert self.sent_counts[call_id] <= call.max_attempts
                    assert call.idempotent or call_id not in self.may_have_run
                case calls.Refuse(call_id=call_id):
                    assert call_id not in self.may_have_run, (
                        "refused, but may have run"
                    )
                    del self.open_calls[call_id]
                case (
                    calls.DeliverResponse(call_id=call_id)
                    | calls.Fail(call_id=call_id)
                ):
                    del self.open_calls[call_id]
                case calls.Probe(upstream_id=upstream_id):
                    self.pending_probes.append(upstream_id)

    def _handle(self, event: calls.SchedulerEvent) -> None:
        self._check(self.scheduler.handle(event=event, now=self.now))

    @stateful.rule(idempotent=st.booleans(), priority=st.integers(0, 2))
    def arrive(self, idempotent: bool, priority: int) -> None:
        self.next_id += 1
        call = _call(
            self.next_id,
            now=self.now,
            idempotent=idempotent,
            priority=priority,
        )
        self.open_calls[call.call_id] = call
        self._handle(calls.CallArrived(call=call))

    @stateful.rule(seconds=st.floats(0.001, 0.5))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        self._handle(calls.Tick())

    @stateful.precondition(lambda self: self.pending_probes)
    @stateful.rule(load=st.sampled_from([_FAST, _SLOW, _FULL, None]))
    def end_probe(self, load: upstreams.LoadReport | None) -> None:
        upstream_id = self.pending_probes.pop(0)
        self._handle(
            calls.ProbeEnded(
                upstream_id=upstream_id, load=load, responded=load is not None
            )
        )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        data=st.data(),
        result=st.sampled_from(
            [
                calls.Answered(status=200),
                calls.Answered(status=500, failed=True),
                calls.Broken(),
                calls.Shed(),
                calls.NotSent(),
                calls.WrongUpstream(),
                calls.TimedOut(),
            ]
        ),
    )
    def end_attempt(
        self, data: st.DataObject, result: calls.AttemptResult
    ) -> None:
        key = data.draw(st.sampled_from(sorted(self.attempts)))
        dispatch = self.attempts.pop(key)
        if isinstance(result, calls.Answered | calls.Broken | calls.TimedOut):
            self.may_have_run.add(key[0])
        if isinstance(result, calls.NotSent):
            self.sent_counts[key[0]] -= 1
        self._handle(
            calls.AttemptEnded(
                call_id=key[0],
                attempt=key[1],
                upstream_id=dispatch.upstream_id,
                result=result,
            )
        )

    @stateful.precondition(lambda self: self.open_calls)
    @stateful.rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.open_calls)))
        del self.open_calls[call_id]
        self._handle(calls.CallerDisconnected(call_id=call_id))

    @stateful.invariant()
    def every_open_call_has_an_attempt_or_a_wakeup(self) -> None:
        running = {call_id for call_id, _ in self.attempts}
        if set(self.open_calls) - running:
            assert self.scheduler.next_wakeup is not None


TestMachine = _Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40, deadline=None
)


def test_call_that_outlasts_a_stop_is_refused() -> None:
    """Guards against a call that is sent on and cut when the process stops."""
    scheduler = _scheduler(count=1)
    now = 0.0
    for call_id in range(20):
        now += 2.0
        _arrive(scheduler, _call(call_id, now=now), now)
        actions = _end_probe(scheduler, "u0", _FAST, now)
        (dispatch,) = _of_type(actions, calls.Dispatch)
        result = calls.Answered(status=200)
        _end_attempt(scheduler, dispatch, result, now + 0.5)
    for left_s, is_refused in ((0.6, False), (0.4, True)):
        now += 2.0
        call = _call(100 + is_refused, now=now)
        call = dataclasses.replace(call, stops_at=now + left_s)
        actions = _arrive(scheduler, call, now)
        refusals = [
            refusal
            for refusal in _of_type(actions, calls.Refuse)
            if refusal.call_id == call.call_id
        ]
        assert [r.code for r in refusals] == (
            [errors.ErrorCode.STOPPING] if is_refused else []
        )
        assert all(r.retry_after_s < 0.1 for r in refusals)
