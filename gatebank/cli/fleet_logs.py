"""Adds up the counters of a whole fleet per second, from the logs of its instances.

An instance logs a line with ``event=ready`` when it starts, and at intervals a line with ``event=standing``
(the counter line) that holds its counters since the start. Counts between two such lines are distributed
evenly over the seconds between them.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from gatebank.cli.terminal import byte_progress

KEY_AND_VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)')
# Start of a log line written by gatebank. Log collectors may have inserted a prefix before it.
LINE_START = re.compile(r"(?:^|\s)at=\d")
# Counters of a line with ``event=standing``, in the order of the output; its other keys are not counters.
COUNTERS = (
    "first_tries", "repeated", "rejected", "broken_off", "abandoned", "left",
    "satisfied", "error", "turned_away", "no_connection", "cut", "timed_out", "withdrawn", "not_sent",
    "node_connections_opened", "probes", "roll_calls", "roll_refused", "roll_unanswered",
    "words_told", "words_heard", "words_dropped",
    "vote_counted", "vote_too_many", "vote_moot", "vote_failed", "vote_no_answer",
)  # fmt: skip
# Number of characters that are read between two updates of the progress bar.
PROGRESS_CHARACTERS = 1 << 18


@dataclass(frozen=True, slots=True)
class CounterReading:
    """The counters of one instance at one time.

    Attributes:
        time: Unix time in seconds.
        counters: Counts since the start of the instance.
    """

    time: float
    counters: Counter[str]


@dataclass
class FleetCounts:
    """Counts of a whole fleet; memory grows with the time that the logs cover, not with their lines.

    Attributes:
        seconds: Counts by second of Unix time.
        instances: Number of logs that were read.
        starts: Number of starts of instances.
        bad_lines: Number of lines that cannot be parsed, or whose time or counters decreased without a
            start of the instance in between.
    """

    seconds: dict[int, Counter[str]] = field(default_factory=dict)
    instances: int = 0
    starts: int = 0
    bad_lines: int = 0

    def add_log(self, lines: Iterable[str]) -> None:
        """Add the counts of one instance's log."""
        self.instances += 1
        previous: CounterReading | None = None
        for line in lines:
            keys = parse_line(line)
            if keys is None:
                self.bad_lines += 1
            elif keys["event"] == "ready":
                self.starts += 1
                previous = CounterReading(float(keys["at"]), Counter())
            elif keys["event"] == "standing":
                previous = self.add_counter_line(keys, previous)

    def add_counter_line(
        self, keys: dict[str, str], previous: CounterReading | None
    ) -> CounterReading | None:
        """Add the counts since the previous reading, and return the reading to compare the next line with.

        Args:
            keys: Keys and values of the line with ``event=standing``.
            previous: The previous reading; None if the start of the log is missing, so that the time of the
                first counts is unknown.
        """
        try:
            counters = Counter({name: int(keys[name]) for name in COUNTERS if name in keys})
        except ValueError:
            self.bad_lines += 1
            return previous
        time = float(keys["at"])
        if previous is None:
            return CounterReading(time, counters)
        if time < previous.time or any(value < previous.counters[name] for name, value in counters.items()):
            self.bad_lines += 1
            return previous
        for name, value in counters.items():
            self.add_evenly(name, value - previous.counters[name], previous.time, time)
        return CounterReading(time, previous.counters | counters)

    def add_evenly(self, name: str, count: int, begin: float, end: float) -> None:
        """Distribute a count evenly over the seconds from ``begin`` to ``end``, as integers with this sum."""
        first = int(begin)
        last = max(first, int(end - 1e-9))
        seconds = last - first + 1
        for number in range(seconds):
            share = count * (number + 1) // seconds - count * number // seconds
            if share:
                self.seconds.setdefault(first + number, Counter())[name] += share

    def group_by_time(self, seconds: int) -> dict[int, Counter[str]]:
        """Return the counts per period of this many seconds, by time since the first counted second."""
        begin = min(self.seconds, default=0)
        rows: dict[int, Counter[str]] = {}
        for time, counters in sorted(self.seconds.items()):
            start = (time - begin) // seconds * seconds
            rows.setdefault(start, Counter()).update(counters)
        return rows


def parse_line(line: str) -> dict[str, str] | None:
    r"""Return the keys and values of a log line, or None if the line is truncated or not a log line.

    >>> parse_line("0.3 at=12.5 level=info event=standing probes=3\n")
    {'at': '12.5', 'level': 'info', 'event': 'standing', 'probes': '3'}
    >>> parse_line("at=12.5 level=info event=standing pro")
    >>> parse_line("noise\n")
    >>> parse_line("at=1.2.3 event=ready x=1\n")
    """
    start = LINE_START.search(line)
    if not start or not line.endswith("\n"):
        return None
    keys: dict[str, str] = dict(KEY_AND_VALUE.findall(line, start.start()))
    try:
        float(keys["at"])
    except (KeyError, ValueError):
        return None
    return keys if "event" in keys else None


def log_files(folder: Path) -> list[Path]:
    """Return the log files in a folder, one per instance, sorted by name."""
    return sorted(path for path in folder.glob("*.log") if path.is_file())


def read_logs(paths: list[Path]) -> FleetCounts:
    """Read all logs and return their counts; show progress if standard error is a terminal."""
    counts = FleetCounts()
    with byte_progress(paths, is_enabled=True) as advance:
        for path in paths:
            with path.open(errors="replace") as file:
                counts.add_log(report_progress(file, advance))
    return counts


def report_progress(lines: Iterable[str], advance: Callable[[int], None]) -> Iterator[str]:
    """Yield the lines, and call ``advance`` about every PROGRESS_CHARACTERS with the number just read."""
    pending = 0
    for line in lines:
        yield line
        pending += len(line)
        if pending >= PROGRESS_CHARACTERS:
            advance(pending)
            pending = 0
    advance(pending)
