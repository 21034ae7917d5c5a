"""Header names of the platform and the dialects that use them."""

import http

from aiohttp import http as aiohttp_http

from tanagerspoke import exceptions
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import error_responses
from tanagerspoke.transport.upstreams import upstream_dialect

REQUEST_ID = "X-Attempt-Id"
DEADLINE_MS = "X-Deadline-Ms"
# Key of the client account; never sent to a worker if there are accounts.
API_KEY = "Api-Key"
# Name of the client account, set on the request to the worker.
CLIENT_ACCOUNT = "X-Tenant"
EXPECTED_UPSTREAM = "X-Expect-Instance"
# Id of the worker that sent a health response.
RESPONDER = "X-Instance-Id"
# Proves that the worker itself produced the response.
SIGNATURE = "X-Response-Signature"
NOT_RUN = "X-Not-Executed"
LOAD = "X-Server-Load"
# `1` in all responses of a worker that is leaving.
LEAVING = "Server-Leaving"
# In health responses: milliseconds for which the worker will remain slow.
COLD_MS = "X-Cold-Ms"

_WRONG_UPSTREAM_STATUS = 421
_STATUSES_WITH_RETRY_AFTER = (
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS,
)
# Sent in `Retry-After` when a refusal does not specify a delay.
_DEFAULT_RETRY_AFTER_S = 0.3
# A load header has the numbers of running and waiting calls and of slots, and
# optionally the current work time in percent of the usual one.
_USUAL_WORK_TIME_PERCENT = 100
# Larger numbers are a faulty report.
_MAX_LOAD_NUMBER = 1_000_000
_MAX_LOGGED_LENGTH = 100
# Longer cold periods are faulty; the same bound as for `cold_left_s`.
_MAX_COLD_MS = 600_000
# Digits of a deadline in milliseconds: 11 days.
_MAX_DEADLINE_DIGITS = 9
_DROPPED_REQUEST_HEADERS = headers.HOP_BY_HOP | {
    name.lower()
    for name in ("Host", "Expect", REQUEST_ID, DEADLINE_MS, EXPECTED_UPSTREAM)
}
_DROPPED_WITH_ACCOUNTS = _DROPPED_REQUEST_HEADERS | {
    name.lower() for name in (API_KEY, CLIENT_ACCOUNT)
}


class PlatformUpstreamDialect(upstream_dialect.UpstreamDialect):
    """Dialect of the platform's workers."""

    dropped_headers = headers.HOP_BY_HOP
    skips_late_responses = True
    close_ends_body = True

    def request_lines(
        self,
        *,
        request: upstream_dialect.UpstreamRequest,
        upstream: upstreams.Upstream,
        attempt: int,
        remaining_ms: int,
    ) -> list[str]:
        """Implements `UpstreamDialect`."""
        del attempt
        if request.probe:
            return [
                f"{request.method} {request.path} HTTP/1.1",
                f"Host: {upstream.address}:{upstream.port}",
            ]
        lines = [
            f"{request.method} {request.path} HTTP/1.1",
            f"Host: {request.host}",
        ]
        lines += [f"{name}: {value}" for name, value in request.headers]
        lines += (
            f"{REQUEST_ID}: {request.request_id}",
            f"{DEADLINE_MS}: {remaining_ms}",
            f"{EXPECTED_UPSTREAM}: {upstream.upstream_id}",
        )
        if request.client_account:
            lines.append(f"{CLIENT_ACCOUNT}: {request.client_account}")
        return lines

    def belongs_to(
        self,
        *,
        head: aiohttp_http.RawResponseMessage,
        request: upstream_dialect.UpstreamRequest,
        upstream: upstreams.Upstream,
        first_on_connection: bool,
    ) -> bool:
        """Implements `UpstreamDialect`.

        A worker that refuses a request before reading its id does not echo the
        id. On a connection that was used before, such a response may as well
        be a late copy of a health response, which has no id either.
        """
        echoed = head.headers.get(REQUEST_ID)
        if request.probe:
            responder = head.headers.get(RESPONDER, upstream.upstream_id)
            return echoed is None and responder == upstream.upstream_id
        if echoed is None:
            return first_on_connection and head.code >= 400
        return echoed == request.request_id

    def not_run_result(
        self, head: aiohttp_http.RawResponseMessage
    ) -> calls.Shed | calls.WrongUpstream | None:
        """Implements `UpstreamDialect`."""
        if head.code == _WRONG_UPSTREAM_STATUS:
            return calls.WrongUpstream()
        if NOT_RUN in head.headers:
            return calls.Shed(retry_after_s=_requested_pause_s(head))
        return None

    def find_defect(
        self,
        *,
        head: aiohttp_http.RawResponseMessage,
        request: upstream_dialect.UpstreamRequest,
    ) -> str | None:
        """Implements `UpstreamDialect`."""
        if request.probe:
            return None
        if "Content-Encoding" in head.headers:
            return "the body has a content encoding that was not requested"
        if head.code < 300 and SIGNATURE not in head.headers:
            return "a successful response lacks the worker's signature"
        return None

    def load_report(
        self, head: aiohttp_http.RawResponseMessage
    ) -> upstreams.LoadReport | None:
        """Implements `UpstreamDialect`."""
        value = head.headers.get(LOAD)
        if value is None:
            return None
        try:
            numbers = [int(part) for part in value.split(",")]
        except ValueError as exc:
            raise exceptions.ProtocolError(
                f"malformed load header {value[:_MAX_LOGGED_LENGTH]!r}"
            ) from exc
        if (
            len(numbers) < 3
            or min(numbers) < 0
            or max(numbers) > _MAX_LOAD_NUMBER
            or numbers[2] < 1
        ):
            raise exceptions.ProtocolError(
                f"malformed load header {value[:_MAX_LOGGED_LENGTH]!r}"
            )
        running, waiting, slots = numbers[:3]
        work_time_percent = (
            numbers[3] if len(numbers) > 3 else _USUAL_WORK_TIME_PERCENT
        )
        return upstreams.LoadReport(
            in_flight=running + waiting,
            slots=slots,
            host_slowness=max(1, work_time_percent) / _USUAL_WORK_TIME_PERCENT,
        )

    def notice(
        self,
        *,
        head: aiohttp_http.RawResponseMessage,
        request: upstream_dialect.UpstreamRequest,
    ) -> upstreams.Notice | None:
        """Implements `UpstreamDialect`.

        A response of another worker at the address states nothing about the
        expected one.
        """
        if head.code == _WRONG_UPSTREAM_STATUS:
            return None
        leaving = head.headers.get(LEAVING) == "1"
        pause_s = _requested_pause_s(head)
        cold_s = _cold_s(head) if request.probe else None
        if not leaving and pause_s is None and cold_s is None:
            return None
        return upstreams.Notice(leaving=leaving, pause_s=pause_s, cold_s=cold_s)


