"""Generates the bytes of callers, valid and not, for `bench.caller_bytes`."""

import dataclasses
import enum
import random

from tanagerspoke.platform import headers

MAX_HEADER_BYTES = 2000
MAX_BODY_BYTES = 40_000
# More than the requests that may wait behind a running one, twice.
_MAX_REQUESTS = 40
_MAX_PARTS = 400
_HEAD = f"Host: a.example\r\n{headers.REQUEST_ID}: {{name}}\r\n"


class Expected(enum.Enum):
    """What must happen to a request if the ones before it were answered.

    SERVED: it is dispatched and gets the response to it. LAST: the same, and
    the connection then closes. REFUSED: it is not dispatched and gets an error,
    or the connection closes. BROKEN: the same, and nothing behind it is
    dispatched. INCOMPLETE: it is not dispatched.
    """

    SERVED = enum.auto()
    LAST = enum.auto()
    REFUSED = enum.auto()
    BROKEN = enum.auto()
    INCOMPLETE = enum.auto()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """Bytes of a request and what they mean.

    Attributes:
        body: body to be dispatched.
    """

    data: bytes
    name: str
    method: str
    expected: Expected
    body: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stream:
    """Bytes of one connection.

    Attributes:
        parts: the bytes, as they arrive.
        requests: what the stream begins with; what follows may be anything.
        is_intact: whether nothing follows these requests.
    """

    parts: tuple[bytes, ...]
    requests: tuple[Request, ...]
    is_intact: bool


# Framing that other programs may understand differently: a request behind it
# could be smuggled past one of them (RFC 9112, 6 and 11.2).
_AMBIGUOUS_HEADS = (
    "Content-Length: 3\r\nContent-Length: 4\r\n",
    "Content-Length: 3\r\nContent-Length: 3\r\n",
    "Content-Length: 3, 3\r\n",
    "Content-Length: +3\r\n",
    "Content-Length: -3\r\n",
    "Content-Length: 0x3\r\n",
    "Content-Length: 1_0\r\n",
    "Content-Length: \u0663\r\n",
    "Content-Length: 3 3\r\n",
    "Content-Length:\r\n",
    "Content-Length: 99999999999999999999999\r\n",
    "Content-Length : 3\r\n",
    " Content-Length: 3\r\n",
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: identity, chunked, gzip\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Transfer-Encoding: \x0bchunked\r\n",
    "X-Odd: a\x00b\r\n",
    "X-Odd: a\rb\r\n",
    "X-Odd\r\n",
    ": a\r\n",
    "X Odd: a\r\n",
    "X-Odd(): a\r\n",
)
_MALFORMED_CHUNKS = (
    b"-3\r\nabc\r\n0\r\n\r\n",
    b"+3\r\nabc\r\n0\r\n\r\n",
    b"0x3\r\nabc\r\n0\r\n\r\n",
    b"3_0\r\nabc\r\n0\r\n\r\n",
    b"\r\nabc\r\n0\r\n\r\n",
    b"3\r\nabcd\r\n0\r\n\r\n",
    b"3\r\nabcXY0\r\n\r\n",
    b"g\r\nabc\r\n0\r\n\r\n",
    b"fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
    b" 3\r\nabc\r\n0\r\n\r\n",
    b"3;a=\x00\r\nabc\r\n0\r\n\r\n",
)
_BAD_LINES = (
    "GET /{name}\r\n",
    "GET /{name} HTTP/1.1 x\r\n",
    "GET /{name} HTTP/9.9\r\n",
    "GET /{name} HTTP/2.0\r\n",
    "GET /{name} HTTP/0.9\r\n",
    "GET /{name} http/1.1\r\n",
    "G\x00T /{name} HTTP/1.1\r\n",
    "GET /{name}\x01 HTTP/1.1\r\n",
    " GET /{name} HTTP/1.1\r\n",
    "\x16\x03\x01\x02 /{name} HTTP/1.1\r\n",
)
_REFUSED_HEADS = (
    f"{headers.DEADLINE_MS}: x\r\n",
    f"{headers.DEADLINE_MS}: \u0663\r\n",
    "Expect: nothing\r\n",
    f"X-Long: {'x' * MAX_HEADER_BYTES}\r\n",
    "X-Many: x\r\n" * 200,
    f"Content-Length: {MAX_BODY_BYTES + 1}\r\n",
)


