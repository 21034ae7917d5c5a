"""Rate at which calls of an account arrive at one node."""

_SLOT_S = 1.0


class ArrivalRate:
    """Weighted count of two slots, which approximates a sliding window."""

    def __init__(self) -> None:
        """Creates a state without arrivals."""
        self._slot = 0
        self._count = 0
        self._previous_count = 0

    def count(self, now: float) -> None:
        """Counts an arrival."""
        self._advance(now)
        self._count += 1

    def per_second(self, now: float) -> float:
        """Returns the arrivals in the last second."""
        self._advance(now)
        passed = now / _SLOT_S - self._slot
        return (self._previous_count * (1.0 - passed) + self._count) / _SLOT_S

    def _advance(self, now: float) -> None:
        slot = int(now // _SLOT_S)
        if slot == self._slot:
            return
        self._previous_count = self._count if slot == self._slot + 1 else 0
        self._count = 0
        self._slot = slot
