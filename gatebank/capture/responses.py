"""Interpretation of a response: the exchange's outcome, and the side of the instance. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from gatebank.capture.records import Exchange, ExchangeOutcome
from gatebank.proxy.resp2 import codec as resp

BUSY = b"BUSY"  # An instance's rejection appends the delay in ms before a retry; an endpoint's does not.
ENDPOINT_ERROR = b"ERR failed"  # Followed by the endpoint's load report.
# An endpoint's response has three values: the value, an unused value and the load report.
LOAD_REPORT = 2
ENDPOINT_VALUES = 3


class PairedResponse(NamedTuple):
    """A response and the exchange that it belongs to.

    Attributes:
        exchange: The exchange of the command that the response answers.
        reply: The response; its values must not refer to the buffer that they were read from.
        at: Time of the response's last byte in ns of Unix time.
        packet: Number of the packet with the response's last byte.
    """

    exchange: Exchange
    reply: resp.Reply
    at: int
    packet: int


def record_response(exchange: Exchange, reply: resp.Reply, at: int, packet: int) -> str | None:
    """Record a response in its exchange.

    Returns:
        The server's side, "customer" or "node"; None if the response's form does not show the side.
    """
    exchange.answered_at = at
    exchange.whole = True
    exchange.last_packet = packet
    value = reply.values[0] if reply.values else None
    if reply.type_byte in "$*" and value is not None:
        exchange.ended = ExchangeOutcome.SERVED
        exchange.value_bytes = len(value)
        if len(reply.values) == ENDPOINT_VALUES and (load_report := reply.values[LOAD_REPORT]) is not None:
            exchange.load_report = bytes(load_report)
        return "node" if reply.type_byte == "*" else "customer"
    return _record_error(exchange, reply.type_byte, bytes(value or b""))


def _record_error(exchange: Exchange, type_byte: str, line: bytes) -> str | None:
    """Record a response without a value, whose first byte is ``type_byte``."""
    exchange.reply_line = line
    is_error = type_byte == "-"
    if is_error and line.startswith(BUSY):
        exchange.ended = ExchangeOutcome.REJECTED
        return None if line == BUSY else "customer"
    exchange.ended = ExchangeOutcome.FAILED
    if not is_error:
        return None
    if line.startswith(ENDPOINT_ERROR):
        exchange.load_report = line[len(ENDPOINT_ERROR) + 1 :] or None
        return "node"
    return "customer"