def _cold_s(head: aiohttp_http.RawResponseMessage) -> float | None:
    """Returns the seconds that a worker remains cold, or None.

    0 is no statement: workers that are not cold send it in each response.
    """
    values = head.headers.getall(COLD_MS, ())
    if len(values) != 1:
        return None
    (value,) = values
    if not value.isascii() or not value.isdecimal():
        return None
    if len(value) > len(str(_MAX_COLD_MS)) or int(value) > _MAX_COLD_MS:
        return None
    return int(value) / 1000 or None


def _requested_pause_s(head: aiohttp_http.RawResponseMessage) -> float | None:
    if head.code != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    return headers.parse_retry_after(head.headers.get("Retry-After"))


class PlatformCallerDialect(caller_calls.CallerDialect):
    """Dialect of the platform's clients."""

    def client_account(self, message: aiohttp_http.RawRequestMessage) -> str:
        """Implements `CallerDialect`; the key decides on the account."""
        del message
        return ""

    def parse_request(
        self,
        message: aiohttp_http.RawRequestMessage,
        record: caller_calls.CallRecord,
        *,
        reads_key: bool = False,
    ) -> caller_calls.CallerRequest:
        """Implements `CallerDialect`.

        Only the digest of the key outlives this call.
        """
        request_id = message.headers.get(REQUEST_ID)
        if not request_id:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.MALFORMED_REQUEST,
                message=f"header {REQUEST_ID} is missing",
            )
        record.request_id = request_id
        host = message.headers.get("Host", "")
        return caller_calls.CallerRequest(
            request_id=request_id,
            client_account="",
            bearer_token=None,
            service="",
            method=message.method,
            path=message.path,
            host=host,
            deadline_s=_deadline_s(message),
            depth=0,
            idempotency_key=None,
            headers=headers.end_to_end_headers(
                message.headers.items(),
                dropped=(
                    _DROPPED_WITH_ACCOUNTS
                    if reads_key
                    else _DROPPED_REQUEST_HEADERS
                ),
            ),
            body=b"",
            record=record,
            presented_key=(
                key_digests.read_key(message.headers.getall(API_KEY, ()))
                if reads_key
                else None
            ),
        )

    def added_headers(
        self,
        record: caller_calls.CallRecord,
        caller_resp: caller_calls.CallerResponse,
    ) -> headers.Headers:
        """Implements `CallerDialect`; responses are forwarded unchanged."""
        del record, caller_resp
        return ()

    def error_headers(
        self,
        *,
        code: errors.ErrorCode,
        outcome: errors.Outcome,
        request_id: str,
        retry_after_s: float | None,
    ) -> headers.Headers:
        """Implements `CallerDialect`.

        `Retry-After` has fractions of seconds, which the clients support.
        """
        base_headers = error_responses.error_headers(
            code=code,
            outcome=outcome,
            request_id=request_id,
            retry_after_s=None,
        )
        response_headers = [
            pair for pair in base_headers if pair[0] != "Retry-After"
        ]
        response_headers.append((REQUEST_ID, request_id))
        if errors.status_of(code) in _STATUSES_WITH_RETRY_AFTER:
            delay_s = (
                _DEFAULT_RETRY_AFTER_S
                if retry_after_s is None
                else retry_after_s
            )
            response_headers.append(("Retry-After", f"{delay_s:.3f}"))
        return tuple(response_headers)


def _deadline_s(message: aiohttp_http.RawRequestMessage) -> float | None:
    """Returns the seconds until the caller's deadline, or None if not given.

    Raises:
        CallRefusedError: the header is malformed.
    """
    value = message.headers.get(DEADLINE_MS)
    if value is None:
        return None
    if (
        not value.isascii()
        or not value.isdecimal()
        or len(value) > _MAX_DEADLINE_DIGITS
    ):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.MALFORMED_DEADLINE,
            message=(
                f"header {DEADLINE_MS} must be a whole number of at most "
                f"{_MAX_DEADLINE_DIGITS} digits"
            ),
        )
    return int(value) / 1000
