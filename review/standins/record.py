"""The record of a run: what was sent, answered and run, one line for each event."""

from __future__ import annotations

import time
from pathlib import Path
from types import TracebackType
from typing import Self


class Record:
    """Writes lines with the seconds since the start of the run; also prints the important ones.

    Args:
        path: The file, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.file.close()

    def note(self, text: str) -> None:
        """Write a line to the record."""
        print(f"{time.monotonic() - self.began:9.3f} {text}", file=self.file, flush=True)

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)
