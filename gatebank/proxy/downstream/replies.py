"""Final answers to clients, delivered in the order of their commands."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Protocol

from gatebank.proxy.downstream import limits
from gatebank.proxy.messages import ClientRequest
from gatebank.proxy.sockets import peer_has_closed

if TYPE_CHECKING:
    from gatebank.proxy.downstream.connection import ClientConnection
    from gatebank.proxy.requests import RequestInFlight


class ReplySink(Protocol):
    """Takes the one final answer to a request, whatever the request's origin.

    Attributes:
        request: The request while it is in flight; the handler sets and clears this attribute.
    """

    request: RequestInFlight | None

    @property
    def source(self) -> int:
        """Number of the connection that the request arrived on; 0 for requests of this process."""

    def is_pipelined(self) -> bool:
        """Return whether the request's connection has others in flight."""

    def client_has_gone(self) -> bool:
        """Return whether the client has ended its connection, even if this has not been handled yet."""

    def close_may_be_hidden(self) -> bool:
        """Return whether the client may have closed its connection behind bytes that are not read yet."""

    def serve(self, value: memoryview) -> None:
        """Answer with an endpoint's value, which is valid only during this call."""

    def reject(self, retry_after: float | None) -> None:
        """Answer that the request may safely be sent again.

        Args:
            retry_after: Recommended delay before that in seconds; None for no recommendation.
        """

    def fail(self, reason: str) -> None:
        """Answer with an error, without saying whether the request was executed."""


class RequestHandler(Protocol):
    """The dispatcher's interface for the sources of requests."""

    def start_request(self, client_request: ClientRequest, reply: ReplySink) -> None:
        """Start a request whose final answer goes to ``reply``.

        Raises:
            CommandError: The request cannot be carried out, and ``reply`` gets no answer from the handler.
        """

    def refuse(self, request_id: bytes | None, reply: ReplySink) -> None:
        """Answer a request that is not started: rejected, or failed if one with its id may have run.

        Args:
            request_id: Id of the request; None if it is not known.
            reply: Receives the answer.
        """

    def on_client_disconnect(self, reply: ReplySink) -> None:
        """Handle that the client has disconnected and does not read the answer."""

    def fail_reply(self, reply: ReplySink) -> None:
        """Give the final answer now, as the client's connection must end."""

    def count(self, name: str) -> None:
        """Increment a counter of the periodic status line."""


class PendingReply:
    """The reply to one command, in its place among the replies of the connection.

    Attributes:
        connection: The client connection that the command arrived on.
        request: The request while it is in flight; maintained by the dispatcher.
        request_id: The request's id for the recording; None where the command is no request.
        parts: The encoded reply; None until the answer is given.
        held_bytes: Size of the reply while it waits for its turn.
    """

    __slots__ = ("connection", "held_bytes", "parts", "request", "request_id")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.request: RequestInFlight | None = None
        self.request_id: bytes | None = None
        self.parts: Sequence[bytes | memoryview] | None = None
        self.held_bytes = 0

    @property
    def source(self) -> int:
        """See `ReplySink`."""
        return self.connection.number

    def is_pipelined(self) -> bool:
        """See `ReplySink`."""
        return len(self.connection.replies) > 1

    def client_has_gone(self) -> bool:
        """See `ReplySink`."""
        return self.connection.closed or peer_has_closed(self.connection.sock)

    def close_may_be_hidden(self) -> bool:
        """See `ReplySink`."""
        return self.connection.close_may_be_hidden()

    def serve(self, value: memoryview) -> None:
        """See `ReplySink`."""
        self.send(self.connection.session.encode_value(value))

    def reject(self, retry_after: float | None) -> None:
        """See `ReplySink`."""
        self.send(self.connection.session.encode_rejection(retry_after))

    def fail(self, reason: str) -> None:
        """See `ReplySink`."""
        self.send(self.connection.session.encode_failure(reason))

    def send(self, parts: Sequence[bytes | memoryview]) -> None:
        """Write the reply if all earlier ones are written; otherwise keep a copy, as its buffer is reused.

        If no memory is left to keep a large reply, the client gets an error in its place.
        """
        connection = self.connection
        is_first = bool(connection.replies) and connection.replies[0] is self
        size = sum(map(len, parts))
        if size > limits.SMALL_REPLY_BYTES and not connection.has_room_for_reply(size, is_first):
            connection.downstream.handler.count("no room for answer")
            parts = connection.session.encode_failure("no room for the answer")
            size = sum(map(len, parts))
        if is_first:
            self.parts = parts
            connection.flush()
            return
        self.parts = [bytes(part) for part in parts]
        if not connection.closed:
            self.held_bytes = size
            connection.downstream.unwritten_bytes += size

    def release(self) -> None:
        """Count the reply's bytes no longer as waiting."""
        self.connection.downstream.unwritten_bytes -= self.held_bytes
        self.held_bytes = 0
