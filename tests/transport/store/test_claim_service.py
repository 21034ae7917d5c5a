"""The claim service carries out the protocol over a platform client."""

import asyncio
import time

import pytest

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.settings import options
from tanagerspoke.standins import table as standin
from tanagerspoke.transport.operations import agent_metrics
from tanagerspoke.transport.store import claim_service


class FakePlatform:
    """A table and an object store without sockets, with faults."""

    def __init__(self) -> None:
        self.table = standin.Table()
        self.objects: dict[str, bytes] = {}
        self.lose_answers = 0
        self.objects_down = False
        self.gate = asyncio.Event()
        self.gate.set()

    async def transact(self, transaction):
        await self.gate.wait()
        reply = self.table.transact(transaction, now=time.monotonic())
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.PlatformUnavailableError("lost")
        return reply

    async def get(self, key):
        return self.table.get(key, at=time.monotonic())

    async def put_object(self, *, key, data):
        if self.objects_down:
            raise exceptions.PlatformUnavailableError("down")
        return self.objects.setdefault(key, data) is data

    async def get_object(self, key):
        return self.objects.get(key)


def _claim(attempt_id: str) -> agent.ClaimRequest:
    return agent.ClaimRequest(
        client_account="account",
        service="booking",
        key="a/b?c",
        digest="digest",
        attempt_id=attempt_id,
        deadline_ms=60_000,
    )


def _complete(attempt_id: str, result) -> agent.CompleteRequest:
    return agent.CompleteRequest(
        client_account="account",
        service="booking",
        key="a/b?c",
        digest="digest",
        attempt_id=attempt_id,
        result=result,
    )


def _service(platform, metrics=None) -> claim_service.ClaimService:
    metrics = metrics or agent_metrics.AgentMetrics()
    return claim_service.ClaimService(
        cfg=options.Store(writes_per_s=1_000.0),
        platform=platform,
        metrics=metrics,
    )


@pytest.mark.parametrize("size", [10, 100_000])
async def test_replays_the_answer_byte_for_byte(size: int) -> None:
    """Guards against a large answer that is cut or lost."""
    platform = FakePlatform()
    metrics = agent_metrics.AgentMetrics()
    service = _service(platform, metrics)
    platform.lose_answers = 1
    assert await service.claim(_claim("one")) == agent.Granted()
    body = bytes(range(256)) * (size // 256 + 1)
    headers = (("Content-Type", "text/plain"),)
    finished = agent.Finished(status=201, headers=headers, body=body)
    await service.complete(_complete("one", finished))
    assert await service.claim(_claim("two")) == agent.Replay(
        status=201, headers=headers, body=body
    )
    assert len(platform.objects) == (size > 8_192)
    value = metrics.registry.get_sample_value
    for result in ("granted", "replay"):
        labels = {"result": result}
        assert value("tanagerspoke_claims_total", labels) == 1.0
    labels = {"operation": "transact"}
    assert value("tanagerspoke_platform_errors_total", labels) == 1.0
    assert value("tanagerspoke_claim_group_rows_count") == 3.0
    await service.on_stop()


async def test_object_store_down_leaves_the_outcome_unknown() -> None:
    """Guards against waiting for the object store, or a false replay."""
    platform = FakePlatform()
    platform.objects_down = True
    service = _service(platform)
    await service.claim(_claim("one"))
    finished = agent.Finished(status=200, headers=(), body=b"x" * 9_000)
    await service.complete(_complete("one", finished))
    assert await service.claim(_claim("two")) == agent.OutcomeUnknown()
    await service.on_stop()


async def test_cancelled_claim_is_released() -> None:
    """Guards against a stuck claim of a gateway that was killed."""
    platform = FakePlatform()
    platform.gate.clear()
    service = _service(platform)
    task = asyncio.create_task(service.claim(_claim("one")))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    platform.gate.set()
    assert await service.flush(timeout_s=10.0) == 0
    assert await service.claim(_claim("two")) == agent.Granted()
    await service.on_stop()
