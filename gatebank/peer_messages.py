"""The words that marshals send each other, and their bytes. Encoding only: what is said is for the brain.

A step is one LLR's message of the design: sign and rounded size as one signed level, and the outcomes since
the last. Totals are a sender's whole sums and what it does: first tries a second, shots out, and by workload,
kind of machine and side (below) shots satisfied a second, the time they took and the time of those given up.
Fleet is the same of all marshals together, with its sender's verdict on a build at a stage. ``life`` tells
one start of a marshal from others.

>>> step = LlrDelta(life=7, build=42, stage=1, ratio=0, level=-3, seen=12, mark=513)
>>> decode(encode(step)) == step, len(encode(step))
(True, 12)
>>> does = {(0, 1, ON_TRIAL): (8.5, 0.25, 0.0)}
>>> totals = InstanceReport(7, 42, 1, rate=12.5, out=3, done=does, sums={0: (-1.25, 40), 4: (0.5, 3)})
>>> decode(encode(FleetReport(360.0, 120.0, does, 42, 1, 3))), len(encode(totals))
(FleetReport(rate=360.0, out=120.0, done={(0, 1, 1): (8.5, 0.25, 0.0)}, build=42, stage=1, verdict=3), 29)
>>> decode(encode(totals)) == totals, decode(encode(totals)[:-1]), decode(b"")
(True, None, None)
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from itertools import chain, islice
from zlib import crc32

HEAD, STEP = struct.Struct("<BHHB"), struct.Struct("<BbHH")
DOES, ROW, DONE, FLEET = (struct.Struct(form) for form in ("<eeB", "<BeH", "<BBeee", "<BffHBB"))
IS_STEP, ARE_TOTALS, IS_FLEET = 1, 4, 6  # 2, 3, 5 were these without kind, side, verdict: dropped, counted
MOST_VERDICT = 3
MOST_BYTES, MOST = 256, 65000.0  # the largest number in two bytes
EARLIER, ON_TRIAL, COLD = 0, 1, 2  # sides: an earlier build, the one on trial, any that started just now
Done = dict[tuple[int, int, int], tuple[float, float, float]]  # by workload, kind and side


@dataclass(slots=True, frozen=True)
class LlrDelta:
    life: int
    build: int  # the last 16 bits of its number, as in the words below
    stage: int
    ratio: int
    level: int
    seen: int
    mark: int


@dataclass(slots=True, frozen=True)
class InstanceReport:
    life: int
    build: int
    stage: int
    rate: float
    out: float
    done: Done
    sums: dict[int, tuple[float, int]]


@dataclass(slots=True, frozen=True)
class FleetReport:
    rate: float
    out: float
    done: Done
    build: int = 0
    stage: int = 0
    verdict: int = 0  # interface.Verdict

    def by_workload(self, many: int) -> list[tuple[float, float]]:
        """Answers a second and the time they took.

        >>> FleetReport(9.0, 1.0, {(1, 0, 1): (2.0, 0.5, 3.0), (1, 1, 0): (1.0, 0.5, 0.0)}).by_workload(2)
        [(0.0, 0.0), (3.0, 1.0)]
        """
        rows = [[row for (w, _, _), row in self.done.items() if w == each] for each in range(many)]
        return [(sum((row[0] for row in each), 0.0), sum((row[1] for row in each), 0.0)) for each in rows]

    def usual(self, least: float) -> dict[tuple[int, int], tuple[float, float]]:
        """The earlier build's times by workload and kind, and with what is lost: nodes' time an answer. Where
        it has fewer answers a second than ``least`` nothing is usual."""
        rows = {key[:2]: row for key, row in self.done.items() if key[2] == EARLIER and row[0] >= least}
        return {key: (row[1] / row[0], (row[1] + row[2]) / row[0]) for key, row in rows.items()}

    def slowness(self, usual: dict[tuple[int, int], tuple[float, float]], least: float) -> float:
        """The time an answer takes the build on trial over the usual one; 0 where too little is known
        of either.

        >>> here, there, cold = (0, 0, EARLIER), (0, 0, ON_TRIAL), (0, 0, COLD)
        >>> rows = {here: (9.0, 1.8, 0.0), there: (4.0, 0.8, 0.8), cold: (4.0, 9.0, 0.0)}
        >>> fleet = FleetReport(9.0, 1.0, rows)
        >>> fleet.slowness(fleet.usual(1.0), 1.0), fleet.slowness({}, 1.0)
        (2.0, 0.0)
        """
        answers = took = due = 0.0
        for (w, kind, side), row in self.done.items():
            if side == ON_TRIAL and (w, kind) in usual:
                answers, took = answers + row[0], took + row[1] + row[2]
                due += row[0] * usual[w, kind][1]
        return took / due if answers >= least and due > 0 else 0.0


PeerMessage = LlrDelta | InstanceReport | FleetReport


def name_hash(name: str) -> int:
    """The number that all marshals have for a node of this name."""
    return crc32(name.encode()) & 0xFFFF


def together(rows: list[InstanceReport], verdict: int = 0) -> FleetReport:
    """The sums of what each does, and a verdict on what the last judges.

    >>> one, two = {(0, 0, 0): (2.0, 0.5, 0.0)}, {(0, 0, 0): (1.0, 1.5, 3.0)}
    >>> together([InstanceReport(1, 0, 0, 2.0, 1, one, {}), InstanceReport(2, 7, 1, 1.0, 2, two, {})], 1)
    FleetReport(rate=3.0, out=3, done={(0, 0, 0): (3.0, 2.0, 3.0)}, build=7, stage=1, verdict=1)
    """
    done: Done = {}
    for row in rows:
        for key, figures in row.done.items():
            was = done.get(key, (0.0, 0.0, 0.0))
            done[key] = (was[0] + figures[0], was[1] + figures[1], was[2] + figures[2])
    rate, out = sum(row.rate for row in rows), sum(row.out for row in rows)
    return FleetReport(rate, out, done, rows[-1].build, rows[-1].stage, verdict)


def short(build: int) -> int:
    """A build's number as words hold it.

    >>> decode(encode(LlrDelta(7, 20261202, 0, 0, 1, 1, 1))).build == short(20261202)
    True
    """
    return build & 0xFFFF


def encode(word: PeerMessage) -> bytes:
    if isinstance(word, LlrDelta):
        head = HEAD.pack(IS_STEP, word.life, short(word.build), word.stage)
        return head + STEP.pack(word.ratio, word.level, min(word.seen, 65535), word.mark)
    rows = islice((row for row in word.done.items() if row[0][0] < 256 and row[0][1] < 64), 24)
    done = b"".join(
        DONE.pack(workload, 4 * kind + side, *(min(MOST, number) for number in each))
        for (workload, kind, side), each in rows
    )
    if isinstance(word, FleetReport):
        head = FLEET.pack(IS_FLEET, word.rate, word.out, short(word.build), word.stage, word.verdict)
        return head + done
    sums = [ROW.pack(r, max(-MOST, min(MOST, v)), min(seen, 65535)) for r, (v, seen) in word.sums.items()]
    head = HEAD.pack(ARE_TOTALS, word.life, short(word.build), word.stage)
    does = DOES.pack(min(MOST, word.rate), min(MOST, word.out), len(done) // DONE.size)
    room = (MOST_BYTES - len(head + does + done)) // ROW.size
    return head + does + done + b"".join(sums[:room])


def decode(data: bytes) -> PeerMessage | None:
    """The word, or None where the bytes are malformed or hold what no marshal would send."""
    try:
        if data[:1] == bytes((IS_FLEET,)):
            _, rate, out, build, stage, verdict = FLEET.unpack_from(data)
            done = unpacked(data[FLEET.size :])
            fits = verdict <= MOST_VERDICT and sound(rate, out, *chain(*done.values()))
            return FleetReport(rate, out, done, build, stage, verdict) if fits else None
        tag, life, build, stage = HEAD.unpack_from(data)
        if tag == IS_STEP:
            ratio, level, seen, mark = STEP.unpack(data[HEAD.size :])
            return LlrDelta(life, build, stage, ratio, level, seen, mark) if level else None
        if tag != ARE_TOTALS:
            return None
        rate, out, many = DOES.unpack_from(data, HEAD.size)
        rest = data[HEAD.size + DOES.size :]
        done = unpacked(rest[: many * DONE.size])
        rows = list(ROW.iter_unpack(rest[many * DONE.size :]))
    except struct.error:
        return None
    if not sound(rate, out, *chain(*done.values()), *(abs(value) for _, value, _ in rows)):
        return None
    return InstanceReport(
        life, build, stage, rate, out, done, {ratio: (value, seen) for ratio, value, seen in rows}
    )


def unpacked(data: bytes) -> Done:
    return {(w, side >> 2, side & 3): tuple(row) for w, side, *row in DONE.iter_unpack(data)}


def sound(*numbers: float) -> bool:
    return all(0 <= number < 1e6 for number in numbers)
