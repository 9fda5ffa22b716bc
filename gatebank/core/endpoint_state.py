"""What one instance knows of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gatebank.events import Endpoint, LatencyEstimate

NEUTRAL_LATENCY_RATIO = 1.0  # of an endpoint's times to the usual ones, while nothing is known


class PeerSlowStartRate(NamedTuple):
    """Attempts a second that others send an endpoint that warms up, and until when this is believed."""

    rate: float
    valid_until: float


NO_DRIFT = LatencyEstimate(NEUTRAL_LATENCY_RATIO, 0)
NO_SLOW_START_RATE = PeerSlowStartRate(0.0, 0.0)


@dataclass(slots=True, eq=False)
class EndpointState:
    """Dropped when the endpoint list drops the endpoint or its process starts anew; times in seconds.

    Attributes:
        listed: its line of the endpoint list.
        outstanding: this instance's attempts without a result.
        silent_since: since when none of them has ended.
        last_result_at: when an attempt last ended, here or at who told of it.
        latency_ratio: its answer times over the usual ones.
        latency_drift: its answer times over those before this canary came.
        failure_rate: share of its recent attempts that failed.
        ejected: it must pass health checks before it is used again.
        ejection_time: for how long it was ejected last.
        passed_health_checks: in a row, since it was ejected.
        slow_start_tokens: attempts it may still be sent while it warms up, as of ``tokens_at``.
        results: how many of this instance's attempts ended.
        peer_cold_rate: what others send it while it warms up.
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
