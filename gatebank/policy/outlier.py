"""Outlier detection: endpoints that fail, do not answer or are loaded; failure rates and ejection."""

from math import exp

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.load import silence_ratio
from gatebank.core.state import BalancerState
from gatebank.events import Outcome

# Weight of a new result in its endpoint's failure rate.
FAILURE_WEIGHT = 0.25
# Contribution of an outcome to the failure rate; 1 for outcomes not listed here. A lost connection counts
# half, because the network link may have lost the answer.
FAILURE_SIZES = {Outcome.SUCCESS: 0.0, Outcome.CONNECTION_LOST: 0.5}
# Outcomes that say nothing about the endpoint's health.
NEUTRAL_OUTCOMES = (Outcome.CANCELLED, Outcome.REJECTED, Outcome.NOT_SENT)
# Failure rate from which an endpoint is ejected.
EJECTION_FAILURE_RATE = 0.4
# Failure rate that an endpoint starts with after its ejection. If the endpoint still fails, it is soon
# ejected again, for twice as long.
FAILURE_RATE_ON_RETURN = 0.3
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Health checks that an ejected endpoint must pass in a row before it is used again.
HEALTH_CHECKS_TO_RETURN = 2
HEALTH_CHECK_INTERVAL_S = 0.5
# Time constant with which slowness and failures fade from an endpoint's load score. An endpoint that is
# avoided for them is thus tried again.
SYMPTOM_DECAY_S = 4.0
# Number of usual latencies without a result from which an endpoint counts as unresponsive.
UNRESPONSIVE_SILENCE = 3
# Weight of the failure rate in an endpoint's load score.
FAILURE_PENALTY = 8


def update_failure_rate(endpoint: EndpointState, outcome: Outcome) -> None:
    """Update an endpoint's failure rate with the outcome of an attempt."""
    if outcome not in NEUTRAL_OUTCOMES:
        size = FAILURE_SIZES.get(outcome, 1.0)
        endpoint.failure_rate += (size - endpoint.failure_rate) * FAILURE_WEIGHT


def should_eject(state: BalancerState, endpoint: EndpointState, outcome: Outcome) -> bool:
    """Return whether to eject an endpoint because it fails often; health checks then decide on its return."""
    is_relevant = outcome not in NEUTRAL_OUTCOMES and not endpoint.ejected
    return (
        is_relevant and endpoint.failure_rate >= EJECTION_FAILURE_RATE and may_eject_one_more(state, endpoint)
    )


def may_eject_one_more(state: BalancerState, endpoint: EndpointState) -> bool:
    """Return whether another endpoint of the same build may be ejected.

    At most half of a build's endpoints are ejected. If more of them fail, the cause is the build, the load or
    this instance's own connectivity.
    """
    same_build = state.endpoints.groups.select([endpoint.listed.build])
    ejected = len(same_build.endpoints) - len(same_build.healthy)
    return 2 * ejected + 2 <= len(same_build.endpoints)


def clamp_ejection_time(requested: float) -> float:
    """Return the seconds for which an endpoint is ejected, within the bounds.

    Args:
        requested: Twice the seconds of the endpoint's last ejection, or the seconds that other instances
        report.
    """
    return min(MAX_EJECTION_S, max(MIN_EJECTION_S, requested))


def load_score(state: BalancerState, endpoint: EndpointState) -> float:
    """Return how loaded an endpoint is: its outstanding attempts, weighted by its slowness and failures.

    The score also rises while no result arrives, since the endpoint may be dead or unreachable.
    """
    fade = exp((endpoint.last_result_at - state.now) / SYMPTOM_DECAY_S)
    slow = 1 + (endpoint.latency_ratio - 1) * fade
    weight = slow * (1 + FAILURE_PENALTY * endpoint.failure_rate * fade)
    return (endpoint.outstanding + 1) * weight * (1 + max(0.0, silence_ratio(state, endpoint) - 2))
