"""Prometheus metrics of the edge."""

from collections.abc import Callable, Iterator
import functools
import math
import time

import prometheus_client
from prometheus_client import core

from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.operations import account_metrics
from tanagerspoke.transport.operations import duration_histogram
from tanagerspoke.transport.operations import usage_metrics
from tanagerspoke.transport.upstreams import upstream_client

_DURATION_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    0.75,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
)
# Includes 0.65 ms, the target for the latency that the system adds to a call.
_ADDED_LATENCY_BOUNDS_S = (
    0.00025,
    0.0005,
    0.00065,
    0.001,
    0.0025,
    0.005,
    0.025,
    0.1,
    0.5,
    2.5,
)


class _ControlBytesCollector:
    """Collector that reads the control byte totals when it is scraped.

    Attributes:
        read_totals: functions that return the total number of bytes, by kind
            of control traffic.
    """

    def __init__(self) -> None:
        self.read_totals: dict[str, Callable[[], int]] = {}

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric with its samples."""
        family = core.CounterMetricFamily(
            "tanagerspoke_edge_control_bytes",
            "Bytes exchanged with the store and with other nodes",
            labels=("kind",),
        )
        for kind, read_total in self.read_totals.items():
            family.add_metric([kind], read_total())
        yield family


class EdgeMetrics:
    """Counters and histograms by route, service and outcome.

    Label values are names of routes and services in the configuration and codes
    from a fixed list, so that their number is bounded.
    """

    def __init__(
        self, *, registry: prometheus_client.CollectorRegistry
    ) -> None:
        counter = functools.partial(
            prometheus_client.Counter, registry=registry
        )
        gauge = functools.partial(prometheus_client.Gauge, registry=registry)
        histogram = functools.partial(
            duration_histogram.DurationHistogram,
            bounds_s=_DURATION_BOUNDS_S,
            registry=registry,
        )
        self._calls = counter(
            "tanagerspoke_edge_calls", "Finished calls", ("route", "code")
        )
        self._target_calls = counter(
            "tanagerspoke_edge_target_calls",
            "Calls by whether they were answered within their target",
            ("route", "met"),
        )
        self._duration = histogram(
            name="tanagerspoke_edge_call_duration_seconds",
            documentation="Time from headers to the last byte of the answer",
            label_names=("route",),
        )
        self._attempt_duration = histogram(
            name="tanagerspoke_edge_attempt_duration_seconds",
            documentation="Time from sending to the end of an attempt",
            label_names=("service", "result"),
        )
        self._hedges = counter(
            "tanagerspoke_edge_hedges",
            "Second attempts beside others",
            ("service",),
        )
        self._won_hedges = counter(
            "tanagerspoke_edge_won_hedges",
            "Second attempts whose answer came first",
            ("service",),
        )
        self._ejections = counter(
            "tanagerspoke_edge_ejections",
            "Times that an upstream was ejected for its failures",
            ("service",),
        )
        self._store_calls = counter(
            "tanagerspoke_edge_store_calls",
            "Calls to the platform's store",
            ("result",),
        )
        self._queue_wait = histogram(
            name="tanagerspoke_edge_queue_wait_seconds",
            documentation="Time from headers to the first attempt",
            label_names=("service",),
        )
        self._added_latency = histogram(
            name="tanagerspoke_edge_added_latency_seconds",
            documentation=(
                "Duration of an answered call beyond the attempt that was"
                " answered: queue, earlier attempts and own work"
            ),
            label_names=("route",),
            bounds_s=_ADDED_LATENCY_BOUNDS_S,
        )
        self._control_bytes = _ControlBytesCollector()
        registry.register(self._control_bytes)
        self.closed_for_memory = counter(
            "tanagerspoke_edge_closed_for_memory",
            "Requests and responses whose memory was needed for others",
        )
        self._caller_memory = gauge(
            "tanagerspoke_edge_caller_memory_bytes",
            "Bytes that callers hold or have announced",
        )
        self._retries = counter(
            "tanagerspoke_edge_retries", "Attempts after others", ("service",)
        )
        self._queue_length = gauge(
            "tanagerspoke_edge_queue_length",
            "Calls that wait for an upstream",
            ("service",),
        )
        self._in_flight = gauge(
            "tanagerspoke_edge_in_flight", "Running attempts", ("service",)
        )
        self._retry_budget_left = gauge(
            "tanagerspoke_edge_retry_budget_left",
            "Repeats that may still be sent in this window",
            ("service",),
        )
        self._hedges_left = gauge(
            "tanagerspoke_edge_hedges_left",
            "Second attempts that the share of the operators allows now",
            ("service",),
        )
        self.usage = usage_metrics.UsageMetrics(registry=registry)
        self.accounts = account_metrics.AccountMetrics()
        registry.register(self.accounts)
        self.unreadable_rows = counter(
            "tanagerspoke_edge_unreadable_rows",
            "Rows of the store that held no valid entry when they were read",
        )
        self.unusable_routes = gauge(
            "tanagerspoke_edge_unusable_routes",
            "Routes of the configuration in force whose calls are refused",
        )
        self._rejected_keys = counter(
            "tanagerspoke_edge_rejected_keys",
            "Calls that were refused with 401",
            ("reason",),
        )
        self._unconfirmed_calls = counter(
            "tanagerspoke_edge_unconfirmed_calls",
            "Calls that were refused with 503 for lack of a recent proof",
            ("reason",),
        )
        self._config_proof_age = gauge(
            "tanagerspoke_edge_config_proof_age_seconds",
            "Time since the configuration in force was known to be the newest;"
            " NaN without a proof or where none is needed",
        )
        self._cold_upstreams = gauge(
            "tanagerspoke_edge_cold_upstreams",
            "Upstreams that are cold and may get calls",
            ("service",),
        )
        self.evacuated_zones = gauge(
            "tanagerspoke_edge_evacuated_zones",
            "Availability zones to whose upstreams nothing is sent",
        )
        self.config_version = gauge(
            "tanagerspoke_edge_config_version",
            "Version of the configuration in force",
        )

    def watch_service(
        self,
        *,
        service: str,
        in_flight: Callable[[], int],
        queue_length: Callable[[], int],
        retry_budget_left: Callable[[], float],
        hedges_left: Callable[[], float | None],
        cold_upstreams: Callable[[], int],
    ) -> None:
        """Registers functions that supply the gauges of a service.

        They are called whenever the metrics are collected. Without a share of
        second attempts, `hedges_left` returns None, which is shown as NaN.
        """

        def read_hedges_left() -> float:
            left = hedges_left()
            return float("nan") if left is None else left

        self._hedges_left.labels(service).set_function(read_hedges_left)
        self._in_flight.labels(service).set_function(in_flight)
        self._queue_length.labels(service).set_function(queue_length)
        self._retry_budget_left.labels(service).set_function(retry_budget_left)
        self._cold_upstreams.labels(service).set_function(cold_upstreams)

    def watch_control_bytes(
        self, *, kind: str, read_total: Callable[[], int]
    ) -> None:
        """Registers a function that returns the control bytes of a kind."""
        self._control_bytes.read_totals[kind] = read_total

    def watch_config_proof(
        self, *, read_age_s: Callable[[], float | None]
    ) -> None:
        """Registers a function that returns the age of the newest proof."""

        def read() -> float:
            age_s = read_age_s()
            return math.nan if age_s is None else age_s

        self._config_proof_age.set_function(read)

    def watch_caller_memory(self, read_bytes: Callable[[], int]) -> None:
        """Registers a function that returns the bytes that callers hold."""
        self._caller_memory.set_function(read_bytes)

    def count_dispatch(self, service: str, action: calls.Dispatch) -> None:
        """Counts the attempt if it is a hedge or a retry."""
        if action.is_hedge:
            self._hedges.labels(service).inc()
        elif action.attempt > 1:
            self._retries.labels(service).inc()

    def count_won_hedge(self, service: str) -> None:
        """Counts a hedge whose response was the first."""
        self._won_hedges.labels(service).inc()

    def count_ejection(self, service: str) -> None:
        """Counts the ejection of an upstream after failures."""
        self._ejections.labels(service).inc()

    def count_store_call(self, result: str) -> None:
        """Counts a call to the store by its result, see `StoreFollower`."""
        self._store_calls.labels(result).inc()

    def observe_queue_wait(self, service: str, wait_s: float) -> None:
        """Records the time from a call's headers to its first attempt."""
        self._queue_wait.labels(service).observe(wait_s)

    def observe_attempt(
        self,
        service: str,
        exchange: upstream_client.EndedExchange,
        duration_s: float,
    ) -> None:
        """Records the duration of an ended attempt by its result."""
        result = type(exchange.result).__name__
        self._attempt_duration.labels(service, result).observe(duration_s)

    def count_call(self, record: caller_calls.CallRecord) -> None:
        """Counts a finished call."""
        duration_s = time.monotonic() - record.started_at
        code = record.code or "ok"
        route = record.route
        route_name = route.name if route is not None else ""
        self._calls.labels(route_name, code).inc()
        self._count_rejection(code, record.rejection)
        met_target = False
        if route is not None:
            is_late = duration_s > route.target_latency_s
            met_target = code == "ok" and record.status < 400 and not is_late
            self._target_calls.labels(
                route_name, "yes" if met_target else "no"
            ).inc()
            self._duration.labels(route_name).observe(duration_s)
            if record.upstream_duration_s is not None and code == "ok":
                added_s = max(0.0, duration_s - record.upstream_duration_s)
                self._added_latency.labels(route_name).observe(added_s)
        if record.client_account:
            self.accounts.count_call(
                record.client_account, met_target=met_target
            )

    def _count_rejection(self, code: str, reason: str) -> None:
        """Counts a call that was refused for its key, at its arrival or later.

        A call that passed at its arrival has no reason of its own.
        """
        reason = authentication.rejection_reason(code, reason)
        if code == errors.ErrorCode.API_KEY_REJECTED:
            self._rejected_keys.labels(reason).inc()
        elif code == errors.ErrorCode.CONFIG_UNCONFIRMED:
            self._unconfirmed_calls.labels(reason).inc()
