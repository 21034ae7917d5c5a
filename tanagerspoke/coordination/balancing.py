"""Selection of an upstream by expected latency and free slots.

The rule follows Prequal (Wydrowski and others, NSDI 2024): latency decides
among upstreams with a free slot, calls in flight decide otherwise. Both are
combined into one expected latency here, because upstreams have few slots: one
of three slots is a third of an upstream's capacity.
"""

from collections.abc import Callable, Container
import dataclasses

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import placement
from tanagerspoke.protocol import randomness
from tanagerspoke.state import loads

# Larger services are sampled, which bounds the cost of a decision.
_MAX_CANDIDATES = 16
# Weight of the utilization in an upstream's score. The calls of other processes
# are only estimated, so an emptier upstream is the safer choice.
_UTILIZATION_WEIGHT = 8.0
# Pulls avoid busy upstreams more strongly: short calls queue behind several
# pulls on the same upstream.
_PULL_UTILIZATION_WEIGHT = 3.0
# Range of the random factor that keeps processes from choosing the same
# upstream at the same time.
_SCORE_JITTER = 0.1
# An upstream that is slower than usual by more than this factor gets one call
# at a time from a process, which is enough to detect its recovery.
_SINGLE_CALL_SLOWNESS = 2.0
# Calls that may queue at an upstream although this process has used its fair
# share of the slots, as a share of the upstream's slots. With 0, a slot would
# be idle whenever an estimate is too high; with a large share, one process
# would use the slots of the others.
_MAX_BACKLOG_SHARE = 0.1
# Looked up once, since `_assess` runs for each candidate of each choice.
_OWN_CALLS_FILL_IT = placement.Exclusion.OWN_CALLS_FILL_IT
_EJECTED = placement.Exclusion.EJECTED
_PAUSED = placement.Exclusion.PAUSED
_RAMPING_UP = placement.Exclusion.RAMPING_UP
_ALREADY_TRIED = placement.Exclusion.ALREADY_TRIED
_FULL = placement.Exclusion.FULL
_TOO_BUSY = placement.Exclusion.TOO_BUSY
_SLOW = placement.Exclusion.SLOW


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """A call that needs an upstream, and which ones it may get.

    Attributes:
        call_class: pulls prefer upstreams that run few other pulls.
        typical_latency_s: mean or median attempt duration of calls of this
            kind.
        now: monotonic seconds.
        tried: ids of upstreams to leave out.
        use_fair_share: also allows upstreams that are estimated to be full,
            because this process uses less than its fair share of the slots.
        need_free_slot: leaves out upstreams without a free slot.
        max_utilization: largest share of an upstream's slots in use, this
            call included; an idle upstream may always get it, also one with
            so few slots that a single call exceeds the share.
        utilization_weight: weight of the utilization in an upstream's score;
            lower where calls in flight are known rather than estimated.
        reject: returns why an upstream is left out, or None; None where no
            further condition applies.
    """

    call_class: calls.CallClass
    typical_latency_s: float
    now: float
    tried: Container[str] = ()
    use_fair_share: bool = False
    need_free_slot: bool = False
    max_utilization: float | None = None
    utilization_weight: float = _UTILIZATION_WEIGHT
    reject: (
        Callable[[loads.UpstreamLoad], placement.Exclusion | None] | None
    ) = None


