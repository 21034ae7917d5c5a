"""Metrics of the agent."""

import prometheus_client

from tanagerspoke.coordination import budget

_GROUP_ROWS_BOUNDS = (1, 2, 4, 8, 16, 32, 64, 128)


class AgentMetrics:
    """Registers and updates the metrics of an agent."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._control_bytes = self._counter(
            "control_bytes", "Bytes spent on control.", "kind"
        )
        self._cpu_s = self._counter(
            "control_cpu_seconds", "Processor time of the agent.", "kind"
        )
        self._deferrals = self._counter(
            "control_deferred", "Messages that the budget deferred.", "kind"
        )
        self._claims = self._counter("claims", "Answered claims.", "result")
        self._platform_errors = self._counter(
            "platform_errors", "Failed platform calls.", "operation"
        )
        self.rejected_messages = self._counter(
            "peer_messages_refused", "Refused messages.", "reason"
        )
        self._budget_bytes_per_s = self._gauge(
            "control_budget_bytes_per_second", "Byte budget of control."
        )
        self.config_revision = self._gauge(
            "config_revision", "Configuration revision in force."
        )
        self.live_peers = self._gauge("peers", "Other live agents.")
        self._group_rows = prometheus_client.Histogram(
            "tanagerspoke_claim_group_rows",
            "Rows of one group commit.",
            buckets=_GROUP_ROWS_BOUNDS,
            registry=self.registry,
        )
        self._exported_spending = {
            kind: budget.Spending() for kind in budget.Kind
        }

    def count_claim(self, result: str) -> None:
        """Counts a reply to a claim request by its result."""
        self._claims.labels(result).inc()

    def observe_group_commit(self, rows: int) -> None:
        """Records the number of rows of a claim transaction."""
        self._group_rows.observe(rows)

    def count_platform_error(self, operation: str) -> None:
        """Counts a platform operation that got no valid response."""
        self._platform_errors.labels(operation).inc()

    def update_spending(self, control_budget: budget.ControlBudget) -> None:
        """Adds the spending since the previous update to the counters."""
        self._budget_bytes_per_s.set(control_budget.bytes_per_s)
        for kind, total in control_budget.spending.items():
            previous = self._exported_spending[kind]
            self._control_bytes.labels(kind).inc(total.bytes - previous.bytes)
            self._cpu_s.labels(kind).inc(total.cpu_s - previous.cpu_s)
            self._deferrals.labels(kind).inc(total.deferred - previous.deferred)
            self._exported_spending[kind] = budget.Spending(
                bytes=total.bytes, cpu_s=total.cpu_s, deferred=total.deferred
            )

    def _counter(
        self, name: str, help_text: str, label: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"tanagerspoke_{name}", help_text, (label,), registry=self.registry
        )

    def _gauge(self, name: str, help_text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"tanagerspoke_{name}", help_text, registry=self.registry
        )
