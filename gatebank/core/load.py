"""Load and unanswered attempts as this instance sees them."""

from __future__ import annotations

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.state import BalancerState


def silence_ratio(state: BalancerState, endpoint: EndpointState) -> float:
    """Return how long an endpoint has given no result to outstanding attempts.

    The unit is the longest mean latency of the request classes; 0 if no attempt is outstanding.
    """
    if not endpoint.outstanding:
        return 0.0
    return (state.now - max(endpoint.silent_since, state.resumed_at)) / state.latencies.longest_mean


def outstanding_attempts(state: BalancerState, unresponsive_ratio: float) -> int:
    """Count outstanding attempts that are load.

    Attempts at unresponsive endpoints and attempts of held-up classes are left out: they only wait.

    Args:
        state: the state of this instance.
        unresponsive_ratio: the silence ratio from which an endpoint counts as unresponsive.
    """
    return state.outstanding_by_endpoint.count(
        state.fleet.held_up_classes, lambda endpoint: silence_ratio(state, endpoint) >= unresponsive_ratio
    )


def load_per_endpoint(state: BalancerState, unresponsive_ratio: float) -> float:
    """Return new requests per second of all instances, divided by the number of answering endpoints."""
    report = state.fleet.report
    rate = report.request_rate if report else state.traffic.request_rate * state.settings.instance_count
    groups = state.endpoints.groups
    silent = state.outstanding_by_endpoint.count_silent(
        lambda endpoint: silence_ratio(state, endpoint) >= unresponsive_ratio,
        lambda endpoint: not endpoint.ejected and groups.contains(endpoint),
    )
    return rate / max(1, groups.healthy_count() - silent)
