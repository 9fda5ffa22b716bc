"""A marshal's knowledge into items, and beliefs back into the brain's door. No I/O.

Between the brain's small indices and the names of the form. What a marshal was taught and has not yet seen
for itself is told on with its own age and origin, so that it grows old however often it is passed on.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from gatebank.balancer import Balancer
from gatebank.core.endpoint_state import EndpointState
from gatebank.core.llr_sums import Statistic
from gatebank.events import (
    AcceptedRow,
    BaselineErrors,
    Condition,
    InheritedEndpoint,
    InheritedState,
    LatencyEstimate,
    Phase,
    ReleaseStatus,
    ReplyStatus,
    SentRow,
)
from gatebank.peer_messages import InstanceReport, LlrSum
from gatebank.settings import Settings
from gatebank.state_transfer.items import (
    Cold,
    Health,
    Known,
    News,
    Past,
    Sent,
    Sums,
    Times,
    Took,
    identity,
    newest,
)
from gatebank.state_transfer.weighting import MOST_AGE, Belief, HalfLives, Process, believe

MOST_ROWS = 4096  # of single shots and invocations in one telling: a window of 2 s at 2,000 a second
SLICE = 256  # nodes told of in one turn: about a millisecond
OWN = 5  # endings of a node behind which hearsay on it is no longer told on
RATIOS = {
    Statistic.ERRORS: "broke",
    Statistic.LATE: "late",
    Statistic.LATE_EVERYWHERE: "everywhere",
    Statistic.CONNECTIONS_LOST: "cut",
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
        return RATIOS.get(index) or f"errors:{self.workloads[index - Statistic.FIRST_CLASS]}"


@dataclass
class Learnt:
    """What was taught, with when it came: each goes when it is too old, replaced, or seen for oneself."""

    rows: dict[object, tuple[Known, float]] = field(default_factory=dict)

    def put(self, items: Iterable[Known], now: float) -> int:
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

    def items(self, now: float) -> list[Known]:
        """As old as they are by now; what is too old goes."""
        for key, (item, came) in list(self.rows.items()):
            if item.age + now - came > MOST_AGE:
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
) -> Iterator[list[Known]]:
    """All that a marshal called ``name`` knows at ``now`` (the brain's clock), the most valuable first, in
    slices that each take a turn of the loop or less: time may pass between them. ``single``: the window's
    single shots and invocations too."""
    mine = {"by": name, "life": marshal.state.incarnation if life is None else life}
    rows = [
        (index, node)
        for index, node in marshal.state.endpoints.by_index.items()
        if node.results and names.nodes[index]
    ]
    seen = {names.nodes[index] for index, node in rows if node.results >= OWN}
    # A former life's single rows are of use to nobody but a later start of that name, from its own snapshot.
    passed = [
        item
        for item in (learnt.items(now) if learnt else ())
        if not isinstance(item, Sent | Took) and not (isinstance(item, Health) and item.node in seen)
    ]
    urgent = [item for item in passed if isinstance(item, News | Cold) or getattr(item, "aside", False)]
    yield [
        *word(marshal, mine),
        *cold(marshal, names, mine, now),
        *(health(node, names.nodes[index] or "", mine, now) for index, node in rows if node.ejected),
        *urgent,
        *sums(marshal, mine),
        *usual(marshal, names, mine),
    ]
    if single:
        yield list(window(marshal, names, mine, now))
    well = [row for row in rows if not row[1].ejected]
    for at in range(0, len(well), SLICE):
        yield [health(node, names.nodes[index] or "", mine, now) for index, node in well[at : at + SLICE]]
    rest = [item for item in passed if item not in urgent] if urgent else passed
    for at in range(0, len(rest), SLICE):
        yield rest[at : at + SLICE]


def word(marshal: Balancer, mine: Mapping[str, Any]) -> Iterator[Known]:
    news = marshal.state.release
    if news and None not in (news.build, news.stage, news.phase):
        cap = None if news.cap is None else min(1.0, max(0.0, news.cap))
        place = {"build": news.build, "stage": news.stage, "phase": int(news.phase or 0)}
        yield News(**mine, age=max(0.0, news.age), seen=1, cap=cap, **place)


def cold(marshal: Balancer, names: Names, mine: Mapping[str, Any], now: float) -> Iterator[Known]:
    """What this marshal sends nodes that have just started: its shots out over the time that they take."""
    state = marshal.state
    limit, sent = state.settings.slow_start.warm_up + 1.0, dict[tuple[str, int, float], int]()
    for attempt in state.outstanding.values():
        entry = attempt.endpoint.listed
        if entry.started and now - entry.started < limit and (name := names.nodes[entry.index]):
            key = name, entry.build, entry.started
            sent[key] = sent.get(key, 0) + 1
    for (node_name, build, started), many in sent.items():
        rate = min(1e6, many / max(0.1, state.latencies.longest))
        place = {"node": node_name, "build": build, "started": started}
        yield Cold(**mine, age=0.0, seen=many, rate=rate, **place)


def health(node: EndpointState, name: str, mine: Mapping[str, Any], now: float) -> Known:
    entry = node.listed
    return Health(
        **mine,
        age=max(0.0, now - node.last_result_at),
        seen=node.results,
        node=name,
        build=entry.build,
        started=entry.started,
        slow=min(1e4, max(0.0, node.latency_ratio)),
        faults=min(1.0, max(0.0, node.failure_rate)),
        aside=node.ejected,
        hold=node.ejection_time,
    )


def usual(marshal: Balancer, names: Names, mine: Mapping[str, Any]) -> Iterator[Known]:
    """What the earlier build does: its failures, and its times."""
    for index, (bad, many, lately) in enumerate(marshal.state.baseline_errors):
        if many:
            row = {"bad": bad, "all": many, "lately": min(1.0, max(0.0, lately))}
            yield Past(**mine, age=0.0, seen=int(many), ratio=names.ratio(index), **row)
    for w, (pace, many) in enumerate(marshal.state.latencies.by_class):
        if many:
            yield Times(**mine, age=0.0, seen=many, workload=names.workloads[w], pace=pace)
    for (w, kind), (pace, many) in marshal.state.latencies.baseline.items():
        row = {"workload": names.workloads[w], "kind": names.kind(kind), "pace": pace}
        yield Times(**mine, age=0.0, seen=many, **row)


def window(marshal: Balancer, names: Names, mine: Mapping[str, Any], now: float) -> Iterator[Known]:
    """Single shots at each build, and invocations taken, of the last exposure window."""
    since = now - marshal.state.settings.release.exposure_window
    shots = [
        (at, w, build) for build, rows in marshal.state.traffic.sent.items() for at, w in rows if at >= since
    ]
    for at, w, build in sorted(shots)[-MOST_ROWS:]:
        yield Sent(**mine, age=max(0.0, now - at), seen=1, build=build, workload=names.workloads[w])
    for at, w in [row for row in marshal.state.traffic.accepted if row[0] >= since][-MOST_ROWS:]:
        yield Took(**mine, age=max(0.0, now - at), seen=1, workload=names.workloads[w])


def sums(marshal: Balancer, mine: Mapping[str, Any]) -> list[Known]:
    """The design's sums of the trial at hand: this marshal's own, and what it heard of others' lives."""
    trial = marshal.state.test
    if trial is None:
        return []
    place = {"build": trial.build, "stage": trial.sums.stage, "age": 0.0}
    own = {r: each for r, each in enumerate(trial.sums.own) if each.outcomes}
    rows = {(marshal.state.settings.instance, marshal.state.incarnation): own, **trial.sums.by_peer}
    found: list[Known] = []
    for (peer, life), ratios in rows.items():
        if ratios:
            whole = {r: (value, min(10**9, seen)) for r, (value, seen) in ratios.items()}
            most = max(seen for _, seen in whole.values())
            found.append(Sums(by=mine["by"], life=life, seen=most, marshal=peer, ratios=whole, **place))
    return found


class Taught:
    """Beliefs in the front's indices."""

    def __init__(
        self, marshal: Balancer, names: Names, name: str, lives: HalfLives, life: int | None = None
    ) -> None:
        self.marshal, self.names, self.name, self.lives = marshal, names, name, lives
        self.life = marshal.state.incarnation if life is None else life
        self.learnt = Learnt()
        self.window_known = False  # an orderly end's snapshot of this name holds the whole last window

    def put(self, items: list[Known], now: float) -> int:
        return self.learnt.put([each for each in items if not self.own(each)], now)

    def own(self, item: Known) -> bool:
        """This very life's words, come back."""
        return item.by == self.name and item.life == self.life and not isinstance(item, Sums)

    def belief(self, now: float) -> Belief:
        processes: dict[str, Process] = {}
        for index, node in self.marshal.state.endpoints.by_index.items():
            if node.listed.condition is Condition.READY and (name := self.names.nodes[index]) is not None:
                processes[name] = name, node.listed.build, node.listed.started
        span = self.marshal.state.settings.release.exposure_window
        found = believe(self.learnt.items(now), processes, self.name, span, self.lives)
        found.window_known = self.window_known
        return found

    def lore(self, belief: Belief, now: float) -> InheritedState:
        """A belief as the brain's door takes it; names that this marshal does not know are left out."""
        marshal, names = self.marshal, self.names
        index = {
            name: number
            for number in marshal.state.endpoints.by_index
            if (name := names.nodes[number]) is not None
        }
        workloads = {name: number for number, name in enumerate(names.workloads)}
        kinds = {names.kind(number): number for number in range(len(names.kinds))}
        ratios = {names.ratio(number): number for number in range(len(marshal.state.baseline_errors))}
        pace = dict[int, LatencyEstimate]()
        earlier = dict[tuple[int, int], LatencyEstimate]()
        for (workload, kind), known in belief.times.items():
            if workload not in workloads:
                continue
            if not kind:
                pace[workloads[workload]] = LatencyEstimate(*known)
            elif kind in kinds:
                earlier[workloads[workload], kinds[kind]] = LatencyEstimate(*known)
        heard = []
        for item in belief.sums:
            if item.marshal < marshal.state.settings.instance_count:
                fit = {
                    r: LlrSum(*row)
                    for r, row in item.ratios.items()
                    if 0 <= r < len(marshal.state.baseline_errors)
                }
                heard.append(
                    (item.marshal, InstanceReport(item.life, item.build, item.stage, 0.0, 0.0, {}, fit))
                )
        span = marshal.state.settings.release.exposure_window
        since = now - marshal.state.started_at  # rows of a former life lie before this one began
        return InheritedState(
            endpoints={
                index[name]: InheritedEndpoint(each.slow, each.faults, each.aside, each.hold, each.cold_rate)
                for name, each in belief.nodes.items()
                if name in index
            },
            reports=heard,
            baseline_errors={
                ratios[name]: BaselineErrors(*row) for name, row in belief.past.items() if name in ratios
            },
            latency=pace,
            baseline_latency=earlier,
            sent=[
                SentRow(each.age - since, workloads[each.workload], each.build)
                for each in belief.sent
                if each.workload in workloads and 0 <= each.age - since <= span
            ],
            accepted=[
                AcceptedRow(each.age - since, workloads[each.workload])
                for each in belief.took
                if each.workload in workloads and 0 <= each.age - since <= span
            ],
            window_known=belief.window_known,
        )


def as_news(told: News, age: float = 0.0) -> ReleaseStatus:
    phase = Phase(told.phase)
    cap = 0.0 if phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK) else told.cap
    return ReleaseStatus(ReplyStatus.ACCEPTED, False, told.build, told.stage, phase, cap, told.age + age)
