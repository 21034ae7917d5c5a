"""Hands the first list of nodes on when the fleet starts for the first time."""

from collections.abc import Callable
import logging

from tanagerspoke.coordination import list_recipients
from tanagerspoke.protocol import zone_feed
from tanagerspoke.transport import background_tasks
from tanagerspoke.transport.peers import zone_feed_client

log = logging.getLogger(__name__)


class NodeListPush:
    """Sends the list to the nodes that otherwise read the store for it.

    The node that read it first sends it to the first node of each zone, which
    sends it to the others of its zone. A node that gets none in time, or does
    not know the request, reads the store.
    """

    def __init__(
        self,
        *,
        node: str,
        client: zone_feed_client.ZoneFeedClient,
        nodes: Callable[[], tuple[zone_feed.Node, ...]],
        on_nodes: Callable[[tuple[zone_feed.Node, ...]], None],
    ) -> None:
        """Creates an instance.

        Args:
            node: name of this node.
            client: sends the list; started and closed by the owner.
            nodes: returns the nodes that this one knows.
            on_nodes: called with a list to apply.
        """
        self._node = node
        self._client = client
        self._nodes = nodes
        self._on_nodes = on_nodes
        self._sends = background_tasks.BackgroundTasks()

    def close(self) -> None:
        """Cancels what is being sent."""
        self._sends.cancel()

    def send_to_zones(self, nodes: tuple[zone_feed.Node, ...]) -> None:
        """Sends a list that was read from the store to all zones."""
        self._send(list_recipients.of_reader(self._node, nodes), nodes)

    def receive(self, nodes: tuple[zone_feed.Node, ...]) -> None:
        """Applies a list, unless this node knows nodes that are not in it."""
        known = self._nodes()
        names = {node.name for node in nodes}
        if self._node not in names or any(n.name not in names for n in known):
            return
        self._on_nodes(nodes)
        if not known:
            self._send(list_recipients.of_receiver(self._node, nodes), nodes)

    def _send(
        self,
        recipients: tuple[zone_feed.Node, ...],
        nodes: tuple[zone_feed.Node, ...],
    ) -> None:
        update = zone_feed.NodesUpdate(nodes=nodes)
        for recipient in recipients:
            self._sends.start(self._send_one(recipient, update))

    async def _send_one(
        self, recipient: zone_feed.Node, update: zone_feed.NodesUpdate
    ) -> None:
        try:
            await self._client.send_nodes(node=recipient, update=update)
        except zone_feed_client.FeedUnavailableError as exc:
            log.info(
                "nodes_not_sent",
                extra={"node": recipient.name, "error": str(exc)},
            )
