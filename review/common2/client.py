"""Stand-in of a client: one request on a connection of its own, or kept."""

import asyncio
import dataclasses
import itertools
import time

from review.common2 import http_wire

_ids = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class Sent:
    """A request and what became of it.

    Attributes:
        sent_at: monotonic time at which it was written.
        status: status of the answer, 0 if there was none.
        answered_at: monotonic time of the whole answer or of the failure.
    """

    request_id: str
    edge: str
    tenant: str
    sent_at: float
    status: int = 0
    signed: bool = False
    body: bytes = b""
    error: str = ""
    answered_at: float = 0.0


class Connection:
    """A connection to an edge, opened with its first request."""

    def __init__(self, *, edge_name: str, address: str, port: int) -> None:
        self._edge = edge_name
        self._address = address
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        *,
        host: str,
        target: str,
        method: str = "GET",
        key: str = "",
        tenant: str = "",
        deadline_s: float = 2.0,
        body: bytes = b"",
        connect_s: float = 1.0,
    ) -> Sent:
        """Sends a request and waits for the answer until the deadline."""
        request_id = f"{next(_ids):016x}"
        sent = Sent(
            request_id=request_id,
            edge=self._edge,
            tenant=tenant,
            sent_at=time.monotonic(),
        )
        headers = {
            "Host": host,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        if key:
            headers["Api-Key"] = key
        try:
            if self._writer is None:
                async with asyncio.timeout(connect_s):
                    (
                        self._reader,
                        self._writer,
                    ) = await asyncio.open_connection(self._address, self._port)
            sent.sent_at = time.monotonic()
            async with asyncio.timeout(deadline_s):
                self._writer.write(
                    http_wire.encode(
                        f"{method} {target} HTTP/1.1", headers, body
                    )
                )
                answer = await http_wire.read(self._reader)
            sent.status = answer.status
            sent.signed = "x-response-signature" in answer.headers
            sent.body = answer.body
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
        except (EOFError, OSError, TimeoutError) as exc:
            sent.error = repr(exc)
            self.close()
        sent.answered_at = time.monotonic()
        return sent
