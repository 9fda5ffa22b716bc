"""The ledger's folder: a lock admits one writer, and entries are synced in groups before requests are sent.

The future of `Ledger.enter` is done once its entries are on the disk. Entries added during a sync share the
next sync, so that a busy replay needs one sync for many requests. Outcomes of requests are written without
waiting for the disk: if an outcome is lost, the request stays *unsure* and is not sent again, which is safe.
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
    LedgerContents,
    LedgerEntry,
    NameState,
    decode_ledger,
    encode_header,
    entered,
)
from gatebank.replay.errors import LedgerDamagedError, LedgerError

NAME_BYTES = 16  # Length of a ledger's own name.
FILE_NAME = "ledger"
LOCK_NAME = "lock"
MAX_HOLDER_BYTES = 32  # Maximum bytes read from the lock file, which contains its holder's process id.
READ_BYTES = 1 << 20  # Maximum size of one read.
CLOSED = -1  # Placeholder for a descriptor that is not open.


class PendingWrite(NamedTuple):
    """Bytes to be written with the next write.

    Attributes:
        data: The encoded entries.
        synced: Future that is done once the entries are on the disk; None if no task waits for the disk.
    """

    data: bytes
    synced: asyncio.Future[None] | None


class Ledger:
    """Owns the lock, the file and the thread that writes to the file, until `close`.

    Args:
        folder: The ledger's folder.

    Attributes:
        path: The ledger's file.
        book: The ledger's contents.
        broken: The error that prevents further writes; None if there is none.
        syncs: Number of syncs of the file.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self.contents = LedgerContents(b"")
        self.broken: LedgerError | None = None
        self.syncs = 0
        self._folder = folder
        self._lock = CLOSED
        self._file = CLOSED
        self._pending: list[PendingWrite] = []  # Each write empties the list.
        self._writing: asyncio.Task[None] | None = None
        self._thread: ThreadPoolExecutor | None = None

    @property
    def name(self) -> bytes:
        """The ledger's own name."""
        return self.contents.name

    def open(self) -> None:
        """Take the lock, read the file, remove a truncated tail, and check that the file can be written.

        Raises:
            LedgerError: One of these steps fails.
        """
        try:
            self._open()
        except LedgerDamagedError as error:
            self.close()
            reason = (
                f"damaged, {error}; nothing is sent. The requests in it may have been sent: "
                "use an earlier copy, or a new folder with captures that were never replayed with this ledger"
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
        """Return the ledger state of a name; None if its request may be sent."""
        return self.contents.state_of(name)

    def enter(self, names: Iterable[bytes]) -> asyncio.Future[None]:
        """Add the names of a request that is about to be sent.

        The names are in `contents` immediately, so that the guard withholds another request with one of them.

        Returns:
            A future that is done once the entries are on the disk, or fails with LedgerError.
        """
        synced: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.broken:
            synced.set_exception(self.broken)
            return synced
        self._add(entered(names, time.time_ns()), synced)
        return synced

    def record_outcome(self, names: Iterable[bytes], kind: EntryKind, ending: str = "") -> None:
        """Write the outcome of a request without waiting for the disk."""
        self._add([LedgerEntry(kind, name, time.time_ns(), ending) for name in names], None)

    async def finish(self) -> None:
        """Write and sync all pending entries, and close the ledger."""
        while self._writing and not self._writing.done():
            await asyncio.wait([self._writing])
        if self._file != CLOSED and not self.broken:
            try:
                await asyncio.get_running_loop().run_in_executor(self._thread, os.fdatasync, self._file)
            except OSError as error:
                self.broken = LedgerError(self.path, str(error.strerror))
        self.close()

    def close(self) -> None:
        """End the thread, close the file and release the lock."""
        if self._thread:
            self._thread.shutdown()
        for descriptor in (self._file, self._lock):
            if descriptor != CLOSED:
                os.close(descriptor)
        self._file = CLOSED
        self._lock = CLOSED

    def write(self, data: bytes, sync: bool) -> None:
        """Append entries in the ledger's thread; with ``sync``, also wait for the disk."""
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
        self.contents = decode_ledger(self._read(size))
        if self.contents.torn_bytes:
            os.ftruncate(self._file, self.contents.size)
        if not self.contents.name:
            self.contents = LedgerContents(os.urandom(NAME_BYTES))
            os.pwrite(self._file, encode_header(self.contents.name), 0)
        os.lseek(self._file, self.contents.size, os.SEEK_SET)
        os.fsync(self._file)  # Also checks that the file can be written.
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
        self._pending.append(PendingWrite(b"".join(map(self.contents.add, entries)), synced))
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
