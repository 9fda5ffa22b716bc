"""Taking an attempt's result into usual times and the baseline's counts; weights come from policy/."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.latency import UNKNOWN_LATENCY, LatencyKey, moving_mean
from gatebank.core.request_state import AttemptRecord
from gatebank.core.state import BalancerState
from gatebank.core.traffic import FinishedAttempt
from gatebank.events import GIVEN_UP_OUTCOMES, AttemptResult, BaselineErrors, Outcome
from gatebank.peer_messages import LoadKey
from gatebank.statistics.endpoint_groups import MedianKey

LATENCY_RATIO = "latency_ratio"
LATENCY_DRIFT = "latency_drift"
DEFAULT_MEDIAN_RATIO = 1.0  # where no endpoint tells


class LatencyWeights(NamedTuple):
    """How much a new answer weighs in a class's mean and in its endpoint's ratio.

    ``default_longest`` is the longest mean where there is none, in seconds.
    """

    mean: float
    endpoint_ratio: float
    default_longest_mean: float


def record_latency(
    state: BalancerState, attempt: AttemptRecord, result: AttemptResult, side: int, weights: LatencyWeights
) -> None:
    """Take a result into the usual times and its endpoint's; not one from while this instance stood."""
    if state.now - result.duration < state.resumed_at:
        return
    succeeded = result.outcome is Outcome.SUCCESS
    if succeeded:
        _record_mean_latency(state, attempt.request_class, result.duration, weights)
    mean = state.latencies.by_class[attempt.request_class].mean
    if succeeded or (result.outcome in GIVEN_UP_OUTCOMES and result.duration > mean):
        key = LoadKey(attempt.request_class, attempt.endpoint.listed.machine_kind, side)
        state.traffic.finished.append(FinishedAttempt(state.now, key, result.duration, succeeded))
        endpoint = attempt.endpoint
        old = endpoint.latency_ratio
        endpoint.latency_ratio += (
            result.duration / (mean or result.duration or 1.0) - old
        ) * weights.endpoint_ratio
        state.endpoints.groups.value_changed(LATENCY_RATIO, endpoint, old, endpoint.latency_ratio)


def _record_mean_latency(
    state: BalancerState, request_class: int, duration: float, weights: LatencyWeights
) -> None:
    latencies = state.latencies
    state.traffic.served.add(state.now, request_class)
    usual = moving_mean(latencies.by_class[request_class], duration, weights.mean)
    latencies.by_class[request_class] = usual
    longest = latencies.longest_mean if state.fleet.report else 0.0
    latencies.longest_mean = max(longest, max(latencies.by_class).mean) or weights.default_longest_mean


def record_baseline_latency(state: BalancerState, key: LatencyKey, duration: float, weight: float) -> None:
    """Take the time of an answer of a baseline build into its mean."""
    baseline = state.latencies.baseline
    baseline[key] = moving_mean(baseline.get(key, UNKNOWN_LATENCY), duration, weight)


def record_latency_drift(state: BalancerState, endpoint: EndpointState, ratio: float, weight: float) -> float:
    """Take an answer's time over that before the canary came into its endpoint's drift.

    Returns:
        The median drift of all healthy endpoints that have one.
    """
    old = endpoint.latency_drift
    endpoint.latency_drift = moving_mean(old, ratio, weight)
    groups = state.endpoints.groups
    old_mean = old.mean if old.samples else None
    groups.value_changed(LATENCY_DRIFT, endpoint, old_mean, endpoint.latency_drift.mean)
    return groups.median(
        MedianKey(LATENCY_DRIFT, "all"),
        lambda each: bool(each.latency_drift.samples) and not each.ejected,
        lambda each: each.latency_drift.mean,
        DEFAULT_MEDIAN_RATIO,
    )


def median_latency_ratio(state: BalancerState, build: int) -> float:
    """The median latency ratio of a build's endpoints over that of lower builds'."""
    groups = state.endpoints.groups
    own = groups.median(
        MedianKey(LATENCY_RATIO, ("at", build)),
        lambda each: each.listed.build == build,
        lambda each: each.latency_ratio,
        DEFAULT_MEDIAN_RATIO,
    )
    lower = groups.median(
        MedianKey(LATENCY_RATIO, ("below", build)),
        lambda each: each.listed.build < build,
        lambda each: each.latency_ratio,
        own,
    )
    return own / lower if lower else DEFAULT_MEDIAN_RATIO


def count_baseline_outcome(
    errors: list[BaselineErrors],
    outcomes: Iterable[tuple[int, bool]],
    healthy: bool,
    fade: float,
    recent_weight: float,
) -> None:
    """Take an outcome into the baseline's counts, by statistic.

    Args:
        errors: by statistic.
        outcomes: statistic, and whether the outcome is a bad one of it.
        healthy: its endpoint does not fail often; otherwise it is not in the recent rate.
        fade: what is left of the counts with each outcome.
        recent_weight: of an outcome in the recent rate.
    """
    for statistic, bad in outcomes:
        row = errors[statistic]
        recent = row.recent_rate + ((bad and healthy) - row.recent_rate) * recent_weight
        errors[statistic] = BaselineErrors(row.bad * fade + bad, row.total * fade + 1, recent)
