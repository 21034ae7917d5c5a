"""`tanagerspokectl explain` on the log lines of running edges."""

import asyncio
from collections.abc import Iterator
import logging
import pathlib
import time

import pytest

from tanagerspoke.commands import explain
from tanagerspoke.protocol import key_digests
from tanagerspoke.settings import edge
from tanagerspoke.transport import suspend_clock
from tanagerspoke.transport.operations import logs
from tests.transport import edge_stack

_KEY = "0123456789abcdefghij"
_LIMITS = edge.UsageLimits(window_s=5.0, overage=0.1, tolerance_calls=20.0)
_BOUND_S = 2.0
_CONFIG = edge_stack.manifest(
    7,
    tenants={
        "north": {"api_keys": [_KEY]},
        "small": {"api_keys": ["s" * 20], "rate_per_s": 0.1, "burst": 1},
    },
)


@pytest.fixture
def log_path(tmp_path: pathlib.Path) -> Iterator[pathlib.Path]:
    """Yields the file to which the edge of the test logs."""
    path = tmp_path / "n0.log"
    handler = logging.FileHandler(path)
    handler.setFormatter(logs.JsonFormatter(program="tanagerspoke-edge"))
    root = logging.getLogger()
    level = root.level
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    yield path
    root.setLevel(level)
    root.removeHandler(handler)
    handler.close()


def _read(path: pathlib.Path) -> str:
    return path.read_text()


async def _call(
    cluster: edge_stack.EdgeStack,
    request_id: str,
    key: str = _KEY,
    path: str = "/read/x",
    deadline_ms: int = 15_000,
) -> int:
    async with cluster.session.get(
        cluster.url(path),
        headers={
            "Host": edge_stack.HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        | ({"Api-Key": key} if key else {}),
    ) as resp:
        await resp.read()
        return resp.status


def _explain(
    request_id: str, path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> str:
    explain.explain(request_id, path)
    return capsys.readouterr().out


async def test_key_and_limit(
    log_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a 401 or 429 without a reason, and against shown keys."""
    unknown = "unknown" * 3
    async with edge_stack.run(
        workers=1, usage_limits=_LIMITS, config=_CONFIG
    ) as cluster:
        await cluster.wait_ready()

        async def is_served() -> bool:
            return await _call(cluster, "warm") == 200

        await edge_stack.wait_for(is_served)
        assert await _call(cluster, "no-key", key="") == 401
        assert await _call(cluster, "bad-key", key=unknown) == 401

        async def is_limited() -> bool:
            return await _call(cluster, "limited", key="s" * 20) == 429

        await edge_stack.wait_for(is_limited)
    out = _explain("no-key", log_path, capsys)
    assert "api_key_rejected, status 401" in out
    assert "reason: the request has no API key" in out
    assert "config_version 7" in out
    out = _explain("bad-key", log_path, capsys)
    assert "reason: no client account has the API key" in out
    assert "what to do: check that the caller uses a current key" in out
    out = _explain("limited", log_path, capsys)
    assert "reason: the client account is over its usage limit" in out
    for figure in (
        "client account small",
        "calls_per_s 0.1",
        "burst_calls 1",
        "decided_by n0",
        "retry_after_s ",
    ):
        assert figure in out
    logged = _read(log_path)
    for key in (_KEY, unknown, "s" * 20):
        assert key not in logged
        assert key_digests.digest(key) not in logged


async def test_proof(
    log_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refusal for lack of a proof that shows no age."""
    offset_s = 0.0
    monkeypatch.setattr(
        suspend_clock,
        "now_s",
        lambda: time.clock_gettime(time.CLOCK_BOOTTIME) + offset_s,
    )
    async with edge_stack.run(
        workers=1, config=_CONFIG, revocation=edge.Revocation(bound_s=_BOUND_S)
    ) as cluster:
        await cluster.wait_ready()

        async def is_served() -> bool:
            return await _call(cluster, "warm") == 200

        await edge_stack.wait_for(is_served)
        cluster.store.down = True
        offset_s = 5.0
        assert await _call(cluster, "unproven") == 503
    out = _explain("unproven", log_path, capsys)
    assert "config_unconfirmed, status 503" in out
    assert "reason: this node's proof that its configuration is the newest" in (
        out
    )
    assert "proof_age_s 5." in out or "proof_age_s 6." in out
    assert "max_proof_age_s 1.6 s" in out
    assert "proof_source store" in out


async def test_capacity(
    log_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a refusal for lack of room without the load behind it."""
    async with edge_stack.run(workers=1) as cluster:
        await cluster.wait_ready()
        (worker,) = cluster.workers
        assert await _call(cluster, "warm") == 200
        worker.behavior = "hold"
        held = [
            asyncio.create_task(_call(cluster, f"h{n}", path="/write/x"))
            for n in range(3)
        ]

        async def is_full() -> bool:
            return len(worker.ran) == 4

        await edge_stack.wait_for(is_full)
        assert await _call(cluster, "no-room", deadline_ms=300) == 503
        worker.release.set()
        assert await asyncio.gather(*held) == [200] * 3
        await cluster.store.put("op", "evacuate/a", b"{}")

        async def is_evacuated() -> bool:
            await _call(cluster, "no-zone")
            return "no_upstream" in _read(log_path)

        await edge_stack.wait_for(is_evacuated)
    out = _explain("no-room", log_path, capsys)
    assert "queue_timeout, status 503" in out
    assert "reason: the call waited for a free slot of an upstream" in out
    for figure in ("queued 0", "utilization ", "slots 3", "full 1"):
        assert figure in out
    assert "deadline_ms 300.0 ms" in out
    out = _explain("no-zone", log_path, capsys)
    assert "reason: no upstream of the service may get calls" in out
    assert "eligible 0" in out
    assert 'zone_evacuated {"zone": "a"' in out
