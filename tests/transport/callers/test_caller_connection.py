"""Connections of callers, with a handler that records the events."""

import asyncio
import socket

import pytest

from tanagerspoke.coordination.caller_memory import limits as memory_limits
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import caller_connection
from tanagerspoke.transport.callers import memory_guard
from tests import stack as stacks


class RecordingHandler:
    """Records the requests, bodies and refusals of a connection."""

    def __init__(self) -> None:
        self.events: list[object] = []

    def open_call(self, conn, message) -> bool:
        """Records the path and accepts the call."""
        self.events.append(message.path)
        conn.call = message
        return True

    def run_call(self, conn, body: bytes) -> None:
        """Records the body."""
        self.events.append(body)

    def refuse_body(self, conn, *, too_large: bool) -> None:
        """Records the refusal."""
        self.events.append(("refused", too_large))

    def end_call(self, conn) -> None:
        """Ends the call without a record."""
        conn.call = None

    def connection_closed(self, conn) -> None:
        """Ignores the end of the connection."""


def _new_connection(
    handler: RecordingHandler,
    *,
    guard: memory_guard.MemoryGuard | None = None,
    max_body_bytes: int = 100,
) -> caller_connection.CallerConnection:
    return caller_connection.CallerConnection(
        loop=asyncio.get_running_loop(),
        handler=handler,
        limits=lambda: caller_calls.Limits(
            max_header_bytes=8000, max_body_bytes=max_body_bytes
        ),
        guard=guard or memory_guard.MemoryGuard(),
    )


_POST_HEADERS = b"POST /a HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    "chunks",
    [
        (_POST_HEADERS + b"Content-Length: 7\r\n\r\nlockers",),
        (_POST_HEADERS + b"Content-Length: 7\r\n\r\n", b"lock", b"ers"),
        (_POST_HEADERS + b"Transfer-Encoding: chunked\r\n\r\n4\r\nlock\r\n",)
        + (b"3\r\ners\r\n", b"0\r\n\r\n"),
    ],
)
async def test_body_runs_its_call_exactly_once(chunks) -> None:
    """Guards against a write that runs twice.

    Reading the body resumes the parser, which calls `data_received` again
    before the outer call has finished the body.
    """
    handler = RecordingHandler()
    conn = _new_connection(handler)
    for chunk in chunks:
        conn.data_received(chunk)
    assert handler.events == ["/a", b"lockers"]


async def test_pipelined_requests_run_one_after_another() -> None:
    """Guards against pipelined requests that run at the same time.

    The second call must not start before the response of the first was
    written, even if all requests arrive in one segment. The paths are "/49" to
    "/51", since iterating over `b"123"` yields the byte values.
    """
    handler = RecordingHandler()
    conn = _new_connection(handler)
    conn.data_received(
        b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % i for i in b"123")
    )
    assert handler.events == ["/49", b""]
    conn.finish(keep_alive=True)
    conn.data_received(b"")
    assert handler.events == ["/49", b""]
    await asyncio.sleep(0)
    assert handler.events == ["/49", b"", "/50", b""]


@pytest.mark.parametrize(
    ("data", "too_large"),
    [
        (b"Content-Length: 101\r\n\r\n" + b"x" * 101, True),
        (b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"x" * 101, True),
        (b"Transfer-Encoding: chunked\r\n\r\n", False),
    ],
)
async def test_large_or_malformed_body_is_refused(
    data: bytes, too_large: bool
) -> None:
    """Guards against a call that runs with a bad body or waits for it forever.

    The body exceeds the limit of 100 bytes, or a chunk size is not a number.
    """
    handler = RecordingHandler()
    conn = _new_connection(handler)
    conn.data_received(_POST_HEADERS + data)
    if not too_large:
        conn.data_received(b"nonsense\r\n")
    assert handler.events == ["/a", ("refused", too_large)]


async def test_header_time_counts_from_the_first_byte() -> None:
    """Guards against a header timeout that restarts with each part.

    A caller could then hold a connection by sending its headers slowly.
    """
    conn = _new_connection(RecordingHandler())
    assert conn.headers_started_at is None
    conn.data_received(b"GET /a HTTP/1.1\r\n")
    started_at = conn.headers_started_at
    assert started_at is not None
    conn.data_received(b"Host: a\r\n")
    assert conn.headers_started_at == started_at
    conn.data_received(b"\r\n")
    assert conn.headers_started_at is None


