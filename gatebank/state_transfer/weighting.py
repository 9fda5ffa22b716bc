"""What a learner believes of what it was told. No I/O; ages in, beliefs out.

An item weighs 2^(-age / half-life), times what it was seen of: seen / (seen + its `enough`). Several donors'
items of one thing are joined by weight, and where they disagree each counts for less. Good news ages faster
than bad: a sick node held for well costs invocations, a well one held for sick costs a probe.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gatebank.state_transfer.items import Cold, Health, Known, News, Past, Sent, Sums, Times, Took, newest


@dataclass(slots=True, frozen=True)
class HalfLives:
    """Seconds after which an item counts for half; the operators' file may set them."""

    # Least square error over drawn histories (benchmarks/lives.py) at 4 to 8 s: the shorter, as it is held
    # well.
    well: float = 4.0
    # At 8 to 16 s: the longer, as a well node held sick costs two probes, and no customers.
    sick: float = 16.0
    slow: float = 8.0  # its times over the usual ones: the same troubles, and wrong either way costs alike
    # These three are as the brain's own tables fade, not measured: usual times move with builds and load, the
    # earlier build's share of failures is a few minutes' worth, a stage lasts seconds to minutes.
    times: float = 256.0
    past: float = 128.0
    sums: float = 64.0


ENOUGH = {Health: 5, Times: 10, Past: 10}  # outcomes of which an item counts for half
LEAST = 0.02  # weight below which an item is not worth having: 0.02 of a node's faults move nothing
AGREE = 0.25  # two donors' shares of faults further apart than this: each counts for half
FAR_OFF = 3.0  # times: a pace so many times another donor's is left out unless it has more seen
MOST_AGE = 3600.0  # s: nothing older is believed, whatever its half-life


@dataclass(slots=True)
class NodeBelief:
    slow: float = 1.0
    faults: float = 0.0
    weight: float = 0.0
    aside: bool = False  # probed before it is used
    hold: float = 0.0
    cold_rate: float = 0.0  # shots a second that others send it


@dataclass(slots=True)
class Belief:
    """For the brain's door, still by names."""

    nodes: dict[str, NodeBelief] = field(default_factory=dict)
    sums: list[Sums] = field(default_factory=list)
    past: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    times: dict[tuple[str, str], tuple[float, int]] = field(default_factory=dict)
    news: News | None = None  # only as far as it restrains
    sent: list[Sent] = field(default_factory=list)  # this name's own, within the window
    took: list[Took] = field(default_factory=list)
    window_known: bool = False  # an own snapshot of the last window was there


Process = tuple[str, int, float | None]  # id, build, start


def weight(item: Known, half_life: float) -> float:
    """
    >>> round(weight(Times(by="m", age=256.0, seen=10, workload="r", pace=1.0), 256.0), 3)
    0.25
    """
    if item.age > MOST_AGE:
        return 0.0
    enough = ENOUGH.get(type(item), 0)
    return 0.5 ** (item.age / half_life) * (item.seen / (item.seen + enough) if enough else 1.0)


def believe(
    items: Iterable[Known],
    processes: Mapping[str, Process],
    name: str,
    window: float,
    lives: HalfLives,
) -> Belief:
    """``processes``: nodes as this marshal's own roll has them now: what was told of another process under
    the same id is dropped. ``name`` is the learner's own; ``window`` the exposure window."""
    found, rows = Belief(), newest(items)
    of_nodes: dict[str, list[Health]] = {}
    times: dict[tuple[str, str], list[Times]] = {}
    past: dict[str, list[Past]] = {}
    for item in rows:
        match item:
            case Health() if same(item, processes):
                of_nodes.setdefault(item.node, []).append(item)
            case Cold() if same(item, processes) and item.by != name and item.age < 2 * window:
                belief = found.nodes.setdefault(item.node, NodeBelief())
                belief.cold_rate += item.rate  # each sender's own: their sum is what it bears
            case Sums() if item.age <= MOST_AGE and weight(item, lives.sums) >= LEAST:
                found.sums.append(item)
            case Past():
                past.setdefault(item.ratio, []).append(item)
            case Times():
                times.setdefault((item.workload, item.kind), []).append(item)
            case News() if item.age <= MOST_AGE:
                found.news = stricter(found.news, item)
            case Sent() if item.by == name and item.age <= window:
                found.sent.append(item)
            case Took() if item.by == name and item.age <= window:
                found.took.append(item)
    for node, told in of_nodes.items():
        node_belief(found.nodes.setdefault(node, NodeBelief()), told, lives)
    for key, told in times.items():
        if joined := pace(told, lives.times):
            found.times[key] = joined
    for ratio, told in past.items():
        weights = [weight(each, lives.past) for each in told]
        best = max(range(len(told)), key=lambda at: weights[at] * told[at].all)  # the one that saw most
        if weights[best] >= LEAST:
            one, w = told[best], weights[best]
            found.past[ratio] = (one.bad * w, one.all * w, one.lately)
    return found


