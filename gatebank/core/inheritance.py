"""Taking over state of other instances or of an earlier incarnation of this instance.

Inherited state never overrides what this instance has measured itself, and never permits anything that this
instance would not permit without that state.
"""

from __future__ import annotations

from collections.abc import Mapping, MutableMapping
from typing import TypeVar

from gatebank.core.endpoint_state import EndpointState, PeerSlowStartRate
from gatebank.core.latency import UNKNOWN_LATENCY
from gatebank.core.state import BalancerState
from gatebank.events import InheritedEndpoint, InheritedState, LatencyEstimate

MAX_INHERITED_REPORTS = 4096  # Limit on kept reports of other incarnations.

KeyT = TypeVar("KeyT")


def inherit_window(state: BalancerState, inherited: InheritedState) -> None:
    """Take over the attempts and requests of the exposure window.

    If these are not known, no spare attempts are allowed until one exposure window has passed.
    """
    window_end = state.started_at + state.settings.release.exposure_window
    if inherited.exposure_window_known:
        state.no_spare_until = state.started_at
        for build in {row.build for row in inherited.sent}:
            rows = [
                (state.started_at - row.age, row.request_class)
                for row in inherited.sent
                if row.build == build
            ]
            state.traffic.attempts_to(build).prepend(rows)
        accepted = [(state.started_at - row.age, row.request_class) for row in inherited.accepted]
        state.traffic.accepted.prepend(accepted)
    elif state.now < window_end:
        state.no_spare_until = window_end


def inherit_endpoint(
    state: BalancerState, endpoint: EndpointState, inherited: InheritedEndpoint, validity_seconds: float
) -> None:
    """Take over the state of an endpoint.

    Args:
        state: the state of this instance.
        endpoint: the endpoint to update.
        inherited: the endpoint's inherited state.
        validity_seconds: how long the inherited slow-start rate is valid.
    """
    endpoint.latency_ratio = inherited.latency_ratio
    endpoint.failure_rate = max(endpoint.failure_rate, inherited.failure_rate)
    endpoint.last_result_at = state.now
    endpoint.peer_slow_start_rate = PeerSlowStartRate(inherited.slow_start_rate, state.now + validity_seconds)


def inherit_means(state: BalancerState, inherited: InheritedState) -> None:
    """Take over mean latencies and baseline counts that rest on more outcomes than this instance's own."""
    latencies = state.latencies
    by_class = dict(enumerate(latencies.by_class))
    _adopt_better_sampled(by_class, inherited.latency)
    latencies.by_class = list(by_class.values())
    _adopt_better_sampled(latencies.baseline, inherited.baseline_latency)
    for statistic, row in inherited.baseline_errors.items():
        own = state.baseline_errors[statistic]
        state.baseline_errors[statistic] = max(own, row, key=lambda counts: counts.total)
    latencies.longest_mean = max(latencies.longest_mean, *(estimate.mean for estimate in latencies.by_class))


def _adopt_better_sampled(
    own: MutableMapping[KeyT, LatencyEstimate], others: Mapping[KeyT, LatencyEstimate]
) -> None:
    for key, estimate in others.items():
        if own.get(key, UNKNOWN_LATENCY).samples < estimate.samples:
            own[key] = estimate


def inherit_reports(state: BalancerState, inherited: InheritedState) -> None:
    """Keep whole LLR sums of incarnations that may have ended, except those of this incarnation."""
    others = [row for row in inherited.reports if row[1].incarnation != state.incarnation]
    state.inherited_reports = others[:MAX_INHERITED_REPORTS]


def merge_inherited_reports(state: BalancerState) -> None:
    """Merge inherited reports into the current test.

    The reports hold whole sums, so that merging them again changes nothing.
    """
    if state.test:
        for instance, report in state.inherited_reports:
            state.test.sums.merge_peer_message(instance, report)
