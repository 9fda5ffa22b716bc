"""The next step of a request. Rule 1: one final answer, in time. Rule 2: no effect is caused twice."""

from collections.abc import Sequence

from gatebank.actions import FailRequest, RejectRequest
from gatebank.core.endpoint_state import EndpointState
from gatebank.core.request_state import Attempt, RequestState
from gatebank.core.state import BalancerState
from gatebank.events import RetrySafety
from gatebank.policy.admission import should_shed
from gatebank.policy.routing import choose_endpoint

# Interval at which the choice of an endpoint for a waiting request is repeated. A change of the endpoint list
# or new tokens of slow start may make an endpoint available.
ENDPOINT_WAIT_S = 0.1
# An attempt that would start this close to the deadline cannot be answered in time.
DEADLINE_MARGIN_S = 0.01
# Margin for the request's transit time to the endpoint, before an idempotency key's window ends.
KEY_WINDOW_MARGIN_S = 0.05
# Delay after which a rejected client is advised to retry.
RETRY_AFTER_S = 0.5


NextStep = EndpointState | float | RejectRequest | FailRequest


def next_step(state: BalancerState, request: RequestState) -> NextStep:
    """Return the endpoint of the next attempt, the time to wait until, or the final answer."""
    may_send = may_attempt(state, request) and (bool(request.attempts) or not should_shed(state, request))
    endpoint = choose_endpoint(state, request) if may_send else None
    if endpoint is not None:
        return endpoint
    if may_send and state.now < request.arrived_at + request.request_class.latency_objective:
        return min(state.now + ENDPOINT_WAIT_S, max(request.deadline - DEADLINE_MARGIN_S, state.now))
    return final_answer(state, request)


def may_attempt(state: BalancerState, request: RequestState) -> bool:
    """Return whether another attempt of a request may start now."""
    if len(request.attempts) >= state.settings.limits.max_attempts:
        return False
    in_time = state.now < request.deadline - DEADLINE_MARGIN_S
    return in_time and may_run_again(state, request, request.attempts_that_may_have_run())


def may_run_again(state: BalancerState, request: RequestState, may_have_run: Sequence[Attempt]) -> bool:
    """Return whether a request may run after earlier attempts that may have run.

    An idempotent request may always run again, a keyed request only within the window of its idempotency key.
    """
    request_class = request.request_class
    if not may_have_run or request_class.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    window_end = may_have_run[0].started_at + request_class.retry_window - KEY_WINDOW_MARGIN_S
    return request_class.retry_safety is RetrySafety.KEYED and state.now < window_end


def final_answer(state: BalancerState, request: RequestState) -> RejectRequest | FailRequest:
    """Return the final answer of a request without a result.

    A request is rejected, and its client may send it again, only if running it again does no harm. A keyed
    request past its key's window fails instead.
    """
    number = request.request.number
    may_have_run = request.attempts_that_may_have_run()
    request_class = request.request_class
    anywhere = request_class.retry_group == "all" or request_class.retry_safety is RetrySafety.IDEMPOTENT
    if may_have_run and not (anywhere and may_run_again(state, request, may_have_run)):
        return FailRequest(number)
    return RejectRequest(number, RETRY_AFTER_S if state.settings.limits.may_advise_retry_after else None)
