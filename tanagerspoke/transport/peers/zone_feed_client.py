"""HTTP client of the zone feed of another node."""

import asyncio
from collections.abc import AsyncIterator, Callable
import logging

import aiohttp

from tanagerspoke import exceptions
from tanagerspoke.coordination import reader_choice
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import zone_feed_codec
from tanagerspoke.transport.peers import zone_feed_server

log = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 0.5
# Transferring a complete state takes 0.2 s on a link of 5 Mbit/s.
_STATE_TIMEOUT_S = 1.0
_REPORT_TIMEOUT_S = 1.0
_ZONES_TIMEOUT_S = 0.5
# Time after its last update after which a node without a feed reads the store.
UPDATE_TIMEOUT_S = 2.5 * zone_feed_server.KEEPALIVE_INTERVAL_S
# Time without an update after which a node counts as unreachable. By then two
# keepalives are missing, and there is time to find another feed before the
# store is read.
_SILENCE_TIMEOUT_S = 2.1 * zone_feed_server.KEEPALIVE_INTERVAL_S


class FeedUnavailableError(exceptions.TanagerspokeError):
    """A node does not provide its state, or a zone feed that is current."""


class NotAReaderError(FeedUnavailableError):
    """A node refused a follower, because it does not read the store now."""


class ZoneFeedClient:
    """Follows the zone feed of one node at a time.

    Attributes:
        received_bytes: total size of the received frames.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self.received_bytes = 0

    async def start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None)
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def follow(
        self,
        *,
        feed: reader_choice.FollowedFeed,
        on_update: Callable[[zone_feed.ZoneUpdate], None],
    ) -> None:
        """Passes on a node's updates for as long as they are current.

        Ends only with an error.

        Raises:
            FeedUnavailableError: the node is unreachable or sends malformed
                frames, its stream ended, or it cannot read the store.
            NotAReaderError: the node refused the request, as it follows another
                node or cannot read the store.
        """
        node = feed.node
        session = self._open_session()
        url = f"http://{node.address}:{node.port}{zone_feed_codec.FEED_PATH}"
        params = {zone_feed_codec.LEVEL_PARAMETER: feed.level.value}
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                resp = await session.get(url, params=params)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise FeedUnavailableError(f"cannot connect: {exc!r}") from exc
        async with resp:
            if resp.status != 200:
                raise NotAReaderError(f"status {resp.status}")
            try:
                await self._pass_on_updates(resp, on_update)
            except TimeoutError as exc:
                raise FeedUnavailableError(
                    "no update within the time limit"
                ) from exc
            except (
                aiohttp.ClientError,
                OSError,
                exceptions.ProtocolError,
            ) as exc:
                raise FeedUnavailableError(repr(exc)) from exc
            finally:
                # The stream may not have ended, so the connection cannot be
                # reused.
                resp.close()
        raise FeedUnavailableError("the stream ended")

    async def fetch_state(
        self, peer: options.Endpoint
    ) -> list[zone_feed.ZoneUpdate]:
        """Returns a node's state, which may be out of date.

        Raises:
            FeedUnavailableError: the node gives no valid reply.
        """
        url = f"http://{peer.address}:{peer.port}{zone_feed_codec.STATE_PATH}"
        return await self._fetch(url, timeout_s=_STATE_TIMEOUT_S)

    async def fetch_zones(
        self, node: zone_feed.Node
    ) -> list[zone_feed.ZoneUpdate]:
        """Returns the evacuated zones that a node knows.

        Raises:
            FeedUnavailableError: the node gives no valid reply.
        """
        url = f"http://{node.address}:{node.port}{zone_feed_codec.ZONES_PATH}"
        return await self._fetch(url, timeout_s=_ZONES_TIMEOUT_S)

    def _open_session(self) -> aiohttp.ClientSession:
        # Tasks of the owner may still run when the client is closed.
        if self._session is None:
            raise FeedUnavailableError("the client is closed")
        return self._session

    async def _fetch(
        self, url: str, *, timeout_s: float
    ) -> list[zone_feed.ZoneUpdate]:
        session = self._open_session()
        try:
            async with (
                asyncio.timeout(timeout_s),
                session.get(url) as resp,
            ):
                return [update async for update in self._read_updates(resp)]
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            exceptions.ProtocolError,
        ) as exc:
            raise FeedUnavailableError(f"cannot fetch {url}: {exc!r}") from exc

    async def report(
        self, *, node: zone_feed.Node, update: zone_feed.LeavingUpdate
    ) -> None:
        """Tells a node what this one has learned from its calls.

        Raises:
            FeedUnavailableError: the node did not accept the report.
        """
        await self._send(node, zone_feed_codec.REPORT_PATH, update)

    async def send_nodes(
        self, *, node: zone_feed.Node, update: zone_feed.NodesUpdate
    ) -> None:
        """Sends the list of nodes to a node that starts.

        Raises:
            FeedUnavailableError: the node did not accept the list.
        """
        await self._send(node, zone_feed_codec.NODES_PATH, update)

    async def _send(
        self, node: zone_feed.Node, path: str, update: zone_feed.ZoneUpdate
    ) -> None:
        session = self._open_session()
        url = f"http://{node.address}:{node.port}{path}"
        data = zone_feed_codec.encode_update(update)
        try:
            async with (
                asyncio.timeout(_REPORT_TIMEOUT_S),
                session.post(url, data=data) as resp,
            ):
                status = resp.status
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise FeedUnavailableError(f"cannot send {path}: {exc!r}") from exc
        if status != 204:
            raise FeedUnavailableError(f"{path} refused: status {status}")

    def _read_updates(
        self, resp: aiohttp.ClientResponse
    ) -> AsyncIterator[zone_feed.ZoneUpdate]:
        return zone_feed_codec.read_updates(
            resp.content, on_bytes=self._count_bytes
        )

    def _count_bytes(self, size_bytes: int) -> None:
        self.received_bytes += size_bytes

    async def _pass_on_updates(
        self,
        resp: aiohttp.ClientResponse,
        on_update: Callable[[zone_feed.ZoneUpdate], None],
    ) -> None:
        updates = self._read_updates(resp)
        while True:
            async with asyncio.timeout(_SILENCE_TIMEOUT_S):
                try:
                    update = await anext(updates)
                except StopAsyncIteration:
                    return
            if isinstance(update, zone_feed.Keepalive) and not update.current:
                raise FeedUnavailableError("the node cannot read the store")
            on_update(update)
