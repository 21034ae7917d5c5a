"""Ends of the cold periods that upstreams state in their entries.

An entry holds the time that was left when it was written. It is read later, so
each end that is derived from it is at or after the actual one, by the time that
the entry was under way. An end is derived once from each entry: a copy that
arrives again later must not prolong the cold period.
"""

from collections.abc import Mapping

# Difference between two ends of the same cold period that may come from the
# time that entries are under way, which is one interval between two reads.
# Entries whose end is earlier by less are ignored, since the whole list is
# sent to other nodes with each change.
_TRANSIT_TOLERANCE_S = 2.0


class ColdEnds:
    """Ends of cold periods by upstream, in monotonic seconds."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    @property
    def until(self) -> Mapping[str, float]:
        """End of the cold period of each upstream that stated one."""
        return dict(self._until)

    def left_s(self, upstream_id: str, now: float) -> float:
        """Returns the time for which an upstream stays cold, 0 if it is not."""
        return max(0.0, self._until.get(upstream_id, now) - now)

    def record_entry(
        self,
        *,
        upstream_id: str,
        is_new_process: bool,
        left_s: float,
        now: float,
    ) -> bool:
        """Records a new entry; returns whether the end changed.

        Args:
            upstream_id: upstream that wrote it.
            is_new_process: whether it is the first one of its process.
            left_s: time that was left when the entry was sent.
            now: monotonic seconds.
        """
        if is_new_process:
            self._until.pop(upstream_id, None)
        known = max(now, self._until.get(upstream_id, now))
        until = now + left_s
        if known - _TRANSIT_TOLERANCE_S <= until <= known:
            return False
        self._until[upstream_id] = until
        return True

    def forget(self, upstream_id: str) -> None:
        """Forgets an upstream that was removed."""
        self._until.pop(upstream_id, None)
