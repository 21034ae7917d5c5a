"""Client of the platform's store."""

import asyncio
from typing import Any

import aiohttp
import msgspec

from tanagerspoke import exceptions
from tanagerspoke.coordination import budget
from tanagerspoke.platform import evacuation
from tanagerspoke.platform import manifest
from tanagerspoke.platform import wire
from tanagerspoke.protocol import listing
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import zone_feed
from tanagerspoke.settings import options
from tanagerspoke.transport.store import answer_limits
from tanagerspoke.transport.store import store_source

_NODES_TABLE = "edge_nodes"

# The store replies within a few milliseconds. After this time it counts as
# unreachable, early enough for configuration changes to become active in time.
_REQUEST_TIMEOUT_S = 1.0
_HISTORY_LOST_STATUS = 410

_rows_decoder = msgspec.json.Decoder(wire.RowsReply)


class _ReadSize:
    """Bounds the rows and bytes that one read holds, in all of its replies."""

    def __init__(self, *, path: str) -> None:
        self._path = path
        self._rows = 0
        self._bytes = 0

    def add(self, reply: wire.RowsReply) -> None:
        """Counts a reply.

        Raises:
            AnswerRejectedError: the replies exceed a bound.
        """
        self._rows += len(reply.rows)
        self._bytes += sum(
            len(row.key) + len(row.value or b"") for row in reply.rows
        )
        if (
            self._rows > answer_limits.MAX_READ_ROWS
            or self._bytes > answer_limits.MAX_ANSWER_BYTES
        ):
            raise exceptions.AnswerRejectedError(
                f"GET {self._path}: {self._rows} rows of {self._bytes} bytes"
            )


