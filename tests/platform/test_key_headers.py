"""Tests that no key and no account of the caller's choice is forwarded."""

import asyncio

from aiohttp import http as aiohttp_http
from aiohttp import http_parser
import pytest

from tanagerspoke.platform import headers
from tanagerspoke.protocol import key_digests
from tanagerspoke.transport.callers import caller_calls

_NAMES = (
    ("Api-Key", "X-Tenant"),
    ("api-key", "x-tenant"),
    ("API-KEY", "X-TENANT"),
    ("aPi-kEy", "x-TenAnt"),
)


async def _message(lines: list[str]) -> aiohttp_http.RawRequestMessage:
    parser = http_parser.HttpRequestParser(
        None, asyncio.get_running_loop(), 2**16
    )
    head = ["GET / HTTP/1.1", "Host: a", "X-Attempt-Id: q", *lines, "", ""]
    messages, _, _ = parser.feed_data("\r\n".join(head).encode())
    return messages[0][0]


async def _parse(lines: list[str]) -> caller_calls.CallerRequest:
    record = caller_calls.CallRecord(
        call_id=1, request_id="", client_account="", service="", started_at=0.0
    )
    return headers.PlatformCallerDialect().parse_request(
        await _message(lines), record, reads_key=True
    )


@pytest.mark.parametrize("names", _NAMES)
@pytest.mark.parametrize("repeats", [1, 2])
async def test_key_and_account_are_dropped(
    names: tuple[str, str], repeats: int
) -> None:
    """Guards against a worker that sees a key or a forged account."""
    lines = [f"{name}: secret" for name in names] * repeats + ["X-Other: 1"]
    request = await _parse(lines)
    assert request.headers == (("X-Other", "1"),)
    assert "secret" not in repr(request)
    if repeats == 1:
        assert request.key_digest == key_digests.digest("secret")
    else:
        assert request.presented_key == key_digests.DefectiveKey(
            defect=key_digests.KeyDefect.REPEATED
        )
