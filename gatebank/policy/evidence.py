"""Evidence on builds in an attempt's result: which LLRs the result moves, and by how much."""

from gatebank.core.latency import UNKNOWN_LATENCY
from gatebank.core.llr_sums import Statistic
from gatebank.core.load import load_per_endpoint
from gatebank.core.measurement import (
    count_baseline_outcome,
    median_latency_ratio,
    record_baseline_latency,
    record_latency_drift,
)
from gatebank.core.request_state import AttemptRecord
from gatebank.core.state import BalancerState
from gatebank.events import GIVEN_UP_OUTCOMES, AttemptResult, LatencyEstimate, Outcome, Phase
from gatebank.peer_messages import LlrDelta
from gatebank.policy.outlier import EJECTION_FAILURE_RATE, UNRESPONSIVE_SILENCE
from gatebank.policy.sequential_test import SequentialTest, llr_step, odds_of
from gatebank.policy.slow_start import is_warm

# Time after an endpoint's start during which its results are no evidence.
SETTLING_S = 1.0
# Number of answers or outcomes from which a mean or a rate is reliable.
RELIABLE_SAMPLES = 20
# An answer is late compared with the baseline if it takes more than this multiple of the baseline's latency.
LATE_FACTOR = 3
# An answer is late everywhere if it takes more than this multiple of the latency before the canary started.
LATE_EVERYWHERE_FACTOR = 2.5
# Ratio of the median latency ratios of canary and baseline endpoints above which the canary is slower.
SLOW_CANARY_RATIO = 1.2
# The same ratio, below which the canary is faster than chance explains. A slowdown of the baseline alone is
# then not the canary's fault.
FAST_CANARY_RATIO = 0.7
# Median latency drift of all healthy endpoints above which answers may be late everywhere. The median leaves
# out the effect of noisy neighbours, pauses and queues, which slow down single endpoints.
DRIFT_THRESHOLD = 1.3
# Load per endpoint, relative to that before the canary started, from which late answers are no evidence.
BUSY_FACTOR = 1.35
# Time after a burst of traffic during which the requests that are still queued make answers late.
BACKLOG_S = 4.0
# Weight of an answer in an endpoint's latency drift.
DRIFT_WEIGHT = 0.15
# Weight of an answer in the baseline's mean latency.
BASELINE_LATENCY_WEIGHT = 0.02
# Factor by which the baseline's counts decay with each outcome.
BASELINE_COUNT_DECAY = 0.99
# Weight of an outcome in the baseline's recent rate of bad outcomes.
RECENT_RATE_WEIGHT = 0.1
# Outcomes of the canary at this instance that are required before latency drift counts as evidence.
MIN_OUTCOMES = 5
# The same requirement over all instances. Where there are many instances, each needs only its part of it.
MIN_OUTCOMES_OF_ALL = 25
# Bounds of p0, the baseline's share of bad outcomes.
MIN_P0 = 0.01
MAX_P0 = 0.2
# Upper bound of p0 where it follows the baseline's recent rate of errors.
MAX_RECENT_P0 = 0.6
# Answers per second of the whole fleet that count as independent evidence of lateness everywhere: answers of
# the same moment are late together.
INDEPENDENT_FLEET_RATE = 80
# Answers per second of one endpoint that count as independent evidence of lateness: requests that wait behind
# the same pause are late together.
INDEPENDENT_ENDPOINT_RATE = 8


