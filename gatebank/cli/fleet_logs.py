"""Counts over a fleet, second by second, from the logs of its instances.

An instance writes a line with ``event=ready`` when it starts, and lines with ``event=standing`` that have its
counters since then. What was counted between two such lines is spread evenly over the seconds between them.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from gatebank.cli.terminal import byte_progress

KEY_AND_VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)')
LINE_START = re.compile(r"(?:^|\s)at=\d")  # whatever collects the logs may have put something before it
# The counters of a standing line, in the order in which they are shown; its other keys are not counters.
COUNTERS = (
    "first_tries", "repeated", "rejected", "broken_off", "abandoned", "left",
    "satisfied", "error", "turned_away", "no_connection", "cut", "timed_out", "withdrawn", "not_sent",
    "node_connections_opened", "probes", "roll_calls", "roll_refused", "roll_unanswered",
    "words_told", "words_heard", "words_dropped",
    "vote_counted", "vote_too_many", "vote_moot", "vote_failed", "vote_no_answer",
)  # fmt: skip
PROGRESS_CHARACTERS = 1 << 18  # read between two updates of the progress bar


@dataclass(frozen=True, slots=True)
class CounterReading:
    """The counters of one instance at one time.

    Attributes:
        time: Seconds of Unix time.
        counters: Since the instance started.
    """

    time: float
    counters: Counter[str]


@dataclass
class FleetCounts:
    """Counts of a whole fleet; grows with the seconds that the logs cover, not with their lines.

    Attributes:
        seconds: What was counted, by second of Unix time.
        instances: How many logs were read.
        starts: How many times an instance started.
        bad_lines: Lines that cannot be read, or whose counters fell without a start before them.
    """

    seconds: dict[int, Counter[str]] = field(default_factory=dict)
    instances: int = 0
    starts: int = 0
    bad_lines: int = 0

    def add_log(self, lines: Iterable[str]) -> None:
        """Add what one instance's log tells."""
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
        """Add what was counted since the previous reading, and return the reading that the next one follows.

        Args:
            keys: Of the standing line.
            previous: None if the start of the log is missing: nothing tells when its first counts were made.
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
        """Add a count evenly to the seconds from ``begin`` to ``end``, in whole numbers that add up to it."""
        first = int(begin)
        last = max(first, int(end - 1e-9))
        seconds = last - first + 1
        for number in range(seconds):
            share = count * (number + 1) // seconds - count * number // seconds
            if share:
                self.seconds.setdefault(first + number, Counter())[name] += share

    def group_by_time(self, seconds: int) -> dict[int, Counter[str]]:
        """Return the counts of so many seconds each, by the seconds since the first that has any."""
        begin = min(self.seconds, default=0)
        rows: dict[int, Counter[str]] = {}
        for time, counters in sorted(self.seconds.items()):
            start = (time - begin) // seconds * seconds
            rows.setdefault(start, Counter()).update(counters)
        return rows


def parse_line(line: str) -> dict[str, str] | None:
    r"""Return the keys of a log line, or None where it was cut off or is not a log line.

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
    """Return the logs in a folder, one an instance, sorted by name."""
    return sorted(path for path in folder.glob("*.log") if path.is_file())


def read_logs(paths: list[Path]) -> FleetCounts:
    """Return the counts of all logs, with progress on a terminal."""
    counts = FleetCounts()
    with byte_progress(paths, shown=True) as advance:
        for path in paths:
            with path.open(errors="replace") as file:
                counts.add_log(report_progress(file, advance))
    return counts


def report_progress(lines: Iterable[str], advance: Callable[[int], None]) -> Iterator[str]:
    """Yield the lines, and tell every PROGRESS_CHARACTERS how much has been read."""
    pending = 0
    for line in lines:
        yield line
        pending += len(line)
        if pending >= PROGRESS_CHARACTERS:
            advance(pending)
            pending = 0
    advance(pending)
