"""Prints the report of a replay, and makes its exit status."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any

import orjson
import typer

from gatebank.capture.terminal import printable
from gatebank.cli.capture.compare import quantile_line
from gatebank.cli.terminal import INCOMPLETE_STATUS, INTERRUPTED_STATUS, warn
from gatebank.replay import report as replay_report

MAX_LISTED = 50  # requests named to people that were withheld or have no known result; --json has more
ALWAYS_SHOWN = ("read", "offered")  # also where they are zero
REASONS = {"withheld": "withheld_why", "not_offered": "not_offered_why"}
OTHER_COUNTS = ("left_out_other_side", "not_whole", "out_of_order", "asked_again", "left_unsure_before")
LATENCIES = ("latency_ms", "late_ms")
ERRORS = ("reader_trouble", "ledger_trouble")
Report = Mapping[str, Any]  # by the names that --json prints


def print_report(report: Report, as_json: bool) -> None:
    """Print the report, then say on standard error what went wrong.

    Raises:
        typer.Exit: Status 130 after an interrupt, 1 if the replay ended early otherwise, if a request has no
            known result, or if the capture or the ledger had an error.
    """
    if as_json:
        sys.stdout.buffer.write(orjson.dumps(report) + b"\n")
    else:
        print_counts(report)
        for name in LATENCIES:
            print(quantile_line(name.removesuffix("_ms"), report[name]))
        print_listed(report["listed"])
    sys.stdout.flush()
    if report["stopped"]:
        warn(f"ended early: {report['stopped']}")
        raise typer.Exit(INTERRUPTED_STATUS if report["stopped"] == "interrupted" else INCOMPLETE_STATUS)
    errors = [report[name] for name in ERRORS if report[name]]
    if report["unsure"] or errors:
        for error in errors:
            warn(error)
        raise typer.Exit(INCOMPLETE_STATUS)


def print_counts(report: Report) -> None:
    """Print what became of the requests, why some were not sent, and what was left out."""
    for name in replay_report.ENDS:
        if report[name] or name in ALWAYS_SHOWN:
            print_count(report[name], name)
    for name, reasons in REASONS.items():
        for reason, number in report[reasons].items():
            print_count(number, f"{name}: {reason}")
    for name in OTHER_COUNTS:
        if report[name]:
            print_count(report[name], name)


def print_count(number: int, name: str) -> None:
    """Print one line of the table."""
    print(f"{number:>10} {name.replace('_', ' ')}")


def print_listed(rows: list[dict[str, Any]]) -> None:
    """Print a line for each request that was withheld or has no known result, up to MAX_LISTED."""
    for row in rows[:MAX_LISTED]:
        request = " ".join(printable(row[name], 40) for name in ("effects", "workload", "key", "id"))
        print(f"{row['what']} ({row['why'].replace('_', ' ')}): {request}")
    if len(rows) > MAX_LISTED:
        print(f"and {len(rows) - MAX_LISTED} more; --json lists them")
