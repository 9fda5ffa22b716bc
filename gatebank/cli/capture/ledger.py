"""``gatebank capture ledger``: prints the contents of a replay's ledger."""

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

# Maximum number of entries without a known result in the text output; --json lists all of them.
MAX_SHOWN_ENTRIES = 50


def run(folder: Path, as_json: bool) -> None:
    """Print the number of entries by result, and the entries whose result is unknown.

    Raises:
        CommandLineError: The folder has no ledger, or the ledger cannot be read.
    """
    ledger = read_ledger(folder)
    entries = ledger.contents.entries.values()
    unsure = ledger.contents.unsure_entries()
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
    for entry in unsure[:MAX_SHOWN_ENTRIES]:
        print(f"unsure since {utc_time(entry.at)}: {entry.name.hex()}")


def read_ledger(folder: Path) -> Ledger:
    """Open the ledger in a folder; the ledger stays locked until the caller closes it.

    Raises:
        CommandLineError: The folder has no ledger, or the ledger cannot be read.
    """
    ledger = Ledger(folder)
    if not ledger.path.exists():
        raise CommandLineError("the folder has no ledger", folder)
    try:
        ledger.open()
    except ReplayError as error:
        raise CommandLineError(error) from error
    return ledger
