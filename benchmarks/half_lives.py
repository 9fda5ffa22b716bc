"""Compares half-lives for old reports of endpoints' health, by the errors of estimates in a simulation.

    python -m benchmarks.half_lives

Each endpoint starts to fail as a Poisson process, once in 30, 60 or 120 s on average, and fails for 5 to
30 s, as most faults do. A source last observed an endpoint 0 to 20 s ago. For each half-life, the program
prints the mean square error of the estimated failure rate for endpoints that were observed failing, and of
the estimated probability of failing for endpoints that were observed healthy.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass

HALF_LIVES = (0.5, 1, 2, 4, 8, 16, 32, 64, 128)  # Seconds.
SECONDS_BETWEEN_FAILURES = (30.0, 60.0, 120.0)  # Averages.
FAILURE_SECONDS = (5.0, 30.0)
AGE_SECONDS = (0.0, 20.0)
# Seconds from the start of a history to the observation, long enough for the start not to matter.
OBSERVED_AT = 200.0
DRAWS = 60_000
FAILURE_RATE = 0.8  # Failure rate of the attempts at a failing endpoint.


@dataclass(frozen=True, slots=True)
class Observation:
    """An observation of an endpoint some time ago.

    Attributes:
        was_failing: Whether the endpoint was failing when it was observed.
        age: Seconds since the observation.
        is_failing: Whether the endpoint is failing now.
    """

    was_failing: bool
    age: float
    is_failing: bool


class History:
    """The simulated history of an endpoint that fails from time to time.

    Attributes:
        remaining: Seconds until the endpoint next starts or stops failing.
    """

    def __init__(self, generator: random.Random, mean_interval: float) -> None:
        self.generator = generator
        self.mean_interval = mean_interval
        self.now = 0.0
        self.failing = False
        self.remaining = generator.expovariate(1 / mean_interval)

    def advance(self, until: float) -> bool:
        """Return whether the endpoint is failing at a time, which must not precede the last call's time."""
        while self.now + self.remaining <= until:
            self.now += self.remaining
            self.failing = not self.failing
            if self.failing:
                self.remaining = self.generator.uniform(*FAILURE_SECONDS)
            else:
                self.remaining = self.generator.expovariate(1 / self.mean_interval)
        self.remaining -= until - self.now
        self.now = until
        return self.failing


def draw_observations(mean_interval: float) -> list[Observation]:
    """Draw observations of endpoints that fail once in ``mean_interval`` seconds on average."""
    generator = random.Random(int(mean_interval))
    found = []
    for _ in range(DRAWS):
        age = generator.uniform(*AGE_SECONDS)
        history = History(generator, mean_interval)
        was_failing = history.advance(OBSERVED_AT)
        found.append(Observation(was_failing, age, history.advance(OBSERVED_AT + age)))
    return found


def weight(observation: Observation, half_life: float) -> float:
    """Return the weight of an observation at its age, at most 1."""
    return float(0.5 ** (observation.age / half_life))


def print_errors(
    title: str, observations: Iterable[Observation], error: Callable[[Observation, float], float]
) -> None:
    """Print the mean square error for each half-life, and the half-life with the smallest error."""
    found = list(observations)
    errors = {
        half_life: statistics.mean(error(observation, half_life) ** 2 for observation in found)
        for half_life in HALF_LIVES
    }
    best = min(errors, key=lambda half_life: errors[half_life])
    row = ", ".join(f"{half_life:g} s {value:.4f}" for half_life, value in errors.items())
    print(f"{title}: best {best:g} s; {row}")


def main() -> None:
    """Print the errors for each average time between failures."""
    for mean_interval in SECONDS_BETWEEN_FAILURES:
        observations = draw_observations(mean_interval)
        share = statistics.mean(observation.is_failing for observation in observations)

        def error_if_failing(observation: Observation, half_life: float) -> float:
            estimate = FAILURE_RATE * weight(observation, half_life)
            return estimate - FAILURE_RATE * observation.is_failing

        def error_if_healthy(observation: Observation, half_life: float, share: float = share) -> float:
            return share * (1 - weight(observation, half_life)) - observation.is_failing

        title = f"fails once in {mean_interval:g} s"
        failing = [observation for observation in observations if observation.was_failing]
        healthy = [observation for observation in observations if not observation.was_failing]
        print_errors(f"{title}, observed failing", failing, error_if_failing)
        print_errors(f"{title}, observed healthy", healthy, error_if_healthy)


if __name__ == "__main__":
    main()
