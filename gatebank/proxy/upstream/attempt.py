"""An attempt of a request, or a health check, at an endpoint."""

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
    """Identifies one process of an endpoint; another process of the same name has its own connections.

    Attributes:
        endpoint: The endpoint's index in the registry.
        address: The address that the process listens on.
        build: Number of the build that the process runs.
        started_at: Unix time in seconds at which the process started; None if the endpoint list does not say.
    """

    endpoint: int
    address: Address
    build: int
    started_at: float | None


class Attempt:
    """An attempt or a health check. Invariant: ``on_result`` is called exactly once.

    Args:
        payload: Returns the bytes to send when they can be written; None if the attempt must not be sent any
            more.
        on_result: Callback that takes the one result.
        is_health_check: Whether this is a health check (a PING), not an attempt of a request.
        label: Comment for a recording that names the request and the attempt.

    Attributes:
        connection: The connection that the attempt was written to; None while it waits for a connection.
        timer: Timer of the attempt's own time limit; cancelled when the attempt finishes.
        done: Whether the result was reported.
        written: Whether the last byte is written, or its write has begun.
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
        self.timer: asyncio.TimerHandle | None = None
        self.done = False
        self.written = False

    def finish(self, reply: EndpointReply) -> None:
        """Report the result, unless a result was reported before."""
        if not self.done:
            self.done = True
            if self.timer:
                self.timer.cancel()
            self.on_result(reply)

    def abort(self, outcome: Outcome) -> None:
        """End the attempt as cancelled or timed out, and close its connection so that no reply can follow."""
        if not self.done:
            if self.connection:
                self.connection.abandon(self, outcome)
            self.finish(EndpointReply(outcome))
