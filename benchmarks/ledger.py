"""Compares a replay's ledger with shared syncs and with one sync for each entry, on the same disk.

python -m benchmarks.ledger [FOLDER]
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import uvloop

from benchmarks.harness import Spread, interleave
from gatebank.replay.ledger import Ledger

ENTRIES = 2_000
ROUNDS = 5
CONCURRENT = (1, 256)  # Numbers of entries that may wait for a sync at the same time.
NAME_BYTES = 24


@dataclass(frozen=True, slots=True)
class Run:
    """The result of one run: entries a second, and the number of syncs."""

    rate: float
    syncs: int


async def enter_all(folder: Path, concurrent: int) -> Run:
    """Write all entries to a new ledger."""
    ledger = Ledger(folder)
    ledger.open()
    slots = asyncio.Semaphore(concurrent)

    async def enter() -> None:
        async with slots:
            await ledger.enter([os.urandom(NAME_BYTES)])

    start = time.perf_counter()
    await asyncio.gather(*(enter() for _ in range(ENTRIES)))
    took = time.perf_counter() - start
    syncs = ledger.syncs
    await ledger.finish()
    return Run(ENTRIES / took, syncs)


def main() -> None:
    """Measure both cases in interleaved rounds, and print the rates and their ratio."""
    runs: dict[int, list[Run]] = {concurrent: [] for concurrent in CONCURRENT}
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as folder:
        for number, concurrent in enumerate(interleave(CONCURRENT, ROUNDS)):
            runs[concurrent].append(uvloop.run(enter_all(Path(folder) / str(number), concurrent)))
    for concurrent, found in runs.items():
        rate = Spread.of(run.rate for run in found)
        print(f"{concurrent} concurrent: {rate:,.0f} a second, {found[-1].syncs} syncs for {ENTRIES}")
    one, many = ([run.rate for run in found] for found in runs.values())
    print(f"shared syncs: {Spread.of_ratios(many, one):.1f} times one sync for each entry")


if __name__ == "__main__":
    main()
