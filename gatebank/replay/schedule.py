"""Sorts exchanges by request time, converts recorded times to due times, and limits the rate. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from gatebank.capture.records import Exchange

EXCHANGE_OVERHEAD = 1024  # Memory of an exchange in addition to its arguments, in bytes.
NS_PER_SECOND = 1e9


class QueuedExchange(NamedTuple):
    """An exchange in the heap, sorted by the first two fields; no two entries are equal in both.

    Attributes:
        asked_at: Request time in nanoseconds of Unix time.
        number: Position in the order in which the exchanges were added.
        exchange: The exchange.
    """

    asked_at: int
    number: int
    exchange: Exchange


class ExchangeSorter:
    """Sorts exchanges, which a capture yields in the order of their ends, by their request times.

    An exchange is released once the capture's time is ``horizon`` past the exchange's request time, because
    the reader yields no exchange later than that. If the waiting exchanges exceed ``max_bytes``, the earliest
    are released immediately.

    Args:
        horizon: Maximum time from a request until the reader yields its exchange, in nanoseconds.
        max_bytes: Maximum memory of the waiting exchanges.

    Attributes:
        late_count: Number of exchanges released after an exchange with a later request time.
    """

    def __init__(self, horizon: int, max_bytes: int) -> None:
        self.late_count = 0
        self._horizon = horizon
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._heap: list[QueuedExchange] = []
        self._last_number = 0
        self._newest = 0  # Latest time of the capture in nanoseconds.
        self._last_released = 0  # Latest request time of a released exchange in nanoseconds.

    def add(self, exchange: Exchange, now: int) -> Iterator[Exchange]:
        """Add an exchange, and yield the exchanges that are released.

        Args:
            exchange: The exchange; it is dropped if it has no request time.
            now: The latest time of the capture in nanoseconds.
        """
        self._newest = max(self._newest, now)
        if exchange.asked_at is None:
            return
        self._last_number += 1
        heapq.heappush(self._heap, QueuedExchange(exchange.asked_at, self._last_number, exchange))
        self._held_bytes += _held_bytes(exchange)
        while self._heap and self._is_first_releasable():
            yield self._pop()

    def end(self) -> Iterator[Exchange]:
        """Yield all remaining exchanges, after the last one was added."""
        while self._heap:
            yield self._pop()

    def _is_first_releasable(self) -> bool:
        is_settled = self._heap[0].asked_at <= self._newest - self._horizon
        return is_settled or self._held_bytes > self._max_bytes

    def _pop(self) -> Exchange:
        first = heapq.heappop(self._heap)
        self._held_bytes -= _held_bytes(first.exchange)
        self.late_count += first.asked_at < self._last_released
        self._last_released = max(self._last_released, first.asked_at)
        return first.exchange


def _held_bytes(exchange: Exchange) -> int:
    return EXCHANGE_OVERHEAD + sum(map(len, exchange.arguments))


class ReplayClock:
    """Converts recorded times to due times; a time before the start of the recording is due immediately.

    Args:
        speed: Speed relative to the recording; 2 is twice as fast as recorded.

    >>> clock = ReplayClock(2.0)
    >>> clock.begin(5_000_000_000, 100.0)
    >>> clock.due(5_000_000_000), clock.due(7_000_000_000), clock.due(4_000_000_000)
    (100.0, 101.0, 100.0)
    """

    def __init__(self, speed: float) -> None:
        self._speed = speed
        self._first: int | None = None  # Recorded time of the first request in nanoseconds.
        self._start = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the clock was started with the first exchange."""
        return self._first is not None

    def begin(self, asked_at: int, start: float) -> None:
        """Start the clock: the first exchange, recorded at ``asked_at`` ns, is due at ``start`` s."""
        self._first = asked_at
        self._start = start

    def due(self, asked_at: int) -> float:
        """Return when an exchange recorded at ``asked_at`` ns is due, in seconds; requires `begin` first."""
        first = asked_at if self._first is None else self._first
        return self._start + max(0, asked_at - first) / NS_PER_SECOND / self._speed


class TokenBucket:
    """Limits a rate with a token bucket that holds the tokens of one second, but at least one token.

    Args:
        rate: Tokens per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._capacity = max(1.0, rate)
        self._tokens = self._capacity
        self._at = 0.0

    def take(self, now: float) -> bool:
        """Take a token; return False if there is none. ``now`` is the time in seconds.

        >>> bucket = TokenBucket(2.0)
        >>> [bucket.take(1.0) for _ in range(3)], bucket.take(1.5)
        ([True, True, False], True)
        """
        self._tokens = min(self._capacity, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
