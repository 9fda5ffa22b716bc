"""Snapshots: which ones are loaded, and which ones are refused."""

from __future__ import annotations

from pathlib import Path

import pytest

from gatebank.state_transfer import snapshot
from gatebank.state_transfer.items import BaselineFailures, StateItem
from gatebank.state_transfer.snapshot import BootTime, SnapshotError, SnapshotOrigin
from tests.support.transfer_fixtures import make_health

ITEMS: list[StateItem] = [
    make_health(),
    BaselineFailures(
        origin="m", age=1.0, outcomes=5, ratio="broke", weighted_failures=1.0, weighted_total=9.0
    ),
]
ORIGIN = SnapshotOrigin("here", "me", 7)


def refusal(data: bytes, deployment: str = "here", now: float = 1010.0) -> str:
    """Returns the reason for which a snapshot is refused."""
    with pytest.raises(SnapshotError) as raised:
        snapshot.decode_snapshot(data, deployment, now, 60.0)
    return str(raised.value)


def ages(data: bytes, now: float, boot: BootTime) -> list[float]:
    """Returns the ages of a snapshot's items."""
    return [item.age for item in snapshot.decode_snapshot(data, "here", now, 60.0, boot).items]


def test_corrupted_snapshots_are_refused() -> None:
    """A snapshot is refused with the reason if it is invalid or cannot be used.

    Covers snapshots that are truncated or changed at any byte, of another deployment, from the future, or too
    old.
    """
    data = snapshot.encode_snapshot(ITEMS, ORIGIN, 1000.0, at_shutdown=False)
    loaded = snapshot.decode_snapshot(data, "here", 1010.0, 60.0)
    assert [item.age for item in loaded.items] == [10.0, 11.0]
    assert not loaded.header.at_shutdown
    for size in range(len(data)):
        assert "truncated" in refusal(data[:size])
    for position in range(len(data)):
        assert refusal(data[:position] + bytes([data[position] ^ 0x40]) + data[position + 1 :])
    assert "another deployment" in refusal(data, deployment="there")
    assert "future" in refusal(data, now=990.0)
    assert "old" in refusal(data, now=2000.0)


def test_ages_are_exact_within_one_boot() -> None:
    """Ages are exact within one boot, even if Unix time is set; after a reboot, ages depend on Unix time."""
    data = snapshot.encode_snapshot(ITEMS, ORIGIN, 1000.0, True, BootTime("b1", 50.0))
    for now in (1010.0, 0.0, 90_000.0):
        assert ages(data, now, BootTime("b1", 55.0)) == [5.0, 6.0]
    assert ages(data, 1010.0, BootTime("b2", 1.0)) == [10.0, 11.0]


def test_newest_valid_snapshot_is_loaded(tmp_path: Path) -> None:
    """The newer of the two files is loaded, or the older file if the newer file is corrupted."""
    earlier = snapshot.encode_snapshot(ITEMS, ORIGIN, 1000.0, at_shutdown=False)
    later = snapshot.encode_snapshot(ITEMS, SnapshotOrigin("here", "me", 8), 1005.0, at_shutdown=True)
    snapshot.write_snapshot(tmp_path, 0, earlier)
    snapshot.write_snapshot(tmp_path, 1, later)
    loaded = snapshot.load_newest(tmp_path, "here", 1010.0, 60.0)
    assert (loaded.header.incarnation, loaded.slot, loaded.header.at_shutdown) == (8, 1, True)
    (tmp_path / snapshot.FILE_NAMES[1]).write_bytes(b"half")
    loaded = snapshot.load_newest(tmp_path, "here", 1010.0, 60.0)
    assert (loaded.header.incarnation, loaded.slot) == (7, 0)
