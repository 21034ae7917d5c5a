"""Updates to the gateways of this host and their observations."""

import asyncio
from collections.abc import AsyncIterator, Callable
import logging
import time

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import peer

log = logging.getLogger(__name__)

# A gateway that lags by so many updates is cut off; it subscribes again and
# starts from the full state.
_MAX_WAITING = 256

# A gateway reports several times a second.
_SILENT_S = 5.0


class GatewayFeed:
    """Subscriptions, each starting with the full state.

    Args:
        on_gateways: takes the live gateways whenever they change.
    """

    def __init__(
        self,
        *,
        on_gateways: Callable[[tuple[peer.GatewayStatus, ...]], None],
    ) -> None:
        self._on_gateways = on_gateways
        self._subscribers: set[asyncio.Queue[agent.GatewayUpdate]] = set()
        self._state: dict[type, agent.GatewayUpdate] = {}
        self._gateways: dict[str, tuple[int, float]] = {}

    def publish(
        self,
        update: agent.GatewayUpdate,
        *,
        full: agent.GatewayUpdate | None = None,
    ) -> None:
        """Sends an update; new subscribers start with `full` instead."""
        self._state[type(update)] = update if full is None else full
        self._send(update)

    def publish_passing(self, update: agent.GatewayUpdate) -> None:
        """Sends an update that new subscribers do not need."""
        self._send(update)

    def _send(self, update: agent.GatewayUpdate) -> None:
        for queue in list(self._subscribers):
            try:
                queue.put_nowait(update)
            except asyncio.QueueFull:
                log.warning("gateway_lags")
                self._subscribers.discard(queue)

    async def subscribe(
        self, request: agent.SubscribeRequest
    ) -> AsyncIterator[agent.GatewayUpdate]:
        """Yields the full state, then every change."""
        queue: asyncio.Queue[agent.GatewayUpdate] = asyncio.Queue(_MAX_WAITING)
        self._subscribers.add(queue)
        self._note(request.gateway_id, 0)
        try:
            for update in tuple(self._state.values()):
                yield update
            while queue in self._subscribers:
                yield await queue.get()
        finally:
            self._subscribers.discard(queue)

    def observe(self, request: agent.ObserveRequest) -> None:
        """Takes a gateway's report."""
        self._note(request.gateway_id, request.revision)

    def expire(self) -> None:
        """Forgets gateways that are silent."""
        now = time.monotonic()
        silent = [
            gateway_id
            for gateway_id, (_, heard_at) in self._gateways.items()
            if now - heard_at > _SILENT_S
        ]
        for gateway_id in silent:
            del self._gateways[gateway_id]
        if silent:
            self._on_gateways(self.gateways())

    def gateways(self) -> tuple[peer.GatewayStatus, ...]:
        """Returns the live gateways and their revisions in force."""
        return tuple(
            peer.GatewayStatus(gateway_id=gateway_id, revision=revision)
            for gateway_id, (revision, _) in sorted(self._gateways.items())
        )

    def _note(self, gateway_id: str, revision: int) -> None:
        known = self._gateways.get(gateway_id)
        self._gateways[gateway_id] = revision, time.monotonic()
        if known is None or known[0] != revision:
            self._on_gateways(self.gateways())
