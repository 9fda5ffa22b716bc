"""Each structure of gatebank/statistics beside the plain form that it replaces, and a library's, in one run.

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
MIN_RUN_SECONDS = 0.02  # the work is repeated for at least so long
BASE_BUILD = 41
CANARY_BUILD = 42
MAX_FAILURES = 1.0  # of an endpoint that counts as unresponsive here


def microseconds(work: Callable[[], object]) -> float:
    """Return the time of a call in us: the median of some runs."""
    times = []
    for _ in range(ROUNDS):
        calls = 0
        start = time.perf_counter()
        while (took := time.perf_counter() - start) < MIN_RUN_SECONDS:
            work()
            calls += 1
        times.append(took / calls * 1e6)
    return statistics.median(times)


def print_row(name: str, size: int, ours: float, **others: float) -> None:
    """Print what a call costs in us, and how many times that the other forms cost."""
    row = ", ".join(f"{other} {cost:.2f} ({cost / ours:.1f} times)" for other, cost in others.items())
    print(f"{name}, {size:,}: {ours:.2f} us; {row}", flush=True)


class Clock:
    """A time that only the benchmark moves."""

    def __init__(self) -> None:
        self.now = 0.0


def measure_window(size: int) -> None:
    """One row comes, one goes, and one kind is counted: what a request does to a window at its size."""
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

    def walked() -> int:
        clock.now += 1 / size
        rows.append((1 + clock.now, 1))
        while rows[0][0] < clock.now:
            rows.popleft()
        return sum(kind == 1 for _, kind in rows)

    cost = microseconds(ours)
    clock.now = 0.0
    print_row("window", size, cost, walked=microseconds(walked))


class ChangingValues:
    """Values of which one at a time is drawn anew."""

    def __init__(self, values: list[float], generator: random.Random) -> None:
        self.values = list(values)
        self.generator = generator

    def change(self) -> tuple[float, float]:
        """Replace a value, and return the old and the new one."""
        place = self.generator.randrange(len(self.values))
        old = self.values[place]
        new = self.generator.random()
        self.values[place] = new
        return old, new


def measure_median(size: int) -> None:
    """A value changes and the median is asked for."""
    generator = random.Random(1)
    values = [generator.random() for _ in range(size)]
    order_statistics = OrderStatistics(values)
    sorted_list = SortedList(values)
    for_ours = ChangingValues(values, generator)
    for_library = ChangingValues(values, generator)
    for_plain = ChangingValues(values, generator)

    def ours() -> float:
        order_statistics.replace(*for_ours.change())
        return order_statistics.median(0.0)

    def library() -> float:
        old, new = for_library.change()
        sorted_list.remove(old)
        sorted_list.add(new)
        return float(sorted_list[len(sorted_list) // 2])

    def sorted_anew() -> float:
        for_plain.change()
        return statistics.median_high(for_plain.values)

    print_row(
        "median",
        size,
        microseconds(ours),
        sortedcontainers=microseconds(library),
        sorted_anew=microseconds(sorted_anew),
    )


def make_endpoints(size: int, canary_every: int = 0) -> list[EndpointState]:
    """Return the states of so many endpoints; every so many-th runs the canary's build."""
    builds = [
        CANARY_BUILD if canary_every and number % canary_every == 0 else BASE_BUILD for number in range(size)
    ]
    return [
        EndpointState(events.Endpoint(number, number, 0, 0, 0, build, None, events.Condition.READY, 1.0))
        for number, build in enumerate(builds)
    ]


def measure_groups(size: int) -> None:
    """Two of the endpoints of a build that are not ejected are drawn."""
    endpoints = make_endpoints(size, canary_every=4)
    for endpoint in endpoints[:: max(7, size // 50)]:
        endpoint.ejected = True
    groups = EndpointGroups(endpoints)
    sample = random.Random(1).sample

    def ours() -> list[EndpointState]:
        return sample(groups.select([CANARY_BUILD], excluded=True).healthy, 2)

    def walked() -> list[EndpointState]:
        fit = [each for each in endpoints if each.listed.build != CANARY_BUILD and not each.ejected]
        return sample(fit, 2)

    print_row("two endpoints", size, microseconds(ours), walked=microseconds(walked))


def measure_outstanding(size: int) -> None:
    """An attempt starts, one ends, and those are counted that are not at unresponsive endpoints."""
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

    def walked() -> int:
        return sum(kind != 2 and not is_unresponsive(endpoint) for endpoint, kind in attempts)

    print_row("outstanding attempts", size, microseconds(ours), walked=microseconds(walked))


if __name__ == "__main__":
    for measure in (measure_window, measure_median, measure_groups, measure_outstanding):
        for size in SIZES:
            measure(size)
