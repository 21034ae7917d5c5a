"""Traces the attempts of running calls for metrics and call log lines."""

import time

from tanagerspoke.protocol import calls
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.operations import call_log
from tanagerspoke.transport.operations import edge_metrics
from tanagerspoke.transport.upstreams import upstream_client

# The age of a load report is not logged if it is older or missing.
_MAX_LOGGED_REPORT_AGE_S = 3600.0


class CallTraces:
    """Records the attempts of an edge's running calls and their results."""

    def __init__(
        self, *, metrics: edge_metrics.EdgeMetrics, log: call_log.CallLog
    ) -> None:
        self._metrics = metrics
        self._log = log
        self._records: dict[int, caller_calls.CallRecord] = {}

    def start(self, record: caller_calls.CallRecord) -> None:
        """Starts the trace of a call whose headers are complete."""
        self._records[record.call_id] = record

    def end(self, record: caller_calls.CallRecord) -> None:
        """Ends the trace, and counts and logs the call."""
        self._records.pop(record.call_id, None)
        self._metrics.count_call(record)
        self._log.write(record)

    def record_dispatch(self, service: str, action: calls.Dispatch) -> None:
        """Records an attempt that is about to be sent."""
        self._metrics.count_dispatch(service, action)
        record = self._records.get(action.call_id)
        if record is None:
            return
        record.trace.append(_dispatch_entry(record, action))
        if action.attempt == 1:
            self._metrics.observe_queue_wait(
                service, time.monotonic() - record.started_at
            )

    def record_attempt_end(
        self,
        action: calls.Dispatch,
        exchange: upstream_client.EndedExchange,
        duration_s: float,
    ) -> None:
        """Records an ended attempt, unless its call has ended before."""
        record = self._records.get(action.call_id)
        if record is None:
            return
        self._metrics.observe_attempt(record.service, exchange, duration_s)
        if isinstance(exchange.result, calls.Answered):
            record.upstream_duration_s = duration_s
            if action.is_hedge:
                self._metrics.count_won_hedge(record.service)
        record.trace.append(
            {
                "end": action.attempt,
                "result": type(exchange.result).__name__,
                "took_ms": round(duration_s * 1000, 1),
            }
        )


def _dispatch_entry(
    record: caller_calls.CallRecord, action: calls.Dispatch
) -> dict[str, object]:
    entry: dict[str, object] = {
        "send": action.attempt,
        "upstream": action.upstream_id,
        "at_ms": round((time.monotonic() - record.started_at) * 1000, 1),
    }
    if action.is_hedge:
        entry["hedge"] = True
    basis = action.basis
    if basis is not None:
        entry |= {
            "own": basis.local_in_flight,
            "in_flight": round(basis.expected_in_flight, 2),
            "slowness": round(basis.slowness, 2),
            "open": basis.eligible_upstreams,
        }
        if basis.report_age_s < _MAX_LOGGED_REPORT_AGE_S:
            entry["report_age_ms"] = round(basis.report_age_s * 1000)
    return entry
