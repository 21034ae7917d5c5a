"""One connection to an upstream; runs one exchange at a time."""

import asyncio
from typing import cast, Protocol

from aiohttp import http

from tanagerspoke import exceptions
from tanagerspoke.transport.upstreams import response_reader
from tanagerspoke.transport.upstreams import upstream_dialect


class Receiver(Protocol):
    """The exchange that a connection serves.

    Attributes:
        dialect: tells answers apart; see `upstream_dialect`.
    """

    dialect: upstream_dialect.UpstreamDialect

    def accepts(self, head: http.RawResponseMessage) -> bool:
        """Returns whether the answer is one to this exchange's request."""

    def on_data(self, body: bytes) -> None:
        """Takes body bytes; the connection's reader knows head and end."""

    def on_broken(self, error: str) -> None:
        """Notes that the response will never be whole."""


class UpstreamConnection(asyncio.Protocol):
    """Socket and response reader.

    Attributes:
        idle_since: time of the last release, in seconds of the loop's clock.
        usable_until: time at which the upstream may close it.
    """

    __slots__ = (
        "_receiver",
        "closed",
        "idle_since",
        "reader",
        "transport",
        "upstream_id",
        "usable_until",
    )

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, upstream_id: str
    ) -> None:
        self.upstream_id = upstream_id
        self.reader = response_reader.ResponseReader(loop=loop)
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.idle_since = 0.0
        self.usable_until = 0.0
        self._receiver: Receiver | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a request may be written to it."""
        return (
            not self.closed
            and self._receiver is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    @property
    def may_be_reused(self) -> bool:
        """Whether the exchange that just ended left it clean."""
        reader = self.reader
        return (
            not self.closed
            and reader.done
            and not reader.surplus
            and reader.head is not None
            and not reader.head.should_close
            and self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    def send(self, *, method: str, data: bytes, receiver: Receiver) -> None:
        """Writes a request and gives the response to the receiver."""
        assert self.transport is not None
        self._receiver = receiver
        skips = receiver.dialect.skips_late_answers
        self.reader.begin(
            method=method, accepts=receiver.accepts if skips else None
        )
        self.transport.write(data)

    def release(self) -> None:
        """Parts the connection from its exchange."""
        self._receiver = None

    def close(self) -> None:
        """Drops the connection at once."""
        self.closed = True
        self._receiver = None
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
        receiver = self._receiver
        if receiver is None:
            # Nobody asked: a second response, or garbage.
            self.close()
            return
        try:
            body = self.reader.feed(data)
        except exceptions.UpstreamError as exc:
            receiver.on_broken(str(exc))
            return
        if self.reader.head is not None:
            receiver.on_data(body)

    def eof_received(self) -> bool:
        """Called by the event loop."""
        receiver = self._receiver
        if (
            receiver is not None
            and receiver.dialect.close_ends_body
            and self.reader.end_at_close()
        ):
            receiver.on_data(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop."""
        self.closed = True
        receiver = self._receiver
        self._receiver = None
        if receiver is not None:
            receiver.on_broken("the upstream closed the connection")
