"""Registers an upstream's stand-in in the platform's host list."""

import asyncio
import logging

import aiohttp
import msgspec

from tanagerspoke.protocol import platform
from tanagerspoke.settings import options

log = logging.getLogger(__name__)

_RETRY_INTERVAL_S = 0.2
_REQUEST_TIMEOUT_S = 5.0


class Registration:
    """Entry of one upstream in the host list."""

    def __init__(self, *, cfg: options.StandinUpstream) -> None:
        self._cfg = cfg
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Lists the upstream as live; retries in the background."""
        if self._cfg.platform is not None:
            self._task = asyncio.get_running_loop().create_task(
                self._put_until_accepted(self._cfg.platform)
            )

    async def close(self) -> None:
        """Stops the retries."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def mark_leaving(self) -> None:
        """Lists the upstream as leaving; makes one attempt."""
        if self._cfg.platform is not None:
            await self._put(self._cfg.platform, state="leaving")

    async def _put_until_accepted(self, endpoint: options.Endpoint) -> None:
        while True:
            if await self._put(endpoint, state="live"):
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _put(self, endpoint: options.Endpoint, *, state: str) -> bool:
        entry = self._host_entry(state)
        url = (
            f"http://{endpoint.address}:{endpoint.port}"
            f"/control/hosts/{entry.name}"
        )
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.put(url, data=msgspec.json.encode(entry)) as resp,
            ):
                return resp.status == 204
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            log.info("registration_failed", extra={"error": str(exc)})
            return False

    def _host_entry(self, state: str) -> platform.HostEntry:
        cfg = self._cfg
        return platform.HostEntry(
            name=cfg.name,
            role="upstream",
            address=cfg.listen.address,
            port=cfg.listen.port,
            availability_zone=cfg.place.availability_zone,
            region=cfg.place.region,
            service=cfg.service,
            slots=cfg.slots,
            state=state,
        )
