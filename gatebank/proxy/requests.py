"""Table of the requests in flight: numbers, ids and memory use; the only place that settles a request."""

from __future__ import annotations

import asyncio
from collections.abc import ValuesView

from gatebank.proxy.downstream.replies import ReplySink
from gatebank.proxy.messages import ClientRequest
from gatebank.proxy.upstream.attempt import Attempt

REQUEST_OVERHEAD_BYTES = 4096  # Approximate memory of a request in flight besides the request's own bytes.
# Requests beyond this size, and those behind others on their connection, may use half of the memory: the
# other half is for clients that send one small request at a time.
LARGE_REQUEST_BYTES = 8192


class RequestInFlight:
    """A request that is not answered yet, or that still has an outstanding attempt.

    Attributes:
        number: Number by which the balancer identifies the request; reused after the request is settled.
        deadline: Deadline in Unix time (seconds), as the instance's `Clock` shows it.
        size: Approximate memory use in bytes.
        attempts: Attempts by number; None for an attempt that has ended or was never sent.
        attempts_that_may_have_run: Number of sent attempts whose outcome does not prove that the endpoint did
            not execute them.
        undelivered_results: Number of attempts whose result the balancer has not received yet.
        answered: True once the final answer is decided or the client no longer waits for an answer.
    """

    __slots__ = (
        "answered", "attempts", "attempts_that_may_have_run", "client_request", "deadline", "number", "reply",
        "size", "timer", "undelivered_results",
    )  # fmt: skip

    def __init__(self, number: int, client_request: ClientRequest, reply: ReplySink, deadline: float) -> None:
        self.number = number
        self.client_request = client_request
        self.reply = reply
        self.deadline = deadline
        self.size = client_request.size + REQUEST_OVERHEAD_BYTES
        self.attempts: list[Attempt | None] = []
        self.attempts_that_may_have_run = 0
        self.undelivered_results = 0
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None


class RequestTable:
    """The requests in flight, whose memory is limited to ``max_bytes``.

    Invariant: a number is not reused before its request is settled, because the balancer identifies a request
    by its number alone. Only `settle` removes rows.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.ids: set[bytes] = set()  # Ids of the unanswered requests.
        self.rows: dict[int, RequestInFlight] = {}
        self.free_numbers: list[int] = []  # Numbers of settled requests, available for reuse.

    def __len__(self) -> int:
        return len(self.rows)

    def get(self, number: int) -> RequestInFlight | None:
        """Return the request with this number, or None if it is not in flight."""
        return self.rows.get(number)

    def values(self) -> ValuesView[RequestInFlight]:
        """Return a view of all requests in flight."""
        return self.rows.values()

    def has_room(self, client_request: ClientRequest, is_pipelined: bool) -> bool:
        """Return whether the request fits within the memory limit.

        Args:
            client_request: The request.
            is_pipelined: Whether the request's connection has others in flight.
        """
        is_limited = is_pipelined or client_request.size > LARGE_REQUEST_BYTES
        limit = self.max_bytes // 2 if is_limited else self.max_bytes
        return self.size_bytes + client_request.size + REQUEST_OVERHEAD_BYTES <= limit

    def add(self, client_request: ClientRequest, reply: ReplySink, deadline: float) -> RequestInFlight:
        """Add a request to the table under a free number."""
        self.ids.add(client_request.id)
        number = self.free_numbers.pop() if self.free_numbers else len(self.rows)
        request = RequestInFlight(number, client_request, reply, deadline)
        self.rows[number] = request
        reply.request = request
        self.size_bytes += request.size
        return request

    def mark_answered(self, request: RequestInFlight) -> None:
        """Mark the request as answered; its id may be used by a new request from now on."""
        request.answered = True
        self.ids.discard(request.client_request.id)

    def settle(self, request: RequestInFlight) -> None:
        """Remove the request's row if it is answered and the balancer has received all attempt results."""
        if request.answered and not request.undelivered_results and self.rows.get(request.number) is request:
            del self.rows[request.number]
            self.free_numbers.append(request.number)
            self.size_bytes -= request.size
            request.reply.request = None
            if request.timer:
                request.timer.cancel()
