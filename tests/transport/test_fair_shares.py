"""Fair shares of client accounts at a running edge, and their metrics."""

import prometheus_client

from tanagerspoke.coordination.fair_shares import account_rates
from tanagerspoke.protocol import routing
from tanagerspoke.transport.operations import account_metrics
from tests.transport import edge_stack

_KEY = "0123456789abcdefghij"
_PREFIX = "tanagerspoke_edge_account_"


async def _metrics(cluster: edge_stack.EdgeStack) -> dict[str, float]:
    """Returns the samples of the accounts' metrics by name and labels."""
    url = f"http://127.0.0.1:{cluster.cfgs[0].metrics_port}/metrics"
    async with cluster.session.get(url) as resp:
        lines = (await resp.text()).splitlines()
    samples = (line.rsplit(" ", 1) for line in lines if line[0] != "#")
    return {
        name.removeprefix(_PREFIX): float(value)
        for name, value in samples
        if name.startswith(_PREFIX)
    }


async def test_shares_follow_the_configuration() -> None:
    """Guards against calls that are not counted for their account.

    The account's limit changes, and finally the deployment has no accounts.
    """
    tenants = {"shop": {"api_keys": [_KEY], "rate_per_s": 8}}
    async with edge_stack.run(
        config=edge_stack.manifest(1, tenants=tenants)
    ) as cluster:
        await cluster.wait_ready()
        for _ in range(3):
            async with cluster.request(
                "GET", "/read/x", added_headers=(("Api-Key", _KEY),)
            ) as resp:
                assert resp.status == 200
        samples = await _metrics(cluster)
        assert samples['target_calls_total{account="shop",met="yes"}'] == 3.0
        assert samples['usual_calls_per_second{account="shop"}'] == 5.0
        assert 0.2 < samples['sent_calls_per_second{account="shop"}'] <= 0.3

        tenants["shop"]["rate_per_s"] = 16
        changed = edge_stack.manifest(2, tenants=tenants)
        await cluster.store.put("op", "config", changed)

        async def is_doubled() -> bool:
            samples = await _metrics(cluster)
            return samples['usual_calls_per_second{account="shop"}'] == 10.0

        await edge_stack.wait_for(is_doubled)
        await cluster.store.put("op", "config", edge_stack.manifest(3))

        async def has_no_samples() -> bool:
            return not await _metrics(cluster)

        await edge_stack.wait_for(has_no_samples)


def test_number_of_series_is_bounded() -> None:
    """Guards against a series for each of very many accounts."""
    rates = account_rates.AccountRates()
    metrics = account_metrics.AccountMetrics()
    metrics.watch_rates(rates)
    registry = prometheus_client.CollectorRegistry()
    registry.register(metrics)
    names = [f"a{number}" for number in range(101)]
    rates.apply({name: routing.Account(name=name) for name in names}, 0.0)
    metrics.set_accounts(names)
    for name in names:
        metrics.count_call(name, met_target=True)
    value = registry.get_sample_value
    labels = {"account": "other"}
    assert value(f"{_PREFIX}target_calls_total", labels | {"met": "yes"}) == 101
    assert value(f"{_PREFIX}usual_calls_per_second", labels) > 10.0
    assert value(f"{_PREFIX}sent_calls_per_second", labels) == 0.0
    assert sum(len(family.samples) for family in registry.collect()) == 3
