"""``gatebank capture ledger``: what a replay's ledger holds."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import orjson

from gatebank.capture.timestamps import utc_time
from gatebank.cli.terminal import CommandLineError
from gatebank.replay.entries import EntryKind
from gatebank.replay.errors import ReplayError
from gatebank.replay.ledger import Ledger

SHOWN_ENTRIES = 50  # with no known result, for people; --json lists all


def run(folder: Path, as_json: bool) -> None:
    """Print the entries by result, and those whose result is not known.

    Raises:
        CommandLineError: There is no ledger, or it cannot be read.
    """
    ledger = read_ledger(folder)
    entries = ledger.book.entries.values()
    unsure = ledger.book.unsure_entries()
    results: Counter[str] = Counter()
    for entry in entries:
        results["unsure" if entry.kind is not EntryKind.ANSWERED else entry.ending] += 1
    ledger.close()
    if as_json:
        rows = [{"name": entry.name.hex(), "at": entry.at} for entry in unsure]
        summary = {"names": len(entries), "became": results, "unsure": rows}
        sys.stdout.buffer.write(orjson.dumps(summary) + b"\n")
        return
    print(f"{len(entries):>10} names (a request with an idempotency key has two)")
    for name, number in sorted(results.items()):
        print(f"{number:>10} {name.replace('_', ' ')}")
    for entry in unsure[:SHOWN_ENTRIES]:
        print(f"unsure since {utc_time(entry.at)}: {entry.name.hex()}")


def read_ledger(folder: Path) -> Ledger:
    """Open the ledger in a folder, which holds it until it is closed.

    Raises:
        CommandLineError: There is none, or it cannot be read.
    """
    ledger = Ledger(folder)
    if not ledger.path.exists():
        raise CommandLineError("no ledger is there", folder)
    try:
        ledger.open()
    except ReplayError as error:
        raise CommandLineError(error) from error
    return ledger
