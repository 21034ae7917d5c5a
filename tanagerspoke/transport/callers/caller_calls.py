"""Callers' requests, responses and call records, and header dialects."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from aiohttp import http as aiohttp_http

from tanagerspoke import exceptions
from tanagerspoke.coordination import limits
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import routing
from tanagerspoke.state import config
from tanagerspoke.transport.callers import caller_headers
from tanagerspoke.transport.callers import error_responses
from tanagerspoke.transport.upstreams import upstream_client

# The default keep-alive timeout of aiohttp's own server.
_DEFAULT_IDLE_TIMEOUT_S = 3630.0
# Common HTTP servers wait this long for the headers of a request.
_DEFAULT_HEADER_TIMEOUT_S = 60.0
# No call has a longer deadline that is met, and clients within the limits send
# their bodies in seconds.
_DEFAULT_BODY_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Size and time limits for the requests of callers.

    Attributes:
        max_header_bytes: maximum size of the request line, and of all header
            names and values together.
        header_timeout_s: time from the first byte of a request to the end of
            its headers.
        idle_timeout_s: time that a connection may stay open between requests.
        body_timeout_s: time from the end of the headers to the end of the
            body; nothing extends it.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float = _DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = _DEFAULT_IDLE_TIMEOUT_S
    body_timeout_s: float = _DEFAULT_BODY_TIMEOUT_S


@dataclasses.dataclass(kw_only=True, slots=True)
class CallRecord:
    """State of a call, filled in while it runs.

    Attributes:
        started_at: monotonic seconds of the start of the call.
        limiter: limiter that counts the call until it ends, None if no limit
            applies to the call.
        earlier_request_may_have_run: whether an earlier request with the same
            idempotency key may have run: the caller says that it sent the key
            before, and no claim has ruled this out yet.
        dispatched: whether an upstream may have received the call.
        route: None until the request is routed.
        deadline: monotonic seconds of the call's deadline, None until the
            request is routed.
        upstream_duration_s: duration in seconds of the last attempt that got
            a response, None if none did.
        code: `ok`, an error code or `caller_left`, None while the call runs.
        status: HTTP status of the response, 0 while there is none.
        trace: starts and ends of the call's attempts, for the log.
        rejection: why the call was rejected for its key, empty if it was not.
        retry_after_s: time after which a refused caller may return, None where
            the refusal states none.
        decided_by: node that refused the call, empty if it is this one.
    """

    call_id: int
    request_id: str
    client_account: str
    service: str
    started_at: float
    limiter: limits.AccountLimiter | None = None
    earlier_request_may_have_run: bool = False
    dispatched: bool = False
    route: config.Route | routing.Route | None = None
    deadline: float | None = None
    upstream_duration_s: float | None = None
    code: str | None = None
    status: int = 0
    trace: list[dict[str, object]] = dataclasses.field(default_factory=list)
    rejection: str = ""
    retry_after_s: float | None = None
    decided_by: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A caller's request with valid headers.

    Attributes:
        bearer_token: None if the request has none.
        path: path and query for the upstream.
        deadline_s: time that the caller waits for the response, in seconds
            from the start of the call; None if it states none.
        depth: number of calls above this one in a chain of nested calls.
        idempotency_key: None if the request has none.
        body: complete body, empty until it was read.
        host: value of the header Host, empty if the dialect ignores it.
        record: record of the call; a `CallerDialect` always sets it.
        presented_key: None if calls need no key. Otherwise `headers` holds
            neither the key nor an account named by the caller.
    """

    request_id: str
    client_account: str
    bearer_token: str | None
    service: str
    method: str
    path: str
    deadline_s: float | None
    depth: int
    idempotency_key: str | None
    headers: headers.Headers
    body: bytes | memoryview
    host: str = ""
    record: CallRecord | None = None
    presented_key: key_digests.PresentedKey | None = None

    @property
    def key_digest(self) -> str | None:
        """Digest of the presented key, None if there is no well-formed one."""
        match self.presented_key:
            case key_digests.WellFormedKey(digest=digest):
                return digest
        return None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerResponse:
    """A response for the caller, and the outcome of the call."""

    response: upstream_client.Response
    outcome: errors.Outcome


OnDone = Callable[[CallerResponse | None, Exception | None], None]


class CallerDialect(Protocol):
    """Header names and path format that a server's callers use."""

    def client_account(self, message: aiohttp_http.RawRequestMessage) -> str:
        """Returns the client account named in a request, or ""."""

    def parse_request(
        self,
        message: aiohttp_http.RawRequestMessage,
        record: CallRecord,
        *,
        reads_key: bool = False,
    ) -> CallerRequest:
        """Returns the request for a message, without its body.

        Also sets the fields of `record` that depend on the headers.

        Args:
            message: the message.
            record: record of the call.
            reads_key: whether the deployment has client accounts, so that the
                dialect's key header is read and not forwarded.

        Raises:
            CallRefusedError: the request cannot be served.
        """

    def added_headers(
        self, record: CallRecord, caller_resp: CallerResponse
    ) -> headers.Headers:
        """Returns the headers that are added to an upstream's response."""

    def error_headers(
        self,
        *,
        code: errors.ErrorCode,
        outcome: errors.Outcome,
        request_id: str,
        retry_after_s: float | None,
    ) -> headers.Headers:
        """Returns the headers of an error that this server generates."""


class DefaultCallerDialect(CallerDialect):
    """Tanagerspoke header names; the path starts with the service name."""

    def client_account(self, message: aiohttp_http.RawRequestMessage) -> str:
        """Implements `CallerDialect`."""
        return message.headers.get(headers.CLIENT_ACCOUNT, "")

    def parse_request(
        self,
        message: aiohttp_http.RawRequestMessage,
        record: CallRecord,
        *,
        reads_key: bool = False,
    ) -> CallerRequest:
        """Implements `CallerDialect`; this dialect has no API keys."""
        del reads_key
        path = message.path
        if not record.client_account:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.MISSING_CLIENT_ACCOUNT,
                message=f"header {headers.CLIENT_ACCOUNT} is missing",
            )
        if not path.startswith("/"):
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.MALFORMED_REQUEST,
                message="the request target must be a path",
            )
        record.service, _, upstream_path = path[1:].partition("/")
        record.earlier_request_may_have_run = (
            caller_headers.is_repeated_request(message)
        )
        return CallerRequest(
            request_id=record.request_id,
            client_account=record.client_account,
            bearer_token=caller_headers.bearer_token(message),
            service=record.service,
            method=message.method,
            path="/" + upstream_path,
            deadline_s=caller_headers.deadline_s(message),
            depth=caller_headers.depth(message),
            idempotency_key=caller_headers.idempotency_key(message),
            headers=caller_headers.forwarded_headers(message),
            body=b"",
            record=record,
        )

    def added_headers(
        self, record: CallRecord, caller_resp: CallerResponse
    ) -> headers.Headers:
        """Implements `CallerDialect`."""
        return (
            (headers.REQUEST_ID, record.request_id),
            (headers.OUTCOME, caller_resp.outcome.value),
        )

    def error_headers(
        self,
        *,
        code: errors.ErrorCode,
        outcome: errors.Outcome,
        request_id: str,
        retry_after_s: float | None,
    ) -> headers.Headers:
        """Implements `CallerDialect`."""
        return error_responses.error_headers(
            code=code,
            outcome=outcome,
            request_id=request_id,
            retry_after_s=retry_after_s,
        )
