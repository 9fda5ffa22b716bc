"""Runs a case: a temporary folder, a record, a time limit, and the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from standins.record import Record

TIME_LIMIT_S = 100.0
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be played as it was meant."""


class Stage(NamedTuple):
    """What a case is given.

    Attributes:
        folder: A temporary folder, which is removed at the end.
        record: The record of the run.
        trouble: Whether the disruption is played.
    """

    folder: Path
    record: Record
    trouble: bool


Case = Callable[[Stage], Awaitable[bool]]


def end_usual_clients(clients: list[asyncio.Task[None]]) -> None:
    """End clients that ask until they are ended.

    Raises:
        CannotRunError: A client had ended before, with what it could not go on with.
    """
    for client in clients:
        if client.done():
            client.result()
            raise CannotRunError("a client has ended")
        client.cancel()


async def limited(case: Case, stage: Stage) -> bool:
    """Play a case within the time limit; SIGTERM and SIGINT end it."""
    task = asyncio.ensure_future(case(stage))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await task


def play(case: Case, script: str) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with Record(Path(script).with_name("record.txt")) as record:
        record.note(f"TROUBLE={int(trouble)}")
        status = COULD_NOT_RUN
        try:
            with tempfile.TemporaryDirectory(prefix="case-") as folder:
                is_broken = asyncio.run(limited(case, Stage(Path(folder), record, trouble)))
            status = BROKEN if is_broken else HELD
        except (CannotRunError, OSError, RuntimeError, asyncio.CancelledError) as error:
            record.say(f"the case could not run: {error!r}")
        record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "not run"))
    sys.exit(status)
