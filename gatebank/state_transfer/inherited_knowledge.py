"""What was received from other instances: kept, merged, and brought to the balancer's indices. No I/O."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import NamedTuple

from gatebank.core.llr_sums import Statistic
from gatebank.core.state import BalancerState
from gatebank.events import (
    BaselineErrors,
    Condition,
    InheritedAttempt,
    InheritedEndpoint,
    InheritedRequest,
    InheritedState,
    LatencyEstimate,
    Phase,
    ReleaseStatus,
    ReplyStatus,
)
from gatebank.peer_messages import InstanceReport, LlrSum
from gatebank.state_transfer.index_names import IndexNames, Origin
from gatebank.state_transfer.items import (
    ReleaseReport,
    SequentialTestSums,
    StateItem,
    identity,
    newest,
)
from gatebank.state_transfer.weighting import MAX_AGE, EndpointProcess, HalfLives, MergedState, merge_items

MAX_INHERITED_ITEMS = 100_000  # five kinds of the most that one transfer holds
MIN_AGE_DIFFERENCE = (
    0.001  # seconds by which an item must be younger to replace one of the same subject and origin
)


class InheritedItem(NamedTuple):
    """An item and when it came."""

    item: StateItem
    received_at: float

    def age(self, now: float) -> float:
        """Its age by now, in seconds."""
        return self.item.age + now - self.received_at


class InheritedItems:
    """What was received; each item goes when it is too old or replaced by a younger one."""

    def __init__(self) -> None:
        self.by_identity: dict[Hashable, InheritedItem] = {}

    def put(self, items: Iterable[StateItem], now: float) -> int:
        """Keep items; how many told something new: none is kept as young from the same origin."""
        fresh = 0
        for item in newest(items):
            key = identity(item)
            row = self.by_identity.get(key)
            if row is None or item.age < row.age(now) - MIN_AGE_DIFFERENCE:
                self.by_identity[key] = InheritedItem(item, now)
                fresh += 1
        excess = len(self.by_identity) - MAX_INHERITED_ITEMS
        if excess > 0:
            for oldest in list(self.by_identity)[:excess]:
                del self.by_identity[oldest]
        return fresh

    def items(self, now: float) -> list[StateItem]:
        """All, as old as they are by now; what is too old goes."""
        self.by_identity = {key: row for key, row in self.by_identity.items() if row.age(now) <= MAX_AGE}
        return [row.item.older(now - row.received_at) for row in self.by_identity.values()]


class InheritedKnowledge:
    """What was received, merged and brought to the balancer's indices.

    Attributes:
        received: the items themselves.
        window_known: the snapshot of an orderly shutdown of this name holds the whole last exposure window.
    """

    def __init__(
        self, state: BalancerState, names: IndexNames, origin: Origin, half_lives: HalfLives
    ) -> None:
        self.state = state
        self.names = names
        self.origin = origin
        self.half_lives = half_lives
        self.received = InheritedItems()
        self.window_known = False

    def put(self, items: list[StateItem], now: float) -> int:
        """Keep items; how many told something new."""
        return self.received.put([item for item in items if not self.is_own(item)], now)

    def is_own(self, item: StateItem) -> bool:
        """Whether this very incarnation said it, and it came back."""
        if isinstance(item, SequentialTestSums):
            return False
        return Origin(item.origin, item.incarnation) == self.origin

    def merged(self, now: float) -> MergedState:
        """What is to be believed by now."""
        processes: dict[str, EndpointProcess] = {}
        for index, endpoint in self.state.endpoints.by_index.items():
            listed = endpoint.listed
            name = self.names.endpoints[index]
            if listed.condition is Condition.READY and name is not None:
                processes[name] = EndpointProcess(name, listed.build, listed.started_at)
        window = self.state.settings.release.exposure_window
        found = merge_items(self.received.items(now), processes, self.origin.name, window, self.half_lives)
        found.window_known = self.window_known
        return found

    def inherited_state(self, merged: MergedState, now: float) -> InheritedState:
        """Merged items as the balancer takes them; names that this instance does not know are left out."""
        indices = self.names.endpoint_indices(self.state.endpoints.by_index)
        statistics = range(len(self.state.baseline_errors))
        ratios = {self.names.ratio(statistic): statistic for statistic in statistics}
        latency, baseline_latency = self.latencies(merged)
        sent, accepted = self.window(merged, now)
        return InheritedState(
            endpoints={
                indices[name]: InheritedEndpoint(
                    latency_ratio=belief.latency_ratio,
                    failure_rate=belief.failure_rate,
                    ejected=belief.ejected,
                    ejection_time=belief.ejection_time,
                    slow_start_rate=belief.slow_start_rate,
                )
                for name, belief in merged.endpoints.items()
                if name in indices
            },
            reports=self.reports(merged),
            baseline_errors={
                ratios[name]: BaselineErrors(*row) for name, row in merged.baseline.items() if name in ratios
            },
            latency=latency,
            baseline_latency=baseline_latency,
            sent=sent,
            accepted=accepted,
            exposure_window_known=merged.window_known,
        )

    def class_indices(self) -> dict[str, int]:
        """Request classes by name."""
        return {name: index for index, name in enumerate(self.names.request_classes)}

    def latencies(
        self, merged: MergedState
    ) -> tuple[dict[int, LatencyEstimate], dict[tuple[int, int], LatencyEstimate]]:
        """Usual times by request class, and the baseline's by class and machine kind."""
        classes = self.class_indices()
        kind_count = len(self.names.machine_kinds)
        kinds = {self.names.machine_kind(index): index for index in range(kind_count)}
        by_class: dict[int, LatencyEstimate] = {}
        baseline: dict[tuple[int, int], LatencyEstimate] = {}
        for key, belief in merged.latencies.items():
            if key.request_class not in classes:
                continue
            request_class = classes[key.request_class]
            estimate = LatencyEstimate(belief.latency, belief.outcomes)
            if not key.machine_kind:
                by_class[request_class] = estimate
            elif key.machine_kind in kinds:
                baseline[request_class, kinds[key.machine_kind]] = estimate
        return by_class, baseline

    def reports(self, merged: MergedState) -> list[tuple[int, InstanceReport]]:
        """Whole sums of other incarnations, with the instance that made them."""
        last = Statistic.oldest_errors(len(self.names.request_classes))
        found = []
        for item in merged.sums:
            if item.instance < self.state.settings.instance_count:
                sums = {
                    statistic: LlrSum(each.value, each.outcomes)
                    for statistic, each in item.ratios.items()
                    if 0 <= statistic <= last
                }
                report = InstanceReport(item.incarnation, item.build, item.stage, 0.0, 0.0, {}, sums)
                found.append((item.instance, report))
        return found

    def window(
        self, merged: MergedState, now: float
    ) -> tuple[list[InheritedAttempt], list[InheritedRequest]]:
        """Attempts and requests of a former incarnation in the exposure window, aged from this start."""
        classes = self.class_indices()
        window = self.state.settings.release.exposure_window
        since_start = now - self.state.started_at
        sent = [
            InheritedAttempt(item.age - since_start, classes[item.request_class], item.build)
            for item in merged.sent
            if item.request_class in classes and 0 <= item.age - since_start <= window
        ]
        accepted = [
            InheritedRequest(item.age - since_start, classes[item.request_class])
            for item in merged.admitted
            if item.request_class in classes and 0 <= item.age - since_start <= window
        ]
        return sent, accepted


def release_status(report: ReleaseReport) -> ReleaseStatus:
    """A source's report as if the release service had told it; a build that rolls back gets nothing."""
    phase = Phase(report.phase)
    cap = 0.0 if phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK) else report.cap
    return ReleaseStatus(ReplyStatus.ACCEPTED, False, report.build, report.stage, phase, cap, report.age)
