"""The decisions of another revision beside today's: the same events, are there the same actions to the byte?

    python -m benchmarks.same_decisions [REVISION] [--seeds N]

Both texts are played over the simulator's wire, which does not change, by the seeded fleet of the tests. Each
session of the tests is played with further seeds; the first reply that differs is printed.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

from tests.support import simulated_fleet
from tests.support.simulated_fleet import SESSIONS, Adapter, Fleet, Session

ROOT = Path(__file__).parents[1]
FIRST_SEED = 1000


def check_out(revision: str, folder: str) -> Path:
    """The text of a revision in a folder of its own, run with this checkout's virtual environment."""
    archive = subprocess.run(
        ["git", "archive", revision, "gatebank", "deploy"], cwd=ROOT, capture_output=True, check=True
    )
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    (Path(folder) / ".venv").symlink_to(ROOT / ".venv")
    return Path(folder)


def replies_of(session: Session, root: Path) -> list[bytes]:
    simulated_fleet.ROOT = root
    with Adapter() as adapter:
        return Fleet(session).play(adapter)


def compare(title: str, theirs: list[bytes], ours: list[bytes]) -> None:
    """End the run at the first reply that differs, or where one text has more of them."""
    for number, (their_reply, our_reply) in enumerate(zip(theirs, ours, strict=False)):
        if their_reply != our_reply:
            sys.exit(f"{title}, reply {number}: there {their_reply!r}, today {our_reply!r}")
    if len(theirs) != len(ours):
        sys.exit(f"{title}: {len(theirs)} replies there, {len(ours)} today")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("revision", nargs="?", default="4d4d345")
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    count = 0
    with tempfile.TemporaryDirectory() as folder:
        other = check_out(arguments.revision, folder)
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
