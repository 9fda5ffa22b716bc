"""The record of an exchange: a command on a connection and the response to it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from gatebank.capture.timestamps import unix_seconds
from gatebank.events import RetrySafety

# Names of a record's values in JSON and in columns, in this order.
KEYS = (
    "asked_at", "answered_at", "client", "server", "side", "command", "workload", "customer", "key", "id",
    "ticket", "time_limit_ms", "body_bytes", "ended", "whole",
)  # fmt: skip
# Sides of an instance: connections of its clients, and connections to endpoints.
SIDES = ("customer", "node")
# Positions of a command's arguments.
COMMAND = 0
KEY = 1
ID = 2
PARAMETERS = 3  # For example "c=pay,t=all,d=500,k=1f": class, tenant, timeout in ms, idempotency key.
BODY = 4
MAX_TIMEOUT_DIGITS = 15  # Longer timeouts are treated as invalid.


class ExchangeOutcome(StrEnum):
    """Outcome of a command; the values are used in JSON, in columns and in filters."""

    SERVED = "satisfied"
    REJECTED = "rejected"
    FAILED = "broken_off"
    NO_RESPONSE = "none"


OUTCOME_VALUES = tuple(outcome.value for outcome in ExchangeOutcome)


@dataclass(slots=True, eq=False)
class Exchange:
    """A command on a connection and the response to the command. KEYS has the names of the values in JSON.

    Attributes:
        asked_at: Time of the command's last byte in ns of Unix time; None if that byte was not read.
        client: Address and port of the side that opened the connection.
        server: Address and port of the side that accepted the connection.
        side: One of SIDES; empty while unknown.
        arguments: The command's arguments as sent; only the complete arguments of an incomplete command.
        command_is_complete: Whether the whole command is in the capture.
        connection: Number of the connection in the capture.
        first_packet: Number of the packet with the command's first byte.
        answered_at: Time of the response's last byte in ns of Unix time; None without a response.
        ended: Outcome of the command.
        whole: Whether the command and its outcome are in the capture without a gap.
        last_packet: Number of the packet with the exchange's last byte.
        load_report: The load report in an endpoint's response.
        reply_line: The line of a response that has no value.
        value_bytes: Size of the response's value in bytes.
        request_class: The request class; None if the command has none.
        tenant: The tenant; None if the command has none.
        idempotency_key: The idempotency key; None if the command has none.
        timeout_ms: The client's timeout; None if the command has none.
        is_reported: Whether the collector has reported the exchange. A later response still changes the
            exchange.
    """

    asked_at: int | None
    client: str
    server: str
    side: str
    arguments: list[bytes]
    command_is_complete: bool
    connection: int
    first_packet: int
    answered_at: int | None = None
    ended: ExchangeOutcome = ExchangeOutcome.NO_RESPONSE
    whole: bool = False
    last_packet: int = 0
    load_report: bytes | None = None
    reply_line: bytes = b""
    value_bytes: int | None = None
    request_class: str | None = None
    tenant: str | None = None
    idempotency_key: str | None = None
    timeout_ms: float | None = None
    is_reported: bool = False

    def parse_parameters(self) -> None:
        """Set the attributes that the command's parameters contain."""
        if len(self.arguments) <= PARAMETERS:
            return
        for parameter in self.arguments[PARAMETERS].split(b","):
            value = parameter[2:]
            match parameter[:2]:
                case b"c=":
                    self.request_class = decode_text(value)
                case b"t=":
                    self.tenant = decode_text(value)
                case b"k=":
                    self.idempotency_key = decode_text(value)
                case b"d=":
                    self.timeout_ms = parse_milliseconds(value)

    @property
    def command(self) -> str | None:
        """The command's name in upper case."""
        return decode_text(self.arguments[COMMAND]).upper() if self.arguments else None

    @property
    def key(self) -> str | None:
        """The key that the command addresses."""
        return decode_text(self.arguments[KEY]) if len(self.arguments) > KEY else None

    @property
    def id(self) -> str | None:
        """The request's id, which is the same on both sides of an instance."""
        return decode_text(self.arguments[ID]) if len(self.arguments) > ID else None

    @property
    def body(self) -> bytes | None:
        """The request's body."""
        return self.arguments[BODY] if len(self.arguments) > BODY else None

    @property
    def retry_safety(self) -> RetrySafety:
        """Whether the request may be executed again, by the form of its command; NON_IDEMPOTENT in doubt."""
        if self.command == "Q.ASK" and len(self.arguments) == BODY:
            return RetrySafety.IDEMPOTENT
        return RetrySafety.KEYED if self.idempotency_key else RetrySafety.NON_IDEMPOTENT

    def to_row(self) -> dict[str, Any]:
        """Return the values for JSON or columns, with exactly the names in KEYS."""
        body = self.body
        values = (
            unix_seconds(self.asked_at), unix_seconds(self.answered_at), self.client, self.server, self.side,
            self.command, self.request_class, self.tenant, self.key, self.id, self.idempotency_key,
            self.timeout_ms, None if body is None else len(body), self.ended.value, self.whole,
        )  # fmt: skip
        return dict(zip(KEYS, values, strict=True))


def decode_text(data: bytes) -> str:
    r"""Return the bytes as text; bytes that are not valid UTF-8 become escapes, so that no byte is lost.

    >>> decode_text(b"key-1"), decode_text(b"\xff")
    ('key-1', '\\xff')
    """
    try:
        return data.decode()
    except UnicodeDecodeError:
        return data.decode("utf-8", "backslashreplace")


def parse_milliseconds(data: bytes) -> float | None:
    """Parse a number of ms as commands encode it; return None for other text.

    >>> [parse_milliseconds(data) for data in (b"480", b"0.5", b"-1", b"9" * 99)]
    [480, 0.5, None, None]
    """
    if not data or len(data) > MAX_TIMEOUT_DIGITS or not data.replace(b".", b"", 1).isdigit():
        return None
    return float(data) if b"." in data else int(data)
