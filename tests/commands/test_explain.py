"""`tanagerspoke-report explain` on logs of the users' load test.

The logs are excerpts of hverasel-gw scale-1 and scale-2; the lines of other
calls are removed.
"""

import json
import pathlib

import pytest

from tanagerspoke.commands import explain
from tanagerspoke.commands import refusal_text
from tanagerspoke.commands import tanagerspokectl
from tanagerspoke.coordination.accounts import authentication
from tanagerspoke.protocol import key_digests

_LOGS = pathlib.Path(__file__).parent / "logs"


@pytest.mark.parametrize(
    ("log", "request_id", "causes"),
    [
        (
            "shed-in-a-burst.txt",
            "b7a1afb3a56d3468",
            (
                "upstream_shed, status 503",
                "3.0 calls in flight by a report 10 ms old",
                "attempt 1: Shed after 3.4 ms",
            ),
        ),
        (
            "silent-upstream.txt",
            "23d4cec6f8c53ce0",
            (
                "upstream_timeout, status 504",
                "attempt 1: TimedOut after 1099.5 ms",
                'lost_reply {"client_account": "", "service": "puka72a", '
                '"upstream": "i-f53ffc361a"',
            ),
        ),
        (
            "outcome-unknown.txt",
            "f4e79efa14e43626",
            (
                "upstream_broken, status 502",
                "attempt 1: Broken after 3.8 ms",
                '"upstream": "i-3bf97d6ef6", "reason": "broken"',
            ),
        ),
    ],
)
def test_cause_is_shown(
    log: str,
    request_id: str,
    causes: tuple[str, ...],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against output that omits the cause of a failed request."""
    explain.explain(request_id, _LOGS / log)
    out = capsys.readouterr().out
    for cause in causes:
        assert cause in out


def test_unrelated_events_are_left_out(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against showing events that cannot be the cause.

    These are events of other upstreams, events more than 10 s before the end
    of the call, and events after it.
    """
    event_line = (
        '{"time": "2026-03-18T20:%s+00:00", "event": "%s", "upstream": "%s"}'
    )
    log_text = (_LOGS / "silent-upstream.txt").read_text()
    path = tmp_path / "node.log"
    path.write_text(
        "\n".join(
            (
                event_line % ("17:51.000", "store_lost", ""),
                event_line % ("18:01.000", "store_regained", ""),
                event_line % ("18:02.000", "upstream_ejected", "i-other"),
                event_line % ("18:03.000", "upstream_ejected", "i-f53ffc361a"),
                event_line % ("18:04.000", "news_lost", ""),
                log_text,
            )
        )
    )
    explain.explain("23d4cec6f8c53ce0", path)
    out = capsys.readouterr().out
    assert "store_regained" in out
    assert out.count("upstream_ejected") == 1
    assert "store_lost" not in out
    assert "news_lost" not in out


def test_unknown_request_exits_with_1(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against success with empty output for an unknown request."""
    with pytest.raises(SystemExit) as exc_info:
        explain.explain("unknown", _LOGS / "silent-upstream.txt")
    assert exc_info.value.code == 1
    assert "no line of request unknown" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ((), "no line of request q1"),
        (
            ('{"event": "call", "request_id": "q1", "code": "queue_ti',),
            "a line of the request is truncated",
        ),
        (
            (
                '_id": "q1", "code": "ok", "trail": []}',
                '{"event": "log_lines_left_out", "limited_event": "call", '
                '"left_out": 7}',
                '{"event": "log_lines_dropped", "dropped": 3}',
            ),
            "7 lines of calls were left out by the rate limit",
        ),
    ],
)
def test_missing_line_is_explained(
    lines: tuple[str, ...],
    message: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against tracebacks and silence on truncated logs."""
    path = tmp_path / "node.log"
    # The last byte begins a character that the log does not complete.
    path.write_bytes("\n".join(lines).encode() + b"\xe2")
    with pytest.raises(SystemExit) as exc_info:
        explain.explain("q1", path)
    assert exc_info.value.code == 1
    captured = capsys.readouterr()
    assert message in captured.err
    assert not captured.out


@pytest.mark.parametrize(
    ("refusal", "expected"),
    [
        (None, "reason: no node that grants the account's tokens answered"),
        ("nonsense", "what to do: check the nodes under `owners`"),
        (
            {
                "owners": [
                    {"node": "n1", "responds": False},
                    {"node": "n2", "responds": None},
                    "n3",
                ],
                "retry_after_s": None,
            },
            "owners n1 (does not respond), n2 (not asked), n3; "
            "retry_after_s none",
        ),
    ],
)
def test_line_of_another_version(
    refusal: object,
    expected: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against tracebacks on lines without the expected fields."""
    path = tmp_path / "node.log"
    line = {
        "event": "call",
        "request_id": "\udce2",
        "code": "usage_unconfirmed",
        "refusal": refusal,
        "trail": [{"end": 1}, "nonsense"],
    }
    path.write_text(json.dumps(line))
    with pytest.raises(SystemExit) as exc_info:
        tanagerspokectl.app(["explain", "\udce2", str(path)])
    assert not exc_info.value.code
    assert expected in capsys.readouterr().out


def test_each_rejection_has_a_reason_and_advice() -> None:
    """Guards against a new reason that is not explained to operators."""
    for reason in (
        *authentication.RejectionReason,
        *key_digests.KeyDefect,
    ):
        call = {"refusal": {"reason": str(reason), "config_version": 7}}
        lines = list(refusal_text.describe(call))
        assert [line.split(":")[0].strip() for line in lines] == [
            "reason",
            "figures",
            "what to do",
        ]