def same(item: Health | Cold, processes: Mapping[str, Process]) -> bool:
    """Is it the process that runs there now?"""
    process = processes.get(item.node)
    return process is not None and process[1] == item.build and process[2] == item.started


def node_belief(found: NodeBelief, told: list[Health], lives: HalfLives) -> None:
    """Joined by weight. A node that any donor lately held sick is not held well: it is aside until probed."""
    good = [(each, weight(each, lives.well)) for each in told if each.faults < 0.2 and not each.aside]
    bad = [(each, weight(each, lives.sick)) for each in told if each.faults >= 0.2 or each.aside]
    total = sum(w for _, w in good + bad)
    if total < LEAST:
        return
    faults = sum(each.faults * w for each, w in good + bad) / total
    apart = max(each.faults for each in told) - min(each.faults for each in told)
    found.weight = min(1.0, total) * (0.5 if apart > AGREE else 1.0)
    found.faults = faults * found.weight if not bad else max(faults * found.weight, worst(bad))
    slows = [(each.slow, weight(each, lives.slow)) for each in told]
    if (of_slow := sum(w for _, w in slows)) >= LEAST:
        mean = sum(slow * w for slow, w in slows) / of_slow
        found.slow = 1.0 + (mean - 1.0) * min(1.0, of_slow)
    aside = [(each, w) for each, w in bad if each.aside and w >= LEAST]
    youngest = min((each.age for each, _ in aside), default=0.0)
    healed = any(each.age < youngest and each.seen >= 5 for each, _ in good)
    found.aside = bool(aside) and not healed
    found.hold = max((each.hold for each, _ in aside), default=0.0)


def worst(bad: list[tuple[Health, float]]) -> float:
    return max(each.faults * w for each, w in bad)


def pace(told: list[Times], half_life: float) -> tuple[float, int] | None:
    """The weighted mean, and of how many outcomes it counts for. One far from who saw most is left out."""
    rows = [(each, w) for each in told if (w := weight(each, half_life)) >= LEAST and each.pace > 0]
    if not rows:
        return None
    most = max(rows, key=lambda row: row[0].seen * row[1])[0].pace
    rows = [row for row in rows if most / FAR_OFF <= row[0].pace <= most * FAR_OFF]
    total = sum(w * each.seen for each, w in rows)
    if not total:
        return None
    mean = sum(each.pace * w * each.seen for each, w in rows) / total
    return mean, int(min(total, max(each.seen for each, _ in rows)))  # agreement adds no outcomes


def stricter(was: News | None, told: News) -> News:
    """The newer build; of one build the younger word, and of words as young the lower cap.

    >>> word = lambda **more: News(by="m", build=4, stage=0, **more)
    >>> stricter(word(age=1.0, phase=0, cap=0.3), word(age=9.0, phase=0, cap=0.9)).cap
    0.3
    """
    if was is None or told.build > was.build:
        return told
    if told.build < was.build:
        return was
    return told if told.age < was.age else was


def only_down(told: News | None, own: tuple[int, int, float | None] | None) -> News | None:
    """A donor's news is used only where it allows less than what this marshal was told: (build, phase, cap).

    Until the desk itself has spoken, a newer build counts as in its first stage anyway (rule 5); so what is
    taken up is a withdrawal, a way back, or a lower cap of the same build.

    >>> back = News(by="m", age=1.0, build=4, stage=1, phase=1, cap=0.0)
    >>> on = News(by="m", age=1.0, build=4, stage=2, phase=0, cap=0.6)
    >>> only_down(back, (4, 0, 0.2)) is back, only_down(on, (4, 0, 0.2)), only_down(on, (3, 2, 1.0))
    (True, None, None)
    """
    if told is None or own is None:
        return told if told is not None and told.phase in (1, 3) else None
    build, phase, cap = own
    if told.build != build:
        return told if told.build > build and told.phase in (1, 3) else None
    if told.phase in (1, 3) and phase not in (1, 3):
        return told
    lower = told.cap is not None and told.phase == 0 and (cap is None or told.cap < cap)
    return told if lower and phase in (0, 2) else None
