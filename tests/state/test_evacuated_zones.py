"""The set of evacuated zones, from reads and from other nodes."""

import hypothesis
from hypothesis import strategies as st

from tanagerspoke.protocol import zones
from tanagerspoke.state import evacuated_zones


@hypothesis.given(
    writes=st.lists(st.sampled_from("abc"), min_size=1, max_size=12),
    steps=st.lists(st.tuples(st.integers(0, 2), st.integers(0, 12))),
)
def test_sets_never_go_back(writes, steps) -> None:
    """Guards against an older read or message that replaces a newer set.

    Nodes read all or the changes since their last read, and send each other
    what they know, also what they knew some time ago.
    """
    states = [frozenset()]
    for zone in writes:
        states.append(states[-1] ^ {zone})
    nodes = [evacuated_zones.EvacuatedZones() for _ in range(2)]
    read_to: int | None = None
    for action, version in steps:
        version = min(version, len(writes))
        before = nodes[0].position
        if action == 0 or read_to is None:
            read_to = version
            change = zones.ZonesChange(evacuated=states[version], complete=True)
            nodes[0].apply_change(change, position=version)
        elif action == 1:
            last, read_to = read_to, max(read_to, version)
            new = states[read_to]
            written = set(writes[last:read_to])
            change = zones.ZonesChange(
                evacuated=new & written, returned=written - new, complete=False
            )
            nodes[0].apply_change(change, position=read_to)
        else:
            nodes[0].replace(states[version], position=version)
        nodes[1].replace(nodes[0].zones, position=nodes[0].position)
        for node in nodes:
            assert node.position >= before
            assert node.zones == states[node.position]
