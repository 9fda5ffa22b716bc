"""Recorder: the service queues events and a thread writes them, so that the service never waits.

The queue is bounded in bytes: data that does not fit is counted, and a comment in the file marks the gap. A
batch of complete blocks is written at once, so that the file of a killed process is readable up to its last
complete block.
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

# Seconds between batches: the events of a batch share one write, and a killed process loses one interval.
BATCH_INTERVAL = 0.05
# Seconds that a thread may hold the interpreter: the default of 5 ms would delay every response noticeably.
SWITCH_INTERVAL = 0.001
BLOCKS_PER_WRITE = 64  # Blocks encoded before the thread yields the interpreter to the service.
EVENT_OVERHEAD = 200  # Memory of a queued event in addition to its data and comment, in bytes.
STOP_TIMEOUT = 2.0  # Seconds to write the queued events when the service ends.
MIN_KEY_BYTES = 16  # Minimum length of the key in a key file.
NOTHING_MISSING = [0, 0]  # Unrecorded bytes of each direction.
OTHERS_MODE = 0o077  # File mode bits that grant access to the group and to others.


class EventKind(Enum):
    """Type of an event of a connection."""

    OPENED = auto()
    DATA = auto()
    CLOSED = auto()
    RESET = auto()

    @property
    def is_end(self) -> bool:
        """Whether this is the last event of its connection."""
        return self in (EventKind.CLOSED, EventKind.RESET)


class RecordedEvent(NamedTuple):
    """A queued event of a connection.

    Attributes:
        connection: The connection.
        kind: The type of the event.
        side: The side that caused the event: 0 opened the connection, 1 accepted it.
        at: Time of the event in nanoseconds of Unix time.
        data: The bytes sent.
        comment: A comment for the last packet of the event.
        missing: Unrecorded bytes of each direction before this event; None if there are none.
        queued_bytes: The event's share of the queue's size limit.
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
    """Recording of one connection; the service calls its methods for the connection's events.

    Args:
        recorder: The recorder that queues the events.
        side: "customer" for a client's connection, "node" for a connection to an endpoint.
        ends: Addresses of the side that opened the connection and of the side that accepted it.
        number: The connection's number, unique within the recording.

    Attributes:
        missing: Unrecorded bytes of each direction since the last queued event.
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
        """Record bytes sent by side 0: by a client, or by this instance to an endpoint."""
        self._recorder.put(self, EventKind.DATA, 0, data, comment)

    def record_reply_bytes(self, data: bytes, comment: str = "") -> None:
        """Record bytes sent by side 1, which accepted the connection."""
        self._recorder.put(self, EventKind.DATA, 1, data, comment)

    def record_end(self, side: int, abrupt: bool = False, comment: str = "") -> None:
        """Record that ``side`` ended the connection; ``abrupt`` means by a reset."""
        kind = EventKind.RESET if abrupt else EventKind.CLOSED
        self._recorder.put(self, kind, side, b"", comment)


class Recorder:
    """Owns the event queue and the thread that writes the queued events.

    Args:
        recording: The `recording(...)` section of the operators' file.
        folder: The folder of the operators' file; relative paths are resolved against it.
        name: The instance's name.

    Attributes:
        counts: Counts of data events that were recorded and not recorded.
        output: The output files.

    Raises:
        RecordingError: The key file cannot be used.
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
        # Only the service's thread changes `_bytes_put`; only the recorder's thread changes `_bytes_taken`.
        self._bytes_put = 0
        self._bytes_taken = 0
        self._last_number = 0
        self._writers: dict[
            RecordedConnection, ConnectionWriter
        ] = {}  # Used only by the recorder's thread; an entry is removed at its connection's end.
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)

    @property
    def queued_bytes(self) -> int:
        """Number of bytes in the queue."""
        return self._bytes_put - self._bytes_taken

    @property
    def open_count(self) -> int:
        """Number of connections with a writer."""
        return len(self._writers)

    def start(self) -> None:
        """Create the folder and start the thread.

        Raises:
            RecordingError: The folder cannot be created.
        """
        try:
            self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        except OSError as error:
            raise RecordingError("folder", self._folder, str(error.strerror)) from error
        sys.setswitchinterval(SWITCH_INTERVAL)
        self._thread.start()
        log_kv("recording", folder=self._folder, sides=",".join(sorted(self._sides)))

    def stop(self) -> None:
        """Stop the thread after it has written the queued events, or after STOP_TIMEOUT."""
        self._stopping.set()
        self._thread.join(STOP_TIMEOUT)

    def status_counts(self) -> dict[str, int | str]:
        """Return the counters and the state for the periodic status log line."""
        return asdict(self.counts) | {"recorder": "failed" if self.output.has_failed else "writing"}

    # Called by the service's thread; none of these methods blocks.

    def record_client(self, sock: socket.socket) -> RecordedConnection | None:
        """Start recording an accepted client connection; None if client connections are not recorded."""
        return self._connection("customer", lambda: (sock.getpeername(), sock.getsockname()))

    def record_endpoint(self, sock: socket.socket) -> RecordedConnection | None:
        """Start recording a connection to an endpoint; None if these connections are not recorded."""
        return self._connection("node", lambda: (sock.getsockname(), sock.getpeername()))

    def put(
        self, connection: RecordedConnection, kind: EventKind, side: int, data: bytes = b"", comment: str = ""
    ) -> None:
        """Queue an event; if the queue is full, drop the event and count its data as not recorded.

        The end of a connection is always queued, because the thread then removes the connection's writer.
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
        except OSError:  # The connection has already ended.
            return None
        self._last_number += 1
        return RecordedConnection(self, side, (opener[:2], accepter[:2]), self._last_number)

    def _now(self) -> int:
        """Return the Unix time in nanoseconds; it never goes backwards, like the service's clock."""
        return time.monotonic_ns() + self._clock_offset

    # Called by the recorder's thread.

    def write_batch(self) -> None:
        """Write all queued events."""
        blocks: list[bytes] = []
        count = 0  # Number of data events in `blocks`.
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
                time.sleep(0)  # Yields the interpreter to the service's thread.
        if blocks:
            self.output.write(blocks, count)

    def _run(self) -> None:
        while not self._stopping.wait(BATCH_INTERVAL):
            self.write_batch()
        self.write_batch()
        self.output.close()

    def _add_blocks(self, blocks: list[bytes], event: RecordedEvent) -> bool:
        """Append an event's blocks; on an error, drop the connection's writer and return False."""
        size_before = len(blocks)
        try:
            self._write_event(blocks, event)
        except Exception as error:  # An error of one connection must not end the recording of the others.
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
    """Return the name with each character that is unsafe in file names replaced by an underscore.

    >>> file_name_part("m/1"), file_name_part("")
    ('m_1', 'marshal')
    """
    safe = "".join(character if character.isalnum() or character in "._-" else "_" for character in name)
    return safe or "marshal"


def read_key(recording: Recording, folder: Path) -> bytes:
    """Read the key of the hashes; return empty bytes if no key file is configured.

    Without a key, a tenant could be identified by hashing candidate names.

    Raises:
        RecordingError: The key file cannot be read, is too short, or is accessible to other users.
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
