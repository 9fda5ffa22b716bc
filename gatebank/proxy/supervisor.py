"""Supervision of named tasks that run as long as the instance.

If a task fails, the failure is logged as ``event=fault in=NAME`` and the task's work is restarted after a
short delay. A task must release its own resources before it fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from gatebank.proxy.log import log_fault

RESTART_DELAY_S = 0.2  # Prevents a task that fails immediately each time from using a whole CPU core.

Work = Callable[[], Awaitable[None]]


async def run_forever(name: str, work: Work) -> None:
    """Run ``work`` until it returns; every exception is logged, and ``work`` is then restarted."""
    while True:
        try:
            await work()
        except Exception:
            log_fault(**{"in": name})
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


class Supervisor:
    """Starts and owns supervised tasks; `close` cancels them."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task[None]] = []  # One task for each name.

    def start(self, name: str, work: Work) -> None:
        """Start a task; ``name`` appears in the log lines of its faults."""
        self.tasks.append(asyncio.ensure_future(run_forever(name, work)))

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()
