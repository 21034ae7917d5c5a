"""Applies the control budget to the exchanges of the agent."""

import asyncio
import logging
import pathlib
import resource
import time

import mode

from tanagerspoke.coordination import budget
from tanagerspoke.settings import options
from tanagerspoke.transport.operations import agent_metrics
from tanagerspoke.transport.operations import supervision

log = logging.getLogger(__name__)

_SAMPLE_INTERVAL_S = 1.0
_STATM_PATH = pathlib.Path("/proc/self/statm")


class ControlMeter(mode.Service):
    """The host's control budget, with a clock, usage samples and metrics.

    Processor time is that of the whole agent process, because all its work,
    claims included, belongs to the control plane.
    """

    def __init__(
        self, *, cfg: options.ControlBudget, metrics: agent_metrics.AgentMetrics
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._budget = budget.ControlBudget(
            bytes_per_s=cfg.bytes_per_s,
            cpu_share=cfg.cpu_share,
            memory_bytes=cfg.memory_mb * 1_000_000,
            now=time.monotonic(),
        )
        self._sampled_cpu_s = time.process_time()

    def request(
        self, kind: budget.Kind, size_bytes: int
    ) -> budget.Grant | None:
        """Returns a grant for an exchange, or None if it must be deferred."""
        return self._budget.request(
            kind=kind, size_bytes=size_bytes, now=time.monotonic()
        )

    def settle(self, grant: budget.Grant, used_bytes: int) -> None:
        """Ends an exchange that sent and received `used_bytes` in total."""
        self._budget.settle(grant, used_bytes=used_bytes, now=time.monotonic())

    def charge(self, kind: budget.Kind, size_bytes: int) -> None:
        """Charges an exchange that a peer initiated."""
        self._budget.charge(
            kind=kind, size_bytes=size_bytes, now=time.monotonic()
        )

    @mode.Service.task
    @supervision.restarted
    async def _sample_usage(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            cpu_s = time.process_time()
            self._budget.charge_cpu(
                kind=budget.Kind.PROCESS,
                cpu_s=cpu_s - self._sampled_cpu_s,
                now=time.monotonic(),
            )
            self._sampled_cpu_s = cpu_s
            self._sample_memory()
            self._metrics.update_spending(self._budget)

    def _sample_memory(self) -> None:
        was_exceeded = self._budget.memory_exceeded
        self._budget.record_memory(_resident_bytes())
        if self._budget.memory_exceeded and not was_exceeded:
            log.warning("control_memory_exceeded")


def _resident_bytes() -> int:
    try:
        pages = int(_STATM_PATH.read_text().split()[1])
    except (OSError, IndexError, ValueError):
        # Without /proc, the peak resident size is used instead.
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * resource.getpagesize()
