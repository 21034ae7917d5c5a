"""Notices of leaving upstreams, between this node and the others."""

from collections.abc import Callable
import logging

from tanagerspoke.coordination import upstream_listing
from tanagerspoke.protocol import zone_feed
from tanagerspoke.transport import background_tasks
from tanagerspoke.transport.peers import zone_feed_client

log = logging.getLogger(__name__)


class LeavingNotices:
    """Applies notices, and sends news towards the reader and to followers."""

    def __init__(
        self,
        *,
        listing: upstream_listing.UpstreamListing,
        client: zone_feed_client.ZoneFeedClient,
        followed_node: Callable[[], zone_feed.Node | None],
        publish: Callable[[zone_feed.LeavingUpdate], None],
        on_upstreams: Callable[[], None],
    ) -> None:
        """Creates an instance.

        Args:
            listing: marks the upstreams; shared with the owner.
            client: sends the reports; started and closed by the owner.
            followed_node: returns the node that gets the reports, if any.
            publish: sends an update to the followers of this node.
            on_upstreams: called when upstreams were marked.
        """
        self._listing = listing
        self._client = client
        self._followed_node = followed_node
        self._publish = publish
        self._on_upstreams = on_upstreams
        self._reports = background_tasks.BackgroundTasks()

    def close(self) -> None:
        """Cancels the reports that are being sent."""
        self._reports.cancel()

    def spread(self, update: zone_feed.LeavingUpdate) -> bool:
        """Applies an update and sends it on towards the reader of the store.

        Returns whether it was news.
        """
        if not self.apply(update):
            return False
        followed = self._followed_node()
        if followed is not None:
            self._reports.start(self._report(followed, update))
        return True

    async def _report(
        self, node: zone_feed.Node, update: zone_feed.LeavingUpdate
    ) -> None:
        try:
            await self._client.report(node=node, update=update)
        except zone_feed_client.FeedUnavailableError as exc:
            # The other nodes learn it from the store or their own calls.
            log.info(
                "report_not_sent", extra={"node": node.name, "error": str(exc)}
            )

    def apply(self, update: zone_feed.LeavingUpdate) -> bool:
        """Applies and publishes an update; returns whether it was news."""
        news = tuple(
            upstream
            for upstream in update.upstreams
            if self._listing.mark_leaving(upstream)
        )
        if not news:
            return False
        self._publish(zone_feed.LeavingUpdate(upstreams=news))
        self._on_upstreams()
        return True
