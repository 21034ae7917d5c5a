"""Long requests, within the limits, at the same time."""

import asyncio
import collections
import pathlib
import time

from review.common import client
from review.common import edge
from review.common import http1
from review.common import scenario
from review.common import worker

# From the site file: the smaller machines, and `limits` of the manifest.
_MEMORY_MB = 690
_LINK_MBPS = 2500.0
_BODY_BYTES = 60_000_000
_UPLOADS = 7
# All uploads together take 1,680 Mbit/s of the link.
_UPLOAD_S = 2.0
_PART_BYTES = 1_000_000
_WORKERS = 6
_WORK_S = 0.25
_CLIENTS = 12
_PAUSE_S = 0.05
# The machine is in touch from `stability_window_s` after its start.
_UPLOADS_AFTER_S = 4.0
_LOAD_S = 9.0
_MEMORY_CHECK_S = 0.005


def _memory_mb(pid: int) -> float:
    """Returns the memory that a process uses."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


class _MemoryLimit:
    """Kills a process that exceeds its memory, as the platform does.

    Attributes:
        peak_mb: most memory that was seen.
    """

    def __init__(self, platform: scenario.Platform, target: edge.Edge) -> None:
        self._platform = platform
        self._target = target
        self.peak_mb = 0.0

    async def run(self) -> None:
        """Watches the process until it has ended."""
        while self._target.popen.poll() is None:
            used_mb = _memory_mb(self._target.popen.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > _MEMORY_MB:
                self._platform.record.write(
                    f"{self._target.node} uses {used_mb:.0f} MB of "
                    f"{_MEMORY_MB}; the platform kills it"
                )
                self._target.kill()
                return
            await asyncio.sleep(_MEMORY_CHECK_S)


async def _upload(
    platform: scenario.Platform, target: edge.Edge, request_id: str
) -> None:
    """Sends a long booking at an even pace."""
    conn = await client.Connection.open(target.address, target.front_port)
    head = http1.encode(
        "POST /book/upload HTTP/1.1",
        {
            "Host": scenario.HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "5000",
            "Content-Length": str(_BODY_BYTES),
        },
    )
    started_at = time.monotonic()
    status = None
    try:
        conn.writer.write(head)
        for sent in range(0, _BODY_BYTES, _PART_BYTES):
            due_at = started_at + _UPLOAD_S * sent / _BODY_BYTES
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            conn.writer.write(b"x" * min(_PART_BYTES, _BODY_BYTES - sent))
            await conn.writer.drain()
        resp = await http1.read_message(conn.reader)
        status = resp.status if resp is not None else None
    except ConnectionError:
        pass
    conn.close()
    platform.record.write(
        f"{request_id} of {_BODY_BYTES} bytes got {status or 'no answer'}"
    )


async def _send_bookings(
    target: edge.Edge, name: str, until: float, answers: dict[str, int | None]
) -> None:
    """Sends bookings one after the other on one connection."""
    conn = await client.Connection.open(target.address, target.front_port)
    count = 0
    while time.monotonic() < until:
        request_id = f"{name}-{count}"
        resp = await conn.request(
            "POST",
            "/book/1",
            headers={"X-Attempt-Id": request_id, "X-Deadline-Ms": "5000"},
            body=b"one booking",
        )
        # Only requests on kept connections count.
        if count > 0:
            answers[request_id] = resp.status if resp is not None else None
        if resp is None:
            return
        count += 1
        await asyncio.sleep(_PAUSE_S)
    conn.close()


async def case(platform: scenario.Platform) -> int:
    """Runs the case; returns its exit code."""
    record = platform.record
    await platform.start_store()
    await platform.store.put_json(
        "op",
        "config",
        scenario.manifest(
            1, {"book": scenario.route("/book/", "booking", kind="unsafe")}
        ),
    )
    workers = [
        worker.Worker(name=f"i-b{n}", service="booking", work_s=_WORK_S)
        for n in range(_WORKERS)
    ]
    for added in workers:
        await platform.add_worker(added)
    target = platform.add_edge(
        "front-1", link_mbps=_LINK_MBPS, memory_mb=_MEMORY_MB
    )
    await target.wait_until_ready()
    limit = _MemoryLimit(platform, target)
    watch = asyncio.create_task(limit.run())
    answers: dict[str, int | None] = {}
    until = time.monotonic() + _LOAD_S
    load = asyncio.gather(
        *(
            _send_bookings(target, f"client-{n}", until, answers)
            for n in range(_CLIENTS)
        )
    )
    await asyncio.sleep(_UPLOADS_AFTER_S)
    record.write(f"{target.node} uses {limit.peak_mb:.0f} MB")
    if scenario.trouble():
        record.write(f"{_UPLOADS} clients send {_BODY_BYTES} bytes each")
        await asyncio.gather(
            *(_upload(platform, target, f"upload-{n}") for n in range(_UPLOADS))
        )
    await load
    watch.cancel()
    record.write(f"{target.node} used {limit.peak_mb:.0f} MB at most")
    return _check(record, workers, answers)


def _check(
    record: scenario.Record,
    workers: list[worker.Worker],
    answers: dict[str, int | None],
) -> int:
    """Applies the rule LOST; returns the exit code."""
    ran = {run.request_id for w in workers for run in w.runs}
    lost = sorted(
        request_id
        for request_id, status in answers.items()
        if status is None and request_id in ran
    )
    for request_id in lost:
        record.write(
            f"{request_id}: passed on from a kept connection, no answer"
        )
    statuses = collections.Counter(
        str(status) for status in answers.values() if status is not None
    )
    record.write(f"short bookings answered: {dict(statuses)}")
    record.write(f"{len(lost)} short bookings lost; more than 3 break the rule")
    return scenario.BROKEN if len(lost) > 3 else scenario.HELD


if __name__ == "__main__":
    scenario.main(case, folder=pathlib.Path(__file__).parent)
