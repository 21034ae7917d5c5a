"""The pool of an account at its backup owner."""

import collections
import math

# Grants are counted together by slots of this length, so that the state is
# small. A grant leaves the window up to one slot late.
_SLOT_S = 0.1


class BackupPool:
    """Grants a number of tokens in any sliding window.

    Unlike a bucket with the same bound, it can grant all of them at once; an
    account with few calls is then not limited while its owner is away.
    """

    def __init__(
        self, *, calls: float, window_s: float, available_from: float
    ) -> None:
        """Creates a pool.

        Args:
            calls: tokens in any window.
            window_s: length of the window in seconds.
            available_from: time of the first grant; by then, the grants of an
                earlier backup owner have left the window.
        """
        self._calls = calls
        self._window_s = window_s
        self._available_from = available_from
        # Ends of slots with the number of tokens granted in them.
        self._slots: collections.deque[tuple[float, int]] = collections.deque()
        self._granted = 0

    def set_size(self, *, calls: float, window_s: float) -> None:
        """Sets a new size; tokens that were granted still count."""
        self._calls = calls
        self._window_s = window_s

    def take(
        self, wanted: int, now: float, *, reserved_share: float = 0.0
    ) -> int:
        """Returns the number of tokens granted, at most `wanted`.

        Args:
            wanted: number of tokens.
            now: seconds of the backup owner's monotonic clock.
            reserved_share: share of the pool that is not granted.
        """
        self._drop_expired(now)
        if now < self._available_from:
            return 0
        available = int(self._calls * (1.0 - reserved_share))
        granted = min(wanted, max(0, available - self._granted))
        if granted:
            self._count(granted, now)
        return granted

    def seconds_to_next(self, now: float) -> float:
        """Returns the time until a token may be granted."""
        self._drop_expired(now)
        if now < self._available_from:
            return self._available_from - now
        if self._granted < int(self._calls) or not self._slots:
            return 0.0
        return self._slots[0][0] + self._window_s - now

    def _count(self, granted: int, now: float) -> None:
        self._granted += granted
        slot_end = (math.floor(now / _SLOT_S) + 1) * _SLOT_S
        if self._slots and self._slots[-1][0] >= slot_end:
            slot_end, before = self._slots.pop()
            granted += before
        self._slots.append((slot_end, granted))

    def _drop_expired(self, now: float) -> None:
        while self._slots and self._slots[0][0] + self._window_s <= now:
            self._granted -= self._slots.popleft()[1]
