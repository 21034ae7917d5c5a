"""Commits changes to the platform's table."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Protocol
import uuid

from tanagerspoke import exceptions
from tanagerspoke.commands import changes
from tanagerspoke.protocol import platform
from tanagerspoke.state import revisions

# With the exponential backoff, all attempts together take about 20 s.
_MAX_ATTEMPTS = 10
_INITIAL_DELAY_S = 0.1
_MAX_DELAY_S = 4.0

_SCAN_PAGE_ROWS = 500


class TableClient(Protocol):
    """Table operations of the platform client that a commit uses."""

    async def get(self, key: str) -> platform.Row | None:
        """Returns a row; None if it does not exist."""

    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 500
    ) -> platform.ScanReply:
        """Returns rows whose keys have a prefix, after the key `after`."""

    async def transact(
        self, transaction: platform.Transaction
    ) -> platform.TransactionReply:
        """Submits a transaction; returns a commit or a rejection."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """State of the table after a command.

    Attributes:
        revision: revision in which the table matches the declared items.
        origin: see `revisions.Head.origin`.
        items: revision of each declared item, by `kind/name`.
        changed_count: number of items that the commit changed.
    """

    revision: int
    origin: str
    items: dict[str, int]
    changed_count: int


class OutcomeUnknownError(exceptions.PlatformError):
    """It is unknown whether the change was committed."""


async def read_state(
    table: TableClient, *, backoff: "Backoff | None" = None
) -> changes.TableState:
    """Returns the head and the items of the same revision.

    Args:
        table: the platform's table.
        backoff: delays between attempts; None for the default.

    Raises:
        PlatformError: the table is unavailable, or every attempt reads items
            that do not match the head.
    """
    backoff = backoff or Backoff()
    for _ in range(_MAX_ATTEMPTS):
        state = await _read_head_and_items(table)
        if state.consistent:
            return state
        # Another commit during the scan, or a stale read.
        await backoff.wait()
    raise exceptions.PlatformError(
        "the items in the table do not match the head's digest; "
        "try again when the table's reads are current"
    )


async def _read_head_and_items(table: TableClient) -> changes.TableState:
    head_row = await table.get(revisions.HEAD_KEY)
    items: dict[str, changes.StoredRow] = {}
    after = ""
    more = True
    while more:
        page = await table.scan(
            prefix=revisions.ITEM_PREFIX, after=after, limit=_SCAN_PAGE_ROWS
        )
        for row in page.rows:
            after = row.key
            name = row.key.removeprefix(revisions.ITEM_PREFIX)
            items[name] = changes.StoredRow(
                stored=revisions.decode_stored(row.value),
                version=row.version,
            )
        more = page.more and bool(page.rows)
    return changes.TableState(
        head=None
        if head_row is None
        else revisions.decode_head(head_row.value),
        head_version=0 if head_row is None else head_row.version,
        items=items,
    )


class Committer:
    """Commits a desired state on top of the table's current head.

    Args:
        table: the platform's table.
        author: recorded in the head and in the revision log.
        new_change_id: returns a unique change id.
        new_backoff: returns the delays between attempts; None for the
            default.
    """

    def __init__(
        self,
        *,
        table: TableClient,
        author: str,
        new_change_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        new_backoff: Callable[[], "Backoff"] | None = None,
    ) -> None:
        self._table = table
        self._author = author
        self._new_change_id = new_change_id
        self._new_backoff = new_backoff or Backoff

    async def commit(self, desired: changes.DesiredState) -> Outcome:
        """Commits at most once; retries after commits of unrelated items.

        Raises:
            ConflictError: another operator changed an item that this change
                modifies.
            DeclarationError: the table's declarations would be invalid, or
                the change is too large.
            OutcomeUnknownError: it is unknown whether the change was
                committed.
            PlatformError: nothing was committed.
        """
        backoff = self._new_backoff()
        for _ in range(_MAX_ATTEMPTS):
            state = await read_state(self._table, backoff=self._new_backoff())
            if _is_older_than_lock(state, desired):
                await backoff.wait()
                continue
            item_changes = changes.find_changes(state=state, desired=desired)
            if not item_changes:
                return unchanged_outcome(state, desired)
            try:
                _raise_on_conflict(item_changes)
                changes.check_declarations(state=state, changes=item_changes)
            except (changes.ConflictError, exceptions.DeclarationError):
                if await self._is_head_current(state):
                    raise
                await backoff.wait()
                continue
            head, transaction = changes.build_transaction(
                state=state,
                changes=item_changes,
                change_id=self._new_change_id(),
                author=self._author,
            )
            if await self._submit(head, transaction):
                return _committed_outcome(state, desired, item_changes, head)
            await backoff.wait()
        raise exceptions.PlatformError(
            f"{_MAX_ATTEMPTS} attempts failed because of stale reads or "
            "commits of other operators; nothing was changed; try again"
        )

    async def _is_head_current(self, state: changes.TableState) -> bool:
        """Returns whether the table still has the head that was read.

        Reads may be stale, but the conditions of a transaction are checked
        against the current rows. This prevents a refusal that is based on a
        stale read.
        """
        condition: platform.Condition = platform.Absent()
        if state.head is not None:
            condition = platform.VersionIs(version=state.head_version)
        check = platform.Operation(
            key=revisions.HEAD_KEY,
            condition=condition,
            write=platform.Check(),
        )
        try:
            reply = await self._table.transact(
                platform.Transaction(operations=(check,))
            )
        except exceptions.PlatformError:
            return False
        return isinstance(reply, platform.Committed)

    async def _submit(
        self, head: revisions.Head, transaction: platform.Transaction
    ) -> bool:
        """Submits a transaction; returns whether it was committed.

        Without a response the same transaction is submitted again. This is
        safe, since its conditions hold at most once: if an earlier submission
        was committed, the rows of the conflict contain its change id.

        Raises:
            OutcomeUnknownError: no attempt got a response.
        """
        backoff = self._new_backoff()
        unanswered = False
        for _ in range(_MAX_ATTEMPTS):
            try:
                reply = await self._table.transact(transaction)
            except exceptions.PlatformError:
                unanswered = True
                await backoff.wait()
                continue
            if isinstance(reply, platform.Committed):
                return True
            if not unanswered:
                return False
            return await self._was_committed(head, reply)
        raise OutcomeUnknownError(
            f"the table did not answer; whether change {head.change_id} was "
            f"committed as revision {head.revision} is unknown; run the "
            "command again when the table answers"
        )

    async def _was_committed(
        self, head: revisions.Head, reply: platform.Rejected
    ) -> bool:
        """Returns whether the conflicting rows contain the change id."""
        for conflict in reply.conflicts:
            if conflict.row is None:
                continue
            if conflict.key == revisions.HEAD_KEY:
                current = revisions.decode_head(conflict.row.value)
                if current.change_id == head.change_id:
                    return True
            if conflict.key == revisions.log_key(head.revision):
                change = revisions.decode_change(conflict.row.value)
                return change.change_id == head.change_id
        # The log row did not fail its condition, so the revision does not
        # exist and this transaction was never committed.
        return False


def _is_older_than_lock(
    state: changes.TableState, desired: changes.DesiredState
) -> bool:
    """Returns whether the head is older than a revision in the lock files."""
    if state.head is None or state.head.origin != desired.origin:
        return False
    return state.head.revision < max(desired.seen_revisions.values(), default=0)


def _raise_on_conflict(item_changes: list[changes.ItemChange]) -> None:
    conflicts = [change for change in item_changes if change.conflict]
    if conflicts:
        diffs = "\n".join(changes.format_diff(change) for change in conflicts)
        raise changes.ConflictError(
            f"{diffs}\n{len(conflicts)} items were changed by another "
            "operator; nothing was committed; merge the table's versions into "
            "the files, then run `tanagerspokectl diff --mark-seen`"
        )


def unchanged_outcome(
    state: changes.TableState, desired: changes.DesiredState
) -> Outcome:
    """Returns the outcome of a command that commits nothing."""
    return Outcome(
        revision=0 if state.head is None else state.head.revision,
        origin="" if state.head is None else state.head.origin,
        items={
            name: row.stored.revision
            for name, row in state.items.items()
            if name in desired.items or name in desired.pruned
        },
        changed_count=0,
    )


def _committed_outcome(
    state: changes.TableState,
    desired: changes.DesiredState,
    item_changes: list[changes.ItemChange],
    head: revisions.Head,
) -> Outcome:
    outcome_before = unchanged_outcome(state, desired)
    items = dict(outcome_before.items)
    for change in item_changes:
        if change.after is None:
            items.pop(change.name, None)
        else:
            items[change.name] = head.revision
    return Outcome(
        revision=head.revision,
        origin=head.origin,
        items=items,
        changed_count=len(item_changes),
    )


class Backoff:
    """Exponential backoff with jitter.

    Args:
        scale: multiplies the first delay; 0 for no delays.
    """

    def __init__(self, *, scale: float = 1.0) -> None:
        self._delay_s = _INITIAL_DELAY_S * scale

    async def wait(self) -> None:
        """Waits for the next delay."""
        await asyncio.sleep(self._delay_s * random.uniform(0.5, 1.5))
        self._delay_s = min(2 * self._delay_s, _MAX_DELAY_S)
