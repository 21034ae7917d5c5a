"""Tests of `tanagerspokectl where` at a running edge."""

import asyncio
from collections.abc import Iterator
import json
import logging
from typing import Any

import pytest

from tanagerspoke.commands import where
from tests import stack
from tests.transport import edge_stack


@pytest.fixture(autouse=True)
def _restored_logging() -> Iterator[None]:
    """Undoes the logging of the command, which tests that follow would see."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


async def _ask(cluster: edge_stack.EdgeStack, **options: Any) -> None:
    port = cluster.cfgs[0].metrics_port
    arguments = {"host": edge_stack.HOST, "path": "/read/x"} | options
    # The command runs an event loop of its own.
    await asyncio.to_thread(
        where.where, url=f"http://127.0.0.1:{port}", **arguments
    )


async def test_explanation_sends_nothing(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a question that reaches a worker or changes the edge."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        before = [worker.requests for worker in cluster.workers]
        await _ask(cluster, method="POST", account="a", deadline_ms=500)
        out = capsys.readouterr().out
        assert "route r-read (shop.example/read/): may be repeated" in out
        assert "deadline 500 ms" in out
        assert "waits for an upstream" in out
        assert "w1 (zone a): 0.0 of 3 slots in use" in out
        assert "no fresh load report; possible after the wait" in out
        assert "note: the client account is not taken into account" in out
        assert [worker.requests for worker in cluster.workers] == before
        url = f"http://127.0.0.1:{cluster.cfgs[0].metrics_port}/metrics"
        async with cluster.session.get(url) as resp:
            assert 'queue_length{service="shop"}' not in await resp.text()


async def test_split_and_refusal_as_json(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an explanation of one part of a split only."""
    async with edge_stack.run() as cluster:
        await cluster.wait_ready()
        routes = json.loads(edge_stack.manifest(1))["routes"]
        split = [
            {"service": "shop", "weight": 3},
            {"service": "empty", "weight": 1},
        ]
        changed = edge_stack.manifest(
            2,
            routes={"r": routes["r-read"] | {"traffic_split": split}},
            services={"shop": {"health_path": "/healthy"}, "empty": {}},
        )
        await cluster.store.put("op", "config", changed)

        async def is_split() -> bool:
            await _ask(cluster, json=True)
            explanation = json.loads(capsys.readouterr().out)
            return explanation["config_version"] == 2

        await edge_stack.wait_for(is_split)
        await _ask(cluster, json=True)
        services = json.loads(capsys.readouterr().out)["services"]
        assert [(s["service"], s["share"]) for s in services] == [
            ("shop", 0.75),
            ("empty", 0.25),
        ]
        assert services[0]["outcome"] == "wait"
        assert services[1]["refusal"]["code"] == "no_upstream"
        assert services[1]["refusal"]["status"] == 503
        assert services[1]["refusal"]["retry_after_s"] == 0.5


async def test_errors(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against tracebacks, and against answers on the callers' port."""
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        for options, code, message in (
            ({"path": "/other"}, 1, "no route has host shop.example"),
            ({"path": "other"}, 2, "a path that starts with /"),
            ({"deadline_ms": -1.0}, 2, "deadline must be"),
            ({"method": "GTE"}, 2, "unknown method"),
        ):
            with pytest.raises(SystemExit) as caught:
                await _ask(cluster, **options)
            assert caught.value.code == code
            assert message in capsys.readouterr().err
        query = "/where?host=shop.example&path=/read/x"
        async with cluster.request("GET", query) as resp:
            assert resp.status == 404
        readiness = cluster.cfgs[0].readiness.port
        url = f"http://127.0.0.1:{readiness}{query}"
        async with cluster.session.get(url) as resp:
            assert resp.status == 404
    with pytest.raises(SystemExit) as caught:
        await asyncio.to_thread(
            where.where,
            url=f"http://127.0.0.1:{stack.free_port()}",
            host="h",
            path="/",
        )
    assert caught.value.code == 1
    assert "the edge can't be reached" in capsys.readouterr().err
