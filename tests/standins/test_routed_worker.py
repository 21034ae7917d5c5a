"""The stand-ins of a worker and of the metadata store."""

import asyncio
from collections.abc import AsyncIterator
import json
import pathlib
import re

import aiohttp
import msgspec
import pytest

from tanagerspoke.platform import headers
from tanagerspoke.platform import manifest
from tanagerspoke.platform import wire
from tanagerspoke.settings import edge_standins
from tanagerspoke.settings import options
from tanagerspoke.standins import faults
from tanagerspoke.standins import metadata_store
from tanagerspoke.standins import routed_worker
from tests import stack

_HEADERS = {headers.REQUEST_ID: "q1", headers.EXPECTED_UPSTREAM: "w1"}


def _endpoint() -> options.Endpoint:
    return options.Endpoint(address="127.0.0.1", port=stack.free_port())


class _StoreAndWorker:
    """A store and a worker in the event loop of the test."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        self.store_endpoint = _endpoint()
        self.store = metadata_store.MetadataStoreStandin(
            listen=self.store_endpoint, entry_ttl_s=0.5
        )
        self.cfg = edge_standins.StandinWorker(
            name="w1",
            service="shop",
            availability_zone="a",
            listen=_endpoint(),
            advertised=_endpoint(),
            store=self.store_endpoint,
            run_log=directory / "w1.runs",
            work_ms=1.0,
            heartbeat_s=0.1,
            drain_s=0.1,
        )
        self.worker = routed_worker.RoutedWorkerStandin(cfg=self.cfg)
        self.session = aiohttp.ClientSession(
            f"http://127.0.0.1:{self.cfg.listen.port}"
        )

    def run_log_events(self) -> list[dict[str, object]]:
        lines = self.cfg.run_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def listed_workers(self) -> list[str]:
        url = f"http://127.0.0.1:{self.store_endpoint.port}/rows-get"
        params = {"table": wire.WORKERS_TABLE, "part": ""}
        async with self.session.get(url, params=params) as resp:
            return [row["key"] for row in (await resp.json())["rows"]]

    async def wait_until_listed(self, expected: list[str]) -> None:
        async def is_listed() -> bool:
            return await self.listed_workers() == expected

        await stack.wait_until(is_listed, f"{expected} to be listed")


@pytest.fixture
async def stand_ins(tmp_path: pathlib.Path) -> AsyncIterator[_StoreAndWorker]:
    running = _StoreAndWorker(directory=tmp_path)
    await running.store.start()
    await running.worker.start()
    try:
        yield running
    finally:
        await running.worker.close()
        await running.store.close()
        await running.session.close()


async def test_response_is_signed_and_logged(
    stand_ins: _StoreAndWorker,
) -> None:
    """Guards against a run that is missing from the worker's run log.

    The soak test checks the calls against this log.
    """
    async with stand_ins.session.post(
        "/write/1?n=1", data=b"b", headers=_HEADERS
    ) as resp:
        body = await resp.read()
        assert resp.headers[headers.SIGNATURE] == routed_worker.signature(
            request_id="q1", body=body
        )
    (event,) = stand_ins.run_log_events()
    assert (event["event"], event["id"]) == ("run", "q1")
    assert (event["method"], event["path"]) == ("POST", "/write/1?n=1")
    assert event["body"] == routed_worker.digest(b"b")


@pytest.mark.parametrize(
    ("changed_headers", "worker_faults", "status"),
    [
        ({headers.EXPECTED_UPSTREAM: "w2"}, {}, 421),
        ({}, {"shed": 1.0}, 503),
    ],
)
async def test_refused_requests_are_not_run(
    stand_ins: _StoreAndWorker,
    changed_headers: dict[str, str],
    worker_faults: dict[str, float],
    status: int,
) -> None:
    """Guards against a request that is run although it is refused."""
    async with stand_ins.session.put(
        "/control/faults", json=worker_faults
    ) as resp:
        assert resp.status == 204
    async with stand_ins.session.get(
        "/x", headers=_HEADERS | changed_headers
    ) as resp:
        assert resp.status == status
    assert not stand_ins.cfg.run_log.exists()


async def test_refusal_with_a_pause_is_logged(
    stand_ins: _StoreAndWorker,
) -> None:
    """Guards against pauses that the soak test cannot check."""
    async with stand_ins.session.put(
        "/control/faults", json={"shed": 1.0, "pause_s": 1.5}
    ):
        pass
    async with stand_ins.session.get("/x", headers=_HEADERS) as resp:
        assert resp.headers["Retry-After"] == "1.500"
    path = routed_worker.refusal_log_path(stand_ins.cfg.run_log)
    refusal = json.loads(path.read_text())
    assert (refusal["id"], refusal["pause_s"]) == ("q1", 1.5)


@pytest.mark.parametrize("fault", ["lost", "truncated"])
async def test_requests_with_lost_responses_have_run(
    stand_ins: _StoreAndWorker, fault: str
) -> None:
    """Guards against lost or truncated responses without a run."""
    async with stand_ins.session.put("/control/faults", json={fault: 1.0}):
        pass
    with pytest.raises(aiohttp.ClientError):
        async with stand_ins.session.post("/x", headers=_HEADERS) as resp:
            await resp.read()
    assert [event["id"] for event in stand_ins.run_log_events()] == ["q1"]


async def test_copy_precedes_the_next_response_on_a_connection(
    stand_ins: _StoreAndWorker,
) -> None:
    """Guards against a soak whose late copies never meet a request."""
    async with stand_ins.session.put(
        "/control/faults", json={"shed": 1.0, "late_copies": 1.0}
    ):
        pass
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", stand_ins.cfg.listen.port
    )
    received = []
    for request_id in ("q1", "q2"):
        lines = ["GET /x HTTP/1.1", "Host: shop.example"]
        lines += [f"{headers.REQUEST_ID}: {request_id}"]
        lines += [f"{headers.EXPECTED_UPSTREAM}: w1", "", ""]
        writer.write("\r\n".join(lines).encode())
        received.append(await reader.readuntil(b"\r\n\r\n"))
    received.append(await reader.readuntil(b"\r\n\r\n"))
    writer.close()
    assert [
        re.search(rb"X-Attempt-Id: (\S+)", head)[1] for head in received
    ] == [b"q1", b"q1", b"q2"]


async def test_entry_follows_the_worker(stand_ins: _StoreAndWorker) -> None:
    """Guards against worker entries that are unreadable or never removed."""
    await stand_ins.wait_until_listed(["w1"])
    url = f"http://127.0.0.1:{stand_ins.store_endpoint.port}/rows-get"
    params = {"table": wire.WORKERS_TABLE, "part": ""}
    async with stand_ins.session.get(url, params=params) as resp:
        reply = msgspec.json.decode(await resp.read(), type=wire.RowsReply)
    rows = reply.rows
    entry = manifest.decode_worker(
        worker_id="w1", value=rows[0].value, services=None
    )
    assert entry.upstream.port == stand_ins.cfg.advertised.port
    await stand_ins.worker.close()
    await stand_ins.wait_until_listed([])
    assert stand_ins.run_log_events()[-1]["event"] == "leaving"
    await stand_ins.worker.start()


async def test_silent_worker_loses_its_entry(
    stand_ins: _StoreAndWorker,
) -> None:
    """Guards against a store that keeps the entry of a silent worker.

    The worker reports again afterwards and must be listed again.
    """
    await stand_ins.wait_until_listed(["w1"])
    stand_ins.store.faults = faults.StoreFaults(resets=True)

    async def expired() -> bool:
        return stand_ins.store.keys(wire.WORKERS_TABLE) == []

    await stack.wait_until(expired, "the entry to expire")
    stand_ins.store.faults = faults.StoreFaults()
    await stand_ins.wait_until_listed(["w1"])


async def test_cold_worker_states_its_time(
    stand_ins: _StoreAndWorker,
) -> None:
    """Guards against a cold worker that the edge can't recognise."""
    async with stand_ins.session.put(
        "/control/cold", json={"for_s": 30.0}
    ) as resp:
        assert resp.status == 204
    async with stand_ins.session.get(routed_worker.HEALTH_PATH) as resp:
        assert 25_000 < int(resp.headers[headers.COLD_MS]) <= 30_000
    row = (wire.WORKERS_TABLE, "w1")

    async def is_listed_as_cold() -> bool:
        entry = manifest.decode_worker(
            worker_id="w1",
            value=stand_ins.store._rows[row].value,
            services=None,
        )
        return 25.0 < entry.remaining_cold_s <= 30.0

    await stack.wait_until(is_listed_as_cold, "a cold entry")
