"""RESP2 as connections use it: parses received messages and encodes the messages to send."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from gatebank.proxy.buffers import MemoryBudget
from gatebank.proxy.messages import ClientRequest, CommandError, EndpointReply, RequestClassRef
from gatebank.proxy.resp2 import codec
from gatebank.proxy.resp2.commands import REQUEST_COMMANDS, command_name, parse_request
from gatebank.proxy.resp2.endpoint_replies import (
    REPORT_FIELD_NAMES,
    parse_attempt_reply,
    parse_health_reply,
)

ID_INDEX = 2  # Place of a request's id among the arguments of its command.
Parts = Sequence[bytes | memoryview]  # An encoded reply in pieces that are written one after the other.


class ClientSession:
    """The protocol with clients; all client connections share one session, as it has no state.

    Args:
        classes: Request classes by name.
        tenants: Indices of tenants by name; empty where the settings have no tenants.
    """

    pong: Parts = (b"+PONG\r\n",)

    def __init__(self, classes: Mapping[str, RequestClassRef], tenants: Mapping[str, int]) -> None:
        self.classes = classes
        self.tenants = tenants

    def create_buffer(self, budget: MemoryBudget) -> codec.Resp2Buffer:
        """Create the buffer of a new connection."""
        return codec.Resp2Buffer(budget, initial_bytes=codec.CLIENT_BUFFER_BYTES)

    def parse_command(self, arguments: Sequence[memoryview]) -> ClientRequest | None:
        """Parse a command into a request; None for a PING.

        Raises:
            CommandError: The command is unknown or does not have the form that PROTOCOL defines.
        """
        if not arguments:
            raise CommandError("a command needs a name")
        name = command_name(arguments)
        if name == b"PING":
            return None
        if name in REQUEST_COMMANDS:
            return parse_request(arguments, self.classes, self.tenants)
        raise CommandError("unknown command")

    def request_id(self, arguments: Sequence[bytes]) -> bytes | None:
        """Return the id in the first arguments of a command; None if they do not reach so far."""
        return arguments[ID_INDEX] if len(arguments) > ID_INDEX else None

    def encode_value(self, value: memoryview) -> Parts:
        """Encode the answer with an endpoint's value, which is not copied."""
        return codec.encode_bulk_string(value)

    def encode_rejection(self, retry_after: float | None) -> Parts:
        """Encode the answer that the request may safely be sent again, best after ``retry_after`` seconds."""
        return (b"-BUSY %d\r\n" % (retry_after * 1000) if retry_after else b"-BUSY\r\n",)

    def encode_failure(self, reason: str) -> Parts:
        """Encode the error answer, which does not say whether the request was executed."""
        return (f"-ERR {reason}\r\n".encode(),)

    def classify_answer(self, answer: Parts) -> str:
        """Return how a request ended according to its answer, in the words that recordings use."""
        first_part = answer[0]
        if first_part[:1] == b"$":
            return "satisfied"
        return "rejected" if first_part[:5] == b"-BUSY" else "broken off"


class EndpointSession:
    """The protocol with endpoints; all connections to endpoints share one session, as it has no state.

    Args:
        report_fields: Fields of a load report by the settings' names.
    """

    health_check = codec.encode_command([b"PING"])
    max_value = codec.MAX_VALUE_BYTES  # Maximum size of a value that PROTOCOL allows.

    def __init__(self, report_fields: Sequence[str]) -> None:
        self.report_fields = [REPORT_FIELD_NAMES.get(name, name) for name in report_fields]

    def create_buffer(self, budget: MemoryBudget, max_value: int) -> codec.Resp2Buffer:
        """Create the buffer of a new connection, for values of at most ``max_value`` bytes."""
        return codec.Resp2Buffer(budget, max_value)

    def parse_reply(self, reply: codec.Reply, is_health_check: bool) -> EndpointReply:
        """Parse the reply to an attempt or to a health check.

        Raises:
            ProtocolError: The reply does not have the form of a reply to an attempt.
        """
        if is_health_check:
            return parse_health_reply(reply)
        return parse_attempt_reply(reply, self.report_fields)
