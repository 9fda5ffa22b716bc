"""Log lines as key=value, one event a line, on standard error."""

from __future__ import annotations

import logging
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


def begin(level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    logging.raiseExceptions = False  # a log that nobody takes is no reason to stop
