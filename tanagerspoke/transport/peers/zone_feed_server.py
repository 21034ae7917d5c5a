"""HTTP server of the zone feed, which other nodes follow."""

import asyncio
from collections.abc import Callable
import logging
import time

from aiohttp import web

from tanagerspoke import exceptions
from tanagerspoke.coordination import reader_choice
from tanagerspoke.protocol import freshness
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import options
from tanagerspoke.transport.peers import zone_feed_codec

log = logging.getLogger(__name__)

# Short enough that a follower detects an unresponsive node well within the time
# that a configuration change or a drain may take.
KEEPALIVE_INTERVAL_S = 0.4
# Longest wait for a node that is about to read the store or to relay a feed.
# Followers give up after 0.5 s, those of earlier versions as well.
_CURRENT_WAIT_S = 0.3
_CURRENT_CHECK_INTERVAL_S = 0.02
# A follower with this many frames in its queue is disconnected.
_MAX_QUEUED_FRAMES = 64


class ZoneFeedServer:
    """Streams the whole state, then its changes, to each follower.

    A node serves the level that `reader_choice.FeedLevel` allows it, and only
    while its own state is current.

    Attributes:
        sent_bytes: total size of the sent frames.
    """

    def __init__(
        self,
        *,
        listen: options.Endpoint,
        initial_updates: Callable[[], list[zone_feed.ZoneUpdate]],
        state_updates: Callable[[], list[zone_feed.ZoneUpdate]],
        is_current: Callable[[reader_choice.FeedLevel], bool],
        may_become_current: Callable[[], bool],
        on_report: Callable[[zone_feed.LeavingUpdate], object],
        on_pushed_nodes: Callable[[tuple[zone_feed.Node, ...]], None],
        freshness_reply: Callable[[], freshness.FreshnessReply],
        zones_updates: Callable[[], list[zone_feed.ZoneUpdate]],
    ) -> None:
        """Creates a server that is not started.

        Args:
            listen: endpoint on which the other nodes of the zone reach this
                one.
            initial_updates: returns the whole state for a new follower; called
                only while `is_current`.
            state_updates: returns this node's state, which may be out of date.
            is_current: returns whether this node may serve a level now, and
                its state is as recent as the store's replies.
            may_become_current: returns whether this node looks for a feed or
                has just begun to read the store, so that a follower that waits
                may be served soon.
            on_report: called with what a follower has learned from its calls.
            on_pushed_nodes: called with a list of nodes that another node sent.
            freshness_reply: returns the reply to a query for freshness, also
                while this node is not current.
            zones_updates: returns the evacuated zones that this node knows.
        """
        self._listen = listen
        self._initial_updates = initial_updates
        self._state_updates = state_updates
        self._is_current = is_current
        self._may_become_current = may_become_current
        self._on_report = on_report
        self._on_pushed_nodes = on_pushed_nodes
        self._freshness_reply = freshness_reply
        self._zones_updates = zones_updates
        self._follower_queues: set[asyncio.Queue[bytes]] = set()
        self._stream_tasks: set[asyncio.Task[None]] = set()
        self._runner: web.AppRunner | None = None
        self.sent_bytes = 0

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application(client_max_size=zone_feed_codec.MAX_REPORT_BYTES)
        app.router.add_get(zone_feed_codec.FEED_PATH, self._serve_feed)
        app.router.add_get(zone_feed_codec.STATE_PATH, self._serve_state)
        app.router.add_get(
            zone_feed_codec.FRESHNESS_PATH, self._serve_freshness
        )
        app.router.add_get(zone_feed_codec.ZONES_PATH, self._serve_zones)
        app.router.add_post(zone_feed_codec.REPORT_PATH, self._serve_report)
        app.router.add_post(zone_feed_codec.NODES_PATH, self._serve_nodes)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self._listen.address, self._listen.port
        ).start()

    async def close(self) -> None:
        """Closes the port and disconnects the followers.

        Streams are cancelled first, because they do not end by themselves and
        the runner would wait for them.
        """
        for task in list(self._stream_tasks):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def publish(self, update: zone_feed.ZoneUpdate) -> None:
        """Sends an update to all followers."""
        if not self._follower_queues:
            return
        frame = zone_feed_codec.encode_frame(update)
        for queue in self._follower_queues:
            if queue.qsize() < _MAX_QUEUED_FRAMES:
                queue.put_nowait(frame)

    async def _serve_feed(self, req: web.Request) -> web.StreamResponse:
        level = _requested_level(req)
        if not await self._wait_until_current(level):
            return web.Response(status=409, text="not a current reader\n")
        resp = web.StreamResponse()
        await resp.prepare(req)
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        for update in self._initial_updates():
            queue.put_nowait(zone_feed_codec.encode_frame(update))
        self._follower_queues.add(queue)
        task = asyncio.current_task()
        self._stream_tasks.add(task)
        log.info(
            "follower_joined", extra={"followers": len(self._follower_queues)}
        )
        try:
            is_current = True
            while is_current and queue.qsize() < _MAX_QUEUED_FRAMES:
                is_current = self._is_current(level)
                frame = await self._next_frame(queue, level)
                await resp.write(frame)
                self.sent_bytes += len(frame)
        except ConnectionError as exc:
            log.debug("follower_lost", extra={"error": repr(exc)})
        finally:
            self._stream_tasks.discard(task)
            self._follower_queues.discard(queue)
            log.info(
                "follower_left", extra={"followers": len(self._follower_queues)}
            )
        return resp

    async def _wait_until_current(self, level: reader_choice.FeedLevel) -> bool:
        """Waits while this node may become current; returns whether it is.

        Followers that lost the same node as this one ask before it has a feed.
        A refusal would make them ask many times or read the store.
        """
        deadline = time.monotonic() + _CURRENT_WAIT_S
        task = asyncio.current_task()
        self._stream_tasks.add(task)
        try:
            while not self._is_current(level):
                if (
                    not self._may_become_current()
                    or time.monotonic() >= deadline
                ):
                    return False
                await asyncio.sleep(_CURRENT_CHECK_INTERVAL_S)
            return True
        finally:
            self._stream_tasks.discard(task)

    async def _serve_state(self, req: web.Request) -> web.Response:
        del req
        return self._complete_response(self._state_updates())

    async def _serve_zones(self, req: web.Request) -> web.Response:
        del req
        return self._complete_response(self._zones_updates())

    def _complete_response(
        self, updates: list[zone_feed.ZoneUpdate]
    ) -> web.Response:
        body = b"".join(map(zone_feed_codec.encode_frame, updates))
        self.sent_bytes += len(body)
        return web.Response(body=body)

    async def _serve_freshness(self, req: web.Request) -> web.Response:
        del req
        body = freshness.encode(self._freshness_reply())
        self.sent_bytes += len(body)
        return web.Response(body=body, content_type="application/json")

    async def _serve_report(self, req: web.Request) -> web.Response:
        update = await _read_update(req)
        if not isinstance(update, zone_feed.LeavingUpdate):
            return web.Response(status=400, text="not a report\n")
        self._on_report(update)
        return web.Response(status=204)

    async def _serve_nodes(self, req: web.Request) -> web.Response:
        update = await _read_update(req)
        if not isinstance(update, zone_feed.NodesUpdate):
            return web.Response(status=400, text="not a list of nodes\n")
        self._on_pushed_nodes(update.nodes)
        return web.Response(status=204)

    async def _next_frame(
        self, queue: asyncio.Queue[bytes], level: reader_choice.FeedLevel
    ) -> bytes:
        # All followers get keepalives at the same times. So they notice
        # together that this node is silent, and the next relay is ready when
        # the others ask it.
        now = asyncio.get_running_loop().time()
        wait_s = KEEPALIVE_INTERVAL_S - now % KEEPALIVE_INTERVAL_S
        try:
            async with asyncio.timeout(wait_s):
                return await queue.get()
        except TimeoutError:
            return zone_feed_codec.encode_frame(
                zone_feed.Keepalive(current=self._is_current(level))
            )


async def _read_update(req: web.Request) -> zone_feed.ZoneUpdate:
    """Returns the update in a request's body.

    Raises:
        HTTPBadRequest: the body holds none.
    """
    try:
        return zone_feed_codec.decode_update(await req.read())
    except exceptions.ProtocolError as exc:
        raise web.HTTPBadRequest(text=f"{exc}\n") from exc


def _requested_level(req: web.Request) -> reader_choice.FeedLevel:
    level = req.query.get(zone_feed_codec.LEVEL_PARAMETER)
    if level == reader_choice.FeedLevel.FLEET:
        return reader_choice.FeedLevel.FLEET
    return reader_choice.FeedLevel.ZONE
