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
from tanagerspoke.transport.store import metered_platform

log = logging.getLogger(__name__)

_POLL_JITTER = 0.25
_DEFERRED_RETRY_S = 0.25
_DRAIN_PAGE_ROWS = 100


class HostService(mode.Service):
    """Polls with jitter, within the control budget.

    Args:
        poll_interval_s: mean time between polls.
        platform: host list and table.
        on_hosts: takes a changed host list.
        on_draining: takes an upstream that an operator drains, each poll.
        rng: random generator.
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
        self._version = -1

    @mode.Service.task
    async def _poll_hosts(self) -> None:
        while not self.should_stop:
            delay_s = await self._attempt(self._read_hosts)
            await asyncio.sleep(delay_s)

    @mode.Service.task
    async def _poll_drains(self) -> None:
        while not self.should_stop:
            delay_s = await self._attempt(self._read_drains)
            await asyncio.sleep(delay_s)

    async def _attempt(self, read: Callable[[], Awaitable[None]]) -> float:
        """Reads once; returns the time until the next attempt, seconds."""
        try:
            await read()
        except metered_platform.DeferredError:
            return _DEFERRED_RETRY_S
        except exceptions.PlatformError as exc:
            log.warning("platform_unavailable", extra={"error": str(exc)})
        return self._interval_s * self._rng.uniform(
            1 - _POLL_JITTER, 1 + _POLL_JITTER
        )

    async def _read_hosts(self) -> None:
        listed = await self._platform.hosts(known_version=self._version)
        if listed is not None:
            self._version = listed.version
            self._on_hosts(listed)

    async def _read_drains(self) -> None:
        after = ""
        more = True
        while more:
            reply = await self._platform.scan(
                prefix=revisions.DRAIN_PREFIX,
                after=after,
                limit=_DRAIN_PAGE_ROWS,
                kind=budget.Kind.HOSTS,
            )
            for row in reply.rows:
                after = row.key
                self._on_draining(row.key.removeprefix(revisions.DRAIN_PREFIX))
            more = reply.more and bool(reply.rows)
