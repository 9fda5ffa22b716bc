r"""The conversation on a state transfer's connection, in frames. No I/O: bytes in, typed messages out.

A frame is four bytes of length (big-endian, of what follows), one byte of kind, and a body in msgpack. Each
side sends a hello. The receiver asks; the source sends parts, the most valuable first, and an end, or a
refusal that says when to come back. Every part is complete by itself, so what arrived before a connection
was lost can be used.

>>> source = Conversation(Hello(name="s", deployment="x", incarnation=1))
>>> receiver = Conversation(Hello(name="r", deployment="x", incarnation=2))
>>> refusal = encode_frame(FrameKind.REFUSE, Refusal(retry_after=0.5))
>>> [type(message).__name__ for message in receiver.feed(source.hello() + refusal)]
['Hello', 'Refusal']
>>> receiver.feed(b"\xff\xff\xff\xff\x01")
Traceback (most recent call last):
gatebank.state_transfer.protocol.TransferProtocolError: a frame claims 4294967295 bytes
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, field

from gatebank.errors import GatebankError
from gatebank.settings import Settings
from gatebank.state_transfer.items import (
    FORMAT_VERSION,
    READABLE_VERSIONS,
    Age,
    Name,
    Number,
    StateItem,
    decode_part,
    encode_part,
)

# Bytes of a frame: a part has some 64 KiB, and one item of any kind fits in behind it.
MAX_FRAME_BYTES = 1 << 20
# Bytes of one transfer: ten thousand endpoints take 2 MB.
MAX_TRANSFER_BYTES = 64 << 20
# Bytes after which a part is sent: large enough to cost little, small enough that a lost one costs little.
PART_BYTES = 1 << 16
LENGTH_BYTES = 4


class FrameKind(IntEnum):
    """The kind byte of a frame; frames of other kinds are of a later version, and skipped."""

    HELLO = 1
    ASK = 2
    PART = 3
    END = 4
    REFUSE = 5


class TransferProtocolError(GatebankError):
    """The other side does not speak as it should.

    Attributes:
        reason: what it did.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Hello(msgspec.Struct, kw_only=True):
    """Who speaks.

    Attributes:
        deployment: see `deployment_id`.
        uptime: seconds since its start.
        version: version of the items' form that it writes.
    """

    name: Name
    deployment: Name
    incarnation: Number = field(default=0, name="life")
    uptime: Age = field(default=0.0, name="fresh")
    version: Annotated[int, Meta(ge=0, le=1_000_000)] = field(default=FORMAT_VERSION, name="form")


class Ask(msgspec.Struct, kw_only=True):
    """The receiver asks for at most so many bytes of parts."""

    max_bytes: Annotated[int, Meta(ge=0, le=MAX_TRANSFER_BYTES)] = field(
        default=MAX_TRANSFER_BYTES, name="most"
    )


class Refusal(msgspec.Struct, kw_only=True):
    """The source sends nothing now; `retry_after` is in seconds."""

    retry_after: Annotated[float, Meta(ge=0, le=3600)] = field(default=1.0, name="back_in")
    reason: Name = field(default="busy", name="why")


class End(msgspec.Struct, kw_only=True):
    """The transfer is complete with so many parts."""

    part_count: Annotated[int, Meta(ge=0, le=1_000_000)] = field(default=0, name="parts")


Body = Hello | Ask | End | Refusal
Message = Body | list[StateItem]  # the items of a part
BODIES: dict[int, type[Body]] = {
    FrameKind.HELLO: Hello,
    FrameKind.ASK: Ask,
    FrameKind.END: End,
    FrameKind.REFUSE: Refusal,
}
ENCODER = msgspec.msgpack.Encoder()


def encode_frame(kind: int, body: Message) -> bytes:
    """Returns a frame; the body of a part is its items."""
    data = encode_part(body) if isinstance(body, list) else ENCODER.encode(body)
    return (len(data) + 1).to_bytes(LENGTH_BYTES, "big") + bytes((kind,)) + data


class Conversation:
    """One side's reading of the other; it is over once an `End` has come.

    Attributes:
        own: the hello of this side.
        peer: that of the other side, once it has come.
        ended: whether the transfer is complete.
    """

    def __init__(self, own: Hello) -> None:
        self.own = own
        self.peer: Hello | None = None
        self.ended = False
        self.buffer = bytearray()
        self.total_bytes = 0
        self.part_count = 0

    def hello(self) -> bytes:
        """Returns this side's hello as a frame."""
        return encode_frame(FrameKind.HELLO, self.own)

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Returns the messages that are complete with these bytes.

        Raises:
            TransferProtocolError: the connection is of no more use.
            InvalidItemError: likewise, because of the items of a part.
        """
        self.buffer += data
        self.total_bytes += len(data)
        if self.total_bytes > MAX_TRANSFER_BYTES:
            raise TransferProtocolError(f"more than {MAX_TRANSFER_BYTES} bytes")
        messages: list[Message] = []
        while len(self.buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if not 1 <= size <= MAX_FRAME_BYTES:
                raise TransferProtocolError(f"a frame claims {size} bytes")
            end = LENGTH_BYTES + size
            if len(self.buffer) < end:
                break
            kind = self.buffer[LENGTH_BYTES]
            body = bytes(self.buffer[LENGTH_BYTES + 1 : end])
            del self.buffer[:end]
            message = self.decode(kind, body)
            if message is not None:
                messages.append(message)
        return messages

    def decode(self, kind: int, body: bytes) -> Message | None:
        """Returns the message of a frame, None for one of a later version; raises as `feed` does."""
        if self.peer is None and kind != FrameKind.HELLO:
            raise TransferProtocolError("it did not say who it is")
        if kind == FrameKind.PART:
            self.part_count += 1
            return decode_part(body)
        if kind not in BODIES:
            return None
        try:
            message: Body = msgspec.msgpack.decode(body, type=BODIES[kind])
        except (msgspec.DecodeError, RecursionError) as error:
            raise TransferProtocolError(str(error)) from None
        if isinstance(message, Hello):
            self.check_hello(message)
        elif isinstance(message, End):
            self.ended = True
            if message.part_count != self.part_count:
                raise TransferProtocolError(f"{self.part_count} parts came of {message.part_count}")
        return message

    def check_hello(self, hello: Hello) -> None:
        """Keeps the other side's hello if both sides can understand each other."""
        if self.peer is not None:
            raise TransferProtocolError("it said twice who it is")
        if hello.deployment != self.own.deployment:
            raise TransferProtocolError(f"it is of another deployment ({hello.deployment})")
        if hello.version not in READABLE_VERSIONS:
            raise TransferProtocolError(f"its form {hello.version} is none of {READABLE_VERSIONS}")
        self.peer = hello


def deployment_id(settings: Settings) -> str:
    """Returns an id of what both sides must share: request classes, machine kinds and zones, in their order.

    >>> from dataclasses import replace
    >>> one = Settings(kinds=["m"], zones=["z"])
    >>> deployment_id(one) == deployment_id(replace(one))
    True
    >>> deployment_id(one) == deployment_id(replace(one, zones=["y"]))
    False
    """
    names = [
        [request_class.name for request_class in settings.request_classes],
        list(settings.kinds),
        list(settings.zones),
    ]
    return blake2b(ENCODER.encode(names), digest_size=8).hexdigest()
