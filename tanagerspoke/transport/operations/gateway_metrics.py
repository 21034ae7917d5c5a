"""Prometheus metrics of the gateway, and log lines of finished calls."""

from collections.abc import Callable
import functools
import logging
import random
import time

import prometheus_client

from tanagerspoke.coordination import replies
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.operations import duration_histogram
from tanagerspoke.transport.operations import log_limit

log = logging.getLogger(__name__)

# Share of the calls with code `ok` that are logged although they were not late.
_CALL_LOG_SAMPLE_RATIO = 0.001
# A log line costs about as much processor time as a call. At this rate, the
# lines of a surge of failures use well under 1 % of a core.
_CALL_LOG_LINES_PER_S = 20.0
_CALL_LOG_BURST_LINES = 100
_DURATION_BOUNDS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
    60.0,
    600.0,
)
_ACCOUNT_LABELS = ("client_account", "service")
_CALL_CLASS_LABELS = (*_ACCOUNT_LABELS, "call_class")
# Codes of errors that the caller caused, which the objective ignores.
_CALLER_ERROR_CODES = frozenset(
    code.value for code in errors.ErrorCode if errors.status_of(code) < 500
)


class _AccountMetrics:
    """Metric children of one client account, service and call class.

    Attributes:
        calls_by_code: counters of finished calls by code, added on first use.
        counter_for_code: returns the counter for a code.
        route: route whose objective the gauges show, None before the first
            call.
    """

    def __init__(
        self,
        *,
        metrics: "GatewayMetrics",
        client_account: str,
        service: str,
        call_class: str,
    ) -> None:
        labels = (client_account, service, call_class)
        self.calls_by_code: dict[str, prometheus_client.Counter] = {}
        self.counter_for_code = functools.partial(metrics.calls.labels, *labels)
        self.met_objective = metrics.objective_calls.labels(*labels, "yes")
        self.missed_objective = metrics.objective_calls.labels(*labels, "no")
        self.objective_ratio = metrics.objective_ratio.labels(*labels)
        self.objective_latency = metrics.objective_latency.labels(*labels)
        self.duration = metrics.duration.labels(service, call_class)
        self.route: object = None


