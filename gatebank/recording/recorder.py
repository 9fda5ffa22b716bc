"""The recorder: what the service hands over is queued, and written by a thread; the service never waits.

The queue is bounded in bytes: what does not fit is counted, and the file says where. A batch of whole blocks
is one write, so that a killed process leaves a file that is readable up to its last whole block.
"""

from __future__ import annotations

import logging
import socket
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import asdict
from enum import Enum, auto
from pathlib import Path
from typing import Any, NamedTuple

from gatebank.proxy.log import log_kv
from gatebank.recording.errors import RecordingError
from gatebank.recording.output import RecordingCounts, RecordingOutput
from gatebank.recording.packet_writer import ConnectionEnds, ConnectionWriter
from gatebank.recording.redaction import Redaction
from gatebank.recording.rotation import FileRotation
from gatebank.recording.section import Recording

BATCH_INTERVAL = 0.05  # s between batches: a batch shares one write, and a killed process loses so much
SWITCH_INTERVAL = 0.001  # s that the thread may hold the interpreter: 5 ms would show in every response
BLOCKS_PER_WRITE = 64  # blocks that are made before the service may have its turn
EVENT_OVERHEAD = 200  # bytes that a queued event takes besides its data
STOP_TIMEOUT = 2.0  # s for what is queued when the service ends
MIN_KEY_BYTES = 16  # of a key file
NOTHING_MISSING = [0, 0]  # bytes of each direction
OTHERS_MODE = 0o077  # bits of a file's mode that let others in


class EventKind(Enum):
    """What was heard of a connection."""

    OPENED = auto()
    DATA = auto()
    CLOSED = auto()
    RESET = auto()

    @property
    def is_end(self) -> bool:
        """Whether nothing comes behind it."""
        return self in (EventKind.CLOSED, EventKind.RESET)


class RecordedEvent(NamedTuple):
    """Something heard of a connection, in the queue.

    Attributes:
        connection: The connection.
        kind: What it is.
        side: Who did it: 0 opened the connection, 1 accepted it.
        at: ns of Unix time.
        data: The bytes sent.
        comment: A comment on the last packet.
        missing: Bytes of each direction before this that were not recorded; None if there are none.
        queued_bytes: What it counts in the queue.
    """

    connection: RecordedConnection
    kind: EventKind
    side: int
    at: int
    data: bytes
    comment: str
    missing: tuple[int, int] | None
    queued_bytes: int


class RecordedConnection:
    """A connection, as the service tells what it hears of it.

    Args:
        recorder: The recorder.
        side: The instance's side: "customer" or "node".
        ends: Who opened the connection, and who accepted it.
        number: A number that no other connection has.

    Attributes:
        missing: Bytes of each direction that were not recorded, since the last that were.
    """

    __slots__ = ("_recorder", "ends", "missing", "number", "side")

    def __init__(self, recorder: Recorder, side: str, ends: ConnectionEnds, number: int) -> None:
        self.side = side
        self.ends = ends
        self.number = number
        self.missing = [0, 0]
        self._recorder = recorder
        recorder.put(self, EventKind.OPENED, 0)

    def record_request_bytes(self, data: bytes, comment: str = "") -> None:
        """Bytes of who opened the connection: a client, or this instance to an endpoint."""
        self._recorder.put(self, EventKind.DATA, 0, data, comment)

    def record_reply_bytes(self, data: bytes, comment: str = "") -> None:
        """Bytes of who accepted the connection."""
        self._recorder.put(self, EventKind.DATA, 1, data, comment)

    def record_end(self, side: int, abrupt: bool = False, comment: str = "") -> None:
        """One side ended the connection; ``abrupt``: by a reset."""
        kind = EventKind.RESET if abrupt else EventKind.CLOSED
        self._recorder.put(self, kind, side, b"", comment)


