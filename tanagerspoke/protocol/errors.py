"""Stable error codes, outcomes and the JSON error body."""

import enum
import http

import msgspec


class Outcome(enum.StrEnum):
    """Whether the call ran, as a response states it."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in-progress"
    REPLAYED = "replayed"


class ErrorCode(enum.StrEnum):
    """Stable error codes in responses to callers."""

    MISSING_CLIENT_ACCOUNT = "missing_client_account"
    MALFORMED_REQUEST = "malformed_request"
    MALFORMED_DEADLINE = "malformed_deadline"
    MALFORMED_DEPTH = "malformed_depth"
    MALFORMED_KEY = "malformed_key"
    KEY_REQUIRED = "key_required"
    DEPTH_EXCEEDED = "depth_exceeded"
    UNAUTHORIZED = "unauthorized"
    API_KEY_REJECTED = "api_key_rejected"
    CONFIG_UNCONFIRMED = "config_unconfirmed"
    UNKNOWN_CLIENT_ACCOUNT = "unknown_client_account"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNUSABLE_ROUTE = "unusable_route"
    IN_PROGRESS = "in_progress"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REUSED = "key_reused"
    RATE_LIMITED = "rate_limited"
    USAGE_UNCONFIRMED = "usage_unconfirmed"
    CONCURRENCY_LIMITED = "concurrency_limited"
    MEMORY_EXHAUSTED = "memory_exhausted"
    BODY_TIMEOUT = "body_timeout"
    EXPECTATION_FAILED = "expectation_failed"
    HEADER_TOO_LARGE = "header_too_large"
    HEADER_TIMEOUT = "header_timeout"
    QUEUE_TIMEOUT = "queue_timeout"
    QUEUE_FULL = "queue_full"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    STORE_UNAVAILABLE = "store_unavailable"
    AGENT_UNAVAILABLE = "agent_unavailable"
    STOPPING = "stopping"
    NOT_CONFIGURED = "not_configured"
    UPSTREAM_BROKEN = "upstream_broken"
    CROSSED_REPLY = "crossed_reply"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL_ERROR = "internal_error"


_HTTP_STATUSES = {
    ErrorCode.UNAUTHORIZED: http.HTTPStatus.UNAUTHORIZED,
    ErrorCode.API_KEY_REJECTED: http.HTTPStatus.UNAUTHORIZED,
    ErrorCode.CONFIG_UNCONFIRMED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.UNKNOWN_CLIENT_ACCOUNT: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_ROUTE: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNUSABLE_ROUTE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.IN_PROGRESS: http.HTTPStatus.CONFLICT,
    ErrorCode.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.RATE_LIMITED: http.HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.USAGE_UNCONFIRMED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.CONCURRENCY_LIMITED: http.HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.MEMORY_EXHAUSTED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.BODY_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    ErrorCode.EXPECTATION_FAILED: http.HTTPStatus.EXPECTATION_FAILED,
    ErrorCode.HEADER_TOO_LARGE: (
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    ),
    ErrorCode.HEADER_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    ErrorCode.QUEUE_TIMEOUT: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.QUEUE_FULL: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.NO_UPSTREAM: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.UPSTREAM_SHED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.UPSTREAM_UNREACHABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.STORE_UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.AGENT_UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.NOT_CONFIGURED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.STOPPING: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.UPSTREAM_BROKEN: http.HTTPStatus.BAD_GATEWAY,
    ErrorCode.CROSSED_REPLY: http.HTTPStatus.BAD_GATEWAY,
    ErrorCode.UPSTREAM_TIMEOUT: http.HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.OUTCOME_UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.INTERNAL_ERROR: http.HTTPStatus.INTERNAL_SERVER_ERROR,
}

_OUTCOMES = {
    ErrorCode.IN_PROGRESS: Outcome.IN_PROGRESS,
    ErrorCode.UPSTREAM_BROKEN: Outcome.UNKNOWN,
    ErrorCode.CROSSED_REPLY: Outcome.UNKNOWN,
    ErrorCode.UPSTREAM_TIMEOUT: Outcome.UNKNOWN,
    ErrorCode.OUTCOME_UNKNOWN: Outcome.UNKNOWN,
}


def status_of(code: ErrorCode) -> int:
    """Returns the HTTP status of an error code."""
    return int(_HTTP_STATUSES.get(code, http.HTTPStatus.BAD_REQUEST))


def outcome_of(code: ErrorCode) -> Outcome:
    """Returns whether a call that ended with this error code ran."""
    return _OUTCOMES.get(code, Outcome.NOT_RUN)


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """Content of an error response."""

    code: ErrorCode
    message: str
    outcome: Outcome
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of an error response."""

    error: ErrorDetail
