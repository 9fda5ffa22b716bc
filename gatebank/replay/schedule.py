"""What is due when: exchanges into the order of asking, and recorded time into time now. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from gatebank.capture.records import Exchange

EXCHANGE_OVERHEAD = 1024  # bytes that an exchange takes besides its arguments
NS_PER_SECOND = 1e9


class QueuedExchange(NamedTuple):
    """An exchange in the heap; sorted by the first two, which are never both the same.

    Attributes:
        asked_at: ns of Unix time.
        number: Its place in the order in which exchanges came.
        exchange: The exchange.
    """

    asked_at: int
    number: int
    exchange: Exchange


class AskingOrder:
    """Exchanges come out of a capture as they end; here they leave in the order in which they were asked.

    One leaves once the capture is ``horizon`` past its asking: reading reports none later than that. Beyond
    ``max_bytes`` the earliest leave at once.

    Args:
        horizon: ns.
        max_bytes: Memory that waiting exchanges may take.

    Attributes:
        late_count: Exchanges that came after a later one had left.
    """

    def __init__(self, horizon: int, max_bytes: int) -> None:
        self.late_count = 0
        self._horizon = horizon
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._heap: list[QueuedExchange] = []
        self._last_number = 0
        self._newest = 0  # ns, of the capture
        self._last_left = 0  # ns, when the last one that left was asked

    def add(self, exchange: Exchange, now: int) -> Iterator[Exchange]:
        """Adds an exchange; those that leave with it.

        Args:
            exchange: The exchange; without a time of asking it is dropped.
            now: ns, the newest time of the capture.
        """
        self._newest = max(self._newest, now)
        if exchange.asked_at is None:
            return
        self._last_number += 1
        heapq.heappush(self._heap, QueuedExchange(exchange.asked_at, self._last_number, exchange))
        self._held_bytes += _held_bytes(exchange)
        while self._heap and self._first_leaves():
            yield self._pop()

    def end(self) -> Iterator[Exchange]:
        """Tells that no more come; all that are left."""
        while self._heap:
            yield self._pop()

    def _first_leaves(self) -> bool:
        is_settled = self._heap[0].asked_at <= self._newest - self._horizon
        return is_settled or self._held_bytes > self._max_bytes

    def _pop(self) -> Exchange:
        first = heapq.heappop(self._heap)
        self._held_bytes -= _held_bytes(first.exchange)
        self.late_count += first.asked_at < self._last_left
        self._last_left = max(self._last_left, first.asked_at)
        return first.exchange


def _held_bytes(exchange: Exchange) -> int:
    return EXCHANGE_OVERHEAD + sum(map(len, exchange.arguments))


class ReplayClock:
    """Recorded time to time now; recorded times that go back are due at once.

    Args:
        speed: 2 is twice as fast as recorded.

    >>> clock = ReplayClock(2.0)
    >>> clock.begin(5_000_000_000, 100.0)
    >>> clock.due(5_000_000_000), clock.due(7_000_000_000), clock.due(4_000_000_000)
    (100.0, 101.0, 100.0)
    """

    def __init__(self, speed: float) -> None:
        self._speed = speed
        self._first: int | None = None  # ns of recorded time
        self._start = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether it is known when the first is due."""
        return self._first is not None

    def begin(self, asked_at: int, start: float) -> None:
        """The first exchange was asked at ``asked_at`` ns, and is due at ``start`` s."""
        self._first = asked_at
        self._start = start

    def due(self, asked_at: int) -> float:
        """When an exchange that was asked at ``asked_at`` ns is due, in s; the clock must have begun."""
        first = asked_at if self._first is None else self._first
        return self._start + max(0, asked_at - first) / NS_PER_SECOND / self._speed


class TokenBucket:
    """At most so many a second, with a second's worth at once.

    Args:
        rate: Tokens a second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._capacity = max(1.0, rate)
        self._tokens = self._capacity
        self._at = 0.0

    def take(self, now: float) -> bool:
        """Takes a token; False if there is none. ``now``: s.

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
