"""The ledger's file format: a header and entries of fixed size, each with its number and checksum. No I/O.

After a crash, a file may end with a truncated tail: a part of an entry, or an entry whose end was never
written and reads as zeros. The tail was never synced, so that no request was sent for it. Any other checksum
or format error is damage: a byte has changed in an entry whose request may have been sent, and the ledger is
not used.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum, StrEnum
from typing import NamedTuple
from zlib import crc32

from gatebank.replay.errors import LedgerDamagedError

MAGIC = b"gatebank-ledger\x01"
HEADER = struct.Struct("<16s16sI")  # Magic, the ledger's own name, checksum.
HEADER_CHECKSUM = slice(32, 36)  # Position of the checksum of all preceding header bytes.
# Begin mark, kind, ending, number, Unix time in nanoseconds, name, checksum of all of these, end mark.
ENTRY = struct.Struct("<BBHIQ24sIB3x")
ENTRY_CHECKSUM = slice(40, 44)  # Position of the checksum of all preceding entry bytes.
ENTRY_END = 44  # Position of the end mark.
ENTRY_PADDING = b"\0\0\0"
BEGIN_MARK = 0xA6
END_MARK = 0x5A
MAX_LEDGER_BYTES = 1 << 31  # Maximum size of a ledger's file: 44 million entries.


class EntryKind(IntEnum):
    """State of a request that an entry records for a name; the numbers are stored."""

    ENTERED = 1  # The request is about to be sent.
    ANSWERED = 2
    FREED = 3  # The request was certainly not sent; a later replay may send it.
    UNSURE = 4  # The last byte of the request was written, but no response arrived.


class NameState(StrEnum):
    """Ledger state of a name whose request must not be sent; the guard derives its verdicts from it."""

    REPLAYED = "replayed"
    UNSURE = "unsure"


ENDINGS = ("", "satisfied", "rejected", "broken_off", "none")  # An entry stores the index.
STATES = {
    EntryKind.ENTERED: NameState.UNSURE,
    EntryKind.ANSWERED: NameState.REPLAYED,
    EntryKind.UNSURE: NameState.UNSURE,
}


class LedgerEntry(NamedTuple):
    """An entry of a ledger.

    Attributes:
        kind: The recorded state of the request.
        name: The request's name, 24 bytes.
        at: Unix time in nanoseconds.
        ending: The outcome of an answered request, from ENDINGS.
    """

    kind: EntryKind
    name: bytes
    at: int
    ending: str = ""


class LedgerContents:
    """Contents of a ledger by request name.

    Attributes:
        name: The ledger's own name; empty before the file has a header.
        entries: The last entry of each name; freed names are not included.
        count: Number of entries in the file, including entries of freed names; also the next entry's number.
        size: Size of the valid part of the file in bytes.
        torn_bytes: Size of the truncated tail to be removed from the end of the file.
    """

    def __init__(self, name: bytes) -> None:
        self.name = name
        self.entries: dict[bytes, LedgerEntry] = {}
        self.count = 0
        self.size = HEADER.size
        self.torn_bytes = 0

    def state_of(self, name: bytes) -> NameState | None:
        """Return the ledger state of a name; None if its request may be sent."""
        entry = self.entries.get(name)
        return STATES[entry.kind] if entry else None

    def add(self, entry: LedgerEntry) -> bytes:
        """Add an entry, and return its bytes to be appended to the file."""
        data = encode_entry(self.count, entry)
        self.count += 1
        self.size += len(data)
        if entry.kind is EntryKind.FREED:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        return data

    def unsure_entries(self) -> list[LedgerEntry]:
        """Return the entries of requests that may have run and have no response."""
        return [entry for entry in self.entries.values() if STATES[entry.kind] is NameState.UNSURE]


def encode_header(name: bytes) -> bytes:
    """Encode a ledger's header; ``name`` has 16 bytes."""
    fields = HEADER.pack(MAGIC, name, 0)[: HEADER_CHECKSUM.start]
    return fields + crc32(fields).to_bytes(4, "little")


