"""Pool of idle connections to upstreams."""

import collections
from typing import Any

from tanagerspoke.transport.upstreams import upstream_connection

_MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 16
# Shorter than the keep-alive timeout of common servers, so that upstreams
# rarely close a connection just as a request is written to it.
_MAX_IDLE_S = 20.0
# Connections are discarded this long before the timeout that the upstream
# states in its `Keep-Alive` header.
_KEEP_ALIVE_MARGIN_S = 1.0
# Further digits of a timeout do not matter, since it is bounded by the above.
_MAX_TIMEOUT_DIGITS = 9


class IdlePool:
    """Holds reusable connections until they expire.

    Times are seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self._idle: dict[
            str, collections.deque[upstream_connection.UpstreamConnection]
        ] = collections.defaultdict(collections.deque)

    def acquire(
        self, upstream_id: str, *, request_id: str, now: float
    ) -> upstream_connection.UpstreamConnection | None:
        """Removes and returns the most recently used idle connection.

        Passes over connections on which the request's id was sent before.
        Returns None if the upstream has no other usable idle connection.
        """
        idle = self._idle.get(upstream_id, ())
        for conn in reversed(tuple(idle)):
            if not conn.is_usable or conn.usable_until <= now:
                idle.remove(conn)
                conn.close()
            elif not conn.has_sent(request_id):
                idle.remove(conn)
                return conn
        return None

    def put(
        self, conn: upstream_connection.UpstreamConnection, now: float
    ) -> None:
        """Adds a connection after an exchange.

        Closes it instead if it cannot be reused or the upstream's pool is
        full.
        """
        idle = self._idle[conn.upstream_id]
        if (
            not conn.may_be_reused
            or len(idle) >= _MAX_IDLE_CONNECTIONS_PER_UPSTREAM
        ):
            conn.close()
            return
        conn.release()
        conn.idle_since = now
        conn.usable_until = now + _keep_alive_s(conn.reader.head)
        idle.append(conn)

    def sweep(self, now: float) -> None:
        """Closes and removes expired connections."""
        oldest_idle_since = now - _MAX_IDLE_S
        for upstream_id, idle in list(self._idle.items()):
            while idle and (
                idle[0].closed
                or idle[0].idle_since < oldest_idle_since
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


def _keep_alive_s(head: Any) -> float:
    """Returns for how many seconds a connection may be reused.

    Args:
        head: head of the last response, which may have a `Keep-Alive` header.
    """
    value = head.headers.get("Keep-Alive", "")
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdecimal():
            stated_s = int(seconds[:_MAX_TIMEOUT_DIGITS])
            return min(_MAX_IDLE_S, stated_s - _KEEP_ALIVE_MARGIN_S)
    return _MAX_IDLE_S
