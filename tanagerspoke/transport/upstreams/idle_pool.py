"""Connections to upstreams that rest between two exchanges."""

import collections
import logging
from typing import Any

from tanagerspoke.coordination import idle_limits
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.operations import log_limit
from tanagerspoke.transport.upstreams import upstream_connection

log = logging.getLogger(__name__)

_MAX_IDLE_PER_UPSTREAM = 16
# Shorter than the keep-alive time of common servers, so that a connection is
# rarely closed by the upstream just when a request is written to it.
_IDLE_S = 20.0
# Before the end of the time that the upstream states in `Keep-Alive`.
_KEEP_ALIVE_MARGIN_S = 1.0
_LIMIT_LINES_PER_S = 2.0
_LIMIT_LINES_BURST = 20


class IdlePool:
    """Keeps clean connections for as long as they are safe to use.

    All times are seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self._idle: dict[
            str, collections.deque[upstream_connection.UpstreamConnection]
        ] = collections.defaultdict(collections.deque)
        self._limits: dict[str, idle_limits.IdleLimits] = (
            collections.defaultdict(idle_limits.IdleLimits)
        )
        self._limit_log = log_limit.LogLimit(
            event="idle_limit_lowered",
            rate_per_s=_LIMIT_LINES_PER_S,
            burst=_LIMIT_LINES_BURST,
        )

    def take(
        self, upstream: upstreams.Upstream, now: float
    ) -> upstream_connection.UpstreamConnection | None:
        """Returns the idle connection that was used last, or None."""
        idle = self._idle.get(upstream.upstream_id)
        if not idle:
            return None
        limit_s = self._limits[upstream.service].limit_s(
            upstream_id=upstream.upstream_id, now=now
        )
        while idle:
            conn = idle.pop()
            rested_s = now - conn.idle_since
            if (
                conn.is_usable
                and conn.usable_until > now
                and rested_s <= limit_s
            ):
                conn.rested_s = rested_s
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

    def note_reset(
        self,
        *,
        upstream: upstreams.Upstream,
        conn: upstream_connection.UpstreamConnection,
        sent_at: float,
        now: float,
    ) -> None:
        """Takes a connection that was reset before any byte of an answer."""
        limits = self._limits[upstream.service]
        lowered = limits.note_reset(
            upstream_id=upstream.upstream_id,
            rested_s=conn.rested_s,
            after_s=now - sent_at,
            now=now,
        )
        if lowered and self._limit_log.allows(upstream.service):
            log.warning(
                "idle_limit_lowered",
                extra={
                    "service": upstream.service,
                    "upstream": upstream.upstream_id,
                    "rested_ms": round(conn.rested_s * 1000, 1),
                },
            )

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
