"""The stored form of items and the frames: invalid values, other versions, corrupted and truncated data."""

from __future__ import annotations

import contextlib
import math
import random
from typing import Any

import msgspec
import pytest

from gatebank.state_transfer.items import (
    EndpointHealth,
    InvalidItemError,
    ReleaseReport,
    SlowStartRate,
    StateItem,
    UsualLatency,
    by_priority,
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
from tests.support.transfer_fixtures import make_health

HELLO = encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x"))


@pytest.mark.parametrize(
    "change",
    [
        {"age": -1.0},
        {"age": math.nan},
        {"age": math.inf},
        {"seen": -1},
        {"seen": 10**12},
        {"faults": 1.5},
        {"faults": math.nan},
        {"slow": 1e9},
        {"node": "x" * 300},
        {"node": 5},
        {"aside": "yes"},
        {"build": -1},
    ],
    ids=str,
)
def test_part_with_an_invalid_field_is_refused(change: dict[str, Any]) -> None:
    """A part with one value that is out of range, not a number or of a wrong type is refused as a whole."""
    valid = msgspec.to_builtins(make_health())
    part = msgspec.msgpack.encode({"items": [valid, valid | change]})
    with pytest.raises(InvalidItemError):
        decode_part(part)


def test_items_of_unknown_kinds_are_skipped() -> None:
    """Items of unknown kinds and unknown fields of a part are ignored."""
    valid = make_health()
    items = [{"type": "oracle", "x": 1}, msgspec.to_builtins(valid)]
    assert decode_part(msgspec.msgpack.encode({"items": items, "more": 3})) == [valid]


def test_corrupted_parts_raise_only_invalid_item_error() -> None:
    """Changed, truncated or random parts are decoded or refused; no other error is raised."""
    generator = random.Random(4)
    latency = UsualLatency(origin="m", age=1.0, outcomes=2, request_class="w", latency=0.1)
    encoded = encode_part([make_health(), latency])
    for _ in range(3000):
        changed = bytearray(encoded)
        changed[generator.randrange(len(changed))] = generator.randrange(256)
        truncated = bytes(changed[: generator.randrange(len(changed))])
        for data in (bytes(changed), truncated, generator.randbytes(30)):
            with contextlib.suppress(InvalidItemError):
                decode_part(data)


def test_previous_and_next_format_versions_are_read() -> None:
    """A part of version 0 without `hold` and `life`, and a part of a later version with unknown fields."""
    previous_version = bytes.fromhex(
        "81a56974656d739187a474797065a46e6f6465a26279a164a3616765cb3ff0000000000000a46e6f6465a161a56275696c6429"
        "a66661756c7473cb3fd0000000000000a47365656e05"
    )
    [item] = decode_part(previous_version)
    assert isinstance(item, EndpointHealth)
    values = (item.failure_rate, item.ejection_time, item.incarnation, item.outcomes)
    assert values == (0.25, 0.0, 0, 5)
    next_version = msgspec.to_builtins(item) | {"mood": "fine", "started_by": [1, 2]}
    items = [next_version, {"type": "tides", "age": 1}]
    assert decode_part(msgspec.msgpack.encode({"items": items, "signed": b"x"})) == [item]


@pytest.mark.parametrize("version", [0, 1, 2])
def test_peers_one_version_apart_are_accepted(version: int) -> None:
    """A peer of the previous or next version is accepted; its frames of unknown kinds are skipped."""
    hello = encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x", version=version))
    unknown = msgspec.msgpack.encode({"later": 1})
    frame = (len(unknown) + 1).to_bytes(4, "big") + b"\x09" + unknown
    messages = Conversation(Hello(name="me", deployment="x")).feed(hello + frame)
    assert [type(message) for message in messages] == [Hello]


def test_peer_two_versions_apart_is_refused_with_version() -> None:
    """The reason for the refusal contains the version number."""
    hello = encode_frame(FrameKind.HELLO, Hello(name="d", deployment="x", version=3))
    with pytest.raises(TransferProtocolError, match="peer has form 3;"):
        Conversation(Hello(name="me", deployment="x")).feed(hello)


def test_items_before_a_cut_are_complete_and_most_valuable_first() -> None:
    """After a cut at any byte, the items received so far are correct and in order of priority."""
    items: list[StateItem] = [
        UsualLatency(origin="m", age=1.0, outcomes=2, request_class=f"w{number}", latency=0.1)
        for number in range(40)
    ]
    items += [
        make_health("a", ejected=True, failure_rate=0.9),
        ReleaseReport(origin="m", age=1.0, build=42, stage=0, phase=3, cap=0.0),
        SlowStartRate(origin="m", age=0.0, outcomes=1, endpoint="new", build=42, started=1.0, rate=2.0),
    ]
    frames = [encode_frame(FrameKind.PART, part) for part in split_into_parts(by_priority(items), 200)]
    data = HELLO + b"".join(frames) + encode_frame(FrameKind.END, End(part_count=len(frames)))
    received: list[StateItem] = []
    for size in range(len(data) + 1):
        messages = Conversation(Hello(name="me", deployment="x")).feed(data[:size])
        items_so_far = [item for message in messages if isinstance(message, list) for item in message]
        assert items_so_far[: len(received)] == received
        received = items_so_far
    assert [type(item) for item in received[:3]] == [ReleaseReport, SlowStartRate, EndpointHealth]
    assert len(received) == 43


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff\xff", "invalid frame length of 4294967295 bytes"),
        (b"\0\0\0\0", "invalid frame length of 0 bytes"),
        (encode_frame(FrameKind.PART, []), "frame received before the hello"),
        (HELLO + HELLO, "second hello received"),
        (encode_frame(FrameKind.HELLO, Hello(name="d", deployment="y")), "another deployment"),
        (HELLO + encode_frame(FrameKind.END, End(part_count=7)), "received 0 parts of 7"),
        (HELLO + b"\0\0\0\x03\x04\xc1\xc1", "malformed"),
    ],
    ids=["huge", "empty", "no hello", "two hellos", "other deployment", "wrong count", "no msgpack"],
)
def test_invalid_frames_are_refused(data: bytes, reason: str) -> None:
    """A protocol violation raises an error with the reason."""
    with pytest.raises(TransferProtocolError, match=reason):
        Conversation(Hello(name="me", deployment="x")).feed(data)
