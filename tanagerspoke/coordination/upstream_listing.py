"""The upstreams in use, tracked from changes of the platform's list.

Entries expire in the store while the upstreams cannot reach it to renew them.
After such an outage, missing entries are held for a short time, because the
upstreams may write them again.
"""

import collections
from collections.abc import Mapping
import dataclasses

from tanagerspoke.coordination.cold_upstreams import cold_ends
from tanagerspoke.protocol import listing
from tanagerspoke.protocol import upstreams
from tanagerspoke.protocol import zone_feed

# Time after the store's recovery within which upstreams write their lapsed
# entries again.
STORE_RECOVERY_GRACE_S = 2.0
# If more than this share of a service's entries is missing after a failure of
# the store, they are assumed to have lapsed in an outage. If fewer are missing,
# their upstreams are assumed to have left.
_MIN_LAPSED_SHARE = 0.5
# Maximum number of removed upstreams to remember. At 190 restarts a day, the
# design size, this covers about 20 days; reports are minutes late at most.
_MAX_REMOVED = 4096
# Leaving upstreams in a message to other nodes.
_MAX_SENT_LEAVING = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ReportOrder:
    """Order of a report among all reports with the same upstream id."""

    started_ms: int
    sequence: int

    @property
    def key(self) -> tuple[int, int]:
        """Sort key in the order in which the reports were made."""
        return (self.started_ms, self.sequence)


