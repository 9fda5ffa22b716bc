"""What is due when: exchanges into the order of asking, and recorded time into time now. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from gatebank.capture.records import Exchange

ROW = 1024  # bytes that an exchange takes besides its words


class Ordered:
    """Exchanges come out of a capture as they end; here they leave in the order in which they were asked.

    One is handed on once the capture is ``horizon`` ns past its asking: reading tells none later than that.
    Beyond ``most`` bytes the earliest go at once, and any that come behind their time are counted `late`."""

    def __init__(self, horizon: int, most: int) -> None:
        self.horizon, self.most, self.held = horizon, most, 0
        self.heap: list[tuple[int, int, Exchange]] = []
        self.serial = self.late = self.early = 0
        self.newest = self.last = 0

    def put(self, exchange: Exchange, now: int) -> Iterator[Exchange]:
        """``now``: the newest time of the capture, in ns."""
        self.newest = max(self.newest, now)
        if exchange.asked_at is None:
            return
        self.serial += 1
        heapq.heappush(self.heap, (exchange.asked_at, self.serial, exchange))
        self.held += size(exchange)
        while self.heap and (self.heap[0][0] <= self.newest - self.horizon or self.held > self.most):
            self.early += self.heap[0][0] > self.newest - self.horizon
            yield self.pop()

    def pop(self) -> Exchange:
        at, _, exchange = heapq.heappop(self.heap)
        self.held -= size(exchange)
        self.late += at < self.last
        self.last = max(self.last, at)
        return exchange

    def end(self) -> Iterator[Exchange]:
        while self.heap:
            yield self.pop()


def size(exchange: Exchange) -> int:
    return ROW + sum(map(len, exchange.arguments))


class Pace:
    """Recorded ns to s of now. ``factor`` 2 is twice as fast. Times that go back are due at once."""

    def __init__(self, factor: float, start: float) -> None:
        self.factor, self.start = factor, start
        self.first: int | None = None

    def due(self, asked_at: int) -> float:
        """
        >>> pace = Pace(2.0, 100.0)
        >>> pace.due(5_000_000_000), pace.due(7_000_000_000), pace.due(4_000_000_000)
        (100.0, 101.0, 100.0)
        """
        if self.first is None:
            self.first = asked_at
        return self.start + max(0, asked_at - self.first) / 1e9 / self.factor


class Rate:
    """At most so many a second, with a second's worth at once: a token bucket."""

    def __init__(self, most: float) -> None:
        self.most, self.left, self.at = most, max(1.0, most), 0.0

    def take(self, now: float) -> bool:
        """
        >>> rate = Rate(2.0)
        >>> [rate.take(1.0) for _ in range(3)], rate.take(1.5)
        ([True, True, False], True)
        """
        self.left = min(max(1.0, self.most), self.left + (now - self.at) * self.most)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
