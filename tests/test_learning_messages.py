"""The form in which knowledge is told: lies, other forms, spoilt and broken frames."""

from __future__ import annotations

import contextlib
import math
import random

import msgspec

from gatebank.state_transfer.items import (
    EndpointHealth,
    InvalidItemError,
    ReleaseReport,
    SlowStartRate,
    StateItem,
    UsualLatency,
    by_value,
    decode_part,
    encode_part,
    split_into_parts,
)
from gatebank.state_transfer.protocol import (
    Conversation,
    End,
    FrameKind,
    Hello,
    TransferProtocolError,
    encode_frame,
)
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
            decode_part(part)
        except InvalidItemError:
            continue
        raise AssertionError(change)
    part = msgspec.msgpack.encode(
        {"items": [{"type": "oracle", "x": 1}, msgspec.to_builtins(good)], "more": 3}
    )
    assert decode_part(part) == [good]
    chance = random.Random(4)
    whole = encode_part([good, UsualLatency(origin="m", age=1.0, outcomes=2, request_class="w", latency=0.1)])
    for _ in range(3000):
        data = bytearray(whole)
        data[chance.randrange(len(data))] = chance.randrange(256)
        for each in (bytes(data), bytes(data[: chance.randrange(len(data))]), chance.randbytes(30)):
            with contextlib.suppress(InvalidItemError):
                decode_part(each)


def test_forms_one_away_are_read() -> None:
    """Older and newer forms.

    A form-0 file kept from before `hold` and `life` were added, and one of a later form with fields and
    kinds that are not known yet: both are read. Two forms away is refused by name.
    """
    old = bytes.fromhex(
        "81a56974656d739187a474797065a46e6f6465a26279a164a3616765cb3ff0000000000000a46e6f6465a161a56275696c6429"
        "a66661756c7473cb3fd0000000000000a47365656e05"
    )
    [item] = decode_part(old)
    assert isinstance(item, EndpointHealth) and (
        item.failure_rate,
        item.ejection_time,
        item.incarnation,
        item.outcomes,
    ) == (0.25, 0.0, 0, 5)
    new = msgspec.to_builtins(item) | {"mood": "fine", "started_by": [1, 2]}
    assert decode_part(
        msgspec.msgpack.encode({"items": [new, {"type": "tides", "age": 1}], "signed": b"x"})
    ) == [item]
    for form, fits in ((0, True), (1, True), (2, True), (3, False)):
        talk = Conversation(Hello(name="me", deployment="x"))
        try:
            talk.feed(
                encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x", version=form))
                + encode_frame(9, {"later": 1})
            )
            assert fits, form
        except TransferProtocolError as trouble:
            assert not fits and f"form {form}" in str(trouble), (form, trouble)


def test_donation_cut_anywhere_is_whole_so_far() -> None:
    """Broken off anywhere.

    A donation cut at any byte: what came is whole, and the most valuable came first.
    """
    items: list[StateItem] = [
        UsualLatency(origin="m", age=1.0, outcomes=2, request_class=f"w{i}", latency=0.1) for i in range(40)
    ]
    items += [
        health("a", ejected=True, failure_rate=0.9),
        ReleaseReport(origin="m", age=1.0, build=42, stage=0, phase=3, cap=0.0),
    ]
    items += [SlowStartRate(origin="m", age=0.0, outcomes=1, endpoint="new", build=42, started=1.0, rate=2.0)]
    frames = [encode_frame(FrameKind.PART, part) for part in split_into_parts(by_value(items), 200)]
    data = (
        encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x"))
        + b"".join(frames)
        + encode_frame(FrameKind.END, End(part_count=len(frames)))
    )
    before: list[StateItem] = []
    for size in range(len(data) + 1):
        talk, found = Conversation(Hello(name="me", deployment="x")), list[StateItem]()
        for word in talk.feed(data[:size]):
            found += word if isinstance(word, list) else []
        assert found[: len(before)] == before
        before = found
    assert [type(each).__name__ for each in before[:3]] == [
        "ReleaseReport",
        "SlowStartRate",
        "EndpointHealth",
    ] and len(before) == 43


def test_spoilt_frames_are_refused() -> None:
    """Spoilt frames.

    Huge, empty and missing frames, a wrong count of parts, another deployment, a second hello.
    """
    hello = encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x"))
    for data, words in (
        (b"\xff\xff\xff\xff", "claims 4294967295"),
        (b"\0\0\0\0", "claims 0"),
        (encode_frame(FrameKind.PART, []), "did not say who"),
        (hello + hello, "said twice"),
        (encode_frame(FrameKind.HELLO, Hello(name="d", deployment="y")), "another deployment"),
        (hello + encode_frame(FrameKind.END, End(part_count=7)), "0 parts came of 7"),
        (hello + b"\0\0\0\x03\x04\xc1\xc1", ""),
    ):
        try:
            Conversation(Hello(name="me", deployment="x")).feed(data)
        except (TransferProtocolError, InvalidItemError) as trouble:
            assert words in str(trouble), (words, trouble)
        else:
            raise AssertionError(data)
