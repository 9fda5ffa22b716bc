"""The requests in flight: their numbers, ids and bytes, and the one place where a request is settled."""

from __future__ import annotations

import asyncio
from collections.abc import ValuesView

from gatebank.proxy.downstream.replies import ReplySink
from gatebank.proxy.messages import ClientRequest
from gatebank.proxy.upstream.attempt import Attempt

REQUEST_OVERHEAD_BYTES = 2048  # that a request in flight takes besides its own, about


class RequestInFlight:
    """A request whose final answer is owed, or of which an attempt is out.

    Attributes:
        number: The balancer's name for it, used again once it is settled.
        deadline: In the clock's seconds.
        size: Bytes that it takes, about.
        attempts: By their number; None for one that has ended or was never sent.
        attempts_out: Attempts whose result the balancer has not been given yet.
        answered: The final answer is out, or nobody waits for it any more.
    """

    __slots__ = (
        "answered",
        "attempts",
        "client_request",
        "deadline",
        "number",
        "reply",
        "size",
        "timer",
        "undelivered_results",
    )  # fmt: skip

    def __init__(self, number: int, client_request: ClientRequest, reply: ReplySink, deadline: float) -> None:
        self.number = number
        self.client_request = client_request
        self.reply = reply
        self.deadline = deadline
        self.size = client_request.size + REQUEST_OVERHEAD_BYTES
        self.attempts: list[Attempt | None] = []
        self.undelivered_results = 0
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None


class RequestTable:
    """The requests in flight, within ``max_bytes``.

    Invariant: a number is not used again before its request is settled, as the balancer knows a request by
    its number alone. `settle` is the one place where a row goes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.ids: set[bytes] = set()  # of requests that are not answered
        self.rows: dict[int, RequestInFlight] = {}
        self.free_numbers: list[int] = []  # used before

    def __len__(self) -> int:
        return len(self.rows)

    def get(self, number: int) -> RequestInFlight | None:
        """The request of this number, if it is in flight."""
        return self.rows.get(number)

    def values(self) -> ValuesView[RequestInFlight]:
        """All requests in flight."""
        return self.rows.values()

    def has_room(self, client_request: ClientRequest) -> bool:
        """One more request as large fits the bound."""
        return self.size_bytes + client_request.size + REQUEST_OVERHEAD_BYTES <= self.max_bytes

    def add(self, client_request: ClientRequest, reply: ReplySink, deadline: float) -> RequestInFlight:
        """Give a request a number and a row."""
        self.ids.add(client_request.id)
        number = self.free_numbers.pop() if self.free_numbers else len(self.rows)
        request = RequestInFlight(number, client_request, reply, deadline)
        self.rows[number] = request
        reply.request = request
        self.size_bytes += request.size
        return request

    def mark_answered(self, request: RequestInFlight) -> None:
        """The final answer is decided: its id may come again."""
        request.answered = True
        self.ids.discard(request.client_request.id)

    def settle(self, request: RequestInFlight) -> None:
        """Drop the request's row, if it is answered and none of its attempts is out."""
        if request.answered and not request.undelivered_results and self.rows.get(request.number) is request:
            del self.rows[request.number]
            self.free_numbers.append(request.number)
            self.size_bytes -= request.size
            request.reply.request = None
            if request.timer:
                request.timer.cancel()
