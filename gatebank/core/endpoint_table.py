"""The latest endpoint list, with the state of each endpoint."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.events import Condition, Endpoint
from gatebank.statistics.endpoint_groups import EndpointGroups


class EndpointCounts(NamedTuple):
    """Endpoint counts for the evidence on one build.

    Attributes:
        of_build: endpoints of the build.
        warm: endpoints of the build that have warmed up.
        oldest: endpoints of the build that started first, see `SequentialTest.oldest_endpoints`.
        listed: endpoints of all builds.
    """

    of_build: int
    warm: int
    oldest: int
    listed: int


class EndpointTable:
    """All endpoints of the endpoint list.

    Attributes:
        by_index: the listed endpoints that are not gone, by index.
        ready: the endpoints that requests may be sent to, in the order of their name hashes, which is the
            same at all instances.
        groups: the ready endpoints grouped by build.
        lowest_build, highest_build: the lowest and the highest build number in ``by_index``; 0 if there is no
            endpoint.
    """

    def __init__(self) -> None:
        self.by_index: dict[int, EndpointState] = {}
        self.ready: list[EndpointState] = []
        self.groups = EndpointGroups([])
        self.lowest_build = 0
        self.highest_build = 0

    def update(self, endpoints: Sequence[Endpoint], *, complete: bool) -> None:
        """Apply a complete list or a change of it.

        Endpoints that are draining, gone or missing from a complete list are no longer ready.
        """
        states = {} if complete else dict(self.by_index)
        for endpoint in endpoints:
            state = self.by_index.get(endpoint.index)
            if state is None or not self._same_process(state.listed, endpoint):
                state = EndpointState(endpoint)
            state.listed = endpoint
            states[endpoint.index] = state
        self.by_index = {
            index: state for index, state in states.items() if state.listed.condition is not Condition.GONE
        }
        by_hash = sorted(self.by_index.values(), key=lambda state: state.listed.name_hash)
        self.ready = [state for state in by_hash if state.listed.condition is Condition.READY]
        self.groups = EndpointGroups(self.ready)
        builds = [state.listed.build for state in self.by_index.values()]
        self.lowest_build = min(builds, default=0)
        self.highest_build = max(builds, default=0)

    def counts(self, build: int, oldest: int, now: float, warm_up: float) -> EndpointCounts:
        """Return the endpoint counts for weighing the evidence on a build.

        Args:
            build: the build under test.
            oldest: the number of endpoints in `SequentialTest.oldest_endpoints`, copied into the result.
            now: the current time.
            warm_up: how long an endpoint warms up, in seconds.
        """
        endpoints = self.groups.by_build.get(build, ())
        warm = self.groups.warm_count(endpoints, now, warm_up)
        return EndpointCounts(len(endpoints), warm, oldest, len(self.by_index))

    @staticmethod
    def _same_process(old: Endpoint, new: Endpoint) -> bool:
        return old.started_at == new.started_at and old.build == new.build