class GatewayMetrics:
    """Metrics in section 11 of the design page, and sampled call log lines."""

    def __init__(
        self, *, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self._registry = registry
        self._call_log_limit = log_limit.LogLimit(
            event="call",
            rate_per_s=_CALL_LOG_LINES_PER_S,
            burst=_CALL_LOG_BURST_LINES,
        )
        counter = functools.partial(
            prometheus_client.Counter, registry=registry
        )
        gauge = functools.partial(prometheus_client.Gauge, registry=registry)
        self.calls = counter(
            "tanagerspoke_calls",
            "Finished calls",
            (*_CALL_CLASS_LABELS, "code"),
        )
        self.objective_calls = counter(
            "tanagerspoke_objective_calls",
            "Calls that count towards the objective",
            (*_CALL_CLASS_LABELS, "met"),
        )
        self.objective_ratio = gauge(
            "tanagerspoke_objective_ratio",
            "Objective: ratio",
            _CALL_CLASS_LABELS,
        )
        self.objective_latency = gauge(
            "tanagerspoke_objective_latency_seconds",
            "Objective: latency",
            _CALL_CLASS_LABELS,
        )
        self.duration = duration_histogram.DurationHistogram(
            name="tanagerspoke_call_duration_seconds",
            documentation="Time from headers to the last byte of the answer",
            label_names=("service", "call_class"),
            bounds_s=_DURATION_BOUNDS_S,
            registry=registry,
        )
        self._late_replies = counter(
            "tanagerspoke_late_replies",
            "Replies after the deadline",
            (*_ACCOUNT_LABELS, "upstream"),
        )
        self._lost_replies = counter(
            "tanagerspoke_lost_replies",
            "Replies that never came",
            (*_ACCOUNT_LABELS, "upstream"),
        )
        self._unknown_outcomes = counter(
            "tanagerspoke_unknown_outcomes",
            "Writes answered with outcome unknown",
            _ACCOUNT_LABELS,
        )
        self._hedges = counter(
            "tanagerspoke_hedges", "Second attempts beside others", ("service",)
        )
        self._retries = counter(
            "tanagerspoke_retries", "Attempts after others", ("service",)
        )
        self._queue_length = gauge(
            "tanagerspoke_queue_length",
            "Calls that wait for a slot",
            ("service", "call_class"),
        )
        self._in_flight = gauge(
            "tanagerspoke_in_flight", "Running attempts", ("service",)
        )
        self.config_revision = gauge(
            "tanagerspoke_config_revision", "Configuration revision in force"
        )
        self._account_metrics: dict[tuple[str, str, str], _AccountMetrics] = {}

    def watch_service(
        self,
        *,
        service: str,
        in_flight: Callable[[], int],
        queue_length: Callable[[calls.CallClass], int],
    ) -> None:
        """Registers functions that supply the gauges of a service.

        They are called whenever the metrics are collected.
        """
        self._in_flight.labels(service).set_function(in_flight)
        for call_class in calls.CallClass:
            self._queue_length.labels(service, call_class.value).set_function(
                functools.partial(queue_length, call_class)
            )

    def count_dispatch(self, service: str, action: calls.Dispatch) -> None:
        """Counts the attempt if it is a hedge or a retry."""
        if action.is_hedge:
            self._hedges.labels(service).inc()
        elif action.attempt > 1:
            self._retries.labels(service).inc()

    def count_late_reply(self, expected: replies.ExpectedReply) -> None:
        """Counts a reply that was received after the deadline."""
        self._late_replies.labels(
            expected.client_account, expected.service, expected.upstream_id
        ).inc()

    def count_lost_reply(self, expected: replies.ExpectedReply) -> None:
        """Counts a reply that was never received."""
        self._lost_replies.labels(
            expected.client_account, expected.service, expected.upstream_id
        ).inc()

    def count_call(self, record: caller_calls.CallRecord) -> None:
        """Counts a finished call; logs failed, late and sampled ones."""
        duration_s = time.monotonic() - record.started_at
        code = record.code or "ok"
        route = record.route
        is_late = False
        if route is None:
            # The labels stay empty: otherwise each undeclared name that a
            # caller sends would add a time series.
            self._count_by_code("", "", "", code)
        else:
            call_class = route.call_class.value
            account_metrics = self._count_by_code(
                record.client_account, record.service, call_class, code
            )
            is_late = duration_s > route.objective_latency_s
            self._count_objective(account_metrics, record, is_late)
            account_metrics.duration.observe(duration_s)
        if (
            code != "ok" or is_late or random.random() < _CALL_LOG_SAMPLE_RATIO
        ) and self._call_log_limit.try_acquire(record.client_account):
            log.info(
                "call",
                extra={
                    "client_account": record.client_account,
                    "service": record.service,
                    "request_id": record.request_id,
                    "code": code,
                    "status": record.status,
                    "duration_ms": round(duration_s * 1000, 2),
                    "late": is_late,
                },
            )

    def _count_by_code(
        self, client_account: str, service: str, call_class: str, code: str
    ) -> _AccountMetrics:
        key = (client_account, service, call_class)
        account_metrics = self._account_metrics.get(key)
        if account_metrics is None:
            account_metrics = self._account_metrics[key] = _AccountMetrics(
                metrics=self,
                client_account=key[0],
                service=key[1],
                call_class=key[2],
            )
        code_counter = account_metrics.calls_by_code.get(code)
        if code_counter is None:
            code_counter = account_metrics.calls_by_code[code] = (
                account_metrics.counter_for_code(code)
            )
        code_counter.inc()
        return account_metrics

    def _count_objective(
        self,
        account_metrics: _AccountMetrics,
        record: caller_calls.CallRecord,
        is_late: bool,
    ) -> None:
        route = record.route
        if account_metrics.route is not route:
            account_metrics.route = route
            account_metrics.objective_ratio.set(route.objective_ratio)
            account_metrics.objective_latency.set(route.objective_latency_s)
        code = record.code
        if code == "ok":
            failed = record.status >= 500
            counts_towards_objective = failed or record.status < 400
        else:
            failed = True
            counts_towards_objective = (
                code not in _CALLER_ERROR_CODES and code != "caller_left"
            )
        if counts_towards_objective:
            (
                account_metrics.missed_objective
                if failed or is_late
                else account_metrics.met_objective
            ).inc()
        if (
            route.call_class is calls.CallClass.WRITE
            and code != "ok"
            and code != "caller_left"
            and errors.outcome_of(errors.ErrorCode(code))
            is errors.Outcome.UNKNOWN
        ):
            self._unknown_outcomes.labels(
                record.client_account, record.service
            ).inc()
