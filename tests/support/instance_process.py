"""A process of the program that a test has started, and what it logs."""

from __future__ import annotations

import asyncio
from pathlib import Path

ROOT = Path(__file__).parents[2]  # of the checkout
TIMEOUT_S = 15.0  # s for anything awaited; only a failing test takes so long


class InstanceProcess:
    """One process of the program; its log lines are read as they come.

    Attributes:
        address: The IP address that it listens on.
        process: The process; its standard error is a pipe.
        lines: What it has logged so far.
        may_read_log: While it is cleared nobody takes the log, and the pipe fills.
        log_reader: The task that reads the log; ends with the process.
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
        """Read the log to its end."""
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            await self.may_read_log.wait()
            async with self.line_added:
                self.lines.append(line.decode())
                self.line_added.notify_all()

    async def wait_for_log(self, *words: str) -> None:
        """Wait until it has logged a line with all of these words.

        Raises:
            TimeoutError: No such line came.
        """

        def has_come() -> bool:
            return any(set(words) <= set(line.split()) for line in self.lines)

        async with self.line_added:
            await asyncio.wait_for(self.line_added.wait_for(has_come), TIMEOUT_S)
