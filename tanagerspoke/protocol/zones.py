"""Changes of the set of evacuated availability zones."""

import dataclasses

from tanagerspoke.protocol import listing
from tanagerspoke.protocol import ranges


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZonesChange:
    """What a read of the store states about evacuated zones.

    Attributes:
        evacuated: zones to whose upstreams nothing more may be sent.
        returned: zones whose evacuation ended.
        complete: whether `evacuated` holds every evacuated zone, so that all
            others have returned.
        problems: rows that name no valid zone.
    """

    evacuated: frozenset[ranges.Name] = frozenset()
    returned: frozenset[ranges.Name] = frozenset()
    complete: bool
    problems: tuple[listing.RowProblem, ...] = ()
