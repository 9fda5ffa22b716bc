"""Counting that does not walk, against the plain form that it replaces, under whatever order and time."""

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
from tests.support.capture_scenarios import SAME

STEPS = st.lists(
    st.tuples(st.sampled_from([*["add"] * 3, "count", "edge", "jump"]), st.integers(0, 3), st.integers(0, 2)),
    max_size=120,
)


@SAME
@given(STEPS)
def test_window_counts_as_the_plain_one(steps: list[tuple[str, int, int]]) -> None:
    """Windows.

    Time stands still, repeats and jumps an hour; thousands at one instant: the count is the plain one's at
    every step, on both sides of the edge.
    """
    window, plain, now = SlidingWindow(), list[tuple[float, int]](), 100.0
    for what, kind, by in steps:
        if what == "add":
            now += (0.0, 0.25, 1.0)[by]
            for _ in range(1 + 40 * (by == 0 and kind == 3)):
                window.add(now, kind)
                plain.append((now, kind))
        elif what == "jump":
            now += 3600.0 if by == 2 else 0.5
        else:
            after = now - (0.0, 1.0, 2.0)[by]
            window.expire(after, inclusive=what == "edge")
            plain = [row for row in plain if row[0] > after or (what == "count" and row[0] == after)]
        assert len(window) == len(plain) == window.count()
        for each in range(4):
            assert window.count(each) == sum(row[1] == each for row in plain)
        assert window.count(1, 2) == sum(row[1] in (1, 2) for row in plain)


def test_rows_of_a_former_life_stand_and_go_first() -> None:
    """Rows put before.

    A former life's rows, in any order, stand before this one's and go first.
    """
    window = SlidingWindow()
    window.add(10.0, "new")
    window.prepend([(8.0, "b"), (9.5, "c"), (7.0, "a")])
    assert [kind for _, kind in window] == ["a", "b", "c", "new"]
    window.expire(9.0)
    assert window.count("a", "b") == 0 and window.count("c", "new") == 2


@SAME
@given(
    st.lists(st.integers(0, 9), min_size=1, max_size=30),
    st.lists(st.tuples(st.integers(), st.integers(0, 9))),
)
def test_middle_is_the_plain_median(values: list[int], changes: list[tuple[int, int]]) -> None:
    """Medians."""
    ranks = OrderStatistics(values)
    for at, value in changes:
        at %= len(values)
        ranks.replace(values[at], value)
        values[at] = value
        assert ranks.median(-1) == median_high(values)


def node(number: int, build: int, started: float | None) -> EndpointState:
    return EndpointState(
        events.Endpoint(number, number, 0, 0, 0, build, started, events.Condition.READY, 1.0)
    )


@SAME
@given(
    st.lists(st.tuples(st.integers(40, 43), st.none() | st.floats(90, 130)), max_size=14),
    st.lists(st.tuples(st.integers(0, 13), st.booleans(), st.floats(0, 5)), max_size=25),
)
def test_groups_are_the_plain_lists(
    rows: list[tuple[int, float | None]], changes: list[tuple[int, bool, float]]
) -> None:
    """Groups.

    Nodes set aside and taken back, time going on: every list, part and median is the plain one's, in the
    roll's order.
    """
    nodes = [node(number, build, started) for number, (build, started) in enumerate(rows)]
    found, now = EndpointGroups(nodes), 120.0

    def present(one: EndpointState) -> float:
        age = now - one.listed.started_at if one.listed.started_at else 1e9
        return 0.34 + 0.66 * max(0.0, min(1.0, age / 5.0))

    for at, aside, later in changes:
        now += later
        if nodes and nodes[at % len(nodes)].ejected is not aside:
            nodes[at % len(nodes)].ejected = aside
            found.ejection_changed()
        for builds in ((), (41,), (42, 43), (40, 41, 42, 43)):
            for but in (False, True):
                some = found.select(builds, excluded=but)
                plain = [n for n in nodes if (n.listed.build in builds) is not but]
                assert some.endpoints == plain and some.healthy == [n for n in plain if not n.ejected]
                part = sum(present(n) for n in plain if not n.ejected)
                assert abs(found.capacity(some, now, 5.0, present) - part) < 1e-9
        assert found.healthy_count() == sum(not n.ejected for n in nodes)
        plain_middle = [n.latency_ratio for n in nodes if n.listed.build == 41] or [7.0]
        median = found.median(
            MedianKey("slow", 41), lambda n: n.listed.build == 41, lambda n: n.latency_ratio, 7.0
        )
        assert median == median_high(plain_middle)
        for one in nodes:
            was, one.latency_ratio = one.latency_ratio, one.latency_ratio + later
            found.value_changed("slow", one, was, one.latency_ratio)


@SAME
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2), st.booleans(), st.floats(0, 2)), max_size=80))
def test_silent_shots_are_the_plain_walks(steps: list[tuple[int, int, bool, float]]) -> None:
    """Silence.

    Shots out by node and workload, and who was silent for longest: the plain walk's counts at every
    step.
    """
    nodes, kept, out, now = (
        [node(n, 41, None) for n in range(5)],
        OutstandingAttempts(),
        list[tuple[Any, int]](),
        0.0,
    )
    for at, w, ends, later in steps:
        now += later
        one = nodes[at]
        if ends and (mine := [row for row in out if row[0] is one]):
            out.remove(mine[0])
            one.outstanding -= 1
            one.silent_since = now
            kept.ended(*mine[0])
        else:
            one.silent_since = one.silent_since if one.outstanding else now
            one.outstanding += 1
            out.append((one, w))
            kept.started(one, w)

        def silent(each: EndpointState, now: float = now) -> bool:
            return bool(each.outstanding) and now - each.silent_since >= 3.0

        for stuck in (set(), {0}, {1, 2}):
            assert kept.count(stuck, silent) == sum(w not in stuck and not silent(n) for n, w in out)
        assert kept.count_silent(silent, lambda n: n is not nodes[0]) == sum(map(silent, nodes[1:]))
