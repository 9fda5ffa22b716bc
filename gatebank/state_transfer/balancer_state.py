"""A marshal's knowledge into items, and beliefs back into the brain's door. No I/O.

Between the brain's small indices and the names of the form. What a marshal was taught and has not yet seen
for itself is told on with its own age and origin, so that it grows old however often it is passed on.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from gatebank.balancer import Balancer, SequentialTest
from gatebank.events import Condition, InheritedEndpoint, InheritedState, Phase, ReleaseStatus, ReplyStatus
from gatebank.peer_messages import InstanceReport
from gatebank.settings import Settings
from gatebank.state import Node
from gatebank.state_transfer.items import (
    AdmittedRequest,
    BaselineFailures,
    EndpointHealth,
    RatioSum,
    ReleaseReport,
    SentAttempt,
    SequentialTestSums,
    SlowStartRate,
    StateItem,
    UsualLatency,
    identity,
    newest,
)
from gatebank.state_transfer.weighting import MAX_AGE, EndpointProcess, HalfLives, MergedState, merge_items

MOST_ROWS = 4096  # of single shots and invocations in one telling: a window of 2 s at 2,000 a second
SLICE = 256  # nodes told of in one turn: about a millisecond
OWN = 5  # endings of a node behind which hearsay on it is no longer told on
RATIOS = {
    0: "broke",
    SequentialTest.LATE: "late",
    SequentialTest.EVERYWHERE: "everywhere",
    SequentialTest.CUT: "cut",
}


class Names:
    """What the front's indices stand for: its register, workloads and machine kinds."""

    def __init__(self, settings: Settings, names: Mapping[int, str] | Sequence[str | None]) -> None:
        self.nodes = names
        self.workloads = [each.name for each in settings.request_classes]
        self.kinds = list(settings.kinds)

    def kind(self, index: int) -> str:
        return str(self.kinds[index]) if 0 <= index < len(self.kinds) else f"#{index}"

    def ratio(self, index: int) -> str:
        return RATIOS.get(index) or f"errors:{self.workloads[index - SequentialTest.FIRST]}"


@dataclass
class Learnt:
    """What was taught, with when it came: each goes when it is too old, replaced, or seen for oneself."""

    rows: dict[object, tuple[StateItem, float]] = field(default_factory=dict)

    def put(self, items: Iterable[StateItem], now: float) -> int:
        """How many were news: not held as young from the same origin."""
        fresh = 0
        for item in newest(items):
            key = identity(item)
            held = self.rows.get(key)
            if held is None or item.age < held[0].age + (now - held[1]) - 0.001:
                self.rows[key] = item, now
                fresh += 1
        if len(self.rows) > 100_000:  # five kinds of the most that one telling holds
            for key in list(self.rows)[: len(self.rows) - 100_000]:
                del self.rows[key]
        return fresh

    def items(self, now: float) -> list[StateItem]:
        """As old as they are by now; what is too old goes."""
        for key, (item, came) in list(self.rows.items()):
            if item.age + now - came > MAX_AGE:
                del self.rows[key]
        return [item.older(now - came) for item, came in self.rows.values()]  # type: ignore[misc]


def told(
    marshal: Balancer,
    names: Names,
    name: str,
    now: float,
    learnt: Learnt | None = None,
    life: int | None = None,
    single: bool = False,
) -> Iterator[list[StateItem]]:
    """All that a marshal called ``name`` knows at ``now`` (the brain's clock), the most valuable first, in
    slices that each take a turn of the loop or less: time may pass between them. ``single``: the window's
    single shots and invocations too."""
    mine = {"origin": name, "incarnation": marshal.life if life is None else life}
    rows = [(index, node) for index, node in marshal.nodes.items() if node.seen and names.nodes[index]]
    seen = {names.nodes[index] for index, node in rows if node.seen >= OWN}
    # A former life's single rows are of use to nobody but a later start of that name, from its own snapshot.
    passed = [
        item
        for item in (learnt.items(now) if learnt else ())
        if not isinstance(item, SentAttempt | AdmittedRequest)
        and not (isinstance(item, EndpointHealth) and item.endpoint in seen)
    ]
    urgent = [
        item
        for item in passed
        if isinstance(item, ReleaseReport | SlowStartRate) or getattr(item, "ejected", False)
    ]
    yield [
        *word(marshal, mine),
        *cold(marshal, names, mine, now),
        *(health(node, names.nodes[index] or "", mine, now) for index, node in rows if node.aside),
        *urgent,
        *sums(marshal, mine),
        *usual(marshal, names, mine),
    ]
    if single:
        yield list(window(marshal, names, mine, now))
    well = [row for row in rows if not row[1].aside]
    for at in range(0, len(well), SLICE):
        yield [health(node, names.nodes[index] or "", mine, now) for index, node in well[at : at + SLICE]]
    rest = [item for item in passed if item not in urgent] if urgent else passed
    for at in range(0, len(rest), SLICE):
        yield rest[at : at + SLICE]


