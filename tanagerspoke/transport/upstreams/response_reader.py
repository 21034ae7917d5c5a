"""Reads the response of one exchange from bytes, with aiohttp's parser."""

from collections.abc import Callable
from typing import Any

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams

from tanagerspoke import exceptions

_MAX_LINE_BYTES = 8190
_MAX_FIELD_BYTES = 32_768
_MAX_HEADERS = 128
# The parser's stream asks its protocol to pause above this; the reader empties
# the stream after every feed, so the size of one read bounds it.
_STREAM_LIMIT_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"


class _NoFlowControl:
    """What the parser's stream needs of a protocol."""

    connected = True
    _reading_paused = False

    def pause_reading(self) -> None:
        """Does nothing: the connection controls the flow."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Does nothing: the connection controls the flow."""


class ResponseReader:
    """Reads one response after another; `begin` starts each.

    Attributes:
        head: status and headers of the final response, once they are whole.
        done: whether the response is whole.
        surplus: whether bytes came that belong to no request.
    """

    __slots__ = (
        "_accepts",
        "_after_head",
        "_body_size",
        "_interim",
        "_loop",
        "_no_body_parser",
        "_parser",
        "_payload",
        "_received",
        "done",
        "head",
        "surplus",
    )

    def __init__(self, *, loop: Any) -> None:
        self._loop = loop
        self._accepts: Callable[[http.RawResponseMessage], bool] | None = None
        self._parser = self._make_parser(with_body=True)
        self._no_body_parser: http.HttpResponseParser | None = None
        self._payload: streams.StreamReader | None = None
        # Received bytes up to the end of the head; of a chunked body, its last
        # bytes afterwards.
        self._received = b""
        self._interim = 0
        self._after_head = 0
        self._body_size = 0
        self.head: http.RawResponseMessage | None = None
        self.done = True
        self.surplus = False

    def _make_parser(self, *, with_body: bool) -> http.HttpResponseParser:
        # A body without a length would be read until the connection closes;
        # such a body never counts as whole, since a break looks the same.
        return http.HttpResponseParser(
            _NoFlowControl(),
            self._loop,
            _STREAM_LIMIT_BYTES,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_FIELD_BYTES,
            max_headers=_MAX_HEADERS,
            response_with_body=with_body,
            read_until_eof=True,
            auto_decompress=False,
        )

    def begin(
        self,
        *,
        method: str,
        accepts: Callable[[http.RawResponseMessage], bool] | None = None,
    ) -> None:
        """Expects the response to a request with this method.

        Responses that `accepts` turns down are skipped: they were made for an
        earlier request and came too late for it.
        """
        self._accepts = accepts
        self.head = None
        self.done = False
        self._received = b""
        self._interim = 0
        self._after_head = 0
        self._body_size = 0
        self._payload = None
        self._no_body_parser = None
        if method == "HEAD":
            self._no_body_parser = self._make_parser(with_body=False)

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes and returns the bytes of the body in them.

        Raises:
            UpstreamError: the bytes are no HTTP response.
        """
        if self.done:
            self.surplus = True
            return b""
        parser = self._no_body_parser or self._parser
        try:
            messages, upgraded, _ = parser.feed_data(data)
        except http_exceptions.HttpProcessingError as exc:
            raise exceptions.UpstreamError(
                f"malformed response: {type(exc).__name__}"
            ) from exc
        if upgraded:
            raise exceptions.UpstreamError("unasked protocol upgrade")
        had_head = self.head is not None
        for message, payload in messages:
            self._take(message, payload)
        self._count(data, had_head)
        if self._payload is None:
            return b""
        if self._payload.exception() is not None:
            raise exceptions.UpstreamError("malformed body")
        body = self._payload.read_nowait()
        self._body_size += len(body)
        if self._payload.is_eof():
            self.done = True
            self.surplus = self.surplus or not self._ends_cleanly()
        return body

    def end_at_close(self) -> bool:
        """Ends a body without a length at the end of the connection.

        Returns whether the response is whole by that.
        """
        head = self.head
        if (
            self.done
            or head is None
            or head.chunked
            or "Content-Length" in head.headers
        ):
            return False
        self._parser.feed_eof()
        self.done = True
        # The connection has ended, so it carries no further request.
        self.surplus = True
        return True

    def _count(self, data: bytes, had_head: bool) -> None:
        if had_head:
            self._after_head += len(data)
            if self.head.chunked:
                self._received = (self._received + data)[-len(_END_OF_HEAD) :]
            return
        self._received += data
        if self.head is None:
            return
        end = 0
        for _ in range(self._interim + 1):
            found = self._received.find(_END_OF_HEAD, end)
            if found < 0:
                # Bare line feeds: the end of the head cannot be located.
                self.surplus = True
                return
            end = found + len(_END_OF_HEAD)
        self._after_head = len(self._received) - end

    def _ends_cleanly(self) -> bool:
        """Whether the received bytes end with the response.

        The parser keeps the start of a further message to itself, and would
        take the next response for the rest of it.
        """
        if self.head.chunked and self._after_head:
            # A further message that ends like this would be whole, or an
            # error, and so be noticed.
            return self._received.endswith(_END_OF_HEAD)
        return self._after_head == self._body_size

    def _take(
        self, message: http.RawResponseMessage, payload: streams.StreamReader
    ) -> None:
        if self.head is not None:
            self.surplus = True
        elif message.code == 101:
            raise exceptions.UpstreamError("unasked protocol upgrade")
        elif message.code < 200:
            self._interim += 1
        elif self._accepts is not None and not self._accepts(message):
            # The bytes cannot be told apart for certain any more.
            self.surplus = True
        else:
            self.head = message
            self._payload = payload
