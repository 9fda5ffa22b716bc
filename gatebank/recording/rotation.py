"""File names of a recording, rotation to a new file and removal of old files. No I/O.

Names sort by time: `NAME-20261201T172338Z-000001.pcapng`. After a restart, numbering continues
after the highest existing number.
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
        name: Prefix of the file names.
        file_bytes: File size in bytes at which a new file is started.
        file_seconds: File age in seconds at which a new file is started.
        keep_files: Maximum number of files; the oldest files beyond it are removed.
        keep_bytes: Maximum total size in bytes; the oldest files beyond it are removed.
    """

    name: str
    file_bytes: int
    file_seconds: float
    keep_files: int
    keep_bytes: int

    def is_full(self, size: int, age: float) -> bool:
        """Whether a file of this size in bytes and age in seconds is to be followed by a new file."""
        return size >= self.file_bytes or age >= self.file_seconds

    def next_name(self, names: Iterable[str], at: float) -> str:
        """Return the name of the next file.

        Args:
            names: The names of all files in the folder.
            at: The Unix time in seconds.

        >>> rotation = FileRotation("m", 9, 9, 9, 9)
        >>> rotation.next_name(["m-20231114T221320Z-000007.pcapng", "x.txt", "n-x-1.pcapng"], 1.7e9)
        'm-20231114T221320Z-000008.pcapng'
        """
        numbers = (self._number(name) for name in names)
        last = max((number for number in numbers if number is not None), default=0)
        time = datetime.fromtimestamp(at, UTC)
        return f"{self.name}-{time:%Y%m%dT%H%M%SZ}-{last + 1:06d}{SUFFIX}"

    def to_remove(self, files: Iterable[StoredFile], current: str) -> list[str]:
        """Return the names of the oldest files beyond the limits.

        Args:
            files: All files in the folder; files that are not of this recording are ignored.
            current: The name of the file being written; it is never removed.

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
        """Return the number of a file of this recording; None for any other file."""
        match = FILE_NAME.fullmatch(file_name)
        if match is None or match["name"] != self.name:
            return None
        return int(match["number"])
