"""Endpoints that may be sent to, by build and by whether they are ejected, in the order of the endpoint list.

Lists are built on first use and built again after a change: a new endpoint list, an ejection, or the end of
an ejection. Changes are rare compared with requests. Between them, a lookup costs the same among 4
endpoints and among 10,000.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Collection, Hashable, Sequence
from typing import NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.statistics.order_statistics import OrderStatistics

# Upper bound of the sets of builds that are cached between two changes. A fleet has few builds: eight builds
# have 28 pairs.
MAX_SELECTIONS = 64


class Selection(NamedTuple):
    """The endpoints of some builds: all of them, and those that are not ejected."""

    endpoints: list[EndpointState]
    healthy: list[EndpointState]


class OldestEndpoints(NamedTuple):
    """The endpoints of a build that started up to a time in seconds, and the number of these endpoints."""

    started_until: float
    size: int

    def includes(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint of the build belongs to them; it does if its start is unknown."""
        return (endpoint.listed.started_at or 0.0) <= self.started_until


class MedianKey(NamedTuple):
    """The name of an endpoint's value that a median is of, and a key of the group that the median is over."""

    value: str
    group: Hashable


class EndpointGroups:
    """A fixed sequence of endpoints in groups.

    `ejection_changed` must be called after each ejection and after the end of each ejection.
    """

    def __init__(self, endpoints: Sequence[EndpointState]) -> None:
        self.endpoints = endpoints
        self.by_build: dict[int, list[EndpointState]] = {}
        for endpoint in endpoints:
            self.by_build.setdefault(endpoint.listed.build, []).append(endpoint)
        self._members: set[int] | None = None
        self._oldest: dict[tuple[int, int, float], OldestEndpoints] = {}
        # `ejection_changed` clears all of the following.
        self._selections: dict[tuple[bool, frozenset[int]], Selection] = {}
        self._warm_ups: dict[int, WarmUpOrder] = {}  # keyed by the identity of a list of endpoints
        self._medians: dict[MedianKey, tuple[OrderStatistics, Callable[[EndpointState], bool]]] = {}
        self._ejected: int | None = None

    def ejection_changed(self) -> None:
        """Drop cached groups after an endpoint was ejected or returned from its ejection."""
        self._selections.clear()
        self._warm_ups.clear()
        self._medians.clear()
        self._ejected = None

    def select(self, builds: Collection[int], *, excluded: bool = False) -> Selection:
        """Return the endpoints of these builds in the order of the endpoint list.

        Args:
            builds: The builds.
            excluded: Select all builds but these.
        """
        key = excluded, frozenset(builds)
        found = self._selections.get(key)
        if found is None:
            if len(self._selections) >= MAX_SELECTIONS:
                self._selections.clear()
                self._warm_ups.clear()
            found = self._selections[key] = self._new_selection(builds, excluded=excluded)
        return found

    def _new_selection(self, builds: Collection[int], *, excluded: bool) -> Selection:
        selected = [build for build in self.by_build if (build in builds) is not excluded]
        if len(selected) == len(self.by_build):
            endpoints = list(self.endpoints)
        elif len(selected) == 1:
            endpoints = self.by_build[selected[0]]
        else:
            endpoints = [
                endpoint for endpoint in self.endpoints if (endpoint.listed.build in builds) is not excluded
            ]
        return Selection(endpoints, [endpoint for endpoint in endpoints if not endpoint.ejected])

    def oldest(self, build: int, minimum: int, same_age_s: float) -> OldestEndpoints:
        """Return the endpoints of a build that started first.

        Args:
            build: The build.
            minimum: Minimum number of endpoints, if the build has that many.
            same_age_s: Endpoints that started within this many seconds after the last of these are included.
        """
        key = build, minimum, same_age_s
        found = self._oldest.get(key)
        if found is None:
            starts = sorted(endpoint.listed.started_at or 0.0 for endpoint in self.by_build.get(build, ()))
            until = starts[min(minimum, len(starts)) - 1] + same_age_s if starts else 0.0
            found = self._oldest[key] = OldestEndpoints(until, bisect_right(starts, until))
        return found

    def contains(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint belongs to this sequence."""
        if self._members is None:
            self._members = set(map(id, self.endpoints))
        return id(endpoint) in self._members

    def healthy_count(self) -> int:
        """Return the number of endpoints that are not ejected."""
        if self._ejected is None:
            self._ejected = sum(endpoint.ejected for endpoint in self.endpoints)
        return len(self.endpoints) - self._ejected

    def capacity(
        self,
        selection: Selection,
        now: float,
        warm_up: float,
        capacity_of: Callable[[EndpointState], float],
    ) -> float:
        """Return the sum of ``capacity_of`` over the healthy endpoints of a selection.

        ``capacity_of`` is called for each cold endpoint and for one warm endpoint, because all warm
        endpoints have the same capacity. The result differs from a plain sum by a rounding error of 1e-12
        of the sum.
        """
        return self._warm_up_order(selection.healthy).capacity(now, warm_up, capacity_of)

    def warm_count(self, endpoints: Sequence[EndpointState], now: float, warm_up: float) -> int:
        """Return the number of warm endpoints in a list.

        The list must exist as long as these groups, because the cache is keyed by its identity.
        """
        return self._warm_up_order(endpoints).warm_count(now, warm_up)

    def _warm_up_order(self, endpoints: Sequence[EndpointState]) -> WarmUpOrder:
        found = self._warm_ups.get(id(endpoints))
        if found is None:
            found = self._warm_ups[id(endpoints)] = WarmUpOrder(endpoints)
        return found

    def median(
        self,
        key: MedianKey,
        is_member: Callable[[EndpointState], bool],
        value_of: Callable[[EndpointState], float],
        empty: float,
    ) -> float:
        """Return the median of a value over a group; `value_changed` keeps the median up to date.

        Args:
            key: The value and the group.
            is_member: Whether an endpoint belongs to the group.
            value_of: The value of an endpoint.
            empty: The result if the group is empty.
        """
        found = self._medians.get(key)
        if found is None:
            values = OrderStatistics(value_of(endpoint) for endpoint in self.endpoints if is_member(endpoint))
            found = self._medians[key] = values, is_member
        return found[0].median(empty)

    def value_changed(self, value: str, endpoint: EndpointState, old: float | None, new: float) -> None:
        """Update the medians of a value after the value of an endpoint has changed.

        Args:
            value: The name of the value.
            endpoint: The endpoint.
            old: The old value; None if the endpoint has not counted so far.
            new: The new value.
        """
        if not self._medians or not self.contains(endpoint):
            return
        for key, (values, is_member) in self._medians.items():
            if key.value != value or not is_member(endpoint):
                continue
            if old is None:
                values.add(new)
            else:
                values.replace(old, new)


class WarmUpOrder:
    """The cold and the warm endpoints of a list.

    Cold endpoints are sorted with the oldest last, and move to the warm ones from the end as they warm up.
    """

    __slots__ = ("_cold", "_warm")

    def __init__(self, endpoints: Sequence[EndpointState]) -> None:
        started = [endpoint for endpoint in endpoints if endpoint.listed.started_at]
        others = [endpoint for endpoint in endpoints if not endpoint.listed.started_at]
        self._cold = sorted(started, key=lambda endpoint: endpoint.listed.started_at or 0.0, reverse=True)
        self._warm = others[:1] * len(others)

    def warm_count(self, now: float, warm_up: float) -> int:
        """Return the number of warm endpoints."""
        while self._cold and now - (self._cold[-1].listed.started_at or 0.0) >= warm_up:
            self._warm.append(self._cold.pop())
        return len(self._warm)

    def capacity(self, now: float, warm_up: float, capacity_of: Callable[[EndpointState], float]) -> float:
        """Return the sum of ``capacity_of`` over all endpoints, calling it for only one of the warm ones."""
        warm = self.warm_count(now, warm_up)
        return (warm * capacity_of(self._warm[0]) if warm else 0.0) + sum(map(capacity_of, self._cold))
