"""What a balancer knows, as items. No I/O.

What an instance inherited and has not yet seen for itself is passed on with its own age and origin, so that
it grows old however often it is passed on.
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

MAX_WINDOW_ROWS = 4096  # attempts and requests in one export: a window of 2 s at 2,000 a second
ENDPOINTS_PER_SLICE = 256  # endpoints exported in one turn of the event loop: about a millisecond
MIN_OWN_RESULTS = 5  # of an endpoint, from which what was inherited of it is not passed on
SLOW_START_MARGIN = 1.0  # seconds beyond the warm-up
MIN_ATTEMPT_TIME = 0.1  # seconds, where usual times are shorter or not known
MAX_RATE = 1e6  # attempts a second
MAX_RATIO = 1e4
MAX_OUTCOMES = 10**9


class StateExport:
    """All that one instance knows at one moment, as items.

    Args:
        state: of the balancer.
        names: of its indices.
        origin: this instance.
        now: the moment, in the balancer's seconds.
        inherited: what it received and passes on.
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
        """Yield the items, the most valuable first, in slices that each take a turn of the loop or less.

        Time may pass between them. ``include_window``: also each attempt and request of the exposure window.
        """
        endpoints = self.seen_endpoints()
        passed_on = self.passed_on(endpoints)
        urgent = [item for item in passed_on if is_urgent(item)]
        yield [
            *self.release(),
            *self.slow_starts(),
            *(self.health(name, each) for name, each in endpoints if each.ejected),
            *urgent,
            *self.test_sums(),
            *self.baseline_failures(),
            *self.latencies(),
        ]
        if include_window:
            yield list(self.window())
        healthy = [row for row in endpoints if not row[1].ejected]
        for start in range(0, len(healthy), ENDPOINTS_PER_SLICE):
            yield [self.health(name, each) for name, each in healthy[start : start + ENDPOINTS_PER_SLICE]]
        rest = [item for item in passed_on if not is_urgent(item)]
        for start in range(0, len(rest), ENDPOINTS_PER_SLICE):
            yield rest[start : start + ENDPOINTS_PER_SLICE]

    def seen_endpoints(self) -> list[tuple[str, EndpointState]]:
        """Endpoints with results of this instance's own, by name."""
        rows = [
            (self.names.endpoints[index], endpoint)
            for index, endpoint in self.state.endpoints.by_index.items()
            if endpoint.result_count
        ]
        return [(name, endpoint) for name, endpoint in rows if name]

    def passed_on(self, endpoints: list[tuple[str, EndpointState]]) -> list[StateItem]:
        """What was inherited and not seen for oneself.

        A former incarnation's single rows are of use to nobody but a later start of that name, from its own
        snapshot.
        """
        seen = {name for name, endpoint in endpoints if endpoint.result_count >= MIN_OWN_RESULTS}
        items = self.inherited.items(self.now) if self.inherited else []
        return [
            item
            for item in items
            if not isinstance(item, SentAttempt | AdmittedRequest)
            and not (isinstance(item, EndpointHealth) and item.endpoint in seen)
        ]

    def release(self) -> Iterator[ReleaseReport]:
        """The release service's status, as told to this instance."""
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
        """What this instance sends endpoints that warm up: its attempts over the time that they take."""
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
        """One endpoint."""
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
        """How often the baseline fails, by statistic."""
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
        """Usual times, by request class, and the baseline's by machine kind too."""
        for request_class, estimate in enumerate(self.state.latencies.by_class):
            if estimate.samples:
                yield self.latency(request_class, "", estimate)
        for (request_class, kind), estimate in self.state.latencies.baseline.items():
            yield self.latency(request_class, self.names.machine_kind(kind), estimate)

    def latency(self, request_class: int, machine_kind: str, estimate: LatencyEstimate) -> UsualLatency:
        """One usual time."""
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
        """Single attempts at each build, and requests accepted, of the last exposure window."""
        since = self.now - self.state.settings.release.exposure_window
        sent = [
            (at, request_class, build)
            for build, rows in self.state.traffic.attempts_by_build.items()
            for at, request_class in rows
            if at >= since
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
        accepted = [row for row in self.state.traffic.accepted if row[0] >= since]
        for at, request_class in accepted[-MAX_WINDOW_ROWS:]:
            yield AdmittedRequest(
                origin=self.origin.name,
                incarnation=self.origin.incarnation,
                age=max(0.0, self.now - at),
                outcomes=1,
                request_class=self.names.request_classes[request_class],
            )

    def test_sums(self) -> Iterator[SequentialTestSums]:
        """The design's sums of the test at hand: this instance's own, and what it heard of others."""
        test = self.state.test
        if test is None:
            return
        own = {statistic: each for statistic, each in enumerate(test.sums.own) if each.outcomes}
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
                    outcomes=max(each.outcomes for each in ratios.values()),
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
