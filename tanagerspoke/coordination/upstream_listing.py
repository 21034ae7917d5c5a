"""The upstreams in use, from the changes of the platform's list.

Entries lapse while the list's store cannot be reached. A missing entry counts
only once the store was back for some time, since its owner may write it again.
"""

import dataclasses

from tanagerspoke.protocol import listing
from tanagerspoke.protocol import upstreams

# Time after the store's return within which lapsed entries come back.
RETURN_GRACE_S = 2.0
# A store that went on below this share of its usual pace was down for all, so
# that any entry may have lapsed. At its usual pace it was this node alone that
# was cut off. In between, entries lapsed if many of them are missing: an
# outage lapses nearly all, while few upstreams leave at a time.
_DOWN_SHARE = 0.3
_UP_SHARE = 0.8
_LAPSED_SHARE = 0.33
# Stands for the pace before it is known.
_UNKNOWN_SHARE = 0.5
_PACE_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """Position of a report among all reports under one id."""

    started_ms: int
    sequence: int

    @property
    def key(self) -> tuple[int, int]:
        """Sorts reports by the time at which they were made."""
        return (self.started_ms, self.sequence)


class UpstreamListing:
    """Knows each upstream's newest entry."""

    def __init__(self) -> None:
        self._entries: dict[str, listing.ListedUpstream] = {}
        self._orders: dict[str, _Order] = {}
        # A report that was delayed must not bring back an upstream that left.
        self._gone: dict[str, _Order] = {}
        self._position = -1
        self._held: dict[str, float] = {}
        self._grace_until = 0.0
        self._regained = False
        self._read_at: float | None = None
        # Changes of the store in a second, by its positions.
        self._pace_per_s = 0.0

    @property
    def upstreams(self) -> tuple[upstreams.Upstream, ...]:
        """All upstreams in use, those that are leaving included."""
        return tuple(entry.upstream for entry in self._entries.values())

    @property
    def entries(self) -> tuple[listing.ListedUpstream, ...]:
        """The entries in force."""
        return tuple(self._entries.values())

    @property
    def position(self) -> int:
        """Position in the store's changes that the entries are as of."""
        return self._position

    def adopt(
        self,
        entries: tuple[listing.ListedUpstream, ...],
        *,
        position: int,
        now: float,
    ) -> bool:
        """Takes the entries in force at another node.

        Returns whether the upstreams in use differ. Entries as of an older
        position than the own ones are left out.
        """
        if position < self._position:
            return False
        self._note_pace(position, now)
        self._position = position
        changed = False
        names = {entry.upstream.upstream_id for entry in entries}
        for upstream_id in set(self._entries) - names:
            self._forget(upstream_id)
            changed = True
        self._held.clear()
        for entry in entries:
            changed |= self._put(entry.upstream.upstream_id, entry)
        return changed

    @property
    def next_wakeup(self) -> float | None:
        """Time at which `expire` may remove an entry, or None."""
        return min(self._held.values(), default=None)

    def store_regained(self) -> None:
        """Notes that the store answers again after a failure."""
        self._regained = True

    def take(self, changes: listing.ListChanges, now: float) -> bool:
        """Takes changes; returns whether the upstreams in use differ.

        A whole read that is older than what is known already is left out.
        """
        if changes.position < self._position:
            return False
        pace_share = self._note_pace(changes.position, now)
        self._position = changes.position
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
            missing = set(self._entries) - present
            if self._regained:
                self._regained = False
                self._judge_failure(pace_share, len(missing), now)
            for upstream_id in missing:
                changed |= self._remove(upstream_id, now)
        return changed

    def _judge_failure(
        self, pace_share: float, missing: int, now: float
    ) -> None:
        """Holds missing entries where they may have lapsed in an outage."""
        many = missing > _LAPSED_SHARE * len(self._entries)
        if pace_share < _DOWN_SHARE or (pace_share < _UP_SHARE and many):
            self._grace_until = now + RETURN_GRACE_S

    def expire(self, now: float) -> bool:
        """Removes entries that did not come back; returns whether any."""
        due = [name for name, at in self._held.items() if at <= now]
        for upstream_id in due:
            del self._held[upstream_id]
            self._forget(upstream_id)
        return bool(due)

    def _note_pace(self, position: int, now: float) -> float:
        """Returns the store's pace since the last read, 1 being the usual."""
        read_at = self._read_at
        self._read_at = now
        if read_at is None or now <= read_at:
            return _UNKNOWN_SHARE
        pace_per_s = (position - self._position) / (now - read_at)
        usual_per_s = self._pace_per_s
        if not self._regained:
            self._pace_per_s += _PACE_WEIGHT * (pace_per_s - usual_per_s)
        return pace_per_s / usual_per_s if usual_per_s > 0 else _UNKNOWN_SHARE

    def _put(self, upstream_id: str, entry: listing.ListedUpstream) -> bool:
        order = _Order(
            started_ms=entry.upstream.started_ms, sequence=entry.sequence
        )
        known = self._orders.get(upstream_id)
        gone = self._gone.get(upstream_id)
        if known is not None and order.key < known.key:
            return False
        if gone is not None and order.key <= gone.key:
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
        self._forget(upstream_id)
        return True

    def _forget(self, upstream_id: str) -> None:
        del self._entries[upstream_id]
        self._gone[upstream_id] = self._orders.pop(upstream_id)
