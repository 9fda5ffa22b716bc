"""``gatebank fleet counts``: what all instances of a fleet did, second by second, from their logs."""

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
    help="Add up over a fleet what the logs of its instances count.",
)


@command(app)
def counts(
    folder: Annotated[Path, typer.Argument(help="A folder with one NAME.log for each instance.")],
    every: Annotated[int, typer.Option(min=1, help="Seconds to a row.")] = DEFAULT_ROW_SECONDS,
    as_json: AsJson = False,
) -> None:
    """Print what the instances counted together, by time since the first count.

    Lines with counters come every 10 s, every second with `serve --log-level debug`; what was counted between
    two of them is spread evenly.
    """
    paths = log_files(folder)
    if not paths:
        raise CommandLineError("no folder with NAME.log files", folder)
    found = read_logs(paths)
    if as_json:
        print_json(found, every)
    else:
        print_table(found, every)


def shown_names(rows: dict[int, Counter[str]]) -> list[str]:
    """Return the counters that are not zero everywhere."""
    return [name for name in COUNTERS if any(row[name] for row in rows.values())]


def print_json(found: FleetCounts, every: int) -> None:
    """Print one JSON object for each row."""
    rows = found.group_by_time(every)
    names = shown_names(rows)
    for second, row in rows.items():
        typer.echo(json.dumps({"second": second, **{name: row[name] for name in names}}))


def print_table(found: FleetCounts, every: int) -> None:
    """Print a table with a line for each counter and a column for each row of time."""
    rows = found.group_by_time(every)
    names = shown_names(rows)
    typer.echo(f"{found.instances} marshals, {found.starts} starts, {found.bad_lines} lines spoilt")
    width = max(map(len, names), default=0)
    heading = "".join(f"{second:>{COLUMN_WIDTH}}" for second in rows)
    typer.echo(" " * width + heading + "all".rjust(COLUMN_WIDTH))
    for name in names:
        values = [row[name] for row in rows.values()]
        figures = "".join(f"{value:>{COLUMN_WIDTH}}" for value in [*values, sum(values)])
        typer.echo(f"{name:<{width}}{figures}")
