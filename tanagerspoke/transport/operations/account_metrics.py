"""Prometheus metrics of the capacity that each client account gets."""

from collections.abc import Callable, Iterable, Iterator
import time

from prometheus_client import core
from prometheus_client import registry as prometheus_registry

from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.coordination.fair_shares import service_shares
from tanagerspoke.transport.operations import account_labels


class AccountMetrics(prometheus_registry.Collector):
    """Collector of finished calls, and of usual and recent rates.

    Without client accounts it has no samples.
    """

    def __init__(self) -> None:
        """Creates an instance without accounts."""
        self._rates = account_rates.AccountRates()
        self._shares: list[service_shares.ServiceShares] = []
        self._labels = account_labels.AccountLabels()
        self._calls: dict[tuple[str, bool], int] = {}

    def set_accounts(self, accounts: Iterable[str]) -> None:
        """Sets the names of the accounts; drops the calls of all others."""
        self._labels.set_accounts(accounts)
        self._calls = {
            (label, met): count
            for (label, met), count in self._calls.items()
            if self._labels.is_in_use(label)
        }

    def watch_rates(self, rates: account_rates.AccountRates) -> None:
        """Sets the source of the accounts and their usual rates."""
        self._rates = rates

    def watch_service(self, shares: service_shares.ServiceShares) -> None:
        """Adds the calls that the accounts received of one service."""
        self._shares.append(shares)

    def count_call(self, account: str, *, met_target: bool) -> None:
        """Counts a finished call of an account."""
        key = (self._labels.label(account), met_target)
        self._calls[key] = self._calls.get(key, 0) + 1

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metrics with their samples."""
        now = time.monotonic()
        calls = core.CounterMetricFamily(
            "tanagerspoke_edge_account_target_calls",
            "Calls of client accounts by whether they met their target",
            labels=("account", "met"),
        )
        for (account, met), count in self._calls.items():
            calls.add_metric([account, "yes" if met else "no"], count)
        yield calls
        yield self._gauge(
            "tanagerspoke_edge_account_usual_calls_per_second",
            "Usual rate of an account at this node, its weight in fair shares",
            lambda account: self._rates.calls_per_s(account, now),
        )
        yield self._gauge(
            "tanagerspoke_edge_account_sent_calls_per_second",
            "Rate at which calls of an account were sent to upstreams lately",
            lambda account: sum(
                shares.received(account, now) / service_shares.WINDOW_S
                for shares in self._shares
            ),
        )

    def _gauge(
        self, name: str, text: str, read: Callable[[str], float]
    ) -> core.GaugeMetricFamily:
        family = core.GaugeMetricFamily(name, text, labels=("account",))
        values: dict[str, float] = {}
        for account in self._rates.accounts:
            if account != account_rates.PUBLIC:
                label = self._labels.label(account)
                values[label] = values.get(label, 0.0) + read(account)
        for label, value in values.items():
            family.add_metric([label], value)
        return family
