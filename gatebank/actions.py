"""Actions: what the balancer asks its host to do, in order, after each event; and the timers it starts."""

from __future__ import annotations

from dataclasses import dataclass

from gatebank.events import Verdict
from gatebank.peer_messages import PeerMessage


@dataclass(slots=True, frozen=True)
class Tick:
    """The timer for what only time changes."""


@dataclass(slots=True, frozen=True)
class WatchTimer:
    """Time to watch the endpoint list again, after a watch that failed."""


@dataclass(slots=True, frozen=True)
class EjectionTimer:
    """Time to check the health of an ejected endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class RequestTimer:
    """Time to look at a request again; ``generation`` tells whether it still waits for this timer."""

    request: int
    generation: int


Timer = Tick | WatchTimer | EjectionTimer | RequestTimer


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to an endpoint; give the attempt up at ``until`` (None: when the client does)."""

    request: int
    endpoint: int
    give_up_at: float | None


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: trying again is harmless, best after ``retry_after`` seconds."""

    request: int
    retry_after: float | None


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer that promises nothing."""

    request: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Call ``on_timer`` with this timer at a time in the balancer's seconds."""

    due_at: float
    timer: Timer


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Ask an endpoint for a sign of life; its outcome comes by ``on_health_check_result``."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to one peer, or to all (None)."""

    peer: int | None
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class CastVote:
    """Vote on a build at a stage; the answer comes by ``on_release_status``."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask discovery to send the changes of the endpoint list from now on."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for on-call staff."""

    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | StartTimer
    | CheckHealth
    | SendToPeer
    | CastVote
    | WatchEndpoints
    | LogMessage
)
