"""Proofs from answers of the store and from queries to other nodes."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import time

import pytest

from tanagerspoke import exceptions
from tanagerspoke.coordination import upstream_listing
from tanagerspoke.coordination.accounts import proof_queries
from tanagerspoke.protocol import freshness
from tanagerspoke.protocol import listing
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import edge
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import freshness_queries
from tanagerspoke.transport.peers import zone_feed_server
from tanagerspoke.transport.store import store_follower
from tanagerspoke.transport.store import store_source
from tests import stack
from tests import tcp_link
from tests.transport import edge_stack

_BOUND_S = 2.0


def _cfg(**changes: object) -> edge.Edge:
    return edge_stack.make_cfg(
        options.Endpoint(address="127.0.0.1", port=stack.free_port()),
        0,
        **{"revocation": edge.Revocation(bound_s=_BOUND_S)} | changes,
    )


def _table(version: int) -> routing.RoutingTable:
    return routing.RoutingTable(
        version=version, routes=(), services={}, limits=None
    )


class _Source(store_source.StoreSource):
    """A store with scripted answers about the routing.

    Attributes:
        waits_s: requested durations of the long polls.
    """

    def __init__(self, *, answers: list[routing.RoutingChange | None]) -> None:
        self.waits_s: list[float] = []
        self._answers = answers

    async def read_routing(self) -> routing.RoutingChange:
        await asyncio.sleep(0.01)
        if not self._answers:
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if answer is None:
            raise exceptions.PlatformUnavailableError("scripted")
        return answer

    async def wait_for_routing_change(
        self, *, position: int, wait_s: float
    ) -> routing.RoutingChange:
        self.waits_s.append(wait_s)
        return await self.read_routing()

    async def read_upstreams(self, **kwargs: object) -> listing.ListChanges:
        return listing.ListChanges(position=1, changes=(), complete=True)

    async def read_upstream_changes(
        self, **kwargs: object
    ) -> listing.ListChanges:
        return listing.ListChanges(position=1, changes=(), complete=False)

    async def read_nodes(self) -> zone_feed.NodeList:
        return zone_feed.NodeList(nodes=())


class _RecordingProofs(config_proofs.ConfigProofs):
    """Records the answers of the store; its clock counts the reads of it."""

    def __init__(self) -> None:
        self._reads = 0
        super().__init__(bound_s=None, clock=self._next_time)
        self.answers: list[tuple[int, float]] = []

    def _next_time(self) -> float:
        self._reads += 1
        return self._reads

    def record_answer(self, *, version: int, sent_at: float) -> None:
        self.answers.append((version, sent_at))


async def _follow(
    cfg: edge.Edge, answers: list[routing.RoutingChange | None]
) -> tuple[_RecordingProofs, _Source]:
    proofs = _RecordingProofs()
    source = _Source(answers=list(answers))
    follower = store_follower.StoreFollower(
        cfg=cfg,
        source=source,
        listing=upstream_listing.UpstreamListing(),
        proofs=proofs,
        on_routing=lambda table: None,
        on_zones=lambda position, change: None,
        on_upstreams=lambda: None,
        known_nodes=lambda: (),
        on_nodes=lambda nodes: None,
        on_store_call=lambda result: None,
        on_unreadable_row=lambda: None,
    )
    follower.resume()
    await follower.start()
    try:
        await asyncio.sleep(0.4)
    finally:
        await follower.stop()
    return proofs, source


async def test_answers_prove_the_version_at_the_time_of_sending() -> None:
    """Guards against proofs from failed reads and of unreadable tables.

    Each request takes the next time before it is sent.
    """
    change = routing.RoutingChange
    proofs, _ = await _follow(
        _cfg(),
        [
            change(position=1, table=_table(5)),  # sent at 1
            change(position=1),
            change(position=2, problem="malformed"),  # sent at 3
            change(position=2),
            change(position=3, table=_table(6)),  # sent at 5
            None,
            change(position=3),  # a read without any table, sent at 7
            change(position=4, table=_table(7)),
        ],
    )
    assert proofs.answers == [(5, 1), (5, 2), (6, 5), (7, 8)]


@pytest.mark.parametrize(
    ("changes", "expected_s"),
    [({}, 0.2 * _BOUND_S), ({"revocation": None}, 1.5)],
)
async def test_long_polls_are_short_with_a_bound_only(
    changes: dict[str, object], expected_s: float
) -> None:
    """Guards against old proofs, and more store calls where none is needed."""
    _, source = await _follow(
        _cfg(**changes), [routing.RoutingChange(position=1)] * 2
    )
    assert set(source.waits_s) == {expected_s}


@contextlib.asynccontextmanager
async def _node(
    reply: freshness.FreshnessReply,
) -> AsyncIterator[tuple[zone_feed.Node, tcp_link.TcpLink, list[float]]]:
    """Yields a node with this reply, its link and the times of queries."""
    port = stack.free_port()
    queried_at: list[float] = []

    def reply_now() -> freshness.FreshnessReply:
        queried_at.append(time.monotonic())
        return reply

    server = zone_feed_server.ZoneFeedServer(
        listen=options.Endpoint(address="127.0.0.1", port=port),
        initial_updates=lambda: [],
        state_updates=lambda: [],
        is_current=lambda level: False,
        may_become_current=lambda: False,
        on_pushed_nodes=lambda nodes: None,
        on_report=lambda update: None,
        freshness_reply=reply_now,
        zones_updates=lambda: [],
    )
    await server.start()
    try:
        async with tcp_link.TcpLink(target_port=port) as link:
            node = zone_feed.Node(
                name=f"p{port}",
                availability_zone="b",
                address="127.0.0.1",
                port=link.port,
                link_mbps=1.0,
            )
            yield node, link, queried_at
    finally:
        await server.close()


@contextlib.asynccontextmanager
async def _querying(
    followed: zone_feed.Node | None, *others: zone_feed.Node, **changes: object
) -> AsyncIterator[config_proofs.ConfigProofs]:
    proofs = config_proofs.ConfigProofs(bound_s=_BOUND_S, clock=time.monotonic)
    proofs.freshness.set_version(3)

    async def fetch_newer(peer: options.Endpoint) -> None:
        raise AssertionError(f"a follower gets the table from its feed: {peer}")

    service = freshness_queries.FreshnessQueries(
        cfg=_cfg(**changes),
        proofs=proofs,
        has_accounts=lambda: True,
        followed_node=lambda: followed,
        nodes=lambda: others,
        fetch_newer=fetch_newer,
    )
    await service.start()
    try:
        yield proofs
    finally:
        await service.stop()


async def _wait_for(condition: Callable[[], bool]) -> None:
    async def holds() -> bool:
        return condition()

    await edge_stack.wait_for(holds)


async def _max_age_s(
    proofs: config_proofs.ConfigProofs, duration_s: float
) -> float:
    end = time.monotonic() + duration_s
    ages_s = []
    while time.monotonic() < end:
        await asyncio.sleep(0.02)
        ages_s.append(proofs.age_s)
    return max(ages_s)


async def test_stalled_node_does_not_delay_the_proofs_of_others() -> None:
    """Guards against a query that waits behind one on a stalled connection."""
    reply = freshness.FreshnessReply(version=3, age_s=0.1)
    async with (
        _node(reply) as (followed, link, followed_queries),
        _node(reply) as (other, _, other_queries),
        _querying(followed, other) as proofs,
    ):
        await _wait_for(lambda: proofs.age_s is not None)
        assert await _max_age_s(proofs, 1.0) < 0.6 * _BOUND_S
        assert not other_queries
        link.stall()
        assert await _max_age_s(proofs, 2 * _BOUND_S) < _BOUND_S - 0.4
        assert other_queries
        link.restore()
        count = len(followed_queries)
        await _wait_for(lambda: len(followed_queries) > count)


@pytest.mark.parametrize(
    "reply",
    [
        freshness.FreshnessReply(version=3, age_s=None),
        freshness.FreshnessReply(version=4, age_s=0.0),
        freshness.FreshnessReply(version=3, age_s=_BOUND_S),
    ],
)
async def test_others_are_asked_if_the_followed_node_has_no_proof(
    reply: freshness.FreshnessReply,
) -> None:
    """Guards against refusals because of one node without a recent proof."""
    good = freshness.FreshnessReply(version=2, age_s=0.0)
    async with (
        _node(reply) as (followed, _, _),
        _node(good) as (other, _, other_queries),
        _querying(followed, other) as proofs,
    ):
        await _wait_for(lambda: proofs.freshness.is_confirmed(proofs.now_s()))
        assert other_queries


async def test_starting_node_asks_all_its_known_peers_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restart that waits while most known peers are down.

    A second round of queries does not take place within the time limit.
    """
    monkeypatch.setattr(proof_queries, "_RETRY_INTERVAL_S", 2 * stack.WAIT_S)
    reply = freshness.FreshnessReply(version=3, age_s=0.0)
    async with _node(reply) as (live, _, _):
        ports = [stack.free_port() for _ in range(30)]
        peers = tuple(
            options.Endpoint(address="127.0.0.1", port=port)
            for port in (*ports, live.port)
        )
        async with _querying(None, known_peers=peers) as proofs:
            await _wait_for(lambda: proofs.age_s is not None)


async def test_no_query_without_a_bound() -> None:
    """Guards against traffic in deployments that ask for no bound."""
    reply = freshness.FreshnessReply(version=3, age_s=0.0)
    async with (
        _node(reply) as (followed, _, queries),
        _querying(followed, revocation=None),
    ):
        await asyncio.sleep(0.5)
        assert not queries
