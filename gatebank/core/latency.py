"""Mean latencies in seconds, and the number of answers behind them."""

from __future__ import annotations

from typing import NamedTuple

from gatebank.events import LatencyEstimate

UNKNOWN_LATENCY = LatencyEstimate(0.0, 0)


class LatencyKey(NamedTuple):
    """Request class and machine kind, as indices in the settings."""

    request_class: int
    machine_kind: int


def moving_mean(estimate: LatencyEstimate, value: float, weight: float) -> LatencyEstimate:
    """Return a moving mean with a new value: the plain mean at first, later with weight ``weight``.

    >>> moving_mean(moving_mean(LatencyEstimate(0.0, 0), 4.0, 0.1), 2.0, 0.1)
    LatencyEstimate(mean=3.0, samples=2)
    """
    mean, samples = estimate
    return LatencyEstimate(mean + (value - mean) * max(weight, 1 / (samples + 1)), samples + 1)


class Latencies:
    """Mean latencies.

    Attributes:
        by_class: the means of all builds by request class.
        longest_mean: the longest of these means; 1 s while none is known.
        baseline: the means of baseline builds by request class and machine kind.
        before_canary: ``baseline`` as of the arrival of the present canary.
        load_before_canary: new requests per second for each answering endpoint, as of the arrival of the
            present canary.
        busy_until: until this time, late answers may be due to increased traffic rather than to a build.
    """

    def __init__(self, class_count: int) -> None:
        self.by_class = [UNKNOWN_LATENCY] * class_count
        self.longest_mean = 1.0
        self.baseline: dict[tuple[int, int], LatencyEstimate] = {}
        # Until the first canary arrives, the current means are also those before a canary.
        self.before_canary = self.baseline
        self.load_before_canary = 0.0
        self.busy_until = 0.0
