"""Follows routing, upstreams and nodes in the platform's store."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import logging
import random
import time
from typing import TypeVar

import mode

from tanagerspoke import exceptions
from tanagerspoke.coordination import upstream_listing
from tanagerspoke.coordination.accounts import proof_queries
from tanagerspoke.protocol import listing as listing_types
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import zone_feed
from tanagerspoke.protocol import zones as zones_types
from tanagerspoke.settings import edge
from tanagerspoke.transport.operations import log_limit
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.store import store_health
from tanagerspoke.transport.store import store_source

log = logging.getLogger(__name__)

T = TypeVar("T")

# Duration of a long poll for routing changes, as a share of `config_apply_s`. A
# connection may stop delivering data without an error. Shorter polls detect it
# in time for the next change, but each poll costs a call to the store.
_LONG_POLL_SHARE = 0.75
# Number of reads of the list of upstreams within `drain_s`.
_UPSTREAM_READS_PER_DRAIN = 2.5
_NODES_READ_INTERVAL_S = 5.0
# Time within which all nodes register when the fleet starts for the first time.
_FLEET_REGISTRATION_S = 1.0
# Share of that time after which the first node may read the list. Each node
# takes a random time, so that one reads the list and hands it to the others.
_MIN_REGISTRATION_SHARE = 0.75
# Time after the start of reading at which the list of nodes is read. A node
# that reads only until it has found another feed does not need it.
_NODES_READ_DELAY_S = 1.0
# If a read of upstreams is overdue by more than this, the followers of this
# node read the store themselves, soon enough for changes since its last read.
_MAX_READ_DELAY_S = 0.25
_MIN_RETRY_DELAY_S = 0.1
# Longest wait between calls while the store is unreachable. Changes that are
# written within this time after its recovery may be read late.
_MAX_RETRY_DELAY_S = 0.8
_PROBLEM_LOG_LINES_PER_S = 2.0
_PROBLEM_LOG_BURST_LINES = 20
# Each table is read again after `_MAX_RETRY_DELAY_S`.
_REJECTION_LOG_LINES_PER_S = 0.1
_REJECTION_LOG_BURST_LINES = 5


class StoreFollower(mode.Service):
    """Keeps routing, upstreams and nodes up to date from the store.

    While it is paused, as at the start, updates of another node replace its
    reads. Only the registration and the first read of the nodes still happen.

    Args:
        cfg: options of this node.
        source: the platform's store.
        listing: updated with each read of upstreams; shared with the owner.
        proofs: receives each answer that proves a version to be the newest.
        on_routing: called with each table that is read, older ones included.
        on_zones: called with the position and each change of evacuated zones
            that is read.
        on_upstreams: called when the upstreams in use changed, and after the
            first read.
        on_nodes: called with each list of nodes that is read.
        known_nodes: returns the newest list that the owner has, also from other
            nodes; empty if it has none.
        on_store_call: called with the result of each call: `ok`, `failed`,
            `rejected` (the answer exceeds a bound) or `history_lost`.
        on_unreadable_row: called for each row that holds no valid entry.
    """

    def __init__(
        self,
        *,
        cfg: edge.Edge,
        source: store_source.StoreSource,
        listing: upstream_listing.UpstreamListing,
        proofs: config_proofs.ConfigProofs,
        on_routing: Callable[[routing.RoutingTable], None],
        on_zones: Callable[[int, zones_types.ZonesChange], None],
        on_upstreams: Callable[[], None],
        on_nodes: Callable[[tuple[zone_feed.Node, ...]], None],
        known_nodes: Callable[[], tuple[zone_feed.Node, ...]],
        on_store_call: Callable[[str], None],
        on_unreadable_row: Callable[[], None],
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._source = source
        self._listing = listing
        self._proofs = proofs
        self._on_routing = on_routing
        self._on_zones = on_zones
        self._on_upstreams = on_upstreams
        self._on_nodes = on_nodes
        self._known_nodes = known_nodes
        self._list_awaited = asyncio.Event()
        self._rng = random.Random()
        self._on_store_call = on_store_call
        self._on_unreadable_row = on_unreadable_row
        self._node = zone_feed.Node(
            name=cfg.node,
            availability_zone=cfg.availability_zone,
            address=cfg.peers.address,
            port=cfg.peers.port,
            link_mbps=cfg.link_mbps,
        )
        self._services: frozenset[str] | None = None
        self._health = store_health.StoreHealth(
            on_recovered=self._handle_recovery
        )
        self._reading_enabled = asyncio.Event()
        self._full_read_requested = asyncio.Event()
        self._registered = False
        self._upstreams_read_at = float("-inf")
        self._retry_delay_s = _MIN_RETRY_DELAY_S
        self._problem_log_limit = log_limit.LogLimit(
            event="unreadable_row",
            rate_per_s=_PROBLEM_LOG_LINES_PER_S,
            burst=_PROBLEM_LOG_BURST_LINES,
        )
        self._rejection_log_limit = log_limit.LogLimit(
            event="store_answer_rejected",
            rate_per_s=_REJECTION_LOG_LINES_PER_S,
            burst=_REJECTION_LOG_BURST_LINES,
        )

    @property
    def is_reading(self) -> bool:
        """Whether reading is enabled, that is, not paused."""
        return self._reading_enabled.is_set()

    @property
    def is_cut_off(self) -> bool:
        """Whether reads are enabled and the last call failed."""
        return self.is_reading and self._health.is_unreachable

    @property
    def is_current(self) -> bool:
        """Whether reads are enabled and on time and the last call succeeded."""
        age_s = time.monotonic() - self._upstreams_read_at
        return (
            self.is_reading
            and not self._health.is_unreachable
            and age_s < self._upstream_read_interval_s + _MAX_READ_DELAY_S
        )

    @property
    def _upstream_read_interval_s(self) -> float:
        return self._cfg.drain_s / _UPSTREAM_READS_PER_DRAIN

    def set_options(self, cfg: edge.Edge) -> None:
        """Applies changed options, except for the store's address."""
        self._cfg = cfg

    def end_list_wait(self) -> None:
        """Ends the wait at the start for a list of nodes from another node.

        Called when the owner has one, or when other nodes have been asked.
        """
        self._list_awaited.set()

    def resume(self) -> None:
        """Starts or resumes reading the store."""
        self._reading_enabled.set()

    def pause(self) -> None:
        """Starts no more reads; those in progress still complete."""
        self._reading_enabled.clear()

    async def on_start(self) -> None:
        """Opens the connections to the store."""
        await self._source.start()

    async def on_stop(self) -> None:
        """Removes this node from the list and closes the connections."""
        if self._registered:
            try:
                await self._source.unregister_node(self._cfg.node)
            except exceptions.PlatformError as exc:
                # A stopped node that stays listed only reduces the other nodes'
                # shares of the limits that are divided among all nodes.
                log.warning("node_not_unlisted", extra={"error": str(exc)})
        await self._source.close()

    @mode.Service.task
    @supervision.restarted
    async def _follow_routing(self) -> None:
        position: int | None = None
        newest_version: int | None = None
        while not self.should_stop:
            if not self._reading_enabled.is_set():
                position = None
                await self._reading_enabled.wait()
            if position is None:
                newest_version = None
            sent_at = self._proofs.now_s()
            change = await self._call_store(self._read_next_routing(position))
            if change is None:
                position = None
                continue
            position = change.position
            self._apply_routing_change(change)
            newest_version = _newest_version(newest_version, change)
            if newest_version is not None:
                self._proofs.record_answer(
                    version=newest_version, sent_at=sent_at
                )

    async def _read_next_routing(
        self, position: int | None
    ) -> routing.RoutingChange:
        if position is None:
            return await self._source.read_routing()
        wait_s = _LONG_POLL_SHARE * self._cfg.config_apply_s
        if self._cfg.revocation is not None:
            wait_s = min(
                wait_s,
                proof_queries.INTERVAL_SHARE * self._cfg.revocation.bound_s,
            )
        return await self._source.wait_for_routing_change(
            position=position, wait_s=wait_s
        )

    def _apply_routing_change(self, change: routing.RoutingChange) -> None:
        # First, so that a node that starts sends nothing to evacuated zones.
        if change.zones is not None:
            for problem in change.zones.problems:
                self._report_problem(problem.key, problem.problem)
            self._on_zones(change.position, change.zones)
        if change.problem is not None:
            self._report_problem("routing", change.problem)
        if change.table is not None:
            self.set_services(change.table)
            self._on_routing(change.table)

    def _report_problem(self, key: str, problem: str) -> None:
        self._on_unreadable_row()
        if self._problem_log_limit.try_acquire(key):
            log.warning(
                "unreadable_row", extra={"key": key, "problem": problem}
            )

    def set_services(self, table: routing.RoutingTable) -> None:
        """Sets the services that entries of the list of upstreams may have."""
        services = frozenset(table.services)
        if self._services is not None and services != self._services:
            # Entries of services that were unknown may have become valid.
            # While no services are known, all entries are.
            self._full_read_requested.set()
        self._services = services

    @mode.Service.task
    @supervision.restarted
    async def _follow_upstreams(self) -> None:
        position: int | None = None
        while not self.should_stop:
            if not self._reading_enabled.is_set():
                position = None
                await self._reading_enabled.wait()
            await self._health.wait_until_reachable()
            if self._full_read_requested.is_set():
                self._full_read_requested.clear()
                position = None
            changes = await self._call_store(
                self._read_next_upstreams(position)
            )
            if changes is None:
                position = None
                continue
            position = changes.position
            self._apply_upstream_changes(changes)
            await self._wait_for_next_read(self._upstream_read_interval_s)

    async def _read_next_upstreams(
        self, position: int | None
    ) -> listing_types.ListChanges:
        if position is None:
            return await self._source.read_upstreams(services=self._services)
        return await self._source.read_upstream_changes(
            position=position, services=self._services
        )

    def _apply_upstream_changes(
        self, changes: listing_types.ListChanges
    ) -> None:
        for change in changes.changes:
            if change.problem is not None:
                self._report_problem(change.upstream_id, change.problem)
        now = time.monotonic()
        is_first_read = self._upstreams_read_at == float("-inf")
        self._upstreams_read_at = now
        changed = self._listing.apply_changes(changes, now)
        if self._listing.next_wakeup is not None:
            log.info("entries_held", extra={"count": self._listing.held_count})
        if self._listing.expire(now) or changed or is_first_read:
            self._on_upstreams()

    async def _wait_for_next_read(self, interval_s: float) -> None:
        """Waits until the next read is due or a full read is requested.

        If a held entry expires earlier, it is removed and the wait ends.
        """
        wakeup_at = self._listing.next_wakeup
        if wakeup_at is not None:
            interval_s = min(interval_s, max(0.0, wakeup_at - time.monotonic()))
        try:
            async with asyncio.timeout(interval_s):
                await self._full_read_requested.wait()
        except TimeoutError:
            if self._listing.expire(time.monotonic()):
                self._on_upstreams()

    @mode.Service.task
    @supervision.restarted
    async def _follow_nodes(self) -> None:
        if self._cfg.first_start:
            await self._register()
            # All nodes start at about the same time; after this wait, one read
            # returns them all.
            wait_s = _FLEET_REGISTRATION_S * self._rng.uniform(
                _MIN_REGISTRATION_SHARE, 1.0
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._list_awaited.wait()
            if self._known_nodes():
                await self._wait_for_nodes_read()
        else:
            await self._list_awaited.wait()
            if self._known_nodes():
                # The list may hold a row that this node's planned stop removed.
                await self._register()
                self._add_own_node()
                await self._wait_for_nodes_read()
        while not self.should_stop:
            listed = await self._call_store(self._source.read_nodes())
            if listed is not None:
                for problem in listed.problems:
                    self._report_problem(problem.key, problem.problem)
                nodes = listed.nodes
                # The row of a node that was killed is still there when the
                # node starts again.
                self._registered = self._registered or self._node in nodes
                self._on_nodes(nodes)
                if not self._registered:
                    await self._register()
                    self._add_own_node()
                await asyncio.sleep(_NODES_READ_INTERVAL_S)
            await self._wait_for_nodes_read()

    async def _wait_for_nodes_read(self) -> None:
        """Waits until this node reads the store, and has for some time."""
        while True:
            if not self._reading_enabled.is_set():
                await self._reading_enabled.wait()
                await asyncio.sleep(_NODES_READ_DELAY_S)
            await self._health.wait_until_reachable()
            if self._reading_enabled.is_set():
                return

    async def _register(self) -> None:
        while not self._registered:
            await self._call_store(self._register_node())

    def _add_own_node(self) -> None:
        nodes = self._known_nodes()
        if self._node not in nodes:
            self._on_nodes((*_without(nodes, self._node.name), self._node))

    async def _register_node(self) -> None:
        await self._source.register_node(self._node)
        self._registered = True

    async def _call_store(self, call: Awaitable[T]) -> T | None:
        """Returns the reply of a call, or None if it failed.

        After a failure it waits before it returns, so that the caller may retry
        at once. It does not wait if the store has lost the history.
        """
        try:
            reply = await call
        except exceptions.HistoryLostError:
            self._health.record_reply()
            self._on_store_call("history_lost")
            log.info("store_history_lost")
            return None
        except exceptions.AnswerRejectedError as exc:
            # The store can be reached, so reads of its other tables go on.
            self._health.record_reply()
            self._on_store_call("rejected")
            if self._rejection_log_limit.try_acquire("store"):
                log.warning("store_answer_rejected", extra={"error": str(exc)})
            await asyncio.sleep(_MAX_RETRY_DELAY_S)
            return None
        except exceptions.PlatformError as exc:
            self._health.record_failure(exc)
            self._on_store_call("failed")
            await asyncio.sleep(self._retry_delay_s)
            self._retry_delay_s = min(
                _MAX_RETRY_DELAY_S, 2.0 * self._retry_delay_s
            )
            return None
        self._retry_delay_s = _MIN_RETRY_DELAY_S
        self._health.record_reply()
        self._on_store_call("ok")
        return reply

    def _handle_recovery(self) -> None:
        self._listing.record_store_recovery()
        self._full_read_requested.set()


def _newest_version(
    before: int | None, change: routing.RoutingChange
) -> int | None:
    """Returns the version that is the newest of the store, None if unknown.

    It is unknown while the newest table cannot be read.

    Args:
        before: newest version before the change.
        change: answer of the store.
    """
    if change.problem is not None:
        return None
    return before if change.table is None else change.table.version


def _without(
    nodes: tuple[zone_feed.Node, ...], name: str
) -> tuple[zone_feed.Node, ...]:
    return tuple(node for node in nodes if node.name != name)
