"""Limits the calls that a cold upstream gets from all nodes together.

Only the first nodes in the ranking of an upstream use it while it is cold, each
at an equal part of the rate that it tolerates. Nodes with the same list need no
messages for this. A node whose list also holds nodes that have stopped ranks
itself no higher than it is among the live ones, so that stopped nodes reduce
the rate, and never raise it.
"""

from collections.abc import Callable
import dataclasses

from tanagerspoke.coordination import dispatch_gate
from tanagerspoke.coordination.cold_upstreams import ranking
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import upstreams

# Nodes that use a cold upstream. In one second, they send it at most this
# number of calls beyond the rate that it tolerates, while the platform allows
# eight. More nodes would leave less of that for changes of the list.
NODES_PER_UPSTREAM = 4
# Upstreams whose ranking and tokens are kept.
_MAX_KEPT = 4096


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Tokens:
    """Tokens for one upstream, of which there is at most one."""

    count: float
    at: float

    def later(self, now: float, rate_per_s: float) -> "_Tokens":
        refill = max(0.0, now - self.at) * rate_per_s
        return _Tokens(count=min(1.0, self.count + refill), at=now)


class ColdUpstreamGate(dispatch_gate.DispatchGate):
    """Part of the gate that limits the calls to cold upstreams."""

    exclusion = placement.Exclusion.COLD_LIMIT

    def __init__(
        self,
        *,
        node: str,
        nodes: Callable[[], frozenset[str] | None],
        calls_per_s: Callable[[], float],
        is_cold: Callable[[upstreams.Upstream, float], bool],
    ) -> None:
        """Creates a gate of one service.

        Args:
            node: name of this node.
            nodes: returns the names of the listed nodes, None while this node
                is not listed or does not know the list.
            calls_per_s: returns the rate that a cold upstream tolerates from
                all nodes together; 0 where there is no limit.
            is_cold: returns whether an upstream is cold at a time.
        """
        self._node = node
        self._nodes = nodes
        self._calls_per_s = calls_per_s
        self._is_cold = is_cold
        self._ranked_nodes: frozenset[str] | None = None
        # Whether this node may use an upstream, for `_ranked_nodes`.
        self._may_use: dict[str, bool] = {}
        self._tokens: dict[str, _Tokens] = {}

    def check(self, call: calls.Call, now: float) -> errors.ErrorCode | None:
        """Implements `DispatchGate`; no call is refused."""
        del call, now
        return None

    def admits(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Implements `DispatchGate`."""
        # First, since nearly all upstreams are not cold.
        if not self._is_cold(upstream, now):
            return True
        rate_per_s = self._calls_per_s()
        return rate_per_s <= 0.0 or (
            self._is_among_first(upstream.upstream_id)
            and self._refilled(upstream.upstream_id, rate_per_s, now).count
            >= 1.0
        )

    def record_dispatch(self, upstream: upstreams.Upstream, now: float) -> None:
        """Implements `DispatchGate`."""
        if not self._is_cold(upstream, now):
            return
        rate_per_s = self._calls_per_s()
        if rate_per_s <= 0.0:
            return
        if len(self._tokens) >= _MAX_KEPT:
            self._drop_full(rate_per_s, now)
        tokens = self._refilled(upstream.upstream_id, rate_per_s, now)
        self._tokens[upstream.upstream_id] = dataclasses.replace(
            tokens, count=tokens.count - 1.0
        )

    def _refilled(
        self, upstream_id: str, rate_per_s: float, now: float
    ) -> _Tokens:
        tokens = self._tokens.get(upstream_id, _Tokens(count=1.0, at=now))
        return tokens.later(now, rate_per_s / NODES_PER_UPSTREAM)

    def _drop_full(self, rate_per_s: float, now: float) -> None:
        """Drops what is equal to the tokens of an unknown upstream."""
        for upstream_id in tuple(self._tokens):
            if self._refilled(upstream_id, rate_per_s, now).count >= 1.0:
                del self._tokens[upstream_id]

    def _is_among_first(self, upstream_id: str) -> bool:
        nodes = self._nodes()
        if nodes is None:
            return False
        if nodes != self._ranked_nodes or len(self._may_use) >= _MAX_KEPT:
            self._ranked_nodes = nodes
            self._may_use.clear()
        may_use = self._may_use.get(upstream_id)
        if may_use is None:
            first = ranking.first_nodes(
                nodes=nodes, upstream_id=upstream_id, count=NODES_PER_UPSTREAM
            )
            may_use = self._may_use[upstream_id] = self._node in first
        return may_use
