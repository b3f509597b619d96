"""Settings of gateway nodes: validation, reloading and the read at the start."""

import copy
import threading
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from heathermount.gateway.settings import GatewaySettings
from heathermount.gateway.settings_reloader import (
    START_READ_DELAY_S,
    SettingsReloader,
    read_settings_with_retry,
)

VALID: dict[str, Any] = {
    "node": {
        "name": "n-1",
        "service": "pantry",
        "failure_domain": "a",
        "application": "10.0.0.1:80",
    },
    "listen": {
        "outbound": "10.0.0.1:81",
        "peers": "10.0.0.1:82",
        "readiness": "10.0.0.1:83",
        "control": "10.0.0.1:84",
    },
    "store": {"endpoint": "10.0.0.2:80"},
    "bounds": {"drain": "1500ms", "repeat_slack": 48},
}


def test_reads_settings() -> None:
    """Guards against a duration or number that is read in the wrong unit."""
    settings = GatewaySettings.from_config(VALID, "node.toml")
    assert settings.node.name == "n-1" and not settings.node.first_start
    assert settings.bounds.drain == "1500ms"
    assert settings.retry_limits.slack == 48.0
    assert settings.retry_limits.window_s == 10.0


@pytest.mark.parametrize(
    ("section", "key", "value", "problem"),
    [
        ("node", "name", None, "node.name: is missing"),
        ("node", "colour", "red", "node.colour: is unknown"),
        ("listen", "peers", "host:80", "listen.peers: is 'host:80'"),
        ("store", "endpoint", "10.0.0.2", "store.endpoint: is '10.0.0.2'"),
        ("bounds", "grace", "6 hours", "bounds.grace: '6 hours' is no duration"),
        ("bounds", "repeat_ratio", "much", "bounds.repeat_ratio: is 'much'"),
        ("extra", "key", 1, "extra: is unknown"),
    ],
)
def test_reports_each_invalid_setting(
    section: str, key: str, value: Any, problem: str
) -> None:
    """Guards against a node that starts with settings it does not understand.

    The error must name the invalid setting.
    """
    config = copy.deepcopy(VALID)
    table = config.setdefault(section, {})
    if value is None:
        del table[key]
    else:
        table[key] = value
    with pytest.raises(ExceptionGroup) as caught:
        GatewaySettings.from_config(config, "node.toml")
    (found,) = caught.value.exceptions
    assert problem in str(found)


def test_reloads_a_changed_file_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    """Guards against a broken or missing file that stops or reconfigures a node."""
    path = tmp_path / "node.toml"
    path.write_bytes(tomli_w.dumps(VALID).encode())
    applied: list[GatewaySettings] = []
    reloader = SettingsReloader(str(path), applied.append)
    path.write_text("[node")
    reloader.reload()
    path.unlink()
    reloader.reload()
    assert not applied
    path.write_bytes(tomli_w.dumps(VALID | {"bounds": {"grace": "9s"}}).encode())
    reloader.reload()
    assert applied[0].bounds.grace == "9s"


def test_start_retries_a_half_written_file(tmp_path: Path) -> None:
    """Guards against a node that exits because its settings file is half written."""
    path = tmp_path / "node.toml"
    path.write_text("")
    writing = threading.Timer(
        1.5 * START_READ_DELAY_S, path.write_bytes, [tomli_w.dumps(VALID).encode()]
    )
    writing.start()
    assert read_settings_with_retry(str(path)).node.name == "n-1"
    writing.join()


def test_start_reports_a_file_that_stays_invalid(tmp_path: Path) -> None:
    """Guards against a node that retries an invalid file forever."""
    path = tmp_path / "node.toml"
    path.write_text("[node")
    with pytest.raises(ExceptionGroup, match="invalid file"):
        read_settings_with_retry(str(path))
