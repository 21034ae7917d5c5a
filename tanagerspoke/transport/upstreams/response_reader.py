"""Incremental reader of HTTP responses, based on aiohttp's parser."""

from collections.abc import Callable
from typing import Any

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams

from tanagerspoke import exceptions

_MAX_LINE_BYTES = 8190
_MAX_FIELD_BYTES = 32_768
_MAX_HEADERS = 128
# Above this size the parser's stream asks its protocol to pause reading. The
# reader drains the stream after each feed, so the stream never holds more than
# one socket read.
_STREAM_LIMIT_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"
# Bytes before the end of the final response's head, with all interim and
# skipped responses. The parser itself limits single lines only.
_MAX_BYTES_BEFORE_HEAD = 131_072
# Interim responses, and late responses to earlier requests, before the final
# response.
_MAX_SKIPPED_RESPONSES = 16
# Bytes of chunk sizes, chunk extensions and trailers: a fixed number, and a
# number for each byte of the body, since a chunk may hold a single byte.
_MAX_CHUNK_OVERHEAD_BYTES = 65_536
_MAX_CHUNK_OVERHEAD_PER_BYTE = 16


class _NoFlowControl:
    """Implements the part of a protocol that the parser's stream uses."""

    connected = True
    _reading_paused = False

    def pause_reading(self) -> None:
        """Does nothing; `ResponseStream` applies the backpressure."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Does nothing; `ResponseStream` applies the backpressure."""


class ResponseReader:
    """Reads the responses on a connection; `begin` starts each of them.

    Attributes:
        head: status and headers of the final response, or None until they are
            complete.
        done: whether the response is complete.
        has_received: whether any byte was received since `begin`.
        has_surplus: whether bytes may have been received that belong to no
            request; the connection must not be reused then.
    """

    __slots__ = (
        "_accepts_head",
        "_bytes_after_head",
        "_body_bytes",
        "_interim_responses",
        "_skipped_responses",
        "_loop",
        "_no_body_parser",
        "_parser",
        "_payload",
        "_received",
        "done",
        "has_received",
        "head",
        "has_surplus",
    )

    def __init__(self, *, loop: Any) -> None:
        self._loop = loop
        self._accepts_head: Callable[[http.RawResponseMessage], bool] | None = (
            None
        )
        self._parser = self._make_parser(with_body=True)
        self._no_body_parser: http.HttpResponseParser | None = None
        self._payload: streams.StreamReader | None = None
        # All received bytes until the head is complete; after that, the last
        # bytes of a chunked body.
        self._received = bytearray()
        self._interim_responses = 0
        self._skipped_responses = 0
        self._bytes_after_head = 0
        self._body_bytes = 0
        self.head: http.RawResponseMessage | None = None
        self.done = True
        self.has_received = False
        self.has_surplus = False

    def _make_parser(self, *, with_body: bool) -> http.HttpResponseParser:
        # `read_until_eof`: a body without a length extends to the close of the
        # connection. Reading alone never completes it, since a connection
        # failure looks the same; see `end_at_close`.
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
        """Prepares for the response to a request with this method.

        Responses that `accepts` rejects are skipped as late responses to an
        earlier request on this connection.
        """
        self._accepts_head = accepts
        self.head = None
        self.done = False
        self.has_received = False
        self._received = bytearray()
        self._interim_responses = 0
        self._skipped_responses = 0
        self._bytes_after_head = 0
        self._body_bytes = 0
        self._payload = None
        self._no_body_parser = None
        if method == "HEAD":
            self._no_body_parser = self._make_parser(with_body=False)

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes and returns the body bytes among them.

        Raises:
            UpstreamError: the bytes are not a valid HTTP response, or exceed a
                limit on bytes other than those of the body.
        """
        if self.done:
            self.has_surplus = True
            return b""
        self.has_received = True
        parser = self._no_body_parser or self._parser
        try:
            messages, upgraded, _ = parser.feed_data(data)
        except http_exceptions.HttpProcessingError as exc:
            raise exceptions.UpstreamError(
                f"malformed response: {type(exc).__name__}"
            ) from exc
        if upgraded:
            raise exceptions.UpstreamError("unexpected protocol upgrade")
        had_head = self.head is not None
        for message, payload in messages:
            self._accept_message(message, payload)
        self._track_head_end(data, had_head)
        if self._payload is None:
            if len(self._received) > _MAX_BYTES_BEFORE_HEAD:
                raise exceptions.UpstreamError(
                    f"no complete head within {_MAX_BYTES_BEFORE_HEAD} bytes"
                )
            return b""
        if self._payload.exception() is not None:
            raise exceptions.UpstreamError("malformed body")
        body = self._payload.read_nowait()
        self._body_bytes += len(body)
        self._check_chunk_overhead()
        if self._payload.is_eof():
            self.done = True
            self.has_surplus = self.has_surplus or not self._ends_cleanly()
        return body

    def _check_chunk_overhead(self) -> None:
        overhead = self._bytes_after_head - self._body_bytes
        allowed = (
            _MAX_CHUNK_OVERHEAD_BYTES
            + _MAX_CHUNK_OVERHEAD_PER_BYTE * self._body_bytes
        )
        if self.head.chunked and overhead > allowed:
            raise exceptions.UpstreamError(
                "the chunks have too long extensions or trailers"
            )

    def end_at_close(self) -> bool:
        """Completes a body without a length when the connection is closed.

        Returns whether this completed the response.
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
        # Prevents reuse of the closed connection.
        self.has_surplus = True
        return True

    def _track_head_end(self, data: bytes, had_head: bool) -> None:
        if had_head:
            self._bytes_after_head += len(data)
            if self.head.chunked:
                self._received += data[-len(_END_OF_HEAD) :]
                del self._received[: -len(_END_OF_HEAD)]
            return
        self._received += data
        if self.head is None:
            return
        end = 0
        for _ in range(self._interim_responses + 1):
            separator_at = self._received.find(_END_OF_HEAD, end)
            if separator_at < 0:
                # The parser accepted bare line feeds, so the end of the head
                # cannot be located.
                self.has_surplus = True
                return
            end = separator_at + len(_END_OF_HEAD)
        self._bytes_after_head = len(self._received) - end

    def _ends_cleanly(self) -> bool:
        """Returns whether no bytes follow the response.

        The parser buffers the start of another message without reporting it,
        and would parse the next response as its continuation.
        """
        if self.head.chunked and self._bytes_after_head:
            # The data ends with an empty line. If that line ended another
            # message, the parser would have returned that message or raised an
            # error.
            return self._received.endswith(_END_OF_HEAD)
        return self._bytes_after_head == self._body_bytes

    def _accept_message(
        self, message: http.RawResponseMessage, payload: streams.StreamReader
    ) -> None:
        if self.head is not None:
            self.has_surplus = True
        elif message.code == 101:
            raise exceptions.UpstreamError("unexpected protocol upgrade")
        elif message.code < 200:
            self._interim_responses += 1
            self._count_skipped()
        elif self._accepts_head is not None and not self._accepts_head(message):
            # After a skipped response, the boundaries between responses are no
            # longer certain, so the connection must not be reused.
            self.has_surplus = True
            self._count_skipped()
        else:
            self.head = message
            self._payload = payload

    def _count_skipped(self) -> None:
        self._skipped_responses += 1
        if self._skipped_responses > _MAX_SKIPPED_RESPONSES:
            raise exceptions.UpstreamError(
                "too many responses before the expected one"
            )
