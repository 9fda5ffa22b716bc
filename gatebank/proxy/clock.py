"""Clock of an instance."""

from __future__ import annotations

import time


class Clock:
    """Unix time in seconds that never runs backwards.

    The wall clock is read once at the start; from then on the monotonic clock advances the time.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Return the current time."""
        return self.offset + time.monotonic()
