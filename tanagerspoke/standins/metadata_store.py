"""Stand-in of the users' store: rows, feeds and transactions."""

import asyncio
import time

from aiohttp import web
import msgspec

from tanagerspoke.platform import wire
from tanagerspoke.settings import options
from tanagerspoke.standins import answers

_UNAVAILABLE_STATUS = 503
_HISTORY_LOST_STATUS = 410


class MetadataStoreStandin:
    """HTTP server of the published protocol, with faults set by the test.

    Attributes:
        down: whether every call gets 503.
        calls: calls that were answered or refused.
    """

    def __init__(self, *, listen: options.Endpoint) -> None:
        self._listen = listen
        self._rows: dict[tuple[str, str], wire.Row] = {}
        self._changes: list[tuple[str, wire.Row]] = []
        self._version = 0
        self._oldest = 0
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self.down = False
        self.calls = 0

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application()
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_post("/rows-tx", self._transact)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self._listen.address, self._listen.port
        ).start()

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row, as the operator or a worker would."""
        await self._write(table, key, value)

    async def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        await self._write(table, key, None)

    def forget_history(self) -> None:
        """Drops the changes, as a compaction does."""
        self._changes.clear()
        self._oldest = self._version

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table."""
        return sorted(key for name, key in self._rows if name == table)

    async def _write(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        row = wire.Row(
            key=key, ver=self._version, value=value, deleted=value is None
        )
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        self._changes.append((table, row))
        async with self._changed:
            self._changed.notify_all()

    async def _get(self, req: web.Request) -> web.Response:
        self.calls += 1
        if self.down:
            return answers.refuse(_UNAVAILABLE_STATUS, "down")
        table = req.query["table"]
        rows = tuple(self._rows[table, key] for key in self.keys(table))
        return answers.encode(wire.RowsReply(rows=rows, ver=self._version))

    async def _feed(self, req: web.Request) -> web.Response:
        self.calls += 1
        table = req.query["table"]
        after = int(req.query["after"])
        until = time.monotonic() + int(req.query["wait_ms"]) / 1000
        while not self.down and after >= self._oldest:
            rows = tuple(
                row
                for name, row in self._changes
                if name == table and row.ver > after
            )
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return answers.encode(
                    wire.RowsReply(rows=rows, ver=self._version)
                )
            await self._wait(left_s)
        if self.down:
            return answers.refuse(_UNAVAILABLE_STATUS, "down")
        return answers.refuse(_HISTORY_LOST_STATUS, "history lost")

    async def _wait(self, left_s: float) -> None:
        try:
            async with asyncio.timeout(left_s), self._changed:
                await self._changed.wait()
        except TimeoutError:
            return

    async def _transact(self, req: web.Request) -> web.Response:
        self.calls += 1
        if self.down:
            return answers.refuse(_UNAVAILABLE_STATUS, "down")
        transaction = msgspec.json.decode(
            await req.read(), type=wire.Transaction
        )
        for row in transaction.set_keys:
            await self._write(row.table, row.key, row.value)
        for row in transaction.remove:
            await self._write(row.table, row.key, None)
        return answers.encode(wire.RowsReply(ver=self._version))
