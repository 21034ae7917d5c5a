"""The agent: connects the services of one host's control plane."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import logging
import random

import mode

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import upstreams
from tanagerspoke.settings import options
from tanagerspoke.state import revisions
from tanagerspoke.transport.operations import admin_server
from tanagerspoke.transport.operations import agent_metrics
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import gateway_feed
from tanagerspoke.transport.peers import grpc_agent
from tanagerspoke.transport.peers import grpc_peer
from tanagerspoke.transport.peers import peer_service
from tanagerspoke.transport.store import claim_service
from tanagerspoke.transport.store import config_service
from tanagerspoke.transport.store import control_meter
from tanagerspoke.transport.store import host_service
from tanagerspoke.transport.store import metered_platform
from tanagerspoke.transport.store import platform_client
from tanagerspoke.transport.store import probe_service
from tanagerspoke.transport.store import status_service

log = logging.getLogger(__name__)

_GATEWAY_EXPIRY_INTERVAL_S = 1.0
_CLAIM_FLUSH_TIMEOUT_S = 2.0


class AgentService(mode.Service):
    """The service of one agent process, which serves its host's gateways."""

    def __init__(self, *, cfg: options.Agent) -> None:
        super().__init__()
        self._cfg = cfg
        self._platform = platform_client.PlatformClient(
            endpoint=cfg.platform, timeout_s=cfg.store.timeout_s
        )
        self._metrics = agent_metrics.AgentMetrics()
        self._claims = claim_service.ClaimService(
            cfg=cfg.store, platform=self._platform, metrics=self._metrics
        )
        self._server = grpc_agent.create_agent_server(
            listen=cfg.gateways,
            shared_key=cfg.shared_key,
            handler=self,
            tls=cfg.tls,
            on_rejected=self._count_rejected,
        )
        self._admin = admin_server.AdminServer(
            listen=cfg.admin,
            registry=self._metrics.registry,
            is_ready=lambda: self._config.follower.active_config.revision > 0,
        )
        self._listed_upstreams: tuple[upstreams.Upstream, ...] = ()
        self._drain_marked_ids: frozenset[str] = frozenset()
        self._create_services()

    def _create_services(self) -> None:
        cfg = self._cfg
        rng = random.Random()
        self._meter = control_meter.ControlMeter(
            cfg=cfg.budget, metrics=self._metrics
        )
        metered_client = metered_platform.MeteredPlatform(
            client=self._platform, meter=self._meter, metrics=self._metrics
        )
        self._peer_client = grpc_peer.PeerClient(
            shared_key=cfg.shared_key, tls=cfg.tls, timeout_s=1.0
        )
        self._peers = peer_service.PeerService(
            cfg=cfg,
            meter=self._meter,
            metrics=self._metrics,
            client=self._peer_client,
            listener=self,
            rng=rng,
        )
        self._config = config_service.ConfigService(
            poll_interval_s=cfg.poll_interval_s,
            platform=metered_client,
            meter=self._meter,
            peer_client=self._peer_client,
            peer_target=self._peers.peer_target,
            on_install=self._publish_config,
            rng=rng,
        )
        self._feed = gateway_feed.GatewayFeed(
            on_gateways=self._peers.set_gateways
        )
        self._hosts = host_service.HostService(
            poll_interval_s=cfg.poll_interval_s,
            platform=metered_client,
            on_hosts=self._apply_host_list,
            on_draining=self._peers.record_draining,
            rng=rng,
        )
        self._probes = probe_service.ProbeService(
            meter=self._meter, on_load=self._handle_probed_load, rng=rng
        )
        self._status = status_service.StatusService(
            platform=metered_client, read_status=self._host_status
        )

    async def on_start(self) -> None:
        """Starts the services and opens the ports."""
        await self._platform.start()
        for service in (
            self._claims,
            self._meter,
            self._peers,
            self._config,
            self._hosts,
            self._probes,
            self._status,
        ):
            await self.add_runtime_dependency(service)
        await self._server.start()
        await self._admin.start()
        log.info("agent_started")

    async def close(self) -> None:
        """Stops the service."""
        await self.stop()

    async def on_stop(self) -> None:
        """Closes the gateways' and admin ports and the clients.

        Claim records are flushed when no gateway can add any more.
        """
        await self._server.close()
        await self._claims.flush(timeout_s=_CLAIM_FLUSH_TIMEOUT_S)
        await self._admin.close()
        await self._peer_client.close()
        await self._platform.close()

    @mode.Service.task
    @supervision.restarted
    async def _expire_gateways(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_GATEWAY_EXPIRY_INTERVAL_S)
            self._feed.expire()

    def _publish_config(self, update: agent.ConfigUpdate) -> None:
        self._metrics.config_revision.set(update.revision)
        self._feed.publish(update, full=self._config.follower.full_update())

    def _apply_host_list(self, host_list: platform.HostList) -> None:
        self._peers.set_host_list(host_list.hosts)
        self._listed_upstreams = tuple(
            _as_upstream(host)
            for host in host_list.hosts
            if host.role == "upstream"
        )
        for upstream in self._listed_upstreams:
            if upstream.leaving:
                self._peers.record_draining(upstream.upstream_id)
        self._publish_upstreams()

    def _publish_upstreams(self) -> None:
        upstreams_with_marks = tuple(
            dataclasses.replace(
                upstream,
                leaving=upstream.leaving
                or upstream.upstream_id in self._drain_marked_ids,
            )
            for upstream in self._listed_upstreams
        )
        self._probes.set_upstreams(upstreams_with_marks)
        self._feed.publish(
            agent.UpstreamsUpdate(upstreams=upstreams_with_marks)
        )

    def _handle_probed_load(self, report: agent.ProbedLoad) -> None:
        if report.load.phase is upstreams.UpstreamPhase.DRAINING:
            self._peers.record_draining(report.upstream_id)
        self._feed.publish_transient(agent.LoadUpdate(reports=(report,)))

    def _host_status(self) -> revisions.HostStatus:
        follower = self._config.follower
        return revisions.HostStatus(
            host=self._cfg.place.host,
            revision=follower.active_config.revision,
            gateways={
                gateway.gateway_id: gateway.revision
                for gateway in self._feed.gateways()
            },
            problem=follower.problem,
        )

    def _count_rejected(self, reason: str) -> None:
        self._metrics.rejected_messages.labels(reason).inc()

    def drain_marks_changed(self, upstream_ids: tuple[str, ...]) -> None:
        """Publishes the upstreams that any host observed to be draining."""
        self._drain_marked_ids = frozenset(upstream_ids)
        self._feed.publish(agent.DrainUpdate(upstream_ids=upstream_ids))
        # A DrainUpdate only adds marks in the gateways; the expiry of a mark
        # shows only in the list of upstreams.
        self._publish_upstreams()

    def gateway_count_changed(self, gateways: int) -> None:
        """Publishes the number of live gateways in the fleet."""
        self._feed.publish(agent.FleetUpdate(gateways=gateways))

    def peer_revision_received(self, host: str, revision: int) -> None:
        """Passes on the active revision that a peer reported."""
        self._config.record_peer_revision(host=host, revision=revision)

    def active_config(self) -> tuple[agent.ConfigUpdate | None, str]:
        """Returns the whole active configuration and its digest."""
        follower = self._config.follower
        return follower.full_update(), follower.digest

    def active_revision(self) -> int:
        """Returns the active configuration revision."""
        return self._config.follower.active_config.revision

    def subscribe(
        self, request: agent.SubscribeRequest
    ) -> AsyncIterator[agent.GatewayUpdate]:
        """Yields the full state, then every change."""
        return self._feed.subscribe(request)

    async def claim(self, request: agent.ClaimRequest) -> agent.ClaimReply:
        """Claims the right to run a write."""
        return await self._claims.claim(request)

    async def complete(
        self, request: agent.CompleteRequest
    ) -> agent.CompleteReply:
        """Records the result of a claimed write."""
        return await self._claims.complete(request)

    async def observe(
        self, request: agent.ObserveRequest
    ) -> agent.ObserveReply:
        """Records a gateway's observations."""
        self._feed.observe(request)
        for upstream_id in request.draining:
            self._peers.record_draining(upstream_id)
        self._probes.record_reports(request.reported)
        return agent.ObserveReply()


def _as_upstream(host: platform.HostEntry) -> upstreams.Upstream:
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
