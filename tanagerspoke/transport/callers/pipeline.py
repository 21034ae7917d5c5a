"""Counts what a connection receives behind its running request."""

from collections.abc import Callable

from tanagerspoke.coordination.caller_memory import account
from tanagerspoke.transport.callers import memory_guard

# A request that was parsed and waits for the one before it.
_MESSAGE_BYTES = 2048


class Pipeline:
    """Bytes that were received since no request was waiting.

    Args:
        guard: counts the memory of all callers.
        on_drop: called when the bytes may not be held any longer.
    """

    __slots__ = ("_guard", "_holding", "_on_drop", "size_bytes")

    def __init__(
        self, *, guard: memory_guard.MemoryGuard, on_drop: Callable[[], object]
    ) -> None:
        self._guard = guard
        self._on_drop = on_drop
        self._holding: account.Holding | None = None
        self.size_bytes = 0

    def add(self, size_bytes: int, messages: int) -> None:
        """Counts a read, after which this number of requests wait."""
        self.size_bytes += memory_guard.HEAD_COST * size_bytes
        if self._holding is None:
            self._holding = account.Holding(owner=self)
        if not self._guard.grow(
            self._holding, self.size_bytes + _MESSAGE_BYTES * messages
        ):
            self._on_drop()

    def clear(self) -> None:
        """Starts again: no request waits."""
        self.size_bytes = 0
        if self._holding is not None:
            self._guard.release(self._holding)

    def close_for_memory(self) -> None:
        """Implements `memory_guard.Owner`."""
        self._on_drop()
