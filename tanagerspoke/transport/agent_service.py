"""The agent: platform, configuration, claims and gateways of one host."""

import asyncio
from collections.abc import AsyncIterator
import logging

import mode
import prometheus_client

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import upstreams
from tanagerspoke.settings import options
from tanagerspoke.state import revisions
from tanagerspoke.transport import admin_server
from tanagerspoke.transport import claim_service
from tanagerspoke.transport import grpc_agent
from tanagerspoke.transport import platform_client

log = logging.getLogger(__name__)


class AgentService(mode.Service):
    """One agent process; serves the gateways of its host."""

    def __init__(self, *, cfg: options.Agent) -> None:
        super().__init__()
        self._cfg = cfg
        self._platform = platform_client.PlatformClient(
            endpoint=cfg.platform, timeout_s=cfg.store.timeout_s
        )
        self._claims = claim_service.ClaimService(
            cfg=cfg.store, platform=self._platform
        )
        self._server = grpc_agent.AgentServer(
            listen=cfg.gateways, shared_key=cfg.shared_key, handler=self
        )
        self._registry = prometheus_client.CollectorRegistry()
        self._admin = admin_server.AdminServer(
            listen=cfg.admin,
            registry=self._registry,
            is_ready=lambda: self._config is not None,
        )
        self._config: agent.ConfigUpdate | None = None
        self._upstreams: agent.UpstreamsUpdate | None = None
        self._subscribers: set[asyncio.Queue[agent.GatewayUpdate]] = set()

    async def on_start(self) -> None:
        """Opens the ports."""
        await self._platform.start()
        await self.add_runtime_dependency(self._claims)
        await self._server.start()
        await self._admin.start()
        log.info("agent_started")

    async def close(self) -> None:
        """Stops the tasks and closes the ports."""
        await self.stop()

    async def on_stop(self) -> None:
        """Closes the ports."""
        await self._admin.close()
        await self._server.close()
        await self._platform.close()

    @mode.Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            try:
                await self._poll_config()
                await self._poll_hosts()
            except exceptions.PlatformError as exc:
                log.warning("platform_unavailable", extra={"error": str(exc)})
            await asyncio.sleep(self._cfg.poll_interval_s)

    async def _poll_config(self) -> None:
        row = await self._platform.get(revisions.HEAD_KEY)
        if row is None:
            return
        head = revisions.decode_head(row.value)
        if self._config is not None and head.revision <= self._config.revision:
            return
        scanned = await self._platform.scan(prefix=revisions.ITEM_PREFIX)
        items = tuple(revisions.decode_item(row.value) for row in scanned.rows)
        self._config = agent.ConfigUpdate(
            revision=head.revision, base_revision=0, items=items
        )
        self._publish(self._config)

    async def _poll_hosts(self) -> None:
        listed = await self._platform.hosts()
        if listed is None:
            return
        update = agent.UpstreamsUpdate(
            upstreams=tuple(
                _upstream(host)
                for host in listed.hosts
                if host.role == "upstream"
            )
        )
        if update != self._upstreams:
            self._upstreams = update
            self._publish(update)

    def _publish(self, update: agent.GatewayUpdate) -> None:
        for queue in self._subscribers:
            queue.put_nowait(update)

    async def subscribe(
        self, request: agent.SubscribeRequest
    ) -> AsyncIterator[agent.GatewayUpdate]:
        """Yields the full state, then every change."""
        del request
        queue: asyncio.Queue[agent.GatewayUpdate] = asyncio.Queue()
        self._subscribers.add(queue)
        try:
            if self._config is not None:
                yield self._config
            if self._upstreams is not None:
                yield self._upstreams
            while True:
                yield await queue.get()
        finally:
            self._subscribers.discard(queue)

    async def claim(self, request: agent.ClaimRequest) -> agent.ClaimReply:
        """Claims the right to run a write."""
        return await self._claims.claim(request)

    async def complete(
        self, request: agent.CompleteRequest
    ) -> agent.CompleteReply:
        """Takes the end of a claimed write."""
        return await self._claims.complete(request)

    async def observe(
        self, request: agent.ObserveRequest
    ) -> agent.ObserveReply:
        """Takes what a gateway saw."""
        del request
        return agent.ObserveReply()


def _upstream(host: platform.HostEntry) -> upstreams.Upstream:
    return upstreams.Upstream(
        upstream_id=host.name,
        service=host.service,
        address=host.address,
        port=host.port,
        availability_zone=host.availability_zone,
        region=host.region,
        slots=host.slots,
        leaving=host.state == "leaving",
    )
