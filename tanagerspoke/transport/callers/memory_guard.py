"""Carries out the decisions about the memory that callers hold."""

from collections.abc import Callable
import time
from typing import Protocol

from tanagerspoke.coordination.caller_memory import account
from tanagerspoke.coordination.caller_memory import limits

# Requests up to this size aren't counted: a descriptor limit of 1,535 allows
# 767 connections, whose uncounted requests hold 3 MB.
UNCOUNTED_BYTES = 4096
# Parsed or partly parsed headers are kept as bytes and as text.
HEAD_COST = 3
# A streamed response that its caller reads slowly: 0.78 MB in the trial with
# 64 slow readers.
STREAM_BYTES = 786_432
# Pages that are used in part, and the reads that fill them: 200 bodies of
# 360 KB cost up to 40 KB each beyond their size.
_HOLDING_BYTES = 32_768
# Each read of a body that has no announced length would need a decision.
_GROWTH_STEP_BYTES = 65_536


class Owner(Protocol):
    """What holds bytes and can give them up."""

    def close_for_memory(self) -> None:
        """Gives up the bytes; the account no longer counts them."""


class MemoryGuard:
    """Counts the bytes of callers; without limits, it grants everything.

    Args:
        memory_limits: None if there are no limits.
        clock: returns monotonic seconds.
        on_closed: called with the number of holdings that were closed for
            another one.
    """

    def __init__(
        self,
        *,
        memory_limits: limits.MemoryLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
        on_closed: Callable[[int], object] = lambda count: None,
    ) -> None:
        self._memory = None
        if memory_limits is not None:
            self._memory = account.CallerMemory(memory_limits=memory_limits)
        self._clock = clock
        self._on_closed = on_closed

    @property
    def used_bytes(self) -> int:
        """Bytes that are held or announced."""
        return 0 if self._memory is None else self._memory.used_bytes

    def set_limits(self, memory_limits: limits.MemoryLimits | None) -> None:
        """Replaces the limits; what is held already is not closed.

        Without effect if the memory of the process was not known, or is no
        longer.
        """
        if self._memory is not None and memory_limits is not None:
            self._memory.set_limits(memory_limits)

    def grow(self, holding: account.Holding, size_bytes: int) -> bool:
        """Grows a holding to at least a size; returns whether it may.

        Sizes are rounded up, so that bytes that arrive in small parts need few
        decisions.
        """
        if (
            self._memory is None
            or size_bytes <= holding.size_bytes
            or size_bytes <= UNCOUNTED_BYTES
        ):
            return True
        size_bytes += (
            _GROWTH_STEP_BYTES if holding.size_bytes else _HOLDING_BYTES
        )
        decision = self._memory.resize(holding, size_bytes, self._clock())
        if decision.closed:
            self._on_closed(len(decision.closed))
        for closed in decision.closed:
            closed.owner.close_for_memory()
        return decision.granted

    def record_progress(
        self, holding: account.Holding, moved_bytes: int
    ) -> None:
        """Records the total of a holding's bytes that were moved."""
        if holding.size_bytes:
            holding.record_progress(moved_bytes, self._clock())

    def restart_stall(self, holding: account.Holding) -> None:
        """Counts a holding's time without progress from now on."""
        holding.progressed_at = self._clock()

    def release(self, holding: account.Holding) -> None:
        """Ends a holding; without effect if it has ended."""
        if self._memory is not None and holding.size_bytes:
            self._memory.release(holding)