def evaluate(state: BalancerState, attempt: AttemptRecord, result: AttemptResult) -> list[LlrDelta] | None:
    """Update the baseline's figures or the canary's LLRs from an attempt's result.

    Returns:
        The messages to send to the fusers; None if the result is no evidence on builds.
    """
    usual = _usual_latency(state, attempt.latency_key)
    late = result.duration > LATE_FACTOR * usual.mean
    given_up_too_soon = result.outcome in GIVEN_UP_OUTCOMES and result.duration < LATE_FACTOR * usual.mean
    if state.age(attempt.endpoint) < SETTLING_S or given_up_too_soon:
        return None
    in_canary_phase = state.release is not None and state.release.phase is Phase.CANARY
    is_baseline = state.test is None or attempt.build < state.test.build
    # The latency of an endpoint that warms up is high whatever build it runs, and the latency of an attempt
    # that was sent before this instance resumed includes the time during which the instance was stalled.
    latency_valid = is_warm(state, attempt.endpoint) and state.now - result.duration >= state.resumed_at
    compares_latency = in_canary_phase and latency_valid and _measures_latency(state, attempt, result)
    deltas: list[LlrDelta | None] = []
    slower = False
    if state.test and compares_latency:
        # Ratio of the medians over the canary's and the baseline's endpoints. The fleet's ratio is used
        # where it is known, because this instance may have too little traffic for its own.
        slowness = state.fleet.canary_latency_ratio or median_latency_ratio(state, state.test.build)
        slower = usual.samples >= RELIABLE_SAMPLES and slowness > SLOW_CANARY_RATIO
        if _allows_drift_comparison(state, state.test, attempt, result):
            late_drift = _late_by_drift(state, attempt, result) and slowness > FAST_CANARY_RATIO
            deltas.append(
                _count_outcome(state, state.test, Statistic.LATE_VERSUS_BEFORE_CANARY, attempt, late_drift)
            )
    if result.outcome is Outcome.SUCCESS and latency_valid and (is_baseline or not in_canary_phase):
        record_baseline_latency(state, attempt.latency_key, result.duration, BASELINE_LATENCY_WEIGHT)
    if is_baseline or not (in_canary_phase or state.canary_seen):
        _count_baseline(state, attempt, result, late and usual.mean > 0)
    elif state.test and attempt.build == state.test.build:
        outcomes = _error_statistics(attempt, result)
        if state.test.oldest_endpoints(state.endpoints.groups).includes(attempt.endpoint):
            outcomes += ((state.test.oldest_statistic, result.outcome is Outcome.ERROR),)
        deltas += [_count_outcome(state, state.test, statistic, attempt, bad) for statistic, bad in outcomes]
        if compares_latency and usual.samples >= RELIABLE_SAMPLES:
            deltas.append(
                _count_outcome(state, state.test, Statistic.LATE_VERSUS_BASELINE, attempt, late and slower)
            )
    return [delta for delta in deltas if delta]


def _usual_latency(state: BalancerState, key: tuple[int, int]) -> LatencyEstimate:
    """Return the baseline's latency: the fleet's where this instance has too few samples of its own."""
    own = state.latencies.baseline.get(key, UNKNOWN_LATENCY)
    if own.samples < RELIABLE_SAMPLES and key in state.fleet.baseline_latency:
        return LatencyEstimate(state.fleet.baseline_latency[key].per_answer, RELIABLE_SAMPLES)
    return own


def reliable_baseline_latencies(state: BalancerState) -> dict[tuple[int, int], LatencyEstimate]:
    """Return the baseline's latencies with enough samples, by request class and machine kind.

    The fleet's latency stands in where this instance has too few samples of its own.
    """
    keys = {*state.latencies.baseline, *state.fleet.baseline_latency}
    usual = {key: _usual_latency(state, key) for key in keys}
    return {key: estimate for key, estimate in usual.items() if estimate.samples >= RELIABLE_SAMPLES}


def _measures_latency(state: BalancerState, attempt: AttemptRecord, result: AttemptResult) -> bool:
    """Return whether a result's duration shows how fast its endpoint is."""
    broken = result.outcome in (Outcome.ERROR, Outcome.CONNECTION_LOST)
    return not broken and attempt.request_class not in state.fleet.held_up_classes


def _allows_drift_comparison(
    state: BalancerState, test: SequentialTest, attempt: AttemptRecord, result: AttemptResult
) -> bool:
    """Return whether a result can be compared with the latency before the canary started.

    Only answers can: an endpoint that does not answer is not evidence of slowness.
    """
    needed = min(MIN_OUTCOMES, MIN_OUTCOMES_OF_ALL / state.settings.instance_count)
    enough = test.sums.own[Statistic.ERRORS].outcomes >= needed
    before = state.latencies.before_canary.get(attempt.latency_key, UNKNOWN_LATENCY).mean
    return enough and result.outcome is Outcome.SUCCESS and before > 0


