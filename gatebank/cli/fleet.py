"""``gatebank fleet counts``: event counts of all instances of a fleet over time, taken from their logs."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from gatebank.cli.fleet_logs import COUNTERS, FleetCounts, log_files, read_logs
from gatebank.cli.options import AsJson, command
from gatebank.cli.terminal import CommandLineError

COLUMN_WIDTH = 7
DEFAULT_ROW_SECONDS = 5

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Add up the counters in the logs of all instances of a fleet.",
)


@command(app)
def counts(
    folder: Annotated[Path, typer.Argument(help="A folder with one NAME.log per instance.")],
    every: Annotated[int, typer.Option(min=1, help="Seconds per row.")] = DEFAULT_ROW_SECONDS,
    as_json: AsJson = False,
) -> None:
    """Print the counts of all instances together, by time since the first count.

    An instance logs its counters every 10 s, or every second with `serve --log-level debug`. Counts between
    two such log lines are distributed evenly over the time between them.
    """
    paths = log_files(folder)
    if not paths:
        raise CommandLineError("no folder with NAME.log files", folder)
    fleet_counts = read_logs(paths)
    if as_json:
        print_json(fleet_counts, every)
    else:
        print_table(fleet_counts, every)


def nonzero_counters(rows: dict[int, Counter[str]]) -> list[str]:
    """Return the names of the counters that are not zero in every row."""
    return [name for name in COUNTERS if any(row[name] for row in rows.values())]


def print_json(fleet_counts: FleetCounts, row_seconds: int) -> None:
    """Print one JSON object per row."""
    rows = fleet_counts.group_by_time(row_seconds)
    names = nonzero_counters(rows)
    for second, row in rows.items():
        typer.echo(json.dumps({"second": second, **{name: row[name] for name in names}}))


def print_table(fleet_counts: FleetCounts, column_seconds: int) -> None:
    """Print a table with one line per counter and one column per period of ``column_seconds``."""
    rows = fleet_counts.group_by_time(column_seconds)
    names = nonzero_counters(rows)
    typer.echo(
        f"{fleet_counts.instances} marshals, {fleet_counts.starts} starts,"
        f" {fleet_counts.bad_lines} lines spoilt"
    )
    width = max(map(len, names), default=0)
    heading = "".join(f"{second:>{COLUMN_WIDTH}}" for second in rows)
    typer.echo(" " * width + heading + "all".rjust(COLUMN_WIDTH))
    for name in names:
        values = [row[name] for row in rows.values()]
        columns = "".join(f"{value:>{COLUMN_WIDTH}}" for value in [*values, sum(values)])
        typer.echo(f"{name:<{width}}{columns}")
