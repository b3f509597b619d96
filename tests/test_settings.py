"""Tests of the validation of settings files."""

import pytest

from builders import make_settings_table
from heathermount.config.settings import Settings


def test_valid_settings_are_accepted() -> None:
    """Guards against rejecting a valid file."""
    settings = Settings.from_config(make_settings_table(), "node.toml")
    assert settings.node.service == "pantry"
    assert settings.timings.heartbeat_s == 0.5


def test_all_problems_are_reported_together() -> None:
    """Guards against reporting only one problem per start of the node."""
    table = make_settings_table()
    table["listen"]["callers"] = "localhost:80"
    table["node"]["colour"] = "red"
    del table["node"]["service"]
    table["timings"] = {"heartbeat_s": -1.0}
    with pytest.raises(ExceptionGroup) as caught:
        Settings.from_config(table, "node.toml")
    keys = {problem.key for problem in caught.value.exceptions}
    assert keys == {
        "listen.callers",
        "node.colour",
        "node.service",
        "timings.heartbeat_s",
    }
