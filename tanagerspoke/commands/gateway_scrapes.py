"""Fetches, saves, loads and parses the metrics of the gateways."""

import asyncio
import pathlib
import sys
import time

import aiohttp
import msgspec
from prometheus_client import parser

from tanagerspoke import exceptions
from tanagerspoke.settings import options
from tanagerspoke.state import burn

_CALLS_METRIC = "tanagerspoke_objective_calls_total"
_RATIO_METRIC = "tanagerspoke_objective_ratio"
_LATENCY_METRIC = "tanagerspoke_objective_latency_seconds"
_ROUTE_CALLS_METRIC = "tanagerspoke_edge_target_calls_total"
# The platform sets a target latency for each route, but not the share of calls
# that must meet it; 99 % is the ratio in the example templates.
_ROUTE_OBJECTIVE = burn.Objective(ratio=0.99)
_ROUTE_CLASS = "route"
_EVENT_KINDS = {
    "tanagerspoke_late_replies_total": burn.CounterKind.LATE_REPLY,
    "tanagerspoke_lost_replies_total": burn.CounterKind.LOST_REPLY,
    "tanagerspoke_unknown_outcomes_total": burn.CounterKind.UNKNOWN_OUTCOME,
}


class GatewayMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Metrics text of one gateway, in the Prometheus text format.

    Attributes:
        gateway: address and port of its admin endpoint.
    """

    gateway: str
    text: str


class SavedScrape(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a file that `tanagerspoke-report scrape` wrote.

    Attributes:
        at: start of the scrape of all gateways, as Unix time in seconds.
    """

    at: float
    gateways: tuple[GatewayMetrics, ...]


async def fetch(cfg: options.Report) -> SavedScrape:
    """Scrapes all gateways; reports failures on stderr.

    Raises:
        ProtocolError: no gateway responded.
    """
    at = time.time()
    timeout = aiohttp.ClientTimeout(total=cfg.timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        results = await asyncio.gather(
            *(_fetch_gateway(session, endpoint) for endpoint in cfg.gateways)
        )
    gateways = tuple(metrics for metrics in results if metrics is not None)
    if not gateways:
        raise exceptions.ProtocolError(
            "none of the gateways in the settings answered"
        )
    return SavedScrape(at=at, gateways=gateways)


async def _fetch_gateway(
    session: aiohttp.ClientSession, endpoint: options.Endpoint
) -> GatewayMetrics | None:
    gateway = f"{endpoint.address}:{endpoint.port}"
    url_host = endpoint.address
    if ":" in url_host:
        url_host = f"[{url_host}]"
    try:
        async with session.get(
            f"http://{url_host}:{endpoint.port}/metrics", raise_for_status=True
        ) as resp:
            text = await resp.text()
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        print(
            f"gateway {gateway} is left out: {type(exc).__name__}: {exc}",
            file=sys.stderr,
        )
        return None
    return GatewayMetrics(gateway=gateway, text=text)


def save(*, scrape: SavedScrape, path: pathlib.Path) -> None:
    """Writes a scrape to a new file.

    Raises:
        ProtocolError: the file exists or cannot be written.
    """
    try:
        with path.open("xb") as file:
            file.write(msgspec.json.encode(scrape))
    except OSError as exc:
        raise exceptions.ProtocolError(f"{path}: {exc.strerror}") from exc


def load(path: pathlib.Path) -> SavedScrape:
    """Reads a saved scrape.

    Raises:
        ProtocolError: the file is unreadable or is not a saved scrape.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=SavedScrape)
    except OSError as exc:
        raise exceptions.ProtocolError(f"{path}: {exc.strerror}") from exc
    except msgspec.DecodeError as exc:
        raise exceptions.ProtocolError(f"{path}: {exc}") from exc


def parse(scrape: SavedScrape) -> tuple[burn.Scrape, ...]:
    """Returns the counters and objectives of each gateway.

    Raises:
        ProtocolError: metrics are not in the Prometheus text format or lack
            a label.
    """
    return tuple(
        _parse_gateway(metrics, scrape.at) for metrics in scrape.gateways
    )


def _parse_gateway(metrics: GatewayMetrics, at: float) -> burn.Scrape:
    counters: dict[burn.Counter, float] = {}
    objectives: dict[burn.ServiceLevel, burn.Objective] = {}
    objective_ratios: dict[burn.ServiceLevel, float] = {}
    objective_latencies_s: dict[burn.ServiceLevel, float] = {}
    try:
        for family in parser.text_string_to_metric_families(metrics.text):
            for sample in family.samples:
                match sample.name:
                    case name if name == _ROUTE_CALLS_METRIC:
                        counter = _route_counter(sample.labels)
                        counters[counter] = sample.value
                        objectives[counter.level] = _ROUTE_OBJECTIVE
                    case name if name == _CALLS_METRIC or name in _EVENT_KINDS:
                        counter = _service_counter(name, sample.labels)
                        counters[counter] = sample.value
                    case name if name == _RATIO_METRIC:
                        objective_ratios[_service_level(sample.labels)] = (
                            sample.value
                        )
                    case name if name == _LATENCY_METRIC:
                        objective_latencies_s[_service_level(sample.labels)] = (
                            sample.value
                        )
    except (ValueError, KeyError) as exc:
        raise exceptions.ProtocolError(
            f"metrics of gateway {metrics.gateway}: {exc!r}"
        ) from exc
    return burn.Scrape(
        gateway=metrics.gateway,
        at=at,
        counters=counters,
        objectives=objectives
        | {
            level: burn.Objective(
                ratio=ratio, latency_s=objective_latencies_s.get(level)
            )
            for level, ratio in objective_ratios.items()
        },
    )


def _service_counter(name: str, labels: dict[str, str]) -> burn.Counter:
    if name == _CALLS_METRIC:
        met = labels["met"] == "yes"
        return burn.Counter(
            kind=burn.CounterKind.MET if met else burn.CounterKind.MISSED,
            client_account=labels["client_account"],
            service=labels["service"],
            call_class=labels["call_class"],
        )
    return burn.Counter(
        kind=_EVENT_KINDS[name],
        client_account=labels["client_account"],
        service=labels["service"],
        upstream=labels.get("upstream", ""),
    )


def _route_counter(labels: dict[str, str]) -> burn.Counter:
    met = labels["met"] == "yes"
    return burn.Counter(
        kind=burn.CounterKind.MET if met else burn.CounterKind.MISSED,
        client_account="",
        service=labels["route"],
        call_class=_ROUTE_CLASS,
    )


def _service_level(labels: dict[str, str]) -> burn.ServiceLevel:
    return burn.ServiceLevel(
        client_account=labels["client_account"],
        service=labels["service"],
        call_class=labels["call_class"],
    )
