"""The recorder: what the service hands it is queued and written by a thread of its own; service never waits.

The queue is bounded in bytes: what does not fit is counted, and the file says where. A batch of whole
blocks is one write, so that a killed process leaves a file that is readable up to its last whole block. A
folder that can't be written to ends recording with one line; it is tried again later.
"""

from __future__ import annotations

import logging
import os
import socket
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

from gatebank.proxy.log import say
from gatebank.recording.packet_writer import Hiding, Track, head
from gatebank.recording.rotation import Shelf
from gatebank.recording.section import Recording

EVERY = 0.05  # s between batches: a batch shares one write, and a killed process loses so much
AGAIN, AGAIN_AT_MOST = 5.0, 60.0  # s before a failed folder is tried again, then twice as long
SWITCH = 0.001  # s that the thread may hold the interpreter: the default 5 ms would show in every answer
PIECE = 64  # events that are written anew before the service may have its turn
EVENT = 200  # bytes that a queued event takes besides its own
PATIENCE = 2.0  # s for what is queued when the service ends
LEAST_KEY = 16  # bytes of a key file


class Unrecordable(Exception):
    """A recording can't begin so; the text says why."""


class Heard:
    """A connection, as the service hands on what it hears of it."""

    __slots__ = ("ends", "lost", "number", "owner", "side")

    def __init__(self, owner: Recorder, side: str, ends: tuple, number: int) -> None:
        self.owner, self.side, self.ends, self.number = owner, side, ends, number
        self.lost = [0, 0]  # bytes of each direction not recorded since the last that were
        owner.put(self, "open", 0, b"", "")

    def asked(self, data: bytes, comment: str = "") -> None:
        """Bytes of who opened the connection: a customer, or this marshal at a node."""
        self.owner.put(self, "data", 0, data, comment)

    def replied(self, data: bytes, comment: str = "") -> None:
        self.owner.put(self, "data", 1, data, comment)

    def ended(self, side: int, abrupt: bool = False, comment: str = "") -> None:
        self.owner.put(self, "reset" if abrupt else "end", side, b"", comment)


