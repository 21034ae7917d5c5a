"""Zone feed services of a fleet and their store in the test's event loop."""

import asyncio
import collections
from collections.abc import AsyncIterator, Iterable
import contextlib
import dataclasses
import random
import socket
import time
from typing import Any

from tanagerspoke import exceptions
from tanagerspoke.platform import store
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import options
from tanagerspoke.standins import metadata_store
from tanagerspoke.transport import suspend_clock
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import zone_feed_service
from tests import stack
from tests import tcp_link
from tests.transport import edge_stack


class _Source(store.PlatformStore):
    """A node's client of the store, which can be cut off.

    Attributes:
        listed_port: peer port in the node's row.
        is_cut_off: whether calls fail at once.
        is_killed: whether the process is gone and removes no row.
    """

    def __init__(self, *, endpoint: options.Endpoint, listed_port: int) -> None:
        super().__init__(endpoint=endpoint)
        self.listed_port = listed_port
        self.is_cut_off = False
        self.is_killed = False

    async def register_node(self, node: zone_feed.Node) -> None:
        await super().register_node(
            dataclasses.replace(node, port=self.listed_port)
        )

    async def unregister_node(self, name: str) -> None:
        if not self.is_killed:
            await super().unregister_node(name)

    async def _request(self, *args: Any, **kwargs: Any) -> bytes:
        if self.is_cut_off:
            raise exceptions.PlatformUnavailableError("cut off")
        return await super()._request(*args, **kwargs)


_issued_ports: set[int] = set()


def _port_for_restarts() -> int:
    """Returns an unused port that outgoing connections do not take.

    A node that is down would otherwise find its port in use at its restart.
    """
    while True:
        port = random.randrange(10_000, 32_000)
        if port in _issued_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            _issued_ports.add(port)
            return port


