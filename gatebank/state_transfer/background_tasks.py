"""One owner for the tasks that run beside the service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from gatebank.proxy.log import log_kv


class BackgroundTasks:
    """Tasks that are forgotten as they end and cancelled together; ``len`` is the number that run.

    In an `asyncio.TaskGroup` a task that fails would end the others. Here it ends alone: a fault in one
    transfer costs neither another one nor the service.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self.tasks)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine until it ends or `cancel` is called."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Forgets a task, and logs an exception: whatever can come is handled in the task itself."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log_kv("learning_fault", logging.ERROR, why=repr(error))

    def cancel(self) -> None:
        """Cancels all tasks; they end in the next turns of the event loop."""
        for task in list(self.tasks):
            task.cancel()
