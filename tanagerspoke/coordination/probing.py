"""Chooses the upstream to probe next.

Load travels on responses; only what no response reported lately is probed,
and what is cold, draining or failing, where a change matters soon.
"""

from collections.abc import Iterable
import dataclasses

from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import upstreams

# A report on a response holds for this long.
_REPORT_HOLDS_S = 3.0

# Shortest time between two probes of one upstream.
_MIN_GAP_S = 2.0

# Longest time between two probes of an upstream that doesn't answer.
_MAX_GAP_S = 16.0


@dataclasses.dataclass(slots=True)
class _Watched:
    upstream: upstreams.Upstream
    reported_at: float
    probed_at: float
    phase: upstreams.UpstreamPhase | None = None
    failures: int = 0


class Prober:
    """Times of the last reports and probes of every upstream.

    Args:
        rng: breaks ties, so that agents do not probe in step.
    """

    def __init__(self, *, rng: randomness.Random) -> None:
        self._rng = rng
        self._watched: dict[str, _Watched] = {}

    def set_upstreams(self, listed: Iterable[upstreams.Upstream]) -> None:
        """Takes the upstreams; what is known of a kept one stays."""
        never = float("-inf")
        watched = {}
        for upstream in listed:
            known = self._watched.get(upstream.upstream_id)
            if known is None or _moved(known.upstream, upstream):
                known = _Watched(
                    upstream=upstream, reported_at=never, probed_at=never
                )
            known.upstream = upstream
            watched[upstream.upstream_id] = known
        self._watched = watched

    def note_reported(self, upstream_ids: Iterable[str], *, now: float) -> None:
        """Takes the upstreams whose responses carried a report lately."""
        for upstream_id in upstream_ids:
            known = self._watched.get(upstream_id)
            if known is not None:
                known.reported_at = now

    def note_sent(self, upstream_id: str, *, now: float) -> None:
        """Takes the start of a probe."""
        known = self._watched.get(upstream_id)
        if known is not None:
            known.probed_at = now

    def note_answer(
        self, upstream_id: str, load: upstreams.LoadReport | None, *, now: float
    ) -> None:
        """Takes the result of a probe; None where it failed."""
        known = self._watched.get(upstream_id)
        if known is None:
            return
        known.probed_at = now
        if load is None:
            known.failures += 1
            return
        known.failures = 0
        known.phase = load.phase

    def next(self, *, now: float) -> upstreams.Upstream | None:
        """Returns the due upstream whose last news is oldest, or None."""
        due = [known for known in self._watched.values() if _due(known, now)]
        if not due:
            return None
        oldest = min(_news_at(known) for known in due)
        tied = [known for known in due if _news_at(known) == oldest]
        return self._rng.choice(tied).upstream


def _due(known: _Watched, now: float) -> bool:
    gap = min(_MIN_GAP_S * 2**known.failures, _MAX_GAP_S)
    if now - known.probed_at < gap:
        return False
    if known.phase not in (None, upstreams.UpstreamPhase.READY):
        return True
    if known.failures or known.upstream.leaving:
        return True
    return now - known.reported_at >= _REPORT_HOLDS_S


def _news_at(known: _Watched) -> float:
    return max(known.reported_at, known.probed_at)


def _moved(before: upstreams.Upstream, after: upstreams.Upstream) -> bool:
    return (before.address, before.port) != (after.address, after.port)