class Generator:
    """Draws streams; the same random numbers give the same ones."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._names = 0
        self._body_share = 0.0

    def stream(self) -> Stream:
        """Returns the bytes of a connection."""
        rng = self._rng
        self._body_share = rng.choice((0.0, 0.6, 0.6))
        requests = [
            self._valid() for _ in range(int(_MAX_REQUESTS ** rng.random()))
        ]
        kind = rng.choice(("valid", "refused", "cut", "changed", "noise"))
        last = next(
            (
                index
                for index, request in enumerate(requests)
                if request.expected is Expected.LAST
            ),
            len(requests),
        )
        requests = requests[: last + 1]
        tail = b""
        if kind == "refused":
            requests = requests[:last]
            requests.append(self._refused())
            tail = b"".join(self._valid(head=False).data for _ in range(2))
        elif kind == "noise":
            tail = rng.randbytes(rng.randint(1, 200))
        elif kind in ("cut", "changed"):
            whole = self._valid(head=False)
            data = whole.data
            at = rng.randrange(len(data))
            if kind == "cut":
                requests.append(
                    dataclasses.replace(
                        whole, data=data[:at], expected=Expected.INCOMPLETE
                    )
                )
            else:
                tail = data[:at] + self._changed(data[at:])
                tail += self._valid(head=False).data
        data = b"".join(request.data for request in requests) + tail
        return Stream(
            parts=tuple(self._split(data)),
            requests=tuple(requests),
            is_intact=not tail,
        )

    def _valid(self, *, head: bool = True) -> Request:
        rng = self._rng
        name = self._new_name()
        method = rng.choice(("GET", "POST", "PUT", "DELETE", "PATCH"))
        if head and rng.random() < 0.1:
            method = "HEAD"
        body = b""
        lines = ""
        encoded = b""
        if method != "HEAD" and rng.random() < self._body_share:
            size = rng.choice((0, 1, 7, 300, 5000, MAX_BODY_BYTES))
            body = rng.randbytes(rng.randint(0, size))
            if rng.random() < 0.5:
                lines = f"Content-Length: {len(body)}\r\n"
                encoded = body
            else:
                lines = "Transfer-Encoding: chunked\r\n"
                encoded = self._chunked(body)
            if rng.random() < 0.1:
                lines += "Expect: 100-continue\r\n"
        for _ in range(rng.randint(0, 3)):
            value = "".join(
                rng.choices("abc,;=\"' \t\xe9", k=rng.randint(0, 9))
            )
            lines += f"X-{rng.randint(0, 9)}:{value}\r\n"
        expected = Expected.SERVED
        version = "1.1"
        if rng.random() < 0.02:
            expected = Expected.LAST
            if encoded or rng.random() < 0.5:
                lines += "Connection: close\r\n"
            else:
                version = "1.0"
        text = f"{method} /{name} HTTP/{version}\r\n"
        text += _HEAD.format(name=name) + lines + "\r\n"
        data = text.encode("latin-1") + encoded
        if rng.random() < 0.05:
            # Empty lines before a request are ignored (RFC 9112, 2.2).
            data = b"\r\n" * rng.randint(1, 3) + data
        return Request(
            data=data, name=name, method=method, expected=expected, body=body
        )

    def _chunked(self, body: bytes) -> bytes:
        rng = self._rng
        encoded = bytearray()
        at = 0
        while at < len(body):
            size = rng.randint(1, max(1, len(body) // rng.randint(1, 6)))
            chunk = body[at : at + size]
            extension = rng.choice((b"", b"", b";a=b", b';a="b"'))
            digits = b"%X" if rng.random() < 0.5 else b"%x"
            encoded += digits % len(chunk) + extension + b"\r\n"
            encoded += chunk + b"\r\n"
            at += size
        trailer = b"X-Trailer: a\r\n" if rng.random() < 0.2 else b""
        return bytes(encoded + b"0\r\n" + trailer + b"\r\n")

    def _refused(self) -> Request:
        """Returns a request that must not be dispatched."""
        rng = self._rng
        name = self._new_name()
        line = f"POST /{name} HTTP/1.1\r\n"
        head = _HEAD.format(name=name)
        tail = b"\r\n"
        kind = rng.randrange(5)
        expected = Expected.BROKEN if kind < 3 else Expected.REFUSED
        if kind == 0:
            head += rng.choice(_AMBIGUOUS_HEADS)
            tail += b"abc"
        elif kind == 1:
            head += "Transfer-Encoding: chunked\r\n"
            tail += rng.choice(_MALFORMED_CHUNKS)
        elif kind == 2:
            line = rng.choice(_BAD_LINES).format(name=name)
        elif kind == 3:
            head += rng.choice(_REFUSED_HEADS)
        else:
            head += "Transfer-Encoding: chunked\r\n"
            tail += self._chunked(rng.randbytes(MAX_BODY_BYTES + 1))
        data = (line + head).encode("utf-8") + tail
        return Request(data=data, name=name, method="POST", expected=expected)

    def _changed(self, data: bytes) -> bytes:
        """Returns the bytes with one change near their start."""
        rng = self._rng
        odd = rng.choice(
            (b"\r", b"\n", b"\r\n", b"\x00", b" ", b":", b"0", b"\xff", b"")
        )
        match rng.randrange(3):
            case 0:
                return odd + data
            case 1:
                return odd + data[rng.randint(1, 3) :]
            case _:
                size = rng.randint(1, 40)
                return data[:size] + odd + data[:size] + data[size:]

    def _split(self, data: bytes) -> list[bytes]:
        rng = self._rng
        # More parts would take most of the time of a run.
        longest = max(
            rng.choice((1, 3, 40, 1000, 70_000)), len(data) // _MAX_PARTS
        )
        parts = []
        while data:
            size = rng.randint(1, longest)
            parts.append(data[:size])
            data = data[size:]
        return parts

    def _new_name(self) -> str:
        self._names += 1
        return f"r{self._names}"
