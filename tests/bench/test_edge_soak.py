"""The edge's soak test: its plan, its checks and a short run."""

import asyncio
import pathlib

import pytest

from bench import edge_soak
from bench import edge_soak_checks
from bench import edge_soak_faults
from tanagerspoke.platform import headers
from tanagerspoke.standins import routed_worker

_TARGETS = edge_soak_faults.Targets(
    edges=("edge-1",), workers=("worker-1",), links=("link",)
)


def _plan(seed: int, *, planned_only: bool = False):
    return edge_soak_faults.plan(
        seed=seed, seconds=300.0, targets=_TARGETS, planned_only=planned_only
    )


def test_plan_is_fixed_by_its_seed() -> None:
    """Guards against a seed that cannot be run again."""
    assert _plan(1) == _plan(1) != _plan(2)


def test_plan_draws_every_kind() -> None:
    """Guards against faults that are never set, or not planned work."""
    kinds = {type(p.fault) for lane in _plan(1) for p in lane}
    assert len(kinds) == 7
    planned = _plan(1, planned_only=True)
    assert {type(p.fault) for lane in planned for p in lane} == {
        edge_soak_faults.Restart,
        edge_soak_faults.Reload,
    }


def _checks(*, planned_only: bool = True) -> edge_soak_checks.Checks:
    return edge_soak_checks.Checks(
        planned_only=planned_only, changed_at={"edge-1": 0.0}
    )


def _sent(
    checks: edge_soak_checks.Checks, **fields: object
) -> edge_soak_checks.Sent:
    found = edge_soak_checks.Sent(
        **{
            "request_id": "q1",
            "node": "edge-1",
            "method": "POST",
            "path": "/write/1",
            "body": b"b",
            "deadline_ms": 1000,
            "sent_at": 10.0,
            "ended_at": 10.1,
        }
        | fields
    )
    checks.sent(found)
    return found


def _run(**fields: object) -> dict[str, object]:
    return {
        "event": "run",
        "id": "q1",
        "method": "POST",
        "path": "/write/1",
        "body": routed_worker.digest(b"b"),
        "worker": "worker-1",
        "born_ms": 1,
        "at": 10.0,
        "arrived_at": 10.0,
    } | fields


_LEAVING = {"event": "leaving", "worker": "worker-1", "born_ms": 1, "at": 7.0}


@pytest.mark.parametrize(
    ("rule", "sent", "notes"),
    [
        ("TWICE", {"status": 200}, [_run(), _run()]),
        ("REFUSED", {"status": 503}, [_run()]),
        ("UNASKED", {"status": 200}, [_run(path="/write/2")]),
        ("UNASKED", {"status": 200}, [_run(id="q2")]),
        ("LOST", {}, [_run()]),
        ("DRAIN", {"status": 200}, [_run(), _LEAVING]),
    ],
)
def test_runs_that_break_a_promise(
    rule: str, sent: dict[str, object], notes: list[dict[str, object]]
) -> None:
    """Guards against a check that finds nothing."""
    checks = _checks()
    _sent(checks, **sent)
    checks.judge_runs(notes)
    assert [line.split(":")[0] for line in checks.violations] == [rule]


def test_runs_that_keep_the_promises() -> None:
    """Guards against a check that finds what is allowed."""
    checks = _checks()
    _sent(checks, status=200)
    checks.judge_runs([_run()])
    assert checks.violations == []


def test_foreign_and_cut_answers_are_found() -> None:
    """Guards against answers that are taken without a look."""
    checks = _checks()
    sent = _sent(checks, status=200)
    whole = {
        headers.REQUEST_ID: "q1",
        headers.SIGNATURE: routed_worker.signature(
            request_id="q1", body=b"answer"
        ),
    }
    checks.answered(sent, whole, b"answer")
    assert checks.violations == []
    checks.answered(sent, whole, b"answ")
    checks.answered(sent, whole | {headers.REQUEST_ID: "q2"}, b"answer")
    assert len(checks.violations) == 2


def test_versions_that_go_back_or_lag_are_found() -> None:
    """Guards against an older manifest that nobody notices."""
    checks = _checks()
    for version in (1, 2, 3):
        checks.confirmed(version, 10.0 + version)
    checks.saw_version(_sent(checks, status=200, sent_at=13.0), 3)
    assert checks.violations == []
    checks.saw_version(_sent(checks, status=200, sent_at=13.1), 2)
    checks.saw_version(_sent(checks, status=404, sent_at=16.0), 3)
    assert [line.split(":")[0] for line in checks.violations] == [
        "CONFIG",
        "CONFIG",
    ]


@pytest.mark.parametrize("planned_only", [True, False])
def test_short_run_keeps_the_promises(
    tmp_path: pathlib.Path, planned_only: bool
) -> None:
    """Guards against broken promises under a few seconds of faults.

    Seed 1 with planned work once broke RECOVER: a SIGHUP ended an edge that
    was still importing.
    """

    async def run() -> edge_soak.EdgeSoak:
        found = edge_soak.EdgeSoak(
            directory=tmp_path,
            seed=1,
            nodes=3,
            workers=6,
            planned_only=planned_only,
        )
        try:
            await found.start()
            await found.run(seconds=4.0)
        finally:
            await found.close()
        return found

    found = asyncio.run(run())
    assert found.violations == []
    assert found.counts["200"] > 0
