"""Builders of test data that several kinds of tests use."""

from typing import Any


def make_settings_table(**sections: Any) -> dict[str, Any]:
    """Return the minimal valid settings of a node, with the given sections replaced."""
    table: dict[str, Any] = {
        "node": {"name": "pantry-1", "service": "pantry", "failure_domain": "a"},
        "listen": dict.fromkeys(
            ("callers", "local", "peers", "control", "observe"), "127.0.0.1:0"
        ),
        "store": {"endpoint": "127.0.0.1:2379"},
        "security": {"fleet_secret": "a secret of the test fleet"},
    }
    return table | sections
