"""Workers that send bytes without end or sense to a real edge process."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import logging
import pathlib
import time

import aiohttp
import pytest

from bench import edge_fleet
from tests import stack as stacks
from tests import tcp_server
from tests.processes import raw_workers

log = logging.getLogger(__name__)

_WORKERS = 50
# Calls of each of two services: further ones until half of the workers were
# contacted.
_MIN_CALLS = 60
_MAX_CALLS = 300
# 50 heads and buffered bodies at their limits (128 and 256 KiB), the sockets'
# buffers beside them, and the memory that the allocator keeps.
_MAX_ADDED_MEMORY_MB = 96
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# (start of the response, bytes that follow until the connection is closed)
_PATTERNS = (
    (b"", b"x" * 4096),
    (b"", b"\r\n" * 2048),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 500),
    (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 4096),
    (_CHUNKED, b"0" * 4096),
    (_CHUNKED + b"5;a=", b"x" * 4096),
    (_CHUNKED + b"0\r\n", b"A: b\r\n" * 500),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", b"x" * 4096),
    (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
    # A byte at a time.
    (b"HTTP/1.1 200 OK\r\nA: ", b"x"),
    (_CHUNKED, b"1\r\nx\r\n"),
)


@contextlib.asynccontextmanager
async def _nonsense_workers(
    contacted: set[int], *, pause_s: float
) -> AsyncIterator[list[int]]:
    """Yields the ports of workers that respond with the patterns.

    `contacted` receives the numbers of the workers that were called. They
    pause between two units of their patterns.
    """

    def handler_for(number: int):
        start, unit = _PATTERNS[number % len(_PATTERNS)]

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            contacted.add(number)
            writer.write(start)
            while True:
                writer.write(unit)
                await writer.drain()
                await asyncio.sleep(pause_s)

        return handle

    async with contextlib.AsyncExitStack() as exit_stack:
        servers = [
            await exit_stack.enter_async_context(
                tcp_server.TcpServer(handler=handler_for(number))
            )
            for number in range(_WORKERS)
        ]
        yield [server.port for server in servers]


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(") ")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / 100


async def _call(
    fleet: edge_fleet.EdgeFleet, node: edge_fleet.Node, path: str, number: int
) -> tuple[int, float]:
    """Returns the status, 0 for a broken response, and the duration in s."""
    started_at = time.monotonic()
    headers = {
        "Host": edge_fleet.ROUTE_HOST,
        "X-Attempt-Id": f"{path.strip('/')}{number}",
        "X-Deadline-Ms": "3000",
    }
    url = f"http://{node.address}:{node.callers_port}{path}x"
    try:
        async with fleet.http.get(url, headers=headers) as resp:
            await resp.read()
            status = resp.status
    except aiohttp.ClientError:
        status = 0
    return status, time.monotonic() - started_at


@pytest.mark.parametrize(("pause_s", "call_interval_s"), [(0.001, 0.1), (0, 0)])
async def test_nonsense_from_fifty_workers_costs_bounded_memory(
    tmp_path: pathlib.Path, pause_s: float, call_interval_s: float
) -> None:
    """Guards against workers whose bytes fill an edge's memory or time.

    Their callers get an error within the deadline, and calls of another
    service are served meanwhile. The workers are slow and called one after
    another, or they send without a pause and are called at once.
    """
    contacted: set[int] = set()
    async with (
        _nonsense_workers(contacted, pause_s=pause_s) as ports,
        contextlib.AsyncExitStack() as exit_stack,
    ):
        # The fleet's ports are not reserved: workers that bind theirs later
        # could take the port of the store.
        fleet = edge_fleet.EdgeFleet(directory=tmp_path)
        try:
            await fleet.start()
            node = fleet.add_node("edge-1", "a")
            fleet.start_edge(node, store_port=fleet.store_port)
            await fleet.apply_manifest(1)
            port = stacks.free_port()
            await fleet.start_worker(
                "good", "/pull/", zone="a", port=port, advertised_port=port
            )
            await exit_stack.enter_async_context(
                raw_workers.registered(
                    fleet, service="catalogue", ports=ports, slots=3
                )
            )
            await stacks.wait_until(lambda: fleet.is_ready(node), "readiness")

            async def is_served() -> bool:
                status, _ = await _call(fleet, node, "/pull/", 0)
                return status == 200

            await stacks.wait_until(is_served, "the good worker")
            pid = fleet["edge-1"].pid
            memory_before_mb = raw_workers.memory_mb(pid)
            cpu_before_s = _cpu_s(pid)
            most_memory_mb = memory_before_mb
            started_at = time.monotonic()

            async def run_calls(
                path: str, interval_s: float
            ) -> list[tuple[int, float]]:
                pending = []
                while len(pending) < _MIN_CALLS or (
                    len(contacted) < _WORKERS // 2 and len(pending) < _MAX_CALLS
                ):
                    call = _call(fleet, node, path, len(pending) + 1)
                    pending.append(asyncio.create_task(call))
                    await asyncio.sleep(interval_s)
                return await asyncio.gather(*pending)

            calls = asyncio.gather(
                run_calls("/read/", call_interval_s), run_calls("/pull/", 0.1)
            )
            while not calls.done():
                most_memory_mb = max(most_memory_mb, raw_workers.memory_mb(pid))
                await asyncio.sleep(0.05)
            nonsense, served = await calls
            cpu_s = _cpu_s(pid) - cpu_before_s
            elapsed_s = time.monotonic() - started_at
            log.info(
                "%d of %d workers contacted: +%.1f MB, %.2f s of processor "
                "time in %.1f s",
                len(contacted),
                _WORKERS,
                most_memory_mb - memory_before_mb,
                cpu_s,
                elapsed_s,
            )
            assert len(contacted) >= _WORKERS // 2
            assert fleet["edge-1"].poll() is None
            assert {status for status, _ in served} == {200}
            assert all(status != 200 for status, _ in nonsense)
            # Deadline of 3 s, and a stream that has begun may be read 5 s more.
            assert max(duration_s for _, duration_s in nonsense) < 8 + 2
            assert most_memory_mb - memory_before_mb < _MAX_ADDED_MEMORY_MB
        finally:
            await exit_stack.aclose()
            await fleet.close()
