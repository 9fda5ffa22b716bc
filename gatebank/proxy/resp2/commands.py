"""Parsing of a client's command into a `ClientRequest`.

A command is checked against the form that PROTOCOL defines: an endpoint rejects a malformed command or closes
the connection, which would wrongly count as a fault of the endpoint and its build.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from gatebank.events import RetrySafety
from gatebank.proxy.messages import ClientRequest, CommandError, RequestClassRef
from gatebank.proxy.resp2 import codec

# Fields that this proxy evaluates: request class, tenant, timeout, idempotency key, client retry, cost hint.
KNOWN_FIELDS = ("c", "t", "d", "k", "r", "h")
MAX_TIMEOUT_MS = 3_600_000  # No client waits for an answer for more than an hour.
MAX_COMMAND_NAME_BYTES = 16  # Bytes of a command's name that are compared.
KEY_HASH_BYTES = 6  # Size of a routing key's hash, which balancer and peers compare.


class CommandForm(NamedTuple):
    """A command's name and its number of arguments, including the name."""

    name: bytes
    argument_count: int


FORM_IDEMPOTENT = CommandForm(b"Q.ASK", 4)  # The command name, key, id and fields; no body.
FORM_OTHER = CommandForm(b"Q.DO", 5)  # The command name, key, id, fields and body.
REQUEST_COMMANDS = (FORM_IDEMPOTENT.name, FORM_OTHER.name)


class CommandParts(NamedTuple):
    """A command as it is sent to endpoints, split around the value of its timeout field ``d``.

    Attributes:
        head: The encoded command up to the fields.
        before_timeout: The fields' text up to ``d=``, not encoded.
        after_timeout: The fields' text behind the value of ``d``, not encoded.
        body: The encoded arguments behind the fields.
    """

    head: bytes
    before_timeout: bytes
    after_timeout: bytes
    body: bytes


class FieldPosition(NamedTuple):
    """Where the value of a field begins and ends."""

    begin: int
    end: int


class RequestFields:
    r"""The fields of a request, ``NAME=VALUE`` separated by commas.

    The text is searched for the fields that this proxy evaluates, and not split: a client may send thousands
    of others, which pass unchanged.

    >>> fields = RequestFields(b"z=\xff,d=480,c=pay,r")
    >>> fields.value("c"), fields.value("r"), fields.value("k"), fields.split_around("d")
    ('pay', '', None, (b'z=\xff,d=', b',c=pay,r'))
    >>> RequestFields(b"c=pay,x=1,c")
    Traceback (most recent call last):
    gatebank.proxy.messages.CommandError: a name stands twice

    Raises:
        CommandError: A field that this proxy evaluates stands twice.
    """

    def __init__(self, text: bytes) -> None:
        self.text = b",%b," % text
        self.positions: dict[str, FieldPosition] = {}
        for name in KNOWN_FIELDS:
            if position := self.find(name.encode()):
                self.positions[name] = position

    def find(self, name: bytes) -> FieldPosition | None:
        """Return where a field's value stands; None without the field."""
        found = None
        for pattern in (b",%b=" % name, b",%b," % name):  # A field may have no value.
            start = self.text.find(pattern)
            if start < 0:
                continue
            if found or self.text.find(pattern, start + 1) >= 0:
                raise CommandError("a name stands twice")
            begin = start + len(pattern) - pattern.endswith(b",")
            found = FieldPosition(begin, self.text.index(b",", begin))
        return found

    def value(self, name: str) -> str | None:
        """Return a field's value; None without the field."""
        if not (position := self.positions.get(name)):
            return None
        return self.text[position.begin : position.end].decode("utf-8", "surrogateescape")

    def split_around(self, name: str) -> tuple[bytes, bytes]:
        """Return the text before and after a field's value."""
        position = self.positions[name]
        return self.text[1 : position.begin], self.text[position.end : -1]


@dataclass(slots=True)
class Resp2Request(ClientRequest):
    """A request that is sent to endpoints as it was received, except for the value of ``d``."""

    parts: CommandParts

    def command(self, timeout: float) -> bytes:
        r"""Encode the request for an endpoint that has ``timeout`` seconds to answer.

        >>> arguments = (b"Q.DO", b"k", b"id", b"z=\xff,d=480,c=pay,z=1", b"body")
        >>> classes = {"pay": RequestClassRef(0, RetrySafety.NON_IDEMPOTENT)}
        >>> parse_request([memoryview(argument) for argument in arguments], classes, {}).command(0.25)[29:]
        b'$19\r\nz=\xff,d=250,c=pay,z=1\r\n$4\r\nbody\r\n'
        """
        head, before, after, body = self.parts
        fields = b"%b%d%b" % (before, max(1, int(timeout * 1000)), after)
        return b"".join((head, *codec.encode_bulk_string(fields), body))


