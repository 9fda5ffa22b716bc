"""Windows and weights with which latencies and rates are measured."""

from gatebank.core.measurement import LatencyWeights
from gatebank.core.request_state import AttemptRecord
from gatebank.core.state import BalancerState
from gatebank.core.traffic import RateWindows
from gatebank.peer_messages import BASELINE, CANARY, WARMING_UP
from gatebank.policy.exposure import is_canary
from gatebank.policy.slow_start import is_warm

# Interval between evaluations of state that changes with time alone. A quarter of the 1 s after which the
# design sends the remainder of the LLRs.
TICK_S = 0.25
# An instance that ran no tick for longer than this many intervals was stalled.
STALL_TICKS = 3
# Window over which answers and loads are counted.
RATE_WINDOW_S = 2.0
RATE_WINDOWS = RateWindows(RATE_WINDOW_S, 1.0, TICK_S, 0.05)
# Time for which rows are kept beyond the exposure window.
EXPOSURE_MARGIN_S = 0.1
# Delay before the endpoint list is watched again after a watch that failed.
WATCH_RETRY_S = 1.0
# Number of this instance's own results of an endpoint from which inherited state of the endpoint is ignored.
MIN_OWN_RESULTS = 5
LATENCY_WEIGHTS = LatencyWeights(0.05, 0.2, 1.0)


def report_side(state: BalancerState, attempt: AttemptRecord) -> int:
    """Return the side of the load report in which an attempt's latency is counted."""
    if not is_warm(state, attempt.endpoint):
        return WARMING_UP
    return CANARY if is_canary(state, attempt.build) else BASELINE


def expire_traffic(state: BalancerState) -> None:
    """Drop traffic counts that are older than the windows."""
    window = state.settings.release.exposure_window
    state.traffic.expire(
        exposure_before=state.now - window - EXPOSURE_MARGIN_S,
        arrivals_before=state.now - max(RATE_WINDOW_S, window + EXPOSURE_MARGIN_S),
        rates_before=state.now - RATE_WINDOW_S,
    )
