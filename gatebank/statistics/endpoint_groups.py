"""Endpoints that may be sent to, by build and by ejected or not, in the order of the endpoint list.

Lists are made when they are first asked for, and again after a change: of the endpoint list, or of an
endpoint ejected or taken back. Between changes, which are rare beside requests, asking costs the same among 4
and 10,000.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Collection, Hashable, Sequence
from typing import NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.statistics.order_statistics import OrderStatistics

# Sets of builds asked for between two changes: a fleet has a few builds, all pairs of eight are 28.
MAX_SELECTIONS = 64


class Selection(NamedTuple):
    """Endpoints of some builds: all, and those that are not ejected."""

    endpoints: list[EndpointState]
    healthy: list[EndpointState]


class OldestEndpoints(NamedTuple):
    """The endpoints of a build that started up to a time, in seconds, and how many they are."""

    started_until: float
    size: int

    def contain(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint of that build is one of them; if no start is told, it is."""
        return (endpoint.listed.started_at or 0.0) <= self.started_until


class MedianKey(NamedTuple):
    """Which value of endpoints a median is of, and over which of them."""

    value: str
    over: Hashable


class EndpointGroups:
    """A fixed sequence of endpoints, grouped; ejections must be told by `ejection_changed`."""

    def __init__(self, endpoints: Sequence[EndpointState]) -> None:
        self.endpoints = endpoints
        self.by_build: dict[int, list[EndpointState]] = {}
        for endpoint in endpoints:
            self.by_build.setdefault(endpoint.listed.build, []).append(endpoint)
        self._members: set[int] | None = None
        self._oldest: dict[tuple[int, int, float], OldestEndpoints] = {}
        # All of these are emptied by `ejection_changed`.
        self._selections: dict[tuple[bool, frozenset[int]], Selection] = {}
        self._warm_ups: dict[int, WarmUpOrder] = {}  # by the identity of a list
        self._medians: dict[MedianKey, tuple[OrderStatistics, Callable[[EndpointState], bool]]] = {}
        self._ejected: int | None = None

    def ejection_changed(self) -> None:
        """An endpoint was ejected or taken back."""
        self._selections.clear()
        self._warm_ups.clear()
        self._medians.clear()
        self._ejected = None

    def select(self, builds: Collection[int], *, excluded: bool = False) -> Selection:
        """The endpoints of these builds, or of all others, in the order of the list."""
        key = excluded, frozenset(builds)
        found = self._selections.get(key)
        if found is None:
            if len(self._selections) >= MAX_SELECTIONS:
                self._selections.clear()
                self._warm_ups.clear()
            found = self._selections[key] = self._new_selection(builds, excluded=excluded)
        return found

    def _new_selection(self, builds: Collection[int], *, excluded: bool) -> Selection:
        wanted = [build for build in self.by_build if (build in builds) is not excluded]
        if len(wanted) == len(self.by_build):
            endpoints = list(self.endpoints)
        elif len(wanted) == 1:
            endpoints = self.by_build[wanted[0]]
        else:
            endpoints = [each for each in self.endpoints if (each.listed.build in builds) is not excluded]
        return Selection(endpoints, [each for each in endpoints if not each.ejected])

    def oldest(self, build: int, minimum: int, together_s: float) -> OldestEndpoints:
        """The endpoints of a build that started first.

        Args:
            build: which build.
            minimum: how many at least, if the build has as many.
            together_s: they include what started within so many seconds of these.
        """
        key = build, minimum, together_s
        found = self._oldest.get(key)
        if found is None:
            starts = sorted(each.listed.started_at or 0.0 for each in self.by_build.get(build, ()))
            until = starts[min(minimum, len(starts)) - 1] + together_s if starts else 0.0
            found = self._oldest[key] = OldestEndpoints(until, bisect_right(starts, until))
        return found

    def contains(self, endpoint: EndpointState) -> bool:
        """Whether it is one of these endpoints."""
        if self._members is None:
            self._members = set(map(id, self.endpoints))
        return id(endpoint) in self._members

    def healthy_count(self) -> int:
        """How many are not ejected."""
        if self._ejected is None:
            self._ejected = sum(each.ejected for each in self.endpoints)
        return len(self.endpoints) - self._ejected

    def capacity(
        self,
        selection: Selection,
        now: float,
        warm_up: float,
        capacity_of: Callable[[EndpointState], float],
    ) -> float:
        """The sum of ``capacity_of`` over the healthy ones of a selection.

        It is asked of those that are not warm yet, and once of a warm one, as all of these are alike. Sums
        differ from the plain one's by rounding, 1e-12 of it.
        """
        return self._warm_up_order(selection.healthy).capacity(now, warm_up, capacity_of)

    def warm_count(self, endpoints: Sequence[EndpointState], now: float, warm_up: float) -> int:
        """How many of a list that lives as long as this are warm."""
        return self._warm_up_order(endpoints).warm_count(now, warm_up)

    def _warm_up_order(self, endpoints: Sequence[EndpointState]) -> WarmUpOrder:
        found = self._warm_ups.get(id(endpoints))
        if found is None:
            found = self._warm_ups[id(endpoints)] = WarmUpOrder(endpoints)
        return found

    def median(
        self,
        key: MedianKey,
        counts: Callable[[EndpointState], bool],
        value_of: Callable[[EndpointState], float],
        empty: float,
    ) -> float:
        """The median of a value over the endpoints that count; `value_changed` keeps it up to date."""
        found = self._medians.get(key)
        if found is None:
            values = OrderStatistics(value_of(each) for each in self.endpoints if counts(each))
            found = self._medians[key] = values, counts
        return found[0].median(empty)

    def value_changed(self, value: str, endpoint: EndpointState, old: float | None, new: float) -> None:
        """That value of an endpoint was another, or (None) did not count so far."""
        if not self._medians or not self.contains(endpoint):
            return
        for key, (values, counts) in self._medians.items():
            if key.value != value or not counts(endpoint):
                continue
            if old is None:
                values.add(new)
            else:
                values.replace(old, new)


class WarmUpOrder:
    """Which of some endpoints are not warm yet, the oldest last: these are taken off as they become so."""

    __slots__ = ("_cold", "_warm")

    def __init__(self, endpoints: Sequence[EndpointState]) -> None:
        started = [each for each in endpoints if each.listed.started_at]
        others = [each for each in endpoints if not each.listed.started_at]
        self._cold = sorted(started, key=lambda each: each.listed.started_at or 0.0, reverse=True)
        self._warm = others[:1] * len(others)

    def warm_count(self, now: float, warm_up: float) -> int:
        """How many are warm."""
        while self._cold and now - (self._cold[-1].listed.started_at or 0.0) >= warm_up:
            self._warm.append(self._cold.pop())
        return len(self._warm)

    def capacity(self, now: float, warm_up: float, capacity_of: Callable[[EndpointState], float]) -> float:
        """The sum of ``capacity_of`` over all, asked of one of the warm ones."""
        warm = self.warm_count(now, warm_up)
        return (warm * capacity_of(self._warm[0]) if warm else 0.0) + sum(map(capacity_of, self._cold))
