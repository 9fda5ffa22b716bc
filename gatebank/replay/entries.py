"""The ledger's file format: a header and entries of one size, each with its number and checksum. No I/O.

A torn tail is what a crash leaves of entries that were never synced, so that nothing was sent for them: less
than an entry, or one whose end was never written and reads as zeros. Anything else that does not check is
damage: a byte has changed in an entry that may stand for what was sent, and the ledger is not used.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum, StrEnum
from typing import NamedTuple
from zlib import crc32

from gatebank.replay.errors import LedgerDamagedError

MAGIC = b"gatebank-ledger\x01"
HEADER = struct.Struct("<16s16sI")  # magic, the ledger's own name, checksum
HEADER_CHECKSUM = slice(32, 36)  # the header's bytes with the checksum of all before them
# Begin mark, kind, ending, number, ns of Unix time, name, checksum of all these, end mark.
ENTRY = struct.Struct("<BBHIQ24sIB3x")
ENTRY_CHECKSUM = slice(40, 44)  # the entry's bytes with the checksum of all before them
ENTRY_END = 44  # the place of the end mark
ENTRY_PADDING = b"\0\0\0"
BEGIN_MARK = 0xA6
END_MARK = 0x5A
MAX_LEDGER_BYTES = 1 << 31  # 44 million entries


class EntryKind(IntEnum):
    """What an entry says of a name; stored."""

    ENTERED = 1  # about to be sent
    ANSWERED = 2
    FREED = 3  # known never to have left: a later replay may send it
    UNSURE = 4  # its last byte was written and no response came


class NameState(StrEnum):
    """What a ledger holds of a name that may not be sent; stands in verdicts."""

    REPLAYED = "replayed"
    UNSURE = "unsure"


ENDINGS = ("", "satisfied", "rejected", "broken_off", "none")  # by their number in an entry
STATES = {
    EntryKind.ENTERED: NameState.UNSURE,
    EntryKind.ANSWERED: NameState.REPLAYED,
    EntryKind.UNSURE: NameState.UNSURE,
}


class LedgerEntry(NamedTuple):
    """An entry of a ledger.

    Attributes:
        kind: What it says.
        name: The request's name, 24 bytes.
        at: ns of Unix time.
        ending: One of ENDINGS: how an answered request ended.
    """

    kind: EntryKind
    name: bytes
    at: int
    ending: str = ""


class LedgerBook:
    """What a ledger says, by name.

    Attributes:
        name: The ledger's own name; empty before the file has a header.
        entries: The last entry of each name that was ever entered and not freed.
        count: Entries in the file, also those of names that were freed: the next one's number.
        size: Bytes of the file that count.
        torn_bytes: Bytes to be cut off the file's end.
    """

    def __init__(self, name: bytes) -> None:
        self.name = name
        self.entries: dict[bytes, LedgerEntry] = {}
        self.count = 0
        self.size = HEADER.size
        self.torn_bytes = 0

    def state_of(self, name: bytes) -> NameState | None:
        """What the ledger holds of a name; None if it may be sent."""
        entry = self.entries.get(name)
        return STATES[entry.kind] if entry else None

    def add(self, entry: LedgerEntry) -> bytes:
        """Takes an entry into the book; the bytes that the file gets for it."""
        data = encode_entry(self.count, entry)
        self.count += 1
        self.size += len(data)
        if entry.kind is EntryKind.FREED:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        return data

    def unsure_entries(self) -> list[LedgerEntry]:
        """The entries of requests that may have run, without a response."""
        return [entry for entry in self.entries.values() if STATES[entry.kind] is NameState.UNSURE]


def encode_header(name: bytes) -> bytes:
    """A ledger's first bytes; ``name``: 16 bytes."""
    fields = HEADER.pack(MAGIC, name, 0)[: HEADER_CHECKSUM.start]
    return fields + crc32(fields).to_bytes(4, "little")


def encode_entry(number: int, entry: LedgerEntry) -> bytes:
    """An entry's bytes; ``number``: how many are before it."""
    ending = ENDINGS.index(entry.ending)
    data = ENTRY.pack(BEGIN_MARK, entry.kind, ending, number, entry.at, entry.name, 0, END_MARK)
    fields = data[: ENTRY_CHECKSUM.start]
    return fields + crc32(fields).to_bytes(4, "little") + data[ENTRY_END:]


def decode_ledger(data: bytes) -> LedgerBook:
    """What all bytes of a ledger's file say.

    Returns:
        The book; its `torn_bytes` must be cut off the file's end.

    Raises:
        LedgerDamagedError: A byte has changed.

    >>> book = LedgerBook(b"n" * 16)
    >>> whole = encode_header(book.name) + book.add(LedgerEntry(EntryKind.ENTERED, b"x" * 24, 5))
    >>> decode_ledger(whole).state_of(b"x" * 24).value
    'unsure'
    >>> decode_ledger(whole[:-1]).torn_bytes, decode_ledger(whole + bytes(9)).torn_bytes
    (47, 9)
    >>> decode_ledger(whole[:70] + b"!" + whole[71:])
    Traceback (most recent call last):
    gatebank.replay.errors.LedgerDamagedError: entry 0 does not check
    """
    if len(data) < HEADER.size or not data[HEADER_CHECKSUM].strip(b"\0"):
        if any(data[HEADER.size :]):
            raise LedgerDamagedError("its head is gone")
        return _torn(LedgerBook(b""), 0, len(data))
    book = LedgerBook(_decode_header(data))
    at = HEADER.size
    while at < len(data):
        part = data[at : at + ENTRY.size]
        if _is_torn(part):
            if any(data[at + ENTRY.size :]):
                raise LedgerDamagedError(f"entry {book.count} ends in zeros, and others follow")
            return _torn(book, at, len(data) - at)
        book.add(_decode_entry(part, book.count))
        at += ENTRY.size
    return book


def _decode_header(data: bytes) -> bytes:
    """The ledger's name."""
    magic, name, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or crc32(data[: HEADER_CHECKSUM.start]) != checksum:
        is_ledger = magic[:-1] == MAGIC[:-1]
        raise LedgerDamagedError("its head does not check" if is_ledger else "it is no ledger")
    return bytes(name)


def _is_torn(part: bytes) -> bool:
    """Whether the end of this entry was never written."""
    return len(part) < ENTRY.size or not (part[ENTRY_END] or _checks(part))


def _checks(part: bytes) -> bool:
    return crc32(part[: ENTRY_CHECKSUM.start]) == int.from_bytes(part[ENTRY_CHECKSUM], "little")


def _decode_entry(part: bytes, number: int) -> LedgerEntry:
    begin, kind, ending, own_number, at, name, _, end = ENTRY.unpack(part)
    is_framed = (begin, end, own_number) == (BEGIN_MARK, END_MARK, number)
    is_whole = _checks(part) and is_framed and part[ENTRY_END + 1 :] == ENTRY_PADDING
    if not is_whole or kind not in set(EntryKind) or ending >= len(ENDINGS):
        raise LedgerDamagedError(f"entry {number} does not check")
    return LedgerEntry(EntryKind(kind), name, at, ENDINGS[ending])


def _torn(book: LedgerBook, size: int, torn_bytes: int) -> LedgerBook:
    book.size = size
    book.torn_bytes = torn_bytes
    return book


def entered(names: Iterable[bytes], at: int) -> list[LedgerEntry]:
    """The entries of a request that is about to be sent; ``at``: ns of Unix time."""
    return [LedgerEntry(EntryKind.ENTERED, name, at) for name in names]
