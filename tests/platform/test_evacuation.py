"""Rows that evacuate zones, and what workers state about cold periods."""

import json
import types

import multidict
import pytest

from tanagerspoke.platform import evacuation
from tanagerspoke.platform import headers
from tanagerspoke.platform import store
from tanagerspoke.platform import wire


def _row(key: str, value: bytes | None = b"{}") -> wire.Row:
    return wire.Row(key=key, ver=1, value=value, deleted=value is None)


@pytest.mark.parametrize("complete", [True, False])
def test_zones_take_effect_with_an_unreadable_manifest(complete: bool) -> None:
    """Guards against an evacuation that waits for a valid manifest.

    Also guards against one whose own value is malformed.
    """
    rows = (
        _row("config", b"not a manifest"),
        _row("evacuate/a", b"\xff["),
        _row("evacuate/b", None),
    )
    change = store._routing_change(
        wire.RowsReply(rows=rows, ver=7), complete=complete
    )
    assert change.problem is not None
    assert (change.zones.evacuated, change.zones.returned) == ({"a"}, {"b"})
    assert change.zones.complete == complete


def test_changes_of_other_rows_state_nothing_about_zones() -> None:
    """Guards against zones that return when the manifest changes."""
    assert evacuation.decode_zones([_row("config")], complete=False) is None
    zones = evacuation.decode_zones([_row("config")], complete=True)
    assert zones.complete
    assert zones.evacuated == frozenset()


def test_invalid_zone_names_are_reported() -> None:
    """Guards against a name that is not valid in a message or a log."""
    names = ["", "b c", "\n", "x" * 201, "ä"]
    rows = [_row(f"evacuate/{name}") for name in (*names, "a")]
    change = evacuation.decode_zones(rows, complete=False)
    assert change.evacuated == {"a"}
    assert len(change.problems) == len(names)
    assert max(len(problem.key) for problem in change.problems) <= 300
    removed = [_row(f"evacuate/{name}", None) for name in names]
    assert evacuation.decode_zones(removed, complete=False) is None
    many = [_row(f"evacuate/ {n}") for n in range(99)]
    change = evacuation.decode_zones(many, complete=False)
    assert len(change.problems) == 32


@pytest.mark.parametrize(
    "text",
    ["7.5", "0", "600", "600.1", "-1", "1e999", "null", '"7"', "true", "[[[["],
)
def test_cold_time_in_an_entry(text: str) -> None:
    """Guards against an invalid cold time that hides a worker."""
    fields = {
        "service": "shop",
        "address": "127.0.0.1:7000",
        "zone": "a",
        "slots": 1,
        "state": "ready",
        "seq_no": 1,
        "born": 1000,
    }
    value = json.dumps(fields)[:-1] + f', "cold_left_s": {text}}}'
    change = store._list_change(wire.Row(key="w0", value=value.encode()), None)
    if text == "[[[[":
        assert change.problem is not None
        return
    valid = {"7.5": 7.5, "600": 600.0}
    assert change.entry.remaining_cold_s == valid.get(text, 0.0)


@pytest.mark.parametrize(
    "text",
    [
        "2500",
        "600000",
        "600001",
        "99999999999999",
        "0",
        "-5",
        "2.5",
        "٣",
        "1,2",
    ],
)
def test_cold_time_in_a_health_response(text: str) -> None:
    """Guards against a faulty header, or one in a response to a call."""
    head = types.SimpleNamespace(
        code=200,
        headers=multidict.CIMultiDict(
            [("X-Cold-Ms", value) for value in text.split(",")]
        ),
    )
    dialect = headers.PlatformUpstreamDialect()
    probe = types.SimpleNamespace(probe=True)
    notice = dialect.notice(head=head, request=probe)
    valid = {"2500": 2.5, "600000": 600.0}
    assert (notice.cold_s if notice else None) == valid.get(text)
    call = types.SimpleNamespace(probe=False)
    assert dialect.notice(head=head, request=call) is None