class PlatformStore(store_source.StoreSource):
    """Reads manifests and entries of workers and nodes; registers nodes."""

    def __init__(self, *, endpoint: options.Endpoint) -> None:
        self._base_url = f"http://{endpoint.address}:{endpoint.port}"
        self._session: aiohttp.ClientSession | None = None
        self._exchanged_bytes = 0
        self._last_request_failed = False

    @property
    def exchanged_bytes(self) -> int:
        """Implements `StoreSource`."""
        return self._exchanged_bytes

    async def start(self) -> None:
        """Implements `StoreSource`."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(keepalive_timeout=30.0),
            middlewares=(self._repeat_only_first_failure,),
        )

    async def close(self) -> None:
        """Implements `StoreSource`."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read_routing(self) -> routing.RoutingChange:
        """Implements `StoreSource`."""
        return _routing_change(
            await self._read_table(wire.CONFIG_TABLE), complete=True
        )

    async def wait_for_routing_change(
        self, *, position: int, wait_s: float
    ) -> routing.RoutingChange:
        """Implements `StoreSource`."""
        return _routing_change(
            await self._read_changes(
                wire.CONFIG_TABLE, after=position, wait_s=wait_s
            ),
            complete=False,
        )

    async def read_upstreams(
        self, *, services: frozenset[str] | None
    ) -> listing.ListChanges:
        """Implements `StoreSource`."""
        reply = await self._read_table(wire.WORKERS_TABLE)
        return _list_changes(reply, services=services, complete=True)

    async def read_upstream_changes(
        self, *, position: int, services: frozenset[str] | None
    ) -> listing.ListChanges:
        """Implements `StoreSource`."""
        reply = await self._read_changes(
            wire.WORKERS_TABLE, after=position, wait_s=0.0
        )
        return _list_changes(reply, services=services, complete=False)

    async def register_node(self, node: zone_feed.Node) -> None:
        """Implements `StoreSource`."""
        value = msgspec.json.encode(manifest.encode_node(node))
        row = wire.TransactionRow(
            table=_NODES_TABLE, key=node.name, value=value
        )
        await self._transact(wire.Transaction(set_keys=(row,)))

    async def unregister_node(self, name: str) -> None:
        """Implements `StoreSource`."""
        row = wire.TransactionRow(table=_NODES_TABLE, key=name)
        await self._transact(wire.Transaction(remove=(row,)))

    async def read_nodes(self) -> zone_feed.NodeList:
        """Implements `StoreSource`."""
        reply = await self._read_table(_NODES_TABLE)
        nodes = []
        problems = []
        for row in reply.rows:
            if row.value is None:
                continue
            try:
                nodes.append(
                    manifest.decode_node(name=row.key, value=row.value)
                )
            except exceptions.ProtocolError as exc:
                problems.append(
                    listing.RowProblem(key=row.key, problem=str(exc))
                )
        return zone_feed.NodeList(nodes=tuple(nodes), problems=tuple(problems))

    async def _read_table(self, table: str) -> wire.RowsReply:
        """Returns all rows of a table as of one version of the store.

        Each reply holds the rows of its own moment, so changes since the first
        one are applied to the rows of all of them.
        """
        replies = []
        params = {"table": table, "part": ""}
        size = _ReadSize(path="/rows-get")
        while True:
            reply = await self._get_rows("/rows-get", params)
            size.add(reply)
            replies.append(reply)
            if not reply.has_more or not reply.rows:
                break
            # The smallest key greater than the last one read.
            params["from"] = reply.rows[-1].key + "\0"
        rows = {row.key: row for reply in replies for row in reply.rows}
        first_version = replies[0].ver
        if replies[-1].ver == first_version:
            return wire.RowsReply(rows=tuple(rows.values()), ver=first_version)
        try:
            changes = await self._read_changes(
                table, after=first_version, wait_s=0.0
            )
        except exceptions.HistoryLostError:
            # The next read of changes after this version fails as well, and
            # the table is read again.
            return wire.RowsReply(rows=tuple(rows.values()), ver=first_version)
        rows |= {row.key: row for row in changes.rows}
        return wire.RowsReply(
            rows=tuple(row for row in rows.values() if not row.deleted),
            ver=changes.ver,
        )

    async def _read_changes(
        self, table: str, *, after: int, wait_s: float
    ) -> wire.RowsReply:
        """Returns the last change of each row that changed after a version."""
        rows: dict[str, wire.Row] = {}
        size = _ReadSize(path="/rows-feed")
        while True:
            params = {
                "table": table,
                "after": str(after),
                "wait_ms": str(int(wait_s * 1000)),
            }
            reply = await self._get_rows("/rows-feed", params, wait_s=wait_s)
            size.add(reply)
            rows |= {row.key: row for row in reply.rows}
            if not reply.has_more:
                return wire.RowsReply(rows=tuple(rows.values()), ver=reply.ver)
            # `ver` may be newer than the last change that was returned.
            if not reply.rows or reply.rows[-1].ver <= after:
                raise exceptions.PlatformUnavailableError(
                    f"GET /rows-feed: no change after version {after}, "
                    "although there are more"
                )
            after = reply.rows[-1].ver
            wait_s = 0.0

    async def _get_rows(
        self, path: str, params: dict[str, str], *, wait_s: float = 0.0
    ) -> wire.RowsReply:
        body = await self._request("GET", path, wait_s=wait_s, params=params)
        try:
            answer_limits.check_structure(body)
            return _rows_decoder.decode(body)
        except exceptions.AnswerRejectedError as exc:
            raise exceptions.AnswerRejectedError(f"GET {path}: {exc}") from exc
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as exc:
            raise exceptions.PlatformUnavailableError(
                f"GET {path}: malformed reply: {exc}"
            ) from exc

    async def _transact(self, transaction: wire.Transaction) -> None:
        data = msgspec.json.encode(transaction)
        self._exchanged_bytes += len(data)
        await self._request("POST", "/rows-tx", data=data)

    async def _repeat_only_first_failure(
        self,
        req: aiohttp.ClientRequest,
        send: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Sends a request; see `aiohttp.ClientMiddlewareType`.

        The session repeats a GET whose connection breaks, which is right for
        a kept connection that has gone stale. While the store refuses
        connections, it would double the calls of all nodes.
        """
        try:
            return await send(req)
        except (aiohttp.ClientConnectionError, OSError) as exc:
            if self._last_request_failed:
                raise exceptions.PlatformUnavailableError(
                    f"{req.method} {req.url.path}: "
                    f"{answer_limits.error_text(exc)}"
                ) from exc
            raise

    async def _request(
        self, method: str, path: str, *, wait_s: float = 0.0, **kwargs: Any
    ) -> bytes:
        if self._session is None:
            raise exceptions.PlatformUnavailableError("the client is closed")
        self._exchanged_bytes += budget.HTTP_OVERHEAD_BYTES
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S + wait_s):
                async with self._session.request(
                    method, self._base_url + path, **kwargs
                ) as resp:
                    body = await answer_limits.read_body(resp)
                    self._exchanged_bytes += len(body)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            self._last_request_failed = True
            raise exceptions.PlatformUnavailableError(
                f"{method} {path}: {answer_limits.error_text(exc)}"
            ) from exc
        self._last_request_failed = False
        if resp.status == _HISTORY_LOST_STATUS:
            raise exceptions.HistoryLostError(f"{method} {path}")
        if resp.status != 200:
            raise exceptions.PlatformUnavailableError(
                f"{method} {path}: status {resp.status}"
            )
        return body


def _routing_change(
    reply: wire.RowsReply, *, complete: bool
) -> routing.RoutingChange:
    zones = evacuation.decode_zones(reply.rows, complete=complete)
    for row in reply.rows:
        if row.key != wire.CONFIG_KEY or row.value is None:
            continue
        try:
            table = manifest.decode_manifest(row.value)
        except exceptions.ProtocolError as exc:
            return routing.RoutingChange(
                position=reply.ver,
                problem=f"store version {row.ver}: {exc}",
                zones=zones,
            )
        return routing.RoutingChange(
            position=reply.ver, table=table, zones=zones
        )
    return routing.RoutingChange(position=reply.ver, zones=zones)


def _list_changes(
    reply: wire.RowsReply, *, services: frozenset[str] | None, complete: bool
) -> listing.ListChanges:
    return listing.ListChanges(
        position=reply.ver,
        changes=tuple(_list_change(row, services) for row in reply.rows),
        complete=complete,
    )


def _list_change(
    row: wire.Row, services: frozenset[str] | None
) -> listing.ListChange:
    if row.deleted or row.value is None:
        return listing.ListChange(upstream_id=row.key, entry=None)
    try:
        entry = manifest.decode_worker(
            worker_id=row.key, value=row.value, services=services
        )
    except exceptions.ProtocolError as exc:
        return listing.ListChange(
            upstream_id=row.key,
            entry=None,
            problem=f"store version {row.ver}: {exc}",
        )
    return listing.ListChange(upstream_id=row.key, entry=entry)
