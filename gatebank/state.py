"""What a marshal keeps of a node and of an invocation in hand, and two ways to count. Records only: what they
start with is nothing known, and every decision on them is in brain.py."""

from __future__ import annotations

from collections import deque
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from gatebank.events import NEVER_RAN, AttemptResult, Endpoint, Outcome, Request
from gatebank.settings import RequestClass


@dataclass(slots=True, frozen=True)
class Shot:
    """Send a shot; give it up at ``until`` (None: when the client does); wake me after ``patience``."""

    node: int
    until: float | None = None
    patience: float | None = None


@dataclass(slots=True, frozen=True)
class Wait:
    """Nothing new; wake me after ``patience`` or at the next ending."""

    patience: float | None = None


@dataclass(slots=True, frozen=True)
class Rejected:
    """Final answer: trying again is harmless, best after ``back_in``."""

    back_in: float | None = None


@dataclass(slots=True, frozen=True)
class BrokenOff:
    """Final answer that promises nothing."""


Wish = Shot | Wait | Rejected | BrokenOff


def learned(was: tuple[float, int], value: float, least: float) -> tuple[float, int]:
    """A mean that forgets: the plain mean at first, then each new value weighs ``least``.

    >>> learned(learned((0.0, 0), 4.0, 0.1), 2.0, 0.1)
    (3.0, 2)
    """
    return was[0] + (value - was[0]) * max(least, 1 / (was[1] + 1)), was[1] + 1


def forget(rows: deque[Any], before: float) -> None:
    """Drop the rows, oldest first, whose first value lies before that time."""
    while rows and rows[0][0] < before:
        rows.popleft()


@dataclass(slots=True, eq=False)
class Node:
    """What this marshal knows of one node; dropped when the roll drops it."""

    entry: Endpoint
    held: int = 0  # own shots out
    silent_since: float = 0.0  # since when none of them has ended
    told_at: float = 0.0  # when one last ended
    slow: float = 1.0  # its times over the usual ones
    drag: tuple[float, int] = (1.0, 0)  # its times over those before this build came, and how many made it
    faults: float = 0.0  # share of its recent shots that failed
    aside: bool = False
    hold: float = 0.0  # how long it was set aside last
    probes_answered: int = 0
    tokens: float = 0.0  # shots it may still be sent while cold
    tokens_at: float = 0.0
    seen: int = 0  # own shots that ended
    others: tuple[float, float] = (0.0, 0.0)  # what others send it, as learnt: shots a second, and until when


@dataclass(slots=True, eq=False)
class RequestState:
    """An invocation in hand; dropped with its final answer."""

    invocation: Request
    request_class: RequestClass
    came: float
    shots: list[tuple[Node, float]] = field(default_factory=list)
    endings: list[Outcome | None] = field(default_factory=list)  # None while it is out
    doubts: list[tuple[Node, int, int, AttemptResult]] = field(
        default_factory=list
    )  # errors, perhaps its own fault
    story: Generator[Wish, AttemptResult | None, None] = field(init=False)  # `serve`, set as it begins
    wake: int = 0  # which wake it waits for

    def deadline(self) -> float:
        return self.came + self.invocation.timeout

    def may_have_run(self) -> list[tuple[Node, float]]:
        return [shot for shot, end in zip(self.shots, self.endings, strict=True) if end not in NEVER_RAN]
