"""Reads and writes of the platform within the control budget."""

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

# Expected bytes of an answer of which none was seen yet.
_FIRST_ESTIMATE_BYTES = 300

# Most bytes that are expected of an answer; what is larger becomes debt. A
# full host list is followed by many short answers, and expecting its size
# again would make each of them wait for a full bucket.
_MAX_ESTIMATE_BYTES = 600


class DeferredError(exceptions.TanagerspokeError):
    """The control budget is spent; the caller tries again later."""


class MeteredPlatform:
    """The platform client as control uses it.

    Every call raises `DeferredError` where the budget is spent and
    `PlatformError` where no valid answer came.
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
        self._estimates: dict[str, int] = {}

    async def get(self, key: str, *, kind: budget.Kind) -> platform.Row | None:
        """Returns a row, or None where it is absent."""
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
        """Returns the host list, or None where it has the known version."""
        return await self._call(
            "hosts",
            budget.Kind.HOSTS,
            0,
            lambda: self._client.hosts(known_version=known_version),
        )

    async def transact(
        self, transaction: platform.Transaction, *, kind: budget.Kind
    ) -> platform.TransactionReply:
        """Commits a transaction."""
        return await self._call(
            "transact",
            kind,
            len(msgspec.json.encode(transaction)),
            lambda: self._client.transact(transaction),
        )

    async def _call(
        self,
        name: str,
        kind: budget.Kind,
        request_bytes: int,
        call: Callable[[], Awaitable[T]],
    ) -> T:
        fixed = budget.HTTP_OVERHEAD_BYTES + request_bytes
        expected = self._estimates.get(name, _FIRST_ESTIMATE_BYTES)
        grant = self._meter.request(kind, fixed + expected)
        if grant is None:
            raise DeferredError(f"{name} waits for the control budget")
        answer_bytes = expected
        try:
            answer = await call()
            # The client hands over decoded answers; encoding them again
            # gives the size of the body that was read.
            answer_bytes = len(msgspec.json.encode(answer))
            self._estimates[name] = min(answer_bytes, _MAX_ESTIMATE_BYTES)
            return answer
        except exceptions.PlatformError:
            self._metrics.count_platform_error(name.split()[0])
            raise
        finally:
            self._meter.settle(grant, fixed + answer_bytes)
