"""Log lines of finished calls of the edge."""

from collections.abc import Callable
import logging
import random
import time

from tanagerspoke.protocol import errors
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.operations import log_limit

log = logging.getLogger(__name__)

# Share of the calls that are logged although they neither failed nor were late.
_CALL_LOG_SAMPLE_RATIO = 0.01
# Limits the lines of failed and late calls under load.
_CALL_LOG_LINES_PER_S = 20.0
_CALL_LOG_BURST_LINES = 100
# Limits the lines of calls without a valid key, which anybody can send.
_REJECTED_LOG_LINES_PER_S = 5.0
_REJECTED_LOG_BURST_LINES = 20
# Callers choose the ids of their requests.
MAX_ID_CHARS = 256


class CallLog:
    """Logs failed, late and sampled calls."""

    def __init__(
        self,
        *,
        facts: Callable[[caller_calls.CallRecord], dict[str, object]],
    ) -> None:
        """Creates a log; the running event loop is used later.

        Args:
            facts: returns further fields for the line of a call that failed.
        """
        self._facts = facts
        self._rejected_log_limit = log_limit.LogLimit(
            event="rejected_call",
            rate_per_s=_REJECTED_LOG_LINES_PER_S,
            burst=_REJECTED_LOG_BURST_LINES,
        )
        self._call_log_limit = log_limit.LogLimit(
            event="call",
            rate_per_s=_CALL_LOG_LINES_PER_S,
            burst=_CALL_LOG_BURST_LINES,
        )

    def write(self, record: caller_calls.CallRecord) -> None:
        """Logs a finished call if it failed, was late or is sampled."""
        duration_s = time.monotonic() - record.started_at
        code = record.code or "ok"
        route = record.route
        route_name = route.name if route is not None else ""
        is_late = route is not None and duration_s > route.target_latency_s
        # Otherwise a caller without a key could use up the lines of others.
        is_unknown_caller = (
            code == errors.ErrorCode.API_KEY_REJECTED
            and not record.client_account
        )
        failed = code != "ok" or record.status >= 400
        if not (failed or is_late or random.random() < _CALL_LOG_SAMPLE_RATIO):
            return
        limit = self._call_log_limit
        if is_unknown_caller:
            limit = self._rejected_log_limit
        if limit.try_acquire(route_name):
            log.info(
                "call",
                extra={
                    "request_id": record.request_id[:MAX_ID_CHARS],
                    "route": route_name,
                    "service": record.service,
                    "code": code,
                    "status": record.status,
                    "duration_ms": round(duration_s * 1000, 1),
                    "late": is_late,
                    "trail": record.trace,
                }
                | (
                    {"client_account": record.client_account}
                    if record.client_account
                    else {}
                )
                | (self._facts(record) if failed else {}),
            )
