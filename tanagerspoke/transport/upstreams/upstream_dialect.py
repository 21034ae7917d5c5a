"""Encoding of requests to upstreams and interpretation of responses."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from aiohttp import http as aiohttp_http

from tanagerspoke import exceptions
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import upstreams

# `Tanagerspoke-Retry` is forwarded: it tells outer layers not to retry.
_SYSTEM_HEADERS = frozenset(
    name.lower() for name in headers.RESERVED if name != headers.RETRY
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRequest:
    """Request to an upstream.

    Attributes:
        headers: end-to-end headers only.
        host: value of the caller's `Host` header.
        depth: number of calls that this one is nested in.
        max_buffered_bytes: size of the longest response body that is buffered
            completely before it is forwarded.
        may_stream: whether longer responses are streamed; otherwise they count
            as broken.
        probe: whether the request only queries the upstream's load.
        may_send: asked before the request is written to a new connection,
            whose opening may have taken long; false if it must not be sent
            any more. None means that it may always be sent.
    """

    request_id: str
    client_account: str
    method: str
    path: str
    headers: headers.Headers
    body: bytes
    service: str = ""
    host: str = ""
    depth: int = 0
    max_buffered_bytes: int = 262_144
    may_stream: bool = True
    probe: bool = False
    may_send: Callable[[], bool] | None = None


class UpstreamDialect(Protocol):
    """Header names and conventions of the upstreams that a client uses.

    Attributes:
        dropped_headers: names, in lower case, of response headers that are not
            forwarded to the caller.
        skips_late_responses: whether a response to another request is skipped
            because the expected one follows; otherwise it ends the exchange.
        close_ends_body: whether a body without a length is complete when the
            connection is closed in an orderly way rather than reset.
    """

    dropped_headers: frozenset[str]
    skips_late_responses = False
    close_ends_body = False

    def request_lines(
        self,
        *,
        request: UpstreamRequest,
        upstream: upstreams.Upstream,
        attempt: int,
        remaining_ms: int,
    ) -> list[str]:
        """Returns the start line and headers except `Content-Length`.

        Args:
            request: the request to encode.
            upstream: the upstream that the request is sent to.
            attempt: number of the attempt; the first is 1.
            remaining_ms: milliseconds until the deadline of the call.
        """

    def belongs_to(
        self,
        *,
        head: aiohttp_http.RawResponseMessage,
        request: UpstreamRequest,
        upstream: upstreams.Upstream,
        first_on_connection: bool,
    ) -> bool:
        """Returns whether the response belongs to this request.

        Args:
            head: head of the response.
            request: the request that waits for a response.
            upstream: the upstream that the request was sent to.
            first_on_connection: whether nothing else was sent on the
                connection, so that no other request can have caused the
                response.
        """

    def not_run_result(
        self, head: aiohttp_http.RawResponseMessage
    ) -> calls.Shed | calls.WrongUpstream | None:
        """Returns the result if the upstream states that it ran nothing.

        Returns None for all other responses.
        """

    def find_defect(
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> str | None:
        """Returns why the response must not be forwarded, or None."""

    def load_report(
        self, head: aiohttp_http.RawResponseMessage
    ) -> upstreams.LoadReport | None:
        """Returns the load report in a response, or None.

        Raises:
            ProtocolError: the report is malformed.
        """

    def notice(
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> upstreams.Notice | None:
        """Returns what the upstream states about further calls, or None."""


class TanagerspokeDialect(UpstreamDialect):
    """Dialect with the product's own header names."""

    dropped_headers = headers.HOP_BY_HOP | _SYSTEM_HEADERS

    def request_lines(
        self,
        *,
        request: UpstreamRequest,
        upstream: upstreams.Upstream,
        attempt: int,
        remaining_ms: int,
    ) -> list[str]:
        """Implements `UpstreamDialect`."""
        lines = [
            f"{request.method} {request.path} HTTP/1.1",
            f"Host: {upstream.address}:{upstream.port}",
        ]
        lines += [f"{name}: {value}" for name, value in request.headers]
        lines += (
            f"{headers.REQUEST_ID}: {request.request_id}",
            f"{headers.CLIENT_ACCOUNT}: {request.client_account}",
            f"{headers.ATTEMPT}: {attempt}",
            f"{headers.DEADLINE_MS}: {remaining_ms}",
            f"{headers.DEPTH}: {request.depth}",
        )
        return lines

    def belongs_to(
        self,
        *,
        head: aiohttp_http.RawResponseMessage,
        request: UpstreamRequest,
        upstream: upstreams.Upstream,
        first_on_connection: bool,
    ) -> bool:
        """Implements `UpstreamDialect`."""
        del upstream, first_on_connection
        return head.headers.get(headers.REQUEST_ID) == request.request_id

    def not_run_result(
        self, head: aiohttp_http.RawResponseMessage
    ) -> calls.Shed | calls.WrongUpstream | None:
        """Implements `UpstreamDialect`."""
        if (
            head.code != 503
            or head.headers.get(headers.OUTCOME) != errors.Outcome.NOT_RUN
        ):
            return None
        return calls.Shed(
            retry_after_s=headers.parse_retry_after(
                head.headers.get("Retry-After")
            )
        )

    def find_defect(
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> str | None:
        """Implements `UpstreamDialect`."""
        del head, request
        return None

    def load_report(
        self, head: aiohttp_http.RawResponseMessage
    ) -> upstreams.LoadReport | None:
        """Implements `UpstreamDialect`."""
        return headers.parse_load(head.headers.get(headers.LOAD))

    def notice(
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> upstreams.Notice | None:
        """Implements `UpstreamDialect`; leaving is part of the load report."""
        del head, request
        return None


def encode_head(lines: list[str]) -> bytes:
    """Returns the encoded head of a message, including the final empty line.

    Args:
        lines: start line and headers.

    Raises:
        UpstreamError: a line contains a line break or a NUL; a line break
            would allow request smuggling or response splitting.
    """
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if head.count("\n") != breaks or head.count("\r") != breaks or "\0" in head:
        raise exceptions.UpstreamError(
            "a header contains a line break or a NUL"
        )
    return head.encode("utf-8", "surrogateescape") + b"\r\n\r\n"
