"""What commands say to people: messages on standard error, progress, and a clean end when interrupted."""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import NoReturn

import typer

from gatebank.capture.terminal import printable
from gatebank.errors import GatebankError

INCOMPLETE_STATUS = 1  # the command ran, but not all of it was well; standard error says what was not
USAGE_STATUS = 2  # nothing was done; the same as typer's for a wrong option
INTERRUPTED_STATUS = 130  # as shells report SIGINT


class CommandLineError(GatebankError):
    """The command cannot do what it was asked to do.

    Attributes:
        reason: Why not.
        subject: The file or option that is wrong, if it is one.
    """

    def __init__(self, reason: object, subject: object = None) -> None:
        """Keep the facts and make the text from them."""
        self.reason = reason
        self.subject = subject
        super().__init__(str(reason) if subject is None else f"{subject}: {reason}")


def fail(reason: object) -> NoReturn:
    """End the command with one line on standard error and status 2."""
    warn(reason)
    raise typer.Exit(USAGE_STATUS)


def warn(message: object) -> None:
    """Write one line on standard error, without anything that a terminal would obey."""
    typer.echo(f"gatebank: {printable(message)}", err=True)


def warn_all(messages: Iterable[object]) -> None:
    """Write one line on standard error for each message."""
    for message in messages:
        warn(message)


@contextlib.contextmanager
def byte_progress(paths: Iterable[Path], shown: bool) -> Iterator[Callable[[int], None]]:
    """Show on standard error, if it is a terminal, how much of some files has been read.

    Args:
        paths: The files that will be read. The total is unknown if one of them is a pipe.
        shown: False if nothing is to be shown.

    Yields:
        A function to call with the number of bytes that were just read.
    """
    if not (shown and sys.stderr.isatty()):
        yield lambda size: None
        return
    from rich.console import Console  # slow to import, and seldom needed
    from rich.progress import (
        BarColumn,
        DownloadColumn,
        Progress,
        TimeRemainingColumn,
    )

    total = sum(path.stat().st_size for path in paths if path.is_file()) or None
    columns = (BarColumn(), DownloadColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("reading", total=total)
        yield lambda size: progress.advance(task, size)


@contextlib.contextmanager
def end_cleanly(done: Callable[[], str]) -> Iterator[None]:
    """End the command without a traceback if it is interrupted or its output is no longer read.

    Args:
        done: Says what was done so far, such as "12 exchanges".

    Raises:
        typer.Exit: Status 0 if standard output was closed, 130 after an interrupt.
    """
    try:
        yield
        sys.stdout.flush()
    except BrokenPipeError:
        # Otherwise the interpreter would flush the closed pipe as it ends, and complain.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        warn(f"nobody reads on; ended after {done()}")
        raise typer.Exit(0) from None
    except KeyboardInterrupt:
        warn(f"interrupted after {done()}")
        raise typer.Exit(INTERRUPTED_STATUS) from None
