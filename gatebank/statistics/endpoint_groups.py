"""Nodes that may be sent to, by build and by aside or not, in the roll's order; and which were silent
longest.

Lists are made when they are first asked for, and again after a change: of the roll, or of a node set aside or
taken back. Between changes, which are rare beside invocations, asking costs the same among 4 and 10,000.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from typing import Any, NamedTuple

from gatebank.statistics.order_statistics import OrderStatistics

MOST_SETS = 64  # of builds asked for between two changes: a fleet has a few builds, all pairs of eight are 28


class Some(NamedTuple):
    """Nodes of some builds: all, and those that are not aside."""

    nodes: list[Any]
    fit: list[Any]


class EndpointGroups:
    """``nodes`` have ``entry.build`` and ``aside``, which `changed` must be told of."""

    def __init__(self, nodes: Sequence[Any]) -> None:
        self.nodes = nodes
        self.builds: dict[int, list[Any]] = {}
        for node in nodes:
            self.builds.setdefault(node.entry.build, []).append(node)
        self.members: set[int] | None = None
        self.sets: dict[tuple[bool, frozenset[int]], Some] = {}  # emptied by `changed`
        self.warmth: dict[int, Warmth] = {}  # likewise, by which list
        self.middles: dict[tuple[str, object], tuple[OrderStatistics, Callable[[Any], bool]]] = {}  # likewise
        self.aside: int | None = None

    def changed(self) -> None:
        """A node was set aside or taken back."""
        self.sets.clear()
        self.warmth.clear()
        self.middles.clear()
        self.aside = None

    def some(self, builds: Collection[int], but: bool = False) -> Some:
        """The nodes of these builds, or of all others; in the roll's order."""
        key = but, frozenset(builds)
        found = self.sets.get(key)
        if found is None:
            if len(self.sets) >= MOST_SETS:
                self.sets.clear()
                self.warmth.clear()
            wanted = [build for build in self.builds if (build in builds) is not but]
            if len(wanted) == len(self.builds):
                nodes = list(self.nodes)
            elif len(wanted) == 1:
                nodes = self.builds[wanted[0]]
            else:
                nodes = [node for node in self.nodes if (node.entry.build in builds) is not but]
            found = self.sets[key] = Some(nodes, [node for node in nodes if not node.aside])
        return found

    def has(self, node: Any) -> bool:
        """Is it one of these nodes?"""
        if self.members is None:
            self.members = set(map(id, self.nodes))
        return id(node) in self.members

    def not_aside(self) -> int:
        if self.aside is None:
            self.aside = sum(node.aside for node in self.nodes)
        return len(self.nodes) - self.aside

    def part(self, some: Some, now: float, warm_after: float, present: Callable[[Any], float]) -> float:
        """The sum of what the fit ones can do: ``present`` is asked of those that are not warm yet, and once
        of a warm one, as all of these are alike. Sums differ from the plain one's by rounding: 1e-12 of
        it."""
        return self.warmth_of(some.fit).part(now, warm_after, present)

    def warm(self, nodes: Sequence[Any], now: float, warm_after: float) -> int:
        """How many of a list of these are warm; like `part`, it looks again at those alone that are not."""
        return self.warmth_of(nodes).many(now, warm_after)

    def warmth_of(self, nodes: Sequence[Any]) -> Warmth:
        """Kept by which list it is: `warm` is asked for one that lives as long as this."""
        found = self.warmth.get(id(nodes))
        if found is None:
            found = self.warmth[id(nodes)] = Warmth(nodes)
        return found

    def median(
        self, of: str, name: object, fits: Callable[[Any], bool], value: Callable[[Any], float], empty: float
    ) -> float:
        """The median of a value over the nodes that fit, kept until `changed`; `moved` tells what changes."""
        found = self.middles.get((of, name))
        if found is None:
            ranks = OrderStatistics(value(node) for node in self.nodes if fits(node))
            found = self.middles[of, name] = ranks, fits
        return found[0].median(empty)

    def moved(self, of: str, node: Any, was: float | None, now: float) -> None:
        """That value of a node was another, or (None) did not count so far; the node fits as it is now."""
        if not self.middles or not self.has(node):
            return
        for (each, _), (ranks, fits) in self.middles.items():
            if each == of and fits(node):
                ranks.add(now) if was is None else ranks.change(was, now)


class Warmth:
    """Which of some nodes are not warm yet, the oldest last: these are taken off as they become so."""

    __slots__ = ("cold", "warm")

    def __init__(self, nodes: Sequence[Any]) -> None:
        started = [node for node in nodes if node.entry.started]
        self.cold = sorted(started, key=lambda node: node.entry.started, reverse=True)
        self.warm = [node for node in nodes if not node.entry.started][:1] * (len(nodes) - len(started))

    def many(self, now: float, warm_after: float) -> int:
        while self.cold and now - self.cold[-1].entry.started >= warm_after:
            self.warm.append(self.cold.pop())
        return len(self.warm)

    def part(self, now: float, warm_after: float, present: Callable[[Any], float]) -> float:
        warm = self.many(now, warm_after)
        return (warm * present(self.warm[0]) if warm else 0.0) + sum(map(present, self.cold))


class OutstandingAttempts:
    """Nodes with shots out, the one from which nothing came for longest first, and what they hold by
    workload."""

    __slots__ = ("held", "order")

    def __init__(self) -> None:
        self.order: OrderedDict[Any, dict[int, int]] = OrderedDict()  # a node goes as its last shot ends
        self.held: dict[int, int] = {}  # by workload, of all

    def sent(self, node: Any, workload: int) -> None:
        """A shot is out; the node's silence begins with its first."""
        row = self.order.get(node)
        if row is None:
            row = self.order[node] = {}
        row[workload] = row.get(workload, 0) + 1
        self.held[workload] = self.held.get(workload, 0) + 1

    def ended(self, node: Any, workload: int) -> None:
        """One of its shots ended: it has spoken."""
        row = self.order[node]
        for table in (row, self.held):
            table[workload] -= 1
            if not table[workload]:
                del table[workload]
        if row:
            self.order.move_to_end(node)
        else:
            del self.order[node]

    def out(self, but: Collection[int], silent: Callable[[Any], bool]) -> int:
        """Shots out, but those of some workloads and those at silent nodes; these stand first."""
        total = sum(many for workload, many in self.held.items() if workload not in but)
        for node, row in self.order.items():
            if not silent(node):
                break
            total -= sum(many for workload, many in row.items() if workload not in but)
        return total

    def silent(self, silent: Callable[[Any], bool], counts: Callable[[Any], bool]) -> int:
        """How many silent nodes count."""
        found = 0
        for node in self.order:
            if not silent(node):
                break
            found += counts(node)
        return found
