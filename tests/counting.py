"""Counting that does not walk, against the plain form that it replaces, under whatever order and time."""

from __future__ import annotations

from statistics import median_high
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from gatebank import actions, events
from gatebank.balancer import Balancer
from gatebank.state import Node
from gatebank.statistics.endpoint_groups import EndpointGroups, OutstandingAttempts
from gatebank.statistics.order_statistics import OrderStatistics
from gatebank.statistics.sliding_window import SlidingWindow
from tests.captures import SAME
from tests.learning import ORDERS
from tests.settings_factory import make_settings

STEPS = st.lists(
    st.tuples(st.sampled_from([*["add"] * 3, "count", "edge", "jump"]), st.integers(0, 3), st.integers(0, 2)),
    max_size=120,
)


@SAME
@given(STEPS)
def windows(steps: list[tuple[str, int, int]]) -> None:
    """Time stands still, repeats and jumps an hour; thousands at one instant: the count is the plain one's at
    every step, on both sides of the edge."""
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
            window.forget(after, with_edge=what == "edge")
            plain = [row for row in plain if row[0] > after or (what == "count" and row[0] == after)]
        assert len(window) == len(plain) == window.count()
        for each in range(4):
            assert window.count(each) == sum(row[1] == each for row in plain)
        assert window.count(1, 2) == sum(row[1] in (1, 2) for row in plain)


def rows_put_before() -> None:
    """A former life's rows, in any order, stand before this one's and go first."""
    window = SlidingWindow()
    window.add(10.0, "new")
    window.put_before([(8.0, "b"), (9.5, "c"), (7.0, "a")])
    assert [kind for _, kind in window] == ["a", "b", "c", "new"]
    window.forget(9.0)
    assert window.count("a", "b") == 0 and window.count("c", "new") == 2


@SAME
@given(
    st.lists(st.integers(0, 9), min_size=1, max_size=30),
    st.lists(st.tuples(st.integers(), st.integers(0, 9))),
)
def medians(values: list[int], changes: list[tuple[int, int]]) -> None:
    ranks = OrderStatistics(values)
    for at, value in changes:
        at %= len(values)
        ranks.change(values[at], value)
        values[at] = value
        assert ranks.median(-1) == median_high(values)


def node(number: int, build: int, started: float | None) -> Node:
    return Node(events.Endpoint(number, number, 0, 0, 0, build, started, events.Condition.READY, 1.0))


@SAME
@given(
    st.lists(st.tuples(st.integers(40, 43), st.none() | st.floats(90, 130)), max_size=14),
    st.lists(st.tuples(st.integers(0, 13), st.booleans(), st.floats(0, 5)), max_size=25),
)
def groups(rows: list[tuple[int, float | None]], changes: list[tuple[int, bool, float]]) -> None:
    """Nodes set aside and taken back, time going on: every list, part and median is the plain one's, in the
    roll's order."""
    nodes = [node(number, build, started) for number, (build, started) in enumerate(rows)]
    found, now = EndpointGroups(nodes), 120.0

    def present(one: Node) -> float:
        age = now - one.entry.started if one.entry.started else 1e9
        return 0.34 + 0.66 * max(0.0, min(1.0, age / 5.0))

    for at, aside, later in changes:
        now += later
        if nodes and nodes[at % len(nodes)].aside is not aside:
            nodes[at % len(nodes)].aside = aside
            found.changed()
        for builds in ((), (41,), (42, 43), (40, 41, 42, 43)):
            for but in (False, True):
                some = found.some(builds, but)
                plain = [n for n in nodes if (n.entry.build in builds) is not but]
                assert some.nodes == plain and some.fit == [n for n in plain if not n.aside]
                part = sum(present(n) for n in plain if not n.aside)
                assert abs(found.part(some, now, 5.0, present) - part) < 1e-9
        assert found.not_aside() == sum(not n.aside for n in nodes)
        plain_middle = [n.slow for n in nodes if n.entry.build == 41] or [7.0]
        median = found.median("slow", 41, lambda n: n.entry.build == 41, lambda n: n.slow, 7.0)
        assert median == median_high(plain_middle)
        for one in nodes:
            was, one.slow = one.slow, one.slow + later
            found.moved("slow", one, was, one.slow)


@SAME
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2), st.booleans(), st.floats(0, 2)), max_size=80))
def silence(steps: list[tuple[int, int, bool, float]]) -> None:
    """Shots out by node and workload, and who was silent for longest: the plain walk's counts at every
    step."""
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
            one.held -= 1
            one.silent_since = now
            kept.ended(*mine[0])
        else:
            one.silent_since = one.silent_since if one.held else now
            one.held += 1
            out.append((one, w))
            kept.sent(one, w)

        def silent(each: Node, now: float = now) -> bool:
            return bool(each.held) and now - each.silent_since >= 3.0

        for stuck in (set(), {0}, {1, 2}):
            assert kept.out(stuck, silent) == sum(w not in stuck and not silent(n) for n, w in out)
        assert kept.silent(silent, lambda n: n is not nodes[0]) == sum(map(silent, nodes[1:]))


# The module on them: rules seen from outside, at sizes and in moments that lists made once could get wrong.


