"""Whom a learner asks, when, and when it stops. No I/O: events in, acts out, time handed in.

Donors are ranked by rendezvous hashing of learner and donor, so that many that start at once spread over the
fleet; the best two are asked at once, the next as one fails. What refuses says when to come back. All
attempts together have a budget, and behind ``patience`` the marshal serves without: what comes later is
merged under way.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

AT_ONCE = 2  # donors: one may be slow, or itself fresh; more teach the same
FIRST_PAUSE, MOST_PAUSE = 0.1, 5.0  # s before a donor that failed is asked again; twice as long each time


@dataclass(slots=True, frozen=True)
class Connect:
    donor: str
    at: float


@dataclass(slots=True)
class Row:
    donor: str
    tries: int = 0
    not_before: float = 0.0
    busy: bool = False
    done: bool = False


def ranked(learner: str, donors: Sequence[str]) -> list[str]:
    """The donors in the order in which this learner asks them (Thaler and Ravishankar's rendezvous hashing).

    >>> order = ranked("m1", ["a", "b", "c", "d"])
    >>> [each for each in order if each != "b"] == ranked("m1", ["a", "c", "d"])
    True
    """

    def score(donor: str) -> bytes:
        return blake2b(f"{learner}\0{donor}".encode(), digest_size=8).digest()

    return sorted(donors, key=score, reverse=True)


class Asking:
    """``enough`` donations end it; so does the budget of attempts."""

    def __init__(self, learner: str, donors: Sequence[str], patience: float, budget: int, seed: int) -> None:
        self.rows = {each: Row(each) for each in ranked(learner, donors)}
        self.patience, self.budget, self.chance = patience, budget, Random(seed)
        self.began = 0.0
        self.enough = min(AT_ONCE, len(self.rows))
        self.had = self.spent = 0

    def begin(self, now: float) -> list[Connect]:
        self.began = now
        return self.next(now)

    def next(self, now: float) -> list[Connect]:
        """Whom to ask now, or later."""
        acts: list[Connect] = []
        wanted = self.enough - self.had - sum(row.busy for row in self.rows.values())
        free = [row for row in self.rows.values() if not row.busy and not row.done]
        # Who was never tried first, in their rank; then who may be asked again soonest.
        for row in sorted(free, key=lambda row: (row.tries, row.not_before))[: max(0, wanted)]:
            if self.spent >= self.budget:
                break
            row.busy, row.tries, self.spent = True, row.tries + 1, self.spent + 1
            acts.append(Connect(row.donor, max(now, row.not_before)))
        return acts

    def taught(self, donor: str, now: float) -> list[Connect]:
        row = self.rows[donor]
        row.busy, row.done = False, True
        self.had += 1
        return self.next(now)

    def failed(self, donor: str, now: float, back_in: float | None = None) -> list[Connect]:
        """It broke, hung, lied or refused: the next is asked, and this one later."""
        row = self.rows[donor]
        row.busy = False
        pause = min(MOST_PAUSE, FIRST_PAUSE * 2 ** (row.tries - 1)) * self.chance.uniform(0.5, 1.5)
        row.not_before = now + max(pause, back_in or 0.0)
        return self.next(now)

    def lied(self, donor: str, now: float) -> list[Connect]:
        """Its figures were none, or it is of another deployment: never again."""
        row = self.rows[donor]
        row.busy, row.done = False, True
        return self.next(now)

    def over(self, now: float) -> bool:
        """Is the marshal to serve without waiting any more?"""
        asked = any(row.busy for row in self.rows.values())
        return self.had >= self.enough or not asked or now - self.began >= self.patience
