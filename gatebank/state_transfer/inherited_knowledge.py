"""Stores received items, merges them and converts the result to the balancer's indices. No I/O."""

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

# Maximum number of stored items: room for five kinds with as many items as a transfer holds of each.
MAX_INHERITED_ITEMS = 100_000
# Seconds by which an item must be younger than the stored item of equal identity to replace it.
MIN_AGE_DIFFERENCE = 0.001


class InheritedItem(NamedTuple):
    """A received item.

    Attributes:
        item: The item as received.
        received_at: Time of receipt on the balancer's clock, in seconds.
    """

    item: StateItem
    received_at: float

    def age(self, now: float) -> float:
        """Returns the item's age at time ``now``, in seconds."""
        return self.item.age + now - self.received_at


class InheritedItems:
    """Stores received items until they are too old or replaced by younger items of equal identity.

    Attributes:
        by_identity: The stored items; the keys are those of `items.identity`.
    """

    def __init__(self) -> None:
        self.by_identity: dict[Hashable, InheritedItem] = {}

    def put(self, items: Iterable[StateItem], now: float) -> int:
        """Stores each item that is younger than the stored item of equal identity.

        Args:
            items: Received items.
            now: The balancer's time in seconds.

        Returns:
            The number of items that were stored.
        """
        new_count = 0
        for item in newest(items):
            key = identity(item)
            stored = self.by_identity.get(key)
            if stored is None or item.age < stored.age(now) - MIN_AGE_DIFFERENCE:
                self.by_identity[key] = InheritedItem(item, now)
                new_count += 1
        excess = len(self.by_identity) - MAX_INHERITED_ITEMS
        if excess > 0:
            for oldest in list(self.by_identity)[:excess]:
                del self.by_identity[oldest]
        return new_count

    def items(self, now: float) -> list[StateItem]:
        """Deletes items older than MAX_AGE, and returns the others with their ages at time ``now``."""
        self.by_identity = {
            key: stored for key, stored in self.by_identity.items() if stored.age(now) <= MAX_AGE
        }
        return [stored.item.older(now - stored.received_at) for stored in self.by_identity.values()]


class InheritedKnowledge:
    """Received items, with their conversion to the state that the balancer applies.

    Attributes:
        state: The balancer's state.
        names: Names of the balancer's indices.
        origin: This instance, as the origin of its own items.
        half_lives: Half-lives of the kinds of items.
        stored_items: The stored items.
        window_known: Whether the items hold the complete last exposure window of this instance's previous
            start, from a snapshot that an orderly shutdown wrote.
    """

    def __init__(
        self, state: BalancerState, names: IndexNames, origin: Origin, half_lives: HalfLives
    ) -> None:
        self.state = state
        self.names = names
        self.origin = origin
        self.half_lives = half_lives
        self.stored_items = InheritedItems()
        self.window_known = False

    def put(self, items: list[StateItem], now: float) -> int:
        """Stores items that this incarnation did not observe itself; returns how many were new."""
        return self.stored_items.put([item for item in items if not self.is_own(item)], now)

    def is_own(self, item: StateItem) -> bool:
        """Returns whether this incarnation itself is the item's origin, and the item was sent back to it."""
        if isinstance(item, SequentialTestSums):
            return False
        return Origin(item.origin, item.incarnation) == self.origin

    def merged(self, now: float) -> MergedState:
        """Returns the stored items, merged with their weights at time ``now``."""
        processes: dict[str, EndpointProcess] = {}
        for index, endpoint in self.state.endpoints.by_index.items():
            listed = endpoint.listed
            name = self.names.endpoints[index]
            if listed.condition is Condition.READY and name is not None:
                processes[name] = EndpointProcess(name, listed.build, listed.started_at)
        window = self.state.settings.release.exposure_window
        merged = merge_items(
            self.stored_items.items(now), processes, self.origin.name, window, self.half_lives
        )
        merged.window_known = self.window_known
        return merged

    def inherited_state(self, merged: MergedState, now: float) -> InheritedState:
        """Converts merged items to the state that the balancer applies.

        Names that this instance does not know are left out.
        """
        indices = self.names.endpoint_indices(self.state.endpoints.by_index)
        statistics = range(len(self.state.baseline_errors))
        ratios = {self.names.ratio(statistic): statistic for statistic in statistics}
        latency, baseline_latency = self.latencies(merged)
        sent, accepted = self.window(merged, now)
        return InheritedState(
            endpoints={
                indices[name]: InheritedEndpoint(
                    latency_ratio=endpoint.latency_ratio,
                    failure_rate=endpoint.failure_rate,
                    ejected=endpoint.ejected,
                    ejection_time=endpoint.ejection_time,
                    slow_start_rate=endpoint.slow_start_rate,
                )
                for name, endpoint in merged.endpoints.items()
                if name in indices
            },
            reports=self.reports(merged),
            baseline_errors={
                ratios[name]: BaselineErrors(*failures)
                for name, failures in merged.baseline.items()
                if name in ratios
            },
            latency=latency,
            baseline_latency=baseline_latency,
            sent=sent,
            accepted=accepted,
            exposure_window_known=merged.window_known,
        )

    def class_indices(self) -> dict[str, int]:
        """Returns the indices of request classes by name."""
        return {name: index for index, name in enumerate(self.names.request_classes)}

    def latencies(
        self, merged: MergedState
    ) -> tuple[dict[int, LatencyEstimate], dict[tuple[int, int], LatencyEstimate]]:
        """Returns usual latencies by request class, and the baseline's by request class and machine kind."""
        classes = self.class_indices()
        kind_count = len(self.names.machine_kinds)
        kinds = {self.names.machine_kind(index): index for index in range(kind_count)}
        by_class: dict[int, LatencyEstimate] = {}
        baseline: dict[tuple[int, int], LatencyEstimate] = {}
        for key, latency in merged.latencies.items():
            if key.request_class not in classes:
                continue
            request_class = classes[key.request_class]
            estimate = LatencyEstimate(latency.latency, latency.outcomes)
            if not key.machine_kind:
                by_class[request_class] = estimate
            elif key.machine_kind in kinds:
                baseline[request_class, kinds[key.machine_kind]] = estimate
        return by_class, baseline

    def reports(self, merged: MergedState) -> list[tuple[int, InstanceReport]]:
        """Returns the total sums of other incarnations as pairs of instance number and report."""
        last_statistic = Statistic.oldest_errors(len(self.names.request_classes))
        reports = []
        for item in merged.sums:
            if item.instance < self.state.settings.instance_count:
                sums = {
                    statistic: LlrSum(ratio.value, ratio.outcomes)
                    for statistic, ratio in item.ratios.items()
                    if 0 <= statistic <= last_statistic
                }
                report = InstanceReport(item.incarnation, item.build, item.stage, 0.0, 0.0, {}, sums)
                reports.append((item.instance, report))
        return reports

    def window(
        self, merged: MergedState, now: float
    ) -> tuple[list[InheritedAttempt], list[InheritedRequest]]:
        """Returns the attempts and requests of earlier incarnations of this instance in the exposure window.

        Their ages are converted to seconds before this incarnation's start.
        """
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
    """Converts a source's report to a status as the release service sends it.

    The cap of a build that rolls back or is rolled back is 0.
    """
    phase = Phase(report.phase)
    cap = 0.0 if phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK) else report.cap
    return ReleaseStatus(ReplyStatus.ACCEPTED, False, report.build, report.stage, phase, cap, report.age)
