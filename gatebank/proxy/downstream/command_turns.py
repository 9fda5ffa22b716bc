"""Turns of the event loop for the clients that have more commands waiting.

A client that sends one small command and waits for its answer is served as soon as its bytes are read. All
others share a bounded number of commands in each turn of the loop, so that neither their number nor the cost
of their commands makes the turn long for the others.
"""

from __future__ import annotations

import asyncio
from collections import deque

from gatebank.proxy.downstream import limits


class CommandTurns:
    """Grants commands to the connections that wait, first come, first served.

    Args:
        loop: The event loop whose turns are shared.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[asyncio.Future[int]] = deque()
        self.grant_handle: asyncio.Handle | None = None

    async def wait(self) -> int:
        """Wait for a turn; return the number of commands that may be handled in it, at least 1."""
        turn: asyncio.Future[int] = self.loop.create_future()
        self.waiting.append(turn)
        if not self.grant_handle:
            self.grant_handle = self.loop.call_soon(self.grant)
        return await turn

    def grant(self) -> None:
        """Grant the commands of one turn of the loop."""
        left = limits.COMMANDS_PER_TURN
        share = max(1, left // len(self.waiting))
        while left >= share and self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():  # The connection has not been closed meanwhile.
                turn.set_result(share)
                left -= share
        self.grant_handle = self.loop.call_soon(self.grant) if self.waiting else None

    def close(self) -> None:
        """Grant no further turns."""
        if self.grant_handle:
            self.grant_handle.cancel()