class _FillingHandler(RecordingHandler):
    """Writes a response until the kernel takes no more of it."""

    def __init__(self) -> None:
        super().__init__()
        self.conn: caller_connection.CallerConnection | None = None
        self.written_bytes = 0

    def run_call(self, conn, body: bytes) -> None:
        """Writes until some bytes stay in the process, then ends the call."""
        del body
        self.conn = conn
        while not conn.transport.get_write_buffer_size():
            conn.transport.write(b"x" * 4096)
            self.written_bytes += 4096
        conn.finish(keep_alive=False)


async def test_call_ends_when_its_last_byte_has_left_the_process() -> None:
    """Guards against a stop that ends the process with unsent responses.

    The stop waits for calls that have not ended.
    """
    loop = asyncio.get_running_loop()
    handler = _FillingHandler()
    server = await loop.create_server(
        lambda: _new_connection(handler), "127.0.0.1", 0
    )
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, server.sockets[0].getsockname())
        await loop.sock_sendall(sock, b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")

        async def has_written() -> bool:
            return handler.conn is not None

        await stacks.wait_until(has_written, "the response")
        await asyncio.sleep(0.05)
        assert handler.conn.call is not None
        received_bytes = 0
        while data := await loop.sock_recv(sock, 65_536):
            received_bytes += len(data)
        assert received_bytes == handler.written_bytes
        assert handler.conn.call is None
    server.close()


@pytest.mark.parametrize("size", [1, 40, 10_000])
async def test_invalid_request_leaves_those_before_it_in_force(
    size: int,
) -> None:
    """Guards against pipelined requests that an invalid one behind them drops.

    They are complete, and the caller would get one error in place of their
    responses, however the bytes are split.
    """
    handler = RecordingHandler()
    conn = _new_connection(handler)
    data = (
        _POST_HEADERS
        + b"Content-Length: 7\r\n\r\nlockersGET /b HTTP/1.1\r\nHost: a\r\n\r\n"
        + _POST_HEADERS
        + b"Content-Length: x\r\n\r\n"
    )
    for start in range(0, len(data), size):
        conn.data_received(data[start : start + size])
    assert handler.events == ["/a", b"lockers"]
    for events in (["/b", b""], []):
        handler.events.clear()
        assert not conn.must_close
        conn.finish(keep_alive=True)
        await asyncio.sleep(0)
        assert handler.events == events


class _FinishingHandler(RecordingHandler):
    """Ends each call at once."""

    def run_call(self, conn, body: bytes) -> None:
        """Records the body and ends the call."""
        super().run_call(conn, body)
        conn.finish(keep_alive=True)


async def test_pipelined_requests_that_end_at_once_are_all_run() -> None:
    """Guards against requests that stay unparsed until further bytes arrive.

    They are more than may wait, and each ends before the next one starts, as
    those that are refused do.
    """
    handler = _FinishingHandler()
    conn = _new_connection(handler)
    conn.data_received(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n" * 100)
    for _ in range(200):
        await asyncio.sleep(0)
    assert handler.events == ["/a", b""] * 100


class _RefusingHandler(RecordingHandler):
    """Ends a call that is refused for memory."""

    def refuse_for_memory(self, conn) -> None:
        """Records the refusal and ends the call."""
        self.events.append("no memory")
        conn.finish(keep_alive=False)


async def test_call_refused_for_memory_is_not_run_by_the_same_read() -> None:
    """Guards against a call that runs after its refusal, or fails in it.

    The read that ends a stalled body needs the memory that the body holds.
    """
    now = 0.0
    guard = memory_guard.MemoryGuard(
        memory_limits=memory_limits.MemoryLimits(
            total_bytes=100_000, large_bytes=100_000
        ),
        clock=lambda: now,
    )
    handler = _RefusingHandler()
    conn = _new_connection(handler, guard=guard, max_body_bytes=50_000)
    chunk = b"4e20\r\n" + b"x" * 20_000 + b"\r\n"
    conn.data_received(
        _POST_HEADERS + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    )
    now = 3.0
    conn.data_received(chunk + b"0\r\n\r\n")
    assert handler.events == ["/a", "no memory"]
    conn.connection_lost(None)
    assert guard.used_bytes == 0
