"""The command of a client as a `ClientRequest`.

A command is checked against the form that PROTOCOL gives, since an endpoint closes on what it can't use, or
rejects it, and neither the endpoint nor its build would be at fault.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from gatebank.events import RetrySafety
from gatebank.proxy.messages import ClientRequest, CommandError, RequestClassRef
from gatebank.proxy.resp2 import codec

# Names that have a meaning here: request class, tenant, deadline, idempotency key, client retry, cost hint.
KNOWN_FIELDS = frozenset(("c", "t", "d", "k", "r", "h"))
MAX_TIMEOUT_MS = 3_600_000  # beyond an hour nobody waits for an answer
MAX_COMMAND_NAME_BYTES = 16  # of a command's name that are looked at
KEY_HASH_BYTES = 6  # of a routing key: what balancer and peers compare


class CommandForm(NamedTuple):
    """A command's name and its number of arguments, the name included."""

    name: bytes
    argument_count: int


FORM_IDEMPOTENT = CommandForm(b"Q.ASK", 4)  # names and values, and no body
FORM_OTHER = CommandForm(b"Q.DO", 5)
REQUEST_COMMANDS = (FORM_IDEMPOTENT.name, FORM_OTHER.name)


class CommandParts(NamedTuple):
    """A command as it goes to endpoints, but for the figure of ``d``, which is this instance's."""

    head: bytes
    before_timeout: bytes
    after_timeout: bytes
    body: bytes


@dataclass(slots=True)
class Resp2Request(ClientRequest):
    """A request that goes to endpoints as it came, but for the figure of ``d``."""

    parts: CommandParts

    def command(self, timeout: float) -> bytes:
        r"""Encode it for an endpoint that has ``timeout`` seconds for it.

        >>> arguments = (b"Q.DO", b"k", b"id", b"z=\xff,d=480,c=pay,z=1", b"body")
        >>> classes = {"pay": RequestClassRef(0, RetrySafety.NON_IDEMPOTENT)}
        >>> parse_request([memoryview(argument) for argument in arguments], classes, {}).command(0.25)[29:]
        b'$19\r\nz=\xff,d=250,c=pay,z=1\r\n$4\r\nbody\r\n'
        """
        head, before, after, body = self.parts
        names = b"%b%d%b" % (before, max(1, int(timeout * 1000)), after)
        return b"".join((head, *codec.encode_bulk_string(names), body))


def parse_request(
    arguments: Sequence[memoryview], classes: Mapping[str, RequestClassRef], tenants: Mapping[str, int]
) -> Resp2Request:
    """Read a request's command.

    Args:
        arguments: The command's strings, its name first; slices that need not outlive this call.
        classes: Request classes by name.
        tenants: Indices of tenants by name; empty where the settings have none.

    Raises:
        CommandError: The command does not have PROTOCOL's form.
    """
    if len(arguments) < 4 or not arguments[1] or not arguments[2]:
        raise CommandError("a command needs a key, an id and names and values")
    texts = bytes(arguments[3]).decode("utf-8", "surrogateescape").split(",")  # unknown names pass unchanged
    pairs = [text.partition("=")[::2] for text in texts]
    values = dict(pairs)
    if sum(name in KNOWN_FIELDS for name, _ in pairs) > len(KNOWN_FIELDS & values.keys()):
        raise CommandError("a name stands twice")
    request_class = find_request_class(arguments, values, classes, tenants)
    timeout_ms = parse_positive_number(values.get("d"))
    if not timeout_ms or timeout_ms > MAX_TIMEOUT_MS:
        raise CommandError("d is no time")
    cost_hint_us = parse_positive_number(values.get("h"))
    at = next(index for index, (name, _) in enumerate(pairs) if name == "d")
    parts = split_at_timeout(arguments, texts, at)
    return Resp2Request(
        id=bytes(arguments[2]),
        request_class=request_class.class_index,
        tenant=tenants.get(values.get("t", ""), 0),
        timeout=timeout_ms / 1e3,
        cost_hint=cost_hint_us / 1e6 if cost_hint_us else None,
        key=int.from_bytes(blake2b(arguments[1], digest_size=KEY_HASH_BYTES).digest(), "big"),
        is_client_retry=values.get("r") == "1",
        parts=parts,
        size=sum(map(len, parts)),
    )


def find_request_class(
    arguments: Sequence[memoryview],
    values: Mapping[str, str],
    classes: Mapping[str, RequestClassRef],
    tenants: Mapping[str, int],
) -> RequestClassRef:
    """The command's request class, if tenant, command and idempotency key fit it."""
    request_class = classes.get(values.get("c", ""))
    if request_class is None or "c" not in values:
        raise CommandError("no such workload")
    if tenants and values.get("t") not in tenants:
        raise CommandError("no such tenant")
    form = FORM_IDEMPOTENT if request_class.retry_safety is RetrySafety.IDEMPOTENT else FORM_OTHER
    if (command_name(arguments), len(arguments)) != form:
        raise CommandError("this workload takes another command, or a body where there is none")
    if request_class.retry_safety is RetrySafety.KEYED and not values.get("k"):
        raise CommandError("a ticketed invocation needs its ticket")
    return request_class


def command_name(arguments: Sequence[memoryview]) -> bytes:
    """The command's name, which may be written in small letters."""
    return bytes(arguments[0][:MAX_COMMAND_NAME_BYTES]).upper()


def split_at_timeout(arguments: Sequence[memoryview], texts: Sequence[str], at: int) -> CommandParts:
    """Copy a command round the figure of ``d``, the pair at index ``at``."""
    before = ",".join([*texts[:at], "d="])
    after = ",".join(["", *texts[at + 1 :]])
    return CommandParts(
        b"*%d\r\n" % len(arguments) + codec.encode_bulk_strings(arguments[:3]),
        before.encode("utf-8", "surrogateescape"),
        after.encode("utf-8", "surrogateescape"),
        codec.encode_bulk_strings(arguments[4:]),
    )


def parse_positive_number(text: str | None) -> float | None:
    r"""Plain digits, with a fraction perhaps; None for nothing, zero and all else that a language may take.

    >>> parse_positive_number("480"), parse_positive_number("0.5"), parse_positive_number("0")
    (480.0, 0.5, None)
    >>> noise = ("nan", "-1", "1_0", " 1", "1e5", "\u0661", "", None)
    >>> [text for text in noise if parse_positive_number(text) is not None]
    []
    """
    whole, _, fraction = (text or "").partition(".")
    if not (whole + fraction).isascii() or not whole.isdigit() or not (fraction.isdigit() or whole == text):
        return None
    return float(text or 0) or None
