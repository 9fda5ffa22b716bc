"""Exports the balancer's state as items. No I/O.

Inherited items that the instance's own observations have not replaced are exported too, with their origin and
their growing age. Passing an item on therefore never makes it younger.
"""

from __future__ import annotations

from collections.abc import Iterator

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.llr_sums import PeerIncarnation
from gatebank.core.state import BalancerState
from gatebank.events import LatencyEstimate
from gatebank.state_transfer.index_names import IndexNames, Origin
from gatebank.state_transfer.inherited_knowledge import InheritedItems
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
)
from gatebank.state_transfer.weighting import EndpointProcess

# Maximum number of attempts, and of requests, in one export: a window of 2 s at 2,000 per second.
MAX_WINDOW_ROWS = 4096
# Endpoints exported in one iteration of the event loop; a slice takes about a millisecond.
ENDPOINTS_PER_SLICE = 256
# Number of own results of an endpoint from which inherited health of that endpoint is not passed on.
MIN_OWN_RESULTS = 5
# Seconds after the end of its warm-up for which an endpoint still counts as being in slow start.
SLOW_START_MARGIN = 1.0
# Seconds that an attempt is assumed to take if usual latencies are shorter or unknown.
MIN_ATTEMPT_TIME = 0.1
# Upper limits of exported values. MAX_RATE is in attempts per second, MAX_RATIO limits latency ratios.
MAX_RATE = 1e6
MAX_RATIO = 1e4
MAX_OUTCOMES = 10**9


