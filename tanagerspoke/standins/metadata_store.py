"""Stand-in of the metadata store: rows, change feeds and transactions."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import time

from aiohttp import web
import msgspec

from tanagerspoke.platform import wire
from tanagerspoke.settings import options
from tanagerspoke.standins import faults
from tanagerspoke.standins import json_responses

_UNAVAILABLE_STATUS = 503
_HISTORY_LOST_STATUS = 410
# Maximum number of rows in a reply of the store.
DEFAULT_PAGE_ROWS = 500


class MetadataStoreStandin:
    """HTTP server with the store's protocol and simulated faults.

    Attributes:
        faults: current faults.
        on_page: called with the name of the table before a page of its rows is
            sent, whose contents are already chosen.
        call_count: number of calls to the rows API, including refused ones.
        calls_by_reason: the same by what they do and their table, such as
            `read op`, `wait op`, `changes servers` and `set edge_nodes`.
    """

    def __init__(
        self,
        *,
        listen: options.Endpoint,
        entry_ttl_s: float | None = None,
        page_rows: int = DEFAULT_PAGE_ROWS,
    ) -> None:
        """Creates a store without rows.

        Args:
            listen: address and port of the server.
            entry_ttl_s: time without a write after which the entry of a
                worker is removed; None for never.
            page_rows: maximum number of rows in a reply.
        """
        self._listen = listen
        self._entry_ttl_s = entry_ttl_s
        self._page_rows = page_rows
        self.on_page: Callable[[str], Awaitable[None]] | None = None
        self._entry_written_at: dict[str, float] = {}
        self._expiry_task: asyncio.Task[None] | None = None
        self._rows: dict[tuple[str, str], wire.Row] = {}
        self._feed: list[tuple[str, wire.Row]] = []
        self._version = 0
        self._compacted_version = 0
        self._rows_changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self.faults = faults.StoreFaults()
        self.call_count = 0
        self.calls_by_reason: collections.Counter[str] = collections.Counter()

    @property
    def down(self) -> bool:
        """Whether every call gets 503."""
        return self.faults.down

    @down.setter
    def down(self, down: bool) -> None:
        self.faults = faults.StoreFaults(down=down)

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application()
        app.router.add_get("/rows-get", self._with_faults(self._get_rows))
        app.router.add_get("/rows-feed", self._with_faults(self._get_feed))
        app.router.add_post("/rows-tx", self._with_faults(self._transact))
        # The operator can change rows while faults make the store unavailable.
        app.router.add_post("/control/transactions", self._transact)
        app.router.add_put("/control/faults", self._put_faults)
        app.router.add_put("/control/compaction", self._put_compaction)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self._listen.address, self._listen.port
        ).start()
        if self._entry_ttl_s is not None:
            self._expiry_task = asyncio.create_task(
                self._remove_expired_workers(self._entry_ttl_s)
            )

    async def close(self) -> None:
        """Closes the port."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row."""
        await self._write(table, key, value)

    async def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        await self._write(table, key, None)

    def compact_feed(self) -> None:
        """Drops the history of the feed; reads of earlier changes get 410."""
        self._feed.clear()
        self._compacted_version = self._version

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table, sorted."""
        return sorted(
            key for row_table, key in self._rows if row_table == table
        )

    async def _write(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        row = wire.Row(
            key=key, ver=self._version, value=value, deleted=value is None
        )
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        self._feed.append((table, row))
        if table == wire.WORKERS_TABLE and value is not None:
            self._entry_written_at[key] = time.monotonic()
        elif table == wire.WORKERS_TABLE:
            self._entry_written_at.pop(key, None)
        async with self._rows_changed:
            self._rows_changed.notify_all()

    async def _remove_expired_workers(self, entry_ttl_s: float) -> None:
        while True:
            await asyncio.sleep(entry_ttl_s / 10)
            expired_before = time.monotonic() - entry_ttl_s
            for name, written_at in tuple(self._entry_written_at.items()):
                if written_at < expired_before:
                    await self._write(wire.WORKERS_TABLE, name, None)

    def _with_faults(
        self, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Returns the handler wrapped with the faults."""

        async def handle(req: web.Request) -> web.Response:
            self.call_count += 1
            # aiohttp drops the body if the client disconnects before the read.
            self.calls_by_reason.update(_reasons(req, await req.read()))
            if self.faults.silent:
                await asyncio.Event().wait()
            if self.faults.resets and req.transport is not None:
                req.transport.abort()
                return web.Response()
            await asyncio.sleep(self.faults.delay_ms / 1000)
            if self.faults.down:
                return json_responses.error_response(
                    _UNAVAILABLE_STATUS, "down"
                )
            if self.faults.late_writes_ms and req.method == "POST":
                assert req.transport is not None
                req.transport.abort()
                await asyncio.sleep(self.faults.late_writes_ms / 1000)
            resp = await handler(req)
            if self.faults.lose_answers and req.method == "POST":
                assert req.transport is not None
                req.transport.abort()
            return resp

        return handle

    async def _put_faults(self, req: web.Request) -> web.Response:
        self.faults = await json_responses.decode(req, faults.StoreFaults)
        async with self._rows_changed:
            self._rows_changed.notify_all()
        return web.Response(status=204)

    async def _put_compaction(self, req: web.Request) -> web.Response:
        del req
        self.compact_feed()
        return web.Response(status=204)

    async def _get_rows(self, req: web.Request) -> web.Response:
        table = req.query["table"]
        first_key = req.query.get("from", "")
        rows = [
            self._rows[table, key]
            for key in self.keys(table)
            if key >= first_key
        ]
        resp = self._encode_page(rows)
        if self.on_page is not None:
            await self.on_page(table)
        return resp

    def _encode_page(self, rows: list[wire.Row]) -> web.Response:
        return json_responses.encode(
            wire.RowsReply(
                rows=tuple(rows[: self._page_rows]),
                ver=self._version,
                has_more=len(rows) > self._page_rows,
            )
        )

    async def _get_feed(self, req: web.Request) -> web.Response:
        table = req.query["table"]
        after = int(req.query["after"])
        deadline = time.monotonic() + int(req.query["wait_ms"]) / 1000
        while not self.down and after >= self._compacted_version:
            rows = [
                row
                for row_table, row in self._feed
                if row_table == table and row.ver > after
            ]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return self._encode_page(rows)
            await self._wait_for_change(remaining_s)
        if self.down:
            return json_responses.error_response(_UNAVAILABLE_STATUS, "down")
        return json_responses.error_response(
            _HISTORY_LOST_STATUS, "history lost"
        )

    async def _wait_for_change(self, remaining_s: float) -> None:
        try:
            async with asyncio.timeout(remaining_s), self._rows_changed:
                await self._rows_changed.wait()
        except TimeoutError:
            return

    async def _transact(self, req: web.Request) -> web.Response:
        transaction = msgspec.json.decode(
            await req.read(), type=wire.Transaction
        )
        for row in transaction.set_keys:
            await self._write(row.table, row.key, row.value)
        for row in transaction.remove:
            await self._write(row.table, row.key, None)
        return json_responses.encode(wire.RowsReply(ver=self._version))


def _reasons(req: web.Request, body: bytes) -> list[str]:
    """Returns what a call does, once for each kind of its operations."""
    if req.method == "GET":
        action = "read"
        if req.path == "/rows-feed":
            action = "wait" if int(req.query["wait_ms"]) else "changes"
        return [f"{action} {req.query['table']}"]
    if not body:
        return ["write of a client that disconnected"]
    transaction = msgspec.json.decode(body, type=wire.Transaction)
    written = [f"set {row.table}" for row in transaction.set_keys]
    removed = [f"remove {row.table}" for row in transaction.remove]
    return sorted({*written, *removed})