class Recorder:
    """Owns the queue, and the thread that empties it.

    Args:
        recording: What the operators' file says.
        folder: The folder of the operators' file: relative paths begin there.
        name: The instance's name.

    Attributes:
        counts: Pieces of data that were recorded, and that were not.
        output: The file that is written to.

    Raises:
        RecordingError: The key file can't be used.
    """

    def __init__(self, recording: Recording, folder: Path, name: str) -> None:
        self.counts = RecordingCounts()
        self._folder = folder / recording.folder
        self._sides = frozenset(recording.sides)
        self._max_queued_bytes = recording.queue_bytes
        self._redaction = Redaction(
            bodies=recording.bodies,
            body_bytes=recording.body_bytes,
            idempotency_keys="ticket" in recording.hide,
            tenants="customer" in recording.hide,
            hash_key=read_key(recording, folder),
        )
        rotation = FileRotation(
            name=file_name_part(name),
            file_bytes=recording.file_bytes,
            file_seconds=recording.file_seconds,
            keep_files=recording.keep_files,
            keep_bytes=recording.keep_bytes,
        )
        self._clock_offset = time.time_ns() - time.monotonic_ns()
        self.output = RecordingOutput(self._folder, rotation, self.counts, self._now)
        self._queue: deque[RecordedEvent] = deque()
        # Each is written by one thread alone: the service's, and the recorder's.
        self._bytes_put = 0
        self._bytes_taken = 0
        self._last_number = 0
        self._writers: dict[RecordedConnection, ConnectionWriter] = {}  # the thread's; each goes at its end
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait in the queue."""
        return self._bytes_put - self._bytes_taken

    @property
    def open_count(self) -> int:
        """Connections that the thread writes."""
        return len(self._writers)

    def start(self) -> None:
        """Starts the thread.

        Raises:
            RecordingError: The folder can't be made.
        """
        try:
            self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        except OSError as error:
            raise RecordingError("folder", self._folder, str(error.strerror)) from error
        sys.setswitchinterval(SWITCH_INTERVAL)
        self._thread.start()
        log_kv("recording", folder=self._folder, sides=",".join(sorted(self._sides)))

    def stop(self) -> None:
        """Writes what is queued, within STOP_TIMEOUT."""
        self._stopping.set()
        self._thread.join(STOP_TIMEOUT)

    def status_counts(self) -> dict[str, int | str]:
        """The counters for the log line on how things stand."""
        return asdict(self.counts) | {"recorder": "failed" if self.output.has_failed else "writing"}

    # The service's side: none of this waits.

    def record_client(self, sock: socket.socket) -> RecordedConnection | None:
        """A client's connection that was accepted; None if that side is not recorded."""
        return self._connection("customer", lambda: (sock.getpeername(), sock.getsockname()))

    def record_endpoint(self, sock: socket.socket) -> RecordedConnection | None:
        """A connection to an endpoint; None if that side is not recorded."""
        return self._connection("node", lambda: (sock.getsockname(), sock.getpeername()))

    def put(
        self, connection: RecordedConnection, kind: EventKind, side: int, data: bytes = b"", comment: str = ""
    ) -> None:
        """Queues an event, or counts it as not recorded if the queue is full.

        An end is always queued: by it the thread forgets the connection.
        """
        size = len(data) + len(comment) + EVENT_OVERHEAD
        if self._bytes_put - self._bytes_taken + size > self._max_queued_bytes and not kind.is_end:
            if kind is EventKind.DATA:
                connection.missing[side] += len(data)
                self.counts.not_recorded += 1
            return
        missing = None
        if connection.missing != NOTHING_MISSING:
            missing = (connection.missing[0], connection.missing[1])
            connection.missing = [0, 0]
        self._bytes_put += size
        at = time.monotonic_ns() + self._clock_offset
        self._queue.append(RecordedEvent(connection, kind, side, at, data, comment, missing, size))

    def _connection(self, side: str, read_ends: Callable[[], tuple[Any, Any]]) -> RecordedConnection | None:
        if side not in self._sides:
            return None
        try:
            opener, accepter = read_ends()
        except OSError:  # it is gone already
            return None
        self._last_number += 1
        return RecordedConnection(self, side, (opener[:2], accepter[:2]), self._last_number)

    def _now(self) -> int:
        """Ns of Unix time that never go back, as the service's clock."""
        return time.monotonic_ns() + self._clock_offset

    # The thread's side.

    def write_batch(self) -> None:
        """Writes all that is queued."""
        blocks: list[bytes] = []
        count = 0  # pieces of data in them
        while self._queue:
            event = self._queue.popleft()
            self._bytes_taken += event.queued_bytes
            if not self._add_blocks(blocks, event):
                continue
            count += event.kind is EventKind.DATA
            if len(blocks) >= BLOCKS_PER_WRITE:
                self.output.write(blocks, count)
                blocks = []
                count = 0
                time.sleep(0)  # the service's turn
        if blocks:
            self.output.write(blocks, count)

    def _run(self) -> None:
        while not self._stopping.wait(BATCH_INTERVAL):
            self.write_batch()
        self.write_batch()
        self.output.close()

    def _add_blocks(self, blocks: list[bytes], event: RecordedEvent) -> bool:
        """Adds an event's blocks; False if that failed, and its connection is recorded no further."""
        size_before = len(blocks)
        try:
            self._write_event(blocks, event)
        except Exception as error:  # a fault with one connection must not cost the others their recording
            del blocks[size_before:]
            self._writers.pop(event.connection, None)
            log_kv("recorder_fault", logging.ERROR, why=repr(error))
            return False
        return True

    def _write_event(self, blocks: list[bytes], event: RecordedEvent) -> None:
        connection = event.connection
        writer = self._writers.get(connection)
        if writer is None:
            writer = ConnectionWriter(connection.ends, connection.number, connection.side, self._redaction)
            self._writers[connection] = writer
        if event.missing is not None:
            writer.write_gap(blocks, event.missing, event.at)
        match event.kind:
            case EventKind.OPENED:
                writer.write_open(blocks, event.at)
            case EventKind.DATA:
                writer.write_data(blocks, event.side, event.at, event.data, event.comment)
            case EventKind.CLOSED | EventKind.RESET:
                del self._writers[connection]
                abrupt = event.kind is EventKind.RESET
                writer.write_close(blocks, event.side, event.at, abrupt, event.comment)


def file_name_part(name: str) -> str:
    """An instance's name without what has a meaning in file names.

    >>> file_name_part("m/1"), file_name_part("")
    ('m_1', 'marshal')
    """
    safe = "".join(character if character.isalnum() or character in "._-" else "_" for character in name)
    return safe or "marshal"


def read_key(recording: Recording, folder: Path) -> bytes:
    """The key of hashes, so that nobody finds a tenant by trying names; empty if none is named.

    Raises:
        RecordingError: The key file can't be read, is too short, or others may read it.
    """
    if not recording.key_file:
        return b""
    path = folder / recording.key_file
    try:
        key = path.read_bytes().strip()
        mode = path.stat().st_mode
    except OSError as error:
        raise RecordingError("key_file", path, str(error.strerror)) from error
    if len(key) < MIN_KEY_BYTES:
        raise RecordingError("key_file", path, f"{len(key)} bytes; at least {MIN_KEY_BYTES} are needed")
    if mode & OTHERS_MODE:
        raise RecordingError("key_file", path, "others may read it; mode 0600 is needed")
    return key
