"""A worker leaves while a machine reads a list of more than 500 workers."""

import asyncio
import pathlib
import time

from review.common import client
from review.common import edge
from review.common import scenario
from review.common import worker

_SERVICE = "booking"
# The first three leave.
_WORKERS = 15
_LEAVING_WORKERS = 3
# Further workers of the platform, so that a reply of the store has not all.
_OTHER_SERVICES = 12
_OTHER_WORKERS = 44
# From the settings: `drain_s` and `stability_window_s`.
_DRAIN_S = 2.5
_STABILITY_WINDOW_S = 3.0
# A draining worker serves for `drain_s` "and a little longer (at times many
# seconds)".
_SERVES_ON_S = 4.5
# A long booking: the mean in the site file is 250 ms, the tail 7 times longer.
_WORK_S = 1.5
# Time from the confirmation to the machine's first bookings.
_FIRST_BOOKINGS_S = 3.3
_BOOKINGS = 30
_ANSWER_S = 6.0


class _Leaving:
    """Lets a worker leave at a chosen moment.

    Attributes:
        confirmed_at: when the store accepted that the worker is draining.
    """

    def __init__(
        self, platform: scenario.Platform, leaving: worker.Worker
    ) -> None:
        self._platform = platform
        self.worker = leaving
        self._task: asyncio.Task[None] | None = None
        self.confirmed_at = float("inf")

    async def start(self) -> None:
        """Reports that the worker is draining; it exits later."""
        self.worker.state = "draining"
        self.confirmed_at = await self._platform.store.put_json(
            "servers", self.worker.name, self.worker.entry()
        )
        self._platform.record.write(
            f"the store has accepted that {self.worker.name} is draining"
        )
        self._task = asyncio.create_task(self._exit())

    async def _exit(self) -> None:
        await asyncio.sleep(_SERVES_ON_S)
        self._platform.record.write(
            f"{self.worker.name} exits; {self.worker.running} requests run"
        )
        await self.worker.close()
        await self._platform.store.put("servers", self.worker.name, None)


async def _add_other_workers(platform: scenario.Platform) -> dict[str, dict]:
    """Starts the other workers; returns their routes."""
    routes = {}
    for number in range(_OTHER_SERVICES):
        service = f"other-{number}"
        routes[service] = scenario.route(f"/{service}/", service, kind="safe")
        for n in range(_OTHER_WORKERS):
            await platform.add_worker(
                worker.Worker(name=f"i-{number:02x}{n:04x}", service=service)
            )
    return routes


async def _book(target: edge.Edge, request_id: str) -> int | None:
    """Sends a booking; returns the status of its answer."""
    conn = await client.Connection.open(target.address, target.front_port)
    resp = await conn.request(
        "POST",
        "/book/1",
        headers={"X-Attempt-Id": request_id, "X-Deadline-Ms": "5000"},
        body=b"one booking",
    )
    conn.close()
    return resp.status if resp is not None else None


async def case(platform: scenario.Platform) -> int:
    """Runs the case; returns its exit code."""
    record = platform.record
    await platform.start_store()
    routes = await _add_other_workers(platform)
    routes["book"] = scenario.route("/book/", _SERVICE, kind="unsafe")
    await platform.store.put_json("op", "config", scenario.manifest(1, routes))
    workers = [
        worker.Worker(
            name=f"i-00000000{n}",
            service=_SERVICE,
            work_s=_WORK_S,
            tells_load=False,
        )
        for n in range(_WORKERS)
    ]
    for added in workers:
        await platform.add_worker(added)
    leaving = [_Leaving(platform, w) for w in workers[:_LEAVING_WORKERS]]
    pages = 0

    async def after_read(path: str, query: dict[str, str]) -> None:
        nonlocal pages
        if path != "/rows-get" or query["table"] != "servers":
            return
        pages += 1
        record.write(
            f"the edge reads the list from key {query.get('from', '')!r}"
        )
        if pages == 1 and scenario.trouble():
            for left in leaving:
                await left.start()

    platform.store.after_read = after_read
    target = platform.add_edge("front-1")
    started_at = time.monotonic()
    await target.wait_until_ready()
    record.write("the edge is ready")
    if not scenario.trouble():
        # The same, after the edge has read the list.
        await asyncio.sleep(0.1)
        for left in leaving:
            await left.start()
    first_bookings_at = max(
        started_at + _STABILITY_WINDOW_S + 0.1,
        leaving[-1].confirmed_at + _FIRST_BOOKINGS_S,
    )
    await asyncio.sleep(first_bookings_at - time.monotonic())
    if pages < 2:
        return scenario.NOT_RUN
    record.write(f"{_BOOKINGS} clients send a booking each")
    async with asyncio.timeout(_ANSWER_S):
        statuses = await asyncio.gather(
            *(_book(target, f"booking-{n}") for n in range(_BOOKINGS))
        )
    return _check(platform, leaving, statuses, started_at)


def _check(
    platform: scenario.Platform,
    leaving: list[_Leaving],
    statuses: list[int | None],
    started_at: float,
) -> int:
    """Applies the rule DRAIN; returns the exit code."""
    record = platform.record
    count = 0
    for left in leaving:
        bound = max(
            left.confirmed_at + _DRAIN_S, started_at + _STABILITY_WINDOW_S
        )
        for run in left.worker.runs:
            if run.at <= bound:
                continue
            count += 1
            status = statuses[int(run.request_id.rpartition("-")[2])]
            record.write(
                f"{run.request_id} reached {run.worker} at "
                f"{record.at(run.at)}, {run.at - left.confirmed_at:.2f} s "
                f"after the confirmation; its client got {status}"
            )
    for status in sorted(set(statuses), key=str):
        record.write(f"{statuses.count(status)} bookings got {status}")
    record.write(
        f"{count} bookings reached a draining worker later than {_DRAIN_S:g} s "
        "after the confirmation, from a machine in touch"
    )
    return scenario.BROKEN if count else scenario.HELD


if __name__ == "__main__":
    scenario.main(case, folder=pathlib.Path(__file__).parent)
