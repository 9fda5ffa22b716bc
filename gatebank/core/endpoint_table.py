"""The endpoint list as last told, with what is known of each endpoint."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.events import Condition, Endpoint
from gatebank.statistics.endpoint_groups import EndpointGroups


class EndpointCounts(NamedTuple):
    """How many endpoints there are: of one build, of these warmed up and the oldest, and of all builds."""

    of_build: int
    warm: int
    oldest: int
    listed: int


class EndpointTable:
    """Endpoints by index.

    Attributes:
        by_index: all that are listed and not gone.
        ready: those that may be sent to, in the order of their hashes, which is alike at all instances.
        groups: the same by build.
        lowest_build: of all listed; 0 where none is.
    """

    def __init__(self) -> None:
        self.by_index: dict[int, EndpointState] = {}
        self.ready: list[EndpointState] = []
        self.groups = EndpointGroups([])
        self.lowest_build = 0

    def update(self, endpoints: Sequence[Endpoint], *, complete: bool) -> None:
        """Take a list, or changes of it; what drains, is gone or is missing is no longer ready."""
        listed = {} if complete else dict(self.by_index)
        for each in endpoints:
            state = self.by_index.get(each.index)
            if state is None or not self._same_process(state.listed, each):
                state = EndpointState(each)
            state.listed = each
            listed[each.index] = state
        self.by_index = {
            index: state for index, state in listed.items() if state.listed.condition is not Condition.GONE
        }
        in_order = sorted(self.by_index.values(), key=lambda state: state.listed.name_hash)
        self.ready = [state for state in in_order if state.listed.condition is Condition.READY]
        self.groups = EndpointGroups(self.ready)
        self.lowest_build = min((state.listed.build for state in self.by_index.values()), default=0)

    def counts(self, build: int, oldest: int, now: float, warm_up: float) -> EndpointCounts:
        """The counts that evidence on a build is weighed by; ``warm_up`` in seconds."""
        endpoints = self.groups.by_build.get(build, ())
        warm = self.groups.warm_count(endpoints, now, warm_up)
        return EndpointCounts(len(endpoints), warm, oldest, len(self.by_index))

    @staticmethod
    def _same_process(old: Endpoint, new: Endpoint) -> bool:
        return old.started_at == new.started_at and old.build == new.build
