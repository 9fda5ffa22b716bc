"""Load shedding: which requests are rejected before their first attempt."""

from gatebank.core.load import outstanding_attempts
from gatebank.core.request_state import RequestState
from gatebank.core.state import BalancerState
from gatebank.policy.measurement import RATE_WINDOW_S
from gatebank.policy.outlier import UNRESPONSIVE_AT

WARM_UP_S = 2.0  # after the start nothing is shed: no rate is known
QUIET_PER_ENDPOINT = 2  # so many outstanding attempts an endpoint are no queue: answers may come in bursts
FLEET_WEIGHT = 5  # the fleet's figures weigh as so many of this instance's answers a second
BOUND_SHARE = 0.6  # of the latency objective, for what pays least for its work; twice for the best
OVER_QUOTA_AT = 0.7  # of the bound, from where tenants are held to their quota
QUOTA_SLACK = 1.2
HELD_UP_PROBE_SHARE = 0.1  # of a held-up class goes on, to see when it ends


def sheds(state: BalancerState, request: RequestState) -> bool:
    """Whether to reject it before queues tip, whatever fills them; what pays least for its work first."""
    # By Little's law an answer takes attempts outstanding over answers a second.
    held_up = state.fleet.held_up_classes
    served_window = state.traffic.served
    served = (len(served_window) - (served_window.count(*held_up) if held_up else 0)) / RATE_WINDOW_S
    outstanding: float = outstanding_attempts(state, UNRESPONSIVE_AT)
    in_fleet: float = outstanding * state.settings.instance_count
    report = state.fleet.report
    if report:  # where traffic is thin, the fleet's figures decide
        if request.request.request_class in held_up:
            return state.random() > HELD_UP_PROBE_SHARE
        answers = max(
            0.5, sum(row.answer_rate for w, row in enumerate(state.fleet.loads) if w not in held_up)
        )
        in_fleet = (served * in_fleet + FLEET_WEIGHT * report.outstanding) / (served + FLEET_WEIGHT)
        outstanding = outstanding + FLEET_WEIGHT * report.outstanding / answers
        served += FLEET_WEIGHT
    quiet = in_fleet < QUIET_PER_ENDPOINT * len(state.endpoints.ready)
    if quiet or state.now < state.started_at + WARM_UP_S:
        return False
    bound = _bound(state, request, served)
    if state.settings.tenants and outstanding > OVER_QUOTA_AT * bound and _over_quota(state, request):
        bound *= OVER_QUOTA_AT
    return outstanding > bound


def _bound(state: BalancerState, request: RequestState, served: float) -> float:
    """Attempts outstanding beyond which a request of this class is shed."""
    classes = state.settings.request_classes
    by_work = float(state.settings.weighs_by_work)  # else by the usual time
    means = [estimate.mean for estimate in state.latencies.by_class]
    pairs = zip(classes, means, strict=True)
    worth = [each.priority_weight / (by_work or mean or 1) for each, mean in pairs]
    objective = min(each.latency_objective for each in classes)
    return served * objective * BOUND_SHARE * (1 + worth[request.request.request_class] / max(worth))


def _over_quota(state: BalancerState, request: RequestState) -> bool:
    """Whether it counts as what its tenant sends beyond its share: by chance, the likelier the more."""
    arrivals = state.traffic.arrivals
    mine = arrivals.count(request.request.tenant)
    share = state.settings.tenants[request.request.tenant].share
    return state.random() * mine > QUOTA_SLACK * share / max(0.01, 1 - share) * (len(arrivals) - mine)
