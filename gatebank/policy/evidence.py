"""What an attempt's result says of builds: which LLRs it moves, and by how much."""

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
from gatebank.policy.outlier import EJECT_AT, UNRESPONSIVE_AT
from gatebank.policy.sequential_test import SequentialTest, llr_step, odds_of
from gatebank.policy.slow_start import is_warm

SETTLING_S = 1.0  # after its start nothing an endpoint does is judged
RELIABLE_SAMPLES = 20  # answers or outcomes from which a mean is known
LATE_FACTOR = 3  # usual times: an answer is late beside the baseline
LATE_EVERYWHERE_FACTOR = 2.5  # times before this canary came
SLOWER_CANARY = 1.2  # the middle endpoint of the canary over the baseline's
QUICKER_CANARY = 0.7  # beyond chance: what slows the baseline alone is no fault of the canary
DRIFT = 1.3  # of the middle endpoint of all: no neighbour, pause or queue
BUSIER = 1.35  # load over that before the canary came, from where lateness is no sign
BACKLOG_S = 4.0  # after a burst, in which what still waits makes answers late
DRIFT_WEIGHT = 0.15
BASELINE_LATENCY_WEIGHT = 0.02
FADE = 0.99  # of the baseline's counts, with each outcome
RECENT_WEIGHT = 0.1  # of an outcome in the baseline's recent rate
MIN_OUTCOMES = 5  # of the canary at this instance
MIN_OUTCOMES_OF_ALL = 25  # where many instances share them
MIN_P0 = 0.01
MAX_P0 = 0.2
MAX_RECENT_P0 = 0.6
INDEPENDENT_FLEET_RATE = 80  # answers a second that count as evidence: those of a moment are late together
INDEPENDENT_ENDPOINT_RATE = 8  # the same of one endpoint: what waits behind one pause is late together


def judge(state: BalancerState, attempt: AttemptRecord, result: AttemptResult) -> list[LlrDelta] | None:
    """Take a result into the baseline's figures or the canary's LLRs.

    Returns:
        What is to be told to the fusers; None where the result says nothing of builds.
    """
    usual = _usual_latency(state, attempt.latency_key)
    late = result.duration > LATE_FACTOR * usual.mean
    given_up_too_soon = result.outcome in GIVEN_UP_OUTCOMES and result.duration < LATE_FACTOR * usual.mean
    if state.age(attempt.endpoint) < SETTLING_S or given_up_too_soon:
        return None
    in_trial = state.release is not None and state.release.phase is Phase.CANARY
    of_baseline = state.test is None or attempt.build < state.test.build
    # An endpoint that warms up is late whatever it runs, and an instance that stood still knows no times.
    timed = is_warm(state, attempt.endpoint) and state.now - result.duration >= state.resumed_at
    compared = in_trial and timed and _shows_time(state, attempt, result)
    deltas: list[LlrDelta | None] = []
    slower = False
    if state.test and compared:
        # Of the middle endpoints of canary and baseline; where traffic is thin, the fleet's.
        slowness = state.fleet.canary_latency_ratio or median_latency_ratio(state, state.test.build)
        slower = usual.samples >= RELIABLE_SAMPLES and slowness > SLOWER_CANARY
        if _has_drift(state, state.test, attempt, result):
            late_drift = _late_by_drift(state, attempt, result) and slowness > QUICKER_CANARY
            deltas.append(_move(state, state.test, Statistic.LATE_VERSUS_BEFORE_CANARY, attempt, late_drift))
    if result.outcome is Outcome.SUCCESS and timed and (of_baseline or not in_trial):
        record_baseline_latency(state, attempt.latency_key, result.duration, BASELINE_LATENCY_WEIGHT)
    if of_baseline or not (in_trial or state.canary_seen):
        _count_baseline(state, attempt, result, late and usual.mean > 0)
    elif state.test and attempt.build == state.test.build:
        outcomes = _error_statistics(attempt, result)
        if state.test.oldest_endpoints(state.endpoints.groups).contain(attempt.endpoint):
            outcomes += ((state.test.oldest, result.outcome is Outcome.ERROR),)
        deltas += [_move(state, state.test, statistic, attempt, bad) for statistic, bad in outcomes]
        if compared and usual.samples >= RELIABLE_SAMPLES:
            deltas.append(_move(state, state.test, Statistic.LATE_VERSUS_BASELINE, attempt, late and slower))
    return [delta for delta in deltas if delta]


def _usual_latency(state: BalancerState, key: tuple[int, int]) -> LatencyEstimate:
    own = state.latencies.baseline.get(key, UNKNOWN_LATENCY)
    if own.samples < RELIABLE_SAMPLES and key in state.fleet.baseline_latency:
        return LatencyEstimate(state.fleet.baseline_latency[key].per_answer, RELIABLE_SAMPLES)
    return own


