"""Builders of schedulers, calls and events, for tests and benchmarks."""

import random

from tanagerspoke.coordination import probe_rounds
from tanagerspoke.coordination import retry_budget
from tanagerspoke.coordination import route_scheduling
from tanagerspoke.coordination import scheduling
from tanagerspoke.coordination import target_queue
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams

LOOKUP = calls.CallClass.LOOKUP
WRITE = calls.CallClass.WRITE
PULL = calls.CallClass.PULL


def make_upstreams(
    count: int, *, slots: int = 3
) -> tuple[upstreams.Upstream, ...]:
    return tuple(
        upstreams.Upstream(
            upstream_id=f"u{i}",
            service="s",
            address="127.0.0.1",
            port=1,
            availability_zone="abc"[i % 3],
            slots=slots,
        )
        for i in range(count)
    )


def make_scheduler(
    count: int = 3, *, slots: int = 3, seed: int = 1, **options: object
) -> scheduling.ServiceScheduler:
    scheduler = scheduling.ServiceScheduler(
        availability_zone="a",
        pull_slot_share=0.5,
        rng=random.Random(seed),
        **options,
    )
    listed = make_upstreams(count, slots=slots)
    scheduler.handle(event=calls.UpstreamsChanged(upstreams=listed), now=0.0)
    return scheduler


def make_route_scheduler(
    *,
    zone: str = "a",
    cross_zone_penalty_s: float = 0.03,
    budget_ratio: float = 0.2,
    budget_extra: float = 100.0,
    budget_window_s: float = 10.0,
    probe_rate_s: float = 30.0,
    seed: int = 1,
    nodes: int = 1,
    scheduler_type: type[
        route_scheduling.RouteScheduler
    ] = route_scheduling.RouteScheduler,
    **options: object,
) -> route_scheduling.RouteScheduler:
    """Returns a scheduler without upstreams.

    Args:
        zone: availability zone of its node.
        cross_zone_penalty_s: see `RouteScheduler`.
        budget_ratio: extra attempts per call.
        budget_extra: extra attempts of all nodes in any window.
        budget_window_s: the window.
        probe_rate_s: probes per second and upstream.
        seed: seed of its random number generator.
        nodes: nodes that share the upstreams.
        scheduler_type: class of the scheduler.
        **options: further arguments of the scheduler.
    """
    return scheduler_type(
        availability_zone=zone,
        cross_zone_penalty_s=cross_zone_penalty_s,
        budget=retry_budget.RetryBudget(
            ratio=budget_ratio,
            shared_extra=budget_extra,
            window_s=budget_window_s,
            shared_extra_from=0.0,
            nodes=nodes,
        ),
        probes=probe_rounds.ProbeRounds(
            availability_zone=zone, rate_per_upstream_s=probe_rate_s
        ),
        rng=random.Random(seed),
        nodes=nodes,
        **options,
    )


def make_call(
    call_id: int,
    call_class: calls.CallClass = LOOKUP,
    *,
    now: float = 0.0,
    deadline_s: float = 1.0,
    account: str = "a",
    retry: bool = True,
) -> calls.Call:
    return calls.Call(
        call_id=call_id,
        client_account=account,
        call_class=call_class,
        idempotent=call_class is not WRITE,
        arrived_at=now,
        deadline=now + deadline_s,
        hedge=call_class is LOOKUP,
        retry=retry,
    )


def make_queued_call(
    call_id: int,
    *,
    account: str = "",
    arrived_at: float = 0.0,
    latest_start_at: float = 9.0,
    account_priority: int = 0,
    priority: int = 0,
) -> target_queue.QueuedCall:
    return target_queue.QueuedCall(
        call=calls.Call(
            call_id=call_id,
            client_account=account,
            call_class=calls.CallClass.LOOKUP,
            idempotent=True,
            arrived_at=arrived_at,
            deadline=arrived_at + 9.0,
            account_priority=account_priority,
            priority=priority,
        ),
        latest_start_at=latest_start_at,
        expires_at=arrived_at + 5.0,
    )


def arrive(
    scheduler: scheduling.ServiceScheduler, call: calls.Call, now: float
) -> list[calls.SchedulerAction]:
    return scheduler.handle(event=calls.CallArrived(call=call), now=now)


def end(
    scheduler: scheduling.ServiceScheduler,
    dispatch: calls.Dispatch,
    now: float,
    result: calls.AttemptResult | None = None,
    load: upstreams.LoadReport | None = None,
) -> list[calls.SchedulerAction]:
    return scheduler.handle(
        event=calls.AttemptEnded(
            call_id=dispatch.call_id,
            attempt=dispatch.attempt,
            upstream_id=dispatch.upstream_id,
            result=result or calls.Answered(status=200),
            load=load,
        ),
        now=now,
    )


def warm_up(
    scheduler: scheduling.ServiceScheduler, *, calls_count: int = 40
) -> float:
    """Runs lookups of 10 ms one after the other; returns the end time."""
    now = 0.0
    for number in range(calls_count):
        call = make_call(100_000 + number, now=now)
        (dispatch,) = arrive(scheduler, call, now)
        now += 0.01
        end(scheduler, dispatch, now)
    return now
