"""Exchanges heartbeats and snapshots with the agents of other hosts."""

import asyncio
import logging
import time
from typing import Protocol

import mode

from tanagerspoke import exceptions
from tanagerspoke.coordination import budget
from tanagerspoke.coordination import membership
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import codec
from tanagerspoke.protocol import peer
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import randomness
from tanagerspoke.settings import options
from tanagerspoke.transport import background_tasks
from tanagerspoke.transport.operations import agent_metrics
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import grpc_peer
from tanagerspoke.transport.store import control_meter

log = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.1

# Expected size of the first reply. Later ones are expected to be as large as
# the last one.
_FIRST_REPLY_ESTIMATE_BYTES = 300


class PeerListener(Protocol):
    """Handles changes in the fleet, and provides the active configuration."""

    def drain_marks_changed(self, upstream_ids: tuple[str, ...]) -> None:
        """Handles a change of the upstreams with a drain mark."""

    def gateway_count_changed(self, gateways: int) -> None:
        """Handles a change of the number of live gateways in the fleet."""

    def peer_revision_received(self, host: str, revision: int) -> None:
        """Handles the active revision that a peer reported."""

    def active_config(self) -> tuple[agent.ConfigUpdate | None, str]:
        """Returns the whole active configuration and its digest."""

    def active_revision(self) -> int:
        """Returns the active configuration revision."""


