"""Decides when a node uses cold upstreams beside the others.

A cold upstream takes about twice the usual time and tolerates few calls. It is
used for calls that would otherwise wait, and not for hedges, which are meant
to be faster than the first attempt.
"""

from collections.abc import Callable, Mapping

from tanagerspoke.protocol import upstreams
from tanagerspoke.state import loads

# Time that a call waits for a free upstream that is not cold: two rounds of
# probes, after which most of the zone's upstreams have been asked.
_MIN_WAIT_S = 0.03


class ColdChoice:
    """Cold upstreams of one service, if their calls are limited."""

    def __init__(
        self, *, view: loads.LoadView, limits_cold: Callable[[], bool]
    ) -> None:
        """Creates an instance.

        Args:
            view: the service's upstreams.
            limits_cold: returns whether calls of cold upstreams are limited;
                otherwise no upstream counts as cold here.
        """
        self._view = view
        self._limits_cold = limits_cold

    def apply_entries(
        self, cold_until: Mapping[str, float], now: float
    ) -> None:
        """Sets the ends of cold periods that entries state, by upstream."""
        if cold_until:
            self._view.set_cold_until(
                cold_until, ramps=self._limits_cold(), now=now
            )

    def apply_notice(
        self,
        upstream: upstreams.Upstream,
        notice: upstreams.Notice,
        now: float,
    ) -> None:
        """Sets the end of a cold period that a health response states."""
        if notice.cold_s is not None:
            self._view.apply_cold_notice(
                upstream, notice.cold_s, ramps=self._limits_cold(), now=now
            )

    def has_any(self, now: float) -> bool:
        """Returns whether an eligible upstream is cold."""
        return self._view.has_cold(now) and self._limits_cold()

    def is_cold(
        self,
        record: loads.UpstreamLoad,
        now: float,
        *,
        include_unlimited: bool = False,
    ) -> bool:
        """Returns whether an upstream is cold.

        Args:
            record: the upstream.
            now: monotonic seconds.
            include_unlimited: whether an upstream is also cold if its calls
                are not limited, or if only its load report says so.
        """
        if include_unlimited:
            return (
                record.is_cold(now)
                or record.phase is upstreams.UpstreamPhase.COLD
            )
        return record.is_cold(now) and self._limits_cold()

    def may_use(self, *, queued_at: float, now: float) -> bool:
        """Returns whether a queued call may go to a cold upstream.

        Either it has waited for another one, or there is none.
        """
        if not self.has_any(now):
            return False
        return now - queued_at >= _MIN_WAIT_S or all(
            record.is_cold(now)
            or record.ejected_until > now
            or record.paused_until > now
            for record in self._view.eligible
        )
