"""Tracks whether the platform's store can be reached."""

import asyncio
from collections.abc import Callable
import logging
import time

log = logging.getLogger(__name__)


class StoreHealth:
    """Tracks whether calls to the store succeed; logs and reports changes.

    Args:
        on_recovered: called at the first reply after a failure.
    """

    def __init__(self, *, on_recovered: Callable[[], None]) -> None:
        self._on_recovered = on_recovered
        self._unreachable_since: float | None = None
        self._reachable = asyncio.Event()
        self._reachable.set()

    @property
    def is_unreachable(self) -> bool:
        """Whether the last call failed."""
        return self._unreachable_since is not None

    async def wait_until_reachable(self) -> None:
        """Waits while calls fail.

        Another task must continue to call the store without this wait, since
        only a reply ends it.
        """
        await self._reachable.wait()

    def record_failure(self, exc: Exception) -> None:
        """Records a call without a valid reply."""
        if self._unreachable_since is None:
            self._unreachable_since = time.monotonic()
            self._reachable.clear()
            log.warning("store_lost", extra={"error": str(exc)})

    def record_reply(self) -> None:
        """Records a call that got a reply."""
        if self._unreachable_since is None:
            return
        outage_s = time.monotonic() - self._unreachable_since
        self._unreachable_since = None
        self._reachable.set()
        log.info("store_regained", extra={"lost_s": round(outage_s, 3)})
        self._on_recovered()