class Watched:
    """A marshal and an observer that sees only what goes in and comes out: rule 5's window, rule 3's
    drains."""

    def __init__(self, nodes: dict[int, int], cap: float | None, at: float = 5000.0) -> None:
        self.marshal, self.now, self.number = Balancer(make_settings(ORDERS), 3, at), at, 0
        self.roll = {n: (build, events.Condition.READY) for n, build in nodes.items()}
        self.shots: list[tuple[float, int]] = []
        self.taken: list[float] = []
        self.out: list[tuple[float, int, int]] = []
        self.cap = cap
        self.list()
        if cap is not None:
            self.news(cap)

    def list(self) -> None:
        rows = [events.Endpoint(n, n, 0, 0, 0, b, None, c, 1.0) for n, (b, c) in self.roll.items()]
        self.marshal.on_endpoint_list(rows, True)

    def news(self, cap: float, phase: events.Phase = events.Phase.CANARY) -> None:
        self.cap = cap
        self.marshal.on_release_status(
            events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, 42, 0, phase, cap)
        )

    def call(self, later: float = 0.001, ending: events.Outcome = events.Outcome.SUCCESS) -> int | None:
        """One invocation, answered after 20 ms of calls; the node that got it. Checks the cap from
        outside."""
        self.now += later
        self.marshal.now = self.now
        while self.out and self.out[0][0] <= self.now - 0.02:
            _, number, shot = self.out.pop(0)
            self.marshal.on_attempt_result(
                number, events.AttemptResult(shot, ending, 0.02, ending is events.Outcome.SUCCESS)
            )
        self.marshal.actions.clear()
        self.number += 1
        self.taken.append(self.now)
        self.marshal.on_request(events.Request(self.number, 0, 0, 5.0))
        got = None
        for action in self.marshal.actions:
            if isinstance(action, actions.StartAttempt):
                got = action.node
                build, condition = self.roll[got]
                assert condition is events.Condition.READY, (got, condition)
                self.out.append((self.now, action.invocation, 0))
                if build == 42:
                    self.shots.append((self.now, got))
                    edge = self.now - ORDERS["exposure_window"]
                    shots = sum(at >= edge for at, _ in self.shots)
                    taken = sum(at > edge for at in self.taken)
                    assert shots <= ORDERS["spare_shots"] + (self.cap or 0.0) * taken, (
                        shots,
                        taken,
                        self.cap,
                    )
        self.marshal.actions.clear()
        return got


def a_cap_lowered() -> None:
    """Thousands of rows at one instant, the cap lowered in the middle of a window and to nothing: the rule
    holds at each shot, and the build is left alone at once."""
    watched = Watched({0: 41, 1: 41, 2: 42, 3: 42}, 1.0)
    for _ in range(3000):
        watched.call(0.0)
    watched.news(0.1)
    before = len(watched.shots)
    for _ in range(300):
        watched.call(0.0)
    assert len(watched.shots) == before  # the window holds more than the lower cap allows
    for _ in range(4000):
        watched.call(0.001)
    assert len(watched.shots) > before
    watched.news(0.0, events.Phase.ROLLING_BACK)
    before = len(watched.shots)
    for _ in range(200):
        watched.call(0.01)
    assert len(watched.shots) == before


def comes_and_goes() -> None:
    """A node that comes and goes a thousand times, with another build each time: it is sent to while it is
    there, and nothing of it is kept."""
    watched = Watched({0: 41, 1: 41, 2: 41}, None)
    met = 0
    for turn in range(1000):
        watched.roll[9] = (41 if turn % 2 else 40, events.Condition.READY)
        watched.list()
        met += sum(watched.call() == 9 for _ in range(4))
        watched.roll[9] = (watched.roll[9][0], (events.Condition.DRAINING, events.Condition.GONE)[turn % 2])
        watched.list()
        assert all(watched.call() != 9 for _ in range(4))
        del watched.roll[9]
        watched.list()
    marshal = watched.marshal
    assert met > 300 and len(marshal.silent.order) <= 4 + len(watched.out) and len(marshal.groups.sets) <= 64
    assert len(marshal.sent_to) <= 4, marshal.sent_to.keys()


def all_drain_at_once() -> None:
    """All nodes drain in one listing: nothing is sent to any, and what comes then is rejected or waits."""
    watched = Watched(dict.fromkeys(range(200), 41), None)
    for _ in range(100):
        assert watched.call() is not None
    watched.roll = dict.fromkeys(range(200), (41, events.Condition.DRAINING))
    watched.list()
    assert all(watched.call() is None for _ in range(100))
    watched.roll[5] = (41, events.Condition.READY)
    watched.list()
    assert watched.call() == 5


def one_among_thousands() -> None:
    """A build of one node among five thousand gets its share and no more; an hour's jump forgets windows."""
    watched = Watched(dict.fromkeys(range(5000), 41) | {5000: 42}, 1.0)
    for _ in range(20_000):
        watched.call(0.0005)
    share = len(watched.shots) / 20_000
    assert 0 < share < 0.002, share
    watched.call(3600.0)
    marshal = watched.marshal
    marshal.beat()
    assert (
        len(marshal.taken) <= 1
        and len(marshal.done) <= 2
        and len(marshal.ended) <= 2
        and not marshal.silent.out(set(), marshal.mute) > 2
    )


def checks() -> list[tuple[str, Any]]:
    tests = (windows, rows_put_before, medians, groups, silence, a_cap_lowered, comes_and_goes)
    tests = (*tests, all_drain_at_once, one_among_thousands)
    return [(f"counting: {each.__name__}", each) for each in tests]
