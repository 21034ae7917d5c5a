"""Times at which refused callers may return.

Callers that are refused in the same moment would otherwise come back in the
same moment and be refused again. Each gets a place of its own in a schedule:
places follow each other as fast as calls are expected to be accepted, and a
caller of a more urgent route gets the earliest place that no caller of equal
or higher urgency holds.
"""

# Places that are planned ahead, in seconds; later callers share the last ones.
_MAX_PLANNED_S = 3.0


class ReturnTimes:
    """Plans the returns of the refused callers of one service and node."""

    def __init__(self) -> None:
        # End of the last place by priority, in monotonic seconds.
        self._taken_until: dict[int, float] = {}

    def next_delay_s(
        self, *, priority: int, first_at: float, interval_s: float, now: float
    ) -> float:
        """Returns the delay after which a caller that is refused may return.

        Args:
            priority: rank of the call; 0 is the most urgent.
            first_at: earliest time at which a returning call may be accepted,
                in monotonic seconds.
            interval_s: expected time between two calls that are accepted.
            now: monotonic seconds.
        """
        self._taken_until = {
            rank: until
            for rank, until in self._taken_until.items()
            if until > now
        }
        delay_s = self.preview_delay_s(
            priority=priority, first_at=first_at, now=now
        )
        self._taken_until[priority] = now + delay_s + interval_s
        return delay_s

    def preview_delay_s(
        self, *, priority: int, first_at: float, now: float
    ) -> float:
        """Returns what `next_delay_s` would return; takes no place."""
        start = max(now, first_at)
        for rank, until in self._taken_until.items():
            if rank <= priority:
                start = max(start, until)
        return min(start, max(now, first_at) + _MAX_PLANNED_S) - now
