"""Measures an instance's highest rate, and its latencies at a fixed rate, with and without recording.

python -m benchmarks.recording [--rounds N]
"""

from __future__ import annotations

import argparse
import statistics
from dataclasses import dataclass

from benchmarks.fleet import Fleet, LoadResult
from benchmarks.harness import interleave

CONNECTIONS = 40
SECONDS = 4.0
FIXED_RATE = 400
DEFAULT_ROUNDS = 4
NO_RECORDING = "none"
OPERATORS_FILES = {
    NO_RECORDING: "",
    "customers": 'recording(folder = "rec-c", sides = ["customer"])',
    "both sides": 'recording(folder = "rec-b", sides = ["customer", "node"])',
    "both, hashed": 'recording(folder = "rec-h", sides = ["customer", "node"], bodies = "hashed")',
}


@dataclass(frozen=True, slots=True)
class Figures:
    """The measurements of one round: requests a second, and latencies in milliseconds."""

    max_rate: float
    p50: float
    p99: float
    p50_at_fixed_rate: float
    p99_at_fixed_rate: float

    @classmethod
    def of(cls, closed_loop: LoadResult, fixed: LoadResult) -> Figures:
        """Return the figures of a closed loop and of a load with a fixed rate."""
        return cls(closed_loop.rate, closed_loop.p50, closed_loop.p99, fixed.p50, fixed.p99)


def measure(fleet: Fleet, operators_file: str) -> Figures:
    """Put a closed loop and then a load with a fixed rate on an instance, and return the figures."""
    with fleet.instance(0, operators_file):
        closed_loop = fleet.load(0, CONNECTIONS, SECONDS)
        fixed = fleet.load(0, CONNECTIONS, SECONDS, FIXED_RATE)
    return Figures.of(closed_loop, fixed)


def print_row(name: str, figures: list[Figures], base: list[Figures]) -> None:
    """Print the medians of the figures, and of their ratios to the same rounds without recording."""
    parts = []
    for field in Figures.__dataclass_fields__:
        values = [getattr(measured, field) for measured in figures]
        base_values = [getattr(measured, field) for measured in base]
        ratio = statistics.median(value / other for value, other in zip(values, base_values, strict=True))
        parts.append(f"{field.replace('_', ' ')} {statistics.median(values):,.2f} ({ratio:.3f})")
    print(f"{name}: {', '.join(parts)}")


def print_counters(fleet: Fleet) -> None:
    """Print the last instance's counters of recording and memory."""
    for log in sorted(fleet.folder.glob("*.log")):
        lines = [line for line in log.read_text().splitlines() if "event=standing" in line]
        fields = lines[-1].split() if lines else []
        print("last counters:", *(field for field in fields if "record" in field or "memory" in field))


def main() -> None:
    """Measure all kinds of recording in interleaved rounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    arguments = parser.parse_args()
    found: dict[str, list[Figures]] = {name: [] for name in OPERATORS_FILES}
    with Fleet() as fleet:
        for name in interleave(list(OPERATORS_FILES), arguments.rounds):
            found[name].append(measure(fleet, OPERATORS_FILES[name]))
        for name, figures in found.items():
            print_row(name, figures, found[NO_RECORDING])
        print_counters(fleet)


if __name__ == "__main__":
    main()
