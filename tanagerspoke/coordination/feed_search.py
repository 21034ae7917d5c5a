"""Limits the time in which a node without a zone feed looks for another one."""

# Time for which a node looks for the next feed before it reads the store. The
# next relay is current after its connection to the reader, and the next reader
# after its first read: within 0.05 s with 24 nodes in one process. On slow
# links the transfer of a state alone takes 0.2 s.
_MAX_SEARCH_S = 0.5


class FeedSearch:
    """Decides when a node that lost its feed reads the store instead.

    The time counts from the first loss. Attempts that fail meanwhile do not
    extend it, so that a reader and a relay that fail together delay the read
    no more than one of them. A node that got its last update long ago, because
    its feed was silent, has no time left and reads at once.
    """

    def __init__(self, *, update_timeout_s: float) -> None:
        """Creates an instance for a node without updates.

        Args:
            update_timeout_s: time after its last update, in seconds, after
                which a node reads the store in any case.
        """
        self._update_timeout_s = update_timeout_s
        self._updated_at = float("-inf")
        self._read_at: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether the node has no feed and does not have to read yet."""
        return self._read_at is not None

    def record_update(self, now: float) -> None:
        """Records that this node's state was as recent as a feed's."""
        self._updated_at = now
        self._read_at = None

    def start(self, now: float) -> float:
        """Starts a search, unless one is active.

        Returns the time at which the node has to read the store.
        """
        if self._read_at is None:
            last_at = self._updated_at + self._update_timeout_s
            self._read_at = max(now, min(now + _MAX_SEARCH_S, last_at))
        return self._read_at

    def stop(self) -> None:
        """Ends the search because this node reads the store."""
        self._read_at = None
