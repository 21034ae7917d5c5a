"""Estimates how long a caller has waited before its request arrived.

Under overload, many requests are those of callers that were refused and have
returned. Each is a new request, and only its deadline shows that time has
passed: callers that wait for a fixed time send what is left of it. A call whose
target has passed must not take a slot from one that can still meet it.
"""

import collections

# Calls from which a route's usual deadline is derived.
_MAX_SAMPLES = 64
_MIN_SAMPLES = 8
# Share of the samples that must have the longest deadline. Where deadlines
# differ for other reasons, shorter ones say nothing about waits.
_MIN_USUAL_SHARE = 0.25
# Deadlines that differ by less are the same: callers send whole milliseconds,
# and some subtract the time that it took to connect.
_SAME_DEADLINE_S = 0.02


class CallerWaits:
    """Deadlines of the most recent calls of each route."""

    def __init__(self) -> None:
        """Creates an instance without calls."""
        self._deadlines_s: dict[str, collections.deque[float]] = {}

    def waited_s(self, *, route: str, deadline_s: float | None) -> float:
        """Records a call and returns the time that its caller has waited.

        Args:
            route: name of the call's route.
            deadline_s: time that the caller still waits, None if unknown.

        Returns:
            Seconds; 0 where the deadlines of the route do not show it.
        """
        if deadline_s is None:
            return 0.0
        deadlines_s = self._deadlines_s.setdefault(
            route, collections.deque(maxlen=_MAX_SAMPLES)
        )
        deadlines_s.append(deadline_s)
        if len(deadlines_s) < _MIN_SAMPLES:
            return 0.0
        longest_s = max(deadlines_s)
        usual = sum(longest_s - d < _SAME_DEADLINE_S for d in deadlines_s)
        waited_s = longest_s - deadline_s
        if waited_s < _SAME_DEADLINE_S or usual < _MIN_USUAL_SHARE * len(
            deadlines_s
        ):
            return 0.0
        return waited_s

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forgets the calls of all other routes."""
        for route in self._deadlines_s.keys() - routes:
            del self._deadlines_s[route]
