"""What must not stand in a recording, replaced. No I/O.

Where something is hidden, each direction of a connection is read as RESP2 and written anew: lengths fit what
stands there, so that any tool, and `gatebank capture`, reads it. What can't be read so, or lies behind bytes
that were not recorded, is left out: an unread byte may belong to an idempotency key.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from gatebank.capture.records import BODY, PARAMETERS
from gatebank.proxy.resp2 import codec as resp

MAX_MESSAGE_BYTES = (
    4 << 20
)  # of a message that is written anew: behind a larger one its direction is left out
HASH_BYTES = 16  # of a hash in a value's place: two values never share one in practice
MAX_HASH_KEY_BYTES = 64  # that blake2b takes
NULL = b"$-1\r\n"


@dataclass(slots=True, frozen=True)
class Redaction:
    """What does not stand in the file as it was.

    Attributes:
        bodies: What happens to bodies and values: "whole", "cut" or "hashed".
        body_bytes: How many bytes are left of those that are cut.
        idempotency_keys: Idempotency keys are replaced by hashes.
        tenants: Tenants are replaced by hashes.
        hash_key: The key of all hashes.
    """

    bodies: str = "whole"
    body_bytes: int = 0
    idempotency_keys: bool = False
    tenants: bool = False
    hash_key: bytes = b""

    @property
    def hides_nothing(self) -> bool:
        """Whether all bytes stand in the file as they were."""
        return self.bodies == "whole" and not self.idempotency_keys and not self.tenants

    def value(self, value: bytes) -> bytes:
        """What stands in the place of a body or a value.

        >>> Redaction("cut", 3).value(b"secret"), Redaction("hashed").value(b"secret")[:16]
        (b'sec', b'hidden:6:8f64bfc')
        """
        if self.bodies == "cut":
            return value[: self.body_bytes]
        if self.bodies == "hashed":
            return b"hidden:%d:%b" % (len(value), self._hash(value))
        return value

    def parameters(self, parameters: bytes) -> bytes:
        """What stands in the place of a command's parameters.

        >>> redaction = Redaction(idempotency_keys=True, tenants=True, hash_key=b"k" * 16)
        >>> redaction.parameters(b"c=pay,t=all,d=5,k=1f")[:16]
        b'c=pay,t=0f7a66a4'
        """
        return b",".join(map(self._parameter, parameters.split(b",")))

    def command(self, arguments: list[bytes]) -> bytes:
        """The command as it stands in the file, with its framing."""
        shown = list(arguments)
        if len(shown) > PARAMETERS:
            shown[PARAMETERS] = self.parameters(shown[PARAMETERS])
        shown[BODY:] = map(self.value, shown[BODY:])
        return resp.encode_command(shown)

    def reply(self, reply: resp.Reply) -> bytes:
        """The response as it stands in the file, with its framing."""
        if reply.type_byte == "*":
            return self._array(reply.values)
        word = reply.values[0]
        if reply.type_byte == "$":
            return NULL if word is None else b"".join(resp.encode_bulk_string(self.value(bytes(word))))
        return reply.type_byte.encode() + bytes(word or b"") + b"\r\n"

    def _array(self, values: list[memoryview | None]) -> bytes:
        """An endpoint's response: its first word is the value."""
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
    """One direction of a connection, written anew; what is not complete of a message waits.

    Args:
        redaction: What is hidden.
        has_commands: It carries commands; else responses.

    Attributes:
        is_left_out: Nothing of it is recorded any more.
    """

    def __init__(self, redaction: Redaction, has_commands: bool) -> None:
        self.is_left_out = False
        self._redaction = redaction
        self._has_commands = has_commands
        self._rest = b""

    def leave_out(self) -> None:
        """Records nothing more of it: where a message begins is not known any more."""
        self.is_left_out = True
        self._rest = b""

    def redact(self, data: bytes) -> bytes:
        """What stands in the file for these bytes: all messages that are complete with them."""
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