def word(marshal: Balancer, mine: Mapping[str, Any]) -> Iterator[StateItem]:
    news = marshal.news
    if news and None not in (news.build, news.stage, news.phase):
        cap = None if news.cap is None else min(1.0, max(0.0, news.cap))
        place = {"build": news.build, "stage": news.stage, "phase": int(news.phase or 0)}
        yield ReleaseReport(**mine, age=max(0.0, news.age), outcomes=1, cap=cap, **place)


def cold(marshal: Balancer, names: Names, mine: Mapping[str, Any], now: float) -> Iterator[StateItem]:
    """What this marshal sends nodes that have just started: its shots out over the time that they take."""
    limit, sent = marshal.settings.slow_start.warm_up + 1.0, dict[tuple[str, int, float], int]()
    for node, _, _ in marshal.out.values():
        entry = node.entry
        if entry.started and now - entry.started < limit and (name := names.nodes[entry.node]):
            key = name, entry.build, entry.started
            sent[key] = sent.get(key, 0) + 1
    for (node_name, build, started), many in sent.items():
        rate = min(1e6, many / max(0.1, marshal.longest))
        place = {"endpoint": node_name, "build": build, "started": started}
        yield SlowStartRate(**mine, age=0.0, outcomes=many, rate=rate, **place)


def health(node: Node, name: str, mine: Mapping[str, Any], now: float) -> StateItem:
    entry = node.entry
    return EndpointHealth(
        **mine,
        age=max(0.0, now - node.told_at),
        outcomes=node.seen,
        endpoint=name,
        build=entry.build,
        started=entry.started,
        latency_ratio=min(1e4, max(0.0, node.slow)),
        failure_rate=min(1.0, max(0.0, node.faults)),
        ejected=node.aside,
        ejection_time=node.hold,
    )


def usual(marshal: Balancer, names: Names, mine: Mapping[str, Any]) -> Iterator[StateItem]:
    """What the earlier build does: its failures, and its times."""
    for index, (bad, many, lately) in enumerate(marshal.past):
        if many:
            rate = min(1.0, max(0.0, lately))
            row = {"weighted_failures": bad, "weighted_total": many, "recent_rate": rate}
            yield BaselineFailures(**mine, age=0.0, outcomes=int(many), ratio=names.ratio(index), **row)
    for w, (pace, many) in enumerate(marshal.pace):
        if many:
            yield UsualLatency(**mine, age=0.0, outcomes=many, request_class=names.workloads[w], latency=pace)
    for (w, kind), (pace, many) in marshal.earlier_pace.items():
        row = {"request_class": names.workloads[w], "machine_kind": names.kind(kind), "latency": pace}
        yield UsualLatency(**mine, age=0.0, outcomes=many, **row)


def window(marshal: Balancer, names: Names, mine: Mapping[str, Any], now: float) -> Iterator[StateItem]:
    """Single shots at each build, and invocations taken, of the last exposure window."""
    since = now - marshal.settings.release.exposure_window
    shots = [(at, w, build) for build, rows in marshal.sent_to.items() for at, w in rows if at >= since]
    for at, w, build in sorted(shots)[-MOST_ROWS:]:
        yield SentAttempt(
            **mine, age=max(0.0, now - at), outcomes=1, build=build, request_class=names.workloads[w]
        )
    for at, w in [row for row in marshal.taken if row[0] >= since][-MOST_ROWS:]:
        yield AdmittedRequest(**mine, age=max(0.0, now - at), outcomes=1, request_class=names.workloads[w])


