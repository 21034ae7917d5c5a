"""Fault schedules and checks of the edge soak test, and a short run of it."""

import asyncio
import pathlib
import time

import pytest

from bench import edge_soak
from bench import edge_soak_checks
from bench import edge_soak_faults
from bench import soak_faults
from tanagerspoke.platform import headers
from tanagerspoke.standins import routed_worker

_TARGETS = edge_soak_faults.Targets(
    edges=("edge-1",), workers=("worker-1",), links=("link",)
)


def _draw_schedules(seed: int, *, planned_only: bool = False):
    return edge_soak_faults.draw_schedules(
        seed=seed, seconds=300.0, targets=_TARGETS, planned_only=planned_only
    )


def test_same_seed_draws_the_same_schedules() -> None:
    """Guards against a seed whose faults cannot be repeated in another run."""
    assert _draw_schedules(1) == _draw_schedules(1) != _draw_schedules(2)


def test_schedules_contain_every_fault() -> None:
    """Guards against faults that are never drawn.

    Also guards against unplanned faults in a run with planned operations only.
    """
    kinds = {
        type(scheduled.fault)
        for schedule in _draw_schedules(1)
        for scheduled in schedule
    }
    assert len(kinds) == 7
    schedules = _draw_schedules(1, planned_only=True)
    assert {
        type(scheduled.fault)
        for schedule in schedules
        for scheduled in schedule
    } == {
        edge_soak_faults.Restart,
        edge_soak_faults.Reload,
    }


def test_operations_contain_every_kind() -> None:
    """Guards against operations that are never drawn, or not planned ones."""
    kinds = {}
    for planned_only in (False, True):
        schedules = edge_soak_faults.draw_operations(
            seed=1, seconds=300.0, targets=_TARGETS, planned_only=planned_only
        )
        kinds[planned_only] = {
            type(scheduled.fault)
            for schedule in schedules
            for scheduled in schedule
        }
    assert kinds[False] == {
        edge_soak_faults.Evacuation,
        edge_soak_faults.Restart,
        edge_soak_faults.Revocation,
        soak_faults.Kill,
        soak_faults.StandinFault,
    }
    assert kinds[True] == {
        edge_soak_faults.Evacuation,
        edge_soak_faults.Restart,
    }


def _checks(*, planned_only: bool = True) -> edge_soak_checks.Checks:
    return edge_soak_checks.Checks(
        planned_only=planned_only, process_changed_at={"edge-1": 0.0}
    )


def _add_call(
    checks: edge_soak_checks.Checks, **fields: object
) -> edge_soak_checks.CallRecord:
    call = edge_soak_checks.CallRecord(
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
    checks.add_call(call)
    return call


def _run_entry(**fields: object) -> dict[str, object]:
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


_DRAIN_ENTRY = {
    "event": "leaving",
    "worker": "worker-1",
    "born_ms": 1,
    "at": 7.0,
}


@pytest.mark.parametrize(
    ("violation_code", "fields", "log_entries"),
    [
        ("TWICE", {"status": 200}, [_run_entry(), _run_entry()]),
        ("REFUSED", {"status": 503}, [_run_entry()]),
        ("UNASKED", {"status": 200}, [_run_entry(path="/write/2")]),
        ("UNASKED", {"status": 200}, [_run_entry(id="q2")]),
        ("LOST", {}, [_run_entry()]),
        ("DRAIN", {"status": 200}, [_run_entry(), _DRAIN_ENTRY]),
    ],
)
def test_run_logs_that_break_a_guarantee_are_reported(
    violation_code: str,
    fields: dict[str, object],
    log_entries: list[dict[str, object]],
) -> None:
    """Guards against a check that misses a violation in the run logs."""
    checks = _checks()
    _add_call(checks, **fields)
    checks.check_runs(log_entries)
    assert [line.split(":")[0] for line in checks.violations] == [
        violation_code
    ]


def test_call_after_a_notice_that_was_passed_on_is_reported() -> None:
    """Guards against a check that misses calls to a worker that leaves."""
    checks = _checks(planned_only=False)
    call = _add_call(checks, status=503)
    notice = {
        headers.REQUEST_ID: "q1",
        headers.LEAVING: "1",
        routed_worker.PROCESS_HEADER: "worker-1/1",
    }
    checks.check_response(call, notice, b"")
    _add_call(checks, request_id="q2", sent_at=time.monotonic() + 60.0)
    checks.check_runs([_run_entry(id="q2")])
    assert [line.split(":")[0] for line in checks.violations] == ["DRAIN"]


def test_run_log_that_keeps_the_guarantees_is_accepted() -> None:
    """Guards against a check that reports a correct run as a violation."""
    checks = _checks()
    _add_call(checks, status=200)
    checks.check_runs([_run_entry()])
    assert checks.violations == []


def test_crossed_and_truncated_responses_are_reported() -> None:
    """Guards against wrong responses that the check does not report.

    One lacks the end of its body, the other has another request's id.
    """
    checks = _checks()
    call = _add_call(checks, status=200)
    response_headers = {
        headers.REQUEST_ID: "q1",
        headers.SIGNATURE: routed_worker.signature(
            request_id="q1", body=b"answer"
        ),
    }
    checks.check_response(call, response_headers, b"answer")
    assert checks.violations == []
    checks.check_response(call, response_headers, b"answ")
    checks.check_response(
        call, response_headers | {headers.REQUEST_ID: "q2"}, b"answer"
    )
    assert len(checks.violations) == 2


def test_versions_that_go_back_or_lag_are_reported() -> None:
    """Guards against outdated manifests that the check does not report.

    A node serves an older version after a newer one, or does not serve the
    newest version in time.
    """
    checks = _checks()
    for version in (1, 2, 3):
        checks.add_confirmed_version(version, 10.0 + version)
    checks.check_version(_add_call(checks, status=200, sent_at=13.0), 3)
    assert checks.violations == []
    checks.check_version(_add_call(checks, status=200, sent_at=13.1), 2)
    checks.check_version(_add_call(checks, status=404, sent_at=16.0), 3)
    assert [line.split(":")[0] for line in checks.violations] == [
        "CONFIG",
        "CONFIG",
    ]


@pytest.mark.parametrize("accounts", [False, True])
@pytest.mark.parametrize("planned_only", [True, False])
def test_short_run_has_no_violation(
    tmp_path: pathlib.Path, planned_only: bool, accounts: bool
) -> None:
    """Guards against broken guarantees of edges under a few seconds of faults.

    Seed 1 with planned operations once violated RECOVER: a SIGHUP ended an
    edge that was still importing its modules.
    """

    async def run() -> edge_soak.EdgeSoak:
        soak_run = edge_soak.EdgeSoak(
            directory=tmp_path,
            seed=1,
            nodes=3,
            workers=6,
            planned_only=planned_only,
            accounts=accounts,
        )
        try:
            await soak_run.start()
            await soak_run.run(seconds=4.0)
        finally:
            await soak_run.close()
        return soak_run

    soak_run = asyncio.run(run())
    assert soak_run.violations == []
    assert soak_run.counts["200"] > 0