class FleetNode:
    """A node of the fleet, which can be started again.

    Attributes:
        link: the way of other nodes to a linked node; stalled for a frozen one.
        versions: times at which each routing version came into force, since
            the last start.
        service: the service since the last start.
    """

    def __init__(
        self,
        *,
        number: int,
        zone: str,
        endpoint: options.Endpoint,
        is_linked: bool,
    ) -> None:
        self._store_endpoint = endpoint
        self.cfg = edge_stack.make_cfg(
            endpoint,
            number,
            availability_zone=zone,
            drain_s=2.5,
            peers=options.Endpoint(
                address="127.0.0.1", port=_port_for_restarts()
            ),
        )
        self.link = tcp_link.TcpLink(target_port=self.cfg.peers.port)
        self._is_linked = is_linked
        self.versions: dict[int, float] = {}
        self.upstream_ids: frozenset[str] = frozenset()
        self.started_at = 0.0

    @property
    def listed(self) -> options.Endpoint:
        """Endpoint at which other nodes reach this one."""
        if not self._is_linked:
            return self.cfg.peers
        return dataclasses.replace(self.cfg.peers, port=self.link.port)

    @property
    def first_table_s(self) -> float:
        """Time from the start to the first routing table."""
        return min(self.versions.values()) - self.started_at

    async def start(
        self, *, first_start: bool, known: Iterable["FleetNode"]
    ) -> None:
        self.cfg = dataclasses.replace(
            self.cfg,
            first_start=first_start,
            known_peers=tuple(n.listed for n in known if n is not self),
        )
        self.source = _Source(
            endpoint=self._store_endpoint, listed_port=self.listed.port
        )
        self.versions = {}
        self.service = zone_feed_service.ZoneFeedService(
            cfg=self.cfg,
            source=self.source,
            proofs=config_proofs.ConfigProofs(
                bound_s=None, clock=suspend_clock.now_s
            ),
            on_routing=self._record_routing,
            on_upstreams=self._record_upstreams,
            on_nodes=lambda nodes: None,
            on_zones=lambda zones: None,
        )
        self.started_at = time.monotonic()
        await self.service.start()

    async def stop(self) -> None:
        await self.service.stop()

    async def kill(self) -> None:
        """Ends the node like SIGKILL: its row stays in the store."""
        self.source.is_killed = True
        self.link.cut()
        await self.service.stop()
        self.link.restore()

    def _record_routing(self, table: routing.RoutingTable) -> None:
        self.versions.setdefault(table.version, time.monotonic())

    def _record_upstreams(self, listed: Any, cold_until: Any) -> None:
        self.upstream_ids = frozenset(u.upstream_id for u in listed)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Nodes in zones a, b and c in turn, and their store.

    All links are equally wide, so n0 reads the store first, and n1 and n10
    are the first relays of their zones (by name).
    """

    store: metadata_store.MetadataStoreStandin
    nodes: tuple[FleetNode, ...]

    async def start(
        self,
        nodes: Iterable[FleetNode],
        *,
        first_start: bool = False,
        spread_s: float = 0.1,
    ) -> None:
        """Starts nodes at even intervals."""
        nodes = tuple(nodes)
        known = self.nodes[:3]

        async def start_one(order: int, node: FleetNode) -> None:
            await asyncio.sleep(spread_s * order / len(nodes))
            await node.start(first_start=first_start, known=known)

        await asyncio.gather(*(start_one(*pair) for pair in enumerate(nodes)))

    async def put_manifest(self, version: int) -> float:
        """Writes a manifest and returns the time."""
        await self.store.put("op", "config", edge_stack.manifest(version))
        return time.monotonic()

    async def wait_in_force(
        self, version: int, nodes: Iterable[FleetNode]
    ) -> float:
        """Returns the time at which the last node had the version."""
        nodes = tuple(nodes)

        async def is_in_force() -> bool:
            return all(version in node.versions for node in nodes)

        await stack.wait_until(is_in_force, f"version {version}")
        return max(node.versions[version] for node in nodes)

    async def remove_worker(self) -> None:
        """Removes the only worker's row."""
        await self.store.remove("servers", "w0")

    async def wait_without_workers(self, nodes: Iterable[FleetNode]) -> None:
        """Waits until no node knows the worker."""
        nodes = tuple(nodes)

        async def are_without() -> bool:
            return not any(node.upstream_ids for node in nodes)

        await stack.wait_until(are_without, "removal of the worker")

    def relay(self, zone: str) -> FleetNode:
        """Returns the node that most others of its zone follow."""
        followed = collections.Counter(
            node.service.followed_node.name
            for node in self.nodes
            if node.cfg.availability_zone == zone
            and node.service.followed_node is not None
        )
        ((name, _),) = followed.most_common(1)
        return next(node for node in self.nodes if node.cfg.node == name)

    async def wait_settled(self, nodes: Iterable[FleetNode]) -> None:
        """Waits until one of the nodes reads the store."""
        nodes = tuple(nodes)

        async def is_settled() -> bool:
            following = [n.service.is_following for n in nodes]
            return sum(following) == len(nodes) - 1

        await stack.wait_until(is_settled, "one reader")

    def calls_since(self, before: dict[str, int]) -> dict[str, int]:
        """Returns the calls by reason, without the reader's regular ones."""
        after = self.store.calls_by_reason
        return {
            reason: after[reason] - before.get(reason, 0)
            for reason in sorted(after)
            if after[reason] > before.get(reason, 0)
        }


@contextlib.asynccontextmanager
async def run(
    *, nodes: int = 24, zones: str = "abc", linked: tuple[int, ...] = ()
) -> AsyncIterator[Fleet]:
    """Yields a fleet that is not started, with a manifest and one worker.

    Only the `linked` nodes can be frozen by their `link`.
    """
    async with contextlib.AsyncExitStack() as exit_stack:
        endpoint = options.Endpoint(address="127.0.0.1", port=stack.free_port())
        standin = metadata_store.MetadataStoreStandin(listen=endpoint)
        await standin.start()
        exit_stack.push_async_callback(standin.close)
        worker = edge_stack.Worker(name="w0")
        await standin.put("servers", worker.name, worker.entry())
        await standin.put("op", "config", edge_stack.manifest(1))
        fleet = Fleet(
            store=standin,
            nodes=tuple(
                FleetNode(
                    number=n,
                    zone=zones[n % len(zones)],
                    endpoint=endpoint,
                    is_linked=n in linked,
                )
                for n in range(nodes)
            ),
        )
        for node in fleet.nodes:
            await exit_stack.enter_async_context(node.link)
        try:
            yield fleet
        finally:
            running = [n for n in fleet.nodes if hasattr(n, "service")]
            await asyncio.gather(*(node.stop() for node in running))