def sums(marshal: Balancer, mine: Mapping[str, Any]) -> list[StateItem]:
    """The design's sums of the trial at hand: this marshal's own, and what it heard of others' lives."""
    trial = marshal.trial
    if trial is None:
        return []
    place = {"build": trial.build, "stage": trial.stage, "age": 0.0}
    rows = {(marshal.me, marshal.life): {r: s for r, s in enumerate(trial.own) if s[1]}, **trial.heard}
    found: list[StateItem] = []
    for (peer, life), ratios in rows.items():
        if ratios:
            whole = {r: RatioSum(value, min(10**9, seen)) for r, (value, seen) in ratios.items()}
            most = max(seen for _, seen in whole.values())
            found.append(
                SequentialTestSums(
                    origin=mine["origin"],
                    incarnation=life,
                    outcomes=most,
                    instance=peer,
                    ratios=whole,
                    **place,
                )
            )
    return found


class Taught:
    """Beliefs in the front's indices."""

    def __init__(
        self, marshal: Balancer, names: Names, name: str, lives: HalfLives, life: int | None = None
    ) -> None:
        self.marshal, self.names, self.name, self.lives = marshal, names, name, lives
        self.life = marshal.life if life is None else life
        self.learnt = Learnt()
        self.window_known = False  # an orderly end's snapshot of this name holds the whole last window

    def put(self, items: list[StateItem], now: float) -> int:
        return self.learnt.put([each for each in items if not self.own(each)], now)

    def own(self, item: StateItem) -> bool:
        """This very life's words, come back."""
        return (
            item.origin == self.name
            and item.incarnation == self.life
            and not isinstance(item, SequentialTestSums)
        )

    def belief(self, now: float) -> MergedState:
        processes: dict[str, EndpointProcess] = {}
        for index, node in self.marshal.nodes.items():
            if node.entry.condition is Condition.READY and (name := self.names.nodes[index]) is not None:
                processes[name] = EndpointProcess(name, node.entry.build, node.entry.started)
        span = self.marshal.settings.release.exposure_window
        found = merge_items(self.learnt.items(now), processes, self.name, span, self.lives)
        found.window_known = self.window_known
        return found

    def lore(self, belief: MergedState, now: float) -> InheritedState:
        """A belief as the brain's door takes it; names that this marshal does not know are left out."""
        marshal, names = self.marshal, self.names
        index = {name: number for number in marshal.nodes if (name := names.nodes[number]) is not None}
        workloads = {name: number for number, name in enumerate(names.workloads)}
        kinds = {names.kind(number): number for number in range(len(names.kinds))}
        ratios = {names.ratio(number): number for number in range(len(marshal.past))}
        pace, earlier = dict[int, tuple[float, int]](), dict[tuple[int, int], tuple[float, int]]()
        for (workload, kind), known in belief.latencies.items():
            if workload not in workloads:
                continue
            if not kind:
                pace[workloads[workload]] = known
            elif kind in kinds:
                earlier[workloads[workload], kinds[kind]] = known
        heard = []
        for item in belief.sums:
            if item.instance < marshal.settings.instance_count:
                fit = {r: row for r, row in item.ratios.items() if 0 <= r < len(marshal.past)}
                heard.append(
                    (
                        item.instance,
                        InstanceReport(item.incarnation, item.build, item.stage, 0.0, 0.0, {}, fit),
                    )
                )
        span = marshal.settings.release.exposure_window
        since = now - marshal.began  # rows of a former life lie before this one began
        return InheritedState(
            nodes={
                index[name]: InheritedEndpoint(
                    each.latency_ratio,
                    each.failure_rate,
                    each.ejected,
                    each.ejection_time,
                    each.slow_start_rate,
                )
                for name, each in belief.endpoints.items()
                if name in index
            },
            sums=heard,
            past={ratios[name]: row for name, row in belief.baseline.items() if name in ratios},
            pace=pace,
            earlier_pace=earlier,
            sent=[
                (each.age - since, workloads[each.request_class], each.build)
                for each in belief.sent
                if each.request_class in workloads and 0 <= each.age - since <= span
            ],
            taken=[
                (each.age - since, workloads[each.request_class])
                for each in belief.admitted
                if each.request_class in workloads and 0 <= each.age - since <= span
            ],
            window_known=belief.window_known,
        )


def as_news(told: ReleaseReport, age: float = 0.0) -> ReleaseStatus:
    phase = Phase(told.phase)
    cap = 0.0 if phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK) else told.cap
    return ReleaseStatus(ReplyStatus.ACCEPTED, False, told.build, told.stage, phase, cap, told.age + age)
