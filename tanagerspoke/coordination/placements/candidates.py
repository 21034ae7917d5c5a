"""Describes the upstreams of a service as candidates for one call."""

from collections.abc import Mapping
import math
from typing import TypeAlias

from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination import probe_rounds
from tanagerspoke.protocol import placement
from tanagerspoke.state import loads

# Result of `Balancer.assess`: reason or expected cost in seconds, by upstream.
Assessments: TypeAlias = Mapping[str, placement.Exclusion | float]


def describe(
    *,
    view: loads.LoadView,
    gate: dispatch_gate.CombinedGate,
    refusal: placement.Refusal | None,
    now_assessed: Assessments,
    after_wait_assessed: Assessments,
    wait_ends_at: float | None,
    expires_at: float,
    queued_calls: int,
    calls_ahead: int,
    now: float,
) -> placement.ServicePlacement:
    """Returns what would happen to a call, with the listed upstreams.

    Upstreams that may get the call come first.

    Args:
        view: upstreams of the service.
        gate: leaves out upstreams for reasons of its own.
        refusal: refusal that the call would get, or None.
        now_assessed: assessments for the choice that is made first.
        after_wait_assessed: assessments for the choice after the wait for a
            fast host.
        wait_ends_at: end of that wait in monotonic seconds, None where the
            service reports no load.
        expires_at: monotonic seconds at which the call would be refused.
        queued_calls: calls that wait at this node.
        calls_ahead: those of them that go before the call.
        now: monotonic seconds.
    """
    upstream_id = None if refusal is not None else cheapest(now_assessed)
    outcome = placement.Outcome.WAIT
    if refusal is not None:
        outcome = placement.Outcome.REFUSE
    elif upstream_id is not None:
        outcome = placement.Outcome.SEND
    described = [
        _candidate(
            record, view, gate, now_assessed, after_wait_assessed, now=now
        )
        for record in view.listed
    ]
    described.sort(
        key=lambda candidate: (
            candidate.exclusion is not None,
            candidate.exclusion_after_wait is not None,
            math.inf if candidate.cost_s is None else candidate.cost_s,
            candidate.upstream_id,
        )
    )
    return placement.ServicePlacement(
        outcome=outcome,
        refusal=refusal,
        upstream_id=upstream_id,
        upstream_after_wait=cheapest(after_wait_assessed),
        fast_host_wait_s=(
            None if wait_ends_at is None else max(0.0, wait_ends_at - now)
        ),
        expires_s=max(0.0, expires_at - now),
        queued_calls=queued_calls,
        calls_ahead=calls_ahead,
        candidates=tuple(described),
    )


def cheapest(assessments: Assessments) -> str | None:
    """Returns the upstream with the lowest cost, or None if all are out."""
    costs = {
        upstream_id: cost_s
        for upstream_id, cost_s in assessments.items()
        if not isinstance(cost_s, placement.Exclusion)
    }
    return min(costs, key=costs.__getitem__, default=None)


def _candidate(
    record: loads.UpstreamLoad,
    view: loads.LoadView,
    gate: dispatch_gate.CombinedGate,
    now_assessed: Assessments,
    after_wait_assessed: Assessments,
    *,
    now: float,
) -> placement.Candidate:
    upstream_id = record.upstream.upstream_id
    first = now_assessed.get(upstream_id)
    cost_s = first
    if isinstance(first, placement.Exclusion):
        cost_s = after_wait_assessed.get(upstream_id)
    age_s = record.report_age_s(now)
    return placement.Candidate(
        upstream_id=upstream_id,
        availability_zone=record.upstream.availability_zone,
        in_flight=record.in_flight(
            now=now,
            mean_remote_in_flight=view.mean_remote_in_flight,
            trust=view.report_trust,
        ),
        own_in_flight=record.local_in_flight,
        slots=record.slots,
        report_age_s=age_s if math.isfinite(age_s) else None,
        host_slowness=record.host_slowness,
        slowness=record.current_slowness(now),
        exclusion=_exclusion(record, gate, now_assessed, now),
        exclusion_after_wait=_exclusion(record, gate, after_wait_assessed, now),
        cost_s=None if isinstance(cost_s, placement.Exclusion) else cost_s,
    )


def _exclusion(
    record: loads.UpstreamLoad,
    gate: dispatch_gate.CombinedGate,
    assessments: Assessments,
    now: float,
) -> placement.Exclusion | None:
    # A part that takes upstreams out of `LoadView.eligible` for a further
    # reason, such as an evacuated zone, adds it here, and in
    # `placement.Exclusion`. What a part of the gate leaves out needs nothing.
    if record.upstream.leaving:
        return placement.Exclusion.LEAVING
    if not record.is_eligible:
        return placement.Exclusion.DRAINING
    assessment = assessments.get(record.upstream.upstream_id)
    if not isinstance(assessment, placement.Exclusion):
        return None
    if assessment is not placement.Exclusion.NOT_ACCEPTED:
        return assessment
    if not gate.admits(record.upstream, now):
        return placement.Exclusion.NOT_ADMITTED
    if record.report_age_s(now) > probe_rounds.MAX_FRESH_AGE_S:
        return placement.Exclusion.NO_FRESH_REPORT
    return placement.Exclusion.SLOW_HOST
