"""A late copy of a refusal meets the same request, sent once more."""

import asyncio
import collections
import pathlib
import random
import time

from review.common import client
from review.common import edge
from review.common import garbling
from review.common import http1
from review.common import scenario
from review.common import worker

_SEED = 1
# From the site file, as in its day scale-1: garble, how = "extra late",
# share = 0.6, x = 0.03, for_s = 5, and srv_grey, how = "shed all", x = 0.55,
# for_s = 8.5, on the same service. One of the platform's two workers is
# affected.
_COPIED_SHARE = 0.03
_GARBLE_S = 5.0
_REJECTED_SHARE = 0.55
_REJECT_S = 8.5
_ROUNDS = 3
_WORK_S = 0.05
_CLIENTS = 10
_PAUSE_S = 0.02
_CALM_S = 1.0


class _Worker(garbling.GarblingWorker):
    """Rejects a share of the requests, also when it is not full."""

    def __init__(self, *, seed: int, **options) -> None:
        super().__init__(seed=seed, **options)
        self._reject_rng = random.Random(seed + 1)
        self.rejected_share = 0.0
        self.rejected = 0

    async def run(
        self,
        request: http1.Message,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs or rejects a request."""
        if self._reject_rng.random() >= self.rejected_share:
            await super().run(request, request_id, writer)
            return
        self.rejected += 1
        headers = {"X-Not-Executed": "1", "X-Attempt-Id": request_id}
        writer.write(
            http1.encode(
                "HTTP/1.1 503 Service Unavailable",
                headers | self.usual_headers(),
                b"",
            )
        )


async def _send_bookings(
    target: edge.Edge, name: str, until: float, answers: dict[str, int | None]
) -> None:
    """Sends bookings one after the other; takes `Retry-After` as it is."""
    count = 0
    conn = None
    while time.monotonic() < until:
        request_id = f"{name}-{count}"
        count += 1
        if conn is None:
            conn = await client.Connection.open(
                target.address, target.front_port
            )
        resp = await conn.request(
            "POST",
            f"/book/{request_id}",
            headers={"X-Attempt-Id": request_id, "X-Deadline-Ms": "5000"},
            body=b"one booking",
        )
        answers[request_id] = resp.status if resp is not None else None
        pause_s = _PAUSE_S
        if resp is None or resp.status != 200:
            conn.close()
            conn = None
            if resp is not None:
                retry_after = resp.headers.get("retry-after", "0")
                pause_s = min(1.0, float(retry_after))
        await asyncio.sleep(pause_s)
    if conn is not None:
        conn.close()


async def case(platform: scenario.Platform) -> int:
    """Runs the case; returns its exit code."""
    await platform.start_store()
    await platform.store.put_json(
        "op",
        "config",
        scenario.manifest(
            1,
            {
                "book": scenario.route("/book/", "booking", kind="unsafe"),
                "look": scenario.route("/look/", "catalogue", kind="safe"),
            },
        ),
    )
    booking = _Worker(
        name="i-b0",
        service="booking",
        work_s=_WORK_S,
        tells_load=False,
        seed=_SEED,
    )
    await platform.add_worker(booking)
    await platform.add_worker(worker.Worker(name="i-c0", service="catalogue"))
    target = platform.add_edge("front-1")
    await target.wait_until_ready()
    answers: dict[str, int | None] = {}
    until = time.monotonic() + _ROUNDS * (_REJECT_S + _CALM_S)
    load = asyncio.gather(
        *(
            _send_bookings(target, f"client-{n}", until, answers)
            for n in range(_CLIENTS)
        )
    )
    if scenario.trouble():
        for _ in range(_ROUNDS):
            booking.rejected_share = _REJECTED_SHARE
            booking.copied_share = _COPIED_SHARE
            await asyncio.sleep(_GARBLE_S)
            booking.copied_share = 0.0
            await asyncio.sleep(_REJECT_S - _GARBLE_S)
            booking.rejected_share = 0.0
            await asyncio.sleep(_CALM_S)
    await load
    return _check(platform, booking, answers)


def _check(
    platform: scenario.Platform,
    booking: _Worker,
    answers: dict[str, int | None],
) -> int:
    """Applies REFUSED and TWICE; returns the exit code."""
    record = platform.record
    runs = collections.Counter(run.request_id for run in booking.runs)
    for line in booking.copies:
        record.write(line)
    broken = 0
    for request_id, status in answers.items():
        if status in (408, 421, 429, 503) and runs[request_id]:
            broken += 1
            record.write(f"{request_id} was answered {status} and has run")
        if runs[request_id] > 1:
            broken += 1
            record.write(f"{request_id} ran {runs[request_id]} times")
    statuses = collections.Counter(str(status) for status in answers.values())
    record.write(
        f"{len(answers)} bookings, answered {dict(statuses)}; the worker ran "
        f"{len(booking.runs)} and rejected {booking.rejected}"
    )
    record.write(f"{broken} bookings broke REFUSED or TWICE")
    return scenario.BROKEN if broken else scenario.HELD


if __name__ == "__main__":
    scenario.main(case, folder=pathlib.Path(__file__).parent)
