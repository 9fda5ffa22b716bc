"""``gatebank capture check``: counts the contents of a capture and the parts that could not be read."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Collection, Mapping

import orjson
import typer

from gatebank.capture.reading import CaptureReader
from gatebank.capture.terminal import printable
from gatebank.capture.timestamps import utc_time
from gatebank.cli.capture.source import CaptureSource
from gatebank.cli.terminal import INCOMPLETE_STATUS, end_cleanly

Counts = Mapping[str, int | str]  # Counts by name; the reason why the reading ended early is a string.


def run(source: CaptureSource, as_json: bool) -> None:
    """Read all files and print the counts.

    Raises:
        CommandLineError: A file cannot be read, or the only file is not a capture.
        typer.Exit: Status 1 if anything could not be read.
    """
    with end_cleanly(lambda: f"{source.reading.packets.packet_count} packets"):
        counts = count(source)
        trouble = source.reading.problem_counts()
        if as_json:
            print_json(counts, trouble, source.incomplete)
        else:
            print_text(counts, trouble, source)
    if trouble or source.incomplete:
        raise typer.Exit(INCOMPLETE_STATUS)


def count(source: CaptureSource) -> Counts:
    """Read all files and return the counts of the reader, and the number of exchanges by side and result."""
    results: Counter[str] = Counter()
    for exchange in source.exchanges():
        results[f"{exchange.side}_{exchange.ended}"] += 1
    by_result = {f"exchanges_{name}": number for name, number in sorted(results.items())}
    return source.reading.counts() | by_result


def print_json(counts: Counts, trouble: Counts, incomplete: list[str]) -> None:
    """Print one JSON object."""
    problems: dict[str, object] = dict(trouble)
    if incomplete:
        problems["spoilt"] = incomplete
    sys.stdout.buffer.write(orjson.dumps({"counts": counts, "trouble": problems}) + b"\n")


def print_text(counts: Counts, trouble: Collection[str], source: CaptureSource) -> None:
    """Print the counts that are not zero, and mark counts of data that could not be read."""
    print_time_span(source.reading)
    for name, number in counts.items():
        if number and name != "spoilt":
            mark = "  <" if name in trouble else ""
            print(f"{number:>14} {name.replace('_', ' ')}{mark}")
    for line in source.incomplete:
        print(f"not read to its end: {printable(line)}")
    if trouble:
        print("marked <: could not be read, or was given up")


def print_time_span(reading: CaptureReader) -> None:
    """Print the times of the first and the last packet, if the capture has packets."""
    first = reading.first_at
    last = reading.last_at
    if first:
        print(f"from {utc_time(first)} to {utc_time(last)}, {(last - first) / 1e9:.3f} s")
