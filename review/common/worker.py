"""Stand-in of a worker, as PROTOCOL.md describes it."""

import asyncio
import dataclasses
import hashlib
import time
from typing import Any

from review.common import http1

HEALTH_PATH = "/health"


def digest(body: bytes) -> str:
    """Returns the text of the digest header for a body."""
    return hashlib.sha256(body).hexdigest()[:16]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that the worker began to work on."""

    worker: str
    request_id: str
    method: str
    path: str
    at: float


class Worker:
    """A sound worker; subclasses add the trouble of a case.

    Attributes:
        name: id of the worker.
        runs: requests that it began to work on.
        state: `ready` or `draining`.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int = 3,
        work_s: float = 0.05,
        tells_load: bool = True,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.runs: list[Run] = []
        self.running = 0
        self.tells_load = tells_load
        self.state = "ready"
        self.address = ""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Opens a free port."""
        self._server = await asyncio.start_server(self._accept, address, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{address}:{port}"

    async def close(self) -> None:
        """Ends the worker: closes its port and resets its connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Returns the worker's next entry in the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_s": 0,
            "seq_no": self._sequence,
            "born": self.born,
        }

    def usual_headers(self) -> dict[str, str]:
        """Returns the headers that all answers have."""
        headers = {}
        if self.tells_load:
            headers["X-Server-Load"] = f"{self.running},0,{self.slots}"
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        return headers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request or a health probe."""
        if request.path == HEALTH_PATH:
            writer.write(self.health())
            return
        request_id = request.headers.get("x-attempt-id")
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(
                http1.encode(
                    "HTTP/1.1 421 Misdirected Request",
                    {"X-Instance-Id": self.name},
                    b"",
                )
            )
            return
        if request_id is None:
            writer.write(
                http1.encode(
                    "HTTP/1.1 400 Bad Request", {"X-Not-Executed": "1"}, b""
                )
            )
            return
        await self.run(request, request_id, writer)

    def health(self) -> bytes:
        """Returns the answer to a health probe."""
        status = "200 OK" if self.state == "ready" else "503 Unavailable"
        return http1.encode(
            f"HTTP/1.1 {status}",
            {"X-Instance-Id": self.name} | self.usual_headers(),
            b"",
        )

    async def run(
        self,
        request: http1.Message,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request and answers it."""
        self.record_run(request, request_id)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(self.success(request, request_id))

    def record_run(self, request: http1.Message, request_id: str) -> None:
        """Records that the worker begins to work on a request."""
        self.runs.append(
            Run(
                worker=self.name,
                request_id=request_id,
                method=request.method,
                path=request.path,
                at=time.monotonic(),
            )
        )

    def success(self, request: http1.Message, request_id: str) -> bytes:
        """Returns the answer to a request that ran to a good end."""
        body = f"{self.service} {request.path} {request_id}".encode()
        return http1.encode(
            "HTTP/1.1 200 OK",
            {
                "X-Attempt-Id": request_id,
                "X-Response-Signature": digest(body),
                "Keep-Alive": "timeout=10",
            }
            | self.usual_headers(),
            body,
        )