def _late_by_drift(state: BalancerState, attempt: AttemptRecord, result: AttemptResult) -> bool:
    """Return whether an answer is late everywhere: compared with the latency before the canary started.

    A build may slow down the endpoints of all builds, so that no endpoint is left to compare it with. The
    answer counts as late only if there is no more traffic than before.
    """
    before = state.latencies.before_canary[attempt.latency_key].mean
    drift = record_latency_drift(state, attempt.endpoint, result.duration / before, DRIFT_WEIGHT)
    calm = state.now >= state.latencies.busy_until
    return calm and drift > DRIFT_THRESHOLD and result.duration > LATE_EVERYWHERE_FACTOR * before


def update_busy_until(state: BalancerState) -> None:
    """Extend the busy period if there is more traffic than before the canary started.

    The period outlasts a burst of traffic, because requests that the burst left in queues are answered late.
    """
    if load_per_endpoint(state, UNRESPONSIVE_SILENCE) >= BUSY_FACTOR * state.latencies.load_before_canary:
        state.latencies.busy_until = state.now + BACKLOG_S


def _error_statistics(attempt: AttemptRecord, result: AttemptResult) -> tuple[tuple[int, bool], ...]:
    """Return the error statistics that a result counts in, each with whether the result is bad in it."""
    error = result.outcome is Outcome.ERROR
    lost = result.outcome is Outcome.CONNECTION_LOST
    of_class = Statistic.FIRST_CLASS + attempt.request_class
    return (Statistic.ERRORS, error), (Statistic.CONNECTIONS_LOST, lost), (of_class, error)


def _count_baseline(state: BalancerState, attempt: AttemptRecord, result: AttemptResult, late: bool) -> None:
    """Count a result of the baseline.

    Failures that also occur at the baseline are not held against the canary. Failures of baseline endpoints
    that fail often stay out of the recent rate, as they could hide failures of the canary.
    """
    outcomes = (*_error_statistics(attempt, result), (Statistic.LATE_VERSUS_BASELINE, late))
    healthy = attempt.endpoint.failure_rate < EJECTION_FAILURE_RATE
    count_baseline_outcome(state.baseline_errors, outcomes, healthy, BASELINE_COUNT_DECAY, RECENT_RATE_WEIGHT)


def _count_outcome(
    state: BalancerState, test: SequentialTest, statistic: int, attempt: AttemptRecord, bad: bool
) -> LlrDelta | None:
    """Count an outcome in one LLR.

    Returns:
        The message to the fusers if the LLR has moved by Δ or more, else None.
    """
    odds_of_statistic = test.odds_aliases.get(statistic, statistic)
    step = llr_step(odds_of_statistic, bad, _p0(state, odds_of_statistic))
    if statistic == Statistic.LATE_VERSUS_BEFORE_CANARY and state.fleet.report:
        step *= min(1.0, INDEPENDENT_FLEET_RATE / max(1.0, state.fleet.report.request_rate))
    elif statistic == Statistic.LATE_VERSUS_BASELINE:
        step *= min(1.0, INDEPENDENT_ENDPOINT_RATE / max(1.0, load_per_endpoint(state, UNRESPONSIVE_SILENCE)))
    return test.sums.add_own_outcome(statistic, step, attempt.endpoint.listed.name_hash, state.random)


def _p0(state: BalancerState, statistic: int) -> float:
    """Return the baseline's share of bad outcomes; of errors, no less than their recent rate."""
    row = state.baseline_errors[statistic]
    share = row.bad / row.total if row.total >= RELIABLE_SAMPLES else odds_of(statistic).default_p0
    p0 = min(MAX_P0, max(MIN_P0, share))
    return p0 if statistic == Statistic.LATE_VERSUS_BASELINE else max(p0, min(MAX_RECENT_P0, row.recent_rate))
