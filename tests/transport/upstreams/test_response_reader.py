"""Tests of the response reader with responses split across reads."""

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke import exceptions
from tanagerspoke.transport.upstreams import response_reader

# (method, response, body) of complete responses.
WHOLE_RESPONSES = (
    ("GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
    ("GET", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""),
    (
        "GET",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-T: 1\r\n\r\n",
        b"abcde",
    ),
    ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n", b""),
    ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", b""),
    (
        "POST",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
        b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok",
        b"ok",
    ),
)


def _feed(reader: response_reader.ResponseReader, parts: list[bytes]) -> bytes:
    return b"".join(reader.feed(part) for part in parts)


@pytest.mark.parametrize(("method", "response", "body"), WHOLE_RESPONSES)
def test_response_split_at_every_offset(
    method: str, response: bytes, body: bytes
) -> None:
    """Guards against a response that ends too early, too late or never."""
    reader = response_reader.ResponseReader(loop=object())
    for cut in range(1, len(response)):
        reader.begin(method=method)
        body_read = _feed(reader, [response[:cut]])
        assert not reader.done
        body_read += _feed(reader, [response[cut:]])
        assert reader.done
        assert body_read == body
        assert not reader.has_surplus


def test_body_without_length_is_never_complete() -> None:
    """Guards against a truncated response that counts as complete.

    Without a length, a connection failure looks like the end of the body.
    """
    reader = response_reader.ResponseReader(loop=object())
    reader.begin(method="GET")
    reader.feed(b"HTTP/1.1 200 OK\r\n\r\nhello")
    assert not reader.done


@hypothesis.given(
    cases=st.lists(st.sampled_from(WHOLE_RESPONSES), min_size=1, max_size=4),
    surplus=st.one_of(
        st.sampled_from([case[1] for case in WHOLE_RESPONSES]),
        st.binary(min_size=1),
    ),
    data=st.data(),
)
def test_random_splits_and_surplus_bytes(
    cases: list[tuple[str, bytes, bytes]], surplus: bytes, data: st.DataObject
) -> None:
    """Guards against bytes of one response that become part of the next."""
    reader = response_reader.ResponseReader(loop=object())
    for method, response, body in cases:
        cuts = sorted(
            data.draw(st.lists(st.integers(0, len(response)), max_size=5))
        )
        offsets = [0, *cuts, len(response)]
        parts = [
            response[a:b] for a, b in zip(offsets, offsets[1:], strict=False)
        ]
        reader.begin(method=method)
        assert _feed(reader, [part for part in parts if part]) == body
        assert reader.done
        assert not reader.has_surplus
    assert reader.feed(surplus) == b""
    assert reader.has_surplus


@hypothesis.given(
    case=st.sampled_from(WHOLE_RESPONSES), surplus=st.binary(min_size=1)
)
def test_surplus_bytes_in_same_read(
    case: tuple[str, bytes, bytes], surplus: bytes
) -> None:
    """Guards against reuse of a connection with surplus bytes.

    The surplus bytes arrive in the same read as the end of the response.
    """
    method, response, body = case
    reader = response_reader.ResponseReader(loop=object())
    reader.begin(method=method)
    try:
        body_read = reader.feed(response + surplus)
    except exceptions.UpstreamError:
        return
    assert body_read == body
    assert reader.done
    assert reader.has_surplus


@hypothesis.given(data=st.binary(min_size=1, max_size=200))
def test_invalid_bytes_are_an_error_or_incomplete(data: bytes) -> None:
    """Guards against parser exceptions other than `UpstreamError`."""
    reader = response_reader.ResponseReader(loop=object())
    reader.begin(method="GET")
    try:
        reader.feed(data)
    except exceptions.UpstreamError:
        return
    assert not reader.done


# (name, start of a response, bytes that follow without end)
ENDLESS_RESPONSES = (
    ("status line", b"", b"x"),
    ("status code", b"HTTP/1.1 ", b"2"),
    ("reason", b"HTTP/1.1 200 ", b"O"),
    ("header name", b"HTTP/1.1 200 OK\r\n", b"x"),
    ("header value", b"HTTP/1.1 200 OK\r\nA: ", b"x"),
    ("headers", b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    ("interim responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ("line ends", b"", b"\r\n"),
    (
        "chunk size",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"0",
    ),
    (
        "chunk extension",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
        b"x",
    ),
    (
        "trailers",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n",
    ),
    (
        "trailer value",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
        b"x",
    ),
    ("zeros", b"", b"\0"),
)
# Reading stops before this many bytes: the limits on heads and chunk overhead,
# and one read that exceeds them.
_MAX_READ_BYTES = 400_000


@pytest.mark.parametrize("step_bytes", [1, 997, 65_536])
@pytest.mark.parametrize(
    ("name", "start", "unit"),
    ENDLESS_RESPONSES,
    ids=[case[0] for case in ENDLESS_RESPONSES],
)
def test_endless_bytes_are_an_error(
    name: str, start: bytes, unit: bytes, step_bytes: int
) -> None:
    """Guards against an upstream that sends bytes until memory is full."""
    reader = response_reader.ResponseReader(loop=object())
    reader.begin(method="GET", accepts=lambda head: True)
    count = max(1, step_bytes // len(unit))
    received = 0

    def feed_until_error() -> None:
        nonlocal received
        reader.feed(start) if start else None
        while not reader.done and received < _MAX_READ_BYTES:
            reader.feed(unit * count)
            received += len(unit) * count

    with pytest.raises(exceptions.UpstreamError):
        feed_until_error()


def test_endless_late_responses_are_an_error() -> None:
    """Guards against an upstream that only sends responses to other calls."""
    reader = response_reader.ResponseReader(loop=object())
    reader.begin(method="GET", accepts=lambda head: False)
    late = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"

    def feed_all() -> None:
        for _ in range(100):
            reader.feed(late)

    with pytest.raises(exceptions.UpstreamError):
        feed_all()


def test_time_for_endless_bytes_grows_linearly() -> None:
    """Guards against a reader that searches all received bytes at each read.

    Compares the number of bytes that are held, not the time.
    """
    reader = response_reader.ResponseReader(loop=object())
    reader.begin(method="GET")
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(1000):
        reader.feed(b"1\r\nx\r\n")
        assert len(reader._received) <= 4


def test_chunks_of_one_byte_are_accepted() -> None:
    """Guards against a limit that rejects valid responses."""
    reader = response_reader.ResponseReader(loop=object())
    reader.begin(method="GET")
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    body = b"".join(reader.feed(b"1\r\nx\r\n") for _ in range(100_000))
    reader.feed(b"0\r\n\r\n")
    assert reader.done
    assert len(body) == 100_000
    assert not reader.has_surplus
