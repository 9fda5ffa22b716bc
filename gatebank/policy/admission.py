"""Load shedding: which requests are rejected before their first attempt."""

from gatebank.core.load import outstanding_attempts
from gatebank.core.request_state import RequestState
from gatebank.core.state import BalancerState
from gatebank.policy.measurement import RATE_WINDOW_S
from gatebank.policy.outlier import UNRESPONSIVE_SILENCE

# No request is shed for this long after the start, because the rate of answers is not known yet.
WARM_UP_S = 2.0
# Fewer outstanding attempts per endpoint are not a queue: endpoints may send their answers in bursts.
MIN_QUEUE_PER_ENDPOINT = 2
# Weight of the fleet report's figures, as a number of this instance's own answers per second.
FLEET_REPORT_WEIGHT = 5
# Share of the latency objective that the queue may take for a request class whose priority weight for its
# work is near 0. The class with the highest priority weight for its work may take twice as much.
BOUND_SHARE = 0.6
# Share of the bound on outstanding attempts above which tenants are held to their quotas.
QUOTA_ENFORCEMENT_SHARE = 0.7
# Factor by which a tenant may exceed its share before its requests count as over quota.
QUOTA_SLACK = 1.2
# Share of the requests of a held-up class that is admitted, to detect when the class is no longer held up.
HELD_UP_PROBE_SHARE = 0.1


def should_shed(state: BalancerState, request: RequestState) -> bool:
    """Return whether to reject a request because too many attempts are outstanding.

    Requests are shed before the endpoints' queues overload them, whatever fills the queues. Requests of the
    lowest priority weight for their work are shed first.
    """
    # By Little's law, the time of an answer is the number of outstanding attempts over the rate of answers.
    held_up = state.fleet.held_up_classes
    served_window = state.traffic.served
    served = (len(served_window) - (served_window.count(*held_up) if held_up else 0)) / RATE_WINDOW_S
    outstanding: float = outstanding_attempts(state, UNRESPONSIVE_SILENCE)
    in_fleet: float = outstanding * state.settings.instance_count
    report = state.fleet.report
    if report:  # where this instance has little traffic, the fleet's figures dominate
        if request.request.request_class in held_up:
            return state.random() > HELD_UP_PROBE_SHARE
        answers = max(
            0.5, sum(row.answer_rate for index, row in enumerate(state.fleet.loads) if index not in held_up)
        )
        in_fleet = (served * in_fleet + FLEET_REPORT_WEIGHT * report.outstanding) / (
            served + FLEET_REPORT_WEIGHT
        )
        outstanding = outstanding + FLEET_REPORT_WEIGHT * report.outstanding / answers
        served += FLEET_REPORT_WEIGHT
    quiet = in_fleet < MIN_QUEUE_PER_ENDPOINT * len(state.endpoints.ready)
    if quiet or state.now < state.started_at + WARM_UP_S:
        return False
    bound = _bound(state, request, served)
    if (
        state.settings.tenants
        and outstanding > QUOTA_ENFORCEMENT_SHARE * bound
        and _over_quota(state, request)
    ):
        bound *= QUOTA_ENFORCEMENT_SHARE
    return outstanding > bound


def _bound(state: BalancerState, request: RequestState, served: float) -> float:
    """Return the number of outstanding attempts above which a request of this class is shed.

    Args:
        state: The state of this instance.
        request: The request to admit or shed.
        served: Answers per second.
    """
    classes = state.settings.request_classes
    by_work = float(state.settings.weighs_by_work)  # if 0, worth is the priority weight over the mean latency
    means = [estimate.mean for estimate in state.latencies.by_class]
    pairs = zip(classes, means, strict=True)
    worth = [request_class.priority_weight / (by_work or mean or 1) for request_class, mean in pairs]
    objective = min(request_class.latency_objective for request_class in classes)
    return served * objective * BOUND_SHARE * (1 + worth[request.request.request_class] / max(worth))


def _over_quota(state: BalancerState, request: RequestState) -> bool:
    """Return whether a request counts as over its tenant's quota.

    The decision is random: the further the tenant's recent arrivals exceed its share of all arrivals, the
    more of its requests count as over quota.
    """
    arrivals = state.traffic.arrivals
    from_tenant = arrivals.count(request.request.tenant)
    share = state.settings.tenants[request.request.tenant].share
    return state.random() * from_tenant > QUOTA_SLACK * share / max(0.01, 1 - share) * (
        len(arrivals) - from_tenant
    )
