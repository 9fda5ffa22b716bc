"""The clock of an instance."""

from __future__ import annotations

import time


class Clock:
    """Unix time in seconds that never runs backwards.

    The wall clock's at the start, then the steady one's.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        """The time now."""
        return self.offset + time.monotonic()
