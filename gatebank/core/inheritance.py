"""Taking over what other instances, or a former incarnation, knew before this one started.

It overrules nothing that this instance has seen itself, and allows nothing that it would not allow without.
"""

from __future__ import annotations

from collections.abc import Mapping, MutableMapping
from typing import TypeVar

from gatebank.core.endpoint_state import EndpointState, PeerSlowStartRate
from gatebank.core.latency import UNKNOWN_LATENCY
from gatebank.core.state import BalancerState
from gatebank.events import InheritedEndpoint, InheritedState, LatencyEstimate

MAX_INHERITED_REPORTS = 4096  # of other incarnations

KeyT = TypeVar("KeyT")


def inherit_window(state: BalancerState, inherited: InheritedState) -> None:
    """The rows of the exposure window, or that they are not known."""
    window_end = state.started_at + state.settings.release.exposure_window
    if inherited.exposure_window_known:
        state.no_spare_until = state.started_at
        for build in {row.build for row in inherited.sent}:
            rows = [
                (state.started_at - row.age, row.request_class)
                for row in inherited.sent
                if row.build == build
            ]
            state.traffic.attempts_to(build).add_before(rows)
        accepted = [(state.started_at - row.age, row.request_class) for row in inherited.accepted]
        state.traffic.accepted.add_before(accepted)
    elif state.now < window_end:
        state.no_spare_until = window_end


def inherit_endpoint(
    state: BalancerState, endpoint: EndpointState, inherited: InheritedEndpoint, validity_seconds: float
) -> None:
    """An endpoint's figures; the rate that others send it is believed for that many seconds."""
    endpoint.latency_ratio = inherited.latency_ratio
    endpoint.failure_rate = max(endpoint.failure_rate, inherited.failure_rate)
    endpoint.last_result_at = state.now
    endpoint.peer_slow_start_rate = PeerSlowStartRate(inherited.slow_start_rate, state.now + validity_seconds)


def inherit_means(state: BalancerState, inherited: InheritedState) -> None:
    """Usual times and the baseline's counts, where they are from more outcomes than this instance's own."""
    latencies = state.latencies
    by_class = dict(enumerate(latencies.by_class))
    _adopt_better_sampled(by_class, inherited.latency)
    latencies.by_class = list(by_class.values())
    _adopt_better_sampled(latencies.baseline, inherited.baseline_latency)
    for statistic, row in inherited.baseline_errors.items():
        own = state.baseline_errors[statistic]
        state.baseline_errors[statistic] = max(own, row, key=lambda each: each.total)
    latencies.longest_mean = max(latencies.longest_mean, *(estimate.mean for estimate in latencies.by_class))


def _adopt_better_sampled(
    own: MutableMapping[KeyT, LatencyEstimate], others: Mapping[KeyT, LatencyEstimate]
) -> None:
    for key, estimate in others.items():
        if own.get(key, UNKNOWN_LATENCY).samples < estimate.samples:
            own[key] = estimate


def inherit_reports(state: BalancerState, inherited: InheritedState) -> None:
    """Whole sums of incarnations that may be over, but for this one's own."""
    others = [row for row in inherited.reports if row[1].incarnation != state.incarnation]
    state.inherited_reports = others[:MAX_INHERITED_REPORTS]


def merge_inherited_reports(state: BalancerState) -> None:
    """Into the test at hand. The sums are whole, so that merging them again changes nothing."""
    if state.test:
        for instance, report in state.inherited_reports:
            state.test.sums.merge_peer_message(instance, report)
