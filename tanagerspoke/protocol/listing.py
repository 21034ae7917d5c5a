"""Entries of the platform's list of upstreams."""

import dataclasses

from tanagerspoke.protocol import upstreams


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListedUpstream:
    """What an upstream says of itself in the platform's list.

    Attributes:
        sequence: counts the reports of one start.
    """

    upstream: upstreams.Upstream
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListChange:
    """One row of the list that changed.

    Attributes:
        entry: None where the row is gone or holds no usable entry.
        problem: why the row holds no usable entry, or None.
    """

    upstream_id: str
    entry: ListedUpstream | None
    problem: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListChanges:
    """Changes of the list.

    Attributes:
        position: where the next changes follow on.
        whole: whether these are all rows, so that missing ones are gone.
    """

    position: int
    changes: tuple[ListChange, ...]
    whole: bool
