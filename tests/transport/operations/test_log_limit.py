"""Token bucket of log lines."""

import logging

from tanagerspoke.transport.operations import log_limit
from tests import stack as stacks


async def test_surge_is_bounded_and_counted(caplog, monkeypatch) -> None:
    """Guards against lines lost without a count or a client account."""
    monkeypatch.setattr(log_limit, "_SUMMARY_DELAY_S", 0.0)
    now = 0.0
    limit = log_limit.LogLimit(
        event="call", rate_per_s=2.0, burst=5, clock=lambda: now
    )
    assert sum(limit.allows("oulu-shop") for _ in range(9)) == 5
    for number in range(100):
        assert not limit.allows(f"made-up-{number}")
    with caplog.at_level(logging.WARNING):

        async def summarized() -> bool:
            return bool(caplog.records)

        await stacks.wait_until(summarized, "the summary")
    [record] = caplog.records
    assert record.getMessage() == "log_lines_left_out"
    assert (record.limited_event, record.left_out) == ("call", 104)
    assert record.client_accounts["oulu-shop"] == 4
    assert sum(record.client_accounts.values()) == 104
    assert len(record.client_accounts) <= 65
    now = 1.0
    assert sum(limit.allows("oulu-shop") for _ in range(5)) == 2
