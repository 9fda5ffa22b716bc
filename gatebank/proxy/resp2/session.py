"""RESP2 as connections use it: what a client or an endpoint said, and the bytes to say."""

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

Parts = Sequence[bytes | memoryview]  # of an answer, to be written one behind the other


class ClientSession:
    """What clients say and are told; it has no state of one connection, so that all share one.

    Args:
        classes: Request classes by name.
        tenants: Indices of tenants by name; empty where the settings have none.
    """

    pong: Parts = (b"+PONG\r\n",)

    def __init__(self, classes: Mapping[str, RequestClassRef], tenants: Mapping[str, int]) -> None:
        self.classes = classes
        self.tenants = tenants

    def buffer(self, budget: MemoryBudget) -> codec.Inbox:
        """The buffer of a new connection."""
        return codec.Inbox(budget)

    def interpret(self, arguments: Sequence[memoryview]) -> ClientRequest | None:
        """The request that a command is; None for a PING.

        Raises:
            CommandError: It is neither, or does not have PROTOCOL's form.
        """
        name = command_name(arguments)
        if name == b"PING":
            return None
        if name in REQUEST_COMMANDS:
            return parse_request(arguments, self.classes, self.tenants)
        raise CommandError("unknown command")

    def value(self, value: memoryview) -> Parts:
        """The answer with an endpoint's value, which is not copied."""
        return codec.bulk(value)

    def rejection(self, retry_after: float | None) -> Parts:
        """The answer that trying again is harmless, best after so many seconds."""
        return (b"-BUSY %d\r\n" % (retry_after * 1000) if retry_after else b"-BUSY\r\n",)

    def failure(self, reason: str) -> Parts:
        """The answer that promises nothing."""
        return (f"-ERR {reason}\r\n".encode(),)

    def how_answered(self, answer: Parts) -> str:
        """How a request ended, by its answer; recordings use these words."""
        first = answer[0]
        if first[:1] == b"$":
            return "satisfied"
        return "rejected" if first[:5] == b"-BUSY" else "broken off"


class EndpointSession:
    """What endpoints are asked and answer; it has no state of one connection, so that all share one.

    Args:
        report_fields: Of a load report, by the settings' names.
    """

    health_check = codec.command([b"PING"])
    max_value = codec.MAX_VALUE  # bytes that PROTOCOL allows an answer

    def __init__(self, report_fields: Sequence[str]) -> None:
        self.report_fields = [REPORT_FIELD_NAMES.get(name, name) for name in report_fields]

    def buffer(self, budget: MemoryBudget, max_value: int) -> codec.Inbox:
        """The buffer of a new connection, for values of so many bytes at most."""
        return codec.Inbox(budget, max_value)

    def interpret(self, reply: codec.Reply, is_health_check: bool) -> EndpointReply:
        """What a reply to an attempt or to a health check means.

        Raises:
            ProtocolError: No reply to an attempt has this form.
        """
        if is_health_check:
            return parse_health_reply(reply)
        return parse_attempt_reply(reply, self.report_fields)
