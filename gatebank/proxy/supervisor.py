"""Tasks that must not end, each under a name.

The answer to a failure is the same for all: it is logged as ``event=fault in=NAME``, and the task's work is
begun again after a short delay. What a task owns it gives back before it fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from gatebank.proxy.log import log_fault

RESTART_DELAY_S = 0.2  # a fault that comes at once each time must not take the whole core

Work = Callable[[], Awaitable[None]]


async def run_forever(name: str, work: Work) -> None:
    """Run ``work`` until it returns; a boundary that catches all, so that no fault ends a task for good."""
    while True:
        try:
            await work()
        except Exception:
            log_fault(**{"in": name})
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


class Supervisor:
    """Owns the tasks that it starts; `close` cancels them."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task[None]] = []  # as many as there are names

    def start(self, name: str, work: Work) -> None:
        """Begin a task; ``name`` stands in the log line of its faults."""
        self.tasks.append(asyncio.ensure_future(run_forever(name, work)))

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()
