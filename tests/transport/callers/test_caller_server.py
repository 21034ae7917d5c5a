"""Limits of the server for callers, on loopback connections."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest

from tanagerspoke.coordination.caller_memory import limits as memory_limits
from tanagerspoke.protocol import errors
from tanagerspoke.settings import options
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import caller_server
from tanagerspoke.transport.callers import memory_guard
from tanagerspoke.transport.upstreams import upstream_client
from tests import stack as stacks

_HEAD = b"POST /s/x HTTP/1.1\r\nHost: a\r\nTanagerspoke-Client-Account: a\r\n"


@dataclasses.dataclass(kw_only=True)
class _Server:
    """A server that answers each call with the size of its body."""

    port: int
    limits: caller_calls.Limits

    def serve(self, request, on_done):
        on_done(
            caller_calls.CallerResponse(
                response=upstream_client.Response(
                    status=200, headers=(), body=b"%d" % len(request.body)
                ),
                outcome=errors.Outcome.RAN,
            ),
            None,
        )
        return lambda: None

    async def exchange(self, connection, *parts: bytes) -> tuple[int, bytes]:
        """Sends a request in parts; returns status and headers."""
        reader, writer = connection
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.01)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        await reader.readexactly(length)
        return int(head.split()[1]), head


@contextlib.asynccontextmanager
async def _run(
    *, total_bytes: int = 1_000_000, **limits: float
) -> AsyncIterator[tuple[_Server, tuple]]:
    server = _Server(
        port=stacks.free_port(),
        limits=caller_calls.Limits(
            **{"max_header_bytes": 2000, "max_body_bytes": 500_000} | limits
        ),
    )
    callers = caller_server.CallerServer(
        listen=options.Endpoint(address="127.0.0.1", port=server.port),
        limits=lambda: server.limits,
        dialect=caller_calls.DefaultCallerDialect(),
        serve=server.serve,
        guard=memory_guard.MemoryGuard(
            memory_limits=memory_limits.MemoryLimits(
                total_bytes=total_bytes, large_bytes=total_bytes
            )
        ),
        max_connections=3,
    )
    await callers.start()
    connection = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        yield server, connection
    finally:
        connection[1].close()
        await callers.close()
        await asyncio.sleep(0)


async def test_body_that_does_not_fit_is_refused_before_it_is_read() -> None:
    """Guards against an announced body that is read before its refusal."""
    async with _run(total_bytes=100_000) as (server, connection):
        status, head = await server.exchange(
            connection, _HEAD + b"Content-Length: 200000\r\n\r\n"
        )
        assert status == 503
        assert b"Retry-After: 1\r\n" in head
        assert b"Tanagerspoke-Outcome: not-run\r\n" in head


@pytest.mark.parametrize("size_bytes", [5, 70_000, 400_000])
async def test_body_arrives_whole(size_bytes: int) -> None:
    """Guards against lost bytes between the small and the large storage."""
    body = b"x" * size_bytes
    half = size_bytes // 2
    async with _run() as (server, connection):
        announced = b"Content-Length: %d\r\n\r\n" % size_bytes
        status, head = await server.exchange(
            connection, _HEAD + announced + body[:half], body[half:]
        )
        assert status == 200
        chunks = [
            b"%x\r\n%b\r\n" % (len(part), part)
            for part in (body[:half], body[half:])
        ]
        status, head = await server.exchange(
            connection,
            _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            *chunks,
            b"0\r\n\r\n",
        )
        assert status == 200
        length = len(str(size_bytes))
        assert b"Content-Length: %d\r\n" % length in head


async def test_body_that_takes_too_long_is_refused() -> None:
    """Guards against a timeout that each further byte extends."""
    async with _run(body_timeout_s=0.2) as (server, connection):
        status, _ = await server.exchange(
            connection,
            _HEAD + b"Content-Length: 100\r\n\r\n",
            *[b"x"] * 40,
        )
        assert status == 408


@pytest.mark.parametrize(
    "tail",
    [
        b"Content-Length: 1000\r\n\r\n" + b"x" * 1000,
        b"X-Long: " + b"x" * 1500 + b"\r\n\r\n",
    ],
)
async def test_new_limits_apply_to_open_connections(tail: bytes) -> None:
    """Guards against limits that only new connections get."""
    async with _run() as (server, connection):
        status, _ = await server.exchange(connection, _HEAD + tail)
        assert status == 200
        server.limits = caller_calls.Limits(
            max_header_bytes=1000, max_body_bytes=900
        )
        status, _ = await server.exchange(connection, _HEAD + tail)
        assert status in (413, 431)


async def test_connections_beyond_the_limit_close_the_idlest() -> None:
    """Guards against idle connections that keep new callers out."""
    async with _run() as (server, (first_reader, _)):
        others = [
            await asyncio.open_connection("127.0.0.1", server.port)
            for _ in range(3)
        ]
        assert await first_reader.read() == b""
        status, _ = await server.exchange(
            others[-1], _HEAD + b"Content-Length: 0\r\n\r\n"
        )
        assert status == 200
        for _, writer in others:
            writer.close()


async def test_pipelined_requests_are_all_answered() -> None:
    """Guards against a parser that stays paused when requests wait.

    More requests than may wait arrive at once, with bodies.
    """
    request = _HEAD + b"Content-Length: 3\r\n\r\nabc"
    async with _run() as (server, connection):
        connection[1].write(request * 99)
        for _ in range(99):
            assert (await server.exchange(connection))[0] == 200
        for _ in range(40):
            head, body = request[:-3], request[-3:]
            assert (await server.exchange(connection, head, body))[0] == 200
