"""Records of the capacity measurements, line fits and process resource use."""

import os
import statistics
import subprocess
from collections.abc import Sequence
from pathlib import Path
from typing import Final, NamedTuple

import msgspec

__all__ = [
    "Line",
    "Measurement",
    "ProcessUsage",
    "Recorder",
    "fit_line",
    "read_measurements",
    "read_process_usage",
]

CPU_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the command name.
USER_TICKS_FIELD: Final = 11
SYSTEM_TICKS_FIELD: Final = 12


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """One measured point with its sizes, results and conditions."""

    experiment: str
    seed: int
    revision: str
    # Load averages over one minute, before and after the point was measured.
    load_before: float
    load_after: float
    sizes: dict[str, float]
    result: dict[str, float]


class Line(NamedTuple):
    """A least-squares line; `rms_error` is the root mean square of the residuals."""

    intercept: float
    slope: float
    rms_error: float
    point_count: int

    def predict(self, size: float) -> float:
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line through at least three points of different sizes."""
    if len({x for x, _ in points}) < 3:
        raise ValueError(
            f"{len(points)} points do not have three or more different sizes"
        )
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    squared_residuals = [(y - intercept - slope * x) ** 2 for x, y in points]
    return Line(
        intercept, slope, statistics.fmean(squared_residuals) ** 0.5, len(points)
    )


class Recorder:
    """Collects the measurements of one run."""

    __slots__ = ("_load", "_revision", "_seed", "measurements")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._revision = read_revision()
        self._load = os.getloadavg()[0]
        self.measurements: list[Measurement] = []

    def start_point(self) -> None:
        """Remember the load average from before a point is measured."""
        self._load = os.getloadavg()[0]

    def add(
        self, experiment: str, sizes: dict[str, float], result: dict[str, float]
    ) -> None:
        measurement = Measurement(
            experiment=experiment,
            seed=self._seed,
            revision=self._revision,
            load_before=round(self._load, 2),
            load_after=round(os.getloadavg()[0], 2),
            sizes=sizes,
            result={name: float(f"{value:.6g}") for name, value in result.items()},
        )
        self.measurements.append(measurement)
        print(msgspec.json.encode(measurement).decode(), flush=True)

    def write(self, path: Path) -> None:
        """Write one JSON object per line."""
        path.parent.mkdir(parents=True, exist_ok=True)
        lines = [
            msgspec.json.encode(measurement) + b"\n"
            for measurement in self.measurements
        ]
        path.write_bytes(b"".join(lines))


def read_measurements(path: Path) -> list[Measurement]:
    """Read what `Recorder.write` wrote."""
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Measurement) for line in lines]


def read_revision() -> str:
    """Return the measured commit, marked as dirty if files differ from it."""
    command = ["git", "describe", "--always", "--dirty", "--exclude=*"]
    directory = Path(__file__).parent
    completed = subprocess.run(
        command, cwd=directory, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip() or "unknown"


class ProcessUsage(NamedTuple):
    """CPU time, memory, and bytes read and written of a process.

    The byte counts include sockets, because the event loop uses `read` and `write`.
    They also include the log, which is short on an idle node.
    """

    cpu_s: float
    memory_bytes: float
    read_bytes: float
    written_bytes: float


def read_process_usage(pid: int) -> ProcessUsage:
    """Read the resource use of a process; raise OSError if it has ended."""
    directory = Path(f"/proc/{pid}")
    stat_fields = (directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(stat_fields[USER_TICKS_FIELD]) + int(stat_fields[SYSTEM_TICKS_FIELD])
    status_fields = read_numeric_fields(directory / "status")
    io_counters = read_numeric_fields(directory / "io")
    return ProcessUsage(
        ticks / CPU_TICKS_PER_S,
        status_fields["VmRSS"] * 1024,
        io_counters["rchar"],
        io_counters["wchar"],
    )


def read_numeric_fields(path: Path) -> dict[str, float]:
    """Return the numeric fields of a file of "name: number unit" lines."""
    fields = {}
    for line in path.read_text().splitlines():
        name, _, value = line.partition(":")
        words = value.split()
        if words and words[0].isdigit():
            fields[name] = float(words[0])
    return fields
