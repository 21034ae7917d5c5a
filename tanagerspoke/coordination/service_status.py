"""Summarizes the load of a service for operators and for log lines."""

import math

from tanagerspoke.protocol import edge_status
from tanagerspoke.state import loads

_MAX_COLD_UPSTREAMS = 8


def describe(
    *,
    service: str,
    view: loads.LoadView,
    queued_calls: int,
    now: float,
) -> edge_status.ServiceStatus:
    """Returns the state of a service; changes none.

    Args:
        service: name of the service.
        view: its upstreams.
        queued_calls: calls that wait at this node.
        now: monotonic seconds.
    """
    listed = view.listed
    cold = [r.upstream.upstream_id for r in view.eligible if r.is_cold(now)]
    report_age_s = min((r.report_age_s(now) for r in listed), default=math.inf)
    has_report = math.isfinite(report_age_s)
    return edge_status.ServiceStatus(
        service=service,
        upstreams=len(listed),
        eligible=len(view.eligible),
        slots=view.total_slots,
        cold=len(cold),
        cold_upstreams=tuple(sorted(cold)[:_MAX_COLD_UPSTREAMS]),
        paused=sum(r.paused_until > now for r in view.eligible),
        ejected=sum(r.ejected_until > now for r in view.eligible),
        full=sum(_is_full(r, view, now) for r in view.eligible),
        own_in_flight=sum(r.local_in_flight for r in listed),
        queued_calls=queued_calls,
        mean_utilization=view.mean_utilization if has_report else None,
        newest_report_age_s=report_age_s if has_report else None,
    )


def _is_full(
    record: loads.UpstreamLoad, view: loads.LoadView, now: float
) -> bool:
    # More than half of the last slot is expected to be in use.
    return view.in_flight(record, now) > record.slots - 0.5
