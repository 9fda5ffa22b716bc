"""Compares the processor time of a request's decisions with another revision's, for several fleet sizes.

    python -m benchmarks.module [REVISION] [--rounds N]

Each revision runs in a separate process behind the simulator's adapter, whose batches are the same in all
revisions; the cost includes the adapter's own. Every request succeeds after 20 ms of simulated time. Runs of
the two revisions alternate. The program prints the medians and the ratio of the present revision to the
other, without a build on trial and with one.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from pathlib import Path

from benchmarks.harness import BASE_REVISION, ROOT, Spread, interleave, other_revision, run_json
from tests.support.recorded_sessions import Session, settings_of

DRIVER = Path(__file__).with_name("module_driver.py")
ADAPTERS = ("gatebank.simulator", "gatebank.adapter")  # Its present name and its name in earlier revisions.
DEFAULT_ROUNDS = 3
WARM_UP_SECONDS = 2.5  # Simulated time, longer than the windows in which the decisions count requests.
MEASURED_SECONDS = 2.0
MAX_MEASURED = 6_000  # Largest number of requests that are measured.
SESSION = Session("cost", seed=1, instances=2, endpoints=0, seconds=0.0, rate=0.0, settings={})


@dataclass(frozen=True, slots=True)
class Size:
    """The load on an instance: requests a second, and the number of endpoints in its endpoint list."""

    rate: int
    endpoints: int


SIZES = (
    Size(100, 4),
    Size(1_000, 4),
    Size(4_000, 4),
    Size(100, 500),
    Size(100, 5_000),
    Size(4_000, 5_000),
)


def adapter_of(root: Path) -> str:
    """Return the name of the module with the adapter's ``Host`` in a source tree."""
    for name in ADAPTERS:
        if root.joinpath(*name.split(".")).is_dir():
            return f"{name}.host"
    raise FileNotFoundError(f"{root}: no simulator adapter")


def request_cost(root: Path, size: Size, trial: bool) -> float:
    """Return the processor time of a request in microseconds, measured in a new process."""
    job = {
        "adapter": adapter_of(root),
        "settings": settings_of(SESSION, 0),
        "nodes": size.endpoints,
        "rate": size.rate,
        "trial": trial,
        "warm_up": int(WARM_UP_SECONDS * size.rate),
        "measured": int(min(MEASURED_SECONDS * size.rate, MAX_MEASURED)),
    }
    return run_json(float, str(DRIVER), root=root, stdin=job)


def compare(other: Path, size: Size, trial: bool, rounds: int) -> str:
    """Return a text with both medians and the ratio of the present revision's cost to the other's."""
    costs: dict[Path, list[float]] = {other: [], ROOT: []}
    for root in interleave(list(costs), rounds):
        costs[root].append(request_cost(root, size, trial))
    theirs = Spread.of(costs[other]).median
    ours = Spread.of(costs[ROOT]).median
    ratio = Spread.of_ratios(costs[ROOT], costs[other])
    return f"{theirs:7.0f} {ours:7.0f} {ratio:.2f}"


def main() -> None:
    """Measure all sizes, and print one line for each size."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("revision", nargs="?", default=BASE_REVISION)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    arguments = parser.parse_args()
    print(f"us a request in {arguments.revision} and at present, and their ratio; without and with a trial")
    with other_revision(arguments.revision) as other:
        for size in SIZES:
            cells = [compare(other, size, trial, arguments.rounds) for trial in (False, True)]
            row = f"{size.rate:>6,} a second, {size.endpoints:>5,} endpoints: "
            print(row + "   ".join(cells), flush=True)


if __name__ == "__main__":
    main()
