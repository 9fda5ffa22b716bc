"""The decisions in seeded sessions equal the recorded ones, byte for byte.

``python -m tests.test_recorded_decisions`` replaces the recordings. Use it only for changes that are meant to
change decisions.
"""

from __future__ import annotations

import sys
from pathlib import Path

import pytest
import zstandard

from tests.support.recorded_sessions import SESSIONS, Session
from tests.support.simulated_fleet import Adapter, Fleet

RECORDED = Path(__file__).parent / "data" / "recorded_decisions"


def recording_of(session: Session) -> Path:
    return RECORDED / f"seed-{session.seed}.jsonl.zst"


def replies_of(session: Session) -> list[bytes]:
    with Adapter() as adapter:
        return Fleet(session).play(adapter)


@pytest.mark.parametrize("session", SESSIONS, ids=lambda session: session.name)
def test_decisions_equal_the_recorded_ones(session: Session) -> None:
    """The replies equal the recorded ones; a failure reports the number of the first different reply."""
    recorded = zstandard.ZstdDecompressor().decompress(recording_of(session).read_bytes()).split(b"\n")
    replies = replies_of(session)
    for number, (reply, expected) in enumerate(zip(replies, recorded, strict=False)):
        assert reply == expected, f"{session.name}: reply {number} is {reply!r}, recorded {expected!r}"
    assert len(replies) == len(recorded), f"{session.name}: {len(replies)} replies, recorded {len(recorded)}"


def record() -> None:
    RECORDED.mkdir(parents=True, exist_ok=True)
    for session in SESSIONS:
        replies = replies_of(session)
        data = zstandard.ZstdCompressor(level=19).compress(b"\n".join(replies))
        recording_of(session).write_bytes(data)
        sys.stdout.write(f"{session.name}: {len(replies)} replies, {len(data)} bytes\n")


if __name__ == "__main__":
    record()
