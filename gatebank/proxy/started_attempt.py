"""An attempt that the balancer has started, from its choice to its result.

Between the choice of an endpoint and the moment in which bytes can be written, what the choice hung on may
fall away. `StartedAttempt.payload` is the check just before bytes are written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gatebank.events import Condition, Endpoint
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.requests import RequestInFlight

if TYPE_CHECKING:
    from gatebank.proxy.dispatcher import Dispatcher

IMMEDIATE_S = 0.01  # in which an attempt is written that need not wait for a connection


class StartedAttempt:
    """One attempt of a request at an endpoint.

    Attributes:
        number: Its number among the request's attempts.
        endpoint: As listed when it was chosen.
        cap: The build's share of traffic then.
        started: Clock time at which it was chosen.
        until: Clock time at which it is given up.
    """

    __slots__ = ("cap", "deadline", "dispatcher", "endpoint", "number", "request", "started")

    def __init__(
        self,
        dispatcher: Dispatcher,
        request: RequestInFlight,
        *,
        number: int,
        endpoint: Endpoint,
        started: float,
        deadline: float,
    ) -> None:
        self.dispatcher = dispatcher
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.cap = dispatcher.fleet.cap(endpoint.build)
        self.started = started
        self.deadline = deadline

    def payload(self) -> bytes | None:
        """Its bytes; None if it waited for a connection while what it was chosen on fell away."""
        dispatcher = self.dispatcher
        now = dispatcher.clock()
        if not self.endpoint_still_fits() or self.request.answered or now >= self.deadline:
            return None
        if now > self.started + IMMEDIATE_S and not dispatcher.may_still_start(
            self.request, self.number, now
        ):
            return None
        return self.request.client_request.command(self.deadline - now)

    def endpoint_still_fits(self) -> bool:
        """It is listed with the build it was chosen for, takes requests, and its build's cap did not fall."""
        fleet = self.dispatcher.fleet
        listed = fleet.endpoints.get(self.endpoint.index)
        if listed is None or (listed is not self.endpoint and listed.build != self.endpoint.build):
            return False
        return listed.condition is Condition.READY and fleet.cap(self.endpoint.build) >= self.cap

    def on_result(self, reply: EndpointReply) -> None:
        """Pass its one result on."""
        self.dispatcher.on_attempt_result(self.request, self.number, self.endpoint.index, self.started, reply)
