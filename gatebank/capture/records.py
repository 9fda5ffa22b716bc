"""The record of an exchange: a command on a connection and the response to it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from gatebank.capture.timestamps import unix_seconds
from gatebank.events import RetrySafety

# The names of a record's values in JSON and in columns, in their order.
KEYS = (
    "asked_at", "answered_at", "client", "server", "side", "command", "workload", "customer", "key", "id",
    "ticket", "time_limit_ms", "body_bytes", "ended", "whole",
)  # fmt: skip
SIDES = ("customer", "node")  # of an instance: where its clients connect, and where it connects to endpoints
# Places of a command's arguments.
COMMAND = 0
KEY = 1
ID = 2
PARAMETERS = 3  # "c=pay,t=all,d=500,k=1f": request class, tenant, timeout in ms, idempotency key
BODY = 4
MAX_TIMEOUT_DIGITS = 15  # of a timeout: longer ones are nonsense


class ExchangeOutcome(StrEnum):
    """What became of a command; the values stand in JSON, in columns and in filters."""

    SERVED = "satisfied"
    REJECTED = "rejected"
    FAILED = "broken_off"
    NO_RESPONSE = "none"


OUTCOME_VALUES = tuple(outcome.value for outcome in ExchangeOutcome)


@dataclass(slots=True, eq=False)
class Exchange:
    """A command on a connection and the response to it. Names stand in JSON as KEYS has them.

    Attributes:
        asked_at: ns of Unix time when the command's last byte had come; None if it never came.
        client: Address and port of who opened the connection.
        server: Address and port of who accepted it.
        side: One of SIDES; empty while it is not known.
        arguments: The command's arguments as sent; where it is not complete, those that are.
        command_is_complete: All of the command is in the capture.
        connection: The number of its connection in the capture.
        first_packet: The number of the packet with the command's first byte.
        answered_at: ns of Unix time when the response's last byte had come; None without a response.
        ended: What became of the command.
        whole: The command and what became of it are in the capture without a gap.
        last_packet: The number of the packet with the last byte that belongs to it.
        load_report: What an endpoint said of its load.
        reply_line: The line of a response that is no value.
        value_bytes: The size of a response's value.
        request_class: The request class; None where the command names none.
        tenant: The tenant; None where the command names none.
        idempotency_key: The idempotency key; None where the command has none.
        timeout_ms: The client's timeout; None where the command names none.
        is_reported: The collector has handed it on; it still changes if its response comes later.
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
        """Sets the attributes that the command's parameters name."""
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
        """The command's name in capital letters."""
        return decode_text(self.arguments[COMMAND]).upper() if self.arguments else None

    @property
    def key(self) -> str | None:
        """The key that the command is about."""
        return decode_text(self.arguments[KEY]) if len(self.arguments) > KEY else None

    @property
    def id(self) -> str | None:
        """The request's id, the same at both sides of an instance."""
        return decode_text(self.arguments[ID]) if len(self.arguments) > ID else None

    @property
    def body(self) -> bytes | None:
        """The request's body."""
        return self.arguments[BODY] if len(self.arguments) > BODY else None

    @property
    def retry_safety(self) -> RetrySafety:
        """Whether the request may run again, by the form of its command; in doubt it may not."""
        if self.command == "Q.ASK" and len(self.arguments) == BODY:
            return RetrySafety.IDEMPOTENT
        return RetrySafety.KEYED if self.idempotency_key else RetrySafety.NON_IDEMPOTENT

    def to_row(self) -> dict[str, Any]:
        """The record for programs, as JSON or columns: exactly KEYS."""
        body = self.body
        values = (
            unix_seconds(self.asked_at), unix_seconds(self.answered_at), self.client, self.server, self.side,
            self.command, self.request_class, self.tenant, self.key, self.id, self.idempotency_key,
            self.timeout_ms, None if body is None else len(body), self.ended.value, self.whole,
        )  # fmt: skip
        return dict(zip(KEYS, values, strict=True))


def decode_text(data: bytes) -> str:
    r"""The bytes as text; what is no UTF-8 stands as escapes, so that no byte is lost.

    >>> decode_text(b"key-1"), decode_text(b"\xff")
    ('key-1', '\\xff')
    """
    try:
        return data.decode()
    except UnicodeDecodeError:
        return data.decode("utf-8", "backslashreplace")


def parse_milliseconds(data: bytes) -> float | None:
    """A number of ms as commands have it; None for what is none.

    >>> [parse_milliseconds(data) for data in (b"480", b"0.5", b"-1", b"9" * 99)]
    [480, 0.5, None, None]
    """
    if not data or len(data) > MAX_TIMEOUT_DIGITS or not data.replace(b".", b"", 1).isdigit():
        return None
    return float(data) if b"." in data else int(data)
