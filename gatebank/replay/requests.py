"""A replayed request, its possible outcomes, and the interface of the transports to an instance."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from gatebank.capture.records import Exchange

DEFAULT_TIMEOUT = 60.0  # Seconds; timeout of a request without one, and maximum of all timeouts.
MS_PER_SECOND = 1000


class ReplayOutcome(StrEnum):
    """Outcome of a request; the values appear in reports and in the ledger."""

    SERVED = "satisfied"
    REJECTED = "rejected"
    FAILED = "broken_off"
    NO_RESPONSE = "no_answer"  # The last byte was sent, or may have been, and no response arrived.
    UNSURE = "unsure"  # Like NO_RESPONSE, for a request with an effect.
    NEVER_SENT = "never_sent"  # The last byte was certainly not sent.


@dataclass(slots=True, eq=False)
class ReplayedRequest:
    """A request being replayed.

    Attributes:
        exchange: The recorded exchange.
        due: Due time in seconds of the event loop's clock.
        arguments: The arguments of the command to be sent.
        names: The request's names in the ledger; empty if the request has no effect.
        entered: Future that is done once the names are on the disk; None if the request has no effect.
        is_sent: Whether the request was passed to the transport.
        is_retry: Whether the request was rejected once and is sent again.
        is_finished: Whether the outcome is known; later outcomes are ignored.
        timer: Timer that ends the wait for the response.
    """

    exchange: Exchange
    due: float
    arguments: list[bytes]
    names: tuple[bytes, ...] = ()
    entered: asyncio.Future[None] | None = None
    is_sent: bool = False
    is_retry: bool = False
    is_finished: bool = False
    timer: asyncio.TimerHandle | None = None

    @property
    def timeout(self) -> float:
        """The recorded client's timeout in seconds, limited to DEFAULT_TIMEOUT."""
        recorded = self.exchange.timeout_ms
        return min(DEFAULT_TIMEOUT, recorded / MS_PER_SECOND) if recorded else DEFAULT_TIMEOUT


class RequestTransport(Protocol):
    """Sends requests to an instance, and reports the outcome of each request by `Player.finish`."""

    def refusal(self, exchange: Exchange) -> str:
        """Return why another request cannot be sent now; empty if it can."""
        ...

    def send(self, request: ReplayedRequest) -> None:
        """Send a due request."""
        ...

    def give_up(self, request: ReplayedRequest) -> None:
        """End the wait for a request's response."""
        ...

    def close(self) -> None:
        """Release all resources."""
        ...
