"""Records of what the fakes and clients observe in one play; times are seconds of the monotonic clock."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

TIMEOUT_FIELD = re.compile(rb"\bd=[0-9.]+")
CROWD_READ_S = 0.5  # Time for which an instance still reads a crowd's requests after the last was sent.


class AnswerKind(Enum):
    """Kind of an answer (PROTOCOL, "Clients to marshals")."""

    SERVED = auto()
    REJECTED = auto()
    FAILED = auto()


class ConnectionEnd(Enum):
    """How a client's connection ended while a request on it had no answer."""

    BY_CLIENT = auto()  # The client closed the connection.
    REQUEST_READ = auto()  # The instance had read the request: no data was unread when it closed.
    REQUEST_UNREAD = auto()  # The instance had not read the request, so the system reset the connection.
    KILLED = auto()  # The instance was killed, or its process ended.


@dataclass(slots=True)
class Answer:
    """One complete answer; ``at`` is the time of its last byte."""

    at: float
    kind: AnswerKind
    text: bytes


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request of a client.

    Attributes:
        instance: The instance's number.
        incarnation: The number of the instance's process, counted from 0.
        timeout: Seconds for which the client waits, as given in field ``d``.
        effect: Identifies the effect that must not happen twice: the idempotency key or, without one, the
            body; empty if repeats are allowed.
        command: The command's words as `without_timeout` returns them.
        connection_was_used: Whether an earlier request had been answered on the connection.
        sent_at: When the system accepted the request's last byte; None if it did not.
        previous: The previous request on the connection, if it was unanswered when this one was sent.
        answers: All answers to the request.
        client_closed_at: When the client closed the connection while the request was unanswered.
        end: How the connection ended while the request was unanswered.
        ended_at: When the connection ended.
    """

    id: bytes
    instance: int
    incarnation: int
    request_class: str
    timeout: float
    effect: bytes
    connection_was_used: bool
    command: bytes = b""
    sent_at: float | None = None
    previous: RequestRecord | None = None
    answers: list[Answer] = field(default_factory=list)
    client_closed_at: float | None = None
    end: ConnectionEnd | None = None
    ended_at: float | None = None


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """A command that reached an endpoint completely at ``at``.

    Attributes:
        remaining: Seconds for which the instance will wait, as given in the command.
        command: The command's words as `without_timeout` returns them.
        executed_at: When the endpoint executed the command; None if it did not.
        failed_at: The earliest time at which the attempt may have failed; None if it did not fail.
        answered_at: When the endpoint had written a whole value to an open connection; None if it did not.
    """

    request_id: bytes
    endpoint: str
    build: int
    at: float
    remaining: float
    command: bytes = b""
    executed_at: float | None = None
    failed_at: float | None = None
    answered_at: float | None = None


@dataclass(slots=True)
class Incarnation:
    """One process of an instance.

    Attributes:
        number: The number of this process of the instance, counted from 0.
        ready_at: When the process first answered PING.
        terminated_at: When it was sent SIGTERM.
        killed_at: When it was sent SIGKILL.
        ended_at: When it ended.
        status: Its exit status; the negative signal number if a signal ended it.
    """

    instance: int
    number: int
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None
    status: int | None = None


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """An instance's knowledge of how an endpoint is listed: sent by discovery, or assumed to be known."""

    instance: int
    at: float
    endpoint: str
    lifecycle: str
    build: int
    started: float


@dataclass(slots=True, frozen=True)
class ReleaseUpdate:
    """A release state that the release service sent to an instance."""

    instance: int
    at: float
    build: int
    stage: int
    progress: str
    cap: float


@dataclass(slots=True, frozen=True)
class EndpointStart:
    """The start of an endpoint at ``at``: cold, or already warm if it started with the play."""

    endpoint: str
    at: float
    is_warm: bool


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """A process's descriptors and bytes of memory as the operating system counts them."""

    instance: int
    descriptors: int
    resident_bytes: int
    peak_bytes: int


@dataclass(slots=True, frozen=True)
class Stall:
    """A stall of this process, which runs all fakes and clients, for ``seconds`` before ``at``."""

    at: float
    seconds: float


