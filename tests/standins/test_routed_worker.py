"""The stand-ins of a routed worker and of the metadata store."""

from collections.abc import AsyncIterator
import json
import pathlib

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


class _Running:
    """A store and a worker inside the test's event loop."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        self.store_at = _endpoint()
        self.store = metadata_store.MetadataStoreStandin(
            listen=self.store_at, lapse_s=0.5
        )
        self.cfg = edge_standins.StandinWorker(
            name="w1",
            service="shop",
            availability_zone="a",
            listen=_endpoint(),
            advertised=_endpoint(),
            store=self.store_at,
            run_log=directory / "w1.runs",
            work_ms=1.0,
            heartbeat_s=0.1,
            drain_s=0.1,
        )
        self.worker = routed_worker.RoutedWorkerStandin(cfg=self.cfg)
        self.session = aiohttp.ClientSession(
            f"http://127.0.0.1:{self.cfg.listen.port}"
        )

    def notes(self) -> list[dict[str, object]]:
        lines = self.cfg.run_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def listed(self) -> list[str]:
        url = f"http://127.0.0.1:{self.store_at.port}/rows-get"
        params = {"table": wire.WORKERS_TABLE, "part": ""}
        async with self.session.get(url, params=params) as resp:
            return [row["key"] for row in (await resp.json())["rows"]]

    async def wait_listed(self, expected: list[str]) -> None:
        async def found() -> bool:
            return await self.listed() == expected

        await stack.wait_until(found, f"{expected} to be listed")


@pytest.fixture
async def running(tmp_path: pathlib.Path) -> AsyncIterator[_Running]:
    found = _Running(directory=tmp_path)
    await found.store.start()
    await found.worker.start()
    try:
        yield found
    finally:
        await found.worker.close()
        await found.store.close()
        await found.session.close()


async def test_answer_is_signed_and_noted(running: _Running) -> None:
    """Guards against a soak whose oracle knows nothing of a run."""
    async with running.session.post(
        "/write/1?n=1", data=b"b", headers=_HEADERS
    ) as resp:
        body = await resp.read()
        assert resp.headers[headers.SIGNATURE] == routed_worker.signature(
            request_id="q1", body=body
        )
    (note,) = running.notes()
    assert (note["event"], note["id"]) == ("run", "q1")
    assert (note["method"], note["path"]) == ("POST", "/write/1?n=1")
    assert note["body"] == routed_worker.digest(b"b")


@pytest.mark.parametrize(
    ("changed", "worker_faults", "status"),
    [
        ({headers.EXPECTED_UPSTREAM: "w2"}, {}, 421),
        ({}, {"shed": 1.0}, 503),
    ],
)
async def test_refused_requests_are_not_run(
    running: _Running,
    changed: dict[str, str],
    worker_faults: dict[str, float],
    status: int,
) -> None:
    """Guards against a refusal of a request that ran."""
    async with running.session.put(
        "/control/faults", json=worker_faults
    ) as resp:
        assert resp.status == 204
    async with running.session.get("/x", headers=_HEADERS | changed) as resp:
        assert resp.status == status
    assert not running.cfg.run_log.exists()


@pytest.mark.parametrize("fault", ["lost", "truncated"])
async def test_lost_answers_have_run(running: _Running, fault: str) -> None:
    """Guards against a fault that only looks like the one it is named for."""
    async with running.session.put("/control/faults", json={fault: 1.0}):
        pass
    with pytest.raises(aiohttp.ClientError):
        async with running.session.post("/x", headers=_HEADERS) as resp:
            await resp.read()
    assert [note["id"] for note in running.notes()] == ["q1"]


async def test_entry_follows_the_worker(running: _Running) -> None:
    """Guards against entries that the adapter cannot read, or that stay."""
    await running.wait_listed(["w1"])
    url = f"http://127.0.0.1:{running.store_at.port}/rows-get"
    params = {"table": wire.WORKERS_TABLE, "part": ""}
    async with running.session.get(url, params=params) as resp:
        reply = msgspec.json.decode(await resp.read(), type=wire.RowsReply)
    rows = reply.rows
    entry = manifest.decode_worker(
        worker_id="w1", value=rows[0].value, services=None
    )
    assert entry.upstream.port == running.cfg.advertised.port
    await running.worker.close()
    await running.wait_listed([])
    assert running.notes()[-1]["event"] == "leaving"
    await running.worker.start()


async def test_silent_worker_loses_its_entry(running: _Running) -> None:
    """Guards against a store stand-in that lists the dead for ever."""
    await running.wait_listed(["w1"])
    running.store.faults = faults.StoreFaults(resets=True)

    async def lapsed() -> bool:
        return running.store.keys(wire.WORKERS_TABLE) == []

    await stack.wait_until(lapsed, "the entry to lapse")
    running.store.faults = faults.StoreFaults()
    await running.wait_listed(["w1"])
