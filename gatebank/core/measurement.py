"""Updates of mean latencies and of the baseline's counts by results; the weights are set in policy/."""

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
DEFAULT_MEDIAN_RATIO = 1.0  # The median if no endpoint has a value.


class LatencyWeights(NamedTuple):
    """The weights of a new answer.

    Attributes:
        mean: the weight in the mean of the request class.
        endpoint_ratio: the weight in the endpoint's latency ratio.
        default_longest_mean: the longest mean while there is none, in seconds.
    """

    mean: float
    endpoint_ratio: float
    default_longest_mean: float


def record_latency(
    state: BalancerState, attempt: AttemptRecord, result: AttemptResult, side: int, weights: LatencyWeights
) -> None:
    """Update the mean latencies and the endpoint's latency ratio by a result.

    Results of attempts that began before this instance resumed from a pause are ignored.
    """
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
    estimate = moving_mean(latencies.by_class[request_class], duration, weights.mean)
    latencies.by_class[request_class] = estimate
    minimum = latencies.longest_mean if state.fleet.report else 0.0
    latencies.longest_mean = max(minimum, max(latencies.by_class).mean) or weights.default_longest_mean


def record_baseline_latency(state: BalancerState, key: LatencyKey, duration: float, weight: float) -> None:
    """Update the mean latency of baseline builds by an answer."""
    baseline = state.latencies.baseline
    baseline[key] = moving_mean(baseline.get(key, UNKNOWN_LATENCY), duration, weight)


def record_latency_drift(state: BalancerState, endpoint: EndpointState, ratio: float, weight: float) -> float:
    """Update an endpoint's latency drift by an answer.

    Args:
        state: the state of this instance.
        endpoint: the endpoint that answered.
        ratio: the latency of the answer relative to the mean before the canary arrived.
        weight: the weight of the answer in the drift.

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
        lambda candidate: bool(candidate.latency_drift.samples) and not candidate.ejected,
        lambda candidate: candidate.latency_drift.mean,
        DEFAULT_MEDIAN_RATIO,
    )


def median_latency_ratio(state: BalancerState, build: int) -> float:
    """Return the median latency ratio of a build's endpoints relative to that of lower builds' endpoints."""
    groups = state.endpoints.groups
    own = groups.median(
        MedianKey(LATENCY_RATIO, ("at", build)),
        lambda endpoint: endpoint.listed.build == build,
        lambda endpoint: endpoint.latency_ratio,
        DEFAULT_MEDIAN_RATIO,
    )
    lower = groups.median(
        MedianKey(LATENCY_RATIO, ("below", build)),
        lambda endpoint: endpoint.listed.build < build,
        lambda endpoint: endpoint.latency_ratio,
        own,
    )
    return own / lower if lower else DEFAULT_MEDIAN_RATIO


def count_baseline_outcome(
    errors: list[BaselineErrors],
    outcomes: Iterable[tuple[int, bool]],
    healthy: bool,
    decay: float,
    recent_weight: float,
) -> None:
    """Update the baseline's error counts by an outcome.

    Args:
        errors: the counts by statistic; updated in place.
        outcomes: pairs of a statistic and whether the outcome is bad in that statistic.
        healthy: whether the endpoint fails rarely; bad outcomes of endpoints that fail often do not raise the
            recent rate.
        decay: the factor by which the counts decay with each outcome.
        recent_weight: the weight of an outcome in the recent rate.
    """
    for statistic, bad in outcomes:
        row = errors[statistic]
        recent = row.recent_rate + ((bad and healthy) - row.recent_rate) * recent_weight
        errors[statistic] = BaselineErrors(row.bad * decay + bad, row.total * decay + 1, recent)
