"""Lists and change feeds of the store that arrive in several replies."""

import asyncio
from collections.abc import Callable
import json

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tanagerspoke import exceptions
from tanagerspoke.coordination import upstream_listing
from tanagerspoke.platform import store
from tanagerspoke.platform import wire
from tanagerspoke.protocol import listing
from tanagerspoke.settings import options

_KEYS = ("w0", "w1", "w2", "w3", "w4")
# Between two replies: keys to write, and keys with a `-` to remove.
_CHANGES = strategies.lists(
    strategies.sampled_from(_KEYS + tuple(f"-{key}" for key in _KEYS)),
    max_size=3,
)
_CHANGES_BETWEEN_REPLIES = strategies.lists(_CHANGES, max_size=6)


def _entry(sequence: int) -> bytes:
    return json.dumps(
        {
            "service": "shop",
            "address": "127.0.0.1:7000",
            "zone": "a",
            "slots": 1,
            "state": "ready",
            "seq_no": sequence,
            "born": 1000,
        }
    ).encode()


class _Table:
    """The workers' table of a store, with all of its earlier states.

    Attributes:
        states: sequence number of each entry, by version of the store.
        page_rows: maximum number of rows in a reply.
        repeats_rows: whether the feed returns each change of a row, rather
            than the last one only.
    """

    def __init__(self, *, page_rows: int, repeats_rows: bool) -> None:
        self.states: dict[int, dict[str, int]] = {0: {}}
        self.page_rows = page_rows
        self.repeats_rows = repeats_rows
        self.version = 0
        self._rows: dict[str, wire.Row] = {}
        self._feed: list[wire.Row] = []
        self._compacted = 0

    def apply(self, change: str) -> None:
        key = change.removeprefix("-")
        self.version += 1
        if change == key:
            row = wire.Row(
                key=key, ver=self.version, value=_entry(self.version)
            )
            self._rows[key] = row
        else:
            row = wire.Row(key=key, ver=self.version, deleted=True)
            self._rows.pop(key, None)
        self._feed.append(row)
        self.states[self.version] = {
            key: row.ver for key, row in self._rows.items()
        }

    def compact(self) -> None:
        self._compacted = self.version

    def reply(self, path: str, params: dict[str, str]) -> wire.RowsReply:
        if path == "/rows-get":
            first_key = params.get("from", "")
            rows = [
                row
                for key, row in sorted(self._rows.items())
                if key >= first_key
            ]
        else:
            rows = self._changed_rows(int(params["after"]))
        return wire.RowsReply(
            rows=tuple(rows[: self.page_rows]),
            ver=self.version,
            has_more=len(rows) > self.page_rows,
        )

    def _changed_rows(self, after: int) -> list[wire.Row]:
        if after < self._compacted:
            raise exceptions.HistoryLostError("rows-feed")
        rows = [row for row in self._feed if row.ver > after]
        if self.repeats_rows:
            return rows
        last = {row.key: row.ver for row in rows}
        return [row for row in rows if last[row.key] == row.ver]


class _Store(store.PlatformStore):
    """A client whose replies come from a table that changes meanwhile.

    Attributes:
        between_replies: called after each reply was chosen.
    """

    def __init__(self, *, table: _Table) -> None:
        super().__init__(endpoint=options.Endpoint(address="127.0.0.1", port=1))
        self._table = table
        self.between_replies: Callable[[], None] = lambda: None

    def change_between_replies(self, changes: list[list[str]]) -> None:
        """Applies the next of these changes to the table after each reply."""
        pending = list(changes)

        def apply_next() -> None:
            for change in pending.pop(0) if pending else ():
                self._table.apply(change)

        self.between_replies = apply_next

    async def _get_rows(
        self, path: str, params: dict[str, str], *, wait_s: float = 0.0
    ) -> wire.RowsReply:
        del wait_s
        reply = self._table.reply(path, params)
        self.between_replies()
        return reply


