"""Typed options of the programs, read from a JSON file."""

import json
import pathlib
from typing import Annotated, Any, Literal, TypeVar

import pydantic
from pydantic import dataclasses
import pydantic_core

from tanagerspoke import exceptions
from tanagerspoke.protocol import calls
from tanagerspoke.state import burn

T = TypeVar("T")

_MAX_INPUT_CHARS = 100

_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True)

Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
IpAddress = Annotated[
    str, pydantic.Field(pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|[0-9a-f:]+)$")
]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveSeconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
Share = Annotated[float, pydantic.Field(gt=0, le=1)]
LogLevel = Annotated[
    str, pydantic.Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
]


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Endpoint:
    """IP address and port."""

    address: IpAddress
    port: Port


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Tls:
    """Files for mutual TLS between processes of this system."""

    certificate_file: str
    private_key_file: str
    authority_file: str


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Place:
    """Location of a process."""

    host: Name
    availability_zone: Name
    region: Name


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Gateway:
    """Options of `tanagerspoke-gateway`.

    Attributes:
        shared_key: key that authenticates the gateway to the agent.
        lame_duck_s: time at a graceful stop from reporting not ready to
            closing the listener, so that the platform's load balancer can
            react.
        stop_deadline_s: maximum wait for running calls at a graceful stop.
        hold_answer_bytes: maximum size of a response that is buffered in
            full before it is sent to the caller; larger ones are streamed.
            Responses to writes are never streamed; for them, the limit is at
            least `max_body_bytes`.
        late_replies_watched: maximum number of timed-out exchanges that are
            watched for a late reply.
    """

    place: Place
    gateway_id: Name
    callers: Endpoint
    admin: Endpoint
    agent: Endpoint
    shared_key: Annotated[str, pydantic.Field(min_length=16)]
    tls: Tls | None = None
    lame_duck_s: Annotated[float, pydantic.Field(ge=0, le=600)] = 5.0
    stop_deadline_s: PositiveSeconds = 900.0
    max_header_bytes: Annotated[int, pydantic.Field(ge=1024)] = 16_384
    max_body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 4_194_304
    hold_answer_bytes: Annotated[int, pydantic.Field(ge=1024)] = 262_144
    late_replies_watched: Annotated[int, pydantic.Field(ge=0)] = 64
    log_level: LogLevel = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class ControlBudget:
    """Limits on the cost of control work on one host."""

    bytes_per_s: Annotated[int, pydantic.Field(gt=0)] = 4096
    cpu_share: Share = 0.042
    memory_mb: Annotated[int, pydantic.Field(gt=0)] = 256


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Store:
    """Use of the platform's table by one agent.

    Attributes:
        writes_per_s: this host's share of the table's write limit.
        group_rows: maximum number of rows in one transaction.
        claim_retention_s: lifetime of claim rows.
    """

    writes_per_s: Annotated[float, pydantic.Field(gt=0)] = 60.0
    group_rows: Annotated[int, pydantic.Field(ge=1, le=1000)] = 64
    timeout_s: PositiveSeconds = 1.0
    claim_retention_s: PositiveSeconds = 86_400.0


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Agent:
    """Options of `tanagerspoke-agent`."""

    place: Place
    gateways: Endpoint
    peers: Endpoint
    admin: Endpoint
    platform: Endpoint
    shared_key: Annotated[str, pydantic.Field(min_length=16)]
    tls: Tls | None = None
    budget: ControlBudget = pydantic.Field(default_factory=ControlBudget)
    store: Store = pydantic.Field(default_factory=Store)
    poll_interval_s: PositiveSeconds = 2.0
    heartbeat_interval_s: PositiveSeconds = 1.0
    log_level: LogLevel = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Ctl:
    """Options of `tanagerspokectl`."""

    platform: Endpoint
    author: Name
    timeout_s: PositiveSeconds = 5.0
    log_level: LogLevel = "WARNING"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class Report:
    """Options of `tanagerspoke-report`.

    Attributes:
        gateways: admin endpoints of the gateways.
        timeout_s: maximum wait for the metrics of a gateway.
        windows_s: lengths of the burn rate windows.
    """

    gateways: list[Endpoint]
    timeout_s: PositiveSeconds = 5.0
    windows_s: Annotated[
        list[Annotated[float, pydantic.Field(gt=0, le=2_592_000)]],
        pydantic.Field(min_length=1, max_length=8),
    ] = pydantic.Field(default_factory=lambda: list(burn.WINDOWS_S))
    log_level: LogLevel = "WARNING"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class StandinPlatform:
    """Options of `tanagerspoke-standin platform`.

    Attributes:
        writes_per_s, reads_per_s: rate limits of the table and, separately,
            of the object store.
        burst_s: maximum burst, as seconds of the rate limit.
        count_writes: whether a transaction counts as one write or as one
            write for each row.
        hosts_lag_s: delay of changes in the host list.
    """

    listen: Endpoint
    writes_per_s: Annotated[float, pydantic.Field(gt=0)] = 400.0
    reads_per_s: Annotated[float, pydantic.Field(gt=0)] = 2000.0
    burst_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 0.25
    count_writes: Literal["transaction", "row"] = "transaction"
    max_body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 67_108_864
    max_row_bytes: Annotated[int, pydantic.Field(ge=1)] = 262_144
    max_operations: Annotated[int, pydantic.Field(ge=1)] = 1000
    max_scan_rows: Annotated[int, pydantic.Field(ge=1)] = 1000
    hosts_lag_s: Annotated[float, pydantic.Field(ge=0, le=86_400)] = 0.0
    log_level: LogLevel = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class StandinRoute:
    """Class of calls with a path prefix at an upstream's stand-in."""

    path_prefix: Annotated[str, pydantic.Field(pattern="^/")]
    call_class: calls.CallClass


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class StandinUpstream:
    """Options of `tanagerspoke-standin upstream`.

    Attributes:
        platform: endpoint at which the upstream registers in the host list.
        routes: class of call by path prefix; the first match applies. Other
            calls are pulls (GET under `/pull`), lookups (GET, HEAD) or
            writes.
        queue_length: maximum number of calls that wait for a slot; further
            ones are shed.
        lookup_ms, write_ms, pull_ms: service time by class of call.
        service_time_sigma: spread of the service time, as the standard
            deviation of its logarithm; 0 for a constant time.
        straggler_share: share of calls that are slow outliers.
        straggler_factor: factor on the service time of these calls.
        seed: seed of the random generator of the service times.
        padding_bytes: size that is added to the responses of lookups and
            writes.
        pull_chunks, pull_chunk_bytes: number and size of the chunks of a
            pull's body.
        cold_start_s: time after the start during which calls run longer.
        cold_factor: factor on the service time during this time.
        drain_s: maximum duration of a graceful stop, during which the upstream
            is listed as leaving and serves until its calls have ended.
    """

    place: Place
    name: Name
    service: Name
    listen: Endpoint
    platform: Endpoint | None = None
    routes: list[StandinRoute] = pydantic.Field(default_factory=list)
    slots: Annotated[int, pydantic.Field(ge=1)] = 3
    queue_length: Annotated[int, pydantic.Field(ge=0)] = 64
    max_connections: Annotated[int, pydantic.Field(ge=1)] = 200
    max_body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 67_108_864
    lookup_ms: Annotated[float, pydantic.Field(ge=0)] = 5.0
    write_ms: Annotated[float, pydantic.Field(ge=0)] = 20.0
    pull_ms: Annotated[float, pydantic.Field(ge=0)] = 2000.0
    service_time_sigma: Annotated[float, pydantic.Field(ge=0, le=3)] = 0.0
    straggler_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    straggler_factor: Annotated[float, pydantic.Field(ge=1)] = 20.0
    seed: int = 0
    padding_bytes: Annotated[int, pydantic.Field(ge=0)] = 0
    pull_chunks: Annotated[int, pydantic.Field(ge=1)] = 40
    pull_chunk_bytes: Annotated[int, pydantic.Field(ge=1)] = 4096
    cold_start_s: Annotated[float, pydantic.Field(ge=0)] = 0.0
    cold_factor: Annotated[float, pydantic.Field(ge=1)] = 4.0
    drain_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0
    log_level: LogLevel = "INFO"


