"""A gateway's link to its agent: receives updates, sends observations."""

import asyncio
from collections.abc import Callable
import logging

import mode

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import grpc_agent

log = logging.getLogger(__name__)

_RECONNECT_DELAY_S = 0.2
_OBSERVE_INTERVAL_S = 0.25
_OBSERVE_TIMEOUT_S = 1.0


class AgentLink(mode.Service):
    """Subscribes to the agent and reconnects after failures.

    While no agent is reachable, the gateway continues with its last state.

    Args:
        on_update: called with each update; may raise `DeclarationError`.
        on_reconnected: called before the first update after a failure is passed
            on.
    """

    def __init__(
        self,
        *,
        gateway_id: str,
        client: grpc_agent.AgentClient,
        on_update: Callable[[agent.GatewayUpdate], None],
        on_reconnected: Callable[[], None],
    ) -> None:
        super().__init__()
        self._gateway_id = gateway_id
        self._client = client
        self._on_update = on_update
        self._on_reconnected = on_reconnected
        self._is_agent_lost = False
        self._draining_upstreams: set[str] = set()
        self._reporting_upstreams: set[str] = set()
        self._revision = 0

    def record_draining(self, upstream_id: str) -> None:
        """Records that a response reported the upstream as draining."""
        self._draining_upstreams.add(upstream_id)

    def record_load_report(self, upstream_id: str) -> None:
        """Records that a response carried a load report."""
        self._reporting_upstreams.add(upstream_id)

    def set_revision(self, revision: int) -> None:
        """Sets the active configuration revision."""
        self._revision = revision

    @mode.Service.task
    @supervision.restarted
    async def _follow(self) -> None:
        request = agent.SubscribeRequest(gateway_id=self._gateway_id)
        while not self.should_stop:
            try:
                async for update in self._client.subscribe(request):
                    self._record_connection()
                    if not self._apply_update(update):
                        break
            except exceptions.TanagerspokeError as exc:
                self._record_loss(exc)
            await asyncio.sleep(_RECONNECT_DELAY_S)

    def _record_loss(self, exc: exceptions.TanagerspokeError) -> None:
        if not self._is_agent_lost:
            log.warning("agent_lost", extra={"error": str(exc)})
        self._is_agent_lost = True

    def _record_connection(self) -> None:
        if self._is_agent_lost:
            log.info("agent_returned")
            self._is_agent_lost = False
            self._on_reconnected()

    def _apply_update(self, update: agent.GatewayUpdate) -> bool:
        """Passes an update on; returns False if earlier changes are missing."""
        if (
            isinstance(update, agent.ConfigUpdate)
            and update.base_revision > self._revision
        ):
            log.warning(
                "config_gap",
                extra={"have": self._revision, "base": update.base_revision},
            )
            return False
        try:
            self._on_update(update)
        except exceptions.DeclarationError as exc:
            # The last valid configuration stays active; the host's status row
            # shows its revision.
            log.error("config_refused", extra={"error": str(exc)})
        return True

    @mode.Service.task
    @supervision.restarted
    async def _send_observations(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_OBSERVE_INTERVAL_S)
            request = self._collect_observations()
            try:
                await self._client.observe(
                    request, timeout_s=_OBSERVE_TIMEOUT_S
                )
            except exceptions.AgentUnavailableError:
                self._draining_upstreams.update(request.draining)

    def _collect_observations(self) -> agent.ObserveRequest:
        request = agent.ObserveRequest(
            gateway_id=self._gateway_id,
            revision=self._revision,
            draining=tuple(self._draining_upstreams),
            reported=tuple(self._reporting_upstreams),
        )
        self._draining_upstreams.clear()
        self._reporting_upstreams.clear()
        return request
