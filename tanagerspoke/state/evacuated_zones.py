"""The evacuated availability zones, as of a position of the store."""

from collections.abc import Iterable

from tanagerspoke.protocol import zones as zones_types


class EvacuatedZones:
    """The newest known set of evacuated zones.

    Attributes:
        position: position in the store's change history that the set
            reflects; -1 before the first read.
        zones: the evacuated zones.
    """

    def __init__(self) -> None:
        self.position = -1
        self.zones: frozenset[str] = frozenset()

    def apply_change(
        self, change: zones_types.ZonesChange, *, position: int
    ) -> bool:
        """Applies a read of the store; returns whether the set changed.

        A read with an older position is ignored. One that holds only changes
        must follow a complete read whose position is not newer than this
        set's, so that no change between them is missing.
        """
        if change.complete:
            return self.replace(change.evacuated, position=position)
        return self.replace(
            (self.zones - change.returned) | change.evacuated,
            position=position,
        )

    def replace(self, zones: Iterable[str], *, position: int) -> bool:
        """Replaces the set; returns whether it changed.

        A set with an older position is ignored.
        """
        if position < self.position:
            return False
        self.position = position
        before = self.zones
        self.zones = frozenset(zones)
        return self.zones != before
