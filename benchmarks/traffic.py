"""Generated captures for measurements: exchanges of customers with a marshal, in pcapng."""

from __future__ import annotations

import random
from collections.abc import Iterator

from gatebank.capture import writing
from gatebank.fakes.clients import invocation
from gatebank.proxy.resp2 import codec as resp

START = 1_700_000_000_000_000_000
ETHERNET = bytes(12) + b"\x08\x00"
STEP = 500_000  # ns between a command and its answer


def capture(
    exchanges: int, value: int, segment: int = 32_768, swapped: float = 0.0, lines: int = 50, seed: int = 1
) -> Iterator[bytes]:
    """Blocks of a file: so many exchanges, values of so many bytes, in segments of at most ``segment``. A
    share ``swapped`` of the packets comes behind the one that follows."""
    chance, at = random.Random(seed), START
    yield writing.section() + writing.interface("customers", 1)
    talks = [
        writing.Conversation(
            (("127.0.0.1", 20_000 + number), ("127.0.0.2", 6379)),
            (chance.getrandbits(32), chance.getrandbits(32)),
        )
        for number in range(lines)
    ]
    held: bytes | None = None
    body = bytes(chance.choices(b"abcdefgh", k=value))

    def block(raw: bytes) -> Iterator[bytes]:
        nonlocal held
        one = writing.packet(0, at, ETHERNET + raw)
        if held is not None:
            yield one
            one, held = held, None
        elif swapped and chance.random() < swapped:
            held = one
            return
        yield one

    def say(talk: writing.Conversation, side: int, data: bytes) -> Iterator[bytes]:
        for start in range(0, len(data), segment):
            for raw in talk.say(side, data[start : start + segment]):
                yield from block(raw)

    for talk in talks:
        for raw in talk.open():
            yield from block(raw)
    for _ in range(exchanges):
        talk = chance.choice(talks)
        yield from say(talk, 0, resp.command(invocation(chance)))
        at += STEP
        yield from say(talk, 1, b"$%d\r\n%b\r\n" % (len(body), body))
        at += STEP
    for talk in talks:
        for raw in talk.close(0, False):
            yield from block(raw)


def pieces(blocks: Iterator[bytes], size: int = 1 << 18) -> Iterator[bytes]:
    """Joined into reads of about that size."""
    parts, held = [], 0
    for each in blocks:
        parts.append(each)
        held += len(each)
        if held >= size:
            yield b"".join(parts)
            parts, held = [], 0
    yield b"".join(parts)
