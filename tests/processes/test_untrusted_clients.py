"""Clients that send without end, or stop before the end, to a real edge."""

import asyncio
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Iterator,
)
import contextlib
import dataclasses
import itertools
import logging
import os
import pathlib
import socket

import pytest

from bench import edge_fleet
from tanagerspoke.platform import wire
from tests import stack as stacks
from tests import tcp_server
from tests.processes import raw_workers

log = logging.getLogger(__name__)

# Settings of the edge; its memory and descriptors must stay below them.
_MEMORY_MB = 128
_MAX_DESCRIPTORS = 256
_LIMITS = wire.Limits(
    max_header_bytes=16_384,
    max_body_bytes=8_000_000,
    header_timeout_s=20.0,
    idle_timeout_s=20.0,
)
_BODY_BYTES = 8_000_000
_MISSING_BYTES = 7
_BODY_CLIENTS = 24
_PIECE_BYTES = 65_536
# One head without end may hold 2 MB where only single fields are limited.
_HEAD_CLIENTS = 64
_ENDLESS_BYTES = 8_000_000
# Largest body of an ordinary client.
_ORDINARY_BODY_BYTES = 360_000
_STREAMED_BYTES = 4_000_000
# Time for which the clients stay open after they have sent everything.
_HOLD_S = 3.0
_MAX_SEND_S = 15.0


