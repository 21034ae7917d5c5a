"""Follows the head revision and keeps the active configuration.

Changes are read from the revision log. If the log is trimmed or the gap is
large, a paged scan of all items is used instead. If the table has no newer
revision than the active one but a peer does, its snapshot is fetched. The
active revision is never replaced by an older one.
"""

from collections.abc import Iterable, Mapping
import dataclasses
from typing import TypeAlias

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import randomness
from tanagerspoke.state import config
from tanagerspoke.state import revisions

# Random variation of the poll interval, as a share of it in both directions,
# so that agents which started together do not read the table together.
_POLL_JITTER = 0.25

# Maximum number of revisions to read from the log; beyond that, a scan of the
# items is cheaper.
_MAX_LOG_GAP = 64

# An empty log although the head is newer is treated as a stale read at first;
# after this many such reads the log is considered trimmed.
_MAX_EMPTY_LOG_READS = 2

# Maximum time from a peer's hint of a newer revision to the next poll.
_MAX_HINT_DELAY_S = 0.3

Items: TypeAlias = dict[tuple[str, str], str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeadRead:
    """The head was read; it may be stale."""

    head: revisions.Head | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRead:
    """Log entries were read, in order; `more` if a limit cut off others."""

    changes: tuple[revisions.Change, ...]
    more: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ItemsRead:
    """A page of a scan was read; if `more`, it continues after `last_key`."""

    items: tuple[agent.ConfigItem, ...]
    last_key: str
    more: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed:
    """The table gave no valid reply to the last read."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deferred:
    """The control budget deferred the last read."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerHint:
    """A peer reported its active revision."""

    host: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerSnapshot:
    """A peer replied to `FetchPeerSnapshot`."""

    host: str
    revision: int
    items: tuple[agent.ConfigItem, ...]
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerFailed:
    """A peer gave no valid reply to `FetchPeerSnapshot`."""

    host: str


Event: TypeAlias = (
    Tick
    | HeadRead
    | LogRead
    | ItemsRead
    | ReadFailed
    | Deferred
    | PeerHint
    | PeerSnapshot
    | PeerFailed
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadHead:
    """Read the head row."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadLog:
    """Read the log entries after a revision."""

    after_revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadItems:
    """Read the page of item rows after a key."""

    after_key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchPeerSnapshot:
    """Fetch a peer's snapshot if it is newer than `have_revision`."""

    host: str
    have_revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Install:
    """A newer revision is active; send the update to the gateways."""

    update: agent.ConfigUpdate


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportProblem:
    """Log a revision or snapshot that was rejected for `problem`."""

    revision: int
    problem: str


Read: TypeAlias = ReadHead | ReadLog | ReadItems | FetchPeerSnapshot
Action: TypeAlias = Read | Install | ReportProblem


class ConfigurationFollower:
    """State machine of one agent, with at most one read in flight.

    Args:
        poll_interval_s: mean time between polls of the head.
        rng: for the jitter and the choice of peers.
        now: monotonic seconds.

    Attributes:
        active_config: the newest valid configuration that was read.
        problem: why a newer revision is not active, or empty.
    """

    def __init__(
        self, *, poll_interval_s: float, rng: randomness.Random, now: float
    ) -> None:
        self._poll_interval_s = poll_interval_s
        self._rng = rng
        self._next_poll = now
        self._read_in_flight = False
        self._pending_read: Read | None = None
        self._head: revisions.Head | None = None
        # Items of the newest revision that was read completely. It is newer
        # than the active one if its configuration is invalid.
        self._complete_items: Items = {}
        self._complete_revision = 0
        # Items of the current scan; used only once they match a digest.
        self._scanned_items: Items | None = None
        self._scan_revision = 0
        self._empty_log_reads = 0
        self._hints: dict[str, int] = {}
        self.active_config = config.EMPTY
        self.problem = ""

    @property
    def digest(self) -> str:
        """Digest of the active items."""
        return revisions.digest_of(_as_items(self.active_config.items))

    def full_update(self) -> agent.ConfigUpdate | None:
        """Returns the whole active configuration, or None at the start."""
        if self.active_config.revision == 0:
            return None
        return agent.ConfigUpdate(
            revision=self.active_config.revision,
            base_revision=0,
            items=_as_items(self.active_config.items),
        )

    def handle(self, *, event: Event, now: float) -> list[Action]:
        """Applies an event and returns the resulting actions.

        `now` is in monotonic seconds.
        """
        match event:
            case Tick():
                return self._tick(now)
            case HeadRead(head=head):
                return self._handle_head(head, now)
            case LogRead():
                return self._handle_log(event, now)
            case ItemsRead():
                return self._handle_page(event, now)
            case ReadFailed():
                self._scanned_items = None
                return self._fetch_from_peer() or self._schedule_poll(now)
            case Deferred():
                self._read_in_flight = False
            case PeerHint(host=host, revision=revision):
                self._handle_hint(host, revision, now)
            case PeerSnapshot():
                return self._handle_snapshot(event) + self._schedule_poll(now)
            case PeerFailed(host=host):
                self._hints.pop(host, None)
                return self._schedule_poll(now)
        return []

    def _tick(self, now: float) -> list[Action]:
        if self._read_in_flight:
            return []
        if self._pending_read is not None:
            return self._start_read(self._pending_read)
        if now < self._next_poll:
            return []
        return self._start_read(ReadHead())

    def _start_read(self, action: Read) -> list[Action]:
        self._read_in_flight = True
        self._pending_read = action
        return [action]

    def _schedule_poll(self, now: float) -> list[Action]:
        self._read_in_flight = False
        self._pending_read = None
        jitter = self._rng.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
        self._next_poll = now + self._poll_interval_s * jitter
        return []

    def _handle_head(
        self, head: revisions.Head | None, now: float
    ) -> list[Action]:
        if head is None or head.revision <= self._complete_revision:
            return self._fetch_from_peer() or self._schedule_poll(now)
        self._head = head
        if (
            self._complete_revision
            and head.revision - self._complete_revision <= _MAX_LOG_GAP
        ):
            return self._start_read(
                ReadLog(after_revision=self._complete_revision)
            )
        return self._start_scan()

    def _start_scan(self) -> list[Action]:
        assert self._head is not None
        self._empty_log_reads = 0
        self._scanned_items = {}
        self._scan_revision = self._head.revision
        return self._start_read(ReadItems(after_key=""))

    def _handle_page(self, event: ItemsRead, now: float) -> list[Action]:
        if self._scanned_items is None or self._head is None:
            return self._schedule_poll(now)
        self._scanned_items.update(_as_item_bodies(event.items))
        if event.more:
            return self._start_read(ReadItems(after_key=event.last_key))
        if self._matches_digest(self._scanned_items, self._head.digest):
            return self._advance(
                items=self._scanned_items, revision=self._scan_revision
            ) + self._schedule_poll(now)
        # If there were commits during the scan, it may have read a part of
        # their items, and the digest differs. Applying the log entries after
        # the head that was read before the scan replaces or removes all of
        # these items.
        return self._start_read(ReadLog(after_revision=self._scan_revision))

    def _handle_log(self, event: LogRead, now: float) -> list[Action]:
        is_scan = self._scanned_items is not None
        items = dict(
            self._scanned_items
            if self._scanned_items is not None
            else self._complete_items
        )
        revision = self._scan_revision if is_scan else self._complete_revision
        confirmed: tuple[Items, int] | None = None
        for change in event.changes:
            if change.revision <= revision:
                continue
            if change.revision != revision + 1:
                break
            _apply_changes(items, change.items)
            revision = change.revision
            if self._matches_digest(items, change.digest):
                confirmed = dict(items), revision
        if confirmed is not None:
            actions = self._advance(items=confirmed[0], revision=confirmed[1])
            if event.more:
                return actions + self._start_read(
                    ReadLog(after_revision=self._complete_revision)
                )
            return actions + self._schedule_poll(now)
        self._empty_log_reads += not event.changes
        is_stale_read = (
            not event.changes and self._empty_log_reads < _MAX_EMPTY_LOG_READS
        )
        if is_scan or is_stale_read:
            # A stale read; the next poll starts over.
            self._scanned_items = None
            return self._schedule_poll(now)
        # The log is trimmed, or its entries do not match the known items.
        return self._start_scan()

    def _matches_digest(self, items: Items, digest: str) -> bool:
        if not digest:
            return True
        return revisions.digest_of(_as_items(items)) == digest

    def _advance(self, *, items: Items, revision: int) -> list[Action]:
        self._scanned_items = None
        self._empty_log_reads = 0
        if revision <= self._complete_revision:
            return []
        self._complete_items = items
        self._complete_revision = revision
        return self._install(items=items, revision=revision)

    def _install(self, *, items: Items, revision: int) -> list[Action]:
        if revision <= self.active_config.revision:
            return []
        try:
            snapshot = config.compile_items(
                revision=revision, items=dict(items)
            )
        except exceptions.DeclarationError as exc:
            self.problem = f"revision {revision}: {exc}"
            return [ReportProblem(revision=revision, problem=self.problem)]
        previous = self.active_config
        self.active_config = snapshot
        if revision >= self._complete_revision:
            self.problem = ""
        return [
            Install(
                update=agent.ConfigUpdate(
                    revision=revision,
                    base_revision=previous.revision,
                    items=_difference(previous.items, snapshot.items),
                )
            )
        ]

    def _handle_hint(self, host: str, revision: int, now: float) -> None:
        if revision <= self.active_config.revision:
            self._hints.pop(host, None)
            return
        if self._hints.get(host, 0) >= revision:
            return
        self._hints[host] = revision
        poll_at = now + self._rng.uniform(0, _MAX_HINT_DELAY_S)
        self._next_poll = min(self._next_poll, poll_at)

    def _fetch_from_peer(self) -> list[Action]:
        newer = sorted(
            host
            for host, revision in self._hints.items()
            if revision > self.active_config.revision
        )
        if not newer:
            return []
        return self._start_read(
            FetchPeerSnapshot(
                host=self._rng.choice(newer),
                have_revision=self.active_config.revision,
            )
        )

    def _handle_snapshot(self, event: PeerSnapshot) -> list[Action]:
        # The hint is dropped even if the snapshot is older than the hint said;
        # otherwise each failed poll would fetch the same snapshot again.
        self._hints.pop(event.host, None)
        if event.revision <= self.active_config.revision:
            return []
        items = _as_item_bodies(event.items)
        if revisions.digest_of(event.items) != event.digest:
            problem = f"snapshot of {event.host} does not match its digest"
            return [ReportProblem(revision=event.revision, problem=problem)]
        actions = self._install(items=items, revision=event.revision)
        installed = self.active_config.revision == event.revision
        if installed and event.revision > self._complete_revision:
            self._complete_items = items
            self._complete_revision = event.revision
        return actions


def _as_items(
    bodies: Mapping[tuple[str, str], str],
) -> tuple[agent.ConfigItem, ...]:
    return tuple(
        agent.ConfigItem(kind=kind, name=name, body=body)
        for (kind, name), body in bodies.items()
    )


def _as_item_bodies(items: Iterable[agent.ConfigItem]) -> Items:
    return {(item.kind, item.name): item.body for item in items}


def _apply_changes(items: Items, changed: Iterable[agent.ConfigItem]) -> None:
    for item in changed:
        if item.body:
            items[item.kind, item.name] = item.body
        else:
            items.pop((item.kind, item.name), None)


def _difference(
    previous: Mapping[tuple[str, str], str],
    current: Mapping[tuple[str, str], str],
) -> tuple[agent.ConfigItem, ...]:
    changed = {
        key: body for key, body in current.items() if previous.get(key) != body
    }
    changed.update({key: "" for key in previous if key not in current})
    return _as_items(changed)
