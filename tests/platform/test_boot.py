"""Tests of the decoder of the platform's settings file."""

import pathlib

import pytest

from tanagerspoke import exceptions
from tanagerspoke.platform import boot

COMPLETE_FILE = """
node = "front-a-1"
zone = "a"
ip = "127.0.0.1"
internal_port_range = [7540, 7555]
bootstrap = true
a_new_field = [1, 2]
[listen]
front = "127.0.0.1:8548"
ready = "127.0.0.1:8542"
[limits]
link_mbps = 2500.0
[bounds]
drain_s = 2
grace_s = 6
config_apply_s = 2
retry_budget_ratio = 0.2
retry_budget_extra = 56
budget_window_s = 10
probes_per_s = 60
[platform]
address = "127.0.0.1:8541"
"""


def test_complete_file(tmp_path: pathlib.Path) -> None:
    """Guards against options that are read from the wrong field."""
    path = tmp_path / "boot.toml"
    path.write_text(COMPLETE_FILE)
    cfg = boot.load(path)
    assert cfg.callers.port == 8548
    assert cfg.readiness.port == 8542
    assert cfg.peers.port == 7540
    assert cfg.store.port == 8541
    assert cfg.first_start
    assert cfg.retry_budget.shared_extra == 56
    assert cfg.probes_per_upstream_s == 60


def test_every_error_is_reported(tmp_path: pathlib.Path) -> None:
    """Guards against messages that report only the first invalid field."""
    path = tmp_path / "boot.toml"
    path.write_text(
        COMPLETE_FILE.replace('zone = "a"', "").replace(
            "drain_s = 2", 'drain_s = "x"'
        )
    )
    with pytest.raises(exceptions.SettingsError) as caught:
        boot.load(path)
    assert "zone" in str(caught.value)
    assert "bounds.drain_s" in str(caught.value)


@pytest.mark.parametrize("content", ["", "not toml ["])
def test_malformed_file(tmp_path: pathlib.Path, content: str) -> None:
    """Guards against a traceback instead of a `SettingsError`."""
    path = tmp_path / "boot.toml"
    path.write_text(content)
    with pytest.raises(exceptions.SettingsError):
        boot.load(path)


def test_malformed_address(tmp_path: pathlib.Path) -> None:
    """Guards against a malformed address that is only found when used."""
    path = tmp_path / "boot.toml"
    path.write_text(COMPLETE_FILE.replace("127.0.0.1:8541", "8541"))
    with pytest.raises(exceptions.SettingsError, match="platform.address"):
        boot.load(path)


def test_limits_are_off_unless_configured(tmp_path: pathlib.Path) -> None:
    """Guards against limits in deployments that do not ask for them."""
    path = tmp_path / "boot.toml"
    path.write_text(COMPLETE_FILE)
    cfg = boot.load(path)
    assert cfg.revocation is None
    assert cfg.usage_limits is None
    assert cfg.cold_upstreams is None
    assert cfg.memory_bytes == 0
    assert cfg.max_descriptors == 0


def test_configured_limits(tmp_path: pathlib.Path) -> None:
    """Guards against limits that are read from the wrong field."""
    path = tmp_path / "boot.toml"
    path.write_text(
        COMPLETE_FILE.replace(
            "[platform]",
            "strict_revoke = true\nrevoke_s = 5\n"
            "quota_window_s = 4\nquota_overage = 0.1\nquota_tolerance = 20\n"
            "cold_overage = 1.5\ncold_tolerance = 8\n[platform]",
        ).replace(
            "link_mbps = 2500.0",
            "link_mbps = 2500.0\nmemory_mb = 152\nmax_fds = 1535",
        )
    )
    cfg = boot.load(path)
    assert cfg.revocation.bound_s == 5
    assert cfg.usage_limits.window_s == 4
    assert cfg.usage_limits.overage == 0.1
    assert cfg.usage_limits.tolerance_calls == 20
    assert cfg.cold_upstreams.overage == 1.5
    assert cfg.cold_upstreams.tolerance_calls == 8
    assert cfg.memory_bytes == 152_000_000
    assert cfg.max_descriptors == 1535


def test_revocation_without_strictness(tmp_path: pathlib.Path) -> None:
    """Guards against refusals where revocation is not strict."""
    path = tmp_path / "boot.toml"
    path.write_text(
        COMPLETE_FILE.replace("[platform]", "revoke_s = 5\n[platform]")
    )
    assert boot.load(path).revocation is None


def test_share_of_second_attempts(tmp_path: pathlib.Path) -> None:
    """Guards against a share that is read wrongly or set without a table."""
    path = tmp_path / "boot.toml"
    path.write_text(COMPLETE_FILE)
    assert boot.load(path).hedge_share is None
    path.write_text(COMPLETE_FILE + "[hedging]\nmax_share = 0.05\n")
    assert boot.load(path).hedge_share == 0.05


@pytest.mark.parametrize("value", ["-0.1", "1.5", "nan", '"0.05"', "true"])
def test_invalid_share_of_second_attempts(
    tmp_path: pathlib.Path, value: str
) -> None:
    """Guards against a limit that is out of range or not a number."""
    path = tmp_path / "boot.toml"
    path.write_text(COMPLETE_FILE + f"[hedging]\nmax_share = {value}\n")
    with pytest.raises(exceptions.SettingsError, match="hedging.max_share"):
        boot.load(path)
