"""Header names, limits of header values and the codec of the load header."""

from collections.abc import Collection, Iterable
import re

from tanagerspoke import exceptions
from tanagerspoke.protocol import upstreams

Headers = tuple[tuple[str, str], ...]

CLIENT_ACCOUNT = "Tanagerspoke-Client-Account"
DEADLINE_MS = "Tanagerspoke-Deadline-Ms"
DEPTH = "Tanagerspoke-Depth"
REQUEST_ID = "Tanagerspoke-Request-Id"
ATTEMPT = "Tanagerspoke-Attempt"
LOAD = "Tanagerspoke-Load"
OUTCOME = "Tanagerspoke-Outcome"
# `no` in a response if the call must not be retried.
RETRY = "Tanagerspoke-Retry"
# `yes` in a request if the caller sent its idempotency key before.
REPEAT = "Tanagerspoke-Repeat"
IDEMPOTENCY_KEY = "Idempotency-Key"

# Set by this system only; removed from callers' requests.
RESERVED = (REQUEST_ID, ATTEMPT, LOAD, OUTCOME, RETRY)

# Hop-by-hop headers in lower case, which a proxy must not forward (RFC 9110,
# section 7.6.1), and the length, which is set again for the forwarded message.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)

MAX_DEADLINE_MS = 600_000
# Longest pause that an upstream can ask for with one response. After it, a
# single call shows whether the upstream still wants to be left alone.
MAX_PAUSE_S = 300.0
MAX_DEPTH = 15
MAX_IDEMPOTENCY_KEY_CHARS = 128


_DECIMAL_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?")
# Largest number in a load report; more calls or slots are a faulty report.
_MAX_REPORTED = 1_000_000


def format_load(report: upstreams.LoadReport) -> str:
    """Returns the value of the load header."""
    return (
        f"in_flight={report.in_flight};slots={report.slots};"
        f"phase={report.phase.value}"
    )


def parse_load(value: str | None) -> upstreams.LoadReport | None:
    """Returns the report of a load header, or None if the header is absent.

    Raises:
        ProtocolError: the header is malformed.
    """
    if not value:
        return None
    try:
        fields = dict(part.split("=", 1) for part in value.split(";"))
        report = upstreams.LoadReport(
            in_flight=int(fields["in_flight"]),
            slots=int(fields["slots"]),
            phase=upstreams.UpstreamPhase(fields.get("phase", "ready")),
        )
    except (KeyError, ValueError) as exc:
        raise exceptions.ProtocolError(
            f"invalid load header {value!r}"
        ) from exc
    if not (
        0 <= report.in_flight <= _MAX_REPORTED
        and 1 <= report.slots <= _MAX_REPORTED
    ):
        raise exceptions.ProtocolError(f"invalid load header {value!r}")
    return report


def end_to_end_headers(
    received: Iterable[tuple[str, str]], *, dropped: Collection[str]
) -> Headers:
    """Returns the headers that a proxy forwards (RFC 9110, section 7.6.1).

    Args:
        received: names and values of the received headers.
        dropped: names in lower case of headers that are not forwarded, in
            addition to those that the `Connection` header lists.
    """
    forwarded = []
    connection_options: set[str] = set()
    for name, value in received:
        lower = name.lower()
        if lower == "connection":
            connection_options.update(
                part.strip().lower() for part in value.split(",")
            )
        elif lower not in dropped:
            # The parser returns a subclass of str, which the codec rejects.
            forwarded.append((str(name), value))
    if connection_options:
        forwarded = [
            pair
            for pair in forwarded
            if pair[0].lower() not in connection_options
        ]
    return tuple(forwarded)


def parse_retry_after(value: str | None) -> float | None:
    """Returns the pause in seconds that a `Retry-After` header asks for.

    Fractions are allowed. A longer pause than `MAX_PAUSE_S` counts as that
    long. Returns None for 0 and for everything that is no decimal number: a
    date (the clocks of two hosts may differ by more than the pause), a negative
    number or other text.
    """
    if value is None or not _DECIMAL_NUMBER.fullmatch(value):
        return None
    return min(MAX_PAUSE_S, float(value)) or None
