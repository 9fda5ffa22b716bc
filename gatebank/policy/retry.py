"""What to do next with a request. Rule 1: one final answer, in time. Rule 2: no effect twice."""

from collections.abc import Sequence

from gatebank.actions import FailRequest, RejectRequest
from gatebank.core.endpoint_state import EndpointState
from gatebank.core.request_state import Attempt, RequestState
from gatebank.core.state import BalancerState
from gatebank.events import RetrySafety
from gatebank.policy.admission import should_shed
from gatebank.policy.routing import choose_endpoint

WAIT_S = 0.1  # for an endpoint: the list or a slow start's budget may bring one
DEADLINE_MARGIN_S = 0.01  # an attempt this close to the deadline can't be answered
KEY_WINDOW_MARGIN_S = 0.05  # for its way to the endpoint
RETRY_AFTER_S = 0.5


NextStep = EndpointState | float | RejectRequest | FailRequest


def next_step(state: BalancerState, request: RequestState) -> NextStep:
    """The endpoint of the next attempt, the time to wait until, or the final answer."""
    may_send = may_attempt(state, request) and (bool(request.attempts) or not should_shed(state, request))
    endpoint = choose_endpoint(state, request) if may_send else None
    if endpoint is not None:
        return endpoint
    if may_send and state.now < request.arrived_at + request.request_class.latency_objective:
        return min(state.now + WAIT_S, max(request.deadline - DEADLINE_MARGIN_S, state.now))
    return final_answer(state, request)


def may_attempt(state: BalancerState, request: RequestState) -> bool:
    """Whether another attempt may start now."""
    if len(request.attempts) >= state.settings.limits.max_attempts:
        return False
    in_time = state.now < request.deadline - DEADLINE_MARGIN_S
    return in_time and may_run_again(state, request, request.attempts_that_may_have_run())


def may_run_again(state: BalancerState, request: RequestState, may_have_run: Sequence[Attempt]) -> bool:
    """Whether it may run behind these attempts; a keyed one within its window."""
    settings = request.request_class
    if not may_have_run or settings.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    window_end = may_have_run[0].started_at + settings.retry_window - KEY_WINDOW_MARGIN_S
    return settings.retry_safety is RetrySafety.KEYED and state.now < window_end


def final_answer(state: BalancerState, request: RequestState) -> RejectRequest | FailRequest:
    """Rejected only where running again does no harm: not past a key's window."""
    number = request.request.number
    may_have_run = request.attempts_that_may_have_run()
    settings = request.request_class
    anywhere = settings.retry_group == "all" or settings.retry_safety is RetrySafety.IDEMPOTENT
    if may_have_run and not (anywhere and may_run_again(state, request, may_have_run)):
        return FailRequest(number)
    return RejectRequest(number, RETRY_AFTER_S if state.settings.limits.may_advise_retry_after else None)
