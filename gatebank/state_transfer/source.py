"""Whom a donor teaches, how much at a time, and when it refuses. No I/O: time handed in.

A donor's customers come first: so many learners at once, so many a second, so many bytes a second, and no
new one while its own turns come late. Who is refused is told when to come back, spread by chance, so that
forty that start together do not come back together.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

LATE = 0.05  # s that this process came late to its turns: it has no time to give
SLICE = 0.002  # s of packing between two turns of the loop


@dataclass(slots=True, frozen=True)
class TeachingBounds:
    at_once: int = 4
    a_second: float = 8.0
    bytes_a_second: float = 4e6


class Teaching:
    """
    >>> one = Teaching(TeachingBounds(at_once=2, a_second=3), 7)
    >>> [one.admits(1.0, 0.0) is None for _ in range(3)]
    [True, True, False]
    >>> one.left()
    >>> one.admits(1.1, 0.0), one.admits(9.0, 1.0) is None
    (None, False)
    """

    def __init__(self, bounds: TeachingBounds, seed: int) -> None:
        self.bounds, self.chance = bounds, Random(seed)
        self.now_taught = self.refused = self.taught = 0
        self.tokens, self.at = bounds.a_second, 0.0
        self.waiting, self.refused_at = 0.0, 0.0  # refusals, fading by half a second
        self.free_at = 0.0  # when the bytes given out so far have had their time

    def admits(self, now: float, lag: float) -> float | None:
        """None if it is taught now, else s until it may come back. ``lag``: s this process came late
        lately."""
        self.tokens = min(
            max(1.0, self.bounds.a_second), self.tokens + (now - self.at) * self.bounds.a_second
        )
        self.at = now
        if self.now_taught < self.bounds.at_once and self.tokens >= 1.0 and lag < LATE:
            self.tokens -= 1.0
            self.now_taught += 1
            return None
        self.refused += 1
        # As many as were refused lately are waiting: each comes back when it may be its turn.
        self.waiting = self.waiting * 0.5 ** (now - self.refused_at) + 1.0
        self.refused_at = now
        return (0.1 + self.waiting / self.bounds.a_second) * self.chance.uniform(0.5, 1.5)

    def may_send(self, now: float, size: int) -> float:
        """s to wait before so many bytes go out."""
        wait = max(0.0, self.free_at - now)
        self.free_at = max(now, self.free_at) + size / self.bounds.bytes_a_second
        return wait

    def left(self, whole: bool = True) -> None:
        self.now_taught -= 1
        self.taught += whole
