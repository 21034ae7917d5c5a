"""Budget of the fleet for attempts beyond the first of each call.

Each node applies the ratio to its own calls, without messages between nodes;
the shared extra, a fixed number of further attempts, is divided among the
known nodes.
"""

import collections

# Share of the budget that is used. An attempt reaches its upstream later than
# it is counted here, so it can fall into a later window there.
_USABLE_SHARE = 0.85


class RetryBudget:
    """Calls and extra attempts of one service and node in a sliding window."""

    def __init__(
        self,
        *,
        ratio: float,
        shared_extra: float,
        window_s: float,
        shared_extra_from: float,
        nodes: int | None = None,
    ) -> None:
        """Creates an empty window.

        Args:
            ratio: extra attempts for each call in the window.
            shared_extra: further extra attempts of all nodes together.
            window_s: length of the window in seconds.
            shared_extra_from: monotonic seconds from which this node uses its
                part of the shared extra; by then, the attempts of an earlier
                process have left the window.
            nodes: nodes that divide the shared extra, None while unknown.
        """
        self._ratio = ratio
        self._shared_extra = shared_extra
        self._window_s = window_s
        self._shared_extra_from = shared_extra_from
        self._nodes = nodes
        self._calls: collections.deque[float] = collections.deque()
        self._extra_attempts: collections.deque[float] = collections.deque()

    def set_nodes(self, nodes: int | None) -> None:
        """Sets the number of nodes that divide the shared extra."""
        self._nodes = nodes

    def set_bounds(
        self, *, ratio: float, shared_extra: float, window_s: float
    ) -> None:
        """Sets new bounds; see `__init__`."""
        self._ratio = ratio
        self._shared_extra = shared_extra
        self._window_s = window_s

    def count_call(self, now: float) -> None:
        """Counts a call."""
        self._calls.append(now)
        self._drop_expired(self._calls, now)

    def allowed(self, now: float) -> float:
        """Returns the number of extra attempts allowed in this window."""
        self._drop_expired(self._calls, now)
        allowed = self._ratio * len(self._calls)
        if self._nodes and now >= self._shared_extra_from:
            allowed += self._shared_extra / self._nodes
        return _USABLE_SHARE * allowed

    def remaining(self, now: float) -> float:
        """Returns the number of extra attempts that may be sent now."""
        self._drop_expired(self._extra_attempts, now)
        return self.allowed(now) - len(self._extra_attempts)

    def spend(self, now: float, *, reserve: float = 0.0) -> bool:
        """Counts an extra attempt if the budget, less `reserve`, allows it.

        Returns:
            Whether it may be sent.
        """
        if self.remaining(now) < 1.0 + reserve:
            return False
        self._extra_attempts.append(now)
        return True

    def _drop_expired(
        self, times: collections.deque[float], now: float
    ) -> None:
        window_start = now - self._window_s
        while times and times[0] <= window_start:
            times.popleft()
