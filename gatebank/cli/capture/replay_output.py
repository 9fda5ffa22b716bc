"""Prints the report of a replay and determines the exit status."""

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

# Maximum number of requests listed in the text output because they were withheld or have no known result;
# --json lists more.
MAX_LISTED = 50
ALWAYS_SHOWN = ("read", "offered")  # Counts that are printed even if they are zero.
REASON_COUNTS = {"withheld": "withheld_why", "not_offered": "not_offered_why"}
OTHER_COUNTS = ("left_out_other_side", "not_whole", "out_of_order", "asked_again", "left_unsure_before")
LATENCY_NAMES = ("latency_ms", "late_ms")
ERROR_NAMES = ("reader_trouble", "ledger_trouble")
Report = Mapping[str, Any]  # Report entries by their names in the --json output.


def print_report(report: Report, as_json: bool) -> None:
    """Print the report, and the errors of the replay on standard error.

    Raises:
        typer.Exit: With status 130 after an interrupt; with status 1 if the replay ended early for another
            reason, a request has no known result, or the capture or the ledger had an error.
    """
    if as_json:
        sys.stdout.buffer.write(orjson.dumps(report) + b"\n")
    else:
        print_counts(report)
        for name in LATENCY_NAMES:
            print(quantile_line(name.removesuffix("_ms"), report[name]))
        print_listed(report["listed"])
    sys.stdout.flush()
    if report["stopped"]:
        warn(f"ended early: {report['stopped']}")
        raise typer.Exit(INTERRUPTED_STATUS if report["stopped"] == "interrupted" else INCOMPLETE_STATUS)
    errors = [report[name] for name in ERROR_NAMES if report[name]]
    if report["unsure"] or errors:
        for error in errors:
            warn(error)
        raise typer.Exit(INCOMPLETE_STATUS)


def print_counts(report: Report) -> None:
    """Print the counts of requests by result, the reasons why requests were not sent, and other counts."""
    for name in replay_report.FIRST_COUNTS:
        if report[name] or name in ALWAYS_SHOWN:
            print_count(report[name], name)
    for name, reasons in REASON_COUNTS.items():
        for reason, number in report[reasons].items():
            print_count(number, f"{name}: {reason}")
    for name in OTHER_COUNTS:
        if report[name]:
            print_count(report[name], name)


def print_count(number: int, name: str) -> None:
    """Print a count and its name as one line of the table."""
    print(f"{number:>10} {name.replace('_', ' ')}")


def print_listed(rows: list[dict[str, Any]]) -> None:
    """Print one line per request that was withheld or has no known result, up to MAX_LISTED lines."""
    for row in rows[:MAX_LISTED]:
        request = " ".join(printable(row[name], 40) for name in ("effects", "workload", "key", "id"))
        print(f"{row['what']} ({row['why'].replace('_', ' ')}): {request}")
    if len(rows) > MAX_LISTED:
        print(f"and {len(rows) - MAX_LISTED} more; --json lists them")
