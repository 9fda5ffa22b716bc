"""Reads the capture files that a command names, in order, as if they were one capture."""

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

READ_BYTES = 1 << 18  # read at once: larger pieces were no faster
STANDARD_INPUT = "-"


def selection(
    options: CommonFilterOptions,
    begin: str | None = None,
    end: str | None = None,
    end_option: str = "--to",
) -> ExchangeFilter:
    """Return the filter that the options ask for.

    Args:
        options: What is chosen; an option that was not given chooses everything.
        begin: The first time that is chosen, as the user wrote it.
        end: The first time that is no longer chosen, as the user wrote it.
        end_option: What the option for ``end`` is called.

    Raises:
        CommandLineError: An option has a value that it cannot have.
    """
    rest = options if isinstance(options, FilterOptions) else FilterOptions()
    check_choices("--ended", rest.ended, OUTCOME_VALUES)
    check_choices("--side", options.side, SIDES)
    for port in rest.port or ():
        if not 0 < port < 65536:
            raise CommandLineError(f"{port} is not a port", "--port")
    return ExchangeFilter(
        begin=parse_time_option("--from", begin),
        end=parse_time_option(end_option, end),
        request_class=chosen(options.workload),
        tenant=chosen(options.customer),
        key=chosen(rest.key),
        id=chosen(rest.id_),
        ended=chosen(rest.ended),
        side=chosen(options.side),
        port=frozenset(rest.port) if rest.port else None,
    )


def chosen(values: list[str] | None) -> frozenset[str] | None:
    """Return the values as a filter wants them: None if all are chosen."""
    return frozenset(values) if values else None


def check_choices(option: str, values: list[str] | None, allowed: Collection[str]) -> None:
    """Raise CommandLineError if one of the values is not allowed."""
    unknown = sorted(set(values or ()) - set(allowed))
    if unknown:
        raise CommandLineError(f"{unknown[0]!r} is not known; allowed are {', '.join(allowed)}", option)


def parse_time_option(option: str, text: str | None) -> int | None:
    """Return a time in ns of Unix time, or None if there is none.

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
    """Capture files, read in order as one capture.

    Attributes:
        reading: The latest reading, with its counts.
        incomplete: One line for each file that could not be read to its end.
    """

    def __init__(
        self,
        files: list[Path],
        servers: ServerOptions | None = None,
        limits: ReadingLimitOptions | None = None,
    ) -> None:
        """Open nothing yet.

        Args:
            files: The files in order; ``-`` is standard input.
            servers: Servers whose kind the capture may not tell.
            limits: What a reading may hold; without them, the usual limits.
        """
        self.files = files
        self.servers = servers or ServerOptions()
        self.limits = ReadingLimits() if limits is None else reading_bounds(limits)
        self.reading = self.new_reading()
        self.incomplete: list[str] = []

    def new_reading(self) -> CaptureReader:
        """Return a reading that has seen nothing yet."""
        endpoints = self.servers.node or []
        instances = self.servers.marshal or []
        return CaptureReader(self.limits, endpoints=endpoints, instances=instances)

    def require_files(self) -> None:
        """Raise CommandLineError unless all can be read more than once."""
        for path in self.files:
            if str(path) == STANDARD_INPUT or not path.is_file():
                raise CommandLineError("a file is needed here, as it is read more than once", path)

    def pieces(self, progress: bool) -> Iterator[tuple[Path, bytes | None]]:
        """Yield the bytes of each file in pieces, and None at its end.

        Args:
            progress: Show on a terminal how much has been read.

        Raises:
            CommandLineError: A file cannot be read.
        """
        with byte_progress(self.files, progress) as advance:
            for path in self.files:
                for piece in file_pieces(path):
                    yield path, piece
                    advance(len(piece))
                yield path, None

    def exchanges(self, progress: bool = True) -> Iterator[Exchange]:
        """Yield all exchanges, in the order of their ends, with a new reading.

        Args:
            progress: Show on a terminal how much has been read.

        Raises:
            CommandLineError: A file cannot be read, or the only file is not a capture.
        """
        reading = self.new_reading()
        self.reading = reading
        self.incomplete = []
        for path, piece in self.pieces(progress):
            if piece is None:
                self.end_file(path)
            else:
                yield from reading.feed(piece)
        yield from reading.end()

    def end_file(self, path: Path) -> None:
        """Note whether a file was read to its end, and let the next file's packets continue the capture."""
        packets = self.reading.packets
        packets.end()
        if packets.error is not None:
            if not packets.packet_count and len(self.files) == 1:
                raise CommandLineError(packets.error, path)
            self.incomplete.append(f"{path}: {packets.error}")
        if path != self.files[-1]:
            self.reading.start_next_file()


def reading_bounds(limits: ReadingLimitOptions) -> ReadingLimits:
    """Return the bounds of a reading that the options ask for."""
    return ReadingLimits(
        max_connections=limits.most_streams,
        max_gap_bytes=limits.most_gap,
        idle_timeout=limits.idle,
        max_message_bytes=limits.most_message,
    )


def file_pieces(path: Path) -> Iterator[bytes]:
    """Yield the bytes of a file or of standard input in pieces.

    Raises:
        CommandLineError: It cannot be opened or read.
    """
    file = open_file(path)
    try:
        while piece := file.read(READ_BYTES):
            yield piece
    except OSError as error:
        raise CommandLineError(error.strerror, path) from error
    finally:
        if file is not sys.stdin.buffer:
            file.close()


def open_file(path: Path) -> BinaryIO:
    """Open a file, or return standard input for ``-``.

    Raises:
        CommandLineError: It cannot be opened.
    """
    if str(path) == STANDARD_INPUT:
        return sys.stdin.buffer
    try:
        return path.open("rb")
    except OSError as error:
        raise CommandLineError(error.strerror, path) from error
