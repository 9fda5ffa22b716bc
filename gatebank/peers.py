"""The words that marshals send each other, and their bytes. Encoding only: what is said is for the brain.

A step is one LLR's message of the design: sign and rounded size as one signed level, and the outcomes since
the last. Totals are a sender's whole sums and what it does: first tries a second, shots out, and by workload
shots satisfied a second and the time they took. Fleet is the same of all marshals together. ``life`` tells
one start of a marshal from others.

>>> step = Step(life=7, build=42, stage=1, ratio=0, level=-3, seen=12, mark=513)
>>> decode(encode(step)) == step, len(encode(step))
(True, 12)
>>> totals = Totals(7, 42, 1, rate=12.5, out=3, done=[(8.5, 0.25)], sums={0: (-1.25, 40), 4: (0.5, 3)})
>>> decode(encode(Fleet(360.0, 120.0, [(350.0, 0.25), (9.5, 2.0)]))), len(encode(totals))
(Fleet(rate=360.0, out=120.0, done=[(350.0, 0.25), (9.5, 2.0)]), 25)
>>> decode(encode(totals)) == totals, decode(encode(totals)[:-1]), decode(b"")
(True, None, None)
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

HEAD, STEP = struct.Struct("<BHHB"), struct.Struct("<BbHH")
DOES, ROW, DONE, FLEET = (struct.Struct(form) for form in ("<eeB", "<BeH", "<ee", "<Bff"))
IS_STEP, ARE_TOTALS, IS_FLEET = 1, 2, 3
MOST_BYTES, MOST = 256, 65000.0  # the largest number in two bytes


@dataclass(slots=True, frozen=True)
class Step:
    life: int
    build: int
    stage: int
    ratio: int
    level: int
    seen: int
    mark: int


@dataclass(slots=True, frozen=True)
class Totals:
    life: int
    build: int
    stage: int
    rate: float
    out: float
    done: list[tuple[float, float]]
    sums: dict[int, tuple[float, int]]


@dataclass(slots=True, frozen=True)
class Fleet:
    rate: float
    out: float
    done: list[tuple[float, float]]


def mark(name: str) -> int:
    """The number that all marshals have for a node of this name."""
    return crc32(name.encode()) & 0xFFFF


def together(rows: list[Totals]) -> Fleet:
    """The sums of what each does.

    >>> together([Totals(1, 0, 0, 2.0, 1, [(2.0, 0.5)], {}), Totals(2, 0, 0, 1.0, 2, [(1.0, 1.5)], {})])
    Fleet(rate=3.0, out=3, done=[(3.0, 2.0)])
    """
    columns = zip(*(row.done for row in rows), strict=False)
    done = [(sum(shots for shots, _ in each), sum(time for _, time in each)) for each in columns]
    return Fleet(sum(row.rate for row in rows), sum(row.out for row in rows), done)


def encode(word: Step | Totals | Fleet) -> bytes:
    if isinstance(word, Step):
        head = HEAD.pack(IS_STEP, word.life, word.build, word.stage)
        return head + STEP.pack(word.ratio, word.level, min(word.seen, 65535), word.mark)
    done = b"".join(DONE.pack(*(min(MOST, number) for number in each)) for each in word.done[:32])
    if isinstance(word, Fleet):
        return FLEET.pack(IS_FLEET, word.rate, word.out) + done
    sums = [ROW.pack(r, max(-MOST, min(MOST, v)), min(seen, 65535)) for r, (v, seen) in word.sums.items()]
    head = HEAD.pack(ARE_TOTALS, word.life, word.build, word.stage)
    does = DOES.pack(min(MOST, word.rate), min(MOST, word.out), len(done) // DONE.size)
    room = (MOST_BYTES - len(head + does + done)) // ROW.size
    return head + does + done + b"".join(sums[:room])


def decode(data: bytes) -> Step | Totals | Fleet | None:
    """The word, or None where the bytes are malformed or hold what no marshal would send."""
    try:
        if data[:1] == bytes((IS_FLEET,)):
            _, rate, out = FLEET.unpack_from(data)
            done = list(DONE.iter_unpack(data[FLEET.size :]))
            return Fleet(rate, out, done) if sound(rate, out, *sum(done, ())) else None
        tag, life, build, stage = HEAD.unpack_from(data)
        if tag == IS_STEP:
            ratio, level, seen, mark = STEP.unpack(data[HEAD.size :])
            return Step(life, build, stage, ratio, level, seen, mark) if level else None
        if tag != ARE_TOTALS:
            return None
        rate, out, many = DOES.unpack_from(data, HEAD.size)
        rest = data[HEAD.size + DOES.size :]
        done = list(DONE.iter_unpack(rest[: many * DONE.size]))
        rows = list(ROW.iter_unpack(rest[many * DONE.size :]))
    except struct.error:
        return None
    if not sound(rate, out, *sum(done, ()), *(abs(value) for _, value, _ in rows)):
        return None
    return Totals(life, build, stage, rate, out, done, {ratio: (value, seen) for ratio, value, seen in rows})


def sound(*numbers: float) -> bool:
    return all(0 <= number < 1e6 for number in numbers)