class _Node:
    """Follows the table as an edge node does."""

    def __init__(self, *, table: _Table) -> None:
        self._source = _Store(table=table)
        self._position: int | None = None
        self.listing = upstream_listing.UpstreamListing()

    def read(self, changes_between_replies: list[list[str]]) -> None:
        self._source.change_between_replies(changes_between_replies)
        try:
            changes = asyncio.run(self._read_next())
        except exceptions.HistoryLostError:
            self._position = None
            return
        self._position = changes.position
        self.listing.apply_changes(changes, 0.0)

    async def _read_next(self) -> listing.ListChanges:
        if self._position is None:
            return await self._source.read_upstreams(services=None)
        return await self._source.read_upstream_changes(
            position=self._position, services=None
        )

    @property
    def entries(self) -> dict[str, int]:
        return {
            entry.upstream.upstream_id: entry.sequence
            for entry in self.listing.entries_at(0.0)
        }


class FollowedListMachine(stateful.RuleBasedStateMachine):
    """Guards against lost and reverted changes of a list.

    Nodes read the list in several replies, follow its changes and take over
    each other's lists, while entries are added, renewed and removed.
    """

    @stateful.initialize(
        page_rows=strategies.integers(1, 4), repeats_rows=strategies.booleans()
    )
    def create(self, page_rows: int, repeats_rows: bool) -> None:
        self.table = _Table(page_rows=page_rows, repeats_rows=repeats_rows)
        for key in _KEYS:
            self.table.apply(key)
        self.nodes = [_Node(table=self.table) for _ in range(2)]

    @stateful.rule(change=_CHANGES)
    def change(self, change: list[str]) -> None:
        for key in change:
            self.table.apply(key)

    @stateful.rule(
        number=strategies.integers(0, 1), between=_CHANGES_BETWEEN_REPLIES
    )
    def read(self, number: int, between: list[list[str]]) -> None:
        self.nodes[number].read(between)

    @stateful.rule(number=strategies.integers(0, 1))
    def take_over_list(self, number: int) -> None:
        sender = self.nodes[1 - number].listing
        if sender.position >= 0:
            self.nodes[number].listing.apply_snapshot(
                sender.entries_at(0.0), position=sender.position, now=0.0
            )

    @stateful.rule()
    def lose_history(self) -> None:
        self.table.compact()

    @stateful.invariant()
    def lists_are_states_of_the_table(self) -> None:
        for node in getattr(self, "nodes", ()):
            if node.listing.position >= 0:
                state = self.table.states[node.listing.position]
                assert node.entries == state


FollowedListMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=20, deadline=None
)
TestFollowedList = FollowedListMachine.TestCase


def _read_list(
    table: _Table, changes: list[list[str]]
) -> tuple[listing.ListChanges, dict[str, int]]:
    """Reads the list; returns it with its entries' sequence numbers."""
    source = _Store(table=table)
    source.change_between_replies(changes)
    listed = asyncio.run(source.read_upstreams(services=None))
    entries = {
        change.upstream_id: change.entry.sequence for change in listed.changes
    }
    return listed, entries


def test_change_of_an_earlier_page_is_not_lost() -> None:
    """Guards against an upstream whose end is never noticed.

    Its row changes, is added or is removed after its page was read.
    """
    for boundary in range(3):
        table = _Table(page_rows=2, repeats_rows=True)
        for key in ("w1", "w2", "w3", "w4"):
            table.apply(key)
        changes: list[list[str]] = [[], [], []]
        changes[boundary] = ["w1", "-w2", "w0"]
        listed, entries = _read_list(table, changes)
        assert entries == table.states[listed.position]


def test_history_lost_during_the_read_keeps_a_safe_position() -> None:
    """Guards against changes between pages that no later read returns."""
    table = _Table(page_rows=2, repeats_rows=True)
    for key in _KEYS:
        table.apply(key)
    first_version = table.version
    source = _Store(table=table)

    def change_and_compact() -> None:
        table.apply("w0")
        table.compact()

    source.between_replies = change_and_compact
    listed = asyncio.run(source.read_upstreams(services=None))
    assert listed.position == first_version
