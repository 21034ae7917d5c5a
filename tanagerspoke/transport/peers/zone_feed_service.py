"""Follows the store, or another node's feed of it."""

import asyncio
from collections.abc import Callable, Mapping
import functools
import logging
import time

import mode

from tanagerspoke.coordination import feed_search
from tanagerspoke.coordination import reader_choice
from tanagerspoke.coordination import upstream_listing
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import upstreams
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import edge
from tanagerspoke.settings import options
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import evacuation_service
from tanagerspoke.transport.peers import leaving_notices
from tanagerspoke.transport.peers import node_list_push
from tanagerspoke.transport.peers import zone_feed_client
from tanagerspoke.transport.peers import zone_feed_server
from tanagerspoke.transport.store import store_follower
from tanagerspoke.transport.store import store_source

log = logging.getLogger(__name__)

# Longest wait at the start for the list of nodes; if it does not arrive, this
# node reads the store. Also the uptime up to which a node that refused is tried
# again, since it may not have begun to read yet; later, another one is chosen.
_STARTUP_WAIT_S = 2.0
_READER_RETRY_INTERVAL_S = 0.2
# The same while a node that lost its feed waits for the next reader or relay,
# which may not have noticed the loss yet.
_SEARCH_RETRY_INTERVAL_S = 0.05
# Time after which a node that began to read the store is no longer expected to
# be current soon; see `ZoneFeedServer`.
_READ_EXPECTED_S = 0.5
# Time that a restarted node waits for the state of another one before it reads
# the store as well.
_PEER_STATE_WAIT_S = 0.03
# Interval at which a node that reads the store checks whether to follow another
# one instead.
_READER_CHOICE_INTERVAL_S = 1.0
# Time in which a node that starts to read the store has its first reply, also
# if the store is slow.
_READ_START_S = 0.4