class UpstreamListing:
    """Keeps the newest entry of each upstream."""

    def __init__(self) -> None:
        self._entries: dict[str, listing.ListedUpstream] = {}
        self._orders: dict[str, _ReportOrder] = {}
        self._cold_ends = cold_ends.ColdEnds()
        # Newest reports of removed upstreams, so that a delayed report cannot
        # add an upstream again after it left.
        self._removed: dict[str, _ReportOrder] = {}
        # Start times of upstreams that stated in a response that they are
        # leaving, by id, in the order in which this became known.
        self._leaving_started_ms: dict[str, int] = {}
        self._position = -1
        self._held_until: dict[str, float] = {}
        self._grace_ends_at = 0.0
        self._lapsed_services: set[str] = set()
        self._store_recovered = False

    @property
    def upstreams(self) -> tuple[upstreams.Upstream, ...]:
        """All upstreams in use, including those that are draining."""
        return tuple(entry.upstream for entry in self._entries.values())

    def entries_at(self, now: float) -> tuple[listing.ListedUpstream, ...]:
        """Returns the entries in use, with the cold time that is left now.

        Another node counts it from the arrival of the entries.
        """
        return tuple(
            dataclasses.replace(
                entry,
                remaining_cold_s=min(
                    entry.remaining_cold_s,
                    self._cold_ends.left_s(entry.upstream.upstream_id, now),
                ),
            )
            if entry.remaining_cold_s
            else entry
            for entry in self._entries.values()
        )

    @property
    def cold_until(self) -> Mapping[str, float]:
        """Ends of the cold periods that entries state, by upstream."""
        return self._cold_ends.until

    @property
    def position(self) -> int:
        """Position in the store's change history that the entries reflect."""
        return self._position

    @property
    def leaving(self) -> tuple[zone_feed.LeavingUpstream, ...]:
        """Upstreams that stated most recently that they are leaving."""
        recent = list(self._leaving_started_ms.items())[-_MAX_SENT_LEAVING:]
        return tuple(
            zone_feed.LeavingUpstream(upstream_id=upstream_id, started_ms=at)
            for upstream_id, at in recent
        )

    def mark_leaving(self, upstream: zone_feed.LeavingUpstream) -> bool:
        """Records that an upstream stated that it is leaving.

        This holds until its next start, whatever its entry says. Returns False
        if it was known.
        """
        upstream_id = upstream.upstream_id
        known = self._leaving_started_ms.pop(upstream_id, -1)
        self._leaving_started_ms[upstream_id] = max(known, upstream.started_ms)
        if len(self._leaving_started_ms) > _MAX_REMOVED:
            oldest = next(iter(self._leaving_started_ms))
            del self._leaving_started_ms[oldest]
        entry = self._entries.get(upstream_id)
        if entry is not None:
            self._entries[upstream_id] = self._with_leaving(entry)
        return known < upstream.started_ms

    def _with_leaving(
        self, entry: listing.ListedUpstream
    ) -> listing.ListedUpstream:
        upstream = entry.upstream
        leaving_ms = self._leaving_started_ms.get(upstream.upstream_id)
        if leaving_ms is None or upstream.started_ms > leaving_ms:
            return entry
        return dataclasses.replace(
            entry, upstream=dataclasses.replace(upstream, leaving=True)
        )

    def apply_snapshot(
        self,
        entries: tuple[listing.ListedUpstream, ...],
        *,
        position: int,
        now: float,
    ) -> bool:
        """Replaces the entries by those of another node.

        Returns whether the upstreams in use changed. A snapshot with an older
        position than this listing is ignored.
        """
        if position < self._position:
            return False
        self._position = position
        changed = False
        upstream_ids = {entry.upstream.upstream_id for entry in entries}
        for upstream_id in set(self._entries) - upstream_ids:
            self._drop_entry(upstream_id)
            changed = True
        self._held_until.clear()
        for entry in entries:
            changed |= self._apply_entry(entry.upstream.upstream_id, entry, now)
        return changed

    @property
    def held_count(self) -> int:
        """Number of missing entries that are held for the grace time."""
        return len(self._held_until)

    @property
    def removed_count(self) -> int:
        """Number of removed upstreams that are remembered."""
        return len(self._removed)

    @property
    def next_wakeup(self) -> float | None:
        """Time of the next `expire` that may remove an entry, or None."""
        return min(self._held_until.values(), default=None)

    def record_store_recovery(self) -> None:
        """Records that the store replies again after a failure."""
        self._store_recovered = True

    def apply_changes(self, changes: listing.ListChanges, now: float) -> bool:
        """Applies changes; returns whether the upstreams in use changed.

        Changes with an older position than this listing are ignored.
        """
        if changes.position < self._position:
            return False
        self._position = changes.position
        changed = False
        present = set()
        for change in changes.changes:
            if change.entry is not None:
                present.add(change.upstream_id)
                changed |= self._apply_entry(
                    change.upstream_id, change.entry, now
                )
            elif change.problem is None:
                changed |= self._apply_removal(change.upstream_id, now)
            else:
                # The last readable entry stays in use.
                present.add(change.upstream_id)
        if changes.complete:
            missing = set(self._entries) - present
            if self._store_recovered:
                self._store_recovered = False
                self._detect_lapsed_services(missing, now)
            for upstream_id in missing:
                changed |= self._apply_removal(upstream_id, now)
        return changed

    def _detect_lapsed_services(self, missing: set[str], now: float) -> None:
        """Starts the grace time of services whose entries have lapsed."""
        listed_counts = collections.Counter(
            entry.upstream.service for entry in self._entries.values()
        )
        missing_counts = collections.Counter(
            self._entries[upstream_id].upstream.service
            for upstream_id in missing
        )
        self._grace_ends_at = now + STORE_RECOVERY_GRACE_S
        self._lapsed_services = {
            service
            for service, count in missing_counts.items()
            if count > _MIN_LAPSED_SHARE * listed_counts[service]
        }

    def expire(self, now: float) -> bool:
        """Removes held entries after the grace time.

        Returns whether any entry was removed.
        """
        due = [
            upstream_id
            for upstream_id, until in self._held_until.items()
            if until <= now
        ]
        for upstream_id in due:
            del self._held_until[upstream_id]
            self._drop_entry(upstream_id)
        return bool(due)

    def _apply_entry(
        self, upstream_id: str, entry: listing.ListedUpstream, now: float
    ) -> bool:
        order = _ReportOrder(
            started_ms=entry.upstream.started_ms, sequence=entry.sequence
        )
        known = self._orders.get(upstream_id)
        removed = self._removed.get(upstream_id)
        if known is not None and order.key < known.key:
            return False
        if removed is not None and order.key <= removed.key:
            return False
        cold_changed = order != known and self._cold_ends.record_entry(
            upstream_id=upstream_id,
            is_new_process=(
                known is None or known.started_ms != order.started_ms
            ),
            left_s=entry.remaining_cold_s,
            now=now,
        )
        self._orders[upstream_id] = order
        self._held_until.pop(upstream_id, None)
        previous = self._entries.get(upstream_id)
        entry = self._with_leaving(entry)
        self._entries[upstream_id] = entry
        return (
            previous is None
            or previous.upstream != entry.upstream
            or cold_changed
        )

    def _apply_removal(self, upstream_id: str, now: float) -> bool:
        if upstream_id not in self._entries:
            return False
        service = self._entries[upstream_id].upstream.service
        if now < self._grace_ends_at and service in self._lapsed_services:
            self._held_until.setdefault(upstream_id, self._grace_ends_at)
            return False
        self._held_until.pop(upstream_id, None)
        self._drop_entry(upstream_id)
        return True

    def _drop_entry(self, upstream_id: str) -> None:
        del self._entries[upstream_id]
        self._cold_ends.forget(upstream_id)
        # Removing the id first moves it to the end, so that the ids are in
        # the order of removal, the oldest first.
        self._removed.pop(upstream_id, None)
        self._removed[upstream_id] = self._orders.pop(upstream_id)
        if len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
