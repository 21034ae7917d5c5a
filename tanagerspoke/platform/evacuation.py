"""Rows of the platform's store that evacuate availability zones."""

from collections.abc import Iterable

import msgspec

from tanagerspoke.platform import wire
from tanagerspoke.protocol import listing
from tanagerspoke.protocol import ranges
from tanagerspoke.protocol import zones

# Problems of one reply that are reported, and the length of a reported key.
_MAX_PROBLEMS = 32
_MAX_KEY_LENGTH = 300


def decode_zones(
    rows: Iterable[wire.Row], *, complete: bool
) -> zones.ZonesChange | None:
    """Returns the change that rows of the operator's table make, or None.

    The key of a row alone evacuates its zone. Its value is ignored, so that
    a malformed one does not prevent an evacuation.

    Args:
        rows: changed rows, or all rows of the table.
        complete: whether these are all rows of the table.
    """
    evacuated = set()
    returned = set()
    problems = []
    for row in rows:
        if not row.key.startswith(wire.EVACUATION_PREFIX):
            continue
        zone = row.key.removeprefix(wire.EVACUATION_PREFIX)
        try:
            msgspec.convert(zone, ranges.Name)
        except msgspec.ValidationError as exc:
            if not row.deleted and len(problems) < _MAX_PROBLEMS:
                problems.append(
                    listing.RowProblem(
                        key=row.key[:_MAX_KEY_LENGTH],
                        problem=f"invalid zone: {exc}",
                    )
                )
            continue
        if row.deleted or row.value is None:
            returned.add(zone)
        else:
            evacuated.add(zone)
    if not complete and not (evacuated or returned or problems):
        return None
    return zones.ZonesChange(
        evacuated=frozenset(evacuated),
        returned=frozenset(returned),
        complete=complete,
        problems=tuple(problems),
    )
