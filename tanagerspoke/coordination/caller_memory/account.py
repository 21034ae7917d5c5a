"""One count of the bytes that all callers of a process hold."""

import dataclasses

from tanagerspoke.coordination.caller_memory import limits

# A holding makes progress with each further 16 KiB: a caller that sends single
# bytes must not look as if it were about to finish.
_PROGRESS_BYTES = 16_384


class Holding:
    """Bytes that one caller holds or has announced.

    Attributes:
        owner: what holds the bytes; not read here.
        is_dispatched: whether an upstream may have the call; such holdings
            are never closed for others.
        moved_bytes: bytes that were received, or sent, at the last progress.
        progressed_at: monotonic seconds of the last progress.
    """

    __slots__ = (
        "is_dispatched",
        "moved_bytes",
        "owner",
        "progressed_at",
        "size_bytes",
    )

    def __init__(self, *, owner: object) -> None:
        self.owner = owner
        self.size_bytes = 0
        self.is_dispatched = False
        self.moved_bytes = 0
        self.progressed_at = 0.0

    def record_progress(self, moved_bytes: int, now: float) -> None:
        """Records the total number of bytes that were received or sent."""
        if moved_bytes - self.moved_bytes >= _PROGRESS_BYTES:
            self.moved_bytes = moved_bytes
            self.progressed_at = now


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Whether bytes may be held, and which holdings to close for them."""

    granted: bool
    closed: tuple[Holding, ...] = ()


_GRANTED = Decision(granted=True)
_REFUSED = Decision(granted=False)


class CallerMemory:
    """Grants bytes up to a limit; large and stalled holdings make room."""

    def __init__(self, *, memory_limits: limits.MemoryLimits) -> None:
        self._limits = memory_limits
        self._holdings: set[Holding] = set()
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes of all holdings."""
        return self._used_bytes

    def set_limits(self, memory_limits: limits.MemoryLimits) -> None:
        """Replaces the limits; what is held already stays."""
        self._limits = memory_limits

    def resize(self, holding: Holding, size_bytes: int, now: float) -> Decision:
        """Decides whether a holding may have this size from now on.

        If not, it keeps its size. The holdings in `closed` are released.
        """
        if not holding.size_bytes:
            holding.progressed_at = now
            self._holdings.add(holding)
        used_bytes = self._used_bytes - holding.size_bytes + size_bytes
        if used_bytes <= self._limits.large_bytes:
            self._used_bytes = used_bytes
            holding.size_bytes = size_bytes
            return _GRANTED
        is_large = size_bytes > self._limits.ordinary_request_bytes
        bound_bytes = (
            self._limits.large_bytes if is_large else self._limits.total_bytes
        )
        closed: tuple[Holding, ...] = ()
        if used_bytes > bound_bytes and size_bytes > holding.size_bytes:
            closed = self._make_room(
                holding, used_bytes - bound_bytes, is_large, now
            )
            if not closed:
                if not holding.size_bytes:
                    self._holdings.discard(holding)
                return _REFUSED
        self._used_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes
        return Decision(granted=True, closed=closed) if closed else _GRANTED

    def release(self, holding: Holding) -> None:
        """Ends a holding; without effect if it has ended."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self._used_bytes -= holding.size_bytes
            holding.size_bytes = 0
            holding.moved_bytes = 0
            holding.is_dispatched = False

    def _make_room(
        self, holding: Holding, missing_bytes: int, is_large: bool, now: float
    ) -> tuple[Holding, ...]:
        """Releases holdings of this total size, or none if that's too few."""
        candidates = [
            other
            for other in self._holdings
            if other is not holding
            and not other.is_dispatched
            and self._gives_way(other, is_large, now)
        ]
        # Largest, and longest without progress, first.
        candidates.sort(
            key=lambda h: h.size_bytes * (now - h.progressed_at), reverse=True
        )
        chosen = []
        for candidate in candidates:
            if missing_bytes <= 0:
                break
            chosen.append(candidate)
            missing_bytes -= candidate.size_bytes
        if missing_bytes > 0:
            return ()
        for candidate in chosen:
            self.release(candidate)
        return tuple(chosen)

    def _gives_way(self, other: Holding, is_large: bool, now: float) -> bool:
        if now - other.progressed_at >= self._limits.stalled_s:
            return True
        # Ordinary requests go before large ones that are in progress.
        return (
            not is_large
            and other.size_bytes > self._limits.ordinary_request_bytes
        )
