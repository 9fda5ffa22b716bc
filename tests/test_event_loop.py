"""The event loop of the tests reports processes that a test leaves behind.

Guards against a transport that is collected in a later test: `ast.parse` failed there with a SystemError.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Coroutine

import pytest

from tests.support.event_loop import CheckedEventLoop, ProcessLeakError

PIPE = asyncio.subprocess.PIPE


async def start(code: str) -> asyncio.subprocess.Process:
    """Start a Python process whose standard error is a pipe."""
    return await asyncio.create_subprocess_exec(sys.executable, "-c", code, stderr=PIPE)


def run_in_checked_loop(main: Coroutine[None, None, None]) -> None:
    """Run a coroutine in a loop of its own, as pytest runs an asynchronous test."""
    with asyncio.Runner(loop_factory=CheckedEventLoop) as runner:
        runner.run(main)


def test_process_that_is_killed_and_not_waited_for_is_reported() -> None:
    """As in test_floods.py, whose transport was collected in a later test."""

    async def leak() -> None:
        (await start("import time; time.sleep(60)")).kill()

    with pytest.raises(ProcessLeakError, match="not waited for"):
        run_in_checked_loop(leak())


def test_connection_that_is_left_open_is_closed_before_the_loop() -> None:
    """Collected after the loop, its end would be reported, which breaks an `ast.parse` under way."""
    writers = []

    async def leave_open() -> None:
        server = await asyncio.start_server(lambda _, writer: writers.append(writer), "127.0.0.1", 0)
        writers.append((await asyncio.open_connection(*server.sockets[0].getsockname()))[1])
        await asyncio.sleep(0.01)

    run_in_checked_loop(leave_open())
    assert [writer.get_extra_info("socket").fileno() for writer in writers] == [-1, -1]


def test_processes_that_are_waited_for_are_not_reported() -> None:
    """Processes that ended by themselves or were killed, with their pipes read to the end."""

    async def wait() -> None:
        await (await start("")).communicate()
        killed = await start("import time; time.sleep(60)")
        killed.kill()
        await killed.communicate()

    run_in_checked_loop(wait())
