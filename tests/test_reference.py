"""Tests that documentation pages agree with the code that they describe."""

from pathlib import Path

from heathermount.cli.reference import render_reference
from heathermount.clocks import ManualClock
from heathermount.events import EventLog
from heathermount.invariants import Invariants
from heathermount.node.metrics import Metrics
from heathermount.values import Reason

DOCS = Path(__file__).parent.parent / "docs"


def test_settings_page_is_up_to_date() -> None:
    """Guards against a setting that is missing or wrong on the page.

    The page must be generated again after each change of a setting.
    """
    assert (DOCS / "settings.md").read_text() == render_reference()


def test_every_refusal_is_explained_to_callers() -> None:
    """Guards against a reason code that callers cannot look up."""
    page = (DOCS / "callers.md").read_text()
    # A cancelled call has no caller left to read its response.
    missing = [r for r in Reason if f"`{r}`" not in page and r != Reason.CANCELLED]
    assert not missing


def test_every_metric_is_listed() -> None:
    """Guards against a metric that is renamed in the code only."""
    page = (DOCS / "interfaces.md").read_text()
    clock = ManualClock()
    metrics = Metrics(clock, Invariants(EventLog("pantry-1", clock, quiet=True)))
    missing = [
        family.name
        for family in metrics.registry.collect()
        if f"`{family.name}" not in page and "total_latency" not in family.name
    ]
    assert not missing
