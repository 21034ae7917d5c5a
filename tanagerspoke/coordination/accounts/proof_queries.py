"""When a node asks others for a freshness proof, and which ones."""

from collections.abc import Sequence
import math
from typing import TypeVar

from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.protocol import randomness

T = TypeVar("T")

# Longest time between two proofs from the same source, as a share of the
# bound. A node follows a relay, which follows the reader of the store; their
# intervals add up to 0.8 of the bound at most.
INTERVAL_SHARE = 0.2
# Age of a proof, as a share of the bound, from which other nodes are asked. A
# node of a zone gets proofs of up to this age in the usual case, and 0.32 of
# the bound (1.6 s of 5 s) are left for further queries.
_MAX_USUAL_AGE_SHARE = 0.6
_RETRY_INTERVAL_S = 0.25
# Other nodes that are asked at a time. Few, since all nodes ask at the same
# time when the store is unreachable.
_MAX_OTHERS = 2


class ProofQueries:
    """Decides on the queries of a node; see `ConfigFreshness` for times."""

    def __init__(
        self,
        *,
        config_freshness: freshness.ConfigFreshness,
        rng: randomness.Random,
    ) -> None:
        """Creates an instance for a node whose proofs are shared."""
        self._freshness = config_freshness
        self._rng = rng

    def choose_others(self, candidates: Sequence[T]) -> list[T]:
        """Returns the nodes to ask, at random from all zones."""
        return self._rng.sample(candidates, min(_MAX_OTHERS, len(candidates)))

    def needs_others(self, now: float) -> bool:
        """Returns whether the usual source has not given a recent proof."""
        age_s = self._freshness.age_s(now)
        return age_s is None or age_s >= self._max_usual_age_s

    def next_delay_s(self, now: float) -> float:
        """Returns the time until the next query is due."""
        if self.needs_others(now):
            return _RETRY_INTERVAL_S
        return min(
            INTERVAL_SHARE * self._bound_s,
            max(
                _RETRY_INTERVAL_S,
                self._max_usual_age_s - self._freshness.age_s(now),
            ),
        )

    @property
    def _bound_s(self) -> float:
        bound_s = self._freshness.bound_s
        return math.inf if bound_s is None else bound_s

    @property
    def _max_usual_age_s(self) -> float:
        return _MAX_USUAL_AGE_SHARE * self._bound_s
