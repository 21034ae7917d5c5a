"""Selection of an upstream by expected latency and free slots.

The rule follows Prequal (Wydrowski and others, NSDI 2024): latency decides
among upstreams with a free slot, calls in flight decide otherwise. Both are
combined into one expected latency here, because upstreams have few slots: one
of three slots is a third of an upstream's capacity.
"""

from collections.abc import Callable, Container

from tanagerspoke.protocol import calls
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
        utilization_weight: float = _UTILIZATION_WEIGHT,
        candidates: list[loads.UpstreamLoad] | None = None,
        accept: Callable[[loads.UpstreamLoad], bool] | None = None,
    ) -> loads.UpstreamLoad | None:
        """Returns the upstream with the lowest expected latency, or None.

        Args:
            call_class: pulls prefer upstreams that run few other pulls.
            typical_latency_s: mean or median attempt duration of calls of this
                kind.
            now: monotonic seconds.
            tried: ids of upstreams to leave out.
            use_fair_share: also allows upstreams that are estimated to be full,
                because this process uses less than its fair share of the
                slots.
            need_free_slot: leaves out upstreams without a free slot.
            max_utilization: largest share of an upstream's slots in use, this
                call included; an idle upstream may always get it, also one
                with so few slots that a single call exceeds the share.
            utilization_weight: weight of the utilization in an upstream's
                score; lower where calls in flight are known rather than
                estimated.
            candidates: upstreams to choose from; by default all that may get
                calls, or a sample of them if they are many.
            accept: returns False for upstreams to leave out.
        """
        best = None
        best_score = float("inf")
        is_pull = call_class is calls.CallClass.PULL
        rng_random = self._rng.random
        mean_remote = self._view.mean_remote_in_flight
        trust = self._view.report_trust
        # A single upstream could only be compared with itself.
        single_call_slowness = (
            _SINGLE_CALL_SLOWNESS
            if len(self._view.eligible) > 1
            else float("inf")
        )
        for record in self._candidates() if candidates is None else candidates:
            if _is_excluded(record, now, tried, accept):
                continue
            slots = record.slots
            utilization = (
                record.in_flight(
                    now=now, mean_remote_in_flight=mean_remote, trust=trust
                )
                / slots
            )
            has_free_slot = utilization + 0.5 / slots <= 1.0
            if not has_free_slot and (
                need_free_slot
                or (
                    not use_fair_share
                    and utilization >= 1.0 + _MAX_BACKLOG_SHARE
                )
            ):
                continue
            if max_utilization is not None and utilization + 1.0 / slots > max(
                max_utilization, 1.0 / slots
            ):
                continue
            slowness = record.current_slowness(now)
            if slowness > single_call_slowness and record.local_in_flight:
                continue
            slowness *= record.current_host_slowness(now)
            score = slowness * (
                1.0 + utilization_weight * utilization * utilization
            )
            if not has_free_slot:
                score *= 1.0 + utilization
            if is_pull:
                score *= (1.0 + record.local_pulls) * (
                    1.0 + _PULL_UTILIZATION_WEIGHT * utilization
                )
            score *= 1.0 + _SCORE_JITTER * rng_random()
            score *= typical_latency_s
            zone = record.upstream.availability_zone
            if zone != self._availability_zone:
                score += self._cross_zone_penalty_s
            if score < best_score:
                best = record
                best_score = score
        return best

    def _candidates(self) -> list[loads.UpstreamLoad]:
        records = self._view.eligible
        if len(records) <= _MAX_CANDIDATES:
            return records
        return self._rng.sample(records, _MAX_CANDIDATES)


def _is_excluded(
    record: loads.UpstreamLoad,
    now: float,
    tried: Container[str],
    accept: Callable[[loads.UpstreamLoad], bool] | None,
) -> bool:
    """Returns whether this process may not send the upstream a call now."""
    if record.local_in_flight >= record.slots:
        return True
    if record.ejected_until > now or record.paused_until > now:
        return True
    if (
        record.ramp_starts_at is not None
        and record.local_in_flight >= record.attempt_limit(now)
    ):
        return True
    if tried and record.upstream.upstream_id in tried:
        return True
    return accept is not None and not accept(record)