class PeerService(mode.Service):
    """Performs the I/O of the membership state machine."""

    def __init__(
        self,
        *,
        cfg: options.Agent,
        meter: control_meter.ControlMeter,
        metrics: agent_metrics.AgentMetrics,
        client: grpc_peer.PeerClient,
        listener: PeerListener,
        rng: randomness.Random,
    ) -> None:
        super().__init__()
        self._meter = meter
        self._metrics = metrics
        self._client = client
        self._listener = listener
        self._membership = membership.Membership(
            host=cfg.place.host,
            address=cfg.peers.address,
            port=cfg.peers.port,
            incarnation=int(time.time() * 1000),
            interval_s=cfg.heartbeat_interval_s,
            rng=rng,
            now=time.monotonic(),
        )
        self._server = grpc_peer.create_peer_server(
            listen=cfg.peers,
            shared_key=cfg.shared_key,
            tls=cfg.tls,
            handler=self,
            on_rejected=self._count_rejected,
        )
        self._expected_reply_bytes = _FIRST_REPLY_ESTIMATE_BYTES
        self._sends = background_tasks.BackgroundTasks()

    async def on_start(self) -> None:
        """Opens the port."""
        await self._server.start()

    async def on_stop(self) -> None:
        """Cancels running heartbeats and closes the port."""
        self._sends.cancel()
        await self._server.close()

    def peer_target(self, host: str) -> str | None:
        """Returns `address:port` of a host's agent, None if unknown."""
        endpoint = self._membership.fleet.addresses().get(host)
        return None if endpoint is None else f"{endpoint[0]}:{endpoint[1]}"

    def set_host_list(self, hosts: tuple[platform.HostEntry, ...]) -> None:
        """Sets the platform's host list."""
        self._membership.fleet.set_listed(hosts)

    def record_draining(self, upstream_id: str) -> None:
        """Records that an upstream was just observed to be draining."""
        self._handle(membership.DrainObserved(upstream_id=upstream_id))

    def set_gateways(self, gateways: tuple[peer.GatewayStatus, ...]) -> None:
        """Sets the live gateways of this host."""
        self._handle(membership.GatewaysChanged(gateways=gateways))

    async def exchange(self, heartbeat: peer.Heartbeat) -> peer.Heartbeat:
        """Applies a peer's heartbeat and returns one of this agent.

        Raises:
            ProtocolError: the heartbeat is rejected.
        """
        rejection = self._handle(
            membership.HeartbeatReceived(heartbeat=heartbeat)
        )
        if rejection is not None:
            raise exceptions.ProtocolError(rejection.reason)
        return self._next_heartbeat()

    async def fetch_snapshot(
        self, request: peer.SnapshotRequest
    ) -> peer.SnapshotReply:
        """Returns the active configuration if it is newer than the peer's.

        Otherwise the reply contains only the active revision.
        """
        update, digest = self._listener.active_config()
        if update is None or update.revision <= request.have_revision:
            revision = 0 if update is None else update.revision
            return peer.SnapshotReply(revision=revision, items=())
        return peer.SnapshotReply(
            revision=update.revision, items=update.items, digest=digest
        )

    def charge_heartbeat(self, size_bytes: int) -> None:
        """Charges a heartbeat and its reply to the control budget."""
        self._meter.charge(
            budget.Kind.HEARTBEAT, size_bytes + 2 * budget.GRPC_OVERHEAD_BYTES
        )

    def charge_snapshot(self, size_bytes: int) -> None:
        """Charges a snapshot request and its reply to the control budget."""
        self._meter.charge(
            budget.Kind.CONFIG, size_bytes + 2 * budget.GRPC_OVERHEAD_BYTES
        )

    @mode.Service.task
    @supervision.restarted
    async def _tick(self) -> None:
        while not self.should_stop:
            self._handle(membership.Tick())
            self._metrics.live_peers.set(
                len(self._membership.fleet.live_hosts())
            )
            await asyncio.sleep(_TICK_INTERVAL_S)

    def _handle(
        self, event: membership.Event
    ) -> membership.RejectHeartbeat | None:
        rejection = None
        actions = self._membership.handle(event=event, now=time.monotonic())
        for action in actions:
            match action:
                case membership.SendHeartbeat():
                    self._start_heartbeat(action)
                case membership.DrainMarksChanged(upstream_ids=upstream_ids):
                    self._listener.drain_marks_changed(upstream_ids)
                case membership.GatewayCountChanged(gateways=gateways):
                    self._listener.gateway_count_changed(gateways)
                case membership.PeerRevisionReceived(
                    host=host, revision=revision
                ):
                    self._listener.peer_revision_received(host, revision)
                case membership.RejectHeartbeat():
                    rejection = action
        return rejection

    def _next_heartbeat(self) -> peer.Heartbeat:
        return self._membership.heartbeat(
            revision=self._listener.active_revision(),
            now=time.monotonic(),
        )

    def _start_heartbeat(self, action: membership.SendHeartbeat) -> None:
        data = codec.encode(self._next_heartbeat())
        base_bytes = len(data) + 2 * budget.GRPC_OVERHEAD_BYTES
        grant = self._meter.request(
            budget.Kind.HEARTBEAT, base_bytes + self._expected_reply_bytes
        )
        if grant is None:
            return
        self._sends.start(self._send_heartbeat(action, data, base_bytes, grant))

    async def _send_heartbeat(
        self,
        action: membership.SendHeartbeat,
        data: bytes,
        base_bytes: int,
        grant: budget.Grant,
    ) -> None:
        used_bytes = base_bytes
        try:
            reply, reply_bytes = await self._client.exchange(
                target=f"{action.address}:{action.port}", data=data
            )
            used_bytes += reply_bytes
            self._expected_reply_bytes = reply_bytes
        except exceptions.AgentUnavailableError as exc:
            log.debug("peer_unreachable", extra={"error": str(exc)})
            self._handle(membership.HeartbeatFailed(host=action.host))
            return
        except exceptions.ProtocolError as exc:
            log.warning("peer_message_refused", extra={"error": str(exc)})
            self._count_rejected("malformed")
            self._handle(membership.HeartbeatFailed(host=action.host))
            return
        finally:
            self._meter.settle(grant, used_bytes)
        rejection = self._handle(membership.HeartbeatReceived(heartbeat=reply))
        if rejection is not None:
            self._count_rejected(rejection.reason)

    def _count_rejected(self, reason: str) -> None:
        self._metrics.rejected_messages.labels(reason).inc()
