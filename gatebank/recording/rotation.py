"""Which files of a recording there are, when the next one begins, and which are removed. No I/O.

Names sort by time: `NAME-20261201T172338Z-000001.pcapng`; a start goes on behind the highest number there is.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import NamedTuple

SUFFIX = ".pcapng"
FILE_NAME = re.compile(r"(?P<name>.+)-(\d{8}T\d{6}Z)-(?P<number>\d{6,})" + re.escape(SUFFIX))


class StoredFile(NamedTuple):
    """A file in the recording's folder: its name and its size in bytes."""

    name: str
    size: int


class NumberedFile(NamedTuple):
    """A file of this recording: its number, its name and its size in bytes."""

    number: int
    name: str
    size: int


@dataclass(slots=True, frozen=True)
class FileRotation:
    """The limits of a recording's files.

    Attributes:
        name: What the files' names begin with.
        file_bytes: The next file begins once one has so many bytes.
        file_seconds: The next file begins once one is so old.
        keep_files: The oldest files are removed beyond this number.
        keep_bytes: The oldest files are removed while all together have more bytes.
    """

    name: str
    file_bytes: int
    file_seconds: float
    keep_files: int
    keep_bytes: int

    def is_full(self, size: int, age: float) -> bool:
        """Whether the next file begins behind one of this size in bytes and age in seconds."""
        return size >= self.file_bytes or age >= self.file_seconds

    def next_name(self, names: Iterable[str], at: float) -> str:
        """The name of the next file.

        Args:
            names: All names in the folder.
            at: s of Unix time.

        >>> rotation = FileRotation("m", 9, 9, 9, 9)
        >>> rotation.next_name(["m-20231114T221320Z-000007.pcapng", "x.txt", "n-x-1.pcapng"], 1.7e9)
        'm-20231114T221320Z-000008.pcapng'
        """
        numbers = (self._number(name) for name in names)
        last = max((number for number in numbers if number is not None), default=0)
        time = datetime.fromtimestamp(at, UTC)
        return f"{self.name}-{time:%Y%m%dT%H%M%SZ}-{last + 1:06d}{SUFFIX}"

    def to_remove(self, files: Iterable[StoredFile], current: str) -> list[str]:
        """The names of the oldest files beyond what is kept.

        Args:
            files: All files in the folder; those of others never count.
            current: The file that is written to; it is never removed.

        >>> files = [StoredFile(f"m-20231114T221320Z-{n:06d}.pcapng", 40) for n in (1, 2, 3)]
        >>> files.append(StoredFile("notes.txt", 999))
        >>> FileRotation("m", 9, 9, 2, 1000).to_remove(files, files[2].name) == [files[0].name]
        True
        >>> FileRotation("m", 9, 9, 9, 80).to_remove(files, files[2].name) == [files[0].name]
        True
        """
        own_files = sorted(
            NumberedFile(number, file.name, file.size)
            for file in files
            if (number := self._number(file.name)) is not None
        )
        count = len(own_files)
        total = sum(file.size for file in own_files)
        removed = []
        for file in own_files:
            if file.name == current or (count <= self.keep_files and total <= self.keep_bytes):
                break
            removed.append(file.name)
            count -= 1
            total -= file.size
        return removed

    def _number(self, file_name: str) -> int | None:
        """The number of a file of this recording; None for any other file."""
        match = FILE_NAME.fullmatch(file_name)
        if match is None or match["name"] != self.name:
            return None
        return int(match["number"])
