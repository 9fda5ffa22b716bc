"""Turns of the event loop for work that many connections have at once.

A connection waits for its turn before each unit of such work, for instance the handling of a command. All of
them share a bounded number of units in each turn of the loop, so that neither their number nor the cost of
their work makes the turn long for the others.
"""

from __future__ import annotations

import asyncio
from collections import deque


class WorkTurns:
    """Grants units of work to the connections that wait, first come, first served.

    Args:
        loop: The event loop whose turns are shared.
        units_per_turn: Units that all connections together get in each turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, units_per_turn: int) -> None:
        self.loop = loop
        self.units_per_turn = units_per_turn
        self.waiting: deque[asyncio.Future[int]] = deque()
        self.grant_handle: asyncio.Handle | None = None

    async def wait(self) -> int:
        """Wait for a turn; return the number of units that may be done in it, at least 1."""
        turn: asyncio.Future[int] = self.loop.create_future()
        self.waiting.append(turn)
        if not self.grant_handle:
            self.grant_handle = self.loop.call_soon(self.grant)
        return await turn

    def grant(self) -> None:
        """Grant the units of one turn of the loop."""
        left = self.units_per_turn
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
