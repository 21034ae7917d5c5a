"""What is written to an upstream, and what its answers say."""

import dataclasses
from typing import Protocol

from aiohttp import http as aiohttp_http

from tanagerspoke import exceptions
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import upstreams

# `Tanagerspoke-Retry` is passed on: it tells outer layers not to retry.
_SYSTEM = frozenset(
    name.lower() for name in headers.RESERVED if name != headers.RETRY
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRequest:
    """A request as it goes to an upstream.

    Attributes:
        headers: end-to-end headers only.
        host: value of the caller's `Host` header.
        hold_bytes: longest answer that is held whole before it is passed on.
        probe: whether it only asks for the upstream's load.
        may_stream: whether a longer answer is streamed; where it is not,
            such an answer counts as broken.
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
    hold_bytes: int = 262_144
    may_stream: bool = True
    probe: bool = False


class UpstreamDialect(Protocol):
    """Header names of the upstreams that a client talks to.

    Attributes:
        dropped_headers: headers of answers, in lower case, that are not
            passed on to the caller.
        skips_late_answers: whether an answer to another request is skipped,
            since the right one follows; otherwise it ends the exchange.
        close_ends_body: whether a body without a length is whole when its
            connection is closed in order, not reset.
    """

    dropped_headers: frozenset[str]
    skips_late_answers = False
    close_ends_body = False

    def request_lines(
        self,
        *,
        request: UpstreamRequest,
        upstream: upstreams.Upstream,
        attempt: int,
        remaining_ms: int,
    ) -> list[str]:
        """Returns start line and headers, without the body's length."""

    def belongs_to(
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> bool:
        """Returns whether the answer is one to this request."""

    def not_run(
        self, head: aiohttp_http.RawResponseMessage
    ) -> calls.Shed | calls.WrongUpstream | None:
        """Returns the result where the upstream says that it did not run."""

    def defect(
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> str | None:
        """Returns why the answer may not be passed on, or None."""

    def load(
        self, head: aiohttp_http.RawResponseMessage
    ) -> upstreams.LoadReport | None:
        """Returns the load report of an answer, or None.

        Raises:
            ProtocolError: the report is malformed.
        """


class OwnDialect(UpstreamDialect):
    """The product's own header names."""

    dropped_headers = headers.HOP_BY_HOP | _SYSTEM

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
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> bool:
        """Implements `UpstreamDialect`."""
        return head.headers.get(headers.REQUEST_ID) == request.request_id

    def not_run(
        self, head: aiohttp_http.RawResponseMessage
    ) -> calls.Shed | calls.WrongUpstream | None:
        """Implements `UpstreamDialect`."""
        if (
            head.code != 503
            or head.headers.get(headers.OUTCOME) != errors.Outcome.NOT_RUN
        ):
            return None
        value = head.headers.get("Retry-After", "")
        return calls.Shed(
            retry_after_s=float(value) if value.isdecimal() else None
        )

    def defect(
        self, *, head: aiohttp_http.RawResponseMessage, request: UpstreamRequest
    ) -> str | None:
        """Implements `UpstreamDialect`."""
        del head, request
        return None

    def load(
        self, head: aiohttp_http.RawResponseMessage
    ) -> upstreams.LoadReport | None:
        """Implements `UpstreamDialect`."""
        return headers.parse_load(head.headers.get(headers.LOAD))


def encode_head(lines: list[str]) -> bytes:
    """Returns the start line and headers of a message, with their end.

    Raises:
        UpstreamError: a line holds a line break, which would let a header
            smuggle in another message.
    """
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if head.count("\n") != breaks or head.count("\r") != breaks or "\0" in head:
        raise exceptions.UpstreamError("a header holds a line break")
    return head.encode("utf-8", "surrogateescape") + b"\r\n\r\n"
