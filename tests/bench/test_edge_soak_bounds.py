"""Checks of the edge soak test on accounts, cold workers, zones and pauses."""

import time

import pytest

from bench import edge_soak_accounts
from bench import edge_soak_bounds
from bench import edge_soak_checks

_CONFIRMED_AT = 100.0
# After the bounds of revocations and evacuations, which are 5 s both.
_LATE = 106.0


def _accounts() -> edge_soak_accounts.Accounts:
    accounts = edge_soak_accounts.Accounts(seed=1)
    accounts.confirm(0.0)
    return accounts


def _key_of(accounts: edge_soak_accounts.Accounts, account: str) -> str:
    return next(k.text for k in accounts.keys.values() if k.account == account)


def _call(number: int, **fields: object) -> edge_soak_checks.CallRecord:
    return edge_soak_checks.CallRecord(
        **{
            "request_id": f"q{number}",
            "node": "edge-1",
            "method": "GET",
            "path": "/read/1",
            "body": b"",
            "deadline_ms": 1000,
            "sent_at": 0.0,
        }
        | fields
    )


def _run(number: int, at: float, **fields: object) -> dict[str, object]:
    return {
        "event": "run",
        "id": f"q{number}",
        "arrived_at": at,
        "account": "desk",
        "has_key": False,
        "cold": False,
        "worker": "worker-1",
        "born_ms": 1,
    } | fields


def _refusal(number: int, at: float, **fields: object) -> dict[str, object]:
    return _run(number, at, event="refused", pause_s=2.0) | fields


def _violation_codes(
    accounts: edge_soak_accounts.Accounts,
    log_entries: list[dict[str, object]],
    *,
    delays: tuple[edge_soak_bounds.Delay, ...] = (),
    removal_sent_at: float = 200.0,
    **call_fields: object,
) -> list[str]:
    violations: list[str] = []
    call_fields = {"key": accounts.steady_key} | call_fields
    edge_soak_bounds.BoundChecks(
        accounts=accounts,
        worker_zones={"worker-1": "a", "worker-2": "b"},
        evacuations=[
            edge_soak_bounds.Evacuation(
                zone="b",
                confirmed_at=_CONFIRMED_AT,
                removal_sent_at=removal_sent_at,
            )
        ],
        delays=delays,
        process_changed_at={"edge-1": 0.0},
        planned_only=True,
        add_violation=violations.append,
    ).check(
        calls={
            e["id"]: _call(int(e["id"][1:]), **call_fields) for e in log_entries
        },
        runs=[e for e in log_entries if e["event"] == "run"],
        refusals=[e for e in log_entries if e["event"] == "refused"],
    )
    return [line.split(":")[0] for line in violations]


@pytest.mark.parametrize(
    ("codes", "log_entries", "call_fields"),
    [
        ([], [_run(1, _LATE)], {}),
        (["KEY"], [_run(1, 1.0, has_key=True)], {}),
        (["ACCOUNT"], [_run(1, 1.0, account="forged")], {}),
        (["ACCOUNT"], [_run(1, 1.0)], {"path": "/at-1/1"}),
        (["UNKNOWN"], [_run(1, 1.0, account="")], {"key": "unknown"}),
        (["UNKNOWN"], [_run(1, 1.0, account="")], {"key": None}),
        (["EVACUATED"], [_run(1, _LATE, worker="worker-2")], {}),
        (["EVACUATED"], [_refusal(1, _LATE, worker="worker-2")], {}),
        ([], [_run(1, 104.0, worker="worker-2")], {}),
        ([], [_run(1, 201.0, worker="worker-2")], {}),
        # 9.5 requests to a cold worker are allowed in a second.
        (["COLD"], [_run(n, 1 + n / 20, cold=True) for n in range(10)], {}),
        ([], [_run(n, 1 + n / 5, cold=True) for n in range(10)], {}),
        ([], [_run(n, 1 + n / 20) for n in range(10)], {}),
        (["PAUSE"], [_refusal(1, 1.0), _run(2, 2.0)], {}),
        (["PAUSE"], [_refusal(1, 1.0), _refusal(2, 2.0)], {}),
        ([], [_refusal(1, 1.0), _run(2, 1.1), _run(3, 3.1)], {}),
        ([], [_refusal(1, 1.0), _run(2, 2.0, worker="worker-2")], {}),
    ],
)
def test_requests_that_break_a_bound_are_reported(
    codes: list[str],
    log_entries: list[dict[str, object]],
    call_fields: dict[str, object],
) -> None:
    """Guards against a check that misses a violation or reports a false one."""
    assert _violation_codes(_accounts(), log_entries, **call_fields) == codes


