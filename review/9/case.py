"""QUOTA: the only machine of a zone is stopped and started again.

Meanwhile a tenant is over its usage cap.
"""

import asyncio
import bisect
import pathlib
import time

from review.common2 import client
from review.common2 import fleet as fleets
from review.common2 import script

# One of the accounts that front-a-1 owns while all three machines are listed.
_TENANT, _KEY = "tenant-4", "hotkey"
# The usage cap of the tenant, and the sheet's bounds.
_RATE_PER_S, _BURST = 40, 40
_WINDOW_S, _OVERAGE, _TOLERANCE = 5.0, 0.1, 20
_ALLOWED = (_RATE_PER_S * _WINDOW_S + _BURST) * (1 + _OVERAGE) + _TOLERANCE
# The tenant usually sends its cap divided by 1.6, and now 7.5 times that.
_SENT_PER_S = 7.5 * _RATE_PER_S / 1.6
_CLIENTS = 40
# Traffic starts 12 s after the machines.
_TRAFFIC_AT_S, _STOPPED_AT_S, _END_AT_S = 12.0, 18.0, 36.0
# Time from the end of the stopped process to its start.
_RESTART_DELAY_S = 1.0


def _most_in_window(runs: list[tuple[float, float]]) -> tuple[int, float]:
    """Returns the most requests both sent and run in a window, and its start.

    Args:
        runs: times at which each request that ran was sent and run.
    """
    most, start = 0, 0.0
    by_run = sorted(runs, key=lambda run: run[1])
    run_times = [run_at for _, run_at in by_run]
    for first, _ in runs:
        end = bisect.bisect_right(run_times, first + _WINDOW_S)
        count = sum(sent_at >= first for sent_at, _ in by_run[:end])
        if count > most:
            most, start = count, first
    return most, start


async def _start(fleet: fleets.Fleet) -> None:
    """Starts the deployment and waits until its machines are ready."""
    for index in range(8):
        await fleet.add_worker(
            name=f"i-{index}",
            service="catalogue",
            zone="abc"[index % 3],
            slots=8,
            work_s=0.02,
        )
    tenants = {
        _TENANT: {
            "api_keys": [_KEY],
            "rate_per_s": _RATE_PER_S,
            "burst": _BURST,
        }
    }
    routes = {"r-1": fleets.route(prefix="/read/", service="catalogue")}
    await fleet.store.put(
        "op", "config", fleets.manifest(1, routes, ["catalogue"], tenants)
    )
    for zone in "abc":
        await fleet.add_edge(f"front-{zone}-1", zone, bootstrap=True)
    for edge in fleet.edges.values():
        await edge.wait_until_ready()


async def _run_client(
    fleet: fleets.Fleet, caller: int, sent: list[client.Sent]
) -> None:
    """One client of the tenant; each request has its own connection."""
    interval_s = _CLIENTS / _SENT_PER_S
    due_at = fleet.started_at + _TRAFFIC_AT_S + caller * interval_s / _CLIENTS
    while due_at < fleet.started_at + _END_AT_S:
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        due_at += interval_s
        connection = fleet.connect(fleet.choose("abc"[caller % 3], caller))
        sent.append(
            await connection.send(
                host=fleets.HOST,
                target="/read/1",
                key=_KEY,
                tenant=_TENANT,
                deadline_s=1.0,
            )
        )
        connection.close()


def _record(
    fleet: fleets.Fleet, sent: list[client.Sent]
) -> list[tuple[float, float]]:
    """Writes the record; returns the times of sending and of running."""
    sent_at = {request.request_id: request.sent_at for request in sent}
    runs = []
    for worker in fleet.workers:
        for run in worker.runs:
            runs.append((sent_at[run["id"]], run["at"]))
            fleet.note(
                "run",
                id=run["id"],
                worker=run["worker"],
                tenant=run["tenant"],
                began=round(run["at"] - fleet.started_at, 3),
            )
    for request in sent:
        fleet.note(
            "request",
            id=request.request_id,
            machine=request.edge,
            sent=round(request.sent_at - fleet.started_at, 3),
            status=request.status,
            answered=round(request.answered_at - fleet.started_at, 3),
        )
    for at, machine, method, call in fleet.store.calls:
        if "edge_nodes" in call or method == "POST":
            fleet.note(
                "store call",
                machine=machine,
                call=f"{method} {call}",
                served=round(at - fleet.started_at, 3),
            )
    return runs


async def _case(fleet: fleets.Fleet, trouble: bool) -> bool:
    await _start(fleet)
    sent: list[client.Sent] = []
    tasks = [
        asyncio.create_task(_run_client(fleet, caller, sent))
        for caller in range(_CLIENTS)
    ]
    await asyncio.sleep(fleet.started_at + _STOPPED_AT_S - time.monotonic())
    if trouble:
        await fleet.roll("front-a-1", restart_delay_s=_RESTART_DELAY_S)
    await asyncio.gather(*tasks)
    runs = _record(fleet, sent)
    most, start = _most_in_window(runs)
    fleet.note(
        "result",
        sent=len(sent),
        run=len(runs),
        most_in_window=most,
        window_starts=round(start - fleet.started_at, 3),
        allowed=_ALLOWED,
    )
    fleet.say(f"most in {_WINDOW_S} s: {most}, allowed {_ALLOWED}")
    return most <= _ALLOWED


if __name__ == "__main__":
    script.main(
        str(pathlib.Path(__file__).parent),
        _case,
        bounds=fleets.ACCOUNT_BOUNDS,
    )
