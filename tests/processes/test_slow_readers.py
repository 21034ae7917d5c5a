"""Large responses of a real edge process to callers that read slowly."""

import asyncio
import contextlib
import logging
import pathlib

import aiohttp

from bench import edge_fleet
from tests import stack as stacks
from tests import tcp_server
from tests.processes import raw_workers

log = logging.getLogger(__name__)

_READERS = 40
_BODY_BYTES = 4_000_000
# For each response: the pause threshold of the stream (128 KiB), the socket
# reads beyond it, and the write buffer towards the caller.
_MAX_MEMORY_PER_READER_MB = 0.6


async def _respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Responds to calls; to paths that end with `cut` with half of a body."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        request_id = fields.get("X-Attempt-Id")
        if request_id is None:
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Server-Load: 0,0,64,100\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            continue
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
            b"X-Attempt-Id: %b\r\nContent-Length: %d\r\n\r\n"
            % (request_id.encode(), _BODY_BYTES)
        )
        is_cut = "/cut " in head
        sent_bytes = _BODY_BYTES // 2 if is_cut else _BODY_BYTES
        for _ in range(sent_bytes // 40_000):
            writer.write(b"x" * 40_000)
            await writer.drain()
        if is_cut:
            return


async def _open(
    node: edge_fleet.Node, request_id: str, path: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    # A small limit, so that the test's reader does not buffer the response.
    reader, writer = await asyncio.open_connection(
        node.address, node.callers_port, limit=4096
    )
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: {edge_fleet.ROUTE_HOST}\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n\r\n".encode()
    )
    return reader, writer


async def test_slow_readers_cost_bounded_memory(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against large responses that are held in memory as a whole.

    40 callers read the head of a response of 4 MB and then nothing. A
    response that ends early must not look complete meanwhile.
    """
    fleet = edge_fleet.EdgeFleet(directory=tmp_path)
    async with (
        tcp_server.TcpServer(handler=_respond) as server,
        contextlib.AsyncExitStack() as exit_stack,
    ):
        writers = []
        try:
            await fleet.start()
            node = fleet.add_node("edge-1", "a")
            fleet.start_edge(node, store_port=fleet.store_port)
            await fleet.apply_manifest(1)
            await exit_stack.enter_async_context(
                raw_workers.registered(
                    fleet, service="availability", ports=[server.port], slots=64
                )
            )
            await stacks.wait_until(lambda: fleet.is_ready(node), "readiness")

            async def is_served() -> bool:
                reader, writer = await _open(node, "warm", "/pull/x")
                status_line = await reader.readline()
                writer.transport.abort()
                return b" 200 " in status_line

            await stacks.wait_until(is_served, "the worker")
            pid = fleet["edge-1"].pid
            memory_before_mb = raw_workers.memory_mb(pid)
            for number in range(_READERS):
                reader, writer = await _open(node, f"q{number}", "/pull/x")
                writers.append(writer)
                status_line = await reader.readline()
                assert b" 200 " in status_line
            await asyncio.sleep(1.0)
            added_mb = raw_workers.memory_mb(pid) - memory_before_mb
            log.info("%d slow readers: +%.1f MB", _READERS, added_mb)
            assert added_mb < _MAX_MEMORY_PER_READER_MB * _READERS
            await _check_cut_response(fleet, node)
        finally:
            for writer in writers:
                writer.transport.abort()
            await exit_stack.aclose()
            await fleet.close()


async def _check_cut_response(
    fleet: edge_fleet.EdgeFleet, node: edge_fleet.Node
) -> None:
    headers = {
        "Host": edge_fleet.ROUTE_HOST,
        "X-Attempt-Id": "cut",
        "X-Deadline-Ms": "4000",
    }
    url = f"http://{node.address}:{node.callers_port}/pull/cut"
    received = bytearray()
    try:
        async with fleet.http.get(url, headers=headers) as resp:
            assert resp.status == 200
            async for data in resp.content.iter_any():
                received += data
    except (aiohttp.ClientError, OSError):
        # No second copy of the first bytes: the call was not repeated.
        assert len(received) <= _BODY_BYTES // 2
        return
    raise AssertionError("the response ended early and looks complete")
