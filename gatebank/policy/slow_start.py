"""How much an endpoint gets while it warms up. Rule 4: cold endpoints are not pushed over."""

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.state import BalancerState

WARM_UP_MARGIN_S = 1.0
BUDGET_SHARE = 0.5  # of what it can bear by this instance's count
FIRST_BURST_WINDOWS = 0.4  # a window's worth at once
MAX_TOKENS = 1.5
PEER_RATE_S = 2.0  # for so long the attempts that others send are believed
SERVED_RATE_PER_WINDOW = 0.6  # served attempts of the 2 s window, as a rate with some caution


def is_warm(state: BalancerState, endpoint: EndpointState) -> bool:
    """Whether it has its whole capacity."""
    return state.age(endpoint) >= state.settings.slow_start.warm_up + WARM_UP_MARGIN_S


def minimum_capacity(state: BalancerState, endpoint: EndpointState) -> float:
    """The least fraction of its capacity that it can have by now."""
    slow_start = state.settings.slow_start
    initial = slow_start.initial_capacity
    return initial + (1 - initial) * max(0.0, min(1.0, state.age(endpoint) / slow_start.warm_up))


def admits(state: BalancerState, endpoint: EndpointState) -> bool:
    """Whether it may be sent to: half of the overload multiple x its capacity x this instance's traffic."""
    # This holds in sum over all instances; below one attempt, chance says when the first is due.
    if is_warm(state, endpoint):
        return True
    slow_start = state.settings.slow_start
    served_rate = min(state.traffic.request_rate, SERVED_RATE_PER_WINDOW * len(state.traffic.served))
    fair = served_rate / max(1, len(state.endpoints.ready))
    allowed = slow_start.overload_multiple * minimum_capacity(state, endpoint) * fair  # attempts a second
    peers = endpoint.peer_slow_start_rate
    if state.now < peers.valid_until:  # others send it more than this instance's own traffic would tell
        allowed = min(allowed, max(0.0, allowed * state.settings.instance_count - 2 * peers.rate))
    first = min(1.0, state.random() + FIRST_BURST_WINDOWS * allowed * slow_start.overload_window)
    refill = (
        BUDGET_SHARE * allowed * (state.now - endpoint.tokens_updated_at)
        if endpoint.tokens_updated_at
        else first
    )
    endpoint.slow_start_tokens = min(MAX_TOKENS, endpoint.slow_start_tokens + refill)
    endpoint.tokens_updated_at = state.now
    return endpoint.slow_start_tokens >= 1.0
