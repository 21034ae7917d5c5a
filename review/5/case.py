"""One client whose attempt id is not UTF-8, among many other clients."""

import asyncio
import collections
import pathlib
import time

from review.common import client
from review.common import edge
from review.common import http1
from review.common import scenario
from review.common import worker

_WORKERS = 3
_WORK_S = 0.25
# Many users come at once: more than the workers' nine slots can take in time,
# so that some requests are refused.
_CLIENTS = 60
_WAVES = 6
_WAVE_INTERVAL_S = 2.0
_TIMEOUT_S = 3.0
_DEADLINE_MS = 6167
# The rule: unanswered half a second after the route's `timeout_s`, eight or
# more, and over a quarter of the requests that last longer than it.
_SLACK_S = 0.5
_MAX_UNANSWERED = 7
# The letter e with an acute accent in Latin-1: valid in a header value
# (obs-text), but not UTF-8.
_ODD_ID = b"r\xe9servation-%d"
_SOUND_ID = b"reservation-%d"


def _head(request_id: bytes) -> bytes:
    return http1.encode(
        "POST /book/1 HTTP/1.1",
        {
            "Host": scenario.HOST,
            "X-Deadline-Ms": str(_DEADLINE_MS),
            "Content-Length": "1",
        },
    ).replace(b"\r\n\r\n", b"\r\nX-Attempt-Id: " + request_id + b"\r\n\r\nx")


async def _ask(
    target: edge.Edge, request_id: bytes
) -> tuple[int | None, float]:
    """Sends a request; returns its status and the seconds until its end.

    The client gives up at its deadline.
    """
    conn = await client.Connection.open(target.address, target.front_port)
    started_at = time.monotonic()
    status = None
    try:
        async with asyncio.timeout(_DEADLINE_MS / 1000):
            conn.writer.write(_head(request_id))
            resp = await http1.read_message(conn.reader)
            status = resp.status if resp is not None else None
    except (TimeoutError, ConnectionError):
        pass
    conn.close()
    return status, time.monotonic() - started_at


async def _send_wave(
    target: edge.Edge,
    wave: int,
    answers: dict[str, tuple[int | None, float]],
) -> None:
    """Sends a booking of each client; the odd client's is in the middle."""
    odd_id = (_ODD_ID if scenario.trouble() else _SOUND_ID) % wave
    sound = [f"wave-{wave}-client-{n}" for n in range(_CLIENTS)]
    ids = [request_id.encode() for request_id in sound]
    ids.insert(_CLIENTS // 2, odd_id)
    results = await asyncio.gather(*(_ask(target, each) for each in ids))
    for request_id, result in zip(ids, results, strict=True):
        if request_id != odd_id:
            answers[request_id.decode()] = result


async def case(platform: scenario.Platform) -> int:
    """Runs the case; returns its exit code."""
    await platform.start_store()
    await platform.store.put_json(
        "op",
        "config",
        scenario.manifest(
            1,
            {
                "book": scenario.route(
                    "/book/", "booking", kind="unsafe", timeout_s=_TIMEOUT_S
                )
            },
        ),
    )
    workers = [
        worker.Worker(name=f"i-b{n}", service="booking", work_s=_WORK_S)
        for n in range(_WORKERS)
    ]
    for added in workers:
        await platform.add_worker(added)
    target = platform.add_edge("front-1")
    started_at = time.monotonic()
    await target.wait_until_ready()
    # In touch from `stability_window_s` after the start.
    await asyncio.sleep(max(0.0, started_at + 3.0 - time.monotonic()))
    answers: dict[str, tuple[int | None, float]] = {}
    waves = []
    for wave in range(_WAVES):
        waves.append(asyncio.create_task(_send_wave(target, wave, answers)))
        await asyncio.sleep(_WAVE_INTERVAL_S)
    await asyncio.gather(*waves)
    return _check(platform.record, workers, answers)


def _check(
    record: scenario.Record,
    workers: list[worker.Worker],
    answers: dict[str, tuple[int | None, float]],
) -> int:
    """Applies the rule to the sound clients; returns the exit code."""
    ran = {run.request_id for w in workers for run in w.runs}
    long = {
        request_id: answer
        for request_id, answer in answers.items()
        if answer[1] > _TIMEOUT_S
    }
    unanswered = sorted(
        request_id
        for request_id, (_, took_s) in long.items()
        if took_s > _TIMEOUT_S + _SLACK_S
    )
    for request_id in unanswered:
        status, took_s = answers[request_id]
        record.write(
            f"{request_id}: "
            + ("reached a worker" if request_id in ran else "reached no worker")
            + f", {status or 'no answer'} until {took_s:.2f} s"
        )
    statuses = collections.Counter(
        str(status or "no answer") for status, _ in answers.values()
    )
    record.write(f"sound bookings: {dict(statuses)}")
    record.write(
        f"{len(long)} lasted longer than {_TIMEOUT_S:g} s, {len(unanswered)} "
        f"had no answer {_SLACK_S:g} s later"
    )
    broken = (
        len(unanswered) > _MAX_UNANSWERED and len(unanswered) > len(long) / 4
    )
    return scenario.BROKEN if broken else scenario.HELD


if __name__ == "__main__":
    scenario.main(case, folder=pathlib.Path(__file__).parent)
