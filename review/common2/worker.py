"""Stand-in of a worker: slots, a short queue, and an entry in the store."""

import asyncio
import contextlib
import time
from typing import Any

from review.common2 import http_wire
from review.common2 import store as stores

_HEARTBEAT_S = 1.0
_MAX_WAITING = 4


class Worker:
    """A sound worker that records what it ran.

    Attributes:
        runs: one entry for each request that it began to work on.
        leaving: whether its answers state that it is leaving.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        store: stores.Store,
        slots: int = 4,
        work_s: float = 0.05,
        body: bytes = b"answer",
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.body = body
        self.runs: list[dict[str, Any]] = []
        self.leaving = False
        self.state = "ready"
        self.port = 0
        self._store = store
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self, *, port: int = 0) -> None:
        """Opens the port and registers the worker."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        await self.report()
        self._heartbeats = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """Closes the port."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()

    async def report(self) -> float:
        """Writes its entry; returns the time of the store's answer."""
        self._sequence += 1
        return await self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_left_s": 0,
                "seq_no": self._sequence,
                "born": self._born_ms,
            },
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            await self.report()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                message = await http_wire.read(reader)
                answer = await self.answer(message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()

    def _load(self) -> dict[str, str]:
        headers = {
            "X-Server-Load": f"{self._running},{self._waiting},{self.slots}"
        }
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def answer(self, message: http_wire.Message) -> bytes | None:
        """Returns the answer to a request, None to close the connection."""
        method, target, _ = message.start
        if target == "/health":
            status = 503 if self.leaving else 200
            return http_wire.response(
                status, {"X-Instance-Id": self.name, **self._load()}
            )
        request_id = message.headers.get("x-attempt-id")
        if request_id is None:
            return http_wire.response(400, {"X-Not-Executed": "1"})
        echo = {"X-Attempt-Id": request_id}
        if message.headers.get("x-expect-instance", self.name) != self.name:
            return http_wire.response(421, {**echo, "X-Not-Executed": "1"})
        if self._free.locked() and self._waiting >= _MAX_WAITING:
            return http_wire.response(
                503, {**echo, "X-Not-Executed": "1", **self._load()}
            )
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self.run(request_id, message)
        finally:
            self._running -= 1
            self._free.release()

    async def run(
        self, request_id: str, message: http_wire.Message
    ) -> bytes | None:
        """Works on a request and returns the answer."""
        self.runs.append(
            {
                "at": time.monotonic(),
                "id": request_id,
                "worker": self.name,
                "service": self.service,
                "tenant": message.headers.get("x-tenant", ""),
                "method": message.start[0],
                "target": message.start[1],
            }
        )
        await asyncio.sleep(self.work_s)
        return http_wire.response(
            200,
            {
                "X-Attempt-Id": request_id,
                "X-Response-Signature": f"{self.name}.{request_id}",
                **self._load(),
            },
            self.body_for(message.start[1]),
        )

    def body_for(self, target: str) -> bytes:
        """Returns the body of the answer to a request target."""
        del target
        return self.body