async def _respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Responds to calls, except to those whose path contains `stall`."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = {
            name.lower(): value
            for name, _, value in (
                line.partition(": ") for line in head.split("\r\n")[1:]
            )
        }
        await reader.readexactly(int(fields.get("content-length", 0)))
        if "/stall" in head:
            await asyncio.sleep(60)
        size = _STREAMED_BYTES if "/large" in head else 0
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
            b"X-Attempt-Id: %b\r\nX-Server-Load: 0,0,64,100\r\n"
            b"Content-Length: %d\r\n\r\n"
            % (fields.get("x-attempt-id", "").encode(), size)
        )
        for _ in range(size // 40_000):
            writer.write(b"x" * 40_000)
            await writer.drain()


@dataclasses.dataclass(kw_only=True)
class _Crowd:
    """Connections to an edge that stay open until the end of a test.

    Attributes:
        open_clients: connections that the edge has neither ended nor reset.
    """

    fleet: edge_fleet.EdgeFleet
    node: edge_fleet.Node
    pid: int
    open_clients: int = 0
    _writers: list[asyncio.StreamWriter] = dataclasses.field(
        default_factory=list
    )
    _tasks: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)
    _ids: Iterator[int] = dataclasses.field(default_factory=itertools.count)

    def head(self, path: str, *fields: str, method: str = "POST") -> bytes:
        lines = (
            f"{method} {path} HTTP/1.1",
            f"Host: {edge_fleet.ROUTE_HOST}",
            f"X-Attempt-Id: client{next(self._ids)}",
            "X-Deadline-Ms: 4000",
            *fields,
        )
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def connect(
        self, *, reads: bool = True
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        sock.setblocking(False)
        if not reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await asyncio.get_running_loop().sock_connect(
            sock, (self.node.address, self.node.callers_port)
        )
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        self._writers.append(writer)
        return reader, writer

    async def send(
        self, pieces: Iterator[bytes], *, first: Iterable[bytes] = ()
    ) -> None:
        """Sends pieces on a new connection, then stays open and reads.

        Each of `first` is a request that must be answered before the pieces.
        """
        reader, writer = await self.connect()
        for request in first:
            writer.write(request)
            assert b" 200 " in await reader.readline()
            while await reader.readline() not in (b"\r\n", b""):
                pass
        self.open_clients += 1
        self._tasks.append(asyncio.create_task(self._discard(reader)))
        with contextlib.suppress(OSError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)

    async def _discard(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(4096):
                pass
        self.open_clients -= 1

    async def run(self, clients: list[Awaitable[None]]) -> None:
        """Runs clients together; some may wait for the edge in the end."""
        tasks = [asyncio.ensure_future(client) for client in clients]
        self._tasks += tasks
        done, _ = await asyncio.wait(tasks, timeout=_MAX_SEND_S)
        for task in done:
            task.result()
        await asyncio.sleep(_HOLD_S)

    async def check(self) -> None:
        """Checks the process; then two ordinary requests must be answered."""
        assert self.fleet["edge-1"].poll() is None
        most_mb = raw_workers.peak_memory_bytes(self.pid) / 1e6
        descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        log.warning(
            "at most %.1f MB, %d descriptors, %d clients left",
            most_mb,
            descriptors,
            self.open_clients,
        )
        for body_bytes in (0, _ORDINARY_BODY_BYTES):
            await stacks.wait_until(
                lambda size=body_bytes: self.is_served(size), "an answer"
            )
        assert most_mb < _MEMORY_MB
        assert descriptors < _MAX_DESCRIPTORS

    async def is_served(self, body_bytes: int = 0) -> bool:
        """Returns whether a request of an ordinary client is answered."""
        url = f"http://{self.node.address}:{self.node.callers_port}/pull/x"
        headers = {
            "Host": edge_fleet.ROUTE_HOST,
            "X-Attempt-Id": f"ordinary{next(self._ids)}",
            "X-Deadline-Ms": "3000",
        }
        try:
            async with self.fleet.http.post(
                url, headers=headers, data=b"x" * body_bytes
            ) as resp:
                await resp.read()
                return resp.status == 200
        except OSError:
            return False

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@pytest.fixture
async def crowd(tmp_path: pathlib.Path) -> AsyncIterator[_Crowd]:
    """An edge with lowered limits and two workers, without clients yet."""
    fleet = edge_fleet.EdgeFleet(directory=tmp_path)
    async with contextlib.AsyncExitStack() as exit_stack:
        exit_stack.push_async_callback(fleet.close)
        await fleet.start()
        node = fleet.add_node("edge-1", "a")
        fleet.start_edge(
            node,
            store_port=fleet.store_port,
            memory_mb=_MEMORY_MB,
            max_descriptors=_MAX_DESCRIPTORS,
        )
        await fleet.apply_manifest(1, _LIMITS)
        for service in ("availability", "export"):
            server = await exit_stack.enter_async_context(
                tcp_server.TcpServer(handler=_respond)
            )
            await exit_stack.enter_async_context(
                raw_workers.registered(
                    fleet, service=service, ports=[server.port], slots=100
                )
            )
        await stacks.wait_until(lambda: fleet.is_ready(node), "readiness")
        new_crowd = _Crowd(fleet=fleet, node=node, pid=fleet["edge-1"].pid)
        exit_stack.push_async_callback(new_crowd.close)
        await stacks.wait_until(new_crowd.is_served, "the worker")
        yield new_crowd


def _pieces(total_bytes: int, piece_bytes: int) -> Iterator[bytes]:
    for start in range(0, total_bytes, piece_bytes):
        yield b"x" * min(piece_bytes, total_bytes - start)


def _announced_body(
    crowd: _Crowd, path: str, piece_bytes: int
) -> Iterator[bytes]:
    yield crowd.head(path, f"Content-Length: {_BODY_BYTES}")
    yield from _pieces(_BODY_BYTES - _MISSING_BYTES, piece_bytes)


def _chunked_body(
    crowd: _Crowd, total_bytes: int, chunk_bytes: int
) -> Iterator[bytes]:
    yield crowd.head("/pull/x", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    chunks_per_write = max(1, _PIECE_BYTES // len(chunk))
    for _ in range(total_bytes // chunk_bytes // chunks_per_write):
        yield chunk * chunks_per_write


def _head_without_end(crowd: _Crowd, field_bytes: int) -> Iterator[bytes]:
    yield crowd.head("/pull/x", method="GET")[:-2]
    for number in range(_ENDLESS_BYTES // field_bytes):
        yield b"X-Field-%d: %b\r\n" % (number, b"x" * field_bytes)


_CLIENTS: dict[str, tuple[int, Callable[[_Crowd], Iterator[bytes]]]] = {
    "long_fields": (_HEAD_CLIENTS, lambda c: _head_without_end(c, 16_000)),
    "short_fields": (_HEAD_CLIENTS, lambda c: _head_without_end(c, 100)),
    "whole_bodies": (
        _BODY_CLIENTS,
        lambda c: _announced_body(c, "/pull/x", _BODY_BYTES),
    ),
    "bodies_in_pieces": (
        _BODY_CLIENTS,
        lambda c: _announced_body(c, "/pull/x", _PIECE_BYTES),
    ),
    "large_chunks": (
        _BODY_CLIENTS,
        lambda c: _chunked_body(c, _BODY_BYTES, _PIECE_BYTES),
    ),
    "tiny_chunks": (_BODY_CLIENTS, lambda c: _chunked_body(c, 200_000, 2)),
    "bodies_to_no_route": (
        _BODY_CLIENTS,
        lambda c: _announced_body(c, "/nowhere/x", _PIECE_BYTES),
    ),
    "pipelined_requests": (
        _HEAD_CLIENTS,
        lambda c: iter(
            [
                c.head("/export/stall", method="GET"),
                *[b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 2000] * 4,
            ]
        ),
    ),
}


@pytest.mark.parametrize("kind", _CLIENTS)
async def test_clients_that_stop_before_the_end(
    crowd: _Crowd, kind: str
) -> None:
    """Guards against clients whose requests fill the memory of an edge."""
    count, pieces = _CLIENTS[kind]
    await crowd.run([crowd.send(pieces(crowd)) for _ in range(count)])
    await crowd.check()


async def test_empty_lines_without_end_close_the_connection(
    crowd: _Crowd,
) -> None:
    """Guards against empty lines that are read without a limit."""
    await crowd.run(
        [
            crowd.send(itertools.repeat(b"\r\n" * 2048, 500))
            for _ in range(_BODY_CLIENTS)
        ]
    )
    await crowd.check()
    assert crowd.open_clients == 0


async def test_bodies_on_connections_that_were_served(crowd: _Crowd) -> None:
    """Guards against clients that are trusted for their earlier requests."""
    await crowd.run(
        [
            crowd.send(
                _announced_body(crowd, "/pull/x", _PIECE_BYTES),
                first=[crowd.head("/pull/x", method="GET")] * 3,
            )
            for _ in range(_BODY_CLIENTS)
        ]
    )
    await crowd.check()


async def test_slow_readers_of_large_responses(crowd: _Crowd) -> None:
    """Guards against responses that nobody reads and that stay in memory."""

    async def read_head() -> None:
        reader, writer = await crowd.connect(reads=False)
        writer.write(crowd.head("/pull/large", method="GET"))
        await reader.readline()

    await crowd.run([read_head() for _ in range(_HEAD_CLIENTS)])
    await crowd.check()


async def test_connections_that_are_left_open(crowd: _Crowd) -> None:
    """Guards against idle connections that use up the descriptors."""
    await crowd.run(
        [crowd.send(iter(())) for _ in range(_MAX_DESCRIPTORS + 50)]
    )
    await crowd.check()


async def test_single_largest_body_is_served(crowd: _Crowd) -> None:
    """Guards against a limit that refuses a single request within limits."""
    assert await crowd.is_served(_LIMITS.max_body_bytes)
    await crowd.check()
