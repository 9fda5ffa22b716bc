"""Snapshots: an instance's items on its disk, in two files that are written alternately.

A file consists of a header (magic, length, checksum) and a body in msgpack. A file is written under a
temporary name, synced and renamed, so that one of the two files is always complete. The age of a snapshot is
computed from this machine's clock: from the time since boot if the machine has not rebooted, otherwise from
Unix time. Only a snapshot that was written at shutdown holds the whole last exposure window.
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

# Magic, size of the body in bytes, checksum of the body.
HEADER = struct.Struct("<8sII")
MAGIC = b"gbknown\x01"
FILE_NAMES = ("known-0", "known-1")
# Maximum size of a file: 10,000 endpoints take 2 MB.
MAX_FILE_BYTES = 64 << 20
PRIVATE_MODE = 0o600
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class SnapshotError(GatebankError):
    """A snapshot cannot be used.

    Attributes:
        reason: Why the snapshot cannot be used.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class BootTime(NamedTuple):
    """A point in time on the clock that counts from the machine's boot, including suspended time.

    Attributes:
        boot_id: Id of the boot; empty if the system does not provide the id.
        seconds: Seconds since the boot.
    """

    boot_id: str = ""
    seconds: float = 0.0

    def is_same_boot(self, other: BootTime) -> bool:
        """Returns whether both times belong to the same boot, and can be compared."""
        return bool(self.boot_id) and self.boot_id == other.boot_id


NO_BOOT_TIME = BootTime()


class SnapshotOrigin(NamedTuple):
    """The instance that wrote a snapshot; the fields are those of `Snapshot` with the same names."""

    deployment: str
    name: str
    incarnation: int


class Snapshot(msgspec.Struct, kw_only=True):
    """The body of a snapshot file.

    Attributes:
        version: Version of the items' stored form.
        deployment: Id of the deployment, see `protocol.deployment_id`.
        name: Name of the instance.
        incarnation: Random number of the instance's start.
        at: Unix time of the snapshot.
        boot_id: Id of the boot in which the snapshot was taken, see `BootTime`.
        since_boot: Seconds since that boot, see `BootTime`.
        at_shutdown: Whether the snapshot was taken at shutdown, after which no attempt was sent.
        part: The encoded items, see `items.Part`.
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
        """Time of the snapshot on the clock that counts from boot."""
        return BootTime(self.boot_id, self.since_boot)


@dataclass(slots=True, frozen=True)
class LoadedSnapshot:
    """A snapshot that was read and can be used.

    Attributes:
        header: The snapshot's own fields.
        items: The items, with their ages at the time of reading.
        slot: Index in `FILE_NAMES` of the file.
    """

    header: Snapshot
    items: list[StateItem]
    slot: int = 0


def boot_time() -> BootTime:
    """Returns the current time since boot."""
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
    """Returns the contents of a snapshot file.

    Args:
        items: The items to store.
        origin: The instance that writes the snapshot.
        at: Unix time of the snapshot.
        at_shutdown: Whether the snapshot is taken at shutdown.
        boot: Time of the snapshot on the clock that counts from boot.
    """
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
    """Returns the fields of a snapshot of any deployment and age, without decoding its items.

    Args:
        data: Contents of the file.

    Raises:
        SnapshotError: The file is truncated, corrupted or not a snapshot.
    """
    if len(data) < HEADER.size:
        raise SnapshotError("truncated: shorter than the header")
    magic, size, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC:
        raise SnapshotError("not a snapshot of this program")
    if len(body) != size or crc32(body) != checksum:
        raise SnapshotError("truncated or corrupted: checksum mismatch")
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"cannot be decoded: {error}") from None


def decode_snapshot(
    data: bytes, deployment: str, now: float, max_age: float, boot: BootTime = NO_BOOT_TIME
) -> LoadedSnapshot:
    """Returns a snapshot with its items, which have their current ages.

    Args:
        data: Contents of the file.
        deployment: Id of the deployment; snapshots of other deployments are refused.
        now: Current Unix time.
        max_age: Maximum age of the snapshot in seconds.
        boot: Current time since boot.

    Raises:
        SnapshotError: The snapshot cannot be used.
    """
    header = decode_header(data)
    if header.version not in READABLE_VERSIONS:
        raise SnapshotError(f"snapshot has form {header.version}; readable forms are {READABLE_VERSIONS}")
    if header.deployment != deployment:
        raise SnapshotError(f"snapshot belongs to another deployment ({header.deployment})")
    age = now - header.at
    if boot.is_same_boot(header.boot_time):
        age = boot.seconds - header.since_boot
    if age < 0:
        raise SnapshotError(f"taken {-age:.1f} s in the future: the clock was set back")
    if age > max_age:
        raise SnapshotError(f"{age:.0f} s old; the maximum is {max_age:.0f} s")
    try:
        items = [item.older(age) for item in decode_part(header.part)]
    except (msgspec.DecodeError, InvalidItemError) as error:
        raise SnapshotError(f"cannot be decoded: {error}") from None
    return LoadedSnapshot(header, items)


def write_snapshot(folder: Path, turn: int, data: bytes) -> None:
    """Replaces one of the two files, and leaves the other unchanged.

    Args:
        folder: Folder of both files.
        turn: Number of the snapshot; snapshots with even numbers are written to the first file.
        data: New contents of the file.

    Raises:
        OSError: The file cannot be written; both files are unchanged.
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
    """Returns the newer usable snapshot of the two files.

    Args:
        folder: Folder of both files.
        deployment: Id of the deployment; snapshots of other deployments are refused.
        now: Current Unix time.
        max_age: Maximum age of the snapshot in seconds.
        boot: Current time since boot.

    Raises:
        SnapshotError: Neither file can be used; the text has the reason for each file.
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
        raise SnapshotError("; ".join(reasons) or "no snapshot found")
    return max(loaded, key=lambda candidate: candidate.header.at)
