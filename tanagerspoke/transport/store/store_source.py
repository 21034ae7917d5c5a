"""Interface of the platform's store, as the edge uses it."""

from typing import Protocol

from tanagerspoke.protocol import listing
from tanagerspoke.protocol import routing
from tanagerspoke.protocol import zone_feed


class StoreSource(Protocol):
    """Reads and writes the platform's store in platform-independent types.

    Every call raises `PlatformUnavailableError` if there is no valid reply, and
    its subclass `AnswerRejectedError` if the reply exceeds a bound. A call with
    a position raises `HistoryLostError` if the store no longer has the changes
    after that position.
    """

    @property
    def exchanged_bytes(self) -> int:
        """Bytes sent and received since the start, headers included."""

    async def start(self) -> None:
        """Opens the connection pool."""

    async def close(self) -> None:
        """Closes all connections."""

    async def read_routing(self) -> routing.RoutingChange:
        """Returns the newest routing configuration and evacuated zones."""

    async def wait_for_routing_change(
        self, *, position: int, wait_s: float
    ) -> routing.RoutingChange:
        """Waits up to `wait_s` for a change after the position.

        The returned change has no table if the table did not change, and no
        zones if no evacuation changed.
        """

    async def read_upstreams(
        self, *, services: frozenset[str] | None
    ) -> listing.ListChanges:
        """Returns the whole list of upstreams.

        An entry whose service is not in `services` is invalid; None allows
        all services.
        """

    async def read_upstream_changes(
        self, *, position: int, services: frozenset[str] | None
    ) -> listing.ListChanges:
        """Returns the changes after the position without waiting."""

    async def register_node(self, node: zone_feed.Node) -> None:
        """Adds this node to the list of nodes."""

    async def unregister_node(self, name: str) -> None:
        """Removes the named node from the list."""

    async def read_nodes(self) -> zone_feed.NodeList:
        """Returns the list of nodes."""
