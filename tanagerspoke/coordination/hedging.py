"""When a second attempt of a lookup starts.

Source: Dean and Barroso, "The Tail at Scale", 2013.
"""

from tanagerspoke.protocol import calls

_SAMPLES = 512
_SORT_EVERY = 32
_MIN_SAMPLES = 32
# About 3 % of the calls last longer than this quantile, which fits the
# hedge budget of 3.5 %.
_QUANTILE = 0.97


class HedgeDelay:
    """Quantile of the recent durations of lookup attempts."""

    def __init__(self) -> None:
        self._ring: list[float] = []
        self._position = 0
        self._until_sort = _MIN_SAMPLES
        self._delay_s: float | None = None

    @property
    def delay_s(self) -> float | None:
        """Seconds until the hedge, or None before enough samples came."""
        return self._delay_s

    def learn(self, duration_s: float) -> None:
        """Takes the duration of an attempt; of a cancelled one, so far."""
        if len(self._ring) < _SAMPLES:
            self._ring.append(duration_s)
        else:
            self._ring[self._position] = duration_s
            self._position = (self._position + 1) % _SAMPLES
        self._until_sort -= 1
        if self._until_sort <= 0:
            self._until_sort = _SORT_EVERY
            ordered = sorted(self._ring)
            self._delay_s = ordered[int(_QUANTILE * len(ordered))]


def may_hedge(call: calls.Call) -> bool:
    """Returns whether a second attempt may run beside the first."""
    return (
        call.hedge
        and call.idempotent
        and call.call_class is calls.CallClass.LOOKUP
    )
