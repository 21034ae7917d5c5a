"""Performs the I/O of the agent's configuration follower."""

import asyncio
from collections.abc import Callable
import logging
import time
from typing import TypeVar

import mode

from tanagerspoke import exceptions
from tanagerspoke.coordination import budget
from tanagerspoke.coordination import configuration
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import codec
from tanagerspoke.protocol import peer
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import randomness
from tanagerspoke.state import revisions
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.peers import grpc_peer
from tanagerspoke.transport.store import control_meter
from tanagerspoke.transport.store import metered_platform

T = TypeVar("T")

log = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.1
_LOG_PAGE_ROWS = 16
_ITEM_PAGE_ROWS = 16

# Expected size of a peer's snapshot, which is unknown before the reply.
_SNAPSHOT_ESTIMATE_BYTES = 1500


class ConfigService(mode.Service):
    """Performs the reads that the follower requests, one at a time.

    Args:
        poll_interval_s: mean time between polls of the head row.
        platform: table with the configuration.
        meter: control budget.
        peer_client: client of the other agents.
        peer_target: returns `address:port` of a host's agent, None if unknown.
        on_install: called with each update that has become active.
        rng: for the jitter and the choice of peers.

    Attributes:
        follower: state machine that holds the active configuration.
    """

    def __init__(
        self,
        *,
        poll_interval_s: float,
        platform: metered_platform.MeteredPlatform,
        meter: control_meter.ControlMeter,
        peer_client: grpc_peer.PeerClient,
        peer_target: Callable[[str], str | None],
        on_install: Callable[[agent.ConfigUpdate], None],
        rng: randomness.Random,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._meter = meter
        self._peer_client = peer_client
        self._peer_target = peer_target
        self._on_install = on_install
        self.follower = configuration.ConfigurationFollower(
            poll_interval_s=max(poll_interval_s, budget.MIN_POLL_INTERVAL_S),
            rng=rng,
            now=time.monotonic(),
        )

    def record_peer_revision(self, *, host: str, revision: int) -> None:
        """Records the active revision of a peer."""
        self._handle(configuration.PeerHint(host=host, revision=revision))

    @mode.Service.task
    @supervision.restarted
    async def _follow(self) -> None:
        while not self.should_stop:
            read = self._handle(configuration.Tick())
            while read is not None:
                read = self._handle(await self._execute_read(read))
            await asyncio.sleep(_TICK_INTERVAL_S)

    def _handle(self, event: configuration.Event) -> configuration.Read | None:
        """Performs the resulting actions; returns the read among them."""
        read = None
        actions = self.follower.handle(event=event, now=time.monotonic())
        for action in actions:
            match action:
                case configuration.Install(update=update):
                    log.info(
                        "config_in_force",
                        extra={"revision": update.revision},
                    )
                    self._on_install(update)
                case configuration.ReportProblem(problem=problem):
                    log.error("config_refused", extra={"error": problem})
                case _:
                    read = action
        return read

    async def _execute_read(
        self, read: configuration.Read
    ) -> configuration.Event:
        try:
            match read:
                case configuration.ReadHead():
                    return await self._read_head()
                case configuration.ReadLog(after_revision=revision):
                    return await self._read_log(revision)
                case configuration.ReadItems(after_key=after_key):
                    return await self._read_items(after_key)
                case configuration.FetchPeerSnapshot():
                    return await self._fetch_peer_snapshot(read)
        except metered_platform.DeferredError:
            return configuration.Deferred()
        except exceptions.PlatformError as exc:
            log.warning("platform_unavailable", extra={"error": str(exc)})
        except exceptions.ProtocolError as exc:
            log.error("config_row_malformed", extra={"error": str(exc)})
        return configuration.ReadFailed()

    async def _read_head(self) -> configuration.Event:
        row = await self._platform.get(
            revisions.HEAD_KEY, kind=budget.Kind.HEAD
        )
        head = None if row is None else revisions.decode_head(row.value)
        return configuration.HeadRead(head=head)

    async def _read_log(self, after_revision: int) -> configuration.Event:
        reply = await self._platform.scan(
            prefix=revisions.LOG_PREFIX,
            after=revisions.log_key(after_revision),
            limit=_LOG_PAGE_ROWS,
            kind=budget.Kind.CONFIG,
        )
        changes = []
        for row in reply.rows:
            change = _decode_row(row, revisions.decode_change)
            if change is None:
                # Later entries cannot be applied without this one. If it stays
                # unreadable, the follower scans the items instead.
                break
            changes.append(change)
        return configuration.LogRead(changes=tuple(changes), more=reply.more)

    async def _read_items(self, after_key: str) -> configuration.Event:
        reply = await self._platform.scan(
            prefix=revisions.ITEM_PREFIX,
            after=after_key,
            limit=_ITEM_PAGE_ROWS,
            kind=budget.Kind.CONFIG,
        )
        items = [_decode_row(row, revisions.decode_item) for row in reply.rows]
        return configuration.ItemsRead(
            items=tuple(item for item in items if item is not None),
            last_key=reply.rows[-1].key if reply.rows else after_key,
            more=reply.more and bool(reply.rows),
        )

    async def _fetch_peer_snapshot(
        self, read: configuration.FetchPeerSnapshot
    ) -> configuration.Event:
        target = self._peer_target(read.host)
        if target is None:
            return configuration.PeerFailed(host=read.host)
        data = codec.encode(
            peer.SnapshotRequest(have_revision=read.have_revision)
        )
        base_bytes = len(data) + 2 * budget.GRPC_OVERHEAD_BYTES
        grant = self._meter.request(
            budget.Kind.CONFIG, base_bytes + _SNAPSHOT_ESTIMATE_BYTES
        )
        if grant is None:
            return configuration.Deferred()
        used_bytes = base_bytes
        try:
            reply, reply_bytes = await self._peer_client.fetch_snapshot(
                target=target, data=data
            )
            used_bytes += reply_bytes
        except (
            exceptions.AgentUnavailableError,
            exceptions.ProtocolError,
        ) as exc:
            log.warning("peer_snapshot_failed", extra={"error": str(exc)})
            return configuration.PeerFailed(host=read.host)
        finally:
            self._meter.settle(grant, used_bytes)
        return configuration.PeerSnapshot(
            host=read.host,
            revision=reply.revision,
            items=reply.items,
            digest=reply.digest,
        )


def _decode_row(row: platform.Row, decode: Callable[[str], T]) -> T | None:
    try:
        return decode(row.value)
    except exceptions.ProtocolError as exc:
        log.error(
            "config_row_malformed", extra={"key": row.key, "error": str(exc)}
        )
        return None
