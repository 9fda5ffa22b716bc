"""The two sides' conversation, in frames. Bytes in, words out; no I/O.

A frame is four bytes of length, one of kind, and a body in msgpack. Each side says hello; the learner asks,
and the donor sends parts, the most valuable first, and an end, or refuses with a time to come back. Every
part is whole by itself, so that what came before a break is right.

>>> donor = Talk(Hello(name="d", deployment="x", life=1))
>>> learner = Talk(Hello(name="l", deployment="x", life=2))
>>> [type(word).__name__ for word in learner.feed(donor.hello() + frame(REFUSE, Refuse(back_in=0.5)))]
['Hello', 'Refuse']
>>> learner.feed(b"\\xff\\xff\\xff\\xff\\x01")
Traceback (most recent call last):
gatebank.state_transfer.protocol.Garbled: a frame claims 4294967295 bytes
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from gatebank.settings import Settings
from gatebank.state_transfer.items import FORMS, VERSION, Age, Known, Name, Number, Unsound, pack, unpack

HELLO, ASK, PART, END, REFUSE = 1, 2, 3, 4, 5
MOST_FRAME = 1 << 20  # bytes: a part is some 64 KiB, and items of any kind fit
MOST_TOTAL = 64 << 20  # bytes of one donation: ten thousand nodes take 2 MB
PART_BYTES = 1 << 16


class Hello(msgspec.Struct, kw_only=True):
    """Who speaks. ``fresh`` is how long it has run: who just began says so."""

    name: Name
    deployment: Name
    life: Number = 0
    fresh: Age = 0.0
    form: Annotated[int, Meta(ge=0, le=1_000_000)] = VERSION


class Ask(msgspec.Struct, kw_only=True):
    """``most`` bytes that the learner takes."""

    most: Annotated[int, Meta(ge=0, le=MOST_TOTAL)] = MOST_TOTAL


class Refuse(msgspec.Struct, kw_only=True):
    back_in: Annotated[float, Meta(ge=0, le=3600)] = 1.0
    why: Name = "busy"


class End(msgspec.Struct, kw_only=True):
    parts: Annotated[int, Meta(ge=0, le=1_000_000)] = 0


class Garbled(Exception):
    """It does not speak as it should; the text says what."""


Word = Hello | Ask | list[Known] | End | Refuse
BODIES: dict[int, Any] = {HELLO: Hello, ASK: Ask, END: End, REFUSE: Refuse}
ENCODER = msgspec.msgpack.Encoder()


def frame(kind: int, body: Any) -> bytes:
    data = pack(body) if kind == PART else ENCODER.encode(body)
    return (len(data) + 1).to_bytes(4, "big") + bytes((kind,)) + data


class Talk:
    """One side's reading of the other."""

    def __init__(self, mine: Hello) -> None:
        self.mine, self.other = mine, None
        self.rest = bytearray()
        self.total = self.parts = 0
        self.ended = False

    def hello(self) -> bytes:
        return frame(HELLO, self.mine)

    def feed(self, data: bytes | memoryview) -> list[Word]:
        """The words that are whole by now; Garbled, or Unsound figures, end the connection."""
        self.rest += data
        self.total += len(data)
        if self.total > MOST_TOTAL:
            raise Garbled(f"more than {MOST_TOTAL} bytes")
        found: list[Word] = []
        while len(self.rest) >= 4:
            size = int.from_bytes(self.rest[:4], "big")
            if not 1 <= size <= MOST_FRAME:
                raise Garbled(f"a frame claims {size} bytes")
            if len(self.rest) < 4 + size:
                break
            kind, body = self.rest[4], bytes(self.rest[5 : 4 + size])
            del self.rest[: 4 + size]
            if (word := self.word(kind, body)) is not None:
                found.append(word)
        return found

    def word(self, kind: int, body: bytes) -> Word | None:
        if self.other is None and kind != HELLO:
            raise Garbled("it did not say who it is")
        try:
            if kind == PART:
                self.parts += 1
                return unpack(body)
            if kind not in BODIES:
                return None  # of a later form
            told = msgspec.msgpack.decode(body, type=BODIES[kind])
        except Unsound:
            raise
        except (msgspec.DecodeError, RecursionError) as trouble:
            raise Garbled(str(trouble)) from None
        if isinstance(told, Hello):
            self.meet(told)
        elif isinstance(told, End):
            self.ended = True
            if told.parts != self.parts:
                raise Garbled(f"{self.parts} parts came of {told.parts}")
        return told

    def meet(self, told: Hello) -> None:
        if self.other is not None:
            raise Garbled("it said twice who it is")
        if told.deployment != self.mine.deployment:
            raise Garbled(f"it is of another deployment ({told.deployment})")
        if told.form not in FORMS:
            raise Garbled(f"its form {told.form} is none of {FORMS}")
        self.other = told


def deployment(settings: Settings) -> str:
    """A name for the settings that both sides must share: workloads, kinds and zones, in their order.

    >>> from dataclasses import replace
    >>> one = Settings(kinds=["m"], zones=["z"])
    >>> deployment(one) == deployment(replace(one)), deployment(one) == deployment(replace(one, zones=["y"]))
    (True, False)
    """
    names = [
        [each.name for each in settings.request_classes],
        list(settings.kinds),
        list(settings.zones),
    ]
    return blake2b(ENCODER.encode(names), digest_size=8).hexdigest()
