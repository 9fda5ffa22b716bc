"""RESP2 without I/O: a buffer that is read into, and the messages found in it as slices.

A slice is good until the buffer is next read into; who needs it longer copies it.

>>> inbox = Inbox()
>>> inbox.put(b"*2\\r\\n$4\\r\\nPING\\r\\n$1\\r\\nx\\r\\n*1\\r\\n$4\\r\\nPI")
>>> [[bytes(word) for word in command] for command in inbox.commands()]
[[b'PING', b'x']]
>>> inbox.put(b"NG\\r\\n")
>>> [[bytes(word) for word in command] for command in inbox.commands()]
[[b'PING']]
>>> inbox.put(b"*3\\r\\n$2\\r\\nok\\r\\n$-1\\r\\n$6\\r\\nutil=1\\r\\n-BUSY\\r\\n$")
>>> [(r.mark, [w and bytes(w) for w in r.words]) for r in inbox.replies()]
[('*', [b'ok', None, b'util=1']), ('-', [b'BUSY'])]

Cut anywhere, it is the same:

>>> found, inbox = [], Inbox()
>>> for byte in b"*2\\r\\n$2\\r\\nok\\r\\n$-1\\r\\n+PONG\\r\\n$4\\r\\n\\r\\n\\r\\n\\r\\n":
...     inbox.put(bytes([byte]))
...     found += [(reply.mark, [word and bytes(word) for word in reply.words]) for reply in inbox.replies()]
>>> found
[('*', [b'ok', None]), ('+', [b'PONG']), ('$', [b'\\r\\n\\r\\n'])]
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

MOST_VALUE = 64 * 1024  # bytes a value may hold: PROTOCOL; nodes are seen to give more
MOST_WORDS = 16  # in one message; the protocol's longest has five
MOST_LINE = 4096  # an error line, or a length
MOST_LENGTH, MOST_BLANK = 16, 64  # bytes of a line that tells a length, and of blank ones before a command
FIRST_ROOM, LEAST_ROOM = 4096, 1024  # most messages fit the first; a read wants the second


class ProtocolError(Exception):
    """What came is not RESP2, or larger than allowed; the text says what."""


@dataclass(slots=True)
class Reply:
    """One answer: its first byte, and its words (None: a null)."""

    mark: str
    words: list[memoryview | None]


class Allowance:
    """Bytes that many buffers share for what they grow beyond their first room."""

    def __init__(self, size: int) -> None:
        self.left = size

    def take(self, size: int) -> bool:
        fits = size <= self.left
        self.left -= size if fits else 0
        return fits


class Inbox:
    """One connection's buffer. It grows to what one message may need, within an allowance that many share,
    and shrinks again when empty; `close` gives back what it took."""

    def __init__(self, allowance: Allowance | None = None, most_value: int = MOST_VALUE) -> None:
        self.most_value, self.most = most_value, most_value + MOST_LINE * 4
        self.data: bytearray | bytes = bytearray(FIRST_ROOM)
        self.allowance, self.taken = allowance or Allowance(self.most), 0
        self.start, self.end = 0, 0
        self.needs = 0  # bytes that the message begun last needs to be whole, as far as they are known

    @classmethod
    def over(cls, data: bytes, most_value: int = MOST_VALUE) -> Inbox:
        """Over bytes that are at hand already and stay as they are: nothing is copied, nothing read into it.

        >>> inbox = Inbox.over(b"*1\\r\\n$9\\r\\nPIN")
        >>> list(inbox.commands()), inbox.needs, inbox.words_so_far()
        ([], 19, [])
        """
        self = cls.__new__(cls)
        self.most_value, self.most = most_value, most_value + MOST_LINE * 4
        self.data, self.start, self.end, self.needs, self.taken = data, 0, len(data), 0, 0
        return self

    def close(self) -> None:
        self.allowance.left += self.taken
        self.taken = 0

    def room(self) -> memoryview:
        """Where the next read goes; ends the life of all slices given out."""
        held = self.held
        if not held and len(self.data) > FIRST_ROOM:
            self.data = bytearray(FIRST_ROOM)
            self.close()
        elif self.start:
            self.data[:held] = self.data[self.start : self.end]
        self.start, self.end = 0, held
        if len(self.data) - held < LEAST_ROOM:
            if held >= self.most:
                raise ProtocolError("a message is too long")
            more = min(held, self.most - held) + LEAST_ROOM - (len(self.data) - held)
            if not self.allowance.take(more):
                raise ProtocolError("no room for a message so long")
            self.taken += more
            self.data = self.data + bytearray(more)
        return memoryview(self.data)[held:]

    def filled(self, size: int) -> None:
        self.end += size

    @property
    def held(self) -> int:
        """Bytes of a message that is not whole yet."""
        return self.end - self.start

    def put(self, data: bytes) -> None:
        """As if read: for whoever has the bytes already."""
        while data:
            room = self.room()
            size = min(len(room), len(data))
            room[:size] = data[:size]
            self.filled(size)
            data = data[size:]

    def line(self, at: int, most: int = MOST_LINE) -> tuple[int, int] | None:
        """Where the line from ``at`` ends, and where the next begins."""
        found = self.data.find(b"\r\n", at, self.end)
        if found < 0:
            if self.end - at > most:
                raise ProtocolError("a line is too long")
            return None
        return found, found + 2

    def size(self, at: int, least: int, most: int) -> tuple[int, int] | None:
        """The number in the line behind ``at``, and where the next line begins."""
        if not (line := self.line(at + 1, MOST_LENGTH)):
            return None
        text = bytes(self.data[at + 1 : line[0]])
        digits = text[1:] if text[:1] == b"-" else text
        if not digits.isdigit() or len(digits) > 9 or not least <= int(text) <= most:
            raise ProtocolError("a length is senseless")
        return int(text), line[1]

    def bulk(self, at: int, least: int) -> tuple[memoryview | None, int] | None:
        if at >= self.end:
            return None
        if self.data[at] != 0x24:  # $
            raise ProtocolError("no bulk string where one belongs")
        if not (found := self.size(at, least, self.most_value)):
            return None
        size, begin = found
        if size < 0:
            return None, begin
        if begin + size + 2 > self.end:
            self.needs = begin + size + 2 - self.start
            return None
        if self.data[begin + size : begin + size + 2] != b"\r\n":
            raise ProtocolError("a bulk string does not end where it says")
        return memoryview(self.data)[begin : begin + size], begin + size + 2

    def array(self, least: int) -> tuple[list[memoryview | None], int] | None:
        if not (found := self.size(self.start, 0, MOST_WORDS)):
            return None
        count, at = found
        words: list[memoryview | None] = []
        for _ in range(count):
            if not (bulk := self.bulk(at, least)):
                return None
            words.append(bulk[0])
            at = bulk[1]
        return words, at

    def words_so_far(self) -> list[bytes]:
        """The whole words of a command that is not."""
        found: list[bytes] = []
        if self.held and (count := self.size(self.start, 0, MOST_WORDS)):
            at = count[1]
            try:
                while len(found) < count[0] and (bulk := self.bulk(at, 0)):
                    found.append(bytes(bulk[0] or b""))
                    at = bulk[1]
            except ProtocolError:  # the next is none
                pass
        return found

    def commands(self) -> Iterator[list[memoryview]]:
        """The whole commands read so far: arrays of bulk strings. Empty lines and arrays are passed over."""
        blank = 0
        while self.start < self.end:
            if self.data[self.start] in b"\r\n":
                self.start, blank = self.start + 1, blank + 1
                if blank > MOST_BLANK:
                    raise ProtocolError("nothing but blank lines")
                continue
            if self.data[self.start] != 0x2A:  # *
                raise ProtocolError("a command is an array of bulk strings")
            if not (found := self.array(0)):
                return
            words, self.start = found
            if words:
                blank = 0
                yield words  # type: ignore[misc]  # no nulls: the least length is 0

    def replies(self) -> Iterator[Reply]:
        while self.start < self.end:
            mark = chr(self.data[self.start])
            if mark == "*":
                if not (found := self.array(-1)):
                    return
                words, self.start = found
            elif mark == "$":
                if not (bulk := self.bulk(self.start, -1)):
                    return
                words, self.start = [bulk[0]], bulk[1]
            elif mark in "+-:":
                if not (line := self.line(self.start + 1)):
                    return
                words = [memoryview(self.data)[self.start + 1 : line[0]]]
                self.start = line[1]
            else:
                raise ProtocolError("an answer begins with no known mark")
            yield Reply(mark, words)


def command(words: Sequence[bytes | memoryview]) -> bytes:
    """
    >>> command([b"PING"])
    b'*1\\r\\n$4\\r\\nPING\\r\\n'
    """
    return b"*%d\r\n" % len(words) + bulks(words)


def bulks(words: Sequence[bytes | memoryview]) -> bytes:
    return b"".join(part for word in words for part in bulk(word))


def bulk(value: bytes | memoryview) -> tuple[bytes, bytes | memoryview, bytes]:
    return b"$%d\r\n" % len(value), value, b"\r\n"
