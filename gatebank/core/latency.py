"""Usual answer times, in seconds, and how many answers made them."""

from __future__ import annotations

from typing import NamedTuple

from gatebank.events import LatencyEstimate

UNKNOWN_LATENCY = LatencyEstimate(0.0, 0)


class LatencyKey(NamedTuple):
    """Request class and machine kind, as indices in the settings."""

    request_class: int
    machine_kind: int


def moving_mean(estimate: LatencyEstimate, value: float, weight: float) -> LatencyEstimate:
    """A mean that forgets: the plain mean at first, then each new value weighs ``weight``.

    >>> moving_mean(moving_mean(LatencyEstimate(0.0, 0), 4.0, 0.1), 2.0, 0.1)
    LatencyEstimate(mean=3.0, samples=2)
    """
    mean, samples = estimate
    return LatencyEstimate(mean + (value - mean) * max(weight, 1 / (samples + 1)), samples + 1)


class Latencies:
    """Usual times.

    Attributes:
        by_class: over all builds.
        longest: the longest of these; 1 s while none is known.
        baseline: of baseline builds, by class and machine kind.
        before_canary: the same as it was when the present canary came.
        load_before_canary: first tries a second for each endpoint that answered, then.
        busy_until: until then late answers may come of more traffic, and not of a build.
    """

    def __init__(self, class_count: int) -> None:
        self.by_class = [UNKNOWN_LATENCY] * class_count
        self.longest_mean = 1.0
        self.baseline: dict[tuple[int, int], LatencyEstimate] = {}
        self.before_canary = self.baseline  # until a first canary comes, the times of now are those before it
        self.load_before_canary = 0.0
        self.backlog_until = 0.0
