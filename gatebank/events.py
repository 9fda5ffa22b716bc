"""The types of the events that a host passes to the balancer.

For each event the host sets ``balancer.now``, calls the event's method, and carries out the actions in
``balancer.actions``. Times are fractional seconds, ids are small integers that the host maps to names at its
boundary, and shares are fractions of 1.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

from gatebank.peer_messages import InstanceReport


class RetrySafety(Enum):
    """Whether a request may run more than once; the values are the names in logs and captures."""

    IDEMPOTENT = "rerunnable"
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class Outcome(Enum):
    """How an attempt or a health check ended; the values are the names of counts in log lines."""

    SUCCESS = "satisfied"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    CONNECTION_LOST = "cut"
    CANCELLED = "withdrawn"
    NOT_SENT = "not sent"


GIVEN_UP_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED)
# Outcomes of attempts that certainly had no effect at the endpoint.
NEVER_RUN_OUTCOMES = (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT)


class Condition(Enum):
    """The condition of an endpoint according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Phase(IntEnum):
    """The phase of the newest build at the release service."""

    CANARY = 0
    ROLLING_BACK = 1
    RELEASED = 2
    ROLLED_BACK = 3

    @property
    def log_name(self) -> str:
        """The name in log lines, which on-call tools read."""
        return ("on_trial", "going_back", "released", "withdrawn")[self]


class Verdict(IntEnum):
    """The verdict on a build that a vote expresses."""

    NONE = 0
    PROMOTE = 1
    HOLD = 2
    ROLL_BACK = 3

    @property
    def log_name(self) -> str:
        """The name in log lines, which on-call tools read."""
        return ("none", "on", "hold", "back")[self]


class ReplyStatus(Enum):
    """How the release service answered a vote.

    ``ACCEPTED`` also marks a status that the release service sent without being asked.
    """

    ACCEPTED = "counted"
    STALE = "moot"
    RATE_LIMITED = "too many"
    UNAVAILABLE = "failed"
    TIMED_OUT = "no answer"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        index: the host's index of this endpoint.
        name_hash: a 16-bit hash of the endpoint's name, the same at all instances.
        machine_kind, zone, cell, build: the values of the list; machine kinds and zones are indices in the
            order of the settings.
        started_at: when the endpoint's process started, in the balancer's seconds; None: unknown, taken as
            long ago.
        condition: whether requests may be sent to the endpoint.
        weight: the endpoint's capacity relative to other endpoints.
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
    """A request as received from its client.

    Attributes:
        number: the host's number of the request; reused only once the request is answered and has no
            outstanding attempt.
        request_class, tenant: indices in the settings.
        timeout: seconds from now until the client gives up.
        cost_hint: expected work in seconds on a standard core; None if unknown.
        key: the entity that the request concerns; requests with the same key may be sticky.
        is_client_retry: the client marked the request as a repetition.
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
        attempt: the attempt's number within its request, from 0.
        outcome: how the attempt ended.
        duration: seconds since the attempt was sent.
        request_done: the request has its final answer, from this attempt or an earlier one.
        load_report: values in the order of ``report_fields`` in the settings.
    """

    attempt: int
    outcome: Outcome
    duration: float
    request_done: bool = False
    load_report: Sequence[float] | None = None


@dataclass(slots=True, frozen=True)
class ReleaseStatus:
    """The status of the newest build from the release service.

    After a failed vote, ``build``, ``stage``, ``phase``, ``cap`` and ``age`` are not known.

    Attributes:
        reply: how the vote was answered.
        is_vote_reply: False if the release service sent the status without being asked.
        build, stage, phase: the newest build and its progress.
        cap: the share of requests that may be sent to the canary.
        age: seconds since this status began.
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
    """The state of an endpoint as other instances reported it.

    Attributes:
        latency_ratio: the endpoint's latency relative to the mean of its request classes.
        failure_rate: share of the endpoint's recent attempts that failed.
        ejected: the endpoint must pass health checks before it is used.
        ejection_time: duration of the last ejection, in seconds.
        slow_start_rate: attempts per second that other instances send to the endpoint while it warms up.
    """

    latency_ratio: float
    failure_rate: float
    ejected: bool
    ejection_time: float
    slow_start_rate: float


class BaselineErrors(NamedTuple):
    """Bad outcomes of the baseline build in one statistic.

    ``bad`` and ``total`` are exponentially decayed counts; ``recent_rate`` is a moving rate of bad outcomes
    that reacts faster.
    """

    bad: float
    total: float
    recent_rate: float


class LatencyEstimate(NamedTuple):
    """A moving mean of latencies in seconds, and the number of answers behind it."""

    mean: float
    samples: int


class InheritedAttempt(NamedTuple):
    """An attempt within the exposure window that an earlier incarnation started; ``age`` in seconds."""

    age: float
    request_class: int
    build: int


class InheritedRequest(NamedTuple):
    """A request within the exposure window that an earlier incarnation accepted; ``age`` in seconds."""

    age: float
    request_class: int


@dataclass(slots=True, frozen=True)
class InheritedState:
    """State of other instances and of earlier incarnations, merged by `gatebank.state_transfer`.

    All indices are the host's.

    Attributes:
        endpoints: endpoint state by endpoint index.
        reports: whole LLR sums of other incarnations, with the number of the instance that sent them.
        baseline_errors: bad outcomes of the baseline by statistic of the sequential test.
        latency: mean latency by request class.
        baseline_latency: mean latency of baseline builds by request class and machine kind.
        sent, accepted: attempts and requests of this instance's earlier incarnations in the last exposure
            window; ages are relative to the start of this incarnation.
        exposure_window_known: ``sent`` and ``accepted`` are complete.
    """

    endpoints: Mapping[int, InheritedEndpoint]
    reports: Sequence[tuple[int, InstanceReport]]
    baseline_errors: Mapping[int, BaselineErrors]
    latency: Mapping[int, LatencyEstimate]
    baseline_latency: Mapping[tuple[int, int], LatencyEstimate]
    sent: Sequence[InheritedAttempt]
    accepted: Sequence[InheritedRequest]
    exposure_window_known: bool
