"""Chooses the upstream to probe next.

Responses carry load reports. Probes are only needed for upstreams without a
recent report and for cold, draining or failing ones, whose changes must be
detected soon.
"""

from collections.abc import Iterable
import dataclasses

from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import upstreams

# Time for which a report on a response makes a probe unnecessary.
_REPORT_VALIDITY_S = 3.0

# Shortest time between two probes of an upstream.
_MIN_PROBE_INTERVAL_S = 2.0

# Longest time between two probes of an upstream whose probes fail.
_MAX_PROBE_INTERVAL_S = 16.0


@dataclasses.dataclass(slots=True)
class _UpstreamState:
    upstream: upstreams.Upstream
    reported_at: float
    probed_at: float
    phase: upstreams.UpstreamPhase | None = None
    consecutive_failures: int = 0


class Prober:
    """Tracks the last load report and probe of every upstream.

    Args:
        rng: breaks ties, so that agents don't all probe the same upstream.
    """

    def __init__(self, *, rng: randomness.Random) -> None:
        self._rng = rng
        self._states: dict[str, _UpstreamState] = {}

    def set_upstreams(self, listed: Iterable[upstreams.Upstream]) -> None:
        """Sets the upstreams; keeps the state of those already known."""
        never = float("-inf")
        states = {}
        for upstream in listed:
            state = self._states.get(upstream.upstream_id)
            if state is None or _address_changed(state.upstream, upstream):
                state = _UpstreamState(
                    upstream=upstream, reported_at=never, probed_at=never
                )
            state.upstream = upstream
            states[upstream.upstream_id] = state
        self._states = states

    def record_reports(
        self, upstream_ids: Iterable[str], *, now: float
    ) -> None:
        """Records the upstreams whose responses carried a load report."""
        for upstream_id in upstream_ids:
            state = self._states.get(upstream_id)
            if state is not None:
                state.reported_at = now

    def record_probe_start(self, upstream_id: str, *, now: float) -> None:
        """Records the start of a probe."""
        state = self._states.get(upstream_id)
        if state is not None:
            state.probed_at = now

    def record_probe_result(
        self, upstream_id: str, load: upstreams.LoadReport | None, *, now: float
    ) -> None:
        """Records the result of a probe; `load` is None if it failed."""
        state = self._states.get(upstream_id)
        if state is None:
            return
        state.probed_at = now
        if load is None:
            state.consecutive_failures += 1
            return
        state.consecutive_failures = 0
        state.phase = load.phase

    def next_upstream(self, *, now: float) -> upstreams.Upstream | None:
        """Returns the due upstream whose last report or probe is oldest.

        None if no upstream is due.
        """
        due = [state for state in self._states.values() if _is_due(state, now)]
        if not due:
            return None
        oldest = min(_updated_at(state) for state in due)
        tied = [state for state in due if _updated_at(state) == oldest]
        return self._rng.choice(tied).upstream


def _is_due(state: _UpstreamState, now: float) -> bool:
    interval_s = min(
        _MIN_PROBE_INTERVAL_S * 2**state.consecutive_failures,
        _MAX_PROBE_INTERVAL_S,
    )
    if now - state.probed_at < interval_s:
        return False
    if state.phase not in (None, upstreams.UpstreamPhase.READY):
        return True
    if state.consecutive_failures or state.upstream.leaving:
        return True
    return now - state.reported_at >= _REPORT_VALIDITY_S


def _updated_at(state: _UpstreamState) -> float:
    return max(state.reported_at, state.probed_at)


def _address_changed(
    before: upstreams.Upstream, after: upstreams.Upstream
) -> bool:
    return (before.address, before.port) != (after.address, after.port)
