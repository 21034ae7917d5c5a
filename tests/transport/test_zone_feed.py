"""Feeds between a server and its followers."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import time
from typing import Any

import aiohttp
import pytest

from tanagerspoke.coordination import reader_choice
from tanagerspoke.protocol import freshness
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import zone_feed_client
from tanagerspoke.transport.peers import zone_feed_codec
from tanagerspoke.transport.peers import zone_feed_server
from tests import stack


@contextlib.asynccontextmanager
async def _server(**changes: Any) -> AsyncIterator[reader_choice.FollowedFeed]:
    """Yields the feed of a running server that is current."""
    port = stack.free_port()
    defaults = dict(
        listen=options.Endpoint(address="127.0.0.1", port=port),
        initial_updates=lambda: [zone_feed.Keepalive(current=True)],
        state_updates=lambda: [],
        is_current=lambda level: True,
        may_become_current=lambda: False,
        on_pushed_nodes=lambda nodes: None,
        on_report=lambda update: None,
        freshness_reply=lambda: freshness.FreshnessReply(
            version=None, age_s=None
        ),
        zones_updates=lambda: [],
    )
    server = zone_feed_server.ZoneFeedServer(**defaults | changes)
    await server.start()
    node = zone_feed.Node(
        name="n0",
        availability_zone="a",
        address="127.0.0.1",
        port=port,
        link_mbps=1.0,
    )
    try:
        yield reader_choice.FollowedFeed(
            node=node, level=reader_choice.FeedLevel.ZONE
        )
    finally:
        await server.close()


async def _follow_for(
    feed: reader_choice.FollowedFeed,
    duration_s: float,
    on_update: Callable[[zone_feed.ZoneUpdate], None],
) -> None:
    client = zone_feed_client.ZoneFeedClient()
    await client.start()
    try:
        async with asyncio.timeout(duration_s):
            await client.follow(feed=feed, on_update=on_update)
    except TimeoutError:
        pass
    finally:
        await client.close()


async def test_followers_get_keepalives_at_the_same_times() -> None:
    """Guards against followers that notice a silent relay one by one.

    The first to notice would find no other relay and read the store.
    """
    received: list[list[float]] = [[], []]
    async with _server() as feed:

        async def follow(number: int) -> None:
            await asyncio.sleep(0.2 * number)
            await _follow_for(
                feed,
                1.6 - 0.2 * number,
                lambda _: received[number].append(time.monotonic()),
            )

        await asyncio.gather(follow(0), follow(1))
    # The first update of each is sent when it joins.
    first, second = received[0][1:], received[1][1:]
    assert len(second) >= 2
    for received_at in second:
        assert min(abs(received_at - other) for other in first) < 0.1


async def test_follower_waits_for_a_node_that_is_about_to_be_current() -> None:
    """Guards against refusals while the next relay looks for its feed."""
    current_from = time.monotonic() + 0.15
    received: list[zone_feed.ZoneUpdate] = []
    async with _server(
        is_current=lambda level: time.monotonic() > current_from,
        may_become_current=lambda: True,
    ) as feed:
        await _follow_for(feed, 0.5, received.append)
    assert received


async def test_wait_for_a_node_that_stays_behind_is_bounded() -> None:
    """Guards against followers that a node holds and never serves."""
    async with _server(
        is_current=lambda level: False, may_become_current=lambda: True
    ) as feed:
        started_at = time.monotonic()
        with pytest.raises(zone_feed_client.NotAReaderError):
            await _follow_for(feed, 2.0, lambda update: None)
        assert time.monotonic() - started_at < 0.5


@pytest.mark.parametrize(
    "data",
    [
        b"x",
        zone_feed_codec.encode_update(zone_feed.Keepalive(current=True)),
    ],
)
async def test_what_is_no_list_of_nodes_is_refused(data: bytes) -> None:
    """Guards against nodes that take any bytes for the list."""
    lists: list[object] = []
    async with (
        _server(on_pushed_nodes=lists.append) as feed,
        aiohttp.ClientSession() as session,
        session.post(
            f"http://127.0.0.1:{feed.node.port}{zone_feed_codec.NODES_PATH}",
            data=data,
        ) as resp,
    ):
        assert resp.status == 400
    assert lists == []


async def test_closed_client_raises_its_own_error() -> None:
    """Guards against tracebacks of tasks that outlast the client."""
    client = zone_feed_client.ZoneFeedClient()
    with pytest.raises(zone_feed_client.FeedUnavailableError):
        await client.fetch_state(options.Endpoint(address="127.0.0.1", port=1))
