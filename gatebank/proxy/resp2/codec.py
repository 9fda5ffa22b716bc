r"""RESP2 without I/O: a buffer that is read into, and the messages found in it as slices.

A slice is good until the buffer is next read into; who needs it longer copies it.

>>> inbox = Inbox()
>>> inbox.put(b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n*1\r\n$4\r\nPI")
>>> [[bytes(word) for word in command] for command in inbox.commands()]
[[b'PING', b'x']]
>>> inbox.put(b"NG\r\n")
>>> [[bytes(word) for word in command] for command in inbox.commands()]
[[b'PING']]
>>> inbox.put(b"*3\r\n$2\r\nok\r\n$-1\r\n$6\r\nutil=1\r\n-BUSY\r\n$")
>>> [(r.type_byte, [w and bytes(w) for w in r.values]) for r in inbox.replies()]
[('*', [b'ok', None, b'util=1']), ('-', [b'BUSY'])]

Cut anywhere, it is the same:

>>> found, inbox = [], Inbox()
>>> for byte in b"*2\r\n$2\r\nok\r\n$-1\r\n+PONG\r\n$4\r\n\r\n\r\n\r\n":
...     inbox.put(bytes([byte]))
...     found += [(r.type_byte, [w and bytes(w) for w in r.values]) for r in inbox.replies()]
>>> found
[('*', [b'ok', None]), ('+', [b'PONG']), ('$', [b'\r\n\r\n'])]
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from gatebank.proxy.buffers import MemoryBudget, ProtocolError

__all__ = ["MAX_VALUE", "Inbox", "MemoryBudget", "ProtocolError", "Reply", "bulk", "bulks", "command"]

MAX_VALUE = 64 * 1024  # bytes a value may hold: PROTOCOL; nodes are seen to give more
MAX_VALUES = 16  # in one message; the protocol's longest has five
MAX_LINE = 4096  # an error line, or a length
MAX_LENGTH_LINE = 16  # bytes of a line that tells a length
MAX_BLANK = 64  # bytes of blank lines before a command
INITIAL_ROOM = 4096  # bytes of a buffer; most messages fit
MIN_ROOM = 1024  # bytes that a read wants


@dataclass(slots=True)
class Reply:
    """One answer.

    Attributes:
        type_byte: Its first byte, which tells its type.
        values: The strings in it; None for a null.
    """

    type_byte: str
    values: list[memoryview | None]


class Inbox:
    """One connection's buffer.

    It grows to what one message may need, within an allowance that many share, and shrinks again when empty;
    `close` gives back what it took.

    Args:
        allowance: Bytes that it may grow by; None: as much as one message needs.
        max_value: Bytes that one value may hold.

    Attributes:
        data: The buffer; what is not used up yet lies from ``start`` to ``end``.
        needs: Bytes that the message begun last needs to be whole, as far as they are known.
    """

    def __init__(self, allowance: MemoryBudget | None = None, max_value: int = MAX_VALUE) -> None:
        self.max_value = max_value
        self.max_size = max_value + MAX_LINE * 4
        self.data: bytearray | bytes = bytearray(INITIAL_ROOM)
        self.allowance = allowance or MemoryBudget(self.max_size)
        self.taken = 0  # of the allowance
        self.start = 0
        self.end = 0
        self.needs = 0

    @classmethod
    def over(cls, data: bytes, max_value: int = MAX_VALUE) -> Inbox:
        r"""Read bytes that are at hand already and stay as they are: nothing is copied, nothing read into it.

        >>> inbox = Inbox.over(b"*1\r\n$9\r\nPIN")
        >>> list(inbox.commands()), inbox.needs, inbox.values_so_far()
        ([], 19, [])
        """
        self = cls.__new__(cls)
        self.max_value = max_value
        self.max_size = max_value + MAX_LINE * 4
        self.data = data
        self.start = 0
        self.end = len(data)
        self.needs = 0
        self.taken = 0
        return self

    def close(self) -> None:
        """Give back what was taken of the allowance."""
        self.allowance.available += self.taken
        self.taken = 0

    def free_space(self) -> memoryview:
        """Where the next read goes; ends the life of all slices given out.

        Raises:
            ProtocolError: A message does not fit what is allowed.
        """
        assert isinstance(self.data, bytearray), "nothing is read into an inbox over bytes"
        held = self.incomplete_bytes
        if not held and len(self.data) > INITIAL_ROOM:
            self.data = bytearray(INITIAL_ROOM)
            self.close()
        elif self.start:
            self.data[:held] = self.data[self.start : self.end]
        self.start = 0
        self.end = held
        if len(self.data) - held < MIN_ROOM:
            if held >= self.max_size:
                raise ProtocolError("a message is too long")
            more = min(held, self.max_size - held) + MIN_ROOM - (len(self.data) - held)
            if not self.allowance.reserve(more):
                raise ProtocolError("no room for a message so long")
            self.taken += more
            self.data = self.data + bytearray(more)
        return memoryview(self.data)[held:]

    def commit(self, size: int) -> None:
        """Count bytes that were read into `room`."""
        self.end += size

    @property
    def incomplete_bytes(self) -> int:
        """Bytes of a message that is not whole yet."""
        return self.end - self.start

    def put(self, data: bytes) -> None:
        """Copy bytes in, as if they were read."""
        while data:
            room = self.free_space()
            size = min(len(room), len(data))
            room[:size] = data[:size]
            self.commit(size)
            data = data[size:]

    def line(self, at: int, max_length: int = MAX_LINE) -> tuple[int, int] | None:
        """Where the line from ``at`` ends, and where the next begins; None if it is not whole."""
        found = self.data.find(b"\r\n", at, self.end)
        if found < 0:
            if self.end - at > max_length:
                raise ProtocolError("a line is too long")
            return None
        return found, found + 2

    def size(self, at: int, minimum: int, maximum: int) -> tuple[int, int] | None:
        """The number in the line behind ``at``, and where the next line begins; None if it is not whole."""
        if not (line := self.line(at + 1, MAX_LENGTH_LINE)):
            return None
        text = bytes(self.data[at + 1 : line[0]])
        digits = text[1:] if text[:1] == b"-" else text
        if not digits.isdigit() or len(digits) > 9 or not minimum <= int(text) <= maximum:
            raise ProtocolError("a length is senseless")
        return int(text), line[1]

    def bulk(self, at: int, min_length: int) -> tuple[memoryview | None, int] | None:
        """The bulk string at ``at``, and where the next begins; None if it is not whole."""
        if at >= self.end:
            return None
        if self.data[at] != 0x24:  # $
            raise ProtocolError("no bulk string where one belongs")
        if not (found := self.size(at, min_length, self.max_value)):
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

    def array(self, min_length: int) -> tuple[list[memoryview | None], int] | None:
        """The array at the start, and where the next message begins; None if it is not whole."""
        if not (found := self.size(self.start, 0, MAX_VALUES)):
            return None
        count, at = found
        values: list[memoryview | None] = []
        for _ in range(count):
            if not (bulk := self.bulk(at, min_length)):
                return None
            values.append(bulk[0])
            at = bulk[1]
        return values, at

    def values_so_far(self) -> list[bytes]:
        """The whole words of a command that is not whole."""
        found: list[bytes] = []
        if self.incomplete_bytes and (count := self.size(self.start, 0, MAX_VALUES)):
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
                self.start += 1
                blank += 1
                if blank > MAX_BLANK:
                    raise ProtocolError("nothing but blank lines")
                continue
            if self.data[self.start] != 0x2A:  # *
                raise ProtocolError("a command is an array of bulk strings")
            if not (found := self.array(0)):
                return
            values, self.start = found
            if values:
                blank = 0
                yield values  # type: ignore[misc]  # no nulls: the minimum length is 0

    def replies(self) -> Iterator[Reply]:
        """The whole answers read so far."""
        while self.start < self.end:
            type_byte = chr(self.data[self.start])
            if type_byte == "*":
                if not (found := self.array(-1)):
                    return
                values, self.start = found
            elif type_byte == "$":
                if not (bulk := self.bulk(self.start, -1)):
                    return
                values, self.start = [bulk[0]], bulk[1]
            elif type_byte in "+-:":
                if not (line := self.line(self.start + 1)):
                    return
                values = [memoryview(self.data)[self.start + 1 : line[0]]]
                self.start = line[1]
            else:
                raise ProtocolError("an answer begins with no known mark")
            yield Reply(type_byte, values)


def command(values: Sequence[bytes | memoryview]) -> bytes:
    r"""Encode a command.

    >>> command([b"PING"])
    b'*1\r\n$4\r\nPING\r\n'
    """
    return b"*%d\r\n" % len(values) + bulks(values)


def bulks(values: Sequence[bytes | memoryview]) -> bytes:
    """Encode bulk strings, one behind the other."""
    return b"".join(part for word in values for part in bulk(word))


def bulk(value: bytes | memoryview) -> tuple[bytes, bytes | memoryview, bytes]:
    """Encode a bulk string in parts, so that its value is not copied."""
    return b"$%d\r\n" % len(value), value, b"\r\n"
