"""The commands of ``gatebank capture``; each command is implemented in the module of the same name."""

# A command imports the modules that it needs when it runs; gatebank/cli/__init__.py has the reasons.

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

REQUIRED_LIBRARIES = ("dpkt", "hdrh", "msgspec", "starlark")  # Installed by the extra gatebank[capture].

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Show, check, cut, compare and replay recorded traffic. These commands record nothing.",
)


@app.callback()
def require_libraries() -> None:
    """End with status 2 if libraries of this command group are missing; the service does not need them."""
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
    """Print the exchanges of a capture, one line per request and its reply."""
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
    """Count the contents of a capture, and the parts that could not be read.

    The exit status is 1 if any part could not be read.
    """
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
    b: Annotated[Path, typer.Argument(help="The capture file to compare it with.")],
    *,
    filters: CommonFilterOptions,
    as_json: AsJson = False,
) -> None:
    """Match the exchanges of two captures, and print differing results, unmatched exchanges and latencies."""
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

    Idempotent requests may be sent to any target in the operators' file. Other requests are sent only once,
    and only to a rehearsal target.
    """
    from gatebank.cli.capture import replay, source

    selection = source.build_filter(filters, begin, until, end_option="--until")
    replay.run(source.CaptureSource([file], servers), selection, options, as_json)


@command(app)
def ledger(
    folder: Annotated[Path, typer.Argument(help="The ledger folder of a replay.")],
    as_json: AsJson = False,
) -> None:
    """Print the number of requests in a replay's ledger, and the requests whose result is unknown."""
    from gatebank.cli.capture import ledger

    ledger.run(folder, as_json)