def parse_request(
    arguments: Sequence[memoryview], classes: Mapping[str, RequestClassRef], tenants: Mapping[str, int]
) -> Resp2Request:
    """Parse the command of a request.

    Args:
        arguments: The command's strings, its name first; slices that are valid during this call.
        classes: Request classes by name.
        tenants: Indices of tenants by name; empty where the settings have no tenants.

    Raises:
        CommandError: The command does not have the form that PROTOCOL defines.
    """
    if len(arguments) < 4 or not arguments[1] or not arguments[2]:
        raise CommandError("a command needs a key, an id and names and values")
    fields = RequestFields(bytes(arguments[3]))
    request_class = find_request_class(arguments, fields, classes, tenants)
    timeout_ms = parse_positive_number(fields.value("d"))
    if not timeout_ms or timeout_ms > MAX_TIMEOUT_MS:
        raise CommandError("d is no time")
    cost_hint_us = parse_positive_number(fields.value("h"))
    parts = split_at_timeout(arguments, fields)
    return Resp2Request(
        id=bytes(arguments[2]),
        request_class=request_class.class_index,
        tenant=tenants.get(fields.value("t") or "", 0),
        timeout=timeout_ms / 1e3,
        cost_hint=cost_hint_us / 1e6 if cost_hint_us else None,
        key=int.from_bytes(blake2b(arguments[1], digest_size=KEY_HASH_BYTES).digest(), "big"),
        is_client_retry=fields.value("r") == "1",
        parts=parts,
        size=sum(map(len, parts)),
    )


def find_request_class(
    arguments: Sequence[memoryview],
    fields: RequestFields,
    classes: Mapping[str, RequestClassRef],
    tenants: Mapping[str, int],
) -> RequestClassRef:
    """Return the command's request class.

    Raises:
        CommandError: The class or the tenant is unknown, or the command's form or its idempotency key does
            not suit the class.
    """
    class_name = fields.value("c")
    request_class = None if class_name is None else classes.get(class_name)
    if request_class is None:
        raise CommandError("no such workload")
    if tenants and fields.value("t") not in tenants:
        raise CommandError("no such tenant")
    form = FORM_IDEMPOTENT if request_class.retry_safety is RetrySafety.IDEMPOTENT else FORM_OTHER
    if (command_name(arguments), len(arguments)) != form:
        raise CommandError("this workload takes another command, or a body where there is none")
    if request_class.retry_safety is RetrySafety.KEYED and not fields.value("k"):
        raise CommandError("a ticketed invocation needs its ticket")
    return request_class


def command_name(arguments: Sequence[memoryview]) -> bytes:
    """Return the command's name in upper case; clients may write the name in lower case."""
    return bytes(arguments[0][:MAX_COMMAND_NAME_BYTES]).upper()


def split_at_timeout(arguments: Sequence[memoryview], fields: RequestFields) -> CommandParts:
    """Copy a command in parts around the value of ``d``."""
    before, after = fields.split_around("d")
    return CommandParts(
        b"*%d\r\n" % len(arguments) + codec.encode_bulk_strings(arguments[:3]),
        before,
        after,
        codec.encode_bulk_strings(arguments[4:]),
    )


def parse_positive_number(text: str | None) -> float | None:
    r"""Parse plain digits with an optional fraction.

    Returns:
        The number; None for no text, zero, and every other notation that `float` accepts.

    >>> parse_positive_number("480"), parse_positive_number("0.5"), parse_positive_number("0")
    (480.0, 0.5, None)
    >>> refused = ("nan", "-1", "1_0", " 1", "1e5", "\u0661", "", None)
    >>> [text for text in refused if parse_positive_number(text) is not None]
    []
    """
    integer, _, fraction = (text or "").partition(".")
    if (
        not (integer + fraction).isascii()
        or not integer.isdigit()
        or not (fraction.isdigit() or integer == text)
    ):
        return None
    return float(text or 0) or None
