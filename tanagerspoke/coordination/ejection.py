"""Outlier ejection of failing upstreams."""

from tanagerspoke.state import loads

_CONSECUTIVE_FAILURES = 3
_BASE_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# Largest share of a service's upstreams that is ejected. If more of them fail,
# the cause is probably common to all, and the remaining upstreams could not
# carry the load.
_MAX_EJECTED_SHARE = 0.34


class Ejector:
    """Ejects upstreams after consecutive failures.

    After an ejection, the upstream's attempt limit rises in a ramp.
    """

    def __init__(self, *, view: loads.LoadView) -> None:
        self._view = view

    def record_success(self, record: loads.UpstreamLoad) -> None:
        """Records a successful response of the upstream."""
        record.consecutive_failures = 0
        if record.ramp_starts_at is None:
            record.ejections = 0

    def record_failure(
        self, *, record: loads.UpstreamLoad, now: float, weight: float = 1.0
    ) -> bool:
        """Records a failure; returns whether it ejects the upstream.

        Args:
            record: the upstream.
            now: monotonic seconds.
            weight: less than 1 for a failure that may have another cause than
                the upstream's health.
        """
        record.consecutive_failures += weight
        # An upstream that fails once during the ramp after an ejection has not
        # recovered.
        is_returning = record.ejections and record.ramp_starts_at is not None
        if (
            not is_returning
            and record.consecutive_failures < _CONSECUTIVE_FAILURES
        ):
            return False
        if record.ejected_until > now or not self._may_eject(now):
            return False
        duration_s = min(
            _MAX_EJECTION_S, _BASE_EJECTION_S * 2.0 ** min(10, record.ejections)
        )
        record.ejections += 1
        record.consecutive_failures = 0
        record.ejected_until = now + duration_s
        record.ramp_starts_at = max(record.ejected_until, record.cold_until)
        return True

    def _may_eject(self, now: float) -> bool:
        records = self._view.eligible
        if len(records) < 2:
            return False
        ejected = sum(1 for r in records if r.ejected_until > now)
        return ejected < max(1, int(_MAX_EJECTED_SHARE * len(records)))
