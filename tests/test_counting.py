"""The counting data structures give the same results as straightforward implementations, for any input."""

from __future__ import annotations

from statistics import median_high
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from gatebank import events
from gatebank.core.endpoint_state import EndpointState
from gatebank.statistics.endpoint_groups import EndpointGroups, MedianKey
from gatebank.statistics.order_statistics import OrderStatistics
from gatebank.statistics.outstanding_attempts import OutstandingAttempts
from gatebank.statistics.sliding_window import SlidingWindow
from tests.support.capture_scenarios import REPEATABLE

STEPS = st.lists(
    st.tuples(st.sampled_from([*["add"] * 3, "count", "edge", "jump"]), st.integers(0, 3), st.integers(0, 2)),
    max_size=120,
)


@REPEATABLE
@given(STEPS)
def test_sliding_window_counts_like_a_plain_list(steps: list[tuple[str, int, int]]) -> None:
    """The counts are right after each step, on both sides of the window's edge.

    Time stands still, advances or jumps by an hour, and many rows have the same time.
    """
    window, rows, now = SlidingWindow(), list[tuple[float, int]](), 100.0
    for step, kind, choice in steps:
        if step == "add":
            now += (0.0, 0.25, 1.0)[choice]
            for _ in range(1 + 40 * (choice == 0 and kind == 3)):
                window.add(now, kind)
                rows.append((now, kind))
        elif step == "jump":
            now += 3600.0 if choice == 2 else 0.5
        else:
            before = now - (0.0, 1.0, 2.0)[choice]
            window.expire(before, inclusive=step == "edge")
            rows = [row for row in rows if row[0] > before or (step == "count" and row[0] == before)]
        assert len(window) == len(rows) == window.count()
        for counted_kind in range(4):
            assert window.count(counted_kind) == sum(row[1] == counted_kind for row in rows)
        assert window.count(1, 2) == sum(row[1] in (1, 2) for row in rows)


def test_prepended_rows_come_first_and_expire_first() -> None:
    """Rows of an earlier incarnation, in any order, are put before the present rows and expire first."""
    window = SlidingWindow()
    window.add(10.0, "new")
    window.prepend([(8.0, "b"), (9.5, "c"), (7.0, "a")])
    assert [kind for _, kind in window] == ["a", "b", "c", "new"]
    window.expire(9.0)
    assert window.count("a", "b") == 0 and window.count("c", "new") == 2


@REPEATABLE
@given(
    st.lists(st.integers(0, 9), min_size=1, max_size=30),
    st.lists(st.tuples(st.integers(), st.integers(0, 9))),
)
def test_order_statistics_give_the_plain_median(values: list[int], changes: list[tuple[int, int]]) -> None:
    """The median is right after each replaced value."""
    ranks = OrderStatistics(values)
    for index, value in changes:
        index %= len(values)
        ranks.replace(values[index], value)
        values[index] = value
        assert ranks.median(-1) == median_high(values)


def make_endpoint(number: int, build: int, started: float | None) -> EndpointState:
    return EndpointState(
        events.Endpoint(number, number, 0, 0, 0, build, started, events.Condition.READY, 1.0)
    )


@REPEATABLE
@given(
    st.lists(st.tuples(st.integers(40, 43), st.none() | st.floats(90, 130)), max_size=14),
    st.lists(st.tuples(st.integers(0, 13), st.booleans(), st.floats(0, 5)), max_size=25),
)
def test_endpoint_groups_equal_plain_lists(
    rows: list[tuple[int, float | None]], changes: list[tuple[int, bool, float]]
) -> None:
    """Selections, capacities and medians are right, in the order of the endpoint list.

    Endpoints are ejected and return while time advances.
    """
    endpoints = [make_endpoint(number, build, started) for number, (build, started) in enumerate(rows)]
    groups, now = EndpointGroups(endpoints), 120.0

    def capacity_of(endpoint: EndpointState) -> float:
        age = now - endpoint.listed.started_at if endpoint.listed.started_at else 1e9
        return 0.34 + 0.66 * max(0.0, min(1.0, age / 5.0))

    for index, ejected, elapsed in changes:
        now += elapsed
        if endpoints and endpoints[index % len(endpoints)].ejected is not ejected:
            endpoints[index % len(endpoints)].ejected = ejected
            groups.ejection_changed()
        for builds in ((), (41,), (42, 43), (40, 41, 42, 43)):
            for excluded in (False, True):
                selection = groups.select(builds, excluded=excluded)
                plain = [n for n in endpoints if (n.listed.build in builds) is not excluded]
                assert selection.endpoints == plain and selection.healthy == [
                    n for n in plain if not n.ejected
                ]
                expected_capacity = sum(capacity_of(n) for n in plain if not n.ejected)
                assert abs(groups.capacity(selection, now, 5.0, capacity_of) - expected_capacity) < 1e-9
        assert groups.healthy_count() == sum(not n.ejected for n in endpoints)
        expected_ratios = [n.latency_ratio for n in endpoints if n.listed.build == 41] or [7.0]
        median = groups.median(
            MedianKey("slow", 41), lambda n: n.listed.build == 41, lambda n: n.latency_ratio, 7.0
        )
        assert median == median_high(expected_ratios)
        for endpoint in endpoints:
            old_ratio, endpoint.latency_ratio = endpoint.latency_ratio, endpoint.latency_ratio + elapsed
            groups.value_changed("slow", endpoint, old_ratio, endpoint.latency_ratio)


@REPEATABLE
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2), st.booleans(), st.floats(0, 2)), max_size=80))
def test_outstanding_attempts_are_counted_like_a_plain_list(
    steps: list[tuple[int, int, bool, float]],
) -> None:
    """Counts by request class and counts of silent endpoints are right after each step."""
    endpoints, counted, outstanding, now = (
        [make_endpoint(n, 41, None) for n in range(5)],
        OutstandingAttempts(),
        list[tuple[Any, int]](),
        0.0,
    )
    for index, request_class, ends_attempt, elapsed in steps:
        now += elapsed
        endpoint = endpoints[index]
        if ends_attempt and (of_endpoint := [row for row in outstanding if row[0] is endpoint]):
            outstanding.remove(of_endpoint[0])
            endpoint.outstanding -= 1
            endpoint.silent_since = now
            counted.ended(*of_endpoint[0])
        else:
            endpoint.silent_since = endpoint.silent_since if endpoint.outstanding else now
            endpoint.outstanding += 1
            outstanding.append((endpoint, request_class))
            counted.started(endpoint, request_class)

        def is_silent(candidate: EndpointState, now: float = now) -> bool:
            return bool(candidate.outstanding) and now - candidate.silent_since >= 3.0

        for excluded_classes in (set(), {0}, {1, 2}):
            assert counted.count(excluded_classes, is_silent) == sum(
                request_class not in excluded_classes and not is_silent(n) for n, request_class in outstanding
            )
        assert counted.count_silent(is_silent, lambda n: n is not endpoints[0]) == sum(
            map(is_silent, endpoints[1:])
        )