def describe_errors(*, source: str, exc: pydantic.ValidationError) -> str:
    """Returns a line for each error: JSON path, expected and found value."""
    lines = []
    for error in exc.errors(include_url=False):
        path = json_path(error["loc"])
        lines.append(f"{source}: {path}: {_describe(error, path)}")
    return "\n".join(lines)


def _describe(error: pydantic_core.ErrorDetails, path: str) -> str:
    match error["type"]:
        case "missing":
            return "expected a value; found nothing"
        case "unexpected_keyword_argument" | "extra_forbidden":
            return (
                "expected no such key; found "
                f"{_format_input(error['input'], path)}; check its spelling"
            )
        case "json_invalid":
            return error["msg"]
    expected = error["msg"].removeprefix("Input should ")
    return (
        f"expected to {expected}; found {_format_input(error['input'], path)}"
    )


def _format_input(value: Any, path: str) -> str:
    # Secret keys must not appear in logs or terminals.
    if path.endswith("_key"):
        return f"a {type(value).__name__} that is not shown"
    text = json.dumps(value, default=repr, ensure_ascii=False)
    if len(text) > _MAX_INPUT_CHARS:
        return text[:_MAX_INPUT_CHARS] + "..."
    return text


def json_path(loc: tuple[Any, ...]) -> str:
    """Returns a JSON path such as `$.callers.port`."""
    path = "$"
    for part in loc:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path


def load(*, path: pathlib.Path, option_type: type[T]) -> T:
    """Reads and validates a settings file.

    Raises:
        SettingsError: the file is unreadable or invalid; the message lists
            all errors.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise exceptions.SettingsError(f"{path}: {exc.strerror}") from exc
    try:
        return pydantic.TypeAdapter(option_type).validate_json(data)
    except pydantic.ValidationError as exc:
        raise exceptions.SettingsError(
            describe_errors(source=str(path), exc=exc)
        ) from exc
