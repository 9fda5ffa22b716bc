"""Snapshots of what is known: which are used, which are refused."""

from __future__ import annotations

import tempfile
from pathlib import Path

from gatebank.state_transfer import snapshot
from gatebank.state_transfer.items import (
    BaselineFailures,
    StateItem,
)
from gatebank.state_transfer.snapshot import BootTime, SnapshotOrigin
from tests.support.learners import health


def test_spoilt_snapshots_are_refused() -> None:
    """Spoilt snapshots.

    Torn at any byte, changed, foreign, of the future, too old: refused with one line; the other is
    used.
    """
    items: list[StateItem] = [
        health(),
        BaselineFailures(
            origin="m", age=1.0, outcomes=5, ratio="broke", weighted_failures=1.0, weighted_total=9.0
        ),
    ]
    data = snapshot.encode_snapshot(items, SnapshotOrigin("here", "me", 7), 1000.0, False)
    loaded = snapshot.decode_snapshot(data, "here", 1010.0, 60.0)
    assert [each.age for each in loaded.items] == [10.0, 11.0] and not loaded.header.at_shutdown
    for size in range(0, len(data)):
        refuses(data[:size], "here", 1010.0, "torn")
    for at in range(0, len(data)):
        refuses(data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :], "here", 1010.0, "")
    refuses(data, "there", 1010.0, "another deployment")
    refuses(data, "here", 990.0, "future")
    refuses(data, "here", 2000.0, "old")
    # Within one boot the age is exact though the clock was set hours on or back; of another it is not.
    booted = snapshot.encode_snapshot(
        items, SnapshotOrigin("here", "me", 7), 1000.0, True, BootTime("b1", 50.0)
    )
    for clock in (1010.0, 0.0, 90_000.0):
        assert [
            each.age
            for each in snapshot.decode_snapshot(booted, "here", clock, 60.0, BootTime("b1", 55.0)).items
        ] == [
            5.0,
            6.0,
        ]
    assert [
        each.age for each in snapshot.decode_snapshot(booted, "here", 1010.0, 60.0, BootTime("b2", 1.0)).items
    ] == [
        10.0,
        11.0,
    ]
    with tempfile.TemporaryDirectory() as name:
        place = Path(name)
        snapshot.write_snapshot(place, 0, data)
        snapshot.write_snapshot(
            place, 1, snapshot.encode_snapshot(items, SnapshotOrigin("here", "me", 8), 1005.0, True)
        )
        loaded = snapshot.load_newest(place, "here", 1010.0, 60.0)
        assert (loaded.header.incarnation, loaded.slot, loaded.header.at_shutdown) == (8, 1, True)
        (place / snapshot.FILE_NAMES[1]).write_bytes(b"half")
        loaded = snapshot.load_newest(place, "here", 1010.0, 60.0)
        assert (loaded.header.incarnation, loaded.slot) == (7, 0)


def refuses(data: bytes, deployment: str, now: float, words: str) -> None:
    try:
        snapshot.decode_snapshot(data, deployment, now, 60.0)
    except snapshot.SnapshotError as trouble:
        assert words in str(trouble), (words, trouble)
    else:
        raise AssertionError((words, len(data)))
