"""Measures the cost of each node role and writes the capacity page.

Run as `python -m heathermount.capacity.capacity`; takes about five minutes. With
`--page`, only renders the page and the plots from the committed measurements.
"""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import anyio
import uvloop
from absl import flags

from heathermount.capacity.call_costs import (
    measure_added_latency,
    measure_calls,
    measure_profile,
)
from heathermount.capacity.claim_costs import measure_claims
from heathermount.capacity.configuration_costs import (
    measure_configuration,
    measure_rosters,
)
from heathermount.capacity.control_costs import measure_control, measure_ownership
from heathermount.capacity.declared_service_costs import measure_services
from heathermount.capacity.link_costs import measure_links
from heathermount.capacity.measurements import Recorder, read_measurements
from heathermount.capacity.page import write_page, write_plots
from heathermount.capacity.quota_costs import measure_quota
from heathermount.standins.commandline import end_on_termination, make_flag_values

__all__ = ["main", "measure_all", "run"]

MEASUREMENTS_FILE: Final = "measurements/capacity.jsonl"
MeasurementStep = Callable[[Recorder, int], Awaitable[None]]

MEASUREMENT_STEPS: Final[tuple[MeasurementStep, ...]] = (
    # Runs first: links would reuse memory freed by earlier steps and seem too cheap.
    measure_links,
    measure_rosters,
    measure_configuration,
    measure_quota,
    measure_claims,
    measure_services,
    measure_control,
    measure_ownership,
    measure_calls,
    measure_added_latency,
    measure_profile,
)


async def measure_all(recorder: Recorder, seed: int) -> None:
    """Run all measurements, one after the other."""
    for step in MEASUREMENT_STEPS:
        await step(recorder, seed)


def main(argv: list[str]) -> int:
    """Measure, then write measurements, plots and page below the documents."""
    values = make_flag_values()
    flags.DEFINE_integer("seed", 1, "Seed of all random choices.", flag_values=values)
    flags.DEFINE_bool("page", False, "Only render page and plots.", flag_values=values)
    flags.DEFINE_string("docs", "docs", "Directory to write to.", flag_values=values)
    values(argv)
    end_on_termination()
    docs = Path(values.docs)
    if not values.page:
        recorder = Recorder(values.seed)
        anyio.run(
            measure_all,
            recorder,
            values.seed,
            backend_options={"loop_factory": uvloop.new_event_loop},
        )
        recorder.write(docs / MEASUREMENTS_FILE)
    measurements = read_measurements(docs / MEASUREMENTS_FILE)
    write_plots(measurements, docs / "plots")
    write_page(measurements, docs)
    return 0


def run() -> None:
    """Run the command with the arguments of the process."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
