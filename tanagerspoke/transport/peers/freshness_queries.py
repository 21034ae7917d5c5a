"""Asks other nodes how recent the configuration is."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import random

import aiohttp
import mode
import msgspec

from tanagerspoke.coordination import budget
from tanagerspoke.coordination.accounts import proof_queries
from tanagerspoke.protocol import freshness as freshness_messages
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import edge
from tanagerspoke.settings import options
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import config_proofs
from tanagerspoke.transport.peers import zone_feed_codec

log = logging.getLogger(__name__)

# A reply has 50 bytes and takes no work, so a node without one in this time is
# overloaded or out of reach. Another one is asked well before the bound.
_REPLY_TIMEOUT_S = 0.3
# Longer than the interval of the queries, so that connections are reused.
_KEEPALIVE_TIMEOUT_S = 30.0
_MAX_REPLY_BYTES = 1024


class FreshnessQueries(mode.Service):
    """Keeps the freshness proof recent while calls depend on it.

    A node that follows another one asks that node; see `ProofQueries` for the
    others. Each query has its own time-out and, if no connection is idle, its
    own connection, so that none waits for another one.

    Attributes:
        exchanged_bytes: bytes of the queries and replies, headers included.
    """

    def __init__(
        self,
        *,
        cfg: edge.Edge,
        proofs: config_proofs.ConfigProofs,
        has_accounts: Callable[[], bool],
        followed_node: Callable[[], zone_feed.Node | None],
        nodes: Callable[[], tuple[zone_feed.Node, ...]],
        fetch_newer: Callable[[options.Endpoint], Awaitable[None]],
    ) -> None:
        """Creates a service that is not started.

        Args:
            cfg: options of this node.
            proofs: receives the replies.
            has_accounts: returns whether any calls need a proof.
            followed_node: returns the node that this one follows, or None.
            nodes: returns the listed nodes, this one included.
            fetch_newer: gets the newer configuration of a node; called while
                this one follows none and so would not receive it otherwise.
        """
        super().__init__()
        self._cfg = cfg
        self._proofs = proofs
        self._has_accounts = has_accounts
        self._followed_node = followed_node
        self._nodes = nodes
        self._fetch_newer = fetch_newer
        self._queries = proof_queries.ProofQueries(
            config_freshness=proofs.freshness, rng=random.Random()
        )
        self._session: aiohttp.ClientSession | None = None
        self._changed = asyncio.Event()
        self.exchanged_bytes = 0

    def set_options(self, cfg: edge.Edge) -> None:
        """Applies changed options, except for addresses."""
        self._cfg = cfg
        self._changed.set()

    def notify_accounts(self) -> None:
        """Asks at once if the accounts of a new configuration need it."""
        if self._is_needed:
            self._changed.set()

    async def on_start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                keepalive_timeout=_KEEPALIVE_TIMEOUT_S
            )
        )

    async def on_stop(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    @property
    def _is_needed(self) -> bool:
        return self._cfg.revocation is not None and self._has_accounts()

    @mode.Service.task
    @supervision.restarted
    async def _keep_recent(self) -> None:
        while not self.should_stop:
            if not self._is_needed:
                await self._wait(None)
                continue
            await self._renew_proof()
            self._proofs.log_changes()
            if self._is_needed:
                await self._wait(
                    self._queries.next_delay_s(self._proofs.now_s())
                )

    async def _wait(self, delay_s: float | None) -> None:
        """Waits for a time, or for a change of options or accounts."""
        try:
            async with asyncio.timeout(delay_s):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()

    async def _renew_proof(self) -> None:
        followed = self._followed_node()
        asked = [] if followed is None else [_endpoint(followed)]
        if self._proofs.age_s is None and not self._cfg.first_start:
            # Callers are already waiting for a node that restarted.
            asked += self._cfg.known_peers
        await self._ask_all(asked)
        if self._queries.needs_others(self._proofs.now_s()):
            others = self._other_endpoints(asked)
            await self._ask_all(self._queries.choose_others(others))

    def _other_endpoints(
        self, asked: list[options.Endpoint]
    ) -> list[options.Endpoint]:
        listed = [
            _endpoint(node)
            for node in self._nodes()
            if node.name != self._cfg.node
        ]
        known = dict.fromkeys((*listed, *self._cfg.known_peers))
        return [peer for peer in known if peer not in asked]

    async def _ask_all(self, peers: list[options.Endpoint]) -> None:
        if self._session.closed:
            return
        await asyncio.gather(*(self._ask(peer) for peer in peers))

    async def _ask(self, peer: options.Endpoint) -> None:
        sent_at = self._proofs.now_s()
        reply = await self._fetch(peer)
        if reply is None:
            return
        source = self._name(peer)
        if self._proofs.record_reply(reply, sent_at=sent_at, source=source):
            return
        own_version = self._proofs.freshness.version
        if (
            reply.age_s is not None
            and reply.version is not None
            and (own_version is None or reply.version > own_version)
            and self._followed_node() is None
        ):
            await self._fetch_newer(peer)
            self._proofs.record_reply(reply, sent_at=sent_at, source=source)

    def _name(self, peer: options.Endpoint) -> str:
        """Returns a node's name, or its address if it is not listed."""
        for node in self._nodes():
            if _endpoint(node) == peer:
                return node.name
        return f"{peer.address}:{peer.port}"

    async def _fetch(
        self, peer: options.Endpoint
    ) -> freshness_messages.FreshnessReply | None:
        """Returns a node's reply, or None if it gives no valid one in time."""
        url = (
            f"http://{peer.address}:{peer.port}{zone_feed_codec.FRESHNESS_PATH}"
        )
        self.exchanged_bytes += budget.HTTP_OVERHEAD_BYTES
        try:
            async with (
                asyncio.timeout(_REPLY_TIMEOUT_S),
                self._session.get(url) as resp,
            ):
                length = resp.content_length
                if length is None or length > _MAX_REPLY_BYTES:
                    return None
                data = await resp.read()
                self.exchanged_bytes += len(data)
                return freshness_messages.decode(data)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
            UnicodeDecodeError,
        ) as exc:
            log.debug(
                "freshness_not_received",
                extra={"peer": peer.address, "error": repr(exc)},
            )
            return None


def _endpoint(node: zone_feed.Node) -> options.Endpoint:
    return options.Endpoint(address=node.address, port=node.port)