@dataclass(slots=True, frozen=True)
class InstanceStall:
    """A time in which an instance was stopped by the schedule or waited for a core."""

    instance: int
    begin: float
    end: float


@dataclass(slots=True, frozen=True)
class Crowd:
    """Many clients that connected to an instance and sent a request each, between ``begin`` and ``end``.

    Attributes:
        is_starved: Whether the instance had a quarter of a core meanwhile.
    """

    instance: int
    begin: float
    end: float
    clients: int
    is_starved: bool = False


@dataclass(slots=True, frozen=True)
class Limits:
    """The limits that the rules take from the settings; times in seconds."""

    answer_slack: float
    drain_grace: float
    overload_multiple: float
    overload_window: float
    start_capacity: float
    warm_up: float
    caps: tuple[float, ...]
    spare_attempts: int
    exposure_window: float
    key_window: Mapping[str, float]
    # Request classes whose requests must not be rejected once an attempt may have been executed.
    unrejectable_classes: frozenset[str]
    longest_deadline: float
    endpoint_capacity: float  # Requests a second that a warm fake endpoint is assumed to handle.
    memory_bytes: int
    descriptors: int
    has_sticky_keys: bool
    may_cancel: bool


def without_timeout(words: Sequence[bytes]) -> bytes:
    """Join a command's words without the value of ``d``, the only field that an instance changes.

    >>> without_timeout([b"Q.ASK", b"key", b"id", b"c=read,d=480,t=all"])
    b'Q.ASK key id c=read,d=,t=all'
    """
    return b" ".join([*words[:3], TIMEOUT_FIELD.sub(b"d=", words[3]) if len(words) > 3 else b"", *words[4:]])


@dataclass(slots=True)
class Records:
    """All records of one play.

    Attributes:
        unsolicited_answers: Time, instance and text of each answer to which no request belongs.
        unanswered_partial_commands: Seconds and instance of each client that stopped within a command and
            did not get an error or the end of its connection in time.
        processor_stops: Times in which an instance with a part of a core had no processor time.
        memory_peaks: Highest RssAnon of each instance's processes, in bytes.
        faults_played: How many faults of each kind were carried out.
    """

    limits: Limits
    requests: dict[bytes, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    endpoint_updates: list[EndpointUpdate] = field(default_factory=list)
    release_updates: list[ReleaseUpdate] = field(default_factory=list)
    endpoint_starts: list[EndpointStart] = field(default_factory=list)
    usage_before: list[ProcessUsage] = field(default_factory=list)
    usage_after: list[ProcessUsage] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    instance_stalls: list[InstanceStall] = field(default_factory=list)
    processor_stops: list[InstanceStall] = field(default_factory=list)
    crowds: list[Crowd] = field(default_factory=list)
    unsolicited_answers: list[tuple[float, int, bytes]] = field(default_factory=list)
    unanswered_partial_commands: list[tuple[float, int]] = field(default_factory=list)
    memory_peaks: dict[int, int] = field(default_factory=dict)
    longest_datagram: int = 0
    ids_sent_again: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    faults_played: dict[str, int] = field(default_factory=dict)

    def stalled_seconds(self, begin: float, end: float, instance: int | None = None) -> float:
        """Return the seconds in a span for which this process was stalled, plus those of an instance."""
        spans = [(stall.at - stall.seconds, stall.at) for stall in self.stalls]
        spans += [(stall.begin, stall.end) for stall in self.instance_stalls if stall.instance == instance]
        return sum(
            max(0.0, min(end, stall_end) - max(begin, stall_begin)) for stall_begin, stall_end in spans
        )

    def stopped_seconds(self, begin: float, end: float, instance: int) -> float:
        """Return the seconds in a span in which an instance with a part of a core had no processor time."""
        return sum(
            max(0.0, min(end, stop.end) - max(begin, stop.begin))
            for stop in self.processor_stops
            if stop.instance == instance
        )

    def is_during_crowd(self, instance: int, at: float) -> bool:
        """Return whether an instance was still reading a crowd's requests at a time."""
        return any(
            crowd.instance == instance and crowd.begin <= at <= crowd.end + CROWD_READ_S
            for crowd in self.crowds
        )