@pytest.mark.parametrize(("at", "codes"), [(104.0, []), (_LATE, ["REVOKED"])])
def test_calls_on_a_revoked_key_are_reported_after_the_bound(
    at: float, codes: list[str]
) -> None:
    """Guards against revoked keys in use that the check does not report."""
    accounts = _accounts()
    text = _key_of(accounts, "tours")
    accounts.keys[text].removal_sent_at = _CONFIRMED_AT
    accounts.confirm(_CONFIRMED_AT)
    entry = _run(1, at, account="tours")
    assert _violation_codes(accounts, [entry], key=text) == codes


@pytest.mark.parametrize(
    ("count", "codes"),
    [
        # (4 per second * 5 s + burst of 4) * 1.1 + 20 = 46.4
        (46, []),
        (47, ["LIMIT"]),
    ],
)
def test_calls_over_a_limit_are_reported(count: int, codes: list[str]) -> None:
    """Guards against exceeded limits that the check does not report.

    A call that ran twice counts once.
    """
    accounts = _accounts()
    key = _key_of(accounts, "tours")
    runs = [_run(n, 1 + n / 10, account="tours") for n in range(count)]
    runs += [_run(n, 5.0, account="tours") for n in range(5)]
    assert _violation_codes(accounts, runs, key=key) == codes


def test_lowered_limit_is_binding_one_window_after_its_confirmation() -> None:
    """Guards against a check that applies a limit too early or never."""
    accounts = _accounts()
    key = _key_of(accounts, "tours")
    accounts.limits["tours"].append(
        edge_soak_accounts.Limit(
            calls_per_s=1.0, burst_calls=1.0, sent_at=_CONFIRMED_AT
        )
    )
    accounts.confirm(_CONFIRMED_AT)
    # 26.6 calls are allowed after the change.
    for start, codes in ((101.0, []), (103.0, ["LIMIT"])):
        runs = [_run(n, start + n / 9, account="tours") for n in range(45)]
        assert _violation_codes(accounts, runs, key=key) == codes


def test_requests_that_were_held_up_count_from_the_start_of_the_delay() -> None:
    """Guards against reports of calls that a stalled link delivers late."""
    delay = edge_soak_bounds.Delay(
        name="worker-2", holds_requests=True, started_at=104.0, ended_at=107.0
    )
    entry = _run(1, 107.1, worker="worker-2")
    assert _violation_codes(_accounts(), [entry], delays=(delay,)) == []
    assert _violation_codes(
        _accounts(), [entry], delays=(delay,), sent_at=105.5
    ) == ["EVACUATED"]


@pytest.mark.parametrize(
    ("account", "status", "codes"),
    [
        ("desk", 401, ["DENIED"]),
        ("desk", 429, ["LIMIT"]),
        ("tours", 429, []),
        ("", 401, []),
        ("", 503, []),
        ("", 200, ["UNKNOWN"]),
    ],
)
def test_statuses_that_do_not_fit_the_key_are_reported(
    account: str, status: int, codes: list[str]
) -> None:
    """Guards against refused valid keys and accepted unknown ones."""
    accounts = _accounts()
    checks = edge_soak_checks.Checks(
        planned_only=False,
        process_changed_at={"edge-1": 0.0},
        accounts=accounts,
    )
    call = _call(
        1,
        status=status,
        sent_at=time.monotonic(),
        key=_key_of(accounts, account) if account else "unknown",
    )
    checks.check_key_status(call)
    assert [line.split(":")[0] for line in checks.violations] == codes
