"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
from collections.abc import Awaitable, Callable
import json
import time
from typing import Any
import urllib.parse

from review.common import http1

_MAX_ROWS = 500
_MAX_REPLY_BYTES = 1_000_000
# An answer takes about 4 ms.
_ANSWER_S = 0.004

Row = dict[str, Any]


async def _no_hook(path: str, query: dict[str, str]) -> None:
    del path, query


class Store:
    """Rows of tables, feeds of changes and transactions.

    Attributes:
        after_read: awaited after the reply to each read was computed and
            before it is sent.
        call_count: number of calls.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._changes: list[tuple[str, Row]] = []
        self._version = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._started_at = time.monotonic()
        self.after_read: Callable[[str, dict[str, str]], Awaitable[None]] = (
            _no_hook
        )
        self.call_count = 0

    async def start(self, address: str) -> int:
        """Opens a free port and returns it."""
        self._server = await asyncio.start_server(self._serve, address, 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes the port."""
        if self._server is not None:
            self._server.close()

    async def put(self, table: str, key: str, value: bytes | None) -> float:
        """Writes or removes a row; returns the time of the confirmation."""
        self._write(table, key, value)
        async with self._changed:
            self._changed.notify_all()
        return time.monotonic()

    async def put_json(self, table: str, key: str, value: Any) -> float:
        """Writes a row with a JSON value; see `put`."""
        return await self.put(table, key, json.dumps(value).encode())

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        row: Row = {
            "table": table,
            "part": "",
            "key": key,
            "ver": self._version,
        }
        if value is None:
            self._rows.pop((table, key), None)
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self._rows[table, key] = row
        self._changes.append((table, row))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http1.read_message(reader)) is not None:
                self.call_count += 1
                await asyncio.sleep(_ANSWER_S)
                status, reply = await self._reply(request)
                body = json.dumps(reply).encode()
                writer.write(
                    http1.encode(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json"},
                        body,
                    )
                )
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _reply(self, request: http1.Message) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        match url.path:
            case "/rows-get":
                reply = self._get_rows(query)
                await self.after_read(url.path, query)
                return 200, reply
            case "/rows-feed":
                reply = await self._read_feed(query)
                await self.after_read(url.path, query)
                return 200, reply
            case "/rows-tx":
                return await self._transact(json.loads(request.body))
        return 404, {}

    def _now_s(self) -> float:
        return round(time.monotonic() - self._started_at, 3)

    def _get_rows(self, query: dict[str, str]) -> Any:
        first = query.get("from", "").encode()
        keys = sorted(
            (key for table, key in self._rows if table == query["table"]),
            key=str.encode,
        )
        keys = [key for key in keys if key.encode() >= first]
        rows: list[Row] = []
        size = 0
        for key in keys:
            row = self._rows[query["table"], key]
            size += len(json.dumps(row))
            if len(rows) >= _MAX_ROWS or (rows and size > _MAX_REPLY_BYTES):
                break
            rows.append(row)
        return {
            "rows": rows,
            "has_more": len(rows) < len(keys),
            "ver": self._version,
            "now_s": self._now_s(),
        }

    async def _read_feed(self, query: dict[str, str]) -> Any:
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = [
                row
                for table, row in self._changes
                if table == query["table"] and row["ver"] > after
            ]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return {
                    "rows": rows,
                    "ver": self._version,
                    "now_s": self._now_s(),
                }
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _transact(self, transaction: Any) -> tuple[int, Any]:
        for row in transaction.get("set_keys", []):
            value = base64.b64decode(row["value"])
            self._write(row["table"], row["key"], value)
        for row in transaction.get("remove", []):
            self._write(row["table"], row["key"], None)
        async with self._changed:
            self._changed.notify_all()
        return 200, {"ver": self._version, "now_s": self._now_s()}
