"""Describes the upstreams of a service as candidates for one call."""

from collections.abc import Mapping
import math
from typing import TypeAlias

from tanagerspoke.protocol import placement
from tanagerspoke.state import loads

# Result of `Balancer.assess`: reason or expected cost in seconds, by upstream.
Assessments: TypeAlias = Mapping[str, placement.Exclusion | float]


def describe(
    *,
    view: loads.LoadView,
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
        _candidate(record, view, now_assessed, after_wait_assessed, now=now)
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
        in_flight=view.in_flight(record, now),
        own_in_flight=record.local_in_flight,
        slots=record.slots,
        report_age_s=age_s if math.isfinite(age_s) else None,
        host_slowness=record.host_slowness,
        slowness=record.current_slowness(now),
        exclusion=_exclusion(record, now_assessed),
        exclusion_after_wait=_exclusion(record, after_wait_assessed),
        cost_s=None if isinstance(cost_s, placement.Exclusion) else cost_s,
    )


def _exclusion(
    record: loads.UpstreamLoad, assessments: Assessments
) -> placement.Exclusion | None:
    # Upstreams that are not in `LoadView.eligible` are not assessed.
    if record.upstream.leaving:
        return placement.Exclusion.LEAVING
    if record.evacuated:
        return placement.Exclusion.ZONE_EVACUATED
    if not record.is_eligible:
        return placement.Exclusion.DRAINING
    assessment = assessments.get(record.upstream.upstream_id)
    if isinstance(assessment, placement.Exclusion):
        return assessment
    return None
