"""Budget of the fleet for attempts beyond the first of each call.

The ratio follows each node's own calls and needs no talk between nodes; the
shared extra is divided among the nodes that are known.
"""

import collections

# Part of the budget that is spent: arrivals at the upstreams fall into other
# windows than the decisions here.
_SPENT_SHARE = 0.85


class RetryBudget:
    """Sliding window over one service's calls and repeats on one node."""

    def __init__(
        self,
        *,
        ratio: float,
        shared_extra: float,
        window_s: float,
        extra_from: float,
        nodes: int | None = None,
    ) -> None:
        """Creates an empty window.

        Args:
            ratio: repeats for each call in the window.
            shared_extra: repeats that all nodes together may add.
            window_s: length of the window in seconds.
            extra_from: time from which this node takes its share of the
                extra; what an earlier process spent has left the window then.
            nodes: nodes that share the extra, None while unknown.
        """
        self._ratio = ratio
        self._shared_extra = shared_extra
        self._window_s = window_s
        self._extra_from = extra_from
        self._nodes = nodes
        self._calls: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def set_nodes(self, nodes: int | None) -> None:
        """Takes the number of nodes that share the extra."""
        self._nodes = nodes

    def set_bounds(
        self, *, ratio: float, shared_extra: float, window_s: float
    ) -> None:
        """Takes changed bounds; see `__init__`."""
        self._ratio = ratio
        self._shared_extra = shared_extra
        self._window_s = window_s

    def count_call(self, now: float) -> None:
        """Counts the first attempt of a call."""
        self._calls.append(now)
        self._drop_old(self._calls, now)

    def left(self, now: float) -> float:
        """Returns the repeats that may still be sent now."""
        self._drop_old(self._calls, now)
        self._drop_old(self._repeats, now)
        allowed = self._ratio * len(self._calls)
        if self._nodes and now >= self._extra_from:
            allowed += self._shared_extra / self._nodes
        return _SPENT_SHARE * allowed - len(self._repeats)

    def spend(self, now: float, *, reserve: float = 0.0) -> bool:
        """Takes a repeat; returns whether more than `reserve` were left."""
        if self.left(now) < 1.0 + reserve:
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, times: collections.deque[float], now: float) -> None:
        oldest = now - self._window_s
        while times and times[0] <= oldest:
            times.popleft()
