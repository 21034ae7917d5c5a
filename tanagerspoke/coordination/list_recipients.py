"""Chooses to whom a node sends the first list of nodes of the fleet.

Two steps bound the requests of one node to the number of zones and of the
nodes of its zone, since it may run on a host with a third of a core.
"""

from tanagerspoke.coordination import reader_choice
from tanagerspoke.protocol import zone_feed


def of_reader(
    name: str, nodes: tuple[zone_feed.Node, ...]
) -> tuple[zone_feed.Node, ...]:
    """Returns the recipients of a node that read the list from the store.

    They are the first node of each zone, and the others of the node's zone if
    it is the first one itself.
    """
    first = reader_choice.first_by_zone(reader_choice.ranked(nodes))
    others = tuple(node for node in first.values() if node.name != name)
    return (*others, *of_receiver(name, nodes))


def of_receiver(
    name: str, nodes: tuple[zone_feed.Node, ...]
) -> tuple[zone_feed.Node, ...]:
    """Returns the recipients of a node that got the list from another one."""
    first = reader_choice.first_by_zone(reader_choice.ranked(nodes))
    for zone, node in first.items():
        if node.name == name:
            return tuple(
                other
                for other in nodes
                if other.availability_zone == zone and other.name != name
            )
    return ()
