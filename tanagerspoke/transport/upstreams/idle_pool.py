"""Connections to upstreams that rest between two exchanges."""

import collections
from typing import Any

from tanagerspoke.transport.upstreams import upstream_connection

_MAX_IDLE_PER_UPSTREAM = 16
# Shorter than the keep-alive time of common servers, so that a connection is
# rarely closed by the upstream just when a request is written to it.
_IDLE_S = 20.0
# Before the end of the time that the upstream states in `Keep-Alive`.
_KEEP_ALIVE_MARGIN_S = 1.0


class IdlePool:
    """Keeps clean connections for as long as they are safe to use.

    All times are seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self._idle: dict[
            str, collections.deque[upstream_connection.UpstreamConnection]
        ] = collections.defaultdict(collections.deque)

    def take(
        self, upstream_id: str, now: float
    ) -> upstream_connection.UpstreamConnection | None:
        """Returns the idle connection that was used last, or None."""
        idle = self._idle.get(upstream_id)
        while idle:
            conn = idle.pop()
            if conn.is_usable and conn.usable_until > now:
                return conn
            conn.close()
        return None

    def keep(
        self, conn: upstream_connection.UpstreamConnection, now: float
    ) -> None:
        """Keeps a connection whose exchange ended, or closes it."""
        idle = self._idle[conn.upstream_id]
        if not conn.may_be_reused or len(idle) >= _MAX_IDLE_PER_UPSTREAM:
            conn.close()
            return
        conn.release()
        conn.idle_since = now
        conn.usable_until = now + _stated_limit_s(conn.reader.head)
        idle.append(conn)

    def sweep(self, now: float) -> None:
        """Closes what rested too long."""
        oldest = now - _IDLE_S
        for upstream_id, idle in list(self._idle.items()):
            while idle and (
                idle[0].closed
                or idle[0].idle_since < oldest
                or idle[0].usable_until < now
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[upstream_id]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()


def _stated_limit_s(head: Any) -> float:
    """Returns how long the upstream of an answer keeps its connection."""
    value = head.headers.get("Keep-Alive", "")
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdecimal():
            return min(_IDLE_S, int(seconds) - _KEEP_ALIVE_MARGIN_S)
    return _IDLE_S
