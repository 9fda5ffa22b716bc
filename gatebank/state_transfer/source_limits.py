"""How many receivers a source serves, how fast, and when it refuses. No I/O: the time is an argument.

A source's clients come first: it serves so many receivers at once, so many new ones a second and so many
bytes a second, and none while its own event loop runs late. A receiver that is refused is told when to come
back, with jitter, so that forty that start together do not come back together.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

# Seconds that the event loop lately ran late, beyond which the process has no time to give.
MAX_LOOP_LAG = 0.05
# Seconds that the shortest wait of a refused receiver has, before jitter.
MIN_RETRY_AFTER = 0.1
# Jitter: a wait is multiplied by a number drawn evenly from here.
JITTER = (0.5, 1.5)
# Factor by which the count of waiting receivers fades in a second.
WAITING_DECAY = 0.5


@dataclass(slots=True, frozen=True)
class SourceLimits:
    """What a source gives.

    Attributes:
        max_receivers: served at the same time.
        receivers_per_second: new ones, on average; as many may come at once.
        bytes_per_second: to all of them together.
    """

    max_receivers: int = 4
    receivers_per_second: float = 8.0
    bytes_per_second: float = 4e6


class SourceLimiter:
    """Admits receivers to one source within its limits.

    >>> limiter = SourceLimiter(SourceLimits(max_receivers=2, receivers_per_second=3), seed=7)
    >>> [limiter.admit(1.0, 0.0) is None for _ in range(3)]
    [True, True, False]
    >>> limiter.release()
    >>> limiter.admit(1.1, loop_lag=0.0), limiter.admit(9.0, loop_lag=1.0) is None
    (None, False)

    Attributes:
        completed: transfers that were sent whole.
        refused: receivers that were told to come back.
    """

    def __init__(self, limits: SourceLimits, seed: int) -> None:
        self.limits = limits
        self.random = Random(seed)
        self.active = 0
        self.completed = 0
        self.refused = 0
        # A token bucket of new receivers.
        self.tokens = limits.receivers_per_second
        self.tokens_at = 0.0
        # Receivers that were refused lately, and so are waiting.
        self.waiting = 0.0
        self.waiting_at = 0.0
        # When the bytes that were let through so far have had their time.
        self.bytes_free_at = 0.0

    def admit(self, now: float, loop_lag: float) -> float | None:
        """Returns None if a receiver is served now, else seconds until it may come back.

        Args:
            now: seconds of any steady clock.
            loop_lag: seconds that this process lately came late to its events.
        """
        limits = self.limits
        refill = (now - self.tokens_at) * limits.receivers_per_second
        self.tokens = min(max(1.0, limits.receivers_per_second), self.tokens + refill)
        self.tokens_at = now
        if self.active < limits.max_receivers and self.tokens >= 1.0 and loop_lag < MAX_LOOP_LAG:
            self.tokens -= 1.0
            self.active += 1
            return None
        self.refused += 1
        # Each of those that wait comes back when it may be its turn.
        self.waiting = self.waiting * WAITING_DECAY ** (now - self.waiting_at) + 1.0
        self.waiting_at = now
        wait = MIN_RETRY_AFTER + self.waiting / limits.receivers_per_second
        return wait * self.random.uniform(*JITTER)

    def send_delay(self, now: float, size: int) -> float:
        """Counts bytes that are about to be sent, and returns the seconds to wait before."""
        delay = max(0.0, self.bytes_free_at - now)
        self.bytes_free_at = max(now, self.bytes_free_at) + size / self.limits.bytes_per_second
        return delay

    def release(self, completed: bool = True) -> None:
        """Ends the transfer to an admitted receiver."""
        self.active -= 1
        self.completed += completed
