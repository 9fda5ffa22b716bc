"""KNOWN-RED.txt at the root: tests that fail for a real fault which can't be mended now, three at most.

A line each, `TEST | CAUSE | ISSUE`, with the title that a failure prints. They are run like all others
and told of; the list itself fails where it names no test, one that passes, more than three, or can't be read.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

MOST = 3


def known(path: Path) -> str:
    """No file is an empty list."""
    return path.read_text() if path.exists() else ""


def judged(found: Mapping[str, str | None], listed: str) -> tuple[list[str], int, int]:
    """Lines to print, and how many passed and failed, from each test's failure and the list.

    >>> judged({"a": None, "b": "odd", "c": "even"}, "b | a slow desk | 40\\n")
    (['FAILED c: even', 'known red: b (a slow desk, issue 40): odd'], 1, 1)
    """
    rows = [[part.strip() for part in line.split("|")] for line in listed.splitlines() if line.strip()]
    wrong = [f"KNOWN-RED.txt: {' | '.join(row)}: no TEST | CAUSE | ISSUE" for row in rows if not whole(row)]
    rows = [row for row in rows if whole(row)]
    if len(rows) > MOST:
        wrong.append(f"KNOWN-RED.txt: {len(rows)} tests, {MOST} at most")
    names = [row[0] for row in rows]
    wrong += [f"KNOWN-RED.txt: {name}: named twice" for name in {n for n in names if names.count(n) > 1}]
    wrong += [f"KNOWN-RED.txt: {name}: no such test" for name in names if name not in found]
    passing = [name for name in names if found.get(name, "") is None]
    wrong += [f"KNOWN-RED.txt: {name}: it passes; take it off" for name in passing]
    lines = [f"FAILED {name}: {why}" for name, why in found.items() if why is not None and name not in names]
    failed = len(lines) + len(wrong)
    lines += [f"FAILED {each}" for each in wrong]
    for name, cause, issue in rows:
        if found.get(name) is not None:
            lines.append(f"known red: {name} ({cause}, issue {issue}): {found[name]}")
    return lines, sum(why is None for why in found.values()), failed


def whole(row: list[str]) -> bool:
    return len(row) == 3 and all(row) and row[2].isdigit()


def listed() -> None:
    found = {"a": None, "b": "odd", "c": "even", "d": "odd", "e": "odd"}
    row = "{} | a cause | 7\n".format
    for text, failed, *told in (
        ("", 4, "FAILED b: odd"),
        ("\n \n", 4, "FAILED e: odd"),
        (row("b"), 3, "known red: b (a cause, issue 7): odd"),
        ("".join(map(row, "bcd")), 1, "FAILED e: odd"),
        ("".join(map(row, "bcde")), 1, "KNOWN-RED.txt: 4 tests, 3 at most"),
        (row("f"), 5, "FAILED KNOWN-RED.txt: f: no such test"),
        (row("a"), 5, "FAILED KNOWN-RED.txt: a: it passes; take it off"),
        (row("b") + row("b"), 4, "KNOWN-RED.txt: b: named twice"),
        ("b | a cause\n", 5, "KNOWN-RED.txt: b | a cause: no TEST"),
        ("b | a cause | soon\n", 5, "KNOWN-RED.txt"),
        ("b | | 7\n", 5, "KNOWN-RED.txt"),
    ):
        lines, passed, count = judged(found, text)
        assert (passed, count) == (1, failed), (text, lines)
        assert all(any(each in line for line in lines) for each in told), (text, lines)
    assert known(Path(__file__).with_name("no-such-list.txt")) == ""


def checks() -> list[tuple[str, Callable[[], None]]]:
    return [("known red: the list", listed)]
