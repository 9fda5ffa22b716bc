"""Which files of a recording stand, when one is turned over, and which go. No I/O.

Names sort by time: `NAME-20261201T172338Z-000001.pcapng`; a start goes on behind the highest number there is.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

ENDING = ".pcapng"
FORM = re.compile(r"(.+)-(\d{8}T\d{6}Z)-(\d{6,})" + re.escape(ENDING))


@dataclass(slots=True, frozen=True)
class Shelf:
    """The told bounds: bytes and seconds of a file, files and bytes of all."""

    name: str
    file_bytes: int
    file_seconds: float
    keep_files: int
    keep_bytes: int

    def full(self, size: int, age: float) -> bool:
        """Is the file at hand turned over?"""
        return size >= self.file_bytes or age >= self.file_seconds

    def next(self, there: Iterable[str], at: float) -> str:
        """
        >>> Shelf("m", 9, 9, 9, 9).next(["m-20231114T221320Z-000007.pcapng", "x.txt", "n-x-1.pcapng"], 1.7e9)
        'm-20231114T221320Z-000008.pcapng'
        """
        numbers = [int(found.group(3)) for each in there if (found := self.ours(each))]
        when = datetime.fromtimestamp(at, UTC)
        return f"{self.name}-{when:%Y%m%dT%H%M%SZ}-{max(numbers, default=0) + 1:06d}{ENDING}"

    def ours(self, name: str) -> re.Match[str] | None:
        found = FORM.fullmatch(name)
        return found if found and found.group(1) == self.name else None

    def gone(self, there: Iterable[tuple[str, int]], at_hand: str) -> list[str]:
        """The oldest beyond what is kept; never the one at hand, nor what is not ours.

        >>> files = [(f"m-20231114T221320Z-{n:06d}.pcapng", 40) for n in (1, 2, 3)] + [("notes.txt", 999)]
        >>> Shelf("m", 9, 9, 2, 1000).gone(files, files[2][0]) == [files[0][0]]
        True
        >>> Shelf("m", 9, 9, 9, 80).gone(files, files[2][0]) == [files[0][0]]
        True
        """
        files = sorted((int(f.group(3)), name, size) for name, size in there if (f := self.ours(name)))
        count, total = len(files), sum(size for _, _, size in files)
        found = []
        for _, name, size in files:
            if name == at_hand or (count <= self.keep_files and total <= self.keep_bytes):
                break
            found.append(name)
            count, total = count - 1, total - size
        return found
