"""Events: what a host tells the balancer, and the types in them.

For each event the host sets ``balancer.now``, calls the event's method, and carries out the actions it finds
in ``balancer.actions``. Times are seconds with fractions, ids small whole numbers that the host maps at its
boundary, shares fractions of one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from gatebank.peer_messages import InstanceReport


class RetrySafety(Enum):
    """May an invocation run again?"""

    IDEMPOTENT = "rerunnable"
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class Outcome(Enum):
    """How a shot or a probe ended."""

    SUCCESS = "satisfied"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    CONNECTION_LOST = "cut"
    CANCELLED = "withdrawn"
    NOT_SENT = "not sent"


NEVER_RAN = (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT)  # a shot that ended so had no effect


class Condition(Enum):
    """What the node roll says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Phase(IntEnum):
    """Where the newest build stands at the release desk."""

    CANARY = 0
    ROLLING_BACK = 1
    RELEASED = 2
    ROLLED_BACK = 3

    @property
    def log_name(self) -> str:
        """The name in log lines, which on-call tools read."""
        return ("on_trial", "going_back", "released", "withdrawn")[self]


class Verdict(IntEnum):
    """What a vote asks for."""

    NONE = 0
    PROMOTE = 1
    HOLD = 2
    ROLL_BACK = 3

    @property
    def log_name(self) -> str:
        """The name in log lines, which on-call tools read."""
        return ("none", "on", "hold", "back")[self]


class ReplyStatus(Enum):
    """How the release desk's news came to be, or how it took a vote."""

    ACCEPTED = "counted"
    STALE = "moot"
    RATE_LIMITED = "too many"
    UNAVAILABLE = "failed"
    TIMED_OUT = "no answer"


@dataclass(slots=True, frozen=True)
class Endpoint:
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
class Request:
    """An invocation as the client handed it over; ``left`` is when the client gives up, from now."""

    number: int
    workload: int
    customer: int
    left: float
    cost_guess: float | None = None
    key: int | None = None
    repeated: bool = False


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The ending of one shot; ``over`` tells that the invocation has its final answer."""

    shot: int
    ending: Outcome
    took: float
    over: bool = False
    report: Sequence[float] | None = None


@dataclass(slots=True, frozen=True)
class ReleaseStatus:
    """The release desk's word on the newest build; the last four are left out where the vote failed."""

    reply: ReplyStatus
    is_vote_reply: bool
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
class InheritedEndpoint:
    """Of a node, from others: its times over the usual ones, its share of faults, whether it must be probed
    before it is used and how long it was set aside, and the shots a second that others send it cold."""

    slow: float
    faults: float
    aside: bool
    hold: float
    cold_rate: float


@dataclass(slots=True, frozen=True)
class InheritedState:
    """What others know, weighed (learning/weighing.py), in the front's indices. ``sums`` are whole sums of
    (marshal, Totals); ``sent`` and ``taken`` this marshal's own rows of the last window, by age, and
    ``window_known`` tells that they are all."""

    nodes: Mapping[int, InheritedEndpoint]
    sums: Sequence[tuple[int, InstanceReport]]
    past: Mapping[int, tuple[float, float, float]]
    pace: Mapping[int, tuple[float, int]]
    earlier_pace: Mapping[tuple[int, int], tuple[float, int]]
    sent: Sequence[tuple[float, int, int]]
    taken: Sequence[tuple[float, int]]
    window_known: bool


class Plain(Enum):
    """Words that carry nothing more."""

    ROLL_FAILED = "the node roll could not be followed"


Word = Tally | Complaint | AnswerBegun | Plain
