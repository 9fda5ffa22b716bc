"""Snapshots of what is known: which are used, which are refused."""

from __future__ import annotations

import tempfile
from pathlib import Path

from gatebank.state_transfer import snapshot
from gatebank.state_transfer.items import (
    Known,
    Past,
)
from tests.support.learners import health


def test_spoilt_snapshots_are_refused() -> None:
    """Spoilt snapshots.

    Torn at any byte, changed, foreign, of the future, too old: refused with one line; the other is
    used.
    """
    items: list[Known] = [health(), Past(by="m", age=1.0, seen=5, ratio="broke", bad=1.0, all=9.0)]
    data = snapshot.made(items, "here", "me", 7, 1000.0, False)
    found, back = snapshot.opened(data, "here", 1010.0, 60.0)
    assert [each.age for each in back] == [10.0, 11.0] and not found.closed
    for size in range(0, len(data)):
        refuses(data[:size], "here", 1010.0, "torn")
    for at in range(0, len(data)):
        refuses(data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :], "here", 1010.0, "")
    refuses(data, "there", 1010.0, "another deployment")
    refuses(data, "here", 990.0, "future")
    refuses(data, "here", 2000.0, "old")
    # Within one boot the age is exact though the clock was set hours on or back; of another it is not.
    booted = snapshot.made(items, "here", "me", 7, 1000.0, True, ("b1", 50.0))
    for clock in (1010.0, 0.0, 90_000.0):
        assert [each.age for each in snapshot.opened(booted, "here", clock, 60.0, ("b1", 55.0))[1]] == [
            5.0,
            6.0,
        ]
    assert [each.age for each in snapshot.opened(booted, "here", 1010.0, 60.0, ("b2", 1.0))[1]] == [
        10.0,
        11.0,
    ]
    with tempfile.TemporaryDirectory() as name:
        place = Path(name)
        snapshot.write(place, 0, data)
        snapshot.write(place, 1, snapshot.made(items, "here", "me", 8, 1005.0, True))
        found, _, turn = snapshot.newest(place, "here", 1010.0, 60.0)
        assert (found.life, turn, found.closed) == (8, 1, True)
        (place / snapshot.NAMES[1]).write_bytes(b"half")
        found, _, turn = snapshot.newest(place, "here", 1010.0, 60.0)
        assert (found.life, turn) == (7, 0)


def refuses(data: bytes, deployment: str, now: float, words: str) -> None:
    try:
        snapshot.opened(data, deployment, now, 60.0)
    except snapshot.Refused as trouble:
        assert words in str(trouble), (words, trouble)
    else:
        raise AssertionError((words, len(data)))