class StateExport:
    """Exports the state of one instance at one point in time.

    Args:
        state: The balancer's state.
        names: Names of the balancer's indices.
        origin: This instance.
        now: Current time on the balancer's clock in seconds.
        inherited: Received items, which are passed on.
    """

    def __init__(
        self,
        state: BalancerState,
        names: IndexNames,
        origin: Origin,
        now: float,
        inherited: InheritedItems | None = None,
    ) -> None:
        self.state = state
        self.names = names
        self.origin = origin
        self.now = now
        self.inherited = inherited

    def slices(self, *, include_window: bool = False) -> Iterator[list[StateItem]]:
        """Yields the items by descending priority, in slices that each take one event-loop iteration or less.

        Time may pass between two slices.

        Args:
            include_window: Whether to include each attempt and request of the last exposure window.
        """
        endpoints = self.seen_endpoints()
        passed_on = self.passed_on(endpoints)
        urgent = [item for item in passed_on if is_urgent(item)]
        yield [
            *self.release(),
            *self.slow_starts(),
            *(self.health(name, endpoint) for name, endpoint in endpoints if endpoint.ejected),
            *urgent,
            *self.test_sums(),
            *self.baseline_failures(),
            *self.latencies(),
        ]
        if include_window:
            yield list(self.window())
        healthy = [row for row in endpoints if not row[1].ejected]
        for start in range(0, len(healthy), ENDPOINTS_PER_SLICE):
            yield [
                self.health(name, endpoint) for name, endpoint in healthy[start : start + ENDPOINTS_PER_SLICE]
            ]
        rest = [item for item in passed_on if not is_urgent(item)]
        for start in range(0, len(rest), ENDPOINTS_PER_SLICE):
            yield rest[start : start + ENDPOINTS_PER_SLICE]

    def seen_endpoints(self) -> list[tuple[str, EndpointState]]:
        """Returns the endpoints of which this instance has results of its own, with their names."""
        rows = [
            (self.names.endpoints[index], endpoint)
            for index, endpoint in self.state.endpoints.by_index.items()
            if endpoint.result_count
        ]
        return [(name, endpoint) for name, endpoint in rows if name]

    def passed_on(self, endpoints: list[tuple[str, EndpointState]]) -> list[StateItem]:
        """Returns the inherited items that the instance's own observations have not replaced.

        Single attempts and requests of earlier incarnations are left out. They are of use only to a later
        start of the same instance, which reads them from its own snapshot.
        """
        observed = {name for name, endpoint in endpoints if endpoint.result_count >= MIN_OWN_RESULTS}
        items = self.inherited.items(self.now) if self.inherited else []
        return [
            item
            for item in items
            if not isinstance(item, SentAttempt | AdmittedRequest)
            and not (isinstance(item, EndpointHealth) and item.endpoint in observed)
        ]

    def release(self) -> Iterator[ReleaseReport]:
        """Yields the release service's status that this instance received, if complete."""
        status = self.state.release
        if status is None or status.build is None or status.stage is None or status.phase is None:
            return
        yield ReleaseReport(
            origin=self.origin.name,
            incarnation=self.origin.incarnation,
            age=max(0.0, status.age),
            outcomes=1,
            build=status.build,
            stage=status.stage,
            phase=int(status.phase),
            cap=None if status.cap is None else min(1.0, max(0.0, status.cap)),
        )

    def slow_starts(self) -> Iterator[SlowStartRate]:
        """Yields the rate of this instance's attempts at each endpoint in slow start.

        The rate is the number of outstanding attempts divided by the time that an attempt takes.
        """
        limit = self.state.settings.slow_start.warm_up + SLOW_START_MARGIN
        counts: dict[EndpointProcess, int] = {}
        for attempt in self.state.outstanding.values():
            listed = attempt.endpoint.listed
            name = self.names.endpoints[listed.index]
            if name and listed.started_at and self.now - listed.started_at < limit:
                process = EndpointProcess(name, listed.build, listed.started_at)
                counts[process] = counts.get(process, 0) + 1
        for process, count in counts.items():
            yield SlowStartRate(
                origin=self.origin.name,
                incarnation=self.origin.incarnation,
                age=0.0,
                outcomes=count,
                rate=min(MAX_RATE, count / max(MIN_ATTEMPT_TIME, self.state.latencies.longest_mean)),
                endpoint=process.name,
                build=process.build,
                started=process.started or 0.0,
            )

    def health(self, name: str, endpoint: EndpointState) -> EndpointHealth:
        """Returns the health item of one endpoint."""
        return EndpointHealth(
            origin=self.origin.name,
            incarnation=self.origin.incarnation,
            age=max(0.0, self.now - endpoint.last_result_at),
            outcomes=endpoint.result_count,
            endpoint=name,
            build=endpoint.listed.build,
            started=endpoint.listed.started_at,
            latency_ratio=min(MAX_RATIO, max(0.0, endpoint.latency_ratio)),
            failure_rate=min(1.0, max(0.0, endpoint.failure_rate)),
            ejected=endpoint.ejected,
            ejection_time=endpoint.ejection_time,
        )

    def baseline_failures(self) -> Iterator[BaselineFailures]:
        """Yields how often the baseline fails, by statistic."""
        for statistic, (bad, total, recent_rate) in enumerate(self.state.baseline_errors):
            if total:
                yield BaselineFailures(
                    origin=self.origin.name,
                    incarnation=self.origin.incarnation,
                    age=0.0,
                    outcomes=int(total),
                    ratio=self.names.ratio(statistic),
                    weighted_failures=bad,
                    weighted_total=total,
                    recent_rate=min(1.0, max(0.0, recent_rate)),
                )

    def latencies(self) -> Iterator[UsualLatency]:
        """Yields usual latencies by request class, and the baseline's also by machine kind."""
        for request_class, estimate in enumerate(self.state.latencies.by_class):
            if estimate.samples:
                yield self.latency(request_class, "", estimate)
        for (request_class, kind), estimate in self.state.latencies.baseline.items():
            yield self.latency(request_class, self.names.machine_kind(kind), estimate)

    def latency(self, request_class: int, machine_kind: str, estimate: LatencyEstimate) -> UsualLatency:
        """Returns the item of one usual latency."""
        return UsualLatency(
            origin=self.origin.name,
            incarnation=self.origin.incarnation,
            age=0.0,
            outcomes=estimate.samples,
            request_class=self.names.request_classes[request_class],
            machine_kind=machine_kind,
            latency=estimate.mean,
        )

    def window(self) -> Iterator[SentAttempt | AdmittedRequest]:
        """Yields each attempt and each admitted request of the last exposure window."""
        window_start = self.now - self.state.settings.release.exposure_window
        sent = [
            (at, request_class, build)
            for build, rows in self.state.traffic.attempts_by_build.items()
            for at, request_class in rows
            if at >= window_start
        ]
        for at, request_class, build in sorted(sent)[-MAX_WINDOW_ROWS:]:
            yield SentAttempt(
                origin=self.origin.name,
                incarnation=self.origin.incarnation,
                age=max(0.0, self.now - at),
                outcomes=1,
                build=build,
                request_class=self.names.request_classes[request_class],
            )
        accepted = [row for row in self.state.traffic.accepted if row[0] >= window_start]
        for at, request_class in accepted[-MAX_WINDOW_ROWS:]:
            yield AdmittedRequest(
                origin=self.origin.name,
                incarnation=self.origin.incarnation,
                age=max(0.0, self.now - at),
                outcomes=1,
                request_class=self.names.request_classes[request_class],
            )

    def test_sums(self) -> Iterator[SequentialTestSums]:
        """Yields the sums of the current sequential test: the instance's own and those of peers."""
        test = self.state.test
        if test is None:
            return
        own = {statistic: llr_sum for statistic, llr_sum in enumerate(test.sums.own) if llr_sum.outcomes}
        instance = self.state.settings.instance
        rows = {PeerIncarnation(instance, self.state.incarnation): own, **test.sums.sums_by_peer}
        for (peer, incarnation), sums in rows.items():
            ratios = {
                statistic: RatioSum(value, min(MAX_OUTCOMES, outcomes))
                for statistic, (value, outcomes) in sums.items()
            }
            if ratios:
                yield SequentialTestSums(
                    origin=self.origin.name,
                    incarnation=incarnation,
                    age=0.0,
                    outcomes=max(ratio.outcomes for ratio in ratios.values()),
                    build=test.build,
                    stage=test.sums.stage,
                    instance=peer,
                    ratios=ratios,
                )


def is_urgent(item: StateItem) -> bool:
    """Returns whether an item limits traffic and is therefore exported before all others."""
    return isinstance(item, ReleaseReport | SlowStartRate) or (
        isinstance(item, EndpointHealth) and item.ejected
    )
