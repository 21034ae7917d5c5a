"""Plans a change: compares the table's items with the declared items."""

from collections.abc import Iterable, Mapping
import dataclasses
import difflib
import json

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.state import declarations
from tanagerspoke.state import revisions

# Limits of one transaction. A larger change is refused and has to be split
# over several directories or calls of `apply`.
MAX_TRANSACTION_ITEMS = 500
MAX_TRANSACTION_BYTES = 1_000_000

# Length of the revision log. Agents that are further behind scan all items.
_MAX_LOG_ENTRIES = 1000


class ConflictError(exceptions.TanagerspokeError):
    """Another operator changed an item that this change modifies."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """An item of the table and the version of its row."""

    stored: revisions.StoredItem
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TableState:
    """Head and items of the table.

    Attributes:
        head: None before the first commit.
        head_version: version of the head's row; 0 before the first commit.
        items: rows by `kind/name`.
    """

    head: revisions.Head | None
    head_version: int
    items: Mapping[str, StoredRow]

    @property
    def consistent(self) -> bool:
        """Whether the items match the head's digest."""
        if self.head is None:
            return not self.items
        digest = revisions.digest_of(r.stored.item for r in self.items.values())
        return self.head.digest in ("", digest)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ItemChange:
    """A difference between the table and the declarations.

    Attributes:
        name: `kind/name` of the item.
        before: row in the table; None for an item that is added.
        after: declared item; None for an item that is deleted.
        conflict: the item's revision in the table is not the one that the
            operator saw last.
    """

    name: str
    before: StoredRow | None
    after: agent.ConfigItem | None
    conflict: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DesiredState:
    """Items that the table should hold after the command.

    Attributes:
        items: declared items by `kind/name`.
        pruned: `kind/name` of the items to delete.
        seen_revisions: for each item, by `kind/name`, the revision that the
            operator saw last.
        origin: table that `seen_revisions` belongs to, see
            `revisions.Head.origin`.
    """

    items: Mapping[str, agent.ConfigItem]
    pruned: frozenset[str]
    seen_revisions: Mapping[str, int]
    origin: str


def qualified_name(item: agent.ConfigItem) -> str:
    """Returns `kind/name`."""
    return f"{item.kind}/{item.name}"


def find_changes(
    *, state: TableState, desired: DesiredState
) -> list[ItemChange]:
    """Returns the items that differ, sorted by name."""
    same_table = state.head is not None and state.head.origin == desired.origin
    seen_revisions = desired.seen_revisions if same_table else {}
    changes = []
    for name in sorted({*desired.items, *desired.pruned}):
        before = state.items.get(name)
        after = desired.items.get(name)
        if _row_body(before) == (after.body if after is not None else None):
            continue
        revision = None if before is None else before.stored.revision
        changes.append(
            ItemChange(
                name=name,
                before=before,
                after=after,
                conflict=revision != seen_revisions.get(name),
            )
        )
    return changes


def _row_body(row: StoredRow | None) -> str | None:
    return None if row is None else row.stored.item.body


def check_declarations(
    *, state: TableState, changes: Iterable[ItemChange]
) -> None:
    """Checks the declarations that the table would hold after the change.

    Errors that the table already contains do not prevent a change.

    Raises:
        DeclarationError: lists every error that the change introduces.
    """
    before = {name: row.stored.item for name, row in state.items.items()}
    after = dict(before)
    for change in changes:
        if change.after is None:
            after.pop(change.name, None)
        else:
            after[change.name] = change.after
    existing_errors = set(_declaration_errors(before))
    errors = [
        error
        for error in _declaration_errors(after)
        if error not in existing_errors
    ]
    if errors:
        raise exceptions.DeclarationError("\n".join(errors))


def _declaration_errors(items: Mapping[str, agent.ConfigItem]) -> list[str]:
    located = []
    errors = []
    for name, item in items.items():
        try:
            declaration = declarations.parse(item.body)
        except ValueError as exc:
            errors.append(f"{name}: {exc}")
            continue
        located.append(
            declarations.LocatedDeclaration(
                source=name, declaration=declaration
            )
        )
    return errors + declarations.check(located)


