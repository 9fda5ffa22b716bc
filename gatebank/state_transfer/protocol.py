r"""The protocol of a state transfer's connection, in frames. No I/O: bytes in, typed messages out.

A frame consists of a length of four bytes (big-endian; the number of bytes that follow), a kind of one byte
and a body in msgpack. Each side sends a hello. The receiver sends a request. The source replies either with
parts, by descending priority, and an end, or with a refusal that holds the delay until the next attempt.
Each part can be decoded without the others, so the parts that arrived before a lost connection can be used.

>>> source = Conversation(Hello(name="s", deployment="x", incarnation=1))
>>> receiver = Conversation(Hello(name="r", deployment="x", incarnation=2))
>>> refusal = encode_frame(FrameKind.REFUSE, Refusal(retry_after=0.5))
>>> [type(message).__name__ for message in receiver.feed(source.hello() + refusal)]
['Hello', 'Refusal']
>>> receiver.feed(b"\xff\xff\xff\xff\x01")
Traceback (most recent call last):
gatebank.state_transfer.protocol.TransferProtocolError: invalid frame length of 4294967295 bytes
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

# Maximum bytes of a frame: a part has about 64 KiB and exceeds that by at most its last item, of any kind.
MAX_FRAME_BYTES = 1 << 20
# Maximum bytes of one transfer: 10,000 endpoints take 2 MB.
MAX_TRANSFER_BYTES = 64 << 20
# Size in bytes at which a part is complete: large enough for little overhead per part, small enough that the
# loss of one part costs little.
PART_BYTES = 1 << 16
LENGTH_BYTES = 4


class FrameKind(IntEnum):
    """The kind byte of a frame; frames of other kinds belong to a later version and are skipped."""

    HELLO = 1
    ASK = 2
    PART = 3
    END = 4
    REFUSE = 5


class TransferProtocolError(GatebankError):
    """The peer violates the protocol.

    Attributes:
        reason: Description of the violation.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Hello(msgspec.Struct, kw_only=True):
    """The first message of each side, which identifies the sender.

    Attributes:
        name: Name of the sending instance.
        deployment: Id of the deployment, see `deployment_id`.
        incarnation: Random number of the sender's start.
        uptime: Seconds since the sender's start.
        version: Version of the stored form that the sender writes.
    """

    name: Name
    deployment: Name
    incarnation: Number = field(default=0, name="life")
    uptime: Age = field(default=0.0, name="fresh")
    version: Annotated[int, Meta(ge=0, le=1_000_000)] = field(default=FORMAT_VERSION, name="form")


class Ask(msgspec.Struct, kw_only=True):
    """The receiver's request for at most ``max_bytes`` bytes of parts."""

    max_bytes: Annotated[int, Meta(ge=0, le=MAX_TRANSFER_BYTES)] = field(
        default=MAX_TRANSFER_BYTES, name="most"
    )


class Refusal(msgspec.Struct, kw_only=True):
    """The source sends no items now; the receiver may ask again after ``retry_after`` seconds."""

    retry_after: Annotated[float, Meta(ge=0, le=3600)] = field(default=1.0, name="back_in")
    reason: Name = field(default="busy", name="why")


class End(msgspec.Struct, kw_only=True):
    """The end of a complete transfer of ``part_count`` parts."""

    part_count: Annotated[int, Meta(ge=0, le=1_000_000)] = field(default=0, name="parts")


Body = Hello | Ask | End | Refusal
# A message is a decoded body; a part is represented by its items.
Message = Body | list[StateItem]
BODIES: dict[int, type[Body]] = {
    FrameKind.HELLO: Hello,
    FrameKind.ASK: Ask,
    FrameKind.END: End,
    FrameKind.REFUSE: Refusal,
}
ENCODER = msgspec.msgpack.Encoder()


def encode_frame(kind: int, body: Message) -> bytes:
    """Returns a frame; the body of a part is given as a list of items."""
    data = encode_part(body) if isinstance(body, list) else ENCODER.encode(body)
    return (len(data) + 1).to_bytes(LENGTH_BYTES, "big") + bytes((kind,)) + data


class Conversation:
    """Decodes and checks the frames that one side receives; the transfer is complete after an `End`.

    Attributes:
        own: The hello of this side.
        peer: The hello of the peer, once received.
        ended: Whether the transfer is complete.
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
        """Adds received bytes, and returns the messages that are complete with these bytes.

        Raises:
            TransferProtocolError: The peer violated the protocol; the connection must be closed.
            InvalidItemError: A part holds invalid items; the connection must be closed.
        """
        self.buffer += data
        self.total_bytes += len(data)
        if self.total_bytes > MAX_TRANSFER_BYTES:
            raise TransferProtocolError(f"more than {MAX_TRANSFER_BYTES} bytes")
        messages: list[Message] = []
        while len(self.buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if not 1 <= size <= MAX_FRAME_BYTES:
                raise TransferProtocolError(f"invalid frame length of {size} bytes")
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
        """Decodes a frame; returns None for a kind of a later version. Raises the same errors as `feed`."""
        if self.peer is None and kind != FrameKind.HELLO:
            raise TransferProtocolError("frame received before the hello")
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
                raise TransferProtocolError(f"received {self.part_count} parts of {message.part_count}")
        return message

    def check_hello(self, hello: Hello) -> None:
        """Stores the peer's hello if both sides have the same deployment and compatible versions."""
        if self.peer is not None:
            raise TransferProtocolError("second hello received")
        if hello.deployment != self.own.deployment:
            raise TransferProtocolError(f"peer belongs to another deployment ({hello.deployment})")
        if hello.version not in READABLE_VERSIONS:
            raise TransferProtocolError(
                f"peer has form {hello.version}; readable forms are {READABLE_VERSIONS}"
            )
        self.peer = hello


def deployment_id(settings: Settings) -> str:
    """Returns an id of the settings that both sides must share: request classes, machine kinds and zones.

    The order of the names matters.

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
