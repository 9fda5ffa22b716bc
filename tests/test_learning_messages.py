"""The form in which knowledge is told: lies, other forms, spoilt and broken frames."""

from __future__ import annotations

import contextlib
import math
import random

import msgspec

from gatebank.state_transfer.items import (
    Cold,
    Health,
    Known,
    News,
    Times,
    Unsound,
    by_value,
    pack,
    parts,
    unpack,
)
from gatebank.state_transfer.protocol import END, HELLO, PART, End, Garbled, Hello, Talk, frame
from tests.support.learners import health


def test_part_with_a_lie_is_refused() -> None:
    """Lies are found.

    Figures out of range, no numbers, huge counts: the whole part is refused. Unknown kinds pass.
    """
    good = health()
    bad = [
        {"age": -1.0}, {"age": math.nan}, {"age": math.inf}, {"seen": -1}, {"seen": 10**12}, {"faults": 1.5},
        {"faults": math.nan}, {"slow": 1e9}, {"node": "x" * 300}, {"node": 5}, {"aside": "yes"},
        {"build": -1},
    ]  # fmt: skip
    for change in bad:
        row = msgspec.to_builtins(good) | change
        part = msgspec.msgpack.encode({"items": [msgspec.to_builtins(good), row]})
        try:
            unpack(part)
        except Unsound:
            continue
        raise AssertionError(change)
    part = msgspec.msgpack.encode(
        {"items": [{"type": "oracle", "x": 1}, msgspec.to_builtins(good)], "more": 3}
    )
    assert unpack(part) == [good]
    chance = random.Random(4)
    whole = pack([good, Times(by="m", age=1.0, seen=2, workload="w", pace=0.1)])
    for _ in range(3000):
        data = bytearray(whole)
        data[chance.randrange(len(data))] = chance.randrange(256)
        for each in (bytes(data), bytes(data[: chance.randrange(len(data))]), chance.randbytes(30)):
            with contextlib.suppress(Unsound):
                unpack(each)


def test_forms_one_away_are_read() -> None:
    """Older and newer forms.

    A form-0 file kept from before `hold` and `life` were added, and one of a later form with fields and
    kinds that are not known yet: both are read. Two forms away is refused by name.
    """
    old = bytes.fromhex(
        "81a56974656d739187a474797065a46e6f6465a26279a164a3616765cb3ff0000000000000a46e6f6465a161a56275696c6429"
        "a66661756c7473cb3fd0000000000000a47365656e05"
    )
    [item] = unpack(old)
    assert isinstance(item, Health) and (item.faults, item.hold, item.life, item.seen) == (0.25, 0.0, 0, 5)
    new = msgspec.to_builtins(item) | {"mood": "fine", "started_by": [1, 2]}
    assert unpack(msgspec.msgpack.encode({"items": [new, {"type": "tides", "age": 1}], "signed": b"x"})) == [
        item
    ]
    for form, fits in ((0, True), (1, True), (2, True), (3, False)):
        talk = Talk(Hello(name="me", deployment="x"))
        try:
            talk.feed(frame(HELLO, Hello(name="d", deployment="x", form=form)) + frame(9, {"later": 1}))
            assert fits, form
        except Garbled as trouble:
            assert not fits and f"form {form}" in str(trouble), (form, trouble)


def test_donation_cut_anywhere_is_whole_so_far() -> None:
    """Broken off anywhere.

    A donation cut at any byte: what came is whole, and the most valuable came first.
    """
    items: list[Known] = [Times(by="m", age=1.0, seen=2, workload=f"w{i}", pace=0.1) for i in range(40)]
    items += [health("a", aside=True, faults=0.9), News(by="m", age=1.0, build=42, stage=0, phase=3, cap=0.0)]
    items += [Cold(by="m", age=0.0, seen=1, node="new", build=42, started=1.0, rate=2.0)]
    frames = [frame(PART, part) for part in parts(by_value(items), 200)]
    data = (
        frame(HELLO, Hello(name="d", deployment="x")) + b"".join(frames) + frame(END, End(parts=len(frames)))
    )
    before: list[Known] = []
    for size in range(len(data) + 1):
        talk, found = Talk(Hello(name="me", deployment="x")), list[Known]()
        for word in talk.feed(data[:size]):
            found += word if isinstance(word, list) else []
        assert found[: len(before)] == before
        before = found
    assert [type(each).__name__ for each in before[:3]] == ["News", "Cold", "Health"] and len(before) == 43


def test_spoilt_frames_are_refused() -> None:
    """Spoilt frames.

    Huge, empty and missing frames, a wrong count of parts, another deployment, a second hello.
    """
    hello = frame(HELLO, Hello(name="d", deployment="x"))
    for data, words in (
        (b"\xff\xff\xff\xff", "claims 4294967295"),
        (b"\0\0\0\0", "claims 0"),
        (frame(PART, []), "did not say who"),
        (hello + hello, "said twice"),
        (frame(HELLO, Hello(name="d", deployment="y")), "another deployment"),
        (hello + frame(END, End(parts=7)), "0 parts came of 7"),
        (hello + b"\0\0\0\x03\x04\xc1\xc1", ""),
    ):
        try:
            Talk(Hello(name="me", deployment="x")).feed(data)
        except (Garbled, Unsound) as trouble:
            assert words in str(trouble), (words, trouble)
        else:
            raise AssertionError(data)
