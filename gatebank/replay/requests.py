"""A request on its way in a replay: its outcomes, and what carries it to an instance."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from gatebank.capture.records import Exchange

DEFAULT_TIMEOUT = 60.0  # s, of a request that names none; longer ones count as that
MS_PER_SECOND = 1000


class ReplayOutcome(StrEnum):
    """What became of a request; the values stand in reports and in the ledger."""

    SERVED = "satisfied"
    REJECTED = "rejected"
    FAILED = "broken_off"
    NO_RESPONSE = "no_answer"  # its last byte left, or may have, and no response came
    UNSURE = "unsure"  # the same, of a request with an effect
    NEVER_SENT = "never_sent"  # its last byte certainly did not leave


@dataclass(slots=True, eq=False)
class ReplayedRequest:
    """One request on its way.

    Attributes:
        exchange: The recorded exchange.
        due: When it is due, in s of the loop's clock.
        arguments: The command as it is sent.
        names: Its names in the ledger; empty if it has no effect.
        entered: Done once the names are on the disk; None if it has no effect.
        is_sent: It was handed to the transport.
        is_retry: It was rejected once, and is sent again.
        is_finished: Its outcome is known; what comes later does not count.
        timer: Ends the wait for its response.
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
        """The client's timeout in s."""
        recorded = self.exchange.timeout_ms
        return min(DEFAULT_TIMEOUT, recorded / MS_PER_SECOND) if recorded else DEFAULT_TIMEOUT


class RequestTransport(Protocol):
    """Carries requests to an instance, and tells the player by `Player.finish` what became of each."""

    def refusal(self, exchange: Exchange) -> str:
        """Why it can't carry one more request now; empty if it can."""
        ...

    def send(self, request: ReplayedRequest) -> None:
        """Sends a request that is due."""
        ...

    def give_up(self, request: ReplayedRequest) -> None:
        """Waits no longer for a request's response."""
        ...

    def close(self) -> None:
        """Gives back all that it owns."""
        ...
