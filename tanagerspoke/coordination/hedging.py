"""Delay until a hedge, a second attempt of a lookup, is sent.

Source: Dean and Barroso, "The Tail at Scale", 2013.
"""

from tanagerspoke.protocol import calls

_MAX_SAMPLES = 512
_SORT_INTERVAL_SAMPLES = 32
_MIN_SAMPLES = 32
# About 3 % of the attempts last longer than this quantile, which fits the
# hedge budget of 3.5 %.
_QUANTILE = 0.97


class HedgeDelay:
    """Quantile of the most recent durations of lookup attempts."""

    def __init__(self) -> None:
        self._ring: list[float] = []
        self._next_index = 0
        self._samples_until_sort = _MIN_SAMPLES
        self._delay_s: float | None = None

    @property
    def delay_s(self) -> float | None:
        """Seconds until a hedge is sent, or None without enough samples."""
        return self._delay_s

    def add_sample(self, duration_s: float) -> None:
        """Adds an attempt's duration, up to its cancellation if cancelled."""
        if len(self._ring) < _MAX_SAMPLES:
            self._ring.append(duration_s)
        else:
            self._ring[self._next_index] = duration_s
            self._next_index = (self._next_index + 1) % _MAX_SAMPLES
        self._samples_until_sort -= 1
        if self._samples_until_sort <= 0:
            self._samples_until_sort = _SORT_INTERVAL_SAMPLES
            ordered = sorted(self._ring)
            self._delay_s = ordered[int(_QUANTILE * len(ordered))]


def may_hedge(call: calls.Call) -> bool:
    """Returns whether a second attempt of the call may run in parallel."""
    return (
        call.hedge
        and call.idempotent
        and call.call_class is calls.CallClass.LOOKUP
    )
