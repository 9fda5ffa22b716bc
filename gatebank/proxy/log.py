"""Logging of events as key=value lines on standard error; on-call tools read the event names and keys."""

from __future__ import annotations

import logging
import math
import os
import select
import sys
import time
from collections.abc import Mapping

LOG = logging.getLogger("gatebank")


def log_kv(event: str, level: int = logging.INFO, **keys: object) -> None:
    """Log an event whose keys are the keyword arguments."""
    log_event(event, keys, level)


def log_event(event: str, keys: Mapping[str, object], level: int = logging.INFO) -> None:
    """Log an event whose keys are in a mapping."""
    LOG.log(level, event, extra={"keys": keys})


def log_fault(**keys: object) -> None:
    """Log the exception that is being handled, with its location; for handlers that catch all exceptions."""
    LOG.exception("fault", extra={"keys": keys})


class LogInterval:
    """Lets one line in an interval be logged: others decide how often the event happens.

    >>> interval = LogInterval(60.0)
    >>> interval.is_due(), interval.is_due()
    (True, False)

    Args:
        seconds: Least time between two lines.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.logged_at = -math.inf  # Monotonic time.

    def is_due(self) -> bool:
        """Return whether the interval since the last logged line is over, and start the next one if so."""
        now = time.monotonic()
        is_due = now >= self.logged_at + self.seconds
        if is_due:
            self.logged_at = now
        return is_due


def format_value(value: object) -> str:
    r"""Format a value for a log line; quoted if it would not read as a single word.

    >>> format_value(0.25), format_value("cut"), format_value('no "such" node')
    ('0.25', 'cut', '"no \\"such\\" node"')
    """
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    if text and not any(char.isspace() or char in '"=' or not char.isprintable() for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(char if char.isprintable() else " " for char in escaped)
    return f'"{printable}"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs, starting with time, level and event."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line without the line end."""
        keys: dict[str, object] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        keys |= getattr(record, "keys", {})
        if record.exc_info and record.exc_info[1]:
            keys |= {"trouble": record.exc_info[1], "place": innermost_location(record.exc_info[1])}
        return " ".join(f"{name}={format_value(value)}" for name, value in keys.items())


def innermost_location(error: BaseException) -> str:
    """Return the file name and line number of the innermost frame."""
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}" if trace else "?"


class NonBlockingHandler(logging.Handler):
    """Writes a line only if the write cannot block: a slow or absent log reader must not stop the instance.

    A pipe that polls as writable accepts PIPE_BUF bytes. Lines that cannot be written are dropped; their
    number is logged later.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self.ready = select.poll()
        self.ready.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record's line, preceded by a line that reports dropped lines, if there are any."""
        line = self.format(record)
        if self.dropped:
            at = f"{record.created:.3f}"
            if not self.write(f"at={at} level=warning event=log_dropped lines={self.dropped}"):
                return
            self.dropped = 0
        self.write(line)

    def write(self, line: str) -> bool:
        """Write one line, or count it as dropped."""
        try:
            fits = bool(self.ready.poll(0))
            if fits:
                os.write(self.descriptor, line.encode()[: select.PIPE_BUF - 1] + b"\n")
        except OSError:  # The reader has closed the pipe.
            fits = False
        if not fits:
            self.dropped += 1
        return fits


def configure_logging(level: str) -> None:
    """Configure logging to standard error from a level on: debug, info, warning or error."""
    handler = NonBlockingHandler(sys.stderr.fileno())
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
