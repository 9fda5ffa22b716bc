"""Slow start: how much an endpoint gets while it warms up. Rule 4: cold endpoints are not overloaded."""

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.state import BalancerState

# Time after the configured warm-up during which an endpoint is still treated as cold.
WARM_UP_MARGIN_S = 1.0
# Share of the rate that an endpoint can bear, by this instance's estimate, that refills its tokens.
REFILL_SHARE = 0.5
# Share of an overload window's attempts that a cold endpoint may get at once as its first ones.
FIRST_BURST_WINDOWS = 0.4
# Upper bound of an endpoint's tokens.
MAX_TOKENS = 1.5
# Time for which the reported rate of other instances' attempts is used.
PEER_RATE_LIFETIME_S = 2.0
# Factor from the attempts served in the 2 s window to a rate per second, with a margin above the exact 0.5.
SERVED_RATE_PER_WINDOW = 0.6


def is_warm(state: BalancerState, endpoint: EndpointState) -> bool:
    """Return whether an endpoint has its full capacity."""
    return state.age(endpoint) >= state.settings.slow_start.warm_up + WARM_UP_MARGIN_S


def minimum_capacity(state: BalancerState, endpoint: EndpointState) -> float:
    """Return the fraction of its full capacity that an endpoint has reached at the least."""
    slow_start = state.settings.slow_start
    initial = slow_start.initial_capacity
    return initial + (1 - initial) * max(0.0, min(1.0, state.age(endpoint) / slow_start.warm_up))


def admits(state: BalancerState, endpoint: EndpointState) -> bool:
    """Return whether slow start admits an attempt at an endpoint.

    A cold endpoint's tokens are refilled at half of the rate at which it would be overloaded: the overload
    multiple x its capacity x a warm endpoint's share of this instance's traffic.
    """
    # If all instances keep to this, the endpoint's load stays within the limit in total. An instance whose
    # part is less than one attempt draws at random when it may send the first one.
    if is_warm(state, endpoint):
        return True
    slow_start = state.settings.slow_start
    served_rate = min(state.traffic.request_rate, SERVED_RATE_PER_WINDOW * len(state.traffic.served))
    even_share = served_rate / max(1, len(state.endpoints.ready))
    # Attempts per second that this instance may send.
    allowed = slow_start.overload_multiple * minimum_capacity(state, endpoint) * even_share
    peers = endpoint.peer_slow_start_rate
    if (
        state.now < peers.valid_until
    ):  # other instances send more to this endpoint than this one's traffic suggests
        allowed = min(allowed, max(0.0, allowed * state.settings.instance_count - 2 * peers.rate))
    first = min(1.0, state.random() + FIRST_BURST_WINDOWS * allowed * slow_start.overload_window)
    refill = (
        REFILL_SHARE * allowed * (state.now - endpoint.tokens_updated_at)
        if endpoint.tokens_updated_at
        else first
    )
    endpoint.slow_start_tokens = min(MAX_TOKENS, endpoint.slow_start_tokens + refill)
    endpoint.tokens_updated_at = state.now
    return endpoint.slow_start_tokens >= 1.0
