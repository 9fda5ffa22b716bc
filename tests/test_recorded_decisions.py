"""The decisions of seeded sessions are those that were recorded, byte for byte.

``python -m tests.test_recorded_decisions`` records anew; do so only for a
change that is meant to change decisions.
"""

from __future__ import annotations

import sys
from pathlib import Path

import zstandard

from tests.simulated_fleet import SESSIONS, Adapter, Fleet, Session

RECORDED = Path(__file__).parent / "data" / "recorded_decisions"


def recording_of(session: Session) -> Path:
    return RECORDED / f"seed-{session.seed}.jsonl.zst"


def replies_of(session: Session) -> list[bytes]:
    with Adapter() as adapter:
        return Fleet(session).play(adapter)


def check_session(session: Session) -> None:
    """The replies are the recorded ones; a difference is told with its place."""
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


def checks() -> list[tuple[str, object]]:
    """Titles and checks, one for each session."""
    return [(f"recorded decisions: {s.name}", lambda s=s: check_session(s)) for s in SESSIONS]


if __name__ == "__main__":
    record()
