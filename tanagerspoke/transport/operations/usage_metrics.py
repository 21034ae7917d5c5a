"""Prometheus metrics and log lines of the usage limits of accounts."""

import asyncio
from collections.abc import Iterable
import logging

import prometheus_client

from tanagerspoke.transport.operations import account_labels
from tanagerspoke.transport.operations import log_limit

log = logging.getLogger(__name__)

_OVER_LIMIT_LOG_INTERVAL_S = 1.0
_OVER_LIMIT_LOG_LINES_PER_S = 20.0
_OVER_LIMIT_LOG_BURST_LINES = 100


class UsageMetrics:
    """Counts verdicts on calls, and requests that this node answered."""

    def __init__(
        self, *, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self._verdicts = prometheus_client.Counter(
            "tanagerspoke_edge_usage_verdicts",
            "Calls of accounts with a usage limit by verdict",
            ("account", "result"),
            registry=registry,
        )
        self._requests = prometheus_client.Counter(
            "tanagerspoke_edge_usage_requests",
            "Datagrams from other nodes that ask for tokens, by answer",
            ("result",),
            registry=registry,
        )
        self._granted = prometheus_client.Counter(
            "tanagerspoke_edge_usage_tokens_granted",
            "Tokens that this node granted to all nodes, itself included",
            registry=registry,
        )
        self._owned = prometheus_client.Gauge(
            "tanagerspoke_edge_usage_owned_accounts",
            "Accounts whose tokens this node grants",
            ("role",),
            registry=registry,
        )
        self._account_labels = account_labels.AccountLabels()
        self._labels_in_use: set[tuple[str, str]] = set()

    def set_accounts(self, accounts: Iterable[str]) -> None:
        """Sets the accounts with a limit; drops the labels of all others."""
        self._account_labels.set_accounts(accounts)
        for labels in list(self._labels_in_use):
            if not self._account_labels.is_in_use(labels[0]):
                self._verdicts.remove(*labels)
                self._labels_in_use.discard(labels)

    def set_owned(self, role: str, accounts: int) -> None:
        """Sets the number of accounts for which this node has a role."""
        self._owned.labels(role).set(accounts)

    def count_verdict(self, account: str, result: str) -> None:
        """Counts a call: `admitted`, `over_limit` or `unconfirmed`."""
        labels = (self._account_labels.label(account), result)
        self._labels_in_use.add(labels)
        self._verdicts.labels(*labels).inc()

    def count_request(self, result: str) -> None:
        """Counts a datagram by the result of the answer.

        Ignored ones are counted as `malformed` or `unknown_sender`.
        """
        self._requests.labels(result).inc()

    def count_granted(self, tokens: int) -> None:
        """Counts tokens that this node granted."""
        self._granted.inc(tokens)


class OverLimitLog:
    """Logs accounts over their limit, at most once a second for each."""

    def __init__(self) -> None:
        """Creates a log; the running event loop is used on the first call."""
        self._log_limit = log_limit.LogLimit(
            event="account_over_limit",
            rate_per_s=_OVER_LIMIT_LOG_LINES_PER_S,
            burst=_OVER_LIMIT_LOG_BURST_LINES,
        )
        self._limits: dict[str, float] = {}
        self._refused: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def count(self, account: str, calls_per_s: float) -> None:
        """Counts a call that was refused because of the limit."""
        self._limits[account] = calls_per_s
        self._refused[account] = self._refused.get(account, 0) + 1
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                _OVER_LIMIT_LOG_INTERVAL_S, self._write
            )

    def close(self) -> None:
        """Stops the timer and writes what was counted."""
        if self._timer is not None:
            self._timer.cancel()
            self._write()

    def _write(self) -> None:
        self._timer = None
        refused, self._refused = self._refused, {}
        limits, self._limits = self._limits, {}
        for account, count in refused.items():
            if self._log_limit.try_acquire(account):
                log.warning(
                    "account_over_limit",
                    extra={
                        "client_account": account,
                        "calls_per_s": limits[account],
                        "refused": count,
                    },
                )
