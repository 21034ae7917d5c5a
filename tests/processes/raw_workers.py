"""Registers workers that a test runs itself with the stand-in of the store."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import pathlib

import msgspec

from bench import edge_fleet
from tanagerspoke.platform import wire

# The store removes an entry that is not renewed for some seconds.
_HEARTBEAT_S = 0.5


@contextlib.asynccontextmanager
async def registered(
    fleet: edge_fleet.EdgeFleet, *, service: str, ports: list[int], slots: int
) -> AsyncIterator[None]:
    """Keeps an entry of a worker at each port in the store."""
    await _write_entries(fleet, service, ports, slots, sequence=1)

    async def renew() -> None:
        sequence = 1
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            sequence += 1
            await _write_entries(fleet, service, ports, slots, sequence)

    heartbeats = asyncio.create_task(renew())
    try:
        yield
    finally:
        heartbeats.cancel()
        await asyncio.gather(heartbeats, return_exceptions=True)


async def _write_entries(
    fleet: edge_fleet.EdgeFleet,
    service: str,
    ports: list[int],
    slots: int,
    sequence: int,
) -> None:
    rows = tuple(
        wire.TransactionRow(
            table=wire.WORKERS_TABLE,
            key=f"raw-{port}",
            value=json.dumps(
                {
                    "service": service,
                    "address": f"127.0.0.1:{port}",
                    "zone": "a",
                    "slots": slots,
                    "state": "ready",
                    "seq_no": sequence,
                    "born": 1000,
                }
            ).encode(),
        )
        for port in ports
    )
    url = f"http://127.0.0.1:{fleet.store_port}/rows-tx"
    data = msgspec.json.encode(wire.Transaction(set_keys=rows))
    async with fleet.http.post(url, data=data) as resp:
        assert resp.status == 200


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    return _status_kib(pid, "VmRSS") / 1024


def peak_memory_bytes(pid: int) -> int:
    """Returns the largest resident memory that a process has had so far."""
    return _status_kib(pid, "VmHWM") * 1024


def _status_kib(pid: int, name: str) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith(name)]
    return int(line.split()[1])
