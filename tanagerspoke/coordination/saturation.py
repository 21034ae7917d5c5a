"""Slowdown of saturated upstreams, measured from attempt durations.

Some upstreams work slower once all their slots are busy. Where that costs more
than a short wait, the last slot of each upstream stays free.
"""

_SAMPLE_WEIGHT = 0.05
# Mean slowdown from which saturated upstreams are avoided. An upstream with all
# of its n slots in use serves fewer calls than with one slot free if the
# slowdown exceeds n / (n - 1): 1.33 with four slots, 1.5 with three. With three
# or more, a free slot is worth more to the calls that must be fast; of two
# slots, the last one is half of the capacity.
_MIN_SLOWDOWN_TO_AVOID = 1.3
_MANY_SLOTS = 3
# Share of the choices that may still take a last slot, so that the slowdown
# stays up to date.
_EXPLORATION_SHARE = 0.1


class SaturationCost:
    """Compares attempt durations at saturated upstreams with the others."""

    def __init__(self) -> None:
        # Moving averages of durations relative to the median of their route.
        self._mean_unsaturated = 1.0
        # Saturated upstreams count as slow until samples show otherwise.
        self._mean_saturated = 1.5

    @property
    def ratio(self) -> float:
        """Mean duration at saturated upstreams, relative to the others."""
        return self._mean_saturated / self._mean_unsaturated

    def may_use_last_slot(self, *, slots: float, draw: float) -> bool:
        """Returns whether a call may take an upstream's last slot.

        Args:
            slots: mean number of slots of the service's upstreams.
            draw: random number in [0, 1).
        """
        if slots <= 1.0 or draw < _EXPLORATION_SHARE:
            return True
        if slots >= _MANY_SLOTS:
            return self.ratio < _MIN_SLOWDOWN_TO_AVOID
        return self.ratio < slots / (slots - 1.0)

    def add_sample(self, *, saturated: bool, duration_ratio: float) -> None:
        """Adds an attempt's duration, relative to its route's median."""
        if saturated:
            self._mean_saturated += _SAMPLE_WEIGHT * (
                duration_ratio - self._mean_saturated
            )
        else:
            self._mean_unsaturated += _SAMPLE_WEIGHT * (
                duration_ratio - self._mean_unsaturated
            )
