"""Records a load, reads and replays the recording, and compares the requests that reached the endpoints.

    python -m benchmarks.roundtrip

All processes run on loopback. There are three rates; the last is the highest rate that one instance can
serve. The delay of the replayed requests is the replay's timing error.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.fleet import EndpointCounts, Fleet
from benchmarks.harness import ROOT

SECONDS = 8.0
CONNECTIONS = 40
RATES = (100, 1000, 0)  # Requests a second; 0 is a closed loop, which reaches the highest rate.
MAX_IN_FLIGHT = 20_000  # Limit of the replay's requests in flight, high enough that none is left out.
RECORDING = 'recording(folder = "rec", sides = ["customer"], queue_bytes = 64 << 20)'


def capture_command(*arguments: str) -> str:
    """Run ``gatebank capture`` and return its output."""
    command = [sys.executable, "-m", "gatebank", "capture", *arguments]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True)
    return done.stdout


def replay(fleet: Fleet, file: Path) -> dict[str, Any]:
    """Replay a capture to the second instance of the fleet, and return the report."""
    target = f"{fleet.address(1)}:6379"
    operators_file = fleet.folder / "target.star"
    operators_file.write_text(f'target(address = "{target}", rehearsal = True)')
    options = ["--to", target, "--orders", str(operators_file), "--ledger", str(fleet.folder / "ledger")]
    with fleet.instance(1):
        output = capture_command(
            "replay", str(file), *options, "--json", "--most-in-hand", str(MAX_IN_FLIGHT)
        )
    report: dict[str, Any] = json.loads(output)
    return report


def round_trip(rate: float) -> None:
    """Record, read and replay a load at a rate, and print the counts of each step."""
    with Fleet() as fleet:
        with fleet.instance(0, RECORDING):
            load = fleet.load(0, CONNECTIONS, SECONDS, rate)
        recorded = fleet.counts()
        [file] = (fleet.folder / "rec").glob("*.pcapng")
        rows = [json.loads(line) for line in capture_command("show", "--json", str(file)).splitlines()]
        report = replay(fleet, file)
        replayed = fleet.counts()
    whole = sum(row["whole"] for row in rows)
    executed = sum(replayed.by_class.values())
    delays = " ".join(f"{quantile} {value:.2f}" for quantile, value in report["late_ms"].items())
    print(
        f"{load.rate:,.0f} a second: {len(rows)} recorded, {whole} whole; {report['offered']} offered,"
        f" {report['satisfied']} served, {report['rejected']} rejected; executed {executed},"
        f" {len(replayed.executed_twice)} twice; the same request classes, keys and bodies:"
        f" {contents(recorded) == contents(replayed)}; delays in ms: {delays}"
    )


def contents(counts: EndpointCounts) -> Counter[tuple[str, str, int]]:
    """Return the request class, key and body size of all requests, independent of the endpoint and order."""
    return Counter((key, fields.split(",")[0], size) for key, fields, size in counts.requests)


if __name__ == "__main__":
    for requests_a_second in RATES:
        round_trip(requests_a_second)
