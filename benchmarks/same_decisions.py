"""Checks that another revision makes the same decisions: the same events must give byte-identical replies.

    python -m benchmarks.same_decisions [REVISION] [--seeds N]

The tests' seeded simulated fleet drives both revisions over the simulator's wire protocol, which is the same
in all revisions. Each session of the tests is run with further seeds. The first reply that differs is
printed.
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import replace
from pathlib import Path

from benchmarks.harness import BASE_REVISION, ROOT, other_revision
from tests.support import simulated_fleet
from tests.support.recorded_sessions import SESSIONS, Session
from tests.support.simulated_fleet import Adapter, Fleet

FIRST_SEED = 1000


def replies_of(session: Session, root: Path) -> list[bytes]:
    """Return the replies of the revision in a folder to a session, in order."""
    simulated_fleet.ROOT = root
    with Adapter() as adapter:
        return Fleet(session).play(adapter)


def compare(title: str, theirs: list[bytes], ours: list[bytes]) -> None:
    """Exit with a message if a reply differs or if one revision gave more replies."""
    for number, (their_reply, our_reply) in enumerate(zip(theirs, ours, strict=False)):
        if their_reply != our_reply:
            sys.exit(f"{title}, reply {number}: other revision {their_reply!r}, present {our_reply!r}")
    if len(theirs) != len(ours):
        sys.exit(f"{title}: {len(theirs)} replies of the other revision, {len(ours)} at present")


def main() -> None:
    """Compare all sessions with further seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("revision", nargs="?", default=BASE_REVISION)
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    count = 0
    with other_revision(arguments.revision) as other:
        for seed in range(FIRST_SEED, FIRST_SEED + arguments.seeds):
            for session in SESSIONS:
                drawn = replace(session, seed=seed)
                theirs = replies_of(drawn, other)
                ours = replies_of(drawn, ROOT)
                compare(f"{session.name}, seed {seed}", theirs, ours)
                count += len(ours)
    print(f"the same {count:,} replies as {arguments.revision}, over {arguments.seeds} seeds")


if __name__ == "__main__":
    main()
