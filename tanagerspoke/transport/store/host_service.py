"""Polls the platform's host list and the operators' drain rows."""

import asyncio
from collections.abc import Awaitable, Callable
import logging

import mode

from tanagerspoke import exceptions
from tanagerspoke.coordination import budget
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import randomness
from tanagerspoke.state import revisions
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.store import metered_platform

log = logging.getLogger(__name__)

# Random variation of the poll interval, as a share of it in both directions.
_POLL_JITTER = 0.25
_DEFERRED_RETRY_DELAY_S = 0.25
_DRAIN_PAGE_ROWS = 100


class HostService(mode.Service):
    """Polls at random intervals, within the control budget.

    Args:
        poll_interval_s: mean time between polls.
        platform: host list and table with the drain rows.
        on_hosts: called with the host list when it changed.
        on_draining: called in each poll with the id of each upstream that an
            operator drains.
        rng: for the jitter.
    """

    def __init__(
        self,
        *,
        poll_interval_s: float,
        platform: metered_platform.MeteredPlatform,
        on_hosts: Callable[[platform.HostList], None],
        on_draining: Callable[[str], None],
        rng: randomness.Random,
    ) -> None:
        super().__init__()
        self._interval_s = max(poll_interval_s, budget.MIN_POLL_INTERVAL_S)
        self._platform = platform
        self._on_hosts = on_hosts
        self._on_draining = on_draining
        self._rng = rng
        self._known_version = -1
        # Held from the first try of a read until it is granted. Otherwise the
        # short read of drain rows takes the bytes for which the host list
        # waits, and ends the wait that both count together.
        self._turn = asyncio.Lock()

    @mode.Service.task
    @supervision.restarted
    async def _poll_hosts(self) -> None:
        while not self.should_stop:
            delay_s = await self._poll_once(self._read_hosts)
            await asyncio.sleep(delay_s)

    @mode.Service.task
    @supervision.restarted
    async def _poll_drains(self) -> None:
        while not self.should_stop:
            delay_s = await self._poll_once(self._read_drains)
            await asyncio.sleep(delay_s)

    async def _poll_once(self, read: Callable[[], Awaitable[None]]) -> float:
        """Reads once; returns the time until the next read in seconds."""
        async with self._turn:
            while True:
                try:
                    await read()
                except metered_platform.DeferredError:
                    await asyncio.sleep(_DEFERRED_RETRY_DELAY_S)
                    continue
                except exceptions.PlatformError as exc:
                    log.warning(
                        "platform_unavailable", extra={"error": str(exc)}
                    )
                break
        return self._interval_s * self._rng.uniform(
            1 - _POLL_JITTER, 1 + _POLL_JITTER
        )

    async def _read_hosts(self) -> None:
        host_list = await self._platform.hosts(
            known_version=self._known_version
        )
        if host_list is not None:
            self._known_version = host_list.version
            self._on_hosts(host_list)

    async def _read_drains(self) -> None:
        after_key = ""
        has_more = True
        while has_more:
            reply = await self._platform.scan(
                prefix=revisions.DRAIN_PREFIX,
                after=after_key,
                limit=_DRAIN_PAGE_ROWS,
                kind=budget.Kind.HOSTS,
            )
            for row in reply.rows:
                after_key = row.key
                self._on_draining(row.key.removeprefix(revisions.DRAIN_PREFIX))
            has_more = reply.more and bool(reply.rows)
