"""Encoded error responses."""

import json

from tanagerspoke.protocol import errors
from tanagerspoke.transport.callers import error_responses


def test_request_id_that_is_not_utf8() -> None:
    """Guards against a request id that leaves its caller without an answer.

    aiohttp decodes bytes that are not valid UTF-8 to surrogates, which the
    JSON encoder refuses.
    """
    body = error_responses.error_body(
        code=errors.ErrorCode.QUEUE_FULL,
        outcome=errors.Outcome.NOT_RUN,
        message="not run",
        request_id=b"a\xff\xc3\xb6".decode(errors="surrogateescape"),
    )
    assert json.loads(body)["error"]["request_id"] == "a?ö"
