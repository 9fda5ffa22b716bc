"""The ledger's folder: one writer by a lock, entries synced in groups before anything is sent.

`Ledger.enter` returns once its entries are on the disk. While a sync runs, what else is to be entered gathers
and shares the next one, so that a busy replay pays a sync for many. What becomes of each request is written
without waiting: if that is lost, the request stays *unsure*, which errs on the safe side.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import time
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from gatebank.replay.entries import (
    MAX_LEDGER_BYTES,
    EntryKind,
    LedgerBook,
    LedgerEntry,
    NameState,
    decode_ledger,
    encode_header,
    entered,
)
from gatebank.replay.errors import LedgerDamagedError, LedgerError

NAME_BYTES = 16  # of a ledger's own name
FILE_NAME = "ledger"
LOCK_NAME = "lock"
MAX_HOLDER_BYTES = 32  # of the lock file: the number of the process that holds it
READ_BYTES = 1 << 20  # read at once
CLOSED = -1  # instead of a descriptor


class PendingWrite(NamedTuple):
    """Bytes that wait for the next write.

    Attributes:
        data: The bytes of entries.
        synced: Done once they are on the disk; None if nobody waits for that.
    """

    data: bytes
    synced: asyncio.Future[None] | None


class Ledger:
    """Owns the lock, the file and the thread that writes to it; all are given back in `close`.

    Args:
        folder: The ledger's folder.

    Attributes:
        path: The ledger's file.
        book: What it says.
        broken: Why nothing can be written any more; None while it can.
        syncs: How often the file was synced.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self.book = LedgerBook(b"")
        self.broken: LedgerError | None = None
        self.syncs = 0
        self._folder = folder
        self._lock = CLOSED
        self._file = CLOSED
        self._pending: list[PendingWrite] = []  # emptied by each write
        self._writing: asyncio.Task[None] | None = None
        self._thread: ThreadPoolExecutor | None = None

    @property
    def name(self) -> bytes:
        """The ledger's own name."""
        return self.book.name

    def open(self) -> None:
        """Takes the lock, reads all, cuts a torn tail off, and makes sure that the file can be written.

        Raises:
            LedgerError: Any of these can't be done.
        """
        try:
            self._open()
        except LedgerDamagedError as error:
            self.close()
            reason = (
                f"damaged, {error}; nothing is sent. What it held may have been sent: "
                "use a copy from before, or a new folder with captures that it never saw"
            )
            raise LedgerError(self.path, reason) from error
        except OSError as error:
            self.close()
            raise LedgerError(self._folder, str(error.strerror)) from error
        except LedgerError:
            self.close()
            raise
        self._thread = ThreadPoolExecutor(1, "ledger")

    def state_of(self, name: bytes) -> NameState | None:
        """What the ledger holds of a name; None if it may be sent."""
        return self.book.state_of(name)

    def enter(self, names: Iterable[bytes]) -> asyncio.Future[None]:
        """Enters a request that is about to be sent.

        The book holds its names at once, so that the same can't be entered twice meanwhile.

        Returns:
            Done once the entries are on the disk; fails with LedgerError if they can't be written.
        """
        synced: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.broken:
            synced.set_exception(self.broken)
            return synced
        self._add(entered(names, time.time_ns()), synced)
        return synced

    def record_outcome(self, names: Iterable[bytes], kind: EntryKind, ending: str = "") -> None:
        """Writes what became of a request, without waiting until it is on the disk."""
        self._add([LedgerEntry(kind, name, time.time_ns(), ending) for name in names], None)

    async def finish(self) -> None:
        """Writes and syncs all that is pending, and closes the ledger."""
        while self._writing and not self._writing.done():
            await asyncio.wait([self._writing])
        if self._file != CLOSED and not self.broken:
            try:
                await asyncio.get_running_loop().run_in_executor(self._thread, os.fdatasync, self._file)
            except OSError as error:
                self.broken = LedgerError(self.path, str(error.strerror))
        self.close()

    def close(self) -> None:
        """Ends the thread, and gives the file and the lock back."""
        if self._thread:
            self._thread.shutdown()
        for descriptor in (self._file, self._lock):
            if descriptor != CLOSED:
                os.close(descriptor)
        self._file = CLOSED
        self._lock = CLOSED

    def write(self, data: bytes, sync: bool) -> None:
        """Writes entries at the file's end, in the ledger's thread; ``sync``: and waits for the disk."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self._file, rest) :]
        if sync:
            os.fdatasync(self._file)
            self.syncs += 1

    # Opening.

    def _open(self) -> None:
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._take_lock()
        self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        size = os.fstat(self._file).st_size
        if size > MAX_LEDGER_BYTES:
            raise LedgerError(self.path, f"{size} bytes; at most {MAX_LEDGER_BYTES} are read")
        self.book = decode_ledger(self._read(size))
        if self.book.torn_bytes:
            os.ftruncate(self._file, self.book.size)
        if not self.book.name:
            self.book = LedgerBook(os.urandom(NAME_BYTES))
            os.pwrite(self._file, encode_header(self.book.name), 0)
        os.lseek(self._file, self.book.size, os.SEEK_SET)
        os.fsync(self._file)  # also shows whether it can be written
        self._sync_folder()

    def _take_lock(self) -> None:
        self._lock = os.open(self._folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            holder = os.pread(self._lock, MAX_HOLDER_BYTES, 0).decode(errors="replace").strip() or "?"
            raise LedgerError(self._folder, f"another replay holds it (process {holder})") from None
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, str(os.getpid()).encode(), 0)

    def _read(self, size: int) -> bytes:
        parts = []
        at = 0
        while at < size and (part := os.pread(self._file, min(READ_BYTES, size - at), at)):
            parts.append(part)
            at += len(part)
        return b"".join(parts)

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    # Writing.

    def _add(self, entries: Sequence[LedgerEntry], synced: asyncio.Future[None] | None) -> None:
        self._pending.append(PendingWrite(b"".join(map(self.book.add, entries)), synced))
        if self._writing is None or self._writing.done():
            self._writing = asyncio.ensure_future(self._write_pending())

    async def _write_pending(self) -> None:
        loop = asyncio.get_running_loop()
        while self._pending and not self.broken:
            group = self._pending
            self._pending = []
            data = b"".join(pending.data for pending in group)
            waiting = [pending.synced for pending in group if pending.synced]
            try:
                await loop.run_in_executor(self._thread, self.write, data, bool(waiting))
            except OSError as error:
                self.broken = LedgerError(self.path, str(error.strerror))
                waiting += [pending.synced for pending in self._pending if pending.synced]
            for synced in waiting:
                if synced.done():
                    continue
                if self.broken:
                    synced.set_exception(self.broken)
                else:
                    synced.set_result(None)