def build_transaction(
    *,
    state: TableState,
    changes: list[ItemChange],
    change_id: str,
    author: str,
) -> tuple[revisions.Head, platform.Transaction]:
    """Returns the new head and the transaction that commits the change.

    Raises:
        DeclarationError: the change is too large for one transaction.
    """
    head = _next_head(
        state=state, changes=changes, change_id=change_id, author=author
    )
    operations = [_head_operation(state, head), _log_operation(head, changes)]
    operations.extend(_item_operation(head, change) for change in changes)
    if head.revision > _MAX_LOG_ENTRIES:
        operations.append(
            platform.Operation(
                key=revisions.log_key(head.revision - _MAX_LOG_ENTRIES),
                condition=platform.Always(),
                write=platform.Delete(),
            )
        )
    size_bytes = sum(len(c.after.body) for c in changes if c.after is not None)
    if (
        len(changes) > MAX_TRANSACTION_ITEMS
        or size_bytes > MAX_TRANSACTION_BYTES
    ):
        raise exceptions.DeclarationError(
            f"the change has {len(changes)} items with {size_bytes} bytes; one "
            f"transaction takes at most {MAX_TRANSACTION_ITEMS} items and "
            f"{MAX_TRANSACTION_BYTES} bytes; split it over several directories"
        )
    return head, platform.Transaction(operations=tuple(operations))


def _next_head(
    *,
    state: TableState,
    changes: list[ItemChange],
    change_id: str,
    author: str,
) -> revisions.Head:
    digest_before = revisions.digest_of(
        r.stored.item for r in state.items.values()
    )
    return revisions.Head(
        revision=1 if state.head is None else state.head.revision + 1,
        change_id=change_id,
        author=author,
        digest=revisions.update_digest(
            digest_before,
            removed=[c.before.stored.item for c in changes if c.before],
            added=[c.after for c in changes if c.after],
        ),
        origin=change_id if state.head is None else state.head.origin,
    )


def _head_operation(
    state: TableState, head: revisions.Head
) -> platform.Operation:
    condition = (
        platform.Absent()
        if state.head is None
        else platform.VersionIs(version=state.head_version)
    )
    return platform.Operation(
        key=revisions.HEAD_KEY,
        condition=condition,
        write=platform.Put(value=revisions.encode(head)),
    )


def _log_operation(
    head: revisions.Head, changes: list[ItemChange]
) -> platform.Operation:
    items = []
    for change in changes:
        kind, name = change.name.split("/", 1)
        deleted = agent.ConfigItem(kind=kind, name=name, body="")
        items.append(change.after or deleted)
    log_entry = revisions.Change(
        revision=head.revision,
        change_id=head.change_id,
        author=head.author,
        items=tuple(items),
        digest=head.digest,
    )
    return platform.Operation(
        key=revisions.log_key(head.revision),
        condition=platform.Absent(),
        write=platform.Put(value=revisions.encode(log_entry)),
    )


def _item_operation(
    head: revisions.Head, change: ItemChange
) -> platform.Operation:
    condition = (
        platform.Absent()
        if change.before is None
        else platform.VersionIs(version=change.before.version)
    )
    write: platform.Write = platform.Delete()
    if change.after is not None:
        stored = revisions.StoredItem(revision=head.revision, item=change.after)
        write = platform.Put(value=revisions.encode(stored))
    return platform.Operation(
        key=revisions.ITEM_PREFIX + change.name,
        condition=condition,
        write=write,
    )


def format_diff(change: ItemChange) -> str:
    """Returns the change of an item as a unified diff."""
    before_label = (
        "absent"
        if change.before is None
        else f"revision {change.before.stored.revision}"
    )
    before = _body_lines(_row_body(change.before))
    after = _body_lines(change.after.body if change.after is not None else None)
    after_label = "deleted" if change.after is None else "declared"
    return "\n".join(
        difflib.unified_diff(
            before,
            after,
            f"{change.name} (table, {before_label})",
            f"{change.name} ({after_label})",
            lineterm="",
        )
    )


def _body_lines(body: str | None) -> list[str]:
    if body is None:
        return []
    try:
        return json.dumps(json.loads(body), indent=2).splitlines()
    except ValueError:
        return body.splitlines()
