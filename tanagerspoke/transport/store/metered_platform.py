"""Client of the platform that stays within the control budget."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from tanagerspoke import exceptions
from tanagerspoke.coordination import budget
from tanagerspoke.protocol import platform
from tanagerspoke.transport.operations import agent_metrics
from tanagerspoke.transport.store import control_meter
from tanagerspoke.transport.store import platform_client

T = TypeVar("T")

# Expected size of the first reply to each operation.
_FIRST_REPLY_ESTIMATE_BYTES = 300

# Upper limit of the expected size; the excess of a larger reply becomes debt. A
# full host list is followed by many short replies. If its size were expected
# again, the next poll would wait for a full bucket.
_MAX_REPLY_ESTIMATE_BYTES = 600


class DeferredError(exceptions.TanagerspokeError):
    """The control budget is spent; the caller must retry later."""


class MeteredPlatform:
    """Platform client of the control plane.

    Every call raises `DeferredError` if the budget is spent, and
    `PlatformError` if there is no valid reply.
    """

    def __init__(
        self,
        *,
        client: platform_client.PlatformClient,
        meter: control_meter.ControlMeter,
        metrics: agent_metrics.AgentMetrics,
    ) -> None:
        self._client = client
        self._meter = meter
        self._metrics = metrics
        self._reply_estimates: dict[str, int] = {}

    async def get(self, key: str, *, kind: budget.Kind) -> platform.Row | None:
        """Returns a row, or None if it does not exist."""
        return await self._call(
            "get", kind, len(key), lambda: self._client.get(key)
        )

    async def scan(
        self, *, prefix: str, after: str, limit: int, kind: budget.Kind
    ) -> platform.ScanReply:
        """Returns rows of a prefix in key order, after the key `after`."""
        return await self._call(
            f"scan {prefix}",
            kind,
            len(prefix) + len(after),
            lambda: self._client.scan(prefix=prefix, after=after, limit=limit),
        )

    async def hosts(self, *, known_version: int) -> platform.HostList | None:
        """Returns the host list, or None if it still has the known version."""
        return await self._call(
            "hosts",
            budget.Kind.HOSTS,
            0,
            lambda: self._client.hosts(known_version=known_version),
        )

    async def transact(
        self, transaction: platform.Transaction, *, kind: budget.Kind
    ) -> platform.TransactionReply:
        """Commits a transaction, or returns the conditions that failed."""
        return await self._call(
            "transact",
            kind,
            len(msgspec.json.encode(transaction)),
            lambda: self._client.transact(transaction),
        )

    async def _call(
        self,
        operation: str,
        kind: budget.Kind,
        request_bytes: int,
        call: Callable[[], Awaitable[T]],
    ) -> T:
        base_bytes = budget.HTTP_OVERHEAD_BYTES + request_bytes
        expected_bytes = self._reply_estimates.get(
            operation, _FIRST_REPLY_ESTIMATE_BYTES
        )
        grant = self._meter.request(kind, base_bytes + expected_bytes)
        if grant is None:
            raise DeferredError(
                f"{operation} is deferred until the control budget allows it"
            )
        reply_bytes = expected_bytes
        try:
            reply = await call()
            # The client returns a decoded reply. Encoding it again gives
            # about the size of the body that was read.
            reply_bytes = len(msgspec.json.encode(reply))
            self._reply_estimates[operation] = min(
                reply_bytes, _MAX_REPLY_ESTIMATE_BYTES
            )
            return reply
        except exceptions.PlatformError:
            self._metrics.count_platform_error(operation.split()[0])
            raise
        finally:
            self._meter.settle(grant, base_bytes + reply_bytes)
