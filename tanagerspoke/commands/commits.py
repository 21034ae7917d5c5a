"""Commits a change to the platform's table."""

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

# Attempts, with growing jittered pauses: about 20 s in all.
_ATTEMPTS = 10
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 4.0

_PAGE_ROWS = 500


class Table(Protocol):
    """The part of the platform client that a commit uses."""

    async def get(self, key: str) -> platform.Row | None:
        """Returns a row, or None."""

    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 500
    ) -> platform.ScanReply:
        """Returns rows of a prefix."""

    async def transact(
        self, transaction: platform.Transaction
    ) -> platform.TransactionReply:
        """Commits a transaction."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """State of the table after the command.

    Attributes:
        revision: revision that holds the declared items.
        origin: see `revisions.Head.origin`.
        items: revision of each declared item, by `kind/name`.
        changed: number of items that the commit changed.
    """

    revision: int
    origin: str
    items: dict[str, int]
    changed: int


class OutcomeUnknownError(exceptions.PlatformError):
    """The table gave no proof whether the change was committed."""


async def read_state(
    table: Table, *, pause: "Pause | None" = None
) -> changes.TableState:
    """Returns head and items of one revision.

    Args:
        table: the platform's table.
        pause: pauses between attempts; None for the usual ones.

    Raises:
        PlatformError: the table is down, or its reads stay inconsistent.
    """
    pause = pause or Pause()
    for _ in range(_ATTEMPTS):
        state = await _read_once(table)
        if state.consistent:
            return state
        # A commit during the scan, or a stale read.
        await pause.wait()
    raise exceptions.PlatformError(
        "the items in the table do not match the head's digest; "
        "try again when the table's reads are current"
    )


async def _read_once(table: Table) -> changes.TableState:
    row = await table.get(revisions.HEAD_KEY)
    items: dict[str, changes.StoredRow] = {}
    after = ""
    more = True
    while more:
        page = await table.scan(
            prefix=revisions.ITEM_PREFIX, after=after, limit=_PAGE_ROWS
        )
        for item in page.rows:
            after = item.key
            name = item.key.removeprefix(revisions.ITEM_PREFIX)
            items[name] = changes.StoredRow(
                stored=revisions.decode_stored(item.value),
                version=item.version,
            )
        more = page.more and bool(page.rows)
    return changes.TableState(
        head=None if row is None else revisions.decode_head(row.value),
        head_version=0 if row is None else row.version,
        items=items,
    )


class Committer:
    """Commits what is desired, on whatever head stands.

    Args:
        table: the platform's table.
        author: goes into the head and the log.
        new_id: returns a fresh change id.
        pause: returns the pauses between attempts.
    """

    def __init__(
        self,
        *,
        table: Table,
        author: str,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        pause: Callable[[], "Pause"] | None = None,
    ) -> None:
        self._table = table
        self._author = author
        self._new_id = new_id
        self._pause = pause or Pause

    async def commit(self, desired: changes.Desired) -> Outcome:
        """Commits once; a commit of unrelated items leads to a new attempt.

        Raises:
            ConflictError: somebody else changed a touched item.
            DeclarationError: the result would be invalid.
            OutcomeUnknownError: the table gave no proof either way.
            PlatformError: nothing was committed.
        """
        pause = self._pause()
        for _ in range(_ATTEMPTS):
            state = await read_state(self._table, pause=self._pause())
            if _is_stale(state, desired):
                await pause.wait()
                continue
            differing = changes.compare(state=state, desired=desired)
            if not differing:
                return seen(state, desired)
            try:
                _refuse_conflicts(differing)
                changes.check(state=state, changes=differing)
            except (changes.ConflictError, exceptions.DeclarationError):
                if await self._is_current(state):
                    raise
                await pause.wait()
                continue
            head, transaction = changes.transaction(
                state=state,
                changes=differing,
                change_id=self._new_id(),
                author=self._author,
            )
            if await self._submit(head, transaction):
                return _committed(state, desired, differing, head)
            await pause.wait()
        raise exceptions.PlatformError(
            f"{_ATTEMPTS} attempts met stale reads or commits of other "
            "operators; nothing was changed; try again"
        )

    async def _is_current(self, state: changes.TableState) -> bool:
        """Whether the head that was read still stands.

        A refusal must not rest on a stale read; the condition of a
        transaction never does.
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
        """Returns whether the transaction took effect, with proof.

        Without an answer the same transaction is submitted again: its
        conditions hold at most once, and where they fail, the rows that
        come back name the change that stands there.
        """
        pause = self._pause()
        lost = False
        for _ in range(_ATTEMPTS):
            try:
                reply = await self._table.transact(transaction)
            except exceptions.PlatformError:
                lost = True
                await pause.wait()
                continue
            if isinstance(reply, platform.Committed):
                return True
            if not lost:
                return False
            return await self._settle(head, reply)
        raise OutcomeUnknownError(
            f"the table did not answer; whether change {head.change_id} was "
            f"committed as revision {head.revision} is unknown; run the "
            "command again when the table answers"
        )

    async def _settle(
        self, head: revisions.Head, reply: platform.Rejected
    ) -> bool:
        """Looks for the change id in the head and the log."""
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
        # Neither row failed its condition, so the revision is still free
        # and this transaction never took effect.
        return False


def _is_stale(state: changes.TableState, desired: changes.Desired) -> bool:
    """Whether the read shows less than the lock remembers."""
    if state.head is None or state.head.origin != desired.origin:
        return False
    return state.head.revision < max(desired.seen.values(), default=0)


def _refuse_conflicts(differing: list[changes.ItemChange]) -> None:
    conflicts = [change for change in differing if change.conflict]
    if conflicts:
        shown = "\n".join(changes.describe(change) for change in conflicts)
        raise changes.ConflictError(
            f"{shown}\n{len(conflicts)} items were changed by somebody else; "
            "nothing was committed; merge the table's versions into the "
            "files, then run `tanagerspokectl diff --mark-seen`"
        )


def seen(state: changes.TableState, desired: changes.Desired) -> Outcome:
    """Returns the table's revisions of the desired items."""
    return Outcome(
        revision=0 if state.head is None else state.head.revision,
        origin="" if state.head is None else state.head.origin,
        items={
            name: row.stored.revision
            for name, row in state.items.items()
            if name in desired.items or name in desired.pruned
        },
        changed=0,
    )


def _committed(
    state: changes.TableState,
    desired: changes.Desired,
    differing: list[changes.ItemChange],
    head: revisions.Head,
) -> Outcome:
    before = seen(state, desired)
    items = dict(before.items)
    for change in differing:
        if change.after is None:
            items.pop(change.name, None)
        else:
            items[change.name] = head.revision
    return Outcome(
        revision=head.revision,
        origin=head.origin,
        items=items,
        changed=len(differing),
    )


class Pause:
    """Growing jittered pauses between attempts."""

    def __init__(self, *, scale: float = 1.0) -> None:
        self._length_s = _FIRST_PAUSE_S * scale

    async def wait(self) -> None:
        """Waits once."""
        await asyncio.sleep(self._length_s * random.uniform(0.5, 1.5))
        self._length_s = min(2 * self._length_s, _MAX_PAUSE_S)