class Balancer:
    """Chooses upstreams for one service."""

    def __init__(
        self,
        *,
        view: loads.LoadView,
        availability_zone: str,
        cross_zone_penalty_s: float,
        rng: randomness.Random,
    ) -> None:
        self._view = view
        self._availability_zone = availability_zone
        self._cross_zone_penalty_s = cross_zone_penalty_s
        self._rng = rng

    def choose(
        self,
        *,
        call_class: calls.CallClass,
        typical_latency_s: float,
        now: float,
        tried: Container[str] = (),
        use_fair_share: bool = False,
        need_free_slot: bool = False,
        max_utilization: float | None = None,
    ) -> loads.UpstreamLoad | None:
        """Returns the upstream that `choose_for` returns for such a query."""
        return self.choose_for(
            Query(
                call_class=call_class,
                typical_latency_s=typical_latency_s,
                now=now,
                tried=tried,
                use_fair_share=use_fair_share,
                need_free_slot=need_free_slot,
                max_utilization=max_utilization,
            )
        )

    def choose_for(
        self, query: Query, candidates: list[loads.UpstreamLoad] | None = None
    ) -> loads.UpstreamLoad | None:
        """Returns the upstream with the lowest expected latency, or None.

        Args:
            query: the call and its conditions.
            candidates: upstreams to choose from; by default all that may get
                calls, or a sample of them if they are many.
        """
        best = None
        best_score = float("inf")
        rng_random = self._rng.random
        typical_latency_s = query.typical_latency_s
        mean_remote = self._view.mean_remote_in_flight
        trust = self._view.report_trust
        single_call_slowness = self._single_call_slowness()
        for record in self._candidates() if candidates is None else candidates:
            score = _assess(
                record, query, mean_remote, trust, single_call_slowness
            )
            if score.__class__ is placement.Exclusion:
                continue
            score *= 1.0 + _SCORE_JITTER * rng_random()
            score *= typical_latency_s
            zone = record.upstream.availability_zone
            if zone != self._availability_zone:
                score += self._cross_zone_penalty_s
            if score < best_score:
                best = record
                best_score = score
        return best

    def assess(self, query: Query) -> dict[str, placement.Exclusion | float]:
        """Returns what `choose_for` makes of each upstream, by its id.

        That is the reason why it is left out, or its expected cost in seconds
        without the random factor. No state changes, also not that of the
        random generator. Upstreams that may get no calls are not included.
        """
        assessments: dict[str, placement.Exclusion | float] = {}
        for record in self._view.eligible:
            score = _assess(
                record,
                query,
                self._view.mean_remote_in_flight,
                self._view.report_trust,
                self._single_call_slowness(),
            )
            if not isinstance(score, placement.Exclusion):
                score *= query.typical_latency_s
                zone = record.upstream.availability_zone
                if zone != self._availability_zone:
                    score += self._cross_zone_penalty_s
            assessments[record.upstream.upstream_id] = score
        return assessments

    def _single_call_slowness(self) -> float:
        # A single upstream could only be compared with itself.
        if len(self._view.eligible) > 1:
            return _SINGLE_CALL_SLOWNESS
        return float("inf")

    def _candidates(self) -> list[loads.UpstreamLoad]:
        records = self._view.eligible
        if len(records) <= _MAX_CANDIDATES:
            return records
        return self._rng.sample(records, _MAX_CANDIDATES)


# Called for each candidate of each choice: positional parameters, and a plain
# number as the result, keep it as fast as a loop body.
def _assess(
    record: loads.UpstreamLoad,
    query: Query,
    mean_remote_in_flight: float,
    trust: float,
    single_call_slowness: float,
) -> placement.Exclusion | float:
    """Returns why the upstream gets no call now, or its relative cost."""
    now = query.now
    if record.local_in_flight >= record.slots:
        return _OWN_CALLS_FILL_IT
    if record.ejected_until > now or record.paused_until > now:
        return _EJECTED if record.ejected_until > now else _PAUSED
    if (
        record.ramp_starts_at is not None
        and record.local_in_flight >= record.attempt_limit(now)
    ):
        return _RAMPING_UP
    if query.tried and record.upstream.upstream_id in query.tried:
        return _ALREADY_TRIED
    if query.reject is not None and (reason := query.reject(record)):
        return reason
    slots = record.slots
    utilization = (
        record.in_flight(
            now=now, mean_remote_in_flight=mean_remote_in_flight, trust=trust
        )
        / slots
    )
    has_free_slot = utilization + 0.5 / slots <= 1.0
    if not has_free_slot and (
        query.need_free_slot
        or (
            not query.use_fair_share and utilization >= 1.0 + _MAX_BACKLOG_SHARE
        )
    ):
        return _FULL
    if query.max_utilization is not None and utilization + 1.0 / slots > max(
        query.max_utilization, 1.0 / slots
    ):
        return _TOO_BUSY
    slowness = record.current_slowness(now)
    if slowness > single_call_slowness and record.local_in_flight:
        return _SLOW
    slowness *= record.current_host_slowness(now)
    score = slowness * (
        1.0 + query.utilization_weight * utilization * utilization
    )
    score *= 1.0 if has_free_slot else 1.0 + utilization
    if query.call_class is calls.CallClass.PULL:
        score *= (1.0 + record.local_pulls) * (
            1.0 + _PULL_UTILIZATION_WEIGHT * utilization
        )
    return score
