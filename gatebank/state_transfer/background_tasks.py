"""Ownership of the background tasks of state transfer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from gatebank.proxy.log import log_kv


class BackgroundTasks:
    """A set of running tasks that can be cancelled together; ``len`` returns the number of running tasks.

    In an `asyncio.TaskGroup`, a task that fails would cancel the other tasks. In this class, a failing task
    ends alone: a fault in one transfer affects neither other transfers nor the service.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self.tasks)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task until the coroutine ends or `cancel` is called."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Removes an ended task, and logs its exception, which is a bug: tasks handle expected errors."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log_kv("learning_fault", logging.ERROR, why=repr(error))

    def cancel(self) -> None:
        """Cancels all tasks; the tasks end in the next iterations of the event loop."""
        for task in list(self.tasks):
            task.cancel()
