"""Entries of the platform's list of upstreams."""

import dataclasses

from tanagerspoke.protocol import ranges
from tanagerspoke.protocol import upstreams


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListedUpstream:
    """An upstream's own entry in the platform's list.

    Attributes:
        sequence: number of the report since the upstream's process started.
        remaining_cold_s: time for which the upstream stays cold, counted from
            the moment at which the store or another node sent the entry.
    """

    upstream: upstreams.Upstream
    sequence: ranges.SequenceNumber
    remaining_cold_s: ranges.ColdSeconds = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RowProblem:
    """A row that holds no valid entry.

    Attributes:
        key: key of the row.
        problem: why the entry is not valid.
    """

    key: str
    problem: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListChange:
    """A changed row of the list.

    Attributes:
        entry: None where the row was deleted or holds no valid entry.
        problem: why the row holds no valid entry, or None.
    """

    upstream_id: str
    entry: ListedUpstream | None
    problem: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListChanges:
    """Changed rows of the list.

    Attributes:
        position: position in the change history to continue reading from.
        complete: whether the changes hold every row, so that missing rows
            were deleted.
    """

    position: int
    changes: tuple[ListChange, ...]
    complete: bool
