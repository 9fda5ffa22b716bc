"""Output file of a recording. After a write error, writing to the folder is retried with a growing delay."""

from __future__ import annotations

import errno
import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from gatebank.proxy.log import log_kv
from gatebank.recording.packet_writer import file_header
from gatebank.recording.rotation import FileRotation, StoredFile

FIRST_RETRY = 5.0  # Seconds until the first retry after an error; the delay doubles with each retry.
MAX_RETRY = 60.0  # Maximum delay between retries, in seconds.
NS_PER_SECOND = 1e9
CLOSED = -1  # Placeholder for the descriptor while no file is open.


@dataclass(slots=True)
class RecordingCounts:
    """Counts of data events that were written and not written; the log prints the field names."""

    recorded: int = 0
    not_recorded: int = 0


class RecordingOutput:
    """Owns the current output file until `close`. Only the recorder's thread uses this class.

    Args:
        folder: The folder of the recording's files.
        rotation: Decides when a new file starts and which old files are removed.
        counts: The recording's counters, updated here with written and unwritten data events.
        clock: Returns the Unix time in nanoseconds.

    Attributes:
        has_failed: Whether the last attempt to write failed.
        retry_at: Earliest time of the next attempt after an error, in seconds of the monotonic clock.
        size: Size of the current file in bytes.
    """

    def __init__(
        self, folder: Path, rotation: FileRotation, counts: RecordingCounts, clock: Callable[[], int]
    ) -> None:
        self.has_failed = False
        self.retry_at = 0.0
        self.size = 0
        self._folder = folder
        self._rotation = rotation
        self._counts = counts
        self._clock = clock
        self._descriptor = CLOSED
        self._opened_at = 0.0  # In seconds of the monotonic clock.
        self._next_retry = FIRST_RETRY

    @property
    def is_open(self) -> bool:
        """Whether an output file is open."""
        return self._descriptor != CLOSED

    def write(self, blocks: list[bytes], count: int) -> None:
        """Write complete blocks with ``count`` data events; on an error, count the events as not recorded."""
        now = time.monotonic()
        if not self.is_open and now < self.retry_at:
            self._counts.not_recorded += count
            return
        try:
            if not self.is_open or self._rotation.is_full(self.size, now - self._opened_at):
                self._begin_next_file(now)
            self._append(b"".join(blocks))
            self._counts.recorded += count
            self._check_still_there()
        except OSError as error:
            self._counts.not_recorded += count
            self._fail(now, error)

    def close(self) -> None:
        """Close the current file."""
        if self.is_open:
            os.close(self._descriptor)
        self._descriptor = CLOSED

    def _append(self, data: bytes) -> None:
        """Append all of ``data`` or nothing: a partial write to a full disk is truncated away."""
        written = os.write(self._descriptor, data)
        if written < len(data):
            os.ftruncate(self._descriptor, self.size)
            raise _disk_full()
        self.size += written

    def _check_still_there(self) -> None:
        if not os.fstat(self._descriptor).st_nlink:
            raise OSError(errno.ENOENT, "the output file was deleted")

    def _fail(self, now: float, error: OSError) -> None:
        self.close()
        if not self.has_failed:
            log_kv("recording_failed", logging.ERROR, folder=self._folder, why=error.strerror or error)
        self.has_failed = True
        self.retry_at = now + self._next_retry
        self._next_retry = min(2 * self._next_retry, MAX_RETRY)

    def _begin_next_file(self, now: float) -> None:
        """Open the next file and remove the oldest files beyond the limits."""
        self.close()
        entries = [entry for entry in os.scandir(self._folder) if entry.is_file()]
        files = [StoredFile(entry.name, entry.stat().st_size) for entry in entries]
        name = self._rotation.next_name((file.name for file in files), self._clock() / NS_PER_SECOND)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(self._folder / name, flags, 0o600)
        header = file_header(self._rotation.name)
        self.size = os.write(self._descriptor, header)
        self._opened_at = now
        if self.size < len(header):
            raise _disk_full()
        for removed in self._rotation.to_remove([*files, StoredFile(name, self.size)], name):
            (self._folder / removed).unlink(missing_ok=True)
        if self.has_failed:
            not_recorded = self._counts.not_recorded
            log_kv("recording", folder=self._folder, again=True, not_recorded=not_recorded)
        self.has_failed = False
        self._next_retry = FIRST_RETRY


def _disk_full() -> OSError:
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
