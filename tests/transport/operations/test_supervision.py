"""Tests of the restart of a service's tasks."""

import asyncio
import logging

import mode
import pytest

from tanagerspoke.transport.operations import supervision


class _Service(mode.Service):
    """A service whose task fails a number of times, then runs."""

    def __init__(self, *, failures: int) -> None:
        super().__init__()
        self.failures = failures
        self.starts = 0
        self.running = asyncio.Event()

    @mode.Service.task
    @supervision.restarted
    async def _work(self) -> None:
        self.starts += 1
        if self.starts <= self.failures:
            raise RecursionError("nested too deeply")
        self.running.set()
        await asyncio.Event().wait()


async def test_task_starts_again_after_an_error(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against one unexpected error that ends the whole process."""
    monkeypatch.setattr(supervision, "_RESTART_DELAY_S", 0.01)
    service = _Service(failures=3)
    await service.start()
    async with asyncio.timeout(20):
        await service.running.wait()
    assert service.starts == 4
    assert service.crash_reason is None
    failed = [r for r in caplog.records if r.msg == "task_restarted"]
    assert len(failed) == 3
    assert failed[0].levelno == logging.ERROR
    assert failed[0].exc_info is not None
    await service.stop()


async def test_stop_ends_a_failing_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that delays the stop of its service."""
    monkeypatch.setattr(supervision, "_RESTART_DELAY_S", 60.0)
    service = _Service(failures=100)
    await service.start()
    await asyncio.sleep(0)
    async with asyncio.timeout(20):
        await service.stop()