def known_latencies(state: BalancerState) -> dict[tuple[int, int], LatencyEstimate]:
    """The baseline's usual times; the fleet's, where this instance has met too few answers itself."""
    keys = {*state.latencies.baseline, *state.fleet.baseline_latency}
    usual = {key: _usual_latency(state, key) for key in keys}
    return {key: estimate for key, estimate in usual.items() if estimate.samples >= RELIABLE_SAMPLES}


def _shows_time(state: BalancerState, attempt: AttemptRecord, result: AttemptResult) -> bool:
    broken = result.outcome in (Outcome.ERROR, Outcome.CONNECTION_LOST)
    return not broken and attempt.request_class not in state.fleet.held_up_classes


def _has_drift(
    state: BalancerState, test: SequentialTest, attempt: AttemptRecord, result: AttemptResult
) -> bool:
    """Whether an answer can be held against the time before the canary came; silence is not slowness."""
    needed = min(MIN_OUTCOMES, MIN_OUTCOMES_OF_ALL / state.settings.instance_count)
    met = test.sums.own[Statistic.ERRORS].outcomes >= needed
    before = state.latencies.before_canary.get(attempt.latency_key, UNKNOWN_LATENCY).mean
    return met and result.outcome is Outcome.SUCCESS and before > 0


def _late_by_drift(state: BalancerState, attempt: AttemptRecord, result: AttemptResult) -> bool:
    """Late, with no more traffic than before: a build may slow all, and has no contrast beside it then."""
    before = state.latencies.before_canary[attempt.latency_key].mean
    drift = record_latency_drift(state, attempt.endpoint, result.duration / before, DRIFT_WEIGHT)
    calm = state.now >= state.latencies.backlog_until
    return calm and drift > DRIFT and result.duration > LATE_EVERYWHERE_FACTOR * before


def watch_load(state: BalancerState) -> None:
    """See whether there is more traffic than before the canary came; what waits outlasts a burst."""
    if load_per_endpoint(state, UNRESPONSIVE_AT) >= BUSIER * state.latencies.load_before_canary:
        state.latencies.backlog_until = state.now + BACKLOG_S


def _error_statistics(attempt: AttemptRecord, result: AttemptResult) -> tuple[tuple[int, bool], ...]:
    error = result.outcome is Outcome.ERROR
    lost = result.outcome is Outcome.CONNECTION_LOST
    of_class = Statistic.FIRST_CLASS + attempt.request_class
    return (Statistic.ERRORS, error), (Statistic.CONNECTIONS_LOST, lost), (of_class, error)


def _count_baseline(state: BalancerState, attempt: AttemptRecord, result: AttemptResult, late: bool) -> None:
    """What fails here too from now on is no fault of the canary; at failing endpoints it might hide it."""
    outcomes = (*_error_statistics(attempt, result), (Statistic.LATE_VERSUS_BASELINE, late))
    healthy = attempt.endpoint.failure_rate < EJECT_AT
    count_baseline_outcome(state.baseline_errors, outcomes, healthy, FADE, RECENT_WEIGHT)


def _move(
    state: BalancerState, test: SequentialTest, statistic: int, attempt: AttemptRecord, bad: bool
) -> LlrDelta | None:
    """Count one outcome in one LLR; past Δ, what to tell the fusers."""
    odds_of_statistic = test.same_odds_as.get(statistic, statistic)
    step = llr_step(odds_of_statistic, bad, _p0(state, odds_of_statistic))
    if statistic == Statistic.LATE_VERSUS_BEFORE_CANARY and state.fleet.report:
        step *= min(1.0, INDEPENDENT_FLEET_RATE / max(1.0, state.fleet.report.request_rate))
    elif statistic == Statistic.LATE_VERSUS_BASELINE:
        step *= min(1.0, INDEPENDENT_ENDPOINT_RATE / max(1.0, load_per_endpoint(state, UNRESPONSIVE_AT)))
    return test.sums.add_own_outcome(statistic, step, attempt.endpoint.listed.name_hash, state.random)


def _p0(state: BalancerState, statistic: int) -> float:
    """The baseline's share of bad outcomes; of errors at least its recent one."""
    row = state.baseline_errors[statistic]
    share = row.bad / row.total if row.total >= RELIABLE_SAMPLES else odds_of(statistic).default_p0
    p0 = min(MAX_P0, max(MIN_P0, share))
    return p0 if statistic == Statistic.LATE_VERSUS_BASELINE else max(p0, min(MAX_RECENT_P0, row.recent_rate))
