"""The command line of ``gatebank capture``; the work of each command is in a module of its name."""

# A command imports what it needs when it runs, see gatebank/cli/__init__.py

from __future__ import annotations

import importlib.util
from pathlib import Path
from typing import Annotated

import typer

from gatebank.cli.capture.options import (
    CaptureFile,
    CaptureFiles,
    CommonFilterOptions,
    FilterOptions,
    ReadingLimitOptions,
    ReplayOptions,
    ServerOptions,
    TimeRangeOptions,
)
from gatebank.cli.options import AsJson, command
from gatebank.cli.terminal import fail

REQUIRED_LIBRARIES = ("dpkt", "hdrh", "msgspec", "starlark")  # of the extra gatebank[capture]

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Show, check, cut, compare and replay recorded traffic. It records nothing itself.",
)


@app.callback()
def require_libraries() -> None:
    """End with status 2 if the libraries of this group, which the service does without, are missing."""
    missing = [library for library in REQUIRED_LIBRARIES if importlib.util.find_spec(library) is None]
    if missing:
        fail(f"capture needs the extra gatebank[capture]; missing: {', '.join(missing)}")


@command(app)
def show(
    files: CaptureFiles,
    *,
    times: TimeRangeOptions,
    filters: FilterOptions,
    servers: ServerOptions,
    limits: ReadingLimitOptions,
    as_json: AsJson = False,
    parquet: Annotated[
        Path | None, typer.Option(help="Write a Parquet file instead of printing rows.")
    ] = None,
) -> None:
    """Print the exchanges of a capture: one line for each request and its reply."""
    from gatebank.cli.capture import show, source

    selection = source.build_filter(filters, times.begin, times.end)
    show.run(source.CaptureSource(files, servers, limits), selection, as_json, parquet)


@command(app)
def check(
    files: CaptureFiles,
    *,
    servers: ServerOptions,
    limits: ReadingLimitOptions,
    as_json: AsJson = False,
) -> None:
    """Count what a capture holds, and what could not be read and why; status 1 if there is any of that."""
    from gatebank.cli.capture import check, source

    check.run(source.CaptureSource(files, servers, limits), as_json)


@command(app)
def cut(
    file: CaptureFile,
    out: Annotated[Path, typer.Argument(help="The pcapng file to write.")],
    *,
    times: TimeRangeOptions,
    filters: FilterOptions,
    servers: ServerOptions,
    whole_streams: Annotated[bool, typer.Option(help="Keep all packets of the chosen connections.")] = False,
) -> None:
    """Write the packets of the chosen exchanges to a new capture file."""
    from gatebank.cli.capture import cut, source

    selection = source.build_filter(filters, times.begin, times.end)
    cut.run(source.CaptureSource([file], servers), selection, out, whole_streams)


@command(app)
def compare(
    a: Annotated[Path, typer.Argument(help="A capture file.")],
    b: Annotated[Path, typer.Argument(help="The capture file that it is compared with.")],
    *,
    filters: CommonFilterOptions,
    as_json: AsJson = False,
) -> None:
    """Match the exchanges of two captures: results that differ, exchanges in one only, and latencies."""
    from gatebank.cli.capture import compare, source

    compare.run(source.CaptureSource([a]), source.CaptureSource([b]), source.build_filter(filters), as_json)


@command(app)
def replay(
    file: CaptureFile,
    *,
    options: ReplayOptions,
    filters: FilterOptions,
    servers: ServerOptions,
    as_json: AsJson = False,
    begin: Annotated[
        str | None,
        typer.Option("--from", help="Only requests sent at or after this: Unix time, or date and time."),
    ] = None,
    until: Annotated[str | None, typer.Option("--until", help="Only requests sent before this.")] = None,
) -> None:
    """Send recorded requests again.

    Idempotent requests go to any target that the operators' file names; all others go once, and only to a
    rehearsal target.
    """
    from gatebank.cli.capture import replay, source

    selection = source.build_filter(filters, begin, until, end_option="--until")
    replay.run(source.CaptureSource([file], servers), selection, options, as_json)


@command(app)
def ledger(
    folder: Annotated[Path, typer.Argument(help="The ledger folder of a replay.")],
    as_json: AsJson = False,
) -> None:
    """Print what a replay's ledger holds: how many requests were replayed, and which have no known result."""
    from gatebank.cli.capture import ledger

    ledger.run(folder, as_json)
