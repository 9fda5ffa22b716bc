"""Final answers to clients, in the order of their commands."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Protocol

from gatebank.proxy.messages import ClientRequest

if TYPE_CHECKING:
    from gatebank.proxy.downstream.connection import ClientConnection
    from gatebank.proxy.requests import RequestInFlight


class ReplySink(Protocol):
    """Takes the one final answer to a request, wherever that came from.

    Attributes:
        request: The request while it is in flight, set and cleared by the handler.
    """

    request: RequestInFlight | None

    def serve(self, value: memoryview) -> None:
        """Answer with an endpoint's value, good during this call."""

    def reject(self, retry_after: float | None) -> None:
        """Answer that trying again is harmless, best after so many seconds."""

    def fail(self, reason: str) -> None:
        """Answer with an error that promises nothing."""


class RequestHandler(Protocol):
    """What the dispatcher offers to whoever brings requests."""

    def start_request(self, client_request: ClientRequest, reply: ReplySink) -> None:
        """Take a request on; its final answer goes to ``reply``.

        Raises:
            CommandError: It can't be carried out, and nothing is owed for it.
        """

    def on_client_disconnect(self, reply: ReplySink) -> None:
        """The client has gone: nobody reads the answer."""

    def fail_reply(self, reply: ReplySink) -> None:
        """The connection must end: the final answer is due now."""


class PendingReply:
    """The place of one answer among those of its connection."""

    __slots__ = ("connection", "parts", "request", "request_id")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.request: RequestInFlight | None = None  # the dispatcher's own
        self.request_id: bytes | None = None  # for a recording
        self.parts: Sequence[bytes | memoryview] | None = None  # the answer, once there is one

    def serve(self, value: memoryview) -> None:
        """See `ReplySink`."""
        self.send(self.connection.session.value(value))

    def reject(self, retry_after: float | None) -> None:
        """See `ReplySink`."""
        self.send(self.connection.session.rejection(retry_after))

    def fail(self, reason: str) -> None:
        """See `ReplySink`."""
        self.send(self.connection.session.failure(reason))

    def send(self, parts: Sequence[bytes | memoryview]) -> None:
        """Send the answer when its turn has come; until then it is kept, and copied, as its buffer is not."""
        first = bool(self.connection.replies) and self.connection.replies[0] is self
        self.parts = parts if first else [bytes(part) for part in parts]
        if first:
            self.connection.flush()
