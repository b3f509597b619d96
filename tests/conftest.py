"""Hypothesis profiles, and the option that selects known failing tests.

The default profile makes Hypothesis deterministic.
"""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("explore", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run only known failures")


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests listed in KNOWN-RED.txt, or all others with --known-red."""
    listed = [
        line.removeprefix("test:").strip()
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.startswith("test:")
    ]
    red = [item for item in items if item.nodeid in listed]
    only_red = config.getoption("--known-red")
    kept = red if only_red else [item for item in items if item not in red]
    config.hook.pytest_deselected(items=[i for i in items if i not in kept])
    items[:] = kept
