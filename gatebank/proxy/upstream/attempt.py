"""One attempt of a request, or one health check, on its way to an endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from gatebank.events import Outcome
from gatebank.proxy.configuration import Address
from gatebank.proxy.messages import EndpointReply

if TYPE_CHECKING:
    from gatebank.proxy.upstream.connection import EndpointConnection


class EndpointKey(NamedTuple):
    """One process of an endpoint: another one under the same name has connections of its own.

    Attributes:
        endpoint: The endpoint's index in the registry.
        started_at: Unix time in seconds at which the process started; None if the list does not say.
    """

    endpoint: int
    address: Address
    build: int
    started_at: float | None


class Attempt:
    """An attempt or a health check. Invariant: ``on_result`` is called exactly once.

    Args:
        payload: Gives the bytes at the moment of writing; None if they are no longer wanted.
        on_result: Takes the one result.
        is_health_check: It is a PING, whose answer is no answer to a request.
        label: For a recording: which attempt of which request.
    """

    __slots__ = ("connection", "done", "is_health_check", "label", "on_result", "payload", "timer", "written")

    def __init__(
        self,
        payload: Callable[[], bytes | None],
        on_result: Callable[[EndpointReply], None],
        is_health_check: bool,
        label: str = "",
    ) -> None:
        self.payload = payload
        self.on_result = on_result
        self.is_health_check = is_health_check
        self.label = label
        self.connection: EndpointConnection | None = None
        self.timer: asyncio.TimerHandle | None = None  # its own time limit; goes with its end
        self.done = False
        self.written = False  # to its last byte, or that is on its way

    def finish(self, reply: EndpointReply) -> None:
        """Report the result, unless one was reported before."""
        if not self.done:
            self.done = True
            if self.timer:
                self.timer.cancel()
            self.on_result(reply)

    def abort(self, outcome: Outcome) -> None:
        """Cancelled or out of time: its connection is closed, so that it can't be answered later."""
        if not self.done:
            if self.connection:
                self.connection.abandon(self, outcome)
            self.finish(EndpointReply(outcome))
