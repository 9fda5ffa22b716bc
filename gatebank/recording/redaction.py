"""Replaces values that must not be recorded. No I/O.

If a recording hides values, each direction of a connection is parsed as RESP2 and encoded again with the
replaced values and their lengths, so that `gatebank capture` and other tools can read the file. Bytes that
cannot be parsed, and all bytes after unrecorded ones, are left out: they may belong to an idempotency key.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from gatebank.capture.records import BODY, PARAMETERS
from gatebank.proxy.resp2 import codec as resp

# Maximum size of a parsed message; a larger message and all later bytes of its direction are left out.
MAX_MESSAGE_BYTES = 4 << 20
HASH_BYTES = 16  # Length of a hash; long enough to make collisions negligible.
MAX_HASH_KEY_BYTES = 64  # Maximum key length of blake2b.
NULL = b"$-1\r\n"


@dataclass(slots=True, frozen=True)
class Redaction:
    """Defines which values are replaced in a recording, and how.

    Attributes:
        bodies: How bodies and values are recorded: "whole", "cut" or "hashed".
        body_bytes: Number of bytes kept of a body or value that is cut.
        idempotency_keys: Whether idempotency keys are replaced by hashes.
        tenants: Whether tenants are replaced by hashes.
        hash_key: The key of all hashes.
    """

    bodies: str = "whole"
    body_bytes: int = 0
    idempotency_keys: bool = False
    tenants: bool = False
    hash_key: bytes = b""

    @property
    def hides_nothing(self) -> bool:
        """Whether all bytes are recorded unchanged."""
        return self.bodies == "whole" and not self.idempotency_keys and not self.tenants

    def value(self, value: bytes) -> bytes:
        """Return the replacement for a body or a value.

        >>> Redaction("cut", 3).value(b"secret"), Redaction("hashed").value(b"secret")[:16]
        (b'sec', b'hidden:6:8f64bfc')
        """
        if self.bodies == "cut":
            return value[: self.body_bytes]
        if self.bodies == "hashed":
            return b"hidden:%d:%b" % (len(value), self._hash(value))
        return value

    def parameters(self, parameters: bytes) -> bytes:
        """Return a command's parameters with the hidden values replaced.

        >>> redaction = Redaction(idempotency_keys=True, tenants=True, hash_key=b"k" * 16)
        >>> redaction.parameters(b"c=pay,t=all,d=5,k=1f")[:16]
        b'c=pay,t=0f7a66a4'
        """
        return b",".join(map(self._parameter, parameters.split(b",")))

    def command(self, arguments: list[bytes]) -> bytes:
        """Encode the command with the hidden values replaced."""
        shown = list(arguments)
        if len(shown) > PARAMETERS:
            shown[PARAMETERS] = self.parameters(shown[PARAMETERS])
        shown[BODY:] = map(self.value, shown[BODY:])
        return resp.encode_command(shown)

    def reply(self, reply: resp.Reply) -> bytes:
        """Encode the reply with the hidden values replaced."""
        if reply.type_byte == "*":
            return self._array(reply.values)
        word = reply.values[0]
        if reply.type_byte == "$":
            return NULL if word is None else b"".join(resp.encode_bulk_string(self.value(bytes(word))))
        return reply.type_byte.encode() + bytes(word or b"") + b"\r\n"

    def _array(self, values: list[memoryview | None]) -> bytes:
        """Encode an endpoint's reply, an array whose first element is the value."""
        parts: list[bytes | memoryview] = [b"*%d\r\n" % len(values)]
        for place, word in enumerate(values):
            if word is None:
                parts.append(NULL)
            else:
                parts += resp.encode_bulk_string(self.value(bytes(word)) if place == 0 else word)
        return b"".join(parts)

    def _parameter(self, parameter: bytes) -> bytes:
        name, equals, value = parameter.partition(b"=")
        is_hidden = (name == b"t" and self.tenants) or (name == b"k" and self.idempotency_keys)
        return name + equals + (self._hash(value) if is_hidden else value)

    def _hash(self, value: bytes) -> bytes:
        key = self.hash_key[:MAX_HASH_KEY_BYTES]
        return blake2b(value, digest_size=HASH_BYTES, key=key).hexdigest().encode()


class RedactedDirection:
    """Redacts one direction of a connection; keeps an incomplete message until its remaining bytes arrive.

    Args:
        redaction: Defines which values are hidden.
        has_commands: Whether the direction carries commands; otherwise it carries replies.

    Attributes:
        is_left_out: Whether recording of this direction has ended.
    """

    def __init__(self, redaction: Redaction, has_commands: bool) -> None:
        self.is_left_out = False
        self._redaction = redaction
        self._has_commands = has_commands
        self._rest = b""

    def leave_out(self) -> None:
        """End recording of this direction, because the start of the next message is not known."""
        self.is_left_out = True
        self._rest = b""

    def redact(self, data: bytes) -> bytes:
        """Return the redacted form of all messages that ``data`` completes."""
        if self.is_left_out:
            return b""
        inbox = resp.Resp2Buffer.from_bytes(self._rest + data, MAX_MESSAGE_BYTES)
        parts: list[bytes] = []
        try:
            if self._has_commands:
                for arguments in inbox.commands():
                    parts.append(self._redaction.command([bytes(argument) for argument in arguments]))
            else:
                parts.extend(map(self._redaction.reply, inbox.replies()))
        except resp.ProtocolError:
            self.leave_out()
        else:
            self._rest = bytes(inbox.data[inbox.start :])
        return b"".join(parts)
