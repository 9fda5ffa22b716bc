"""Events: what a host tells the balancer, and the types in them.

For each event the host sets ``balancer.now``, calls the event's method, and carries out the actions it finds
in ``balancer.actions``. Times are seconds with fractions, ids small whole numbers that the host maps at its
boundary, shares fractions of one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

from gatebank.peer_messages import InstanceReport


class RetrySafety(Enum):
    """Whether a request may run again; the values are those of earlier logs and captures."""

    IDEMPOTENT = "rerunnable"
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class Outcome(Enum):
    """How an attempt or a health check ended; the values are the names of the counts in log lines."""

    SUCCESS = "satisfied"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    CONNECTION_LOST = "cut"
    CANCELLED = "withdrawn"
    NOT_SENT = "not sent"


GIVEN_UP_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED)
NEVER_RUN_OUTCOMES = (
    Outcome.REJECTED,
    Outcome.NO_CONNECTION,
    Outcome.NOT_SENT,
)  # such an attempt had no effect


class Condition(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Phase(IntEnum):
    """Where the newest build stands at the release service."""

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
    """How the release service answered a vote; ``ACCEPTED`` also where it told its status by itself."""

    ACCEPTED = "counted"
    STALE = "moot"
    RATE_LIMITED = "too many"
    UNAVAILABLE = "failed"
    TIMED_OUT = "no answer"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One line of the endpoint list.

    Attributes:
        index: the host's small number for this endpoint.
        name_hash: 16 bits of its name, the same at all instances.
        machine_kind, zone, cell, build: as listed; numbers in the settings' order.
        started: when its process started, in the balancer's seconds; None: long ago.
        condition: whether it may be sent to.
        weight: its size beside others.
    """

    index: int
    name_hash: int
    machine_kind: int
    zone: int
    cell: int
    build: int
    started_at: float | None
    condition: Condition
    weight: float


@dataclass(slots=True, frozen=True)
class Request:
    """A request as its client handed it over.

    Attributes:
        number: the host's small number; used again only once the request is settled.
        request_class, tenant: indices in the settings.
        timeout: seconds from now until the client gives up.
        cost_hint: expected work in seconds on a standard core, where known.
        key: what the request is about; requests of one key may be sticky.
        is_client_retry: the client marked it as a repetition.
    """

    number: int
    request_class: int
    tenant: int
    timeout: float
    cost_hint: float | None = None
    key: int | None = None
    is_client_retry: bool = False


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How one attempt ended.

    Attributes:
        attempt: its number within the request, from 0.
        outcome: how it ended.
        duration: seconds since it was sent.
        request_done: the request has its final answer, by this attempt or before.
        load_report: values in the order of the settings' ``report_fields``.
    """

    attempt: int
    outcome: Outcome
    duration: float
    request_done: bool = False
    load_report: Sequence[float] | None = None


@dataclass(slots=True, frozen=True)
class ReleaseStatus:
    """What the release service said of the newest build; the last five are missing where a vote failed.

    Attributes:
        reply: how a vote was answered.
        is_vote_reply: False where the status was told unasked.
        build, stage, phase: where the newest build stands.
        cap: the share of requests that may be sent to the canary.
        age: seconds since this state began.
    """

    reply: ReplyStatus
    is_vote_reply: bool
    build: int | None = None
    stage: int | None = None
    phase: Phase | None = None
    cap: float | None = None
    age: float = 0.0


@dataclass(slots=True, frozen=True)
class InheritedEndpoint:
    """What other instances know of an endpoint.

    Attributes:
        latency_ratio: its answer times over the usual ones.
        failure_rate: share of its recent attempts that failed.
        ejected: it must pass health checks before it is used.
        ejection_time: seconds for which it was ejected last.
        cold_rate: attempts a second that others send it while it warms up.
    """

    latency_ratio: float
    failure_rate: float
    ejected: bool
    ejection_time: float
    slow_start_rate: float


class BaselineErrors(NamedTuple):
    """Bad outcomes of the baseline build in one statistic: faded counts, and a fast moving rate."""

    bad: float
    total: float
    recent_rate: float


class LatencyEstimate(NamedTuple):
    """A moving mean of answer times in seconds, and from how many answers it was made."""

    mean: float
    samples: int


class InheritedAttempt(NamedTuple):
    """An attempt of the exposure window that a former incarnation started."""

    age: float
    request_class: int
    build: int


class InheritedRequest(NamedTuple):
    """A request of the exposure window that a former incarnation accepted."""

    age: float
    request_class: int


@dataclass(slots=True, frozen=True)
class InheritedState:
    """What others know, weighed by `gatebank.state_transfer`, in the host's indices.

    Attributes:
        endpoints: by endpoint index.
        reports: whole sums of other incarnations, with the instance that made them.
        baseline_errors: by statistic of the sequential test.
        latency: by request class.
        baseline_latency: by request class and machine kind.
        sent, accepted: this instance's own rows of the last exposure window, aged from its start.
        window_known: those rows are complete.
    """

    endpoints: Mapping[int, InheritedEndpoint]
    reports: Sequence[tuple[int, InstanceReport]]
    baseline_errors: Mapping[int, BaselineErrors]
    latency: Mapping[int, LatencyEstimate]
    baseline_latency: Mapping[tuple[int, int], LatencyEstimate]
    sent: Sequence[InheritedAttempt]
    accepted: Sequence[InheritedRequest]
    exposure_window_known: bool
