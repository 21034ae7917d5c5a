"""Sends updates to the gateways of this host and tracks which are live."""

import asyncio
from collections.abc import AsyncIterator, Callable
import logging
import time

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import peer

log = logging.getLogger(__name__)

# A gateway with this many updates in its queue is disconnected; it subscribes
# again and starts from the full state.
_MAX_QUEUED_UPDATES = 256

# Time without a report after which a gateway no longer counts as live. A live
# one reports several times a second.
_GATEWAY_TIMEOUT_S = 5.0


class GatewayFeed:
    """Subscriptions of gateways, each of which starts with the full state.

    Args:
        on_gateways: called with the live gateways when they or their
            revisions change.
    """

    def __init__(
        self,
        *,
        on_gateways: Callable[[tuple[peer.GatewayStatus, ...]], None],
    ) -> None:
        self._on_gateways = on_gateways
        self._subscriber_queues: set[asyncio.Queue[agent.GatewayUpdate]] = set()
        self._full_state: dict[type, agent.GatewayUpdate] = {}
        # Revision and time of the last report or subscription, by gateway id.
        self._gateways: dict[str, tuple[int, float]] = {}

    def publish(
        self,
        update: agent.GatewayUpdate,
        *,
        full: agent.GatewayUpdate | None = None,
    ) -> None:
        """Sends an update; new subscribers start with `full` instead."""
        self._full_state[type(update)] = update if full is None else full
        self._send(update)

    def publish_transient(self, update: agent.GatewayUpdate) -> None:
        """Sends an update that is not part of the full state."""
        self._send(update)

    def _send(self, update: agent.GatewayUpdate) -> None:
        for queue in list(self._subscriber_queues):
            try:
                queue.put_nowait(update)
            except asyncio.QueueFull:
                log.warning("gateway_lags")
                self._subscriber_queues.discard(queue)

    async def subscribe(
        self, request: agent.SubscribeRequest
    ) -> AsyncIterator[agent.GatewayUpdate]:
        """Yields the full state, then every change."""
        queue: asyncio.Queue[agent.GatewayUpdate] = asyncio.Queue(
            _MAX_QUEUED_UPDATES
        )
        self._subscriber_queues.add(queue)
        self._record_gateway(request.gateway_id, 0)
        try:
            for update in tuple(self._full_state.values()):
                yield update
            while queue in self._subscriber_queues:
                yield await queue.get()
        finally:
            self._subscriber_queues.discard(queue)

    def observe(self, request: agent.ObserveRequest) -> None:
        """Records a gateway's report."""
        self._record_gateway(request.gateway_id, request.revision)

    def expire(self) -> None:
        """Removes gateways that no longer report."""
        now = time.monotonic()
        expired = [
            gateway_id
            for gateway_id, (_, reported_at) in self._gateways.items()
            if now - reported_at > _GATEWAY_TIMEOUT_S
        ]
        for gateway_id in expired:
            del self._gateways[gateway_id]
        if expired:
            self._on_gateways(self.gateways())

    def gateways(self) -> tuple[peer.GatewayStatus, ...]:
        """Returns the live gateways and their active revisions."""
        return tuple(
            peer.GatewayStatus(gateway_id=gateway_id, revision=revision)
            for gateway_id, (revision, _) in sorted(self._gateways.items())
        )

    def _record_gateway(self, gateway_id: str, revision: int) -> None:
        previous = self._gateways.get(gateway_id)
        self._gateways[gateway_id] = revision, time.monotonic()
        if previous is None or previous[0] != revision:
            self._on_gateways(self.gateways())
