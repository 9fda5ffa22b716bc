"""Endpoints that fail, are silent or busy: failure rates, ejection."""

from math import exp

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.load import silence_ratio
from gatebank.core.state import BalancerState
from gatebank.events import Outcome

FAILURE_WEIGHT = 0.25  # of each new result in an endpoint's failure rate
FAILURE_SIZES = {Outcome.SUCCESS: 0.0, Outcome.CONNECTION_LOST: 0.5}  # others: 1; a link may lose answers
NO_FAILURE_SIGN = (Outcome.CANCELLED, Outcome.REJECTED, Outcome.NOT_SENT)
EJECT_AT = 0.4
RETURN_RATE = 0.3  # of an endpoint that is taken back: ejected again soon, for twice as long
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
HEALTH_CHECKS_TO_RETURN = 2
HEALTH_CHECK_EVERY_S = 0.5
MEMORY_S = 4.0  # in which what made an endpoint look slow or failing fades, so that it is tried again
UNRESPONSIVE_AT = 3  # usual times without a result
FAILURE_PENALTY = 8


def update_failure_rate(endpoint: EndpointState, outcome: Outcome) -> None:
    """Take a result into an endpoint's failure rate."""
    if outcome not in NO_FAILURE_SIGN:
        size = FAILURE_SIZES.get(outcome, 1.0)
        endpoint.failure_rate += (size - endpoint.failure_rate) * FAILURE_WEIGHT


def should_eject(state: BalancerState, endpoint: EndpointState, outcome: Outcome) -> bool:
    """An endpoint that fails often is ejected and checked."""
    counts = outcome not in NO_FAILURE_SIGN and not endpoint.ejected
    return counts and endpoint.failure_rate >= EJECT_AT and may_eject_one_more(state, endpoint)


def may_eject_one_more(state: BalancerState, endpoint: EndpointState) -> bool:
    """Half of a build's at most: if more fail it is the build, the load or this instance's own view."""
    same_build = state.endpoints.groups.select([endpoint.listed.build])
    ejected = len(same_build.endpoints) - len(same_build.healthy)
    return 2 * ejected + 2 <= len(same_build.endpoints)


def ejection_time(wanted: float) -> float:
    """Seconds for which an endpoint is ejected: twice the last time's, or what others say."""
    return min(MAX_EJECTION_S, max(MIN_EJECTION_S, wanted))


def busyness(state: BalancerState, endpoint: EndpointState) -> float:
    """Attempts outstanding x how slow; more when nothing comes back: dead, or cut off."""
    fade = exp((endpoint.last_result_at - state.now) / MEMORY_S)
    slow = 1 + (endpoint.latency_ratio - 1) * fade
    shown = slow * (1 + FAILURE_PENALTY * endpoint.failure_rate * fade)
    return (endpoint.outstanding + 1) * shown * (1 + max(0.0, silence_ratio(state, endpoint) - 2))
