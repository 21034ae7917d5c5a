"""Keeps the set of evacuated availability zones, and passes it on."""

import asyncio
from collections.abc import Callable, Mapping
import logging
import random

import mode

from tanagerspoke.protocol import zone_feed
from tanagerspoke.protocol import zones as zones_types
from tanagerspoke.state import evacuated_zones
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import zone_feed_client

log = logging.getLogger(__name__)

# Interval at which a node that can't reach the store asks others. A zone must
# be evacuated on all nodes within 5 s, and an answer may take 0.5 s.
_ASK_INTERVAL_S = 1.0
# Nodes that are asked at a time. If half of all nodes can't reach the store
# either, three of four rounds find one that can.
_ASKED_NODES = 2


class EvacuationService(mode.Service):
    """Applies evacuations from the store, the zone feed and other nodes."""

    def __init__(
        self,
        *,
        client: zone_feed_client.ZoneFeedClient,
        publish: Callable[[zone_feed.ZonesUpdate], None],
        on_zones: Callable[[frozenset[str]], None],
        is_cut_off: Callable[[], bool],
        other_nodes: Callable[[], tuple[zone_feed.Node, ...]],
    ) -> None:
        """Creates a service that is not started.

        Args:
            client: asks other nodes; started and closed by the owner.
            publish: sends an update to the followers of this node.
            on_zones: called with all evacuated zones when they changed.
            is_cut_off: returns whether this node reads the store itself but
                can't reach it.
            other_nodes: returns the listed nodes except this one.
        """
        super().__init__()
        self._client = client
        self._publish = publish
        self._on_zones = on_zones
        self._is_cut_off = is_cut_off
        self._other_nodes = other_nodes
        self._state = evacuated_zones.EvacuatedZones()
        self._versions: dict[str, int] = {}
        self._rng = random.Random()

    @property
    def store_versions(self) -> Mapping[str, int]:
        """The evacuated zones with the store version of each at this node."""
        return self._versions

    @property
    def updates(self) -> list[zone_feed.ZoneUpdate]:
        """The update that holds the set; none before the first read."""
        if self._state.position < 0:
            return []
        return [self._update()]

    def apply_change(
        self, position: int, change: zones_types.ZonesChange
    ) -> None:
        """Applies a read of the store; see `EvacuatedZones.apply_change`."""
        before = self._state.zones
        if self._state.apply_change(change, position=position):
            self._report(before)

    def apply_update(self, update: zone_feed.ZonesUpdate) -> None:
        """Applies an update of another node."""
        before = self._state.zones
        if self._state.replace(update.evacuated, position=update.position):
            self._report(before)

    def _update(self) -> zone_feed.ZonesUpdate:
        return zone_feed.ZonesUpdate(
            position=self._state.position,
            evacuated=tuple(sorted(self._state.zones)),
        )

    def _report(self, before: frozenset[str]) -> None:
        after = self._state.zones
        version = self._state.position
        for zone in sorted(after - before):
            log.warning(
                "zone_evacuated",
                extra={"zone": zone, "store_version": version},
            )
            self._versions[zone] = version
        for zone in sorted(before - after):
            self._versions.pop(zone, None)
            log.info(
                "zone_returned",
                extra={"zone": zone, "store_version": version},
            )
        self._on_zones(after)
        self._publish(self._update())

    @mode.Service.task
    @supervision.restarted
    async def _ask_while_cut_off(self) -> None:
        """Asks other nodes while this one can't reach the store.

        A node that reads the store follows no other, so that nobody would
        tell it.
        """
        while not self.should_stop:
            await asyncio.sleep(_ASK_INTERVAL_S)
            if not self._is_cut_off():
                continue
            others = self._other_nodes()
            asked = self._rng.sample(others, min(_ASKED_NODES, len(others)))
            await asyncio.gather(*(self._ask(node) for node in asked))

    async def _ask(self, node: zone_feed.Node) -> None:
        try:
            updates = await self._client.fetch_zones(node)
        except zone_feed_client.FeedUnavailableError as exc:
            log.info(
                "zones_not_fetched",
                extra={"node": node.name, "error": str(exc)},
            )
            return
        for update in updates:
            if isinstance(update, zone_feed.ZonesUpdate):
                self.apply_update(update)
