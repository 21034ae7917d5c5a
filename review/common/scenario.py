"""Set-up, record and exit codes of a case."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import os
import pathlib
import sys
import tempfile
import time
from typing import Any

from review.common import edge
from review.common import store
from review.common import worker

HELD = 0
BROKEN = 1
NOT_RUN = 2
HOST = "review.example"


class Record:
    """Writes `record.txt` of a case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._started_at
        self._file.write(f"{at_s:8.3f} s  {text}\n")
        self._file.flush()

    def at(self, monotonic_s: float) -> str:
        """Returns a time of the steady clock in seconds since the start."""
        return f"{monotonic_s - self._started_at:.3f} s"


def route(
    prefix: str, service: str, *, kind: str, **fields: Any
) -> dict[str, Any]:
    """Returns a route of a manifest."""
    return {
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_s": 3,
        "target_latency_s": 0.8,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    } | fields


def manifest(version: int, routes: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Returns a manifest."""
    services = {r["service"] for r in routes.values()}
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {
            name: {
                "health_path": worker.HEALTH_PATH,
                "max_conns": 980,
                "protocol": "h1",
                "tls": False,
            }
            for name in sorted(services)
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }


class Platform:
    """The store with its rows, the workers and the edges of a case."""

    def __init__(self, *, record: Record, directory: pathlib.Path) -> None:
        self.record = record
        self.store = store.Store()
        self.store_address = ""
        self.workers: list[worker.Worker] = []
        self.edges: list[edge.Edge] = []
        self._directory = directory

    async def start_store(self) -> None:
        """Starts the store."""
        address = edge.unused_address()
        port = await self.store.start(address)
        self.store_address = f"{address}:{port}"

    async def add_worker(self, added: worker.Worker) -> None:
        """Starts a worker and registers it."""
        await added.start("127.0.0.1")
        self.workers.append(added)
        await self.store.put_json("servers", added.name, added.entry())

    def add_edge(self, node: str, **options: Any) -> edge.Edge:
        """Starts an edge."""
        started = edge.start(
            node=node,
            store=self.store_address,
            directory=self._directory,
            **options,
        )
        self.edges.append(started)
        return started

    async def close(self) -> None:
        """Ends everything that was started."""
        for started in self.edges:
            started.kill()
        for stopped in self.workers:
            await stopped.close()
        await self.store.close()


def trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(
    case: Callable[[Platform], Awaitable[int]], *, folder: pathlib.Path
) -> None:
    """Runs a case and exits with its result."""
    record = Record(folder / "record.txt")
    record.write(f"trouble: {'yes' if trouble() else 'no'}")
    try:
        code = asyncio.run(_run(case, record))
    except Exception as exc:  # noqa: BLE001
        record.write(f"the case could not run: {exc!r}")
        code = NOT_RUN
    names = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}
    record.write(f"result: {names[code]}")
    sys.stdout.write((folder / "record.txt").read_text())
    raise SystemExit(code)


async def _run(
    case: Callable[[Platform], Awaitable[int]], record: Record
) -> int:
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        platform = Platform(record=record, directory=pathlib.Path(directory))
        try:
            async with asyncio.timeout(110.0):
                return await case(platform)
        finally:
            await platform.close()
