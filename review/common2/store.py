"""Stand-in of the platform's metadata store, as its protocol page states it.

Every machine may get a port of its own, so that a script can disturb the way of
one machine to the store.
"""

import asyncio
import base64
from collections.abc import Awaitable, Callable
import contextlib
import json
import time
from typing import Any
import urllib.parse

from review.common2 import http_wire

_MAX_ROWS = 500
_MAX_WAIT_S = 30.0
# The platform alone writes to these tables.
_RESERVED_TABLES = ("op", "servers")

Hook = Callable[[str, http_wire.Message], Awaitable[bytes | None]]


class Store:
    """Rows with versions, feeds of changes and conditional transactions.

    Attributes:
        hook: called with the name of the machine and each of its calls before
            it is served; returns an answer to send instead, or None.
        after_hook: the same, after the call was served and before its answer
            is sent; returns an answer to send instead, or None.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._feed: list[dict[str, Any]] = []
        self._version = 0
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.calls: list[tuple[float, str, str, str]] = []
        self.hook: Hook | None = None
        self.after_hook: Hook | None = None

    async def listen(self, machine: str) -> int:
        """Opens a port for a machine and returns it."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.add(writer)
            try:
                await self._serve(machine, reader, writer)
            except (EOFError, OSError, asyncio.CancelledError):
                pass
            finally:
                self._writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes all ports and connections."""
        for server in self._servers:
            server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def put(self, table: str, key: str, value: Any) -> float:
        """Writes a row as the platform; returns the time of the answer."""
        await self._write(table, "", key, json.dumps(value).encode())
        return time.monotonic()

    async def drop(self, table: str, key: str) -> float:
        """Removes a row as the platform; returns the time of the answer."""
        await self._write(table, "", key, None)
        return time.monotonic()

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table."""
        return sorted(key for name, _, key in self._rows if name == table)

    async def _write(
        self, table: str, part: str, key: str, value: bytes | None
    ) -> None:
        self._version += 1
        self._set(table, part, key, value)
        async with self._changed:
            self._changed.notify_all()

    def _set(
        self, table: str, part: str, key: str, value: bytes | None
    ) -> None:
        row: dict[str, Any] = {
            "table": table,
            "part": part,
            "key": key,
            "ver": self._version,
        }
        if value is None:
            self._rows.pop((table, part, key), None)
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self._rows[table, part, key] = row
        self._feed.append(row)

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            try:
                message = await http_wire.read(reader)
            except asyncio.IncompleteReadError:
                return
            method, target, _ = message.start
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            self.calls.append(
                (time.monotonic(), machine, method, target.split("&wait")[0])
            )
            answer = None
            if self.hook is not None:
                answer = await self.hook(machine, message)
            if answer is None:
                answer = await self._answer(method, url.path, query, message)
                if self.after_hook is not None:
                    answer = await self.after_hook(machine, message) or answer
            if not answer:
                return
            writer.write(answer)
            with contextlib.suppress(ConnectionError):
                await writer.drain()

    async def _answer(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        message: http_wire.Message,
    ) -> bytes:
        match method, path:
            case "GET", "/rows-get":
                return self._get(query)
            case "GET", "/rows-feed":
                return await self._get_feed(query)
            case "POST", "/rows-tx":
                return await self.transact(json.loads(message.body))
        return http_wire.response(404)

    def _page(self, rows: list[dict[str, Any]]) -> bytes:
        body = {
            "rows": rows[:_MAX_ROWS],
            "has_more": len(rows) > _MAX_ROWS,
            "ver": self._version,
            "now_s": time.monotonic(),
        }
        return http_wire.response(
            200,
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )

    def _get(self, query: dict[str, str]) -> bytes:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        rows = [
            row
            for (name, row_part, key), row in sorted(self._rows.items())
            if name == table
            and row_part == part
            and key >= first
            and (end is None or key < end)
        ]
        return self._page(rows)

    async def _get_feed(self, query: dict[str, str]) -> bytes:
        after = int(query["after"])
        wait_s = min(_MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000)
        deadline = time.monotonic() + wait_s
        while True:
            rows = [
                row
                for row in self._feed
                if row["table"] == query["table"] and row["ver"] > after
            ]
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                return self._page(rows)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()

    async def transact(self, body: dict[str, Any]) -> bytes:
        """Applies a transaction and returns the answer."""
        entries = [*body.get("set_keys", ()), *body.get("remove", ())]
        if any(entry["table"] in _RESERVED_TABLES for entry in entries):
            return http_wire.response(403)
        expected = body.get("expected_revision", ())
        current = [
            self._rows.get((row["table"], row.get("part", ""), row["key"]))
            for row in expected
        ]
        if any(
            (row["ver"] if row else 0) != wanted["ver"]
            for row, wanted in zip(current, expected, strict=True)
        ):
            rows = [row for row in current if row is not None]
            return http_wire.response(
                412, {}, json.dumps({"rows": rows}).encode()
            )
        self._version += 1
        for entry in body.get("set_keys", ()):
            self._set(
                entry["table"],
                entry.get("part", ""),
                entry["key"],
                base64.b64decode(entry["value"]),
            )
        for entry in body.get("remove", ()):
            self._set(entry["table"], entry.get("part", ""), entry["key"], None)
        async with self._changed:
            self._changed.notify_all()
        reply = {"ver": self._version, "now_s": time.monotonic()}
        return http_wire.response(200, {}, json.dumps(reply).encode())
