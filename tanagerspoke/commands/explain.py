"""The subcommand `explain` of `tanagerspokectl` and `tanagerspoke-report`."""

from collections.abc import Iterable, Iterator
import datetime
import json
import pathlib
import sys
from typing import Any

from tanagerspoke.commands import program
from tanagerspoke.commands import refusal_text
from tanagerspoke.transport.operations import call_log

# Events that the node logged at most this long before the end of a call may
# explain its result; upstreams leave, expire and return within this time.
_MAX_EVENT_AGE_S = 10.0
# What a missing line means if the logs are complete.
_NO_NOTES = (
    "it succeeded and was not sampled, or reached none of the nodes whose logs "
    "were given"
)
# Limits of log lines of calls.
_LIMITED_EVENTS = frozenset({"call", "rejected_call"})
_NODE_EVENTS = frozenset(
    {
        "config_proof_lost",
        "config_proof_regained",
        "config_in_force",
        "news_lost",
        "state_of_peer_taken",
        "stop_requested",
        "store_history_lost",
        "store_lost",
        "store_regained",
        "usage_owner_answers",
        "usage_owner_silent",
        "zone_evacuated",
        "zone_returned",
    }
)
_UPSTREAM_EVENTS = frozenset(
    {"crossed_reply", "late_reply", "lost_reply", "upstream_ejected"}
)


def explain(request_id: str, *logs: pathlib.Path) -> None:
    """Explains the result of a call from the logs of the edge nodes.

    Prints the call with its attempts; for a refused call the reason, the
    figures behind it and what an operator can do; then the events that the
    same node logged shortly before about the call's upstreams and the store.
    Exits with 1 if no log has a complete line for the call: it succeeded and
    was not sampled, the rate limit of the log dropped the line, or the log is
    truncated.

    Args:
        request_id: id that the caller sent.
        logs: one file of JSON lines for each node; text before the first
            brace of a line is ignored.
    """
    if not logs:
        print("specify at least one log file", file=sys.stderr)
        raise SystemExit(program.EXIT_INVALID)
    logged_id = request_id[: call_log.MAX_ID_CHARS]
    notes: list[str] = []
    call_found = False
    for path in logs:
        try:
            # A truncated log may end within a character.
            lines = path.read_text(errors="replace").splitlines()
        except OSError as exc:
            print(f"{path}: {exc}", file=sys.stderr)
            raise SystemExit(program.EXIT_INVALID) from exc
        events = list(_parse_events(lines))
        for call in _call_events(events, logged_id):
            call_found = True
            text = "\n".join(_describe(path.name, call, events))
            # An id may hold bytes that are not valid UTF-8.
            print(text.encode(errors="backslashreplace").decode())
        notes.extend(_notes(path.name, lines, events, logged_id))
    if not call_found:
        print(f"no line of request {request_id}", file=sys.stderr)
        for note in notes or [_NO_NOTES]:
            print(note, file=sys.stderr)
        raise SystemExit(program.EXIT_FAILED)


def _parse_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        event = _parse_event(line)
        if event is not None:
            yield event


def _parse_event(line: str) -> dict[str, Any] | None:
    """Returns the event of a line, None if it holds no complete one."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
    except (ValueError, RecursionError):
        # Output of the Python runtime, or a truncated line.
        return None
    if isinstance(event, dict) and isinstance(event.get("event"), str):
        return event
    return None


def _notes(
    log_name: str,
    lines: Iterable[str],
    events: Iterable[dict[str, Any]],
    request_id: str,
) -> Iterator[str]:
    """Yields why the line of a call may be missing in a log."""
    encoded_id = json.dumps(request_id)
    if any(encoded_id in line and _parse_event(line) is None for line in lines):
        yield f"{log_name}: a line of the request is truncated"
    left_out = [
        event["left_out"]
        for event in events
        if event["event"] == "log_lines_left_out"
        and event.get("limited_event") in _LIMITED_EVENTS
        and isinstance(event.get("left_out"), int)
    ]
    if left_out:
        yield (
            f"{log_name}: {sum(left_out)} lines of calls were left out by the "
            "rate limit of the log"
        )
    dropped = [
        event["dropped"]
        for event in events
        if event["event"] == "log_lines_dropped"
        and isinstance(event.get("dropped"), int)
    ]
    if dropped:
        yield (
            f"{log_name}: {sum(dropped)} lines were dropped because the log "
            "was read too slowly"
        )


def _call_events(
    events: list[dict[str, Any]], request_id: str
) -> Iterator[dict[str, Any]]:
    for event in events:
        if event["event"] == "call" and event.get("request_id") == request_id:
            yield event


def _describe(
    log_name: str, call: dict[str, Any], events: list[dict[str, Any]]
) -> Iterator[str]:
    yield (
        f"{log_name}: request {call['request_id']} on route "
        f"{call.get('route')!r} of {call.get('service')!r}: "
        f"{call.get('code')}, status {call.get('status')} after "
        f"{call.get('duration_ms')} ms"
    )
    trail = call.get("trail")
    if not isinstance(trail, list):
        trail = []
    trail = [entry for entry in trail if isinstance(entry, dict)]
    for entry in trail:
        yield "  " + _describe_trail_entry(entry)
    if not trail:
        yield "  no attempt: the call only waited on this node or was refused"
    yield from refusal_text.describe(call)
    upstreams = {
        str(entry["upstream"]) for entry in trail if "upstream" in entry
    }
    for event in events:
        if _may_have_affected(event, call, upstreams):
            details = {
                key: value
                for key, value in event.items()
                if key not in ("time", "level", "program", "logger", "event")
            }
            yield f"  {event['time']} {event['event']} {json.dumps(details)}"


def _describe_trail_entry(entry: dict[str, Any]) -> str:
    if "send" not in entry:
        return (
            f"attempt {entry.get('end')}: {entry.get('result')} after "
            f"{entry.get('took_ms')} ms"
        )
    kind = "hedge to" if entry.get("hedge") else "to"
    age = entry.get("report_age_ms")
    report = "no report" if age is None else f"a report {age} ms old"
    return (
        f"attempt {entry['send']} {kind} {entry.get('upstream')} at "
        f"{entry.get('at_ms')} ms: {entry.get('in_flight')} calls in flight by "
        f"{report}, slowness {entry.get('slowness')}, {entry.get('open')} "
        "eligible upstreams"
    )


def _may_have_affected(
    event: dict[str, Any], call: dict[str, Any], upstreams: set[str]
) -> bool:
    try:
        event_age_s = _unix_seconds(call) - _unix_seconds(event)
    except (KeyError, TypeError, ValueError):
        return False
    if not 0.0 <= event_age_s <= _MAX_EVENT_AGE_S:
        return False
    match event["event"]:
        case name if name in _NODE_EVENTS:
            return True
        case name if name in _UPSTREAM_EVENTS:
            return event.get("upstream") in upstreams
        case "account_over_limit":
            account = call.get("client_account")
            return account is not None and event["client_account"] == account
        case "upstreams_changed":
            return any(
                not upstreams.isdisjoint(event.get(name) or ())
                for name in ("added", "removed", "leaving")
            )
    return False


def _unix_seconds(event: dict[str, Any]) -> float:
    return datetime.datetime.fromisoformat(event["time"]).timestamp()