class ZoneFeedService(mode.Service):
    """Keeps routing, upstreams and nodes up to date with few store calls.

    See `reader_choice` for who follows whom. A node reads the store itself as
    soon as the updates that it follows are late.
    """

    def __init__(
        self,
        *,
        cfg: edge.Edge,
        source: store_source.StoreSource,
        proofs: config_proofs.ConfigProofs,
        on_routing: Callable[[routing.RoutingTable], None],
        on_upstreams: Callable[
            [tuple[upstreams.Upstream, ...], Mapping[str, float]], None
        ],
        on_nodes: Callable[[tuple[zone_feed.Node, ...] | None], None],
        on_zones: Callable[[frozenset[str]], None],
        on_store_call: Callable[[str], None] = lambda result: None,
        on_unreadable_row: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a service that is not started.

        Args:
            cfg: options of this node.
            source: the platform's store.
            proofs: receives the version in force and the store's answers.
            on_routing: called with each newer routing table.
            on_upstreams: called with all upstreams, and with the monotonic time
                at which each cold one stops being cold, when they changed.
            on_nodes: called with the listed nodes when they changed, None while
                this node is not listed.
            on_zones: called with all evacuated zones when they changed.
            on_store_call: called with the result of each store call, see
                `StoreFollower`.
            on_unreadable_row: called for each row of the store that holds no
                valid entry.
        """
        super().__init__()
        self._cfg = cfg
        self._proofs = proofs
        self._on_routing = on_routing
        self._on_upstreams = on_upstreams
        self._on_nodes = on_nodes
        self._listing = upstream_listing.UpstreamListing()
        self._table: routing.RoutingTable | None = None
        self._nodes: tuple[zone_feed.Node, ...] = ()
        self._nodes_received = asyncio.Event()
        self._started_at = time.monotonic()
        self._reader_choice = reader_choice.ReaderChoice(
            node=cfg.node, availability_zone=cfg.availability_zone
        )
        self._search = feed_search.FeedSearch(
            update_timeout_s=zone_feed_client.UPDATE_TIMEOUT_S
        )
        self._reading_since = float("-inf")
        self._search_timer: asyncio.TimerHandle | None = None
        self._client = zone_feed_client.ZoneFeedClient()
        self._store_follower = store_follower.StoreFollower(
            cfg=cfg,
            source=source,
            listing=self._listing,
            proofs=proofs,
            on_routing=self._apply_routing,
            on_zones=lambda *args: self._evacuation.apply_change(*args),
            on_upstreams=self._publish_upstreams,
            on_nodes=self._apply_listed_nodes,
            known_nodes=lambda: self._nodes,
            on_store_call=on_store_call,
            on_unreadable_row=on_unreadable_row,
        )
        self._server = zone_feed_server.ZoneFeedServer(
            listen=cfg.peers,
            initial_updates=self._initial_updates,
            state_updates=self._state_updates,
            is_current=self._is_current,
            may_become_current=self._may_become_current,
            on_pushed_nodes=self._receive_nodes,
            on_report=lambda update: self._notices.spread(update),
            freshness_reply=lambda: proofs.reply,
            zones_updates=lambda: self._evacuation.updates,
        )
        self._notices = leaving_notices.LeavingNotices(
            listing=self._listing,
            client=self._client,
            followed_node=lambda: self._followed_node,
            publish=self._server.publish,
            on_upstreams=self._pass_on_upstreams,
        )
        self._push = node_list_push.NodeListPush(
            node=cfg.node,
            client=self._client,
            nodes=lambda: self._nodes,
            on_nodes=self._apply_nodes,
        )
        self._evacuation = evacuation_service.EvacuationService(
            client=self._client,
            publish=self._server.publish,
            on_zones=on_zones,
            is_cut_off=lambda: self._store_follower.is_cut_off,
            other_nodes=lambda: tuple(
                node for node in self._nodes if node.name != cfg.node
            ),
        )
        self._followed_node: zone_feed.Node | None = None
        # Time until which this node relays the feed of the fleet's reader; see
        # `_is_current`.
        self._relays_until = float("-inf")

    @property
    def is_following(self) -> bool:
        """Whether another node of the zone reads the store for this one."""
        return (
            self._nodes_received.is_set()
            and not self._store_follower.is_reading
        )

    @property
    def followed_node(self) -> zone_feed.Node | None:
        """Node whose feed this one follows or tries to follow, or None."""
        return self._followed_node

    @property
    def nodes(self) -> tuple[zone_feed.Node, ...]:
        """Listed nodes of all zones; empty until they are known."""
        return self._nodes

    @property
    def evacuated_zones(self) -> Mapping[str, int]:
        """The evacuated zones with the store version of each at this node."""
        return self._evacuation.store_versions

    @property
    def exchanged_bytes(self) -> int:
        """Bytes of the zone feed exchanged with other nodes, with `/state`."""
        return self._server.sent_bytes + self._client.received_bytes

    def set_options(self, cfg: edge.Edge) -> None:
        """Applies changed options, except for addresses."""
        self._cfg = cfg
        self._store_follower.set_options(cfg)

    def mark_leaving(self, upstream: zone_feed.LeavingUpstream) -> bool:
        """Records that an upstream stated in a response that it is leaving.

        The other nodes learn it through the node that reads the store. Returns
        False if it was known.
        """
        return self._notices.spread(
            zone_feed.LeavingUpdate(upstreams=(upstream,))
        )

    async def on_start(self) -> None:
        """Opens the peer port and the connections to the store."""
        await self._client.start()
        await self._server.start()
        await self.add_runtime_dependency(self._evacuation)
        await self.add_runtime_dependency(self._store_follower)

    async def on_stop(self) -> None:
        """Closes the peer port and all connections."""
        self._end_search()
        self._push.close()
        self._notices.close()
        await self._server.close()
        await self._client.close()

    @mode.Service.task
    @supervision.restarted
    async def _follow(self) -> None:
        await self._wait_for_nodes()
        if not self._cfg.first_start:
            self._start_search()
        while not self.should_stop:
            feed = self._reader_choice.feed(time.monotonic())
            if feed is None:
                self._start_reading("no other node to follow")
                await asyncio.sleep(_READER_CHOICE_INTERVAL_S)
                continue
            node = feed.node
            is_relay = feed.level is reader_choice.FeedLevel.FLEET
            try:
                self._followed_node = node
                await self._client.follow(
                    feed=feed,
                    on_update=functools.partial(
                        self._apply_followed_update, is_relay
                    ),
                )
            except zone_feed_client.NotAReaderError:
                if self._search.is_active:
                    await asyncio.sleep(_SEARCH_RETRY_INTERVAL_S)
                elif not await self._wait_for_starting_reader():
                    self._reader_choice.suspect(node.name, time.monotonic())
            except zone_feed_client.FeedUnavailableError as exc:
                self._reader_choice.suspect(node.name, time.monotonic())
                log.warning(
                    "news_lost", extra={"node": node.name, "error": str(exc)}
                )
                self._start_search()
            finally:
                self._followed_node = None

    def _start_search(self) -> None:
        """Sets the time at which this node reads the store without a feed."""
        if self._store_follower.is_reading or self._search.is_active:
            return
        now = time.monotonic()
        read_at = self._search.start(now)
        self._relays_until = min(self._relays_until, read_at + _READ_START_S)
        self._search_timer = asyncio.get_running_loop().call_later(
            read_at - now, self._start_reading, "news lost"
        )

    def _end_search(self) -> None:
        self._search.stop()
        if self._search_timer is not None:
            self._search_timer.cancel()
            self._search_timer = None

    async def _wait_for_starting_reader(self) -> bool:
        """Waits before the chosen node, which refused, is tried again.

        At the start, it may not have begun to read the store yet. Returns False
        without a wait if another node is to be chosen.
        """
        uptime_s = time.monotonic() - self._started_at
        if self._table is not None or uptime_s > _STARTUP_WAIT_S:
            return False
        await asyncio.sleep(_READER_RETRY_INTERVAL_S)
        return True

    async def _wait_for_nodes(self) -> None:
        if not self._cfg.first_start:
            # Callers are already waiting. Another node replies faster than
            # the store, and many nodes may restart at the same time.
            fetch = asyncio.create_task(self._fetch_peer_state())
            await asyncio.wait([fetch], timeout=_PEER_STATE_WAIT_S)
            self._store_follower.end_list_wait()
            if self._has_state:
                self._search.record_update(time.monotonic())
            else:
                self._start_reading("restart")
            await fetch
        try:
            async with asyncio.timeout(_STARTUP_WAIT_S):
                await self._nodes_received.wait()
        except TimeoutError:
            log.warning("nodes_unknown")

    async def _fetch_peer_state(self) -> None:
        """Applies known peers' state until routing and upstreams are known.

        The state may be out of date; the next reply of the store replaces it.
        """
        fetches = [
            asyncio.create_task(self._client.fetch_state(peer))
            for peer in self._cfg.known_peers
        ]
        try:
            for fetch in asyncio.as_completed(fetches):
                try:
                    updates = await fetch
                except zone_feed_client.FeedUnavailableError as exc:
                    log.info("peer_not_asked", extra={"error": str(exc)})
                    continue
                if not self._has_state:
                    log.info(
                        "state_of_peer_taken", extra={"items": len(updates)}
                    )
                    for update in updates:
                        self._apply_update(update)
                if self._has_state and self._nodes:
                    # Peers that do not reply must not delay the search for a
                    # feed.
                    return
        finally:
            for fetch in fetches:
                fetch.cancel()
            # Otherwise asyncio logs errors that nobody has retrieved.
            await asyncio.gather(*fetches, return_exceptions=True)

    async def fetch_routing(self, peer: options.Endpoint) -> None:
        """Applies the routing table of a node if it is newer.

        For a node that should read the store but cannot reach it.
        """
        try:
            updates = await self._client.fetch_state(peer)
        except zone_feed_client.FeedUnavailableError as exc:
            log.info("peer_not_asked", extra={"error": str(exc)})
            return
        for update in updates:
            if isinstance(update, zone_feed.RoutingUpdate):
                self._apply_update(update)

    @property
    def _has_state(self) -> bool:
        return self._table is not None and self._listing.position >= 0

    def _start_reading(self, reason: str) -> None:
        self._end_search()
        if not self._store_follower.is_reading:
            self._reading_since = time.monotonic()
            log.info("store_read_by_this_node", extra={"reason": reason})
            self._store_follower.resume()

    def _is_current(self, level: reader_choice.FeedLevel) -> bool:
        """Returns whether this node may serve followers of a level.

        A relay that lost its reader is still current until its own first read
        of the store. Otherwise all its followers would read it as well.
        """
        if self._store_follower.is_current:
            return True
        return (
            level is reader_choice.FeedLevel.ZONE
            and time.monotonic() < self._relays_until
        )

    def _may_become_current(self) -> bool:
        """Returns whether this node will soon have a feed or read the store."""
        reading_s = time.monotonic() - self._reading_since
        return self._search.is_active or (
            self._store_follower.is_reading and reading_s < _READ_EXPECTED_S
        )

    def _apply_followed_update(
        self, is_relay: bool, update: zone_feed.ZoneUpdate
    ) -> None:
        self._apply_update(update)
        if not isinstance(update, zone_feed.Keepalive):
            return
        now = time.monotonic()
        self._end_search()
        self._search.record_update(now)
        if is_relay:
            self._relays_until = now + zone_feed_client.UPDATE_TIMEOUT_S

    def _apply_update(self, update: zone_feed.ZoneUpdate) -> None:
        match update:
            case zone_feed.Keepalive() if self._store_follower.is_reading:
                log.info("news_followed")
                self._store_follower.pause()
            case zone_feed.RoutingUpdate(table=table):
                self._store_follower.set_services(table)
                self._apply_routing(table)
            case zone_feed.UpstreamsUpdate(entries=entries, position=position):
                is_first = self._listing.position < 0
                changed = self._listing.apply_snapshot(
                    entries, position=position, now=time.monotonic()
                )
                if changed or is_first:
                    self._publish_upstreams()
            case zone_feed.LeavingUpdate():
                self._notices.apply(update)
            case zone_feed.NodesUpdate(nodes=nodes):
                self._apply_nodes(nodes)
            case zone_feed.ZonesUpdate():
                self._evacuation.apply_update(update)

    def _initial_updates(self) -> list[zone_feed.ZoneUpdate]:
        # The keepalive comes last, because a follower stops reading the store
        # when it receives one. A node that is current knows the upstreams.
        return [*self._state_updates(), zone_feed.Keepalive(current=True)]

    def _state_updates(self) -> list[zone_feed.ZoneUpdate]:
        updates: list[zone_feed.ZoneUpdate] = []
        if self._nodes:
            updates.append(zone_feed.NodesUpdate(nodes=self._nodes))
        # Before the routing, with which a node that starts begins to serve.
        updates.extend(self._evacuation.updates)
        if self._table is not None:
            updates.append(zone_feed.RoutingUpdate(table=self._table))
        if self._listing.position >= 0:
            updates.extend(self._upstreams_updates())
        return updates

    def _upstreams_updates(self) -> list[zone_feed.ZoneUpdate]:
        updates: list[zone_feed.ZoneUpdate] = []
        if self._listing.leaving:
            updates.append(
                zone_feed.LeavingUpdate(upstreams=self._listing.leaving)
            )
        updates.append(self._upstreams_update())
        return updates

    def _upstreams_update(self) -> zone_feed.UpstreamsUpdate:
        return zone_feed.UpstreamsUpdate(
            position=self._listing.position,
            entries=self._listing.entries_at(time.monotonic()),
        )

    def _apply_routing(self, table: routing.RoutingTable) -> None:
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        self._server.publish(zone_feed.RoutingUpdate(table=table))
        self._on_routing(table)
        self._proofs.freshness.set_version(table.version)

    def _publish_upstreams(self) -> None:
        self._server.publish(self._upstreams_update())
        self._pass_on_upstreams()

    def _pass_on_upstreams(self) -> None:
        self._on_upstreams(self._listing.upstreams, self._listing.cold_until)

    def _apply_listed_nodes(self, nodes: tuple[zone_feed.Node, ...]) -> None:
        """Applies the list in the store."""
        is_first = not self._nodes_received.is_set()
        self._apply_nodes(nodes)
        if self._cfg.first_start and is_first:
            self._push.send_to_zones(nodes)

    def _receive_nodes(self, nodes: tuple[zone_feed.Node, ...]) -> None:
        """Applies a list that another node sent at the fleet's first start."""
        uptime_s = time.monotonic() - self._started_at
        if self._cfg.first_start and uptime_s < _STARTUP_WAIT_S:
            self._push.receive(nodes)

    def _apply_nodes(self, nodes: tuple[zone_feed.Node, ...]) -> None:
        self._nodes_received.set()
        self._store_follower.end_list_wait()
        if nodes == self._nodes:
            return
        self._nodes = nodes
        self._reader_choice.set_nodes(nodes)
        self._server.publish(zone_feed.NodesUpdate(nodes=nodes))
        listed = any(node.name == self._cfg.node for node in nodes)
        self._on_nodes(nodes if listed else None)
