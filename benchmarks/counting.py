"""Compares the data structures of gatebank/statistics with simple alternatives and a library's, in one run.

python -m benchmarks.counting
"""

from __future__ import annotations

import random
import statistics
import time
from collections import deque
from collections.abc import Callable

from sortedcontainers import SortedList

from gatebank import events
from gatebank.core.endpoint_state import EndpointState
from gatebank.statistics.endpoint_groups import EndpointGroups
from gatebank.statistics.order_statistics import OrderStatistics
from gatebank.statistics.outstanding_attempts import OutstandingAttempts
from gatebank.statistics.sliding_window import SlidingWindow

SIZES = (10, 100, 1_000, 10_000, 100_000)
ROUNDS = 5
MIN_RUN_SECONDS = 0.02  # Each measurement repeats its operation for at least this time.
BASE_BUILD = 41
CANARY_BUILD = 42
MAX_FAILURES = 1.0  # Failure rate above which an endpoint counts as unresponsive in this benchmark.


def microseconds(operation: Callable[[], object]) -> float:
    """Return the time of a call in microseconds, as the median of ROUNDS runs."""
    times = []
    for _ in range(ROUNDS):
        calls = 0
        start = time.perf_counter()
        while (took := time.perf_counter() - start) < MIN_RUN_SECONDS:
            operation()
            calls += 1
        times.append(took / calls * 1e6)
    return statistics.median(times)


def print_row(name: str, size: int, ours: float, **others: float) -> None:
    """Print the time of a call in microseconds, and the times of the alternatives with their ratios."""
    row = ", ".join(f"{other} {cost:.2f} ({cost / ours:.1f} times)" for other, cost in others.items())
    print(f"{name}, {size:,}: {ours:.2f} us; {row}", flush=True)


class Clock:
    """A clock that only the benchmark advances."""

    def __init__(self) -> None:
        self.now = 0.0


def measure_window(size: int) -> None:
    """Measure a request's cost to a window: one row is added, one expires, and one kind of row is counted."""
    window: SlidingWindow[int] = SlidingWindow()
    rows = deque[tuple[float, int]]()
    clock = Clock()
    for number in range(size):
        window.add(number / size, number % 3)
        rows.append((number / size, number % 3))

    def ours() -> int:
        clock.now += 1 / size
        window.add(1 + clock.now, 1)
        window.expire(clock.now)
        return window.count(1)

    def linear_scan() -> int:
        clock.now += 1 / size
        rows.append((1 + clock.now, 1))
        while rows[0][0] < clock.now:
            rows.popleft()
        return sum(kind == 1 for _, kind in rows)

    cost = microseconds(ours)
    clock.now = 0.0
    print_row("window", size, cost, linear_scan=microseconds(linear_scan))


class ChangingValues:
    """Values of which one at a time is replaced with a random value."""

    def __init__(self, values: list[float], generator: random.Random) -> None:
        self.values = list(values)
        self.generator = generator

    def change(self) -> tuple[float, float]:
        """Replace a value, and return the old and the new one."""
        index = self.generator.randrange(len(self.values))
        old = self.values[index]
        new = self.generator.random()
        self.values[index] = new
        return old, new


def measure_median(size: int) -> None:
    """Measure a change of one value followed by a query of the median."""
    generator = random.Random(1)
    values = [generator.random() for _ in range(size)]
    order_statistics = OrderStatistics(values)
    sorted_list = SortedList(values)
    values_for_ours = ChangingValues(values, generator)
    values_for_library = ChangingValues(values, generator)
    values_for_sort = ChangingValues(values, generator)

    def ours() -> float:
        order_statistics.replace(*values_for_ours.change())
        return order_statistics.median(0.0)

    def library() -> float:
        old, new = values_for_library.change()
        sorted_list.remove(old)
        sorted_list.add(new)
        return float(sorted_list[len(sorted_list) // 2])

    def full_sort() -> float:
        values_for_sort.change()
        return statistics.median_high(values_for_sort.values)

    print_row(
        "median",
        size,
        microseconds(ours),
        sortedcontainers=microseconds(library),
        full_sort=microseconds(full_sort),
    )


def make_endpoints(size: int, canary_every: int = 0) -> list[EndpointState]:
    """Return ``size`` endpoint states; every ``canary_every``-th one has the canary's build, none if 0."""
    builds = [
        CANARY_BUILD if canary_every and number % canary_every == 0 else BASE_BUILD for number in range(size)
    ]
    return [
        EndpointState(events.Endpoint(number, number, 0, 0, 0, build, None, events.Condition.READY, 1.0))
        for number, build in enumerate(builds)
    ]


def measure_groups(size: int) -> None:
    """Measure drawing two of the endpoints of a build that are not ejected."""
    endpoints = make_endpoints(size, canary_every=4)
    for endpoint in endpoints[:: max(7, size // 50)]:
        endpoint.ejected = True
    groups = EndpointGroups(endpoints)
    sample = random.Random(1).sample

    def ours() -> list[EndpointState]:
        return sample(groups.select([CANARY_BUILD], excluded=True).healthy, 2)

    def linear_scan() -> list[EndpointState]:
        candidates = [
            endpoint
            for endpoint in endpoints
            if endpoint.listed.build != CANARY_BUILD and not endpoint.ejected
        ]
        return sample(candidates, 2)

    print_row("two endpoints", size, microseconds(ours), linear_scan=microseconds(linear_scan))


def measure_outstanding(size: int) -> None:
    """Measure a start and an end of an attempt, and a count of the attempts at responsive endpoints."""
    endpoints = make_endpoints(size)
    outstanding: OutstandingAttempts[EndpointState] = OutstandingAttempts()
    attempts: list[tuple[EndpointState, int]] = []
    turn = 0
    for number, endpoint in enumerate(endpoints):
        outstanding.started(endpoint, number % 3)
        attempts.append((endpoint, number % 3))

    def is_unresponsive(endpoint: EndpointState) -> bool:
        return endpoint.failure_rate > MAX_FAILURES

    def ours() -> int:
        nonlocal turn
        turn += 1
        endpoint = endpoints[turn % size]
        outstanding.started(endpoint, 0)
        outstanding.ended(endpoint, 0)
        return outstanding.count({2}, is_unresponsive)

    def linear_scan() -> int:
        return sum(kind != 2 and not is_unresponsive(endpoint) for endpoint, kind in attempts)

    print_row("outstanding attempts", size, microseconds(ours), linear_scan=microseconds(linear_scan))


if __name__ == "__main__":
    for measure in (measure_window, measure_median, measure_groups, measure_outstanding):
        for size in SIZES:
            measure(size)
