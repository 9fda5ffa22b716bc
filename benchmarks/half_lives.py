"""Which half-life suits what is known of endpoints? Errors of a belief of some age, over drawn histories.

    python -m benchmarks.half_lives

Endpoints start to fail as a Poisson process, once in 30, 60 or 120 s each, and fail for 5 to 30 s, as most
troubles do. A source last saw an endpoint 0 to 20 s ago. For each half-life: the mean square of believed less
true failure rate, for endpoints seen failing, and of the believed chance of failing, for those seen well.
Simulated.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass

HALF_LIVES = (0.5, 1, 2, 4, 8, 16, 32, 64, 128)  # s
SECONDS_BETWEEN_FAILURES = (30.0, 60.0, 120.0)  # on average
FAILURE_SECONDS = (5.0, 30.0)
AGE_SECONDS = (0.0, 20.0)
SEEN_AT = 200.0  # s from the start of a history, long enough for its start not to matter
DRAWS = 60_000
FAILURE_RATE = 0.8  # of the attempts at a failing endpoint


@dataclass(frozen=True, slots=True)
class Sighting:
    """An endpoint that was seen some time ago.

    Attributes:
        was_failing: When it was seen.
        age: Seconds since then.
        is_failing: Now.
    """

    was_failing: bool
    age: float
    is_failing: bool


class History:
    """An endpoint that fails now and then."""

    def __init__(self, generator: random.Random, between: float) -> None:
        self.generator = generator
        self.between = between
        self.now = 0.0
        self.failing = False
        self.remaining = generator.expovariate(1 / between)  # s until it changes

    def advance(self, until: float) -> bool:
        """Return whether it fails at a time, which must not be before the last one."""
        while self.now + self.remaining <= until:
            self.now += self.remaining
            self.failing = not self.failing
            if self.failing:
                self.remaining = self.generator.uniform(*FAILURE_SECONDS)
            else:
                self.remaining = self.generator.expovariate(1 / self.between)
        self.remaining -= until - self.now
        self.now = until
        return self.failing


def draw_sightings(between: float) -> list[Sighting]:
    """Draw sightings of endpoints that fail once in so many seconds."""
    generator = random.Random(int(between))
    found = []
    for _ in range(DRAWS):
        age = generator.uniform(*AGE_SECONDS)
        history = History(generator, between)
        was_failing = history.advance(SEEN_AT)
        found.append(Sighting(was_failing, age, history.advance(SEEN_AT + age)))
    return found


def weight(sighting: Sighting, half_life: float) -> float:
    """Return what is left of a belief of the sighting's age, from 1 down."""
    return float(0.5 ** (sighting.age / half_life))


def print_errors(
    title: str, sightings: Iterable[Sighting], error: Callable[[Sighting, float], float]
) -> None:
    """Print the mean square error with each half-life, and the half-life with the least."""
    found = list(sightings)
    errors = {
        half_life: statistics.mean(error(sighting, half_life) ** 2 for sighting in found)
        for half_life in HALF_LIVES
    }
    best = min(errors, key=lambda half_life: errors[half_life])
    row = ", ".join(f"{half_life:g} s {value:.4f}" for half_life, value in errors.items())
    print(f"{title}: best {best:g} s; {row}")


def main() -> None:
    """Print the errors for each rate of failures."""
    for between in SECONDS_BETWEEN_FAILURES:
        sightings = draw_sightings(between)
        share = statistics.mean(sighting.is_failing for sighting in sightings)

        def error_if_failing(sighting: Sighting, half_life: float) -> float:
            believed = FAILURE_RATE * weight(sighting, half_life)
            return believed - FAILURE_RATE * sighting.is_failing

        def error_if_well(sighting: Sighting, half_life: float, share: float = share) -> float:
            return share * (1 - weight(sighting, half_life)) - sighting.is_failing

        title = f"fails once in {between:g} s"
        failing = [sighting for sighting in sightings if sighting.was_failing]
        well = [sighting for sighting in sightings if not sighting.was_failing]
        print_errors(f"{title}, seen failing", failing, error_if_failing)
        print_errors(f"{title}, seen well", well, error_if_well)


if __name__ == "__main__":
    main()
