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
    ("text", "cold_s"),
    [
        ("7.5", 7.5),
        ("0", 0.0),
        ("600", 600.0),
        ("600.1", 0.0),
        ("-1", 0.0),
        ("1e999", 0.0),
        ("null", 0.0),
        ('"7"', 0.0),
        ("true", 0.0),
        ("[[[[", None),
        (None, 0.0),
    ],
)
def test_cold_time_in_an_entry(text: str | None, cold_s: float | None) -> None:
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
    value = json.dumps(fields)[:-1]
    value += "}" if text is None else f', "cold_left_s": {text}}}'
    change = store._list_change(wire.Row(key="w0", value=value.encode()), None)
    if cold_s is None:
        assert change.problem is not None
    else:
        assert change.entry.remaining_cold_s == cold_s


@pytest.mark.parametrize(
    ("values", "cold_s"),
    [
        (["2500"], 2.5),
        (["600000"], 600.0),
        (["600001"], None),
        (["9" * 5000], None),
        (["0"], None),
        (["-5"], None),
        (["2.5"], None),
        (["٣"], None),
        ([""], None),
        (["1", "2"], None),
        ([], None),
    ],
)
def test_cold_time_in_a_health_response(
    values: list[str], cold_s: float | None
) -> None:
    """Guards against a faulty header, or one in a response to a call."""
    head = types.SimpleNamespace(
        code=200,
        headers=multidict.CIMultiDict([("X-Cold-Ms", v) for v in values]),
    )
    dialect = headers.PlatformUpstreamDialect()
    probe = types.SimpleNamespace(probe=True)
    notice = dialect.notice(head=head, request=probe)
    assert (notice.cold_s if notice else None) == cold_s
    call = types.SimpleNamespace(probe=False)
    assert dialect.notice(head=head, request=call) is None
