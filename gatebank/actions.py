"""Actions: what the balancer asks its host to do, in order, after each event."""

from __future__ import annotations

from dataclasses import dataclass

from gatebank.events import Verdict
from gatebank.peer_messages import PeerMessage


@dataclass(slots=True, frozen=True)
class StartAttempt:
    invocation: int
    node: int
    until: float | None


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    invocation: int
    shot: int


@dataclass(slots=True, frozen=True)
class RejectRequest:
    invocation: int
    back_in: float | None


@dataclass(slots=True, frozen=True)
class FailRequest:
    invocation: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    at: float
    name: str


@dataclass(slots=True, frozen=True)
class CheckHealth:
    node: int


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a word to one peer, or to all (None)."""

    peer: int | None
    word: PeerMessage


@dataclass(slots=True, frozen=True)
class CastVote:
    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask the node roll to send its changes from now on."""


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
