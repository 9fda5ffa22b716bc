"""Capture files as commands read them: opened, fed in pieces, with progress, their faults told plainly."""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, BinaryIO, NoReturn

import typer

from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.reading import CaptureReader
from gatebank.capture.records import ENDINGS, SIDES, Exchange
from gatebank.capture.terminal import printable
from gatebank.capture.timestamps import parse_time

PIECE = 1 << 18  # bytes read at once: larger ones were no faster
INTERRUPTED = 130


def refuse(why: object) -> NoReturn:
    """What can't be done as asked: one line, status 2."""
    typer.echo(f"gatebank: {printable(why)}", err=True)
    raise typer.Exit(2)


def warn(why: object) -> None:
    typer.echo(f"gatebank: {printable(why)}", err=True)


def bounds(streams: int, gap: int, idle: float, message: int) -> ReadingLimits:
    return ReadingLimits(
        max_connections=streams, max_gap_bytes=gap, idle_timeout=idle, max_message_bytes=message
    )


def chosen(
    begin: str | None,
    end: str | None,
    workload: list[str] | None,
    customer: list[str] | None,
    key: list[str] | None,
    id_: list[str] | None,
    ended: list[str] | None,
    side: list[str] | None,
    port: list[int] | None,
) -> ExchangeFilter:
    """The filter that the options ask for."""
    for name, told, known in (("--ended", ended, ENDINGS), ("--side", side, SIDES)):
        if wrong := set(told or ()) - set(known):
            refuse(f"{name}: {sorted(wrong)[0]!r} is not known; allowed are {', '.join(known)}")
    if wrong_port := next((each for each in port or () if not 0 < each < 65536), None):
        refuse(f"--port: {wrong_port} is no port")
    times = []
    for name, told in (("--from", begin), ("its end", end)):
        try:
            times.append(None if told is None else parse_time(told))
        except ValueError as trouble:
            refuse(f"{name}: {trouble}")
    sets = [frozenset(told) if told else None for told in (workload, customer, key, id_, ended, side)]
    return ExchangeFilter(*times, *sets, frozenset(port) if port else None)


class Source:
    """Files read one behind another, as one capture; `reading` has the counts."""

    def __init__(
        self,
        files: list[Path],
        limits: ReadingLimits | None = None,
        nodes: list[str] | None = None,
        marshals: list[str] | None = None,
    ) -> None:
        self.files, self.limits = files, limits or ReadingLimits()
        self.nodes, self.marshals = nodes or [], marshals or []
        self.reading = self.anew()
        self.spoilt: list[str] = []  # a line for each file that could not be read to its end

    def anew(self) -> CaptureReader:
        return CaptureReader(self.limits, endpoints=self.nodes, instances=self.marshals)

    def label(self) -> str:
        return ", ".join(map(str, self.files))

    def seekable(self) -> None:
        """It is to be read twice."""
        for each in self.files:
            if str(each) == "-" or not each.is_file():
                refuse(f"{each}: a file is needed here, as it is read more than once")

    def opened(self, path: Path) -> BinaryIO:
        if str(path) == "-":
            return sys.stdin.buffer
        try:
            return path.open("rb")
        except OSError as trouble:
            refuse(f"{path}: {trouble.strerror}")

    def pieces(self, progress: bool) -> Iterator[tuple[Path, bytes | None]]:
        """Pieces of each file; None at its end."""
        with ticking(self.files, progress) as tick:
            for path in self.files:
                file = self.opened(path)
                try:
                    while piece := file.read(PIECE):
                        yield path, piece
                        tick(len(piece))
                except OSError as trouble:
                    refuse(f"{path}: {trouble.strerror}")
                finally:
                    if file is not sys.stdin.buffer:
                        file.close()
                yield path, None

    def exchanges(self, progress: bool = True) -> Iterator[Exchange]:
        """All exchanges of a fresh reading. What is no capture at all ends the command."""
        reading = self.reading = self.anew()
        self.spoilt = []
        for path, piece in self.pieces(progress):
            if piece is not None:
                yield from reading.feed(piece)
            else:
                self.ended(path)
        yield from reading.end()

    def ended(self, path: Path) -> None:
        """A file is read: the next one's packets go on where it stopped."""
        packets = self.reading.packets
        packets.end()
        if packets.error is not None:
            if not packets.packet_count and len(self.files) == 1:
                refuse(f"{path}: {packets.error}")
            self.spoilt.append(f"{path}: {packets.error}")
        if path != self.files[-1]:
            self.reading.next_file()


@contextlib.contextmanager
def ticking(files: list[Path], wanted: bool) -> Iterator[Callable[[int], Any]]:
    """Progress by bytes on standard error, where that is a terminal and the table is not on it too."""
    if not (wanted and sys.stderr.isatty() and not sys.stdout.isatty()):
        yield lambda size: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, DownloadColumn, Progress, TimeRemainingColumn

    total = sum(each.stat().st_size for each in files if each.is_file()) or None
    columns = (BarColumn(), DownloadColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("reading", total=total)
        yield lambda size: bar.advance(task, size)


@contextlib.contextmanager
def told_if_ended(done: Callable[[], str]) -> Iterator[None]:
    """Output into a pipe that closes, and an interrupt: an end with a line that says what was done."""
    try:
        yield
        sys.stdout.flush()
    except BrokenPipeError:
        # Standard output is gone; the interpreter must not find out once more as it ends.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        warn(f"nobody reads on; ended after {done()}")
        raise typer.Exit(0) from None
    except KeyboardInterrupt:
        warn(f"interrupted after {done()}")
        raise typer.Exit(INTERRUPTED) from None
