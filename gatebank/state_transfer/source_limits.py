"""Limits how many receivers a source serves and how fast, and decides refusals. No I/O: time is an argument.

Clients have priority over receivers. A source therefore limits the number of receivers that it serves at the
same time, the rate of new receivers and the bytes per second, and refuses all receivers while its event loop
runs late. A refusal holds the time after which to ask again, with jitter, so that receivers that started
together, for example forty, do not ask again together.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

# Lag of the event loop in seconds from which receivers are refused, because the process is overloaded.
MAX_LOOP_LAG = 0.05
# Shortest retry delay of a refused receiver in seconds, before jitter.
MIN_RETRY_AFTER = 0.1
# Range of the uniformly distributed jitter factor of a retry delay.
JITTER = (0.5, 1.5)
# Factor by which the count of waiting receivers decays per second.
WAITING_DECAY = 0.5


@dataclass(slots=True, frozen=True)
class SourceLimits:
    """The limits of one source.

    Attributes:
        max_receivers: Maximum number of receivers that are served at the same time.
        receivers_per_second: Maximum average rate of new receivers, and the maximum burst.
        bytes_per_second: Maximum rate of bytes to all receivers together.
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
        completed: Number of transfers that were sent completely.
        refused: Number of refusals.
    """

    def __init__(self, limits: SourceLimits, seed: int) -> None:
        self.limits = limits
        self.random = Random(seed)
        self.active = 0
        self.completed = 0
        self.refused = 0
        # Token bucket that limits the rate of new receivers.
        self.tokens = limits.receivers_per_second
        self.tokens_at = 0.0
        # Decaying count of refusals: an estimate of the number of receivers that wait to ask again.
        self.waiting = 0.0
        self.waiting_at = 0.0
        # Time at which the rate limit permits the next bytes.
        self.bytes_free_at = 0.0

    def admit(self, now: float, loop_lag: float) -> float | None:
        """Admits a receiver or refuses it.

        Args:
            now: Time in seconds on any monotonic clock.
            loop_lag: Recent lag of the event loop in seconds.

        Returns:
            None if the receiver is admitted; otherwise the seconds after which it may ask again.
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
        # The delay grows with the number of waiting receivers, because they are admitted at a limited rate.
        self.waiting = self.waiting * WAITING_DECAY ** (now - self.waiting_at) + 1.0
        self.waiting_at = now
        delay = MIN_RETRY_AFTER + self.waiting / limits.receivers_per_second
        return delay * self.random.uniform(*JITTER)

    def send_delay(self, now: float, size: int) -> float:
        """Counts ``size`` bytes against the rate limit; returns the seconds to wait before sending them."""
        delay = max(0.0, self.bytes_free_at - now)
        self.bytes_free_at = max(now, self.bytes_free_at) + size / self.limits.bytes_per_second
        return delay

    def release(self, completed: bool = True) -> None:
        """Frees the place of an admitted receiver; ``completed`` says whether its transfer was completed."""
        self.active -= 1
        self.completed += completed
