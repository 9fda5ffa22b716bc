"""Start times of endpoints on the instance's clock, which does not step as the wall clock may.

Discovery tells when an endpoint's process started by the wall clock. If that clock steps, by an hour say, an
endpoint that has just started would look warmed up, or as if it started in the future.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Container
from typing import NamedTuple

MIN_STEP_S = 1.0  # Smaller differences between the clocks are slewing and rounding, not steps.
# Time for which a change of the list may be on its way to this instance.
MAX_NEWS_DELAY_S = 10.0


class StartTime(NamedTuple):
    """A start time as it was listed, by the wall clock, and on the instance's clock; both in seconds."""

    listed: float
    started: float


class StartTimes:
    """Converts listed start times once for each process, and checks them against what was seen.

    Args:
        clock: The instance's clock.
        wall_clock: Returns the system's Unix time in seconds.

    Attributes:
        last_listing_at: Time of the clock at which the list was last received; infinity before that.
    """

    def __init__(self, clock: Callable[[], float], wall_clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.rows: dict[str, StartTime] = {}
        self.last_listing_at = math.inf

    def convert(self, name: str, listed: float | None) -> float | None:
        """Return a start time on the instance's clock.

        Without a step of the wall clock, the result is the listed time.

        Args:
            name: The endpoint's name.
            listed: The listed start time; None for long ago.
        """
        if listed is None:
            self.rows.pop(name, None)
            return None
        row = self.rows.get(name)
        if row is None or row.listed != listed:
            row = self.rows[name] = StartTime(listed, self.first_seen(listed))
        return row.started

    def first_seen(self, listed: float) -> float:
        """Return the start time, on the instance's clock, of a process that is listed for the first time."""
        now = self.clock()
        step = self.wall_clock() - now
        started = listed if abs(step) < MIN_STEP_S else listed - step
        if started > now + MIN_STEP_S:
            return now
        # The process was not listed when the list was last received.
        if started < self.last_listing_at - MAX_NEWS_DELAY_S < math.inf:
            return self.last_listing_at
        return started

    def on_listing(self) -> None:
        """Record that the list is complete as of now, as discovery has answered."""
        self.last_listing_at = self.clock()

    def retain(self, names: Container[str]) -> None:
        """Forget the endpoints that are not in ``names``."""
        for name in [name for name in self.rows if name not in names]:
            del self.rows[name]
