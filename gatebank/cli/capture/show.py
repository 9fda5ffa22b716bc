"""``gatebank capture show``: prints the chosen exchanges as a table or JSON, or writes a Parquet file."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson
import typer

from gatebank.capture import records, table
from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.records import Exchange
from gatebank.cli.capture.source import CaptureSource
from gatebank.cli.terminal import INCOMPLETE_STATUS, CommandLineError, end_cleanly, warn_all

PARQUET_BATCH_ROWS = 10_000  # Number of rows that are collected in memory and written together.


def run(source: CaptureSource, selection: ExchangeFilter, as_json: bool, parquet: Path | None) -> None:
    """Print the chosen exchanges, or write them to a Parquet file.

    Raises:
        CommandLineError: A file cannot be read or written.
        typer.Exit: With status 1 if a capture could not be read to its end.
    """
    rows = CountedExchanges(source, selection)
    with end_cleanly(lambda: f"{rows.count} exchanges"):
        if parquet:
            write_parquet(rows, parquet)
            print(f"{parquet}: {rows.count} exchanges")
        else:
            print_rows(rows, as_json)
    warn_all(source.incomplete)
    if source.incomplete:
        raise typer.Exit(INCOMPLETE_STATUS)


class CountedExchanges:
    """The chosen exchanges of a capture, counted while they are read.

    Attributes:
        source: The capture.
        selection: Filter of the exchanges.
        count: Number of exchanges that were yielded and processed.
    """

    def __init__(self, source: CaptureSource, selection: ExchangeFilter) -> None:
        """Prepare the iteration; no file is read yet."""
        self.source = source
        self.selection = selection
        self.count = 0

    def iterate(self, progress: bool) -> Iterator[Exchange]:
        """Yield the chosen exchanges; ``progress`` shows a progress bar on a terminal."""
        for exchange in self.source.exchanges(progress):
            if self.selection(exchange):
                yield exchange
                self.count += 1


def print_rows(rows: CountedExchanges, as_json: bool) -> None:
    """Print one line per exchange, as JSON or as a table with a heading."""
    if not as_json:
        print(table.table_heading(), flush=True)
    format_row: Callable[[Exchange], bytes] = json_row if as_json else table_row
    output = sys.stdout.buffer
    # A progress bar would overwrite rows that are printed to the same terminal.
    for exchange in rows.iterate(progress=not sys.stdout.isatty()):
        output.write(format_row(exchange) + b"\n")
    output.flush()


def json_row(exchange: Exchange) -> bytes:
    """Return an exchange as a JSON object."""
    return orjson.dumps(exchange.to_row())


def table_row(exchange: Exchange) -> bytes:
    """Return an exchange as a line of the table."""
    return table.table_row(exchange).encode()


def write_parquet(rows: CountedExchanges, path: Path) -> None:
    """Write the same rows as ``--json`` to a Parquet file; the file appears only when it is complete.

    Raises:
        CommandLineError: The library is missing, or the file cannot be written.
    """
    try:
        import pyarrow  # Installed by the extra gatebank[parquet].
        import pyarrow.parquet
    except ImportError as error:
        raise CommandLineError("--parquet needs the extra gatebank[parquet]") from error
    types = dict.fromkeys(records.KEYS, pyarrow.string())
    types |= {"time_limit_ms": pyarrow.float64(), "body_bytes": pyarrow.int64(), "whole": pyarrow.bool_()}
    schema = pyarrow.schema(list(types.items()))
    partial = path.with_name(path.name + ".part")
    try:
        with pyarrow.parquet.ParquetWriter(partial, schema, compression="zstd") as writer:
            for batch in batches(rows.iterate(progress=True)):
                writer.write_table(pyarrow.Table.from_pylist(batch, schema))
        partial.replace(path)
    except OSError as error:
        raise CommandLineError(error.strerror or error, path) from error
    finally:
        partial.unlink(missing_ok=True)


def batches(exchanges: Iterator[Exchange]) -> Iterator[list[dict[str, Any]]]:
    """Yield the rows of the exchanges in batches of PARQUET_BATCH_ROWS."""
    batch: list[dict[str, Any]] = []
    for exchange in exchanges:
        batch.append(exchange.to_row())
        if len(batch) >= PARQUET_BATCH_ROWS:
            yield batch
            batch = []
    if batch:
        yield batch
