"""The ledger's form: a head and entries of one size, each with its number and checksum. No I/O.

A torn tail is what a crash leaves of entries that were never synced, so that nothing was sent for them: less
than an entry, or one whose end was never written and reads as zeros. Anything else that does not check is
damage: a byte has changed in an entry that may stand for what was sent, and the ledger is not used.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

MAGIC = b"gatebank-ledger\x01"
HEAD = struct.Struct("<16s16sI")  # magic, the ledger's own name, checksum
# Mark, kind, ending, number, ns of Unix time, name, checksum of all these, end mark.
ENTRY = struct.Struct("<BBHIQ24sIB3x")
MARK, END = 0xA6, 0x5A
MOST = 1 << 31  # bytes: 44 million entries


class Kind(IntEnum):
    ENTERED = 1  # about to be sent
    ANSWERED = 2
    FREED = 3  # known never to have left: it may be sent by a later replay
    UNSURE = 4  # its last byte was written and no answer came


ENDINGS = ("", "satisfied", "rejected", "broken_off", "none")
STATES = {Kind.ENTERED: "unsure", Kind.ANSWERED: "replayed", Kind.UNSURE: "unsure"}


class Damaged(Exception):
    """The ledger can't be relied on; the text says where."""


class Entry(NamedTuple):
    kind: Kind
    name: bytes
    at: int
    ending: str = ""


def head(name: bytes) -> bytes:
    start = HEAD.pack(MAGIC, name, 0)[:-4]
    return start + crc32(start).to_bytes(4, "little")


def pack(number: int, entry: Entry) -> bytes:
    first = ENTRY.pack(MARK, entry.kind, ENDINGS.index(entry.ending), number, entry.at, entry.name, 0, END)
    return first[:40] + crc32(first[:40]).to_bytes(4, "little") + first[44:]


class Book:
    """What a ledger says, by name; a row for each that was ever entered and not freed."""

    def __init__(self, name: bytes) -> None:
        self.name = name
        self.rows: dict[bytes, Entry] = {}
        self.count = 0  # entries, also those taken back: the next one's number
        self.size = HEAD.size
        self.torn = 0  # bytes cut off at its end

    def holds(self, name: bytes) -> str | None:
        """`replayed` or `unsure`; None if it may be sent."""
        entry = self.rows.get(name)
        return STATES[entry.kind] if entry else None

    def put(self, entry: Entry) -> bytes:
        """Take it into the book; the bytes that the file gets for it."""
        data = pack(self.count, entry)
        self.count += 1
        self.size += len(data)
        if entry.kind is Kind.FREED:
            self.rows.pop(entry.name, None)
        else:
            self.rows[entry.name] = entry
        return data

    def unsure(self) -> list[Entry]:
        return [each for each in self.rows.values() if STATES[each.kind] == "unsure"]


def read(data: bytes) -> Book:
    """A ledger's bytes, whole; `book.torn` tells what must be cut off its end.

    >>> book = Book(b"n" * 16)
    >>> whole = head(book.name) + book.put(Entry(Kind.ENTERED, b"x" * 24, 5))
    >>> read(whole).holds(b"x" * 24), read(whole[:-1]).torn, read(whole + bytes(9)).torn
    ('unsure', 47, 9)
    >>> read(whole[:70] + b"!" + whole[71:])
    Traceback (most recent call last):
    gatebank.replay.entries.Damaged: entry 0 does not check
    """
    if len(data) < HEAD.size or not data[HEAD.size - 4 : HEAD.size].strip(b"\0"):
        if any(data[HEAD.size :]):
            raise Damaged("its head is gone")
        return torn(Book(b""), 0, len(data))
    magic, name, check = HEAD.unpack_from(data)
    if magic != MAGIC or crc32(data[: HEAD.size - 4]) != check:
        raise Damaged("its head does not check" if magic[:15] == MAGIC[:15] else "it is no ledger")
    book, at = Book(name), HEAD.size
    while at < len(data):
        part = data[at : at + ENTRY.size]
        rest = data[at + ENTRY.size :]
        checks = len(part) == ENTRY.size and crc32(part[:40]) == int.from_bytes(part[40:44], "little")
        if len(part) < ENTRY.size or not (part[44] or checks):  # its end was never written
            if any(rest):
                raise Damaged(f"entry {book.count} ends in zeros, and others follow")
            return torn(book, at, len(data) - at)
        mark, kind, ending, number, when, who, _, end = ENTRY.unpack(part)
        whole = checks and (mark, end, number) == (MARK, END, book.count) and part[45:] == b"\0\0\0"
        if not whole or kind not in set(Kind) or ending >= len(ENDINGS):
            raise Damaged(f"entry {book.count} does not check")
        book.put(Entry(Kind(kind), who, when, ENDINGS[ending]))
        at += ENTRY.size
    return book


def torn(book: Book, size: int, cut: int) -> Book:
    book.size, book.torn = size, cut
    return book


def entered(names: Iterable[bytes], at: int) -> list[Entry]:
    return [Entry(Kind.ENTERED, name, at) for name in names]
