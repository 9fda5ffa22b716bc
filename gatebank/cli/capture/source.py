"""Reads the capture files of a command in order, as if they were one capture."""

from __future__ import annotations

import sys
from collections.abc import Collection, Iterator
from pathlib import Path
from typing import BinaryIO

from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.reading import CaptureReader
from gatebank.capture.records import OUTCOME_VALUES, SIDES, Exchange
from gatebank.capture.timestamps import parse_time
from gatebank.cli.capture.options import (
    CommonFilterOptions,
    FilterOptions,
    ReadingLimitOptions,
    ServerOptions,
)
from gatebank.cli.terminal import CommandLineError, byte_progress

READ_BYTES = 1 << 18  # Size of one read; larger reads were no faster.
STANDARD_INPUT = "-"


def build_filter(
    options: CommonFilterOptions,
    begin: str | None = None,
    end: str | None = None,
    end_option: str = "--to",
) -> ExchangeFilter:
    """Build the exchange filter from options of the command line.

    Args:
        options: The filter options; an absent option excludes no exchange.
        begin: Start of the time range (included), as text from the command line.
        end: End of the time range (excluded), as text from the command line.
        end_option: Name of the option for ``end``, used in error messages.

    Raises:
        CommandLineError: An option has an invalid value.
    """
    extended_options = options if isinstance(options, FilterOptions) else FilterOptions()
    check_choices("--ended", extended_options.ended, OUTCOME_VALUES)
    check_choices("--side", options.side, SIDES)
    for port in extended_options.port or ():
        if not 0 < port < 65536:
            raise CommandLineError(f"{port} is not a port", "--port")
    return ExchangeFilter(
        begin=parse_time_option("--from", begin),
        end=parse_time_option(end_option, end),
        request_class=optional_frozenset(options.workload),
        tenant=optional_frozenset(options.customer),
        key=optional_frozenset(extended_options.key),
        id=optional_frozenset(extended_options.id_),
        ended=optional_frozenset(extended_options.ended),
        side=optional_frozenset(options.side),
        port=frozenset(extended_options.port) if extended_options.port else None,
    )


def optional_frozenset(values: list[str] | None) -> frozenset[str] | None:
    """Return the values of an option as a set for the filter; None if the option is absent or empty."""
    return frozenset(values) if values else None


def check_choices(option: str, values: list[str] | None, allowed: Collection[str]) -> None:
    """Raise CommandLineError if a value is not allowed."""
    unknown = sorted(set(values or ()) - set(allowed))
    if unknown:
        raise CommandLineError(f"{unknown[0]!r} is not known; allowed are {', '.join(allowed)}", option)


def parse_time_option(option: str, text: str | None) -> int | None:
    """Parse a time and return it as Unix time in ns, or None if the text is None.

    Raises:
        CommandLineError: The text is not a time.
    """
    if text is None:
        return None
    try:
        return parse_time(text)
    except ValueError as error:
        raise CommandLineError(error, option) from error


class CaptureSource:
    """Capture files that are read in order as one capture.

    Attributes:
        files: The files in order; ``-`` is standard input.
        servers: Roles of servers that the capture may not contain.
        limits: Limits of a reading.
        reading: The latest reading with its counts.
        incomplete: One line of text per file that could not be read to its end.
    """

    def __init__(
        self,
        files: list[Path],
        servers: ServerOptions | None = None,
        limits: ReadingLimitOptions | None = None,
    ) -> None:
        """Prepare the source; no file is opened yet.

        Args:
            files: The files in order; ``-`` is standard input.
            servers: Roles of servers that the capture may not contain.
            limits: Limits of a reading; None for the default limits.
        """
        self.files = files
        self.servers = servers or ServerOptions()
        self.limits = ReadingLimits() if limits is None else reading_limits(limits)
        self.reading = self.new_reading()
        self.incomplete: list[str] = []

    def new_reading(self) -> CaptureReader:
        """Return a new capture reader that has not received any bytes."""
        endpoints = self.servers.endpoints or []
        instances = self.servers.instances or []
        return CaptureReader(self.limits, endpoints=endpoints, instances=instances)

    def require_files(self) -> None:
        """Raise CommandLineError unless all sources are files, which can be read more than once."""
        for path in self.files:
            if str(path) == STANDARD_INPUT or not path.is_file():
                raise CommandLineError("a file is needed here, because it is read more than once", path)

    def read_chunks(self, progress: bool) -> Iterator[tuple[Path, bytes | None]]:
        """Yield the bytes of each file in chunks, and None at the end of each file.

        Args:
            progress: Whether to show a progress bar on a terminal.

        Raises:
            CommandLineError: A file cannot be read.
        """
        with byte_progress(self.files, progress) as advance:
            for path in self.files:
                for chunk in read_file_chunks(path):
                    yield path, chunk
                    advance(len(chunk))
                yield path, None

    def exchanges(self, progress: bool = True) -> Iterator[Exchange]:
        """Read the files from the beginning and yield all exchanges in the order in which they end.

        Args:
            progress: Whether to show a progress bar on a terminal.

        Raises:
            CommandLineError: A file cannot be read, or the only file is not a capture.
        """
        reading = self.new_reading()
        self.reading = reading
        self.incomplete = []
        for path, chunk in self.read_chunks(progress):
            if chunk is None:
                self.end_file(path)
            else:
                yield from reading.feed(chunk)
        yield from reading.end()

    def end_file(self, path: Path) -> None:
        """Record whether a file was read to its end, and prepare the reader for the next file."""
        packets = self.reading.packets
        packets.end()
        if packets.error is not None:
            if not packets.packet_count and len(self.files) == 1:
                raise CommandLineError(packets.error, path)
            self.incomplete.append(f"{path}: {packets.error}")
        if path != self.files[-1]:
            self.reading.start_next_file()


def reading_limits(limits: ReadingLimitOptions) -> ReadingLimits:
    """Return the limits of a reading that the options define."""
    return ReadingLimits(
        max_connections=limits.max_connections,
        max_gap_bytes=limits.max_gap_bytes,
        idle_timeout=limits.idle_timeout,
        max_message_bytes=limits.max_message_bytes,
    )


def read_file_chunks(path: Path) -> Iterator[bytes]:
    """Yield the bytes of a file or of standard input in chunks.

    Raises:
        CommandLineError: The file cannot be opened or read.
    """
    file = open_file(path)
    try:
        while chunk := file.read(READ_BYTES):
            yield chunk
    except OSError as error:
        raise CommandLineError(error.strerror, path) from error
    finally:
        if file is not sys.stdin.buffer:
            file.close()


def open_file(path: Path) -> BinaryIO:
    """Open a file, or return standard input for ``-``.

    Raises:
        CommandLineError: The file cannot be opened.
    """
    if str(path) == STANDARD_INPUT:
        return sys.stdin.buffer
    try:
        return path.open("rb")
    except OSError as error:
        raise CommandLineError(error.strerror, path) from error
