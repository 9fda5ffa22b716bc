"""Snapshots: what an instance knows, on its disk, in two files that are written in turn.

A file is a head (magic, length, checksum) and a body in msgpack. It is written under another name, synced and
renamed, so that one of the two is always whole. Its age is by this machine's own clock: within one boot by
the time since boot, else by Unix time. Only a snapshot that was written at shutdown holds the whole last
exposure window.
"""

from __future__ import annotations

import os
import struct
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NamedTuple
from zlib import crc32

import msgspec
from msgspec import Meta, field

from gatebank.errors import GatebankError
from gatebank.state_transfer.items import (
    FORMAT_VERSION,
    READABLE_VERSIONS,
    InvalidItemError,
    Name,
    Number,
    StateItem,
    decode_part,
    encode_part,
)

HEADER = struct.Struct("<8sII")  # magic, bytes of the body, checksum of the body
MAGIC = b"gbknown\x01"
FILE_NAMES = ("known-0", "known-1")
MAX_FILE_BYTES = 64 << 20  # ten thousand endpoints take 2 MB
PRIVATE_MODE = 0o600
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class SnapshotError(GatebankError):
    """A snapshot is not used.

    Attributes:
        reason: why not.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class BootTime(NamedTuple):
    """A moment by the time since boot, sleep included; ``boot_id`` is empty where the system gives none."""

    boot_id: str = ""
    seconds: float = 0.0

    def is_same_boot(self, other: BootTime) -> bool:
        """Returns whether the times of both can be compared."""
        return bool(self.boot_id) and self.boot_id == other.boot_id


NO_BOOT_TIME = BootTime()


class SnapshotOrigin(NamedTuple):
    """Whose snapshot it is: the first values of `Snapshot`, explained there."""

    deployment: str
    name: str
    incarnation: int


class Snapshot(msgspec.Struct, kw_only=True):
    """The body of a file.

    Attributes:
        version: of the items' form.
        deployment: see `protocol.deployment_id`.
        name: of the instance.
        at: Unix time at which it was taken.
        boot_id, since_boot: see `BootTime`.
        at_shutdown: nothing was sent after it.
        part: the items, see `items.Part`.
    """

    version: Annotated[int, Meta(ge=0, le=1_000_000)] = field(default=FORMAT_VERSION, name="form")
    deployment: Name
    name: Name
    incarnation: Number = field(default=0, name="life")
    at: float
    boot_id: Name = field(default="", name="boot")
    since_boot: float = 0.0
    at_shutdown: bool = field(default=False, name="closed")
    part: msgspec.Raw

    @property
    def boot_time(self) -> BootTime:
        """When it was taken, by the time since boot."""
        return BootTime(self.boot_id, self.since_boot)


@dataclass(slots=True, frozen=True)
class LoadedSnapshot:
    """A snapshot that can be used.

    Attributes:
        header: the snapshot's own values.
        items: as old as they are now.
        slot: which of `FILE_NAMES` it was read from.
    """

    header: Snapshot
    items: list[StateItem]
    slot: int = 0


def boot_time() -> BootTime:
    """Returns the present time since boot."""
    try:
        boot_id = BOOT_ID.read_text().strip()
    except OSError:
        return NO_BOOT_TIME
    return BootTime(boot_id, time.clock_gettime(time.CLOCK_BOOTTIME))


def encode_snapshot(
    items: list[StateItem],
    origin: SnapshotOrigin,
    at: float,
    at_shutdown: bool,
    boot: BootTime = NO_BOOT_TIME,
) -> bytes:
    """Returns the bytes of a file; the arguments are explained at `Snapshot`."""
    snapshot = Snapshot(
        deployment=origin.deployment,
        name=origin.name,
        incarnation=origin.incarnation,
        at=at,
        boot_id=boot.boot_id,
        since_boot=boot.seconds,
        at_shutdown=at_shutdown,
        part=msgspec.Raw(encode_part(items)),
    )
    body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, len(body), crc32(body)) + body


def decode_header(data: bytes) -> Snapshot:
    """Returns the values of a file of any deployment and age; its items are not looked at.

    Raises:
        SnapshotError: it is incomplete, changed or no snapshot.
    """
    if len(data) < HEADER.size:
        raise SnapshotError("torn: shorter than its head")
    magic, size, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC:
        raise SnapshotError("no snapshot of this program")
    if len(body) != size or crc32(body) != checksum:
        raise SnapshotError("torn or changed: its checksum is another")
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"it can't be read: {error}") from None


def decode_snapshot(
    data: bytes, deployment: str, now: float, max_age: float, boot: BootTime = NO_BOOT_TIME
) -> LoadedSnapshot:
    """Returns a snapshot with its items, as old as they are now.

    Args:
        data: the bytes of a file.
        deployment: the only one whose snapshots are used.
        now: Unix time.
        max_age: seconds.
        boot: the present time since boot.

    Raises:
        SnapshotError: it is not to be used.
    """
    header = decode_header(data)
    if header.version not in READABLE_VERSIONS:
        raise SnapshotError(f"its form {header.version} is none of {READABLE_VERSIONS}")
    if header.deployment != deployment:
        raise SnapshotError(f"of another deployment ({header.deployment})")
    age = now - header.at
    if boot.is_same_boot(header.boot_time):
        age = boot.seconds - header.since_boot
    if age < 0:
        raise SnapshotError(f"of {-age:.1f} s in the future: the clock was set back")
    if age > max_age:
        raise SnapshotError(f"{age:.0f} s old; at most {max_age:.0f} are used")
    try:
        items = [item.older(age) for item in decode_part(header.part)]
    except (msgspec.DecodeError, InvalidItemError) as error:
        raise SnapshotError(f"it can't be read: {error}") from None
    return LoadedSnapshot(header, items)


def write_snapshot(folder: Path, turn: int, data: bytes) -> None:
    """Replaces one of the two files and leaves the other as it was.

    Args:
        folder: of both files.
        turn: counts the snapshots; even ones go into the first file.
        data: the bytes of the file.

    Raises:
        OSError: it can't be written; both files are as they were.
    """
    path = folder / FILE_NAMES[turn % 2]
    temporary = folder / f"{FILE_NAMES[turn % 2]}.new"
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, PRIVATE_MODE)
    try:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary.replace(path)
    folder_descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(folder_descriptor)
    finally:
        os.close(folder_descriptor)


def load_newest(
    folder: Path, deployment: str, now: float, max_age: float, boot: BootTime = NO_BOOT_TIME
) -> LoadedSnapshot:
    """Returns the younger of the two files that can be used; arguments as of `decode_snapshot`.

    Raises:
        SnapshotError: there is none; the text has the reason for each file.
    """
    loaded: list[LoadedSnapshot] = []
    reasons: list[str] = []
    for slot, name in enumerate(FILE_NAMES):
        path = folder / name
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                reasons.append(f"{name}: more than {MAX_FILE_BYTES} bytes")
                continue
            snapshot = decode_snapshot(path.read_bytes(), deployment, now, max_age, boot)
        except FileNotFoundError:
            continue
        except (OSError, SnapshotError) as error:
            reasons.append(f"{name}: {getattr(error, 'strerror', None) or error}")
            continue
        loaded.append(LoadedSnapshot(snapshot.header, snapshot.items, slot))
    if not loaded:
        raise SnapshotError("; ".join(reasons) or "none is there")
    return max(loaded, key=lambda each: each.header.at)
