"""What the brain and any front say to each other. Types only: every decision is in brain.py.

A front makes one ``Marshal(standing_orders, seed, now)`` for each marshal it hosts. For each event it sets
``marshal.now`` and calls the event's method, and it carries out the ``Act`` objects it finds in
``marshal.acts``, in order, after each call or round of calls; it empties that list itself. Times are seconds
with fractions, ids small whole numbers that the front maps at its door, shares fractions of one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

from gatebank.peer_messages import Fleet, Step, Totals

StandingOrders = Mapping[str, Any]


class Repeats(Enum):
    """May an invocation run again?"""

    RERUNNABLE = "rerunnable"
    TICKETED = "ticketed"
    EXCLUSIVE = "exclusive"


class Ending(Enum):
    """How a shot or a probe ended."""

    SATISFIED = "satisfied"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    CUT = "cut"
    WITHDRAWN = "withdrawn"
    NOT_SENT = "not sent"


NEVER_RAN = (Ending.TURNED_AWAY, Ending.NO_CONNECTION, Ending.NOT_SENT)  # a shot that ended so had no effect


class Condition(Enum):
    """What the node roll says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Phase(IntEnum):
    """Where the newest build stands at the release desk."""

    ON_TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    """What a vote asks for."""

    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class Heard(Enum):
    """How the release desk's news came to be, or how it took a vote."""

    COUNTED = "counted"
    MOOT = "moot"
    TOO_MANY = "too many"
    FAILED = "failed"
    NO_ANSWER = "no answer"


@dataclass(slots=True, frozen=True)
class RollEntry:
    """A line of the node roll; ``mark`` is a number that all marshals have for this node."""

    node: int
    mark: int
    kind: int
    zone: int
    cell: int
    build: int
    started: float | None
    condition: Condition
    weight: float


@dataclass(slots=True, frozen=True)
class Invocation:
    """An invocation as the client handed it over; ``left`` is when the client gives up, from now."""

    number: int
    workload: int
    customer: int
    left: float
    cost_guess: float | None = None
    key: int | None = None
    repeated: bool = False


@dataclass(slots=True, frozen=True)
class Ended:
    """The ending of one shot; ``over`` tells that the invocation has its final answer."""

    shot: int
    ending: Ending
    took: float
    over: bool = False
    report: Sequence[float] | None = None


@dataclass(slots=True, frozen=True)
class StageNews:
    """The release desk's word on the newest build; the last four are left out where the vote failed."""

    heard: Heard
    answers_vote: bool
    build: int | None = None
    stage: int | None = None
    phase: Phase | None = None
    cap: float | None = None
    age: float = 0.0


@dataclass(slots=True, frozen=True)
class Tally:
    """What the release desk counted in a sample of all marshals' shots."""

    build: int
    workload: int
    shots: int
    failed: int
    mean_time: float
    age: float


@dataclass(slots=True, frozen=True)
class Complaint:
    """A client found an answer wrong; ``age`` is the time since its shot was sent."""

    node: int
    workload: int
    age: float


@dataclass(slots=True, frozen=True)
class AnswerBegun:
    """A streamed answer has begun: the shot is its client's now."""

    invocation: int
    shot: int


@dataclass(slots=True, frozen=True)
class NodeLore:
    """Of a node, from others: its times over the usual ones, its share of faults, whether it must be probed
    before it is used and how long it was set aside, and the shots a second that others send it cold."""

    slow: float
    faults: float
    aside: bool
    hold: float
    cold_rate: float


@dataclass(slots=True, frozen=True)
class Lore:
    """What others know, weighed (learning/weighing.py), in the front's indices. ``sums`` are whole sums of
    (marshal, Totals); ``sent`` and ``taken`` this marshal's own rows of the last window, by age, and
    ``window_known`` tells that they are all."""

    nodes: Mapping[int, NodeLore]
    sums: Sequence[tuple[int, Totals]]
    past: Mapping[int, tuple[float, float, float]]
    pace: Mapping[int, tuple[float, int]]
    earlier_pace: Mapping[tuple[int, int], tuple[float, int]]
    sent: Sequence[tuple[float, int, int]]
    taken: Sequence[tuple[float, int]]
    window_known: bool


class Plain(Enum):
    """Words that carry nothing more."""

    ROLL_FAILED = "the node roll could not be followed"


# What a generator of an invocation may yield. It is resumed with an Ended, or None when patience has run out.


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


# What a marshal asks its front to do.


@dataclass(slots=True, frozen=True)
class Shoot:
    invocation: int
    node: int
    until: float | None


@dataclass(slots=True, frozen=True)
class Withdraw:
    invocation: int
    shot: int


@dataclass(slots=True, frozen=True)
class Reject:
    invocation: int
    back_in: float | None


@dataclass(slots=True, frozen=True)
class BreakOff:
    invocation: int


@dataclass(slots=True, frozen=True)
class Wake:
    at: float
    name: str


@dataclass(slots=True, frozen=True)
class Probe:
    node: int


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a word to one peer, or to all (None)."""

    peer: int | None
    word: Step | Totals | Fleet


@dataclass(slots=True, frozen=True)
class Vote:
    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class FollowRoll:
    """Ask the node roll to send its changes from now on."""


@dataclass(slots=True, frozen=True)
class Note:
    """A line for on-call staff."""

    text: str


Wish = Shot | Wait | Rejected | BrokenOff
Act = Shoot | Withdraw | Reject | BreakOff | Wake | Probe | Tell | Vote | FollowRoll | Note
Word = Tally | Complaint | AnswerBegun | Plain
