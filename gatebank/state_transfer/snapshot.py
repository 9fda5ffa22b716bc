"""What is known, kept in two files in turn: written aside, synced, renamed, and read at the next start.

A file is a head (magic, length, checksum) and a body in msgpack. Its age is this machine's own clock's:
written before now or refused. Only an orderly end's snapshot holds the whole last window of exposure.
"""

from __future__ import annotations

import os
import struct
import time
from pathlib import Path
from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta

from gatebank.state_transfer.items import FORMS, VERSION, Known, Name, Number, Unsound, pack, unpack

HEAD = struct.Struct("<8sII")  # magic, bytes of the body, checksum of the body
MAGIC = b"gbknown\x01"
NAMES = ("known-0", "known-1")
Boot = tuple[str, float]
NO_BOOT: Boot = ("", 0.0)
MOST = 64 << 20  # bytes of a file: ten thousand nodes take 2 MB


class Snapshot(msgspec.Struct, kw_only=True):
    form: Annotated[int, Meta(ge=0, le=1_000_000)] = VERSION
    deployment: Name
    name: Name
    life: Number = 0
    at: float  # Unix time of this machine when it was taken
    boot: Name = ""  # of the machine, and s since it: within one boot ages are exact whatever clocks do
    since_boot: float = 0.0
    closed: bool = False  # at an orderly end: nothing was sent after it
    part: msgspec.Raw


class Refused(Exception):
    """A snapshot is not used; the text says why."""


def seal(told: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(told)
    return HEAD.pack(MAGIC, len(body), crc32(body)) + body


def booted() -> tuple[str, float]:
    """Which boot of the machine this is, and s since it, sleep counted."""
    try:
        which = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return "", 0.0
    return which, time.clock_gettime(time.CLOCK_BOOTTIME)


def made(
    items: list[Known], deployment: str, name: str, life: int, at: float, closed: bool, boot: Boot = NO_BOOT
) -> bytes:
    part = msgspec.Raw(pack(items))
    place = {"deployment": deployment, "name": name, "life": life, "at": at, "closed": closed}
    return seal(Snapshot(**place, boot=boot[0], since_boot=boot[1], part=part))


def peek(data: bytes) -> Snapshot:
    """A snapshot's own words, whatever its deployment and age."""
    if len(data) < HEAD.size:
        raise Refused("torn: shorter than its head")
    magic, size, check = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if magic != MAGIC:
        raise Refused("no snapshot of this program")
    if len(body) != size or crc32(body) != check:
        raise Refused("torn or changed: its checksum is another")
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as trouble:
        raise Refused(f"it can't be read: {trouble}") from None


def opened(
    data: bytes, deployment: str, now: float, most_age: float, boot: Boot = NO_BOOT
) -> tuple[Snapshot, list[Known]]:
    """A snapshot and its items, as old as they are now; Refused names what is wrong."""
    told = peek(data)
    try:
        if told.form not in FORMS:
            raise Refused(f"its form {told.form} is none of {FORMS}")
        if told.deployment != deployment:
            raise Refused(f"of another deployment ({told.deployment})")
        age = boot[1] - told.since_boot if boot[0] and boot[0] == told.boot else now - told.at
        if age < 0:
            raise Refused(f"of {-age:.1f} s in the future: the clock was set back")
        if age > most_age:
            raise Refused(f"{age:.0f} s old; at most {most_age:.0f} are used")
        items = [each.older(age) for each in unpack(told.part)]
    except (msgspec.DecodeError, Unsound) as trouble:
        raise Refused(f"it can't be read: {trouble}") from None
    return told, items  # type: ignore[return-value]


def write(folder: Path, turn: int, data: bytes) -> None:
    """One of the two files anew; the other stays as it was. OSError if it can't be."""
    path = folder / NAMES[turn % 2]
    aside = folder / f"{NAMES[turn % 2]}.new"
    descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(aside, path)
    of_folder = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(of_folder)
    finally:
        os.close(of_folder)


def newest(
    folder: Path, deployment: str, now: float, most_age: float, boot: Boot = NO_BOOT
) -> tuple[Snapshot, list[Known], int]:
    """The younger of the two that can be used, and which; Refused with the reason of each if none can."""
    found: list[tuple[Snapshot, list[Known], int]] = []
    why: list[str] = []
    for turn, name in enumerate(NAMES):
        path = folder / name
        try:
            if path.stat().st_size > MOST:
                raise Refused(f"more than {MOST} bytes")
            found.append((*opened(path.read_bytes(), deployment, now, most_age, boot), turn))
        except FileNotFoundError:
            continue
        except (OSError, Refused) as trouble:
            why.append(f"{name}: {getattr(trouble, 'strerror', None) or trouble}")
    if not found:
        raise Refused("; ".join(why) or "none is there")
    return max(found, key=lambda each: each[0].at)
