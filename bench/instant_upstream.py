"""An upstream of near zero service time, for the added-latency bench.

Started as `python -m bench.instant_upstream PORT`. It answers without an HTTP
library, so that its own spread does not hide what is measured.
"""

import asyncio
import re
import sys

import uvloop

_REQUEST_ID = re.compile(rb"\r\nTanagerspoke-Request-Id: ([^\r]+)", re.I)
_BODY = b'{"package":"7","free":12}'


class InstantUpstream(asyncio.Protocol):
    """Answers each GET at once and echoes the request id."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        self._transport = transport
        self._received = b""

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
        self._received += data
        while True:
            head, end, rest = self._received.partition(b"\r\n\r\n")
            if not end:
                return
            self._received = rest
            found = _REQUEST_ID.search(head)
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Tanagerspoke-Load: in_flight=1;slots=64;phase=ready\r\n"
                b"Tanagerspoke-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
                % (found[1] if found else b"-", len(_BODY), _BODY)
            )


async def serve(port: int) -> None:
    """Serves until the process is ended."""
    loop = asyncio.get_running_loop()
    await loop.create_server(InstantUpstream, "127.0.0.1", port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1])))
