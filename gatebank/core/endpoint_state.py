"""The state of one endpoint as one instance knows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gatebank.events import Endpoint, LatencyEstimate

NEUTRAL_LATENCY_RATIO = 1.0  # The latency ratio and drift of an endpoint without measurements.


class PeerSlowStartRate(NamedTuple):
    """Attempts per second that other instances send to a warming endpoint, and until when this is valid."""

    rate: float
    valid_until: float


NO_DRIFT = LatencyEstimate(NEUTRAL_LATENCY_RATIO, 0)
NO_SLOW_START_RATE = PeerSlowStartRate(0.0, 0.0)


@dataclass(slots=True, eq=False)
class EndpointState:
    """The state of an endpoint; times in seconds.

    The state is dropped when the endpoint leaves the endpoint list or its process restarts.

    Attributes:
        listed: the endpoint's entry in the endpoint list.
        outstanding: the number of this instance's attempts without a result.
        silent_since: since when no outstanding attempt has ended.
        last_result_at: when an attempt last ended, or when inherited state of the endpoint was applied.
        latency_ratio: the endpoint's latency relative to the mean of its request classes.
        latency_drift: the endpoint's latency relative to the mean before the present canary arrived.
        failure_rate: share of the endpoint's recent attempts that failed.
        ejected: the endpoint must pass health checks before it is used again.
        ejection_time: duration of the last ejection.
        passed_health_checks: health checks passed in a row since the endpoint was ejected.
        slow_start_tokens: attempts that may still be sent while the endpoint warms up, as of
            ``tokens_updated_at``.
        result_count: the number of this instance's attempts that have ended.
        peer_slow_start_rate: the rate at which other instances send attempts while the endpoint warms up.
    """

    listed: Endpoint
    outstanding: int = 0
    silent_since: float = 0.0
    last_result_at: float = 0.0
    latency_ratio: float = NEUTRAL_LATENCY_RATIO
    latency_drift: LatencyEstimate = NO_DRIFT
    failure_rate: float = 0.0
    ejected: bool = False
    ejection_time: float = 0.0
    passed_health_checks: int = 0
    slow_start_tokens: float = 0.0
    tokens_updated_at: float = 0.0
    result_count: int = 0
    peer_slow_start_rate: PeerSlowStartRate = NO_SLOW_START_RATE
