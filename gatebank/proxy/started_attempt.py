"""An attempt that the balancer has started, from the choice of an endpoint to the attempt's result.

The conditions under which the endpoint was chosen may change before the attempt can be written to a
connection. `StartedAttempt.payload` therefore checks them again just before the bytes are written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gatebank.events import NEVER_RUN_OUTCOMES, Condition, Endpoint
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.requests import RequestInFlight

if TYPE_CHECKING:
    from gatebank.proxy.dispatcher import Dispatcher

IMMEDIATE_SEND_S = 0.01  # An attempt that does not wait for a connection is written within this time.


class StartedAttempt:
    """One attempt of a request at an endpoint.

    Attributes:
        number: Number of the attempt among the request's attempts.
        endpoint: The endpoint's list entry at the time of the choice.
        cap: The build's share of traffic at the time of the choice.
        started: Clock time of the choice.
        deadline: Clock time at which the attempt times out.
        is_sent: Whether the attempt's bytes were handed out to be written.
    """

    __slots__ = ("cap", "deadline", "dispatcher", "endpoint", "is_sent", "number", "request", "started")

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
        self.is_sent = False

    def payload(self) -> bytes | None:
        """Return the bytes to send, or None if the attempt must not be sent any more.

        An attempt that waited for a connection is dropped if the endpoint no longer fits, the request was
        answered, the deadline has passed, or the balancer no longer allows the attempt. No attempt is sent
        for a client that has gone, as late as this instance may notice it otherwise.
        """
        dispatcher = self.dispatcher
        now = dispatcher.clock()
        if not self.endpoint_still_fits() or self.request.answered or now >= self.deadline:
            return None
        if not dispatcher.may_still_start(self, now):
            return None
        if self.request.reply.client_has_gone():
            dispatcher.on_client_disconnect(self.request.reply)
            return None
        if self.request.reply.close_may_be_hidden():
            return None
        self.is_sent = True
        self.request.attempts_that_may_have_run += 1
        return self.request.client_request.command(self.deadline - now)

    def endpoint_still_fits(self) -> bool:
        """Return whether the choice of the endpoint is still valid.

        The endpoint must be listed with the same build and be ready, and its build's cap must not have
        fallen.
        """
        fleet = self.dispatcher.fleet
        listed = fleet.endpoints.get(self.endpoint.index)
        if listed is None or (listed is not self.endpoint and listed.build != self.endpoint.build):
            return False
        return listed.condition is Condition.READY and fleet.cap(self.endpoint.build) >= self.cap

    def on_result(self, reply: EndpointReply) -> None:
        """Pass the attempt's single result to the dispatcher."""
        if self.is_sent and reply.outcome in NEVER_RUN_OUTCOMES:
            self.request.attempts_that_may_have_run -= 1
        self.dispatcher.on_attempt_result(self.request, self.number, self.endpoint.index, self.started, reply)
