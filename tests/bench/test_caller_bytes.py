"""Short run of the fuzz target over callers' bytes, and of its oracle."""

import pytest

from bench import caller_bytes
from tanagerspoke.coordination.caller_memory import account
from tanagerspoke.transport.callers import caller_connection

# Seeds whose first cases failed before: requests before an invalid one that
# were dropped, requests that stayed unparsed, HTTP/0.9 and HTTP/2.0.
_SEEDS = (1, 2, 3)
_CASES = 60


@pytest.mark.parametrize("seed", _SEEDS)
async def test_generated_bytes_break_no_connection(seed: int) -> None:
    """Guards against bytes that end a connection's callbacks or lose requests.

    The module names what is checked. Longer runs are started by hand.
    """
    cases, runs, failures = await caller_bytes.run_cases(
        seed=seed, first=0, cases=_CASES
    )
    assert failures == []
    assert cases == _CASES
    assert runs > _CASES


@pytest.mark.parametrize("fault", ["lost", "uncounted", "raised"])
async def test_faults_are_found(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """Guards against a fuzz target whose checks pass whatever happens."""
    connection = caller_connection.CallerConnection
    if fault == "lost":
        parse = connection._parse

        def parse_and_lose(self, data: bytes) -> None:
            parse(self, data)
            while len(self._pending_messages) > 1:
                self._pending_messages.pop()

        monkeypatch.setattr(connection, "_parse", parse_and_lose)
    elif fault == "uncounted":
        monkeypatch.setattr(
            account.CallerMemory, "release", lambda self, holding: None
        )
    else:
        monkeypatch.delattr(connection, "_count_framing")
    _, _, failures = await caller_bytes.run_cases(seed=1, first=0, cases=30)
    assert failures