def encode_entry(number: int, entry: LedgerEntry) -> bytes:
    """Encode an entry; ``number`` is the number of entries before it."""
    ending = ENDINGS.index(entry.ending)
    data = ENTRY.pack(BEGIN_MARK, entry.kind, ending, number, entry.at, entry.name, 0, END_MARK)
    fields = data[: ENTRY_CHECKSUM.start]
    return fields + crc32(fields).to_bytes(4, "little") + data[ENTRY_END:]


def decode_ledger(data: bytes) -> LedgerContents:
    """Decode all bytes of a ledger's file.

    Returns:
        The ledger's contents; the caller must remove `torn_bytes` bytes from the end of the file.

    Raises:
        LedgerDamagedError: The file is damaged or is not a ledger.

    >>> contents = LedgerContents(b"n" * 16)
    >>> whole = encode_header(contents.name) + contents.add(LedgerEntry(EntryKind.ENTERED, b"x" * 24, 5))
    >>> decode_ledger(whole).state_of(b"x" * 24).value
    'unsure'
    >>> decode_ledger(whole[:-1]).torn_bytes, decode_ledger(whole + bytes(9)).torn_bytes
    (47, 9)
    >>> decode_ledger(whole[:70] + b"!" + whole[71:])
    Traceback (most recent call last):
    gatebank.replay.errors.LedgerDamagedError: entry 0 is invalid
    """
    if len(data) < HEADER.size or not data[HEADER_CHECKSUM].strip(b"\0"):
        if any(data[HEADER.size :]):
            raise LedgerDamagedError("the header is missing")
        return _torn(LedgerContents(b""), 0, len(data))
    contents = LedgerContents(_decode_header(data))
    at = HEADER.size
    while at < len(data):
        part = data[at : at + ENTRY.size]
        if _is_torn(part):
            if any(data[at + ENTRY.size :]):
                raise LedgerDamagedError(f"entry {contents.count} ends in zeros, but entries follow it")
            return _torn(contents, at, len(data) - at)
        contents.add(_decode_entry(part, contents.count))
        at += ENTRY.size
    return contents


def _decode_header(data: bytes) -> bytes:
    """Check the header and return the ledger's own name."""
    magic, name, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or crc32(data[: HEADER_CHECKSUM.start]) != checksum:
        is_ledger = magic[:-1] == MAGIC[:-1]
        raise LedgerDamagedError("the header is invalid" if is_ledger else "the file is not a ledger")
    return bytes(name)


def _is_torn(part: bytes) -> bool:
    """Whether the end of this last entry was never written."""
    return len(part) < ENTRY.size or not (part[ENTRY_END] or _has_valid_checksum(part))


def _has_valid_checksum(part: bytes) -> bool:
    return crc32(part[: ENTRY_CHECKSUM.start]) == int.from_bytes(part[ENTRY_CHECKSUM], "little")


def _decode_entry(part: bytes, number: int) -> LedgerEntry:
    begin, kind, ending, own_number, at, name, _, end = ENTRY.unpack(part)
    is_framed = (begin, end, own_number) == (BEGIN_MARK, END_MARK, number)
    is_whole = _has_valid_checksum(part) and is_framed and part[ENTRY_END + 1 :] == ENTRY_PADDING
    if not is_whole or kind not in set(EntryKind) or ending >= len(ENDINGS):
        raise LedgerDamagedError(f"entry {number} is invalid")
    return LedgerEntry(EntryKind(kind), name, at, ENDINGS[ending])


def _torn(contents: LedgerContents, size: int, torn_bytes: int) -> LedgerContents:
    contents.size = size
    contents.torn_bytes = torn_bytes
    return contents


def entered(names: Iterable[bytes], at: int) -> list[LedgerEntry]:
    """Return the entries of a request that is about to be sent; ``at`` is the Unix time in nanoseconds."""
    return [LedgerEntry(EntryKind.ENTERED, name, at) for name in names]
