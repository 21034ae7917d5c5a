"""A worker that said that it leaves is listed again by a late heartbeat."""

import asyncio
import pathlib
import time
from typing import Any

from review.common import client
from review.common import edge
from review.common import scenario
from review.common import worker

_WORKERS = 15
_LEAVING_WORKERS = 3
# From the settings: `drain_s`.
_DRAIN_S = 2.5
# A long booking: the mean in the site file is 250 ms, the tail 7 times longer.
_WORK_S = 1.5
# Times from the removal of the leaving workers' entries. Their last heartbeats
# are sent before and done 3.3 s later (kinds, `platform_lost`: 1 to 6 s).
_HEARTBEATS_SENT_S = -0.3
_HEARTBEATS_DONE_S = 3.0
_BOOKINGS_S = 4.3
# They serve for `drain_s` "and a little longer (at times many seconds)".
_EXIT_S = 5.2
_FIRST_BOOKINGS = 30
_BOOKINGS = 30
_WARM_UP_S = 3.5
_ANSWER_S = 6.0


class _Answers:
    """Answers to bookings.

    Attributes:
        leaving_passed_on_at: when an answer with `Server-Leaving` came, by the
            name of the worker.
        statuses: status by request id.
    """

    def __init__(self, workers: list[worker.Worker]) -> None:
        self._workers = workers
        self.leaving_passed_on_at: dict[str, float] = {}
        self.statuses: dict[str, int | None] = {}

    async def book(self, target: edge.Edge, request_id: str) -> None:
        """Sends a booking and keeps its answer."""
        conn = await client.Connection.open(target.address, target.front_port)
        resp = await conn.request(
            "POST",
            "/book/1",
            headers={"X-Attempt-Id": request_id, "X-Deadline-Ms": "6000"},
            body=b"one booking",
        )
        conn.close()
        self.statuses[request_id] = resp.status if resp is not None else None
        if resp is None or resp.headers.get("server-leaving") != "1":
            return
        for ran_at in self._workers:
            if any(run.request_id == request_id for run in ran_at.runs):
                self.leaving_passed_on_at.setdefault(
                    ran_at.name, time.monotonic()
                )


async def _at(start: float, offset_s: float) -> None:
    await asyncio.sleep(max(0.0, start + offset_s - time.monotonic()))


async def case(platform: scenario.Platform) -> int:
    """Runs the case; returns its exit code."""
    record = platform.record
    store = platform.store
    await platform.start_store()
    await store.put_json(
        "op",
        "config",
        scenario.manifest(
            1, {"book": scenario.route("/book/", "booking", kind="unsafe")}
        ),
    )
    workers = [
        worker.Worker(
            name=f"i-b{n:02}",
            service="booking",
            work_s=_WORK_S,
            tells_load=False,
        )
        for n in range(_WORKERS)
    ]
    for added in workers:
        await platform.add_worker(added)
    target = platform.add_edge("front-1")
    await target.wait_until_ready()
    answers = _Answers(workers)
    # The edge learns that the service does not tell its load.
    await asyncio.gather(
        *(answers.book(target, f"warm-up-{n}") for n in range(_WORKERS))
    )
    await asyncio.sleep(_WARM_UP_S)

    leaving = workers[:_LEAVING_WORKERS]
    removed_at = time.monotonic() - _HEARTBEATS_SENT_S
    heartbeats: dict[str, Any] = {w.name: w.entry() for w in leaving}
    if not scenario.trouble():
        for name, entry in heartbeats.items():
            await store.put_json("servers", name, entry)
    first = [
        asyncio.create_task(answers.book(target, f"first-{n}"))
        for n in range(_FIRST_BOOKINGS)
    ]
    await _at(removed_at, 0.0)
    for left in leaving:
        left.state = "draining"
        await store.put("servers", left.name, None)
        record.write(f"{left.name} leaves; its entry is removed")
    await asyncio.gather(*first)
    for name, passed_on_at in answers.leaving_passed_on_at.items():
        record.write(
            f"{name}: answer with Server-Leaving passed on at "
            f"{record.at(passed_on_at)}"
        )
    await _at(removed_at, _HEARTBEATS_DONE_S)
    if scenario.trouble():
        for name, entry in heartbeats.items():
            await store.put_json("servers", name, entry)
            record.write(f"{name}: its last heartbeat is done late")
    await _at(removed_at, _BOOKINGS_S)
    second = [
        asyncio.create_task(answers.book(target, f"booking-{n}"))
        for n in range(_BOOKINGS)
    ]
    await _at(removed_at, _EXIT_S)
    for left in leaving:
        record.write(f"{left.name} exits; {left.running} requests run")
        await left.close()
    async with asyncio.timeout(_ANSWER_S):
        await asyncio.gather(*second)
    return _check(record, leaving, answers)


def _check(
    record: scenario.Record, leaving: list[worker.Worker], answers: _Answers
) -> int:
    """Applies the rule DRAIN; returns the exit code."""
    if not answers.leaving_passed_on_at:
        record.write("no answer with Server-Leaving was passed on")
        return scenario.NOT_RUN
    count = 0
    for left in leaving:
        passed_on_at = answers.leaving_passed_on_at.get(left.name)
        if passed_on_at is None:
            continue
        for run in left.runs:
            if run.at <= passed_on_at + _DRAIN_S:
                continue
            count += 1
            record.write(
                f"{run.request_id} reached {left.name} "
                f"{run.at - passed_on_at:.2f} s after the machine had passed "
                "on an answer with Server-Leaving; its client got "
                f"{answers.statuses[run.request_id]}"
            )
    record.write(
        f"{count} bookings reached a leaving worker later than {_DRAIN_S:g} s"
    )
    return scenario.BROKEN if count else scenario.HELD


if __name__ == "__main__":
    scenario.main(case, folder=pathlib.Path(__file__).parent)
