"""Terminal output of commands: messages on standard error, progress bars, and orderly exit on interrupts."""

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

# Exit status of a command that ran, but whose result is incomplete; standard error has the reasons.
INCOMPLETE_STATUS = 1
# Exit status of a command that did nothing; typer uses the same status for invalid options.
USAGE_STATUS = 2
# Exit status after an interrupt; shells report the same status for SIGINT.
INTERRUPTED_STATUS = 130


class CommandLineError(GatebankError):
    """The command cannot be carried out.

    Attributes:
        reason: Description of the error.
        subject: The faulty file or option; None if there is no single one.
    """

    def __init__(self, reason: object, subject: object = None) -> None:
        """Store the reason and the subject, and build the message from them."""
        self.reason = reason
        self.subject = subject
        super().__init__(str(reason) if subject is None else f"{subject}: {reason}")


def fail(reason: object) -> NoReturn:
    """End the command with one line on standard error and status 2."""
    warn(reason)
    raise typer.Exit(USAGE_STATUS)


def warn(message: object) -> None:
    """Write one line to standard error; control characters are replaced to protect the terminal."""
    typer.echo(f"gatebank: {printable(message)}", err=True)


def warn_all(messages: Iterable[object]) -> None:
    """Write each message to standard error as one line."""
    for message in messages:
        warn(message)


@contextlib.contextmanager
def byte_progress(paths: Iterable[Path], is_enabled: bool) -> Iterator[Callable[[int], None]]:
    """Show a progress bar for reading files on standard error, if standard error is a terminal.

    Args:
        paths: The files that will be read. Only regular files count towards the total, which is unknown if
            there are none.
        is_enabled: Whether to show a progress bar.

    Yields:
        A function to call with the number of bytes just read.
    """
    if not (is_enabled and sys.stderr.isatty()):
        yield lambda size: None
        return
    from rich.console import Console  # Imported here because the import is slow and rarely needed.
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
def end_cleanly(describe_progress: Callable[[], str]) -> Iterator[None]:
    """End the command without a traceback if it is interrupted or its standard output is closed.

    Args:
        describe_progress: Returns the amount of work done so far, such as "12 exchanges".

    Raises:
        typer.Exit: With status 0 if standard output was closed, with status 130 after an interrupt.
    """
    try:
        yield
        sys.stdout.flush()
    except BrokenPipeError:
        # Otherwise the interpreter flushes the closed pipe at exit and prints an error message.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        warn(f"standard output was closed; ended after {describe_progress()}")
        raise typer.Exit(0) from None
    except KeyboardInterrupt:
        warn(f"interrupted after {describe_progress()}")
        raise typer.Exit(INTERRUPTED_STATUS) from None
