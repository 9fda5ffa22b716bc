"""Choice of the endpoint of an attempt.

Rule 3, that no request is sent to an endpoint that is draining or gone, holds because the endpoint table
offers only ready endpoints.
"""

from itertools import islice

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.request_state import RequestState
from gatebank.core.state import BalancerState
from gatebank.events import Phase, RetrySafety
from gatebank.policy.exposure import cap_allows, is_canary
from gatebank.policy.outlier import load_score
from gatebank.policy.slow_start import admits, minimum_capacity
from gatebank.statistics.endpoint_groups import EndpointGroups, Selection

# Minimum number of endpoints in an instance's subset.
MIN_SUBSET = 4.0
# Instances keep to subsets only if each endpoint is in the subsets of this many instances on average.
MIN_COVERAGE = 4
# Attempts that each endpoint of a subset gets from this instance within the idle timeout of connections.
CONNECTION_USES = 4
# Multiples of the golden ratio distribute any range of instance numbers evenly over the endpoints.
GOLDEN_RATIO = 0.618034
NO_IDLE_TIMEOUT_S = 1e9


def choose_endpoint(state: BalancerState, request: RequestState) -> EndpointState | None:
    """Return the endpoint of the next attempt; None if no endpoint may be sent to now."""
    candidates = _candidates(state, request)
    all_ready = candidates is state.endpoints.ready
    groups = state.endpoints.groups if all_ready else EndpointGroups(candidates)
    # A key that the canary answers must be bound to it; one that cannot be bound stays with the baseline.
    may_bind = state.may_bind(request.request.key)
    canaries = {b: may_bind and cap_allows(state, request, b) for b in groups.by_build if is_canary(state, b)}
    baseline = groups.select(canaries, excluded=True)
    canary = groups.select([build for build, allowed in canaries.items() if allowed])
    old = _less_loaded_of_two(state, baseline)
    new = _less_loaded_of_two(state, canary)
    rolling_back = state.release is not None and state.release.phase is Phase.ROLLING_BACK
    # A request that failed is tried at the baseline next: the result shows whether the build was at fault,
    # and the client gets its answer.
    if not old or not new or request.suspected_errors or rolling_back:
        return old or new
    # The canary gets traffic in proportion to its endpoints' capacity, however slow or failing they are, so
    # that its latencies and the baseline's are measured under the same load.
    warm_up = state.settings.slow_start.warm_up

    def capacity_of(endpoint: EndpointState) -> float:
        return minimum_capacity(state, endpoint)

    old_capacity = groups.capacity(baseline, state.now, warm_up, capacity_of)
    new_capacity = groups.capacity(canary, state.now, warm_up, capacity_of)
    return new if state.random() * (new_capacity + old_capacity) < new_capacity else old


def _candidates(state: BalancerState, request: RequestState) -> list[EndpointState]:
    """Return the ready endpoints that a request may be sent to.

    A keyed request that may have run stays in the group of its first such attempt, and a sticky key excludes
    builds earlier than its own. Endpoints that the request has not tried yet are preferred.
    """
    found = state.endpoints.ready
    request_class = request.request_class
    may_have_run = request.attempts_that_may_have_run()
    if (
        may_have_run
        and request_class.retry_safety is RetrySafety.KEYED
        and request_class.retry_group != "all"
    ):
        group = "zone" if request_class.retry_group == "zone" else "cell"
        first = getattr(may_have_run[0].endpoint.listed, group)
        found = [endpoint for endpoint in found if getattr(endpoint.listed, group) == first]
    earliest_build = state.sticky_keys.earliest_build(request.request.key)
    if earliest_build is not None:
        found = [endpoint for endpoint in found if endpoint.listed.build >= earliest_build]
    elif state.release and state.release.phase is Phase.RELEASED and not state.may_bind(request.request.key):
        # The released build may have answered a key that could not be bound: no such key goes back.
        newest = state.release.build or 0
        found = [endpoint for endpoint in found if endpoint.listed.build >= newest] or found
    if tried := {id(attempt.endpoint) for attempt in request.attempts}:
        found = [endpoint for endpoint in found if id(endpoint) not in tried] or found
    return found


def _less_loaded_of_two(state: BalancerState, selection: Selection) -> EndpointState | None:
    """Return the less loaded of two endpoints at random, as in the design.

    If slow start admits neither of the two, the first endpoint in random order that it admits is taken.
    """
    endpoints = selection.healthy or selection.endpoints
    choices = [endpoint for endpoint in _sample_from_subset(state, endpoints) if admits(state, endpoint)]
    if not choices:
        in_random_order = state.sample(endpoints, len(endpoints))
        choices = list(islice((endpoint for endpoint in in_random_order if admits(state, endpoint)), 1))
    return min(choices, key=lambda endpoint: load_score(state, endpoint)) if choices else None


def _sample_from_subset(state: BalancerState, endpoints: list[EndpointState]) -> list[EndpointState]:
    """Return two endpoints at random from this instance's subset.

    New connections cost endpoints work. An instance therefore keeps to as many endpoints as it can use so
    often that their connections do not reach the idle timeout.
    """
    # The subsets start at evenly distributed places, so that all instances together load all endpoints alike.
    size = len(endpoints)
    settings = state.settings
    idle_timeout = settings.limits.connection_idle_timeout
    idle = NO_IDLE_TIMEOUT_S if idle_timeout is None else idle_timeout
    share = (
        state.traffic.smoothed_request_rate
        * idle
        / CONNECTION_USES
        * size
        / max(1, len(state.endpoints.ready))
    )
    width = max(MIN_SUBSET, share)
    if width >= size or settings.instance_count * width < MIN_COVERAGE * size:
        return state.sample(endpoints, min(2, size))
    first = int(settings.instance * GOLDEN_RATIO % 1.0 * size)
    return [endpoints[(first + offset) % size] for offset in state.sample(range(int(width)), 2)]
