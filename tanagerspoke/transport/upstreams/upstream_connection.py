"""Connection to an upstream that runs one exchange at a time."""

import array
import asyncio
from typing import cast, Protocol

from aiohttp import http

from tanagerspoke import exceptions
from tanagerspoke.transport.upstreams import response_reader
from tanagerspoke.transport.upstreams import upstream_dialect

# Requests on a connection after which it is closed, so that the memory for
# their ids is bounded.
_MAX_REQUESTS = 512
# Smaller bodies are sent with the head in one segment.
_MAX_COPIED_BODY_BYTES = 65_536


class Receiver(Protocol):
    """Receives the response of an exchange from its connection.

    Attributes:
        dialect: interprets the responses of the upstream.
    """

    dialect: upstream_dialect.UpstreamDialect

    def accepts(self, head: http.RawResponseMessage) -> bool:
        """Returns whether the response belongs to this exchange's request."""

    def on_data(self, body: bytes) -> None:
        """Called with body bytes, possibly none, once the head is complete.

        The connection's reader holds the head and whether the response is
        complete.
        """

    def on_broken(self, error: str) -> None:
        """Called when the response can no longer be completed."""


class UpstreamConnection(asyncio.Protocol):
    """Transport and response reader of a connection.

    Times are seconds of the event loop's clock.

    Attributes:
        idle_since: time at which it became idle.
        requests_sent: number of requests sent on it, probes included.
        usable_until: time after which no request may be sent on it, since the
            upstream may close it.
    """

    __slots__ = (
        "_receiver",
        "_sent_id_hashes",
        "closed",
        "idle_since",
        "requests_sent",
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
        self.requests_sent = 0
        self.usable_until = 0.0
        self._receiver: Receiver | None = None
        self._sent_id_hashes = array.array("q")

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
        return (
            not self.closed
            and self._receiver is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    @property
    def may_be_reused(self) -> bool:
        """Whether the exchange that just ended allows another one."""
        reader = self.reader
        return (
            not self.closed
            and reader.done
            and not reader.has_surplus
            and reader.head is not None
            and not reader.head.should_close
            and self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
            and len(self._sent_id_hashes) < _MAX_REQUESTS
        )

    def has_sent(self, request_id: str) -> bool:
        """Returns whether a request with this id was sent on it.

        A late copy of that request's response could be taken for the response
        to another request with the same id. The result may be wrong for an id
        that was not sent, which costs a new connection.
        """
        return hash(request_id) in self._sent_id_hashes

    def send(
        self,
        *,
        method: str,
        head: bytes,
        body: bytes | memoryview,
        request_id: str,
        receiver: Receiver,
    ) -> None:
        """Sends a request whose response is passed to the receiver.

        The id is empty if the upstream's response does not carry one.
        """
        assert self.transport is not None
        self.requests_sent += 1
        if request_id:
            self._sent_id_hashes.append(hash(request_id))
        self._receiver = receiver
        skips = receiver.dialect.skips_late_responses
        self.reader.begin(
            method=method, accepts=receiver.accepts if skips else None
        )
        if len(body) <= _MAX_COPIED_BODY_BYTES:
            self.transport.write(head + body)
        else:
            # Without a copy of the body for each attempt.
            self.transport.write(head)
            self.transport.write(body)

    def release(self) -> None:
        """Detaches the connection from its exchange."""
        self._receiver = None

    def close(self) -> None:
        """Closes the connection at once, discarding unsent data."""
        self.closed = True
        self._receiver = None
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol`."""
        receiver = self._receiver
        if receiver is None:
            # No request is pending: a duplicate response or invalid data.
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
        """Implements `asyncio.Protocol`."""
        receiver = self._receiver
        if (
            receiver is not None
            and receiver.dialect.close_ends_body
            and self.reader.end_at_close()
        ):
            receiver.on_data(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements `asyncio.Protocol`."""
        self.closed = True
        receiver = self._receiver
        self._receiver = None
        if receiver is not None:
            receiver.on_broken("the upstream closed the connection")
