"""How long connections to upstreams may rest before they are used again.

An upstream, or a device on the way to it, may forget connections that rested
for less than the upstream states. The request that finds out is lost, and an
unsafe one may not be repeated; the first losses tell how long is too long.
"""

import collections
import math

# A connection that is known at the other end is not reset this soon after a
# request: the upstream would have to fail just then.
_MAX_RESET_DELAY_S = 0.05
# Below this rest a reset says nothing about resting: connections of a busy
# service rest this long between two requests.
_MIN_REST_S = 0.05
# Part of the rest after which a connection was reset that is still allowed.
_ALLOWED_SHARE = 0.5
# Resets of two upstreams are no failure of one of them; from then on the limit
# holds for the whole service.
_UPSTREAMS_FOR_SERVICE = 2
# Time after the last reset for which a limit holds.
_HOLDS_S = 10.0


class IdleLimits:
    """Limits of one service, learned from resets."""

    def __init__(self) -> None:
        # Rest and time of the last reset, by upstream.
        self._resets: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def note_reset(
        self, *, upstream_id: str, rested_s: float, after_s: float, now: float
    ) -> bool:
        """Takes a connection that was reset before any answer.

        Args:
            upstream_id: upstream that it led to.
            rested_s: time that it was not used before the request.
            after_s: time from the request to the reset.
            now: monotonic seconds.

        Returns:
            Whether the reset lowers a limit.
        """
        if rested_s < _MIN_REST_S or after_s > _MAX_RESET_DELAY_S:
            return False
        before = self.limit_s(upstream_id=upstream_id, now=now)
        known = self._resets.pop(upstream_id, None)
        if known is not None and now - known[1] < _HOLDS_S:
            rested_s = min(rested_s, known[0])
        self._resets[upstream_id] = (rested_s, now)
        return self.limit_s(upstream_id=upstream_id, now=now) < before

    def limit_s(self, *, upstream_id: str, now: float) -> float:
        """Returns the longest rest allowed; infinite where none is known."""
        while self._resets:
            oldest, (_, reset_at) = next(iter(self._resets.items()))
            if now - reset_at < _HOLDS_S:
                break
            del self._resets[oldest]
        if len(self._resets) >= _UPSTREAMS_FOR_SERVICE:
            rested_s = min(rested_s for rested_s, _ in self._resets.values())
        elif upstream_id in self._resets:
            rested_s = self._resets[upstream_id][0]
        else:
            return math.inf
        return _ALLOWED_SHARE * rested_s
