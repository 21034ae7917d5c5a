"""Header names, their limits and the codec of the load header."""

from collections.abc import Collection, Iterable

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
RETRY = "Tanagerspoke-Retry"
REPEAT = "Tanagerspoke-Repeat"
IDEMPOTENCY_KEY = "Idempotency-Key"

# Set by the system only; removed from the requests of callers.
RESERVED = (REQUEST_ID, ATTEMPT, LOAD, OUTCOME, RETRY)

# Headers of one connection, in lower case, which a proxy never passes on
# (RFC 9110, 7.6.1), and the length, which is written anew.
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
MAX_DEPTH = 15
MAX_KEY_CHARS = 128


def format_load(report: upstreams.LoadReport) -> str:
    """Returns the value of the load header."""
    return (
        f"in_flight={report.in_flight};slots={report.slots};"
        f"phase={report.phase.value}"
    )


def parse_load(value: str | None) -> upstreams.LoadReport | None:
    """Returns the report of a load header, or None where there is none.

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
        raise exceptions.ProtocolError(f"load header {value!r}") from exc
    if report.in_flight < 0 or report.slots < 1:
        raise exceptions.ProtocolError(f"load header {value!r}")
    return report


def end_to_end(
    received: Iterable[tuple[str, str]], *, dropped: Collection[str]
) -> Headers:
    """Returns the headers that a proxy passes on (RFC 9110, 7.6.1).

    Args:
        received: names and values as they came.
        dropped: names in lower case that are left out, besides those that
            the `Connection` header names.
    """
    kept = []
    named: set[str] = set()
    for name, value in received:
        lower = name.lower()
        if lower == "connection":
            named.update(part.strip().lower() for part in value.split(","))
        elif lower not in dropped:
            # The parser's names are a kind of str that codecs refuse.
            kept.append((str(name), value))
    if named:
        kept = [pair for pair in kept if pair[0].lower() not in named]
    return tuple(kept)
