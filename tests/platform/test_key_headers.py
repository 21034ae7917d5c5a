"""Tests that no key and no account of the caller's choice is forwarded."""

import asyncio

from aiohttp import http as aiohttp_http
from aiohttp import http_parser
import pytest

from tanagerspoke.platform import headers
from tanagerspoke.protocol import key_digests
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.upstreams import upstream_dialect

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


async def _parse(
    lines: list[str], *, reads_key: bool
) -> caller_calls.CallerRequest:
    record = caller_calls.CallRecord(
        call_id=1, request_id="", client_account="", service="", started_at=0.0
    )
    return headers.PlatformCallerDialect().parse_request(
        await _message(lines), record, reads_key=reads_key
    )


@pytest.mark.parametrize("names", _NAMES)
@pytest.mark.parametrize("repeats", [1, 2])
async def test_key_and_account_are_dropped(
    names: tuple[str, str], repeats: int
) -> None:
    """Guards against a worker that sees a key or a forged account."""
    lines = [f"{name}: secret" for name in names] * repeats + ["X-Other: 1"]
    request = await _parse(lines, reads_key=True)
    assert request.headers == (("X-Other", "1"),)
    assert "secret" not in repr(request)
    if repeats == 1:
        assert request.key_digest == key_digests.digest("secret")
    else:
        assert request.presented_key == key_digests.DefectiveKey(
            defect=key_digests.KeyDefect.REPEATED
        )


async def test_headers_without_accounts_are_unchanged() -> None:
    """Guards against changes for deployments without accounts."""
    request = await _parse(["Api-Key: x", "X-Tenant: y"], reads_key=False)
    assert request.headers == (("Api-Key", "x"), ("X-Tenant", "y"))
    assert request.presented_key is None


@pytest.mark.parametrize("account", ["", "shop"])
def test_account_of_the_key_is_sent(account: str) -> None:
    """Guards against a worker that does not learn the account, or an empty."""
    request = upstream_dialect.UpstreamRequest(
        request_id="q",
        client_account=account,
        method="GET",
        path="/",
        headers=(),
        body=b"",
    )
    lines = headers.PlatformUpstreamDialect().request_lines(
        request=request,
        upstream=upstreams.Upstream(
            upstream_id="u",
            service="s",
            address="127.0.0.1",
            port=1,
            availability_zone="a",
            slots=1,
        ),
        attempt=1,
        remaining_ms=1,
    )
    sent = [line for line in lines if line.startswith("X-Tenant")]
    assert sent == ([f"X-Tenant: {account}"] if account else [])
