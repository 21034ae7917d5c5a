"""Estimates how long a caller has waited before its request arrived.

Under overload, many requests are those of callers that were refused and have
returned. Each is a new request, and only its deadline shows that time has
passed: callers that wait for a fixed time send what is left of it. A call whose
target has passed must not take a slot from one that can still meet it.
"""

import bisect
import collections

# Calls from which a route's usual deadline is derived.
_MAX_SAMPLES = 64
_MIN_SAMPLES = 8
# Share of the samples that must have a usual deadline. Where deadlines differ
# for other reasons, shorter ones say nothing about waits.
_MIN_USUAL_SHARE = 0.25
# Deadlines that differ by less are the same: callers send whole milliseconds,
# and some subtract the time that it took to connect.
_SAME_DEADLINE_S = 0.02
# That share where the usual deadlines differ. Deadlines that are spread evenly
# reach 0.25.
_MIN_DIFFERING_SHARE = 0.35
# Deadlines of first requests may also differ from caller to caller. Those of
# at least this share of the longest one are then usual. It lies between those
# of callers that waited for a third of their time, 0.67 at most, and those of
# first requests whose deadlines differ by a tenth in both directions, 0.82.
_USUAL_DEADLINE_SHARE = 0.75


class CallerWaits:
    """Deadlines of the most recent calls of each route."""

    def __init__(self) -> None:
        """Creates an instance without calls."""
        self._routes: dict[str, _RecentDeadlines] = {}

    def waited_s(
        self,
        *,
        route: str,
        deadline_s: float | None,
        deadlines_differ: bool = False,
    ) -> float:
        """Records a call and returns the time that its caller has waited.

        Args:
            route: name of the call's route.
            deadline_s: time that the caller still waits, None if unknown.
            deadlines_differ: whether those of first requests may differ from
                caller to caller.

        Returns:
            Seconds; 0 where the deadlines of the route do not show it.
        """
        if deadline_s is None:
            return 0.0
        recent = self._routes.get(route)
        if recent is None:
            recent = self._routes[route] = _RecentDeadlines()
        recent.add(deadline_s)
        return recent.waited_s(deadline_s, deadlines_differ)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forgets the calls of all other routes."""
        for route in self._routes.keys() - routes:
            del self._routes[route]


class _RecentDeadlines:
    """Deadlines of one route in seconds, by age and by length."""

    def __init__(self) -> None:
        self._by_age: collections.deque[float] = collections.deque()
        self._by_length: list[float] = []

    def add(self, deadline_s: float) -> None:
        """Records a deadline; the oldest one is forgotten."""
        if len(self._by_age) == _MAX_SAMPLES:
            oldest_s = self._by_age.popleft()
            del self._by_length[bisect.bisect_left(self._by_length, oldest_s)]
        self._by_age.append(deadline_s)
        bisect.insort(self._by_length, deadline_s)

    def waited_s(self, deadline_s: float, deadlines_differ: bool) -> float:
        """Returns by how much a deadline is shorter than the usual ones."""
        count = len(self._by_length)
        if count < _MIN_SAMPLES:
            return 0.0
        longest_s = self._by_length[-1]
        min_usual = _MIN_USUAL_SHARE * count
        same_from_s = longest_s - _SAME_DEADLINE_S
        if count - bisect.bisect_right(self._by_length, same_from_s) >= (
            min_usual
        ):
            return longest_s - deadline_s if deadline_s <= same_from_s else 0.0
        usual_from_s = _USUAL_DEADLINE_SHARE * longest_s
        if not deadlines_differ or deadline_s >= usual_from_s:
            return 0.0
        usual = self._by_length[
            bisect.bisect_left(self._by_length, usual_from_s) :
        ]
        if len(usual) < _MIN_DIFFERING_SHARE * count:
            return 0.0
        return sum(usual) / len(usual) - deadline_s