class Recorder:
    def __init__(self, told: Recording, folder: Path, name: str) -> None:
        self.folder, self.sides, self.most = folder / told.folder, frozenset(told.sides), told.queue_bytes
        safe = "".join(c if c.isalnum() or c in "._-" else "_" for c in name) or "marshal"
        self.name = safe
        self.shelf = Shelf(safe, told.file_bytes, told.file_seconds, told.keep_files, told.keep_bytes)
        self.hiding = Hiding(
            told.bodies, told.body_bytes, "ticket" in told.hide, "customer" in told.hide, key(told, folder)
        )
        self.offset = time.time_ns() - time.monotonic_ns()  # as the service's clock: never backwards
        self.queue: deque[tuple] = deque()  # bounded by `most`; emptied by the thread
        self.queued = 0  # bytes put in, and taken out: each counted by one thread alone
        self.taken = 0
        self.serial = 0
        self.counts = {"recorded": 0, "not_recorded": 0}
        self.tracks: dict[Heard, Track] = {}  # the thread's; each goes with its connection's end
        self.file = -1
        self.path = ""
        self.size, self.since = 0, 0.0
        self.pause, self.retry_at = AGAIN, 0.0
        self.failed = False
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.work, name="recorder", daemon=True)

    def start(self) -> None:
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        except OSError as trouble:
            raise Unrecordable(f"recording: folder {self.folder}: {trouble.strerror}") from trouble
        sys.setswitchinterval(SWITCH)
        self.thread.start()
        say("recording", folder=self.folder, sides=",".join(sorted(self.sides)))

    # The service's side: none of this waits.

    def clients(self, sock: socket.socket) -> Heard | None:
        """A customer's connection that was accepted; None if that side is not recorded."""
        return self.line("customer", sock, lambda: (sock.getpeername(), sock.getsockname()))

    def nodes(self, sock: socket.socket) -> Heard | None:
        return self.line("node", sock, lambda: (sock.getsockname(), sock.getpeername()))

    def line(self, side: str, sock: socket.socket, ends: Callable[[], tuple]) -> Heard | None:
        if side not in self.sides:
            return None
        try:
            found = tuple((host, port) for host, port, *_ in ends())
        except OSError:  # it is gone already
            return None
        self.serial += 1
        return Heard(self, side, found, self.serial)

    def put(self, heard: Heard, what: str, side: int, data: bytes, comment: str) -> None:
        size = len(data) + len(comment) + EVENT
        ends = what in ("end", "reset")  # always taken: the thread forgets the connection by it
        if self.queued - self.taken + size > self.most and not ends:
            if what == "data":
                heard.lost[side] += len(data)
                self.counts["not_recorded"] += 1
            return
        lost = None
        if heard.lost[0] or heard.lost[1]:
            lost, heard.lost = tuple(heard.lost), [0, 0]
        self.queued += size
        at = time.monotonic_ns() + self.offset
        self.queue.append((size, heard, what, side, at, data, comment, lost))

    def standing(self) -> dict[str, int | str]:
        """For the line on how things stand."""
        return self.counts | {"recorder": "failed" if self.failed else "writing"}

    def stop(self) -> None:
        """What is queued is written, within PATIENCE."""
        self.stopping.set()
        self.thread.join(PATIENCE)

    # The thread's side.

    def work(self) -> None:
        while not self.stopping.wait(EVERY):
            self.batch()
        self.batch()
        self.shut()

    def batch(self) -> None:
        blocks, count, queue = list[bytes](), 0, self.queue
        while queue:
            size, heard, *event = queue.popleft()
            self.taken += size
            stood = len(blocks)
            try:
                self.add(blocks, heard, *event)
            except Exception as trouble:  # of one connection: no other must lose by it
                del blocks[stood:]
                self.tracks.pop(heard, None)
                say("recorder_fault", logging.ERROR, why=repr(trouble))
                continue
            count += event[0] == "data"
            if len(blocks) >= PIECE:
                self.write(blocks, count)
                blocks, count = [], 0
                time.sleep(0)
        if blocks:
            self.write(blocks, count)

    def add(
        self,
        out: list[bytes],
        heard: Heard,
        what: str,
        side: int,
        at: int,
        data: bytes,
        comment: str,
        lost: tuple[int, int] | None,
    ) -> None:
        """One event's blocks."""
        track = self.tracks.get(heard)
        if track is None:
            track = Track(heard.ends, heard.number, heard.side, self.hiding)
            self.tracks[heard] = track
        if lost:
            track.missed(out, lost, at)
        if what == "data":
            track.data(out, side, at, data, comment)
        elif what == "open":
            track.opened(out, at)
        else:
            del self.tracks[heard]
            track.ended(out, side, at, what == "reset", comment)

    def write(self, blocks: list[bytes], count: int) -> None:
        now = time.monotonic()
        if self.file < 0 and now < self.retry_at:
            self.counts["not_recorded"] += count
            return
        try:
            if self.file < 0 or self.shelf.full(self.size, now - self.since):
                self.turn(now)
            data = b"".join(blocks)
            written = os.write(self.file, data)
            if written < len(data):  # the rest of a full disk: no half block stays
                os.ftruncate(self.file, self.size)
                raise OSError(28, os.strerror(28))
            self.size += written
            self.counts["recorded"] += count
            if not os.fstat(self.file).st_nlink:
                raise OSError(2, "the file is gone")
        except OSError as trouble:
            self.counts["not_recorded"] += count
            self.shut()
            if not self.failed:
                say("recording_failed", logging.ERROR, folder=self.folder, why=trouble.strerror or trouble)
            self.failed = True
            self.retry_at, self.pause = now + self.pause, min(2 * self.pause, AGAIN_AT_MOST)

    def turn(self, now: float) -> None:
        """The next file, and the oldest go."""
        self.shut()
        there = [(each.name, each.stat().st_size) for each in os.scandir(self.folder) if each.is_file()]
        at = (time.monotonic_ns() + self.offset) / 1e9
        self.path = self.shelf.next((name for name, _ in there), at)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self.file = os.open(self.folder / self.path, flags, 0o600)
        first = head(self.name)
        self.size, self.since = os.write(self.file, first), now
        if self.size < len(first):
            raise OSError(28, os.strerror(28))
        for name in self.shelf.gone([*there, (self.path, self.size)], self.path):
            (self.folder / name).unlink(missing_ok=True)
        if self.failed:
            say("recording", folder=self.folder, again=True, not_recorded=self.counts["not_recorded"])
        self.failed, self.pause = False, AGAIN

    def shut(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.file = -1


def key(told: Recording, folder: Path) -> bytes:
    """What hashes are keyed with, so that nobody finds a customer by trying names."""
    if not told.key_file:
        return b""
    path = folder / told.key_file
    try:
        found = path.read_bytes().strip()
        mode = path.stat().st_mode
    except OSError as trouble:
        raise Unrecordable(f"recording: key_file {path}: {trouble.strerror}") from trouble
    if len(found) < LEAST_KEY:
        raise Unrecordable(f"recording: key_file {path}: {len(found)} bytes; at least {LEAST_KEY} are needed")
    if mode & 0o077:
        raise Unrecordable(f"recording: key_file {path}: others may read it; mode 0600 is needed")
    return found
