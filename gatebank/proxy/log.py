"""Log lines as key=value, one event a line, on standard error."""

from __future__ import annotations

import logging
import os
import select
import sys
from typing import Any

LOG = logging.getLogger("gatebank")


def say(event: str, level: int = logging.INFO, **keys: Any) -> None:
    LOG.log(level, event, extra={"keys": keys})


def worded(value: Any) -> str:
    """A value as it stands in a line; quoted where it would not read as one word.

    >>> worded(0.25), worded("cut"), worded('no "such" node')
    ('0.25', 'cut', '"no \\\\"such\\\\" node"')
    """
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    if text and not any(c.isspace() or c in '"=' or not c.isprintable() for c in text):
        return text
    text = "".join(c if c.isprintable() else " " for c in text.replace("\\", "\\\\").replace('"', '\\"'))
    return f'"{text}"'


class KeyValue(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        at, level = f"{record.created:.3f}", record.levelname.lower()
        keys = {"at": at, "level": level, "event": record.getMessage()}
        keys |= getattr(record, "keys", {})
        if record.exc_info and record.exc_info[1]:
            keys |= {"trouble": record.exc_info[1], "place": place(record.exc_info[1])}
        return " ".join(f"{name}={worded(value)}" for name, value in keys.items())


def place(trouble: BaseException) -> str:
    """File and line of the innermost frame."""
    trace = trouble.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}" if trace else "?"


class Unblocked(logging.Handler):
    """Writes a line only where it surely fits: a log taken late, or not at all, must not stop a marshal. A
    pipe that is ready has room for PIPE_BUF bytes. Lines that found none are counted, and told of later."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor, self.dropped = descriptor, 0
        self.ready = select.poll()
        self.ready.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        lines = [self.format(record)]
        if self.dropped:
            at = f"{record.created:.3f}"
            lines.insert(0, f"at={at} level=warning event=log_dropped lines={self.dropped}")
        for line in lines:
            try:
                fits = bool(self.ready.poll(0))
                if fits:
                    os.write(self.descriptor, line.encode()[: select.PIPE_BUF - 1] + b"\n")
            except OSError:  # nobody is there any more
                fits = False
            if not fits:
                self.dropped += 1
                return
            if len(lines) > 1 and line is lines[0]:
                self.dropped = 0


def begin(level: str) -> None:
    handler = Unblocked(sys.stderr.fileno())
    handler.setFormatter(KeyValue())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
