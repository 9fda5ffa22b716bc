"""``gatebank fleet counts``: what all marshals of a fleet did together, second by second, from their logs."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Count over a fleet what its marshals' logs tell.",
)
KEY = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)')
BEGUN = re.compile(r"(?:^|\s)at=\d")  # whatever collects the logs may have put something before it
# What is counted since a marshal's start, in the order shown; the others of a standing line are states.
COUNTED = (
    "first_tries", "repeated", "rejected", "broken_off", "abandoned", "left",
    "satisfied", "error", "turned_away", "no_connection", "cut", "timed_out", "withdrawn", "not_sent",
    "node_connections_opened", "probes", "roll_calls", "roll_refused", "roll_unanswered",
    "words_told", "words_heard", "words_dropped",
    "vote_counted", "vote_too_many", "vote_moot", "vote_failed", "vote_no_answer",
)  # fmt: skip


@dataclass
class Tally:
    """Counts by second of the fleet's clock; grows with the seconds told, not with the lines."""

    seconds: dict[int, Counter[str]] = field(default_factory=dict)
    marshals: int = 0
    starts: int = 0
    spoilt: int = 0  # lines that can't be read, or that count backwards with no start between

    def add(self, name: str, since: float, until: float, many: int) -> None:
        """So many from then to then, evenly over the seconds that it touches; whole numbers, none lost."""
        first, last = int(since), max(int(since), int(until - 1e-9))
        for at in range(first, last + 1):
            share = many * (at - first + 1) // (last - first + 1) - many * (at - first) // (last - first + 1)
            if share:
                self.seconds.setdefault(at, Counter())[name] += share

    def marshal(self, lines: Iterable[str]) -> None:
        """One marshal's log. Where it starts anew, it counts from nothing."""
        self.marshals += 1
        was, since = Counter[str](), None
        for line in lines:
            keys = read(line)
            if keys is None:
                self.spoilt += 1
            elif keys["event"] == "ready":
                self.starts += 1
                was, since = Counter(), float(keys["at"])
            elif keys["event"] == "standing":
                try:
                    now = {name: int(keys[name]) for name in COUNTED if name in keys}
                except ValueError:
                    self.spoilt += 1
                    continue
                at = float(keys["at"])
                if since is None:  # its start was not kept: nothing tells when these were
                    was, since = Counter(now), at
                elif at < since or any(many < was[name] for name, many in now.items()):
                    self.spoilt += 1
                else:
                    for name, many in now.items():
                        self.add(name, since, at, many - was[name])
                    was, since = was | Counter(now), at


def read(line: str) -> dict[str, str] | None:
    """The keys of a line, or None where it was cut or is none.

    >>> read('0.3 at=12.5 level=info event=standing probes=3\\n')
    {'at': '12.5', 'level': 'info', 'event': 'standing', 'probes': '3'}
    >>> read('at=12.5 level=info event=standing pro'), read('noise\\n'), read('at=1.2.3 event=ready x=1\\n')
    (None, None, None)
    """
    begun = BEGUN.search(line)
    if not begun or not line.endswith("\n"):
        return None
    keys = dict(KEY.findall(line, begun.start()))
    try:
        float(keys["at"])
    except (KeyError, ValueError):
        return None
    return keys if "event" in keys else None


def logs(folder: Path) -> list[Path]:
    return sorted(path for path in folder.glob("*.log") if path.is_file())


def tally(folder: Path) -> Tally:
    found = Tally()
    for path in logs(folder):
        with path.open(errors="replace") as lines:
            found.marshal(lines)
    return found


@app.command()
def counts(
    folder: Annotated[Path, typer.Argument(help="A folder with one NAME.log for each marshal.")],
    every: Annotated[int, typer.Option(min=1, help="Seconds to a row.")] = 5,
    as_json: Annotated[bool, typer.Option("--json", help="For programs: an object a row.")] = False,
) -> None:
    """What the marshals counted together, by time since the first of them counted. Standing lines come every
    10 s, every second with `serve --log-level debug`; what lies between two is spread evenly."""
    if not logs(folder):
        typer.echo(f"gatebank: {folder}: no folder with NAME.log files", err=True)
        raise typer.Exit(2)
    found = tally(folder)
    begin, rows = min(found.seconds, default=0), dict[int, Counter[str]]()
    for at, row in sorted(found.seconds.items()):
        rows.setdefault((at - begin) // every * every, Counter()).update(row)
    total = sum(rows.values(), Counter[str]())
    names = [name for name in COUNTED if total[name]]
    if as_json:
        for at, row in rows.items():
            typer.echo(json.dumps({"second": at, **{name: row[name] for name in names}}))
        return
    typer.echo(f"{found.marshals} marshals, {found.starts} starts, {found.spoilt} lines spoilt")
    width = max(map(len, names), default=0)
    typer.echo(" " * width + "".join(f"{at:>7}" for at in rows) + "    all")
    for name in names:
        figures = "".join(f"{row[name]:>7}" for row in rows.values())
        typer.echo(f"{name:<{width}}{figures}{total[name]:>7}")
