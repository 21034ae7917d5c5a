"""Recent attempt durations of a route."""

import bisect

_MAX_SAMPLES = 256
_MIN_SAMPLES = 16
# Share of the target latency that is returned for every quantile until there
# are enough samples.
_DEFAULT_DURATION_SHARE = 0.4


class AttemptDurations:
    """Quantiles of the most recent attempt durations of one route."""

    def __init__(self) -> None:
        self._ring: list[float] = []
        self._sorted: list[float] = []
        self._next_index = 0

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples for a quantile."""
        return len(self._ring) >= _MIN_SAMPLES

    def add(self, duration_s: float) -> None:
        """Adds an attempt's duration, up to its cancellation if cancelled."""
        if len(self._ring) < _MAX_SAMPLES:
            self._ring.append(duration_s)
        else:
            oldest = self._ring[self._next_index]
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self._ring[self._next_index] = duration_s
            self._next_index = (self._next_index + 1) % _MAX_SAMPLES
        bisect.insort(self._sorted, duration_s)

    def quantile_s(self, quantile: float, *, target_s: float) -> float:
        """Returns a quantile of the durations in seconds.

        Args:
            quantile: 0 to 1.
            target_s: target latency, from which the result is derived while
                there are too few samples.
        """
        if not self.has_enough_samples:
            return _DEFAULT_DURATION_SHARE * target_s
        last = len(self._sorted) - 1
        return self._sorted[min(last, int(quantile * len(self._sorted)))]
