"""A `gatebank serve` process that a test has started, and its log."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

# The root of the checkout.
ROOT = Path(__file__).parents[2]
# Timeout of every wait; only failing tests reach it.
TIMEOUT_S = 15.0


class InstanceProcess:
    """A process of the program, whose log lines are read as soon as they are written.

    Attributes:
        address: The IP address at which the process listens.
        process: The process, whose standard error is a pipe.
        lines: The log lines read so far.
        may_read_log: Cleared to stop reading the log, so that the pipe fills.
        line_added: Notified after each new log line.
        log_reader: The task that reads the log, which ends with the process.
    """

    def __init__(self, address: str, process: asyncio.subprocess.Process) -> None:
        self.address = address
        self.process = process
        self.lines: list[str] = []
        self.line_added = asyncio.Condition()
        self.may_read_log = asyncio.Event()
        self.may_read_log.set()
        self.log_reader = asyncio.create_task(self.read_log())

    async def read_log(self) -> None:
        """Read the log until the process closes it."""
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            await self.may_read_log.wait()
            async with self.line_added:
                self.lines.append(line.decode())
                self.line_added.notify_all()

    async def wait_for_log(self, *words: str) -> None:
        """Wait until the process has logged a line with all of these words.

        Raises:
            TimeoutError: No such line was logged within ``TIMEOUT_S``.
        """

        def was_logged() -> bool:
            return any(set(words) <= set(line.split()) for line in self.lines)

        async with self.line_added:
            await asyncio.wait_for(self.line_added.wait_for(was_logged), TIMEOUT_S)

    async def stop(self) -> None:
        """Kill the process if it still runs, and read its log to the end.

        Otherwise the pipe of the log outlives the test's event loop.
        """
        if self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
        self.may_read_log.set()  # The process can end only once its pipe is read.
        await self.process.wait()
        await self.log_reader
