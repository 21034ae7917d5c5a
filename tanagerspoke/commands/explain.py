"""The subcommand `tanagerspoke-report explain`."""

from collections.abc import Iterable, Iterator
import datetime
import json
import pathlib
import sys
from typing import Any

from tanagerspoke.commands import program

# What happened on the node up to this long before the call ended may have
# decided it; upstreams leave, lapse and return within this time.
_BEFORE_S = 10.0
_NODE_EVENTS = frozenset(
    {
        "config_in_force",
        "news_lost",
        "state_of_peer_taken",
        "stop_requested",
        "store_history_lost",
        "store_lost",
        "store_regained",
    }
)
_UPSTREAM_EVENTS = frozenset(
    {"crossed_reply", "late_reply", "lost_reply", "upstream_ejected"}
)


def explain(request_id: str, *logs: pathlib.Path) -> None:
    """Shows what decided a call, from the logs of the edges.

    Prints the call's line and its trail, then what the same node logged of
    its upstreams and of the store shortly before. Exits with 1 where no log
    has a line of the call: it went well and was not sampled, or the lines of
    its second were left out.

    Args:
        request_id: id that the caller sent.
        logs: one file for each node, with JSON lines; text before a line's
            first brace is left out.
    """
    if not logs:
        print("name at least one log file", file=sys.stderr)
        raise SystemExit(program.EXIT_INVALID)
    found = False
    for path in logs:
        try:
            events = list(_events(path.read_text().splitlines()))
        except (OSError, UnicodeDecodeError) as exc:
            print(f"{path}: {exc}", file=sys.stderr)
            raise SystemExit(program.EXIT_INVALID) from exc
        for call in _calls(events, request_id):
            found = True
            print("\n".join(_describe(path.name, call, events)))
    if not found:
        print(f"no line of request {request_id}", file=sys.stderr)
        raise SystemExit(program.EXIT_FAILED)


def _events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # Output of the runtime, or a line that was cut off.
            continue
        if isinstance(event, dict) and "event" in event:
            yield event


def _calls(
    events: list[dict[str, Any]], request_id: str
) -> Iterator[dict[str, Any]]:
    for event in events:
        if event["event"] == "call" and event.get("request_id") == request_id:
            yield event


def _describe(
    name: str, call: dict[str, Any], events: list[dict[str, Any]]
) -> Iterator[str]:
    yield (
        f"{name}: request {call['request_id']} on route {call['route']!r} of "
        f"{call['service']!r}: {call['code']}, status {call['status']} after "
        f"{call['duration_ms']} ms"
    )
    for step in call["trail"]:
        yield "  " + _describe_step(step)
    if not call["trail"]:
        yield "  no attempt: it waited on this node, or was refused at once"
    upstreams = {s["upstream"] for s in call["trail"] if "upstream" in s}
    for event in events:
        if _matters(event, call, upstreams):
            shown = {
                key: value
                for key, value in event.items()
                if key not in ("time", "level", "program", "logger", "event")
            }
            yield f"  {event['time']} {event['event']} {json.dumps(shown)}"


def _describe_step(step: dict[str, Any]) -> str:
    if "send" not in step:
        return (
            f"attempt {step['end']}: {step['result']} after "
            f"{step['took_ms']} ms"
        )
    kind = "hedge to" if step.get("hedge") else "to"
    age = step.get("report_age_ms")
    report = "no report" if age is None else f"a report {age} ms old"
    return (
        f"attempt {step['send']} {kind} {step['upstream']} at "
        f"{step['at_ms']} ms: {step['in_flight']} calls in flight by "
        f"{report}, slowness {step['slowness']}, {step['open']} upstreams open"
    )


def _matters(
    event: dict[str, Any], call: dict[str, Any], upstreams: set[str]
) -> bool:
    before_s = _seconds(call["time"]) - _seconds(event["time"])
    if not 0.0 <= before_s <= _BEFORE_S:
        return False
    match event["event"]:
        case name if name in _NODE_EVENTS:
            return True
        case name if name in _UPSTREAM_EVENTS:
            return event.get("upstream") in upstreams
        case "upstreams_changed":
            told = event["added"] + event["removed"] + event["leaving"]
            return not upstreams.isdisjoint(told)
    return False


def _seconds(time: str) -> float:
    return datetime.datetime.fromisoformat(time).timestamp()
