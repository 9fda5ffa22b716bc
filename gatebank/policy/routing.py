"""Which endpoint an attempt goes to. Rule 3 is kept by the endpoint table: only ready ones are chosen."""

from itertools import islice

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.request_state import RequestState
from gatebank.core.state import BalancerState
from gatebank.events import Phase, RetrySafety
from gatebank.policy.exposure import cap_allows, is_canary
from gatebank.policy.outlier import busyness
from gatebank.policy.slow_start import admits, minimum_capacity
from gatebank.statistics.endpoint_groups import EndpointGroups, Selection

MIN_SUBSET = 4.0  # endpoints
MIN_COVERAGE = 4  # instances to each endpoint, for each to keep to a subset
MEETINGS = 4  # an endpoint is met this often, over the idle timeout of connections
GOLDEN_SECTION = 0.618034  # spreads any run of instance numbers evenly
NO_IDLE_TIMEOUT_S = 1e9


def choose_endpoint(state: BalancerState, request: RequestState) -> EndpointState | None:
    """The endpoint of the next attempt; None where none may be sent to now."""
    candidates = _candidates(state, request)
    whole = candidates is state.endpoints.ready
    groups = state.endpoints.groups if whole else EndpointGroups(candidates)
    canaries = {b: cap_allows(state, request, b) for b in groups.by_build if is_canary(state, b)}
    baseline = groups.select(canaries, excluded=True)
    canary = groups.select([build for build, allowed in canaries.items() if allowed])
    old = _less_busy_of_two(state, baseline)
    new = _less_busy_of_two(state, canary)
    rolling_back = state.release is not None and state.release.phase is Phase.ROLLING_BACK
    # What failed is tried at the baseline next: it tells whose fault it was, and spares the client.
    if not old or not new or request.suspected_errors or rolling_back:
        return old or new
    # The canary gets what its endpoints can take, that times be like with like, however slow or failing.
    warm_up = state.settings.slow_start.warm_up

    def capacity_of(endpoint: EndpointState) -> float:
        return minimum_capacity(state, endpoint)

    old_part = groups.capacity(baseline, state.now, warm_up, capacity_of)
    new_part = groups.capacity(canary, state.now, warm_up, capacity_of)
    return new if state.random() * (new_part + old_part) < new_part else old


def _candidates(state: BalancerState, request: RequestState) -> list[EndpointState]:
    """Ready endpoints, within a keyed request's group, a sticky key's builds, and untried ones first."""
    found = state.endpoints.ready
    settings = request.request_class
    may_have_run = request.attempts_that_may_have_run()
    if may_have_run and settings.retry_safety is RetrySafety.KEYED and settings.retry_group != "all":
        group = "zone" if settings.retry_group == "zone" else "cell"
        first = getattr(may_have_run[0].endpoint.listed, group)
        found = [each for each in found if getattr(each.listed, group) == first]
    if request.request.key in state.sticky_builds:
        lowest = state.sticky_builds[request.request.key]
        found = [each for each in found if each.listed.build >= lowest]
    if tried := {id(attempt.endpoint) for attempt in request.attempts}:
        found = [each for each in found if id(each) not in tried] or found
    return found


def _less_busy_of_two(state: BalancerState, selection: Selection) -> EndpointState | None:
    """The design's pick: the less busy of two at random, or the first to be found that may be sent to."""
    endpoints = selection.healthy or selection.endpoints
    two = [each for each in _near(state, endpoints) if admits(state, each)]
    if not two:
        in_any_order = state.sample(endpoints, len(endpoints))
        two = list(islice((each for each in in_any_order if admits(state, each)), 1))
    return min(two, key=lambda each: busyness(state, each)) if two else None


def _near(state: BalancerState, endpoints: list[EndpointState]) -> list[EndpointState]:
    """Two at random of those near this instance: as many as it meets twice while an idle connection lives."""
    # New connections cost endpoints. Places are even, so that all instances together reach all alike.
    size = len(endpoints)
    settings = state.settings
    idle_timeout = settings.limits.connection_idle_timeout
    idle = NO_IDLE_TIMEOUT_S if idle_timeout is None else idle_timeout
    share = state.traffic.smoothed_request_rate * idle / MEETINGS * size / max(1, len(state.endpoints.ready))
    width = max(MIN_SUBSET, share)
    if width >= size or settings.instance_count * width < MIN_COVERAGE * size:
        return state.sample(endpoints, min(2, size))
    first = int(settings.instance * GOLDEN_SECTION % 1.0 * size)
    return [endpoints[(first + at) % size] for at in state.sample(range(int(width)), 2)]
