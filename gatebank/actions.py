"""The actions that the balancer asks its host to carry out after each event, and the timers in them."""

from __future__ import annotations

from dataclasses import dataclass

from gatebank.events import Verdict
from gatebank.peer_messages import PeerMessage


@dataclass(slots=True, frozen=True)
class Tick:
    """The timer of the balancer's periodic work."""


@dataclass(slots=True, frozen=True)
class WatchTimer:
    """The timer for watching the endpoint list again after a watch that failed."""


@dataclass(slots=True, frozen=True)
class EjectionTimer:
    """The timer for the next health check of an ejected endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class RequestTimer:
    """The timer for the next step of a request.

    The timer is stale if ``generation`` differs from the request's timer generation.
    """

    request: int
    generation: int


Timer = Tick | WatchTimer | EjectionTimer | RequestTimer


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to an endpoint.

    The host gives the attempt up at ``give_up_at``, or when the client gives up if that is None.
    """

    request: int
    endpoint: int
    give_up_at: float | None


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Give the final answer that the request was rejected and may safely be sent again.

    ``retry_after`` is the recommended delay in seconds; None if none is given.
    """

    request: int
    retry_after: float | None


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Give the final answer that the request failed; sending it again may not be safe."""

    request: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Call ``on_timer`` with this timer at ``due_at``, in the balancer's seconds."""

    due_at: float
    timer: Timer


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the health of an endpoint; the host reports the outcome by ``on_health_check_result``."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to one peer, or to all peers if ``peer`` is None."""

    peer: int | None
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class CastVote:
    """Vote on a build at a stage; the host reports the reply by ``on_release_status``."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list at the discovery service."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a log line for on-call staff."""

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
