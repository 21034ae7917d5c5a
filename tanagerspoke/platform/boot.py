"""Decoder of the settings file that the platform writes for a process."""

import functools
import os
import pathlib
import tomllib
from typing import Annotated

import pydantic

from tanagerspoke import exceptions
from tanagerspoke.settings import edge
from tanagerspoke.settings import options

# The platform sets this variable to the path of the settings file.
SETTINGS_VARIABLE = "TANAGERSPOKE_SETTINGS"
_BYTES_PER_MB = 1_000_000

_Seconds = Annotated[float, pydantic.Field(ge=0)]
_NonNegative = Annotated[float, pydantic.Field(ge=0)]


class _Listen(pydantic.BaseModel):
    # Address and port for the connections of callers.
    front: str
    # Address and port for the platform's readiness requests.
    ready: str


class _Bounds(pydantic.BaseModel):
    # Time within which a draining worker must stop receiving calls.
    drain_s: _Seconds
    # Time between SIGTERM and SIGKILL.
    grace_s: _Seconds
    # Time within which a new configuration must be active.
    config_apply_s: _Seconds
    # Extra attempts (retries and hedges) per call of a service in a window.
    retry_budget_ratio: Annotated[float, pydantic.Field(ge=0)]
    # Extra attempts that all nodes together may make per window, in addition to
    # those that the ratio allows.
    retry_budget_extra: Annotated[float, pydantic.Field(ge=0)]
    # Probes per worker and second, from all nodes together.
    probes_per_s: Annotated[float, pydantic.Field(ge=0)]
    budget_window_s: Annotated[float, pydantic.Field(gt=0)]
    # Whether a removed key must be refused within `revoke_s` by all nodes.
    strict_revoke: bool = False
    revoke_s: Annotated[float, pydantic.Field(gt=0)] | None = None
    # Usage limits of client accounts may be exceeded, in any window, by
    # `quota_overage` as a share and `quota_tolerance` requests.
    quota_window_s: Annotated[float, pydantic.Field(gt=0)] | None = None
    quota_overage: _NonNegative = 0.0
    quota_tolerance: _NonNegative = 0.0
    # The rate limit of cold workers may be exceeded, in any second, by the
    # factor `cold_overage` and `cold_tolerance` requests.
    cold_overage: _NonNegative | None = None
    cold_tolerance: _NonNegative = 0.0


class _Limits(pydantic.BaseModel):
    # Bandwidth of the host's link.
    link_mbps: Annotated[float, pydantic.Field(gt=0)]
    # Memory and file descriptors of the process, 0 where they are not known.
    memory_mb: _NonNegative = 0.0
    max_fds: Annotated[int, pydantic.Field(ge=0)] = 0


class _Hedging(pydantic.BaseModel):
    # Second attempts of all nodes together, as a share of the calls that may be
    # repeated. Without it, only the retry budget limits them.
    max_share: (
        Annotated[float, pydantic.Field(ge=0, le=1, strict=True)] | None
    ) = None


class _Platform(pydantic.BaseModel):
    # Address and port of the platform's store.
    address: str


class _Boot(pydantic.BaseModel):
    """Fields of the file that are used; the platform may add others."""

    node: Annotated[str, pydantic.Field(min_length=1)]
    zone: str
    # True only when the entire system starts for the first time.
    bootstrap: bool = False
    ip: str
    # First and last port of the range reserved for traffic between nodes.
    internal_port_range: tuple[int, int]
    listen: _Listen
    # Addresses and ports of some nodes that serve `control` (see
    # `deploy/system.toml`) and may be down. When this node restarts, it asks
    # them for their state, on the first port of the internal port range, which
    # is the same on all nodes; the ports given here are ignored.
    seeds: tuple[str, ...] = ()
    limits: _Limits
    bounds: _Bounds
    # Written by the operators; the platform passes it on.
    hedging: _Hedging = _Hedging()
    platform: _Platform


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        SettingsError: the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise exceptions.SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return pathlib.Path(path)


def load(path: pathlib.Path) -> edge.Edge:
    """Returns the validated options of a settings file.

    Raises:
        SettingsError: the file is unreadable or invalid; the message lists
            every invalid field.
    """
    try:
        content = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.SettingsError(f"{path}: {exc}") from exc
    return _decode(path, content)


# The file is read every second but rarely changes.
@functools.lru_cache(maxsize=1)
def _decode(path: pathlib.Path, content: str) -> edge.Edge:
    try:
        boot = _Boot.model_validate(tomllib.loads(content))
    except tomllib.TOMLDecodeError as exc:
        raise exceptions.SettingsError(f"{path}: {exc}") from exc
    except pydantic.ValidationError as exc:
        lines = [
            f"{path}: {'.'.join(map(str, error['loc']))}: {error['msg']}"
            for error in exc.errors()
        ]
        raise exceptions.SettingsError("\n".join(lines)) from exc
    bounds = boot.bounds
    return edge.Edge(
        node=boot.node,
        availability_zone=boot.zone,
        first_start=boot.bootstrap,
        callers=_endpoint(path, "listen.front", boot.listen.front),
        readiness=_endpoint(path, "listen.ready", boot.listen.ready),
        peers=_endpoint(path, "ip", f"{boot.ip}:{boot.internal_port_range[0]}"),
        known_peers=_known_peers(path, boot),
        link_mbps=boot.limits.link_mbps,
        store=_endpoint(path, "platform.address", boot.platform.address),
        drain_s=bounds.drain_s,
        config_apply_s=bounds.config_apply_s,
        stop_grace_s=bounds.grace_s,
        probes_per_upstream_s=bounds.probes_per_s,
        retry_budget=edge.RetryBudget(
            ratio=bounds.retry_budget_ratio,
            shared_extra=bounds.retry_budget_extra,
            window_s=bounds.budget_window_s,
        ),
        revocation=_revocation(bounds),
        usage_limits=_usage_limits(bounds),
        cold_upstreams=_cold_upstreams(bounds),
        hedge_share=boot.hedging.max_share,
        memory_bytes=int(boot.limits.memory_mb * _BYTES_PER_MB),
        max_descriptors=boot.limits.max_fds,
    )


def _revocation(bounds: _Bounds) -> edge.Revocation | None:
    if not bounds.strict_revoke or bounds.revoke_s is None:
        return None
    return edge.Revocation(bound_s=bounds.revoke_s)


def _usage_limits(bounds: _Bounds) -> edge.UsageLimits | None:
    if bounds.quota_window_s is None:
        return None
    return edge.UsageLimits(
        window_s=bounds.quota_window_s,
        overage=bounds.quota_overage,
        tolerance_calls=bounds.quota_tolerance,
    )


def _cold_upstreams(bounds: _Bounds) -> edge.ColdUpstreams | None:
    if bounds.cold_overage is None:
        return None
    return edge.ColdUpstreams(
        overage=bounds.cold_overage, tolerance_calls=bounds.cold_tolerance
    )


def _known_peers(
    path: pathlib.Path, boot: _Boot
) -> tuple[options.Endpoint, ...]:
    port = boot.internal_port_range[0]
    addresses = [seed.rpartition(":")[0] for seed in boot.seeds]
    return tuple(
        _endpoint(path, "seeds", f"{address}:{port}")
        for address in addresses
        if address != boot.ip
    )


def _endpoint(path: pathlib.Path, name: str, value: str) -> options.Endpoint:
    address, _, port = value.rpartition(":")
    try:
        return options.Endpoint(address=address, port=int(port))
    except ValueError as exc:
        raise exceptions.SettingsError(
            f"{path}: {name}: {value!r} is not an IP address and port"
        ) from exc
