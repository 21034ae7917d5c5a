"""Writes the status row of this host."""

import asyncio
from collections.abc import Callable
import logging
import time

import mode

from tanagerspoke import exceptions
from tanagerspoke.coordination import budget
from tanagerspoke.protocol import platform
from tanagerspoke.state import revisions
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.store import metered_platform

log = logging.getLogger(__name__)

_CHECK_INTERVAL_S = 0.25

# The row of a host whose agent stopped expires after this time; a running agent
# renews it earlier.
_STATUS_ROW_TTL_S = 180.0
_RENEW_INTERVAL_S = 60.0


class StatusService(mode.Service):
    """Writes the row when the status changed, and renews it before it expires.

    Args:
        platform: table with the status rows.
        read_status: returns the current status.
    """

    def __init__(
        self,
        *,
        platform: metered_platform.MeteredPlatform,
        read_status: Callable[[], revisions.HostStatus],
    ) -> None:
        super().__init__()
        self._platform = platform
        self._read_status = read_status
        self._written_status: revisions.HostStatus | None = None
        self._written_at = 0.0

    @mode.Service.task
    @supervision.restarted
    async def _update_row(self) -> None:
        while not self.should_stop:
            status = self._read_status()
            age_s = time.monotonic() - self._written_at
            if status != self._written_status or age_s >= _RENEW_INTERVAL_S:
                await self._write_row(status)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _write_row(self, status: revisions.HostStatus) -> None:
        operation = platform.Operation(
            key=revisions.STATUS_PREFIX + status.host,
            condition=platform.Always(),
            write=platform.Put(
                value=revisions.encode(status), ttl_s=_STATUS_ROW_TTL_S
            ),
        )
        try:
            await self._platform.transact(
                platform.Transaction(operations=(operation,)),
                kind=budget.Kind.STATUS,
            )
        except metered_platform.DeferredError:
            return
        except exceptions.PlatformError as exc:
            log.warning("status_not_written", extra={"error": str(exc)})
            await asyncio.sleep(1.0)
            return
        self._written_status = status
        self._written_at = time.monotonic()
