"""The upstreams in use, from the changes of the platform's list.

Entries lapse while the list's store cannot be reached. A missing entry counts
only once the store was back for some time, since its owner may write it again.
"""

import dataclasses

from tanagerspoke.protocol import listing
from tanagerspoke.protocol import upstreams

# Time after the store's return within which lapsed entries come back.
RETURN_GRACE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """Position of a report among all reports under one id."""

    started_ms: int
    sequence: int

    def is_older_than(self, other: "_Order") -> bool:
        """Returns whether the other report came later."""
        return (self.started_ms, self.sequence) < (
            other.started_ms,
            other.sequence,
        )


class UpstreamListing:
    """Knows each upstream's newest entry."""

    def __init__(self) -> None:
        self._entries: dict[str, listing.ListedUpstream] = {}
        # Also of entries that are gone: a report that was delayed must not
        # bring back an upstream that left.
        self._orders: dict[str, _Order] = {}
        self._held: dict[str, float] = {}
        self._grace_until = 0.0

    @property
    def upstreams(self) -> tuple[upstreams.Upstream, ...]:
        """All upstreams in use, those that are leaving included."""
        return tuple(entry.upstream for entry in self._entries.values())

    @property
    def next_wakeup(self) -> float | None:
        """Time at which `expire` may remove an entry, or None."""
        return min(self._held.values(), default=None)

    def store_regained(self, now: float) -> None:
        """Notes that the store answers again after a failure."""
        self._grace_until = now + RETURN_GRACE_S

    def take(self, changes: listing.ListChanges, now: float) -> bool:
        """Takes changes; returns whether the upstreams in use differ."""
        changed = False
        present = set()
        for change in changes.changes:
            if change.entry is not None:
                present.add(change.upstream_id)
                changed |= self._put(change.upstream_id, change.entry)
            elif change.problem is None:
                changed |= self._remove(change.upstream_id, now)
            else:
                # The last readable entry stays in force.
                present.add(change.upstream_id)
        if changes.whole:
            for upstream_id in set(self._entries) - present:
                changed |= self._remove(upstream_id, now)
        return changed

    def expire(self, now: float) -> bool:
        """Removes entries that did not come back; returns whether any."""
        due = [name for name, at in self._held.items() if at <= now]
        for upstream_id in due:
            del self._held[upstream_id]
            self._entries.pop(upstream_id, None)
        return bool(due)

    def _put(self, upstream_id: str, entry: listing.ListedUpstream) -> bool:
        order = _Order(
            started_ms=entry.upstream.started_ms, sequence=entry.sequence
        )
        known = self._orders.get(upstream_id)
        if known is not None and order.is_older_than(known):
            return False
        self._orders[upstream_id] = order
        self._held.pop(upstream_id, None)
        before = self._entries.get(upstream_id)
        self._entries[upstream_id] = entry
        return before is None or before.upstream != entry.upstream

    def _remove(self, upstream_id: str, now: float) -> bool:
        if upstream_id not in self._entries:
            return False
        if now < self._grace_until:
            self._held.setdefault(upstream_id, self._grace_until)
            return False
        self._held.pop(upstream_id, None)
        del self._entries[upstream_id]
        return True
