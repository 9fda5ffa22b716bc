r"""RESP2 without I/O: a receive buffer, the messages found in it as slices, and the encoding of messages.

A slice is valid until the next read into the buffer; code that needs its bytes for longer copies them.

>>> buffer = Resp2Buffer()
>>> buffer.feed(b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n*1\r\n$4\r\nPI")
>>> [[bytes(argument) for argument in command] for command in buffer.commands()]
[[b'PING', b'x']]
>>> buffer.feed(b"NG\r\n")
>>> [[bytes(argument) for argument in command] for command in buffer.commands()]
[[b'PING']]
>>> buffer.feed(b"*3\r\n$2\r\nok\r\n$-1\r\n$6\r\nutil=1\r\n-BUSY\r\n$")
>>> [(r.type_byte, [v and bytes(v) for v in r.values]) for r in buffer.replies()]
[('*', [b'ok', None, b'util=1']), ('-', [b'BUSY'])]

The result does not depend on how the bytes are split between reads:

>>> found, buffer = [], Resp2Buffer()
>>> for byte in b"*2\r\n$2\r\nok\r\n$-1\r\n+PONG\r\n$4\r\n\r\n\r\n\r\n":
...     buffer.feed(bytes([byte]))
...     found += [(r.type_byte, [v and bytes(v) for v in r.values]) for r in buffer.replies()]
>>> found
[('*', [b'ok', None]), ('+', [b'PONG']), ('$', [b'\r\n\r\n'])]
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from gatebank.proxy.buffers import MemoryBudget, NoRoomError, ProtocolError

__all__ = [
    "MAX_VALUE_BYTES",
    "MemoryBudget",
    "ProtocolError",
    "Reply",
    "Resp2Buffer",
    "encode_bulk_string",
    "encode_bulk_strings",
    "encode_command",
]

# Maximum size of a value according to PROTOCOL; endpoints were observed to send larger values.
MAX_VALUE_BYTES = 64 * 1024
MAX_ARRAY_LENGTH = 16  # Maximum number of values in a message; the longest of the protocol has five.
MAX_LINE_BYTES = 4096  # Maximum length of a line, such as an error line.
MAX_LENGTH_LINE_BYTES = 16  # Maximum length of a line that holds a count or a length.
MAX_BLANK_BYTES = 64  # Maximum bytes of blank lines before a command.
INITIAL_BUFFER_BYTES = 4096  # Initial size of a buffer; most messages fit.
CLIENT_BUFFER_BYTES = 2048  # Initial size of a client's buffer: there are hundreds of clients.
MIN_READ_BYTES = 1024  # Minimum free space for a read.


@dataclass(slots=True)
class Reply:
    """A reply.

    Attributes:
        type_byte: The reply's first byte, which gives its type.
        values: The strings in the reply; None for a null.
    """

    type_byte: str
    values: list[memoryview | None]


class Resp2Buffer:
    r"""The receive buffer of one connection.

    >>> buffer = Resp2Buffer()
    >>> for _ in range(MAX_BLANK_BYTES // 2 + 1):  # Blank lines are bounded over all reads.
    ...     buffer.feed(b"\r\n")
    ...     commands = list(buffer.commands())
    Traceback (most recent call last):
    gatebank.proxy.buffers.ProtocolError: nothing but blank lines

    The buffer grows up to the largest size of a message, within a memory budget that many buffers share,
    and shrinks again when it is empty; `close` returns the memory reserved from the budget.

    Args:
        memory_budget: Memory that the buffer may grow by; None allows as much as one message needs.
        max_value: Maximum size of one value in bytes.
        initial_bytes: Size of the buffer while it is empty.

    Attributes:
        data: The buffer; its unparsed bytes lie from ``start`` to ``end``.
        reserved_bytes: Memory reserved from the budget.
        bytes_needed: Total size of the incomplete message, as far as it is known.
        skipped_bytes: Bytes that are still to be dropped of the argument that is being skipped.
        skipped_arguments: Number of arguments to be skipped after it.
        blank_bytes: Bytes of blank lines since the last command.
    """

    def __init__(
        self,
        memory_budget: MemoryBudget | None = None,
        max_value: int = MAX_VALUE_BYTES,
        initial_bytes: int = INITIAL_BUFFER_BYTES,
    ) -> None:
        self.max_value = max_value
        self.max_size = max_value + MAX_LINE_BYTES * 4
        self.initial_bytes = initial_bytes
        self.data: bytearray | bytes = bytearray(initial_bytes)
        self.memory_budget = memory_budget or MemoryBudget(self.max_size)
        self.reserved_bytes = 0
        self.start = 0
        self.end = 0
        self.bytes_needed = 0
        self.skipped_bytes = 0
        self.skipped_arguments = 0
        self.blank_bytes = 0

    @classmethod
    def from_bytes(cls, data: bytes, max_value: int = MAX_VALUE_BYTES) -> Resp2Buffer:
        r"""Create a buffer over existing bytes, which are not copied; nothing can be read into the buffer.

        >>> buffer = Resp2Buffer.from_bytes(b"*1\r\n$9\r\nPIN")
        >>> list(buffer.commands()), buffer.bytes_needed, buffer.partial_command_values()
        ([], 19, [])
        """
        self = cls.__new__(cls)
        self.max_value = max_value
        self.max_size = max_value + MAX_LINE_BYTES * 4
        self.data = data
        self.start = 0
        self.end = len(data)
        self.bytes_needed = 0
        self.skipped_bytes = 0
        self.skipped_arguments = 0
        self.blank_bytes = 0
        self.reserved_bytes = 0
        return self

    def close(self) -> None:
        """Free the buffer's memory, and return what was reserved from the memory budget.

        Nothing can be read into the buffer afterwards. Slices that the caller still has stay valid.
        """
        self.data = b""
        self.start = 0
        self.end = 0
        self.release_growth()

    def release_growth(self) -> None:
        """Return the memory that the buffer has grown by to the budget."""
        self.memory_budget.available += self.reserved_bytes
        self.reserved_bytes = 0

    def free_space(self) -> memoryview:
        """Return the space for the next read; invalidates all slices returned so far.

        Raises:
            ProtocolError: A message is longer than allowed.
            NoRoomError: The memory budget is used up.
        """
        assert isinstance(self.data, bytearray), "a buffer made by from_bytes cannot be read into"
        unparsed = self.incomplete_bytes
        if not unparsed and len(self.data) > self.initial_bytes:
            self.data = bytearray(self.initial_bytes)
            self.release_growth()
        elif self.start:
            self.data[:unparsed] = self.data[self.start : self.end]
        self.start = 0
        self.end = unparsed
        if len(self.data) - unparsed < MIN_READ_BYTES:
            if unparsed >= self.max_size:
                raise ProtocolError("a message is too long")
            growth = min(unparsed, self.max_size - unparsed) + MIN_READ_BYTES - (len(self.data) - unparsed)
            if not self.memory_budget.reserve(growth):
                raise NoRoomError("no room for a message so long")
            self.reserved_bytes += growth
            self.data = self.data + bytearray(growth)
        return memoryview(self.data)[unparsed:]

    def commit(self, size: int) -> None:
        """Add bytes that were read into `free_space` to the unparsed bytes."""
        self.end += size

    @property
    def incomplete_bytes(self) -> int:
        """Number of unparsed bytes."""
        return self.end - self.start

    def feed(self, data: bytes) -> None:
        """Copy bytes into the buffer, as if they had been read."""
        while data:
            space = self.free_space()
            size = min(len(space), len(data))
            space[:size] = data[:size]
            self.commit(size)
            data = data[size:]

    def find_line_end(self, position: int, max_length: int = MAX_LINE_BYTES) -> tuple[int, int] | None:
        """Find the end of the line that begins at ``position``.

        Returns:
            The positions of the line's end and of the next line; None if the line is incomplete.

        Raises:
            ProtocolError: The line is too long.
        """
        line_end = self.data.find(b"\r\n", position, self.end)
        if line_end < 0:
            if self.end - position > max_length:
                raise ProtocolError("a line is too long")
            return None
        return line_end, line_end + 2

    def parse_length(self, position: int, minimum: int, maximum: int) -> tuple[int, int] | None:
        """Parse the length in the line whose type byte is at ``position``.

        Returns:
            The length and the position of the next line; None if the line is incomplete.

        Raises:
            ProtocolError: The line is no number between ``minimum`` and ``maximum``.
        """
        if not (line := self.find_line_end(position + 1, MAX_LENGTH_LINE_BYTES)):
            return None
        text = bytes(self.data[position + 1 : line[0]])
        digits = text[1:] if text[:1] == b"-" else text
        if not digits.isdigit() or len(digits) > 9 or not minimum <= int(text) <= maximum:
            raise ProtocolError("a length is senseless")
        return int(text), line[1]

    def parse_bulk_string(self, position: int, min_length: int) -> tuple[memoryview | None, int] | None:
        """Parse the bulk string at ``position``.

        Returns:
            The value (None for a null) and the position behind it; None if the bulk string is incomplete.

        Raises:
            ProtocolError: There is no well-formed bulk string at ``position``.
        """
        if position >= self.end:
            return None
        if self.data[position] != 0x24:  # $
            raise ProtocolError("no bulk string where one belongs")
        if not (parsed := self.parse_length(position, min_length, self.max_value)):
            return None
        size, begin = parsed
        if size < 0:
            return None, begin
        if begin + size + 2 > self.end:
            self.bytes_needed = begin + size + 2 - self.start
            return None
        if self.data[begin + size : begin + size + 2] != b"\r\n":
            raise ProtocolError("a bulk string does not end where it says")
        return memoryview(self.data)[begin : begin + size], begin + size + 2

    def parse_array(self, min_length: int) -> tuple[list[memoryview | None], int] | None:
        """Parse the array at the start of the unparsed bytes.

        Returns:
            The values and the position of the next message; None if the array is incomplete.

        Raises:
            ProtocolError: The array is malformed.
        """
        if not (parsed := self.parse_length(self.start, 0, MAX_ARRAY_LENGTH)):
            return None
        count, position = parsed
        values: list[memoryview | None] = []
        for _ in range(count):
            if not (bulk := self.parse_bulk_string(position, min_length)):
                return None
            values.append(bulk[0])
            position = bulk[1]
        return values, position

    def partial_command_values(self) -> list[bytes]:
        """Return the complete values of an incomplete command."""
        values: list[bytes] = []
        if self.incomplete_bytes and (count := self.parse_length(self.start, 0, MAX_ARRAY_LENGTH)):
            position = count[1]
            try:
                while len(values) < count[0] and (bulk := self.parse_bulk_string(position, 0)):
                    values.append(bytes(bulk[0] or b""))
                    position = bulk[1]
            except ProtocolError:  # The next value is malformed.
                pass
        return values

    def skip_command(self) -> None:
        r"""Drop the incomplete command; what arrives of it is dropped too, without being stored.

        >>> buffer = Resp2Buffer()
        >>> buffer.feed(b"*3\r\n$2\r\nab\r\n$4\r\nx")
        >>> list(buffer.commands()), buffer.skip_command()
        ([], None)
        >>> for byte in b"xxx\r\n$3\r\nyyy\r\n*1\r\n$4\r\nPING\r\n":
        ...     buffer.feed(bytes([byte]))
        ...     if commands := [[bytes(argument) for argument in command] for command in buffer.commands()]:
        ...         print(commands)
        [[b'PING']]

        Raises:
            NoRoomError: The beginning of the command is not known yet.
        """
        if not (header := self.parse_length(self.start, 0, MAX_ARRAY_LENGTH)):
            raise NoRoomError("no room for a message so long")
        self.skipped_arguments, self.start = header
        self.finish_skipping()
        rest = bytes(self.data[self.start : self.end])
        self.data = bytearray(self.initial_bytes)
        self.data[: len(rest)] = rest
        self.start = 0
        self.end = len(rest)
        self.release_growth()

    def is_skipping(self) -> bool:
        """Return whether the rest of a command is dropped as it arrives."""
        return bool(self.skipped_bytes or self.skipped_arguments)

    def finish_skipping(self) -> bool:
        """Drop what has arrived of a command that is skipped; return whether its end has been reached.

        Raises:
            ProtocolError: The command is malformed.
        """
        while True:
            dropped = min(self.skipped_bytes, self.incomplete_bytes)
            self.start += dropped
            self.skipped_bytes -= dropped
            if self.skipped_bytes or not self.skipped_arguments:
                return not self.skipped_bytes
            if not self.incomplete_bytes or not (header := self.parse_length(self.start, 0, self.max_value)):
                return False
            if self.data[self.start] != 0x24:  # $
                raise ProtocolError("no bulk string where one belongs")
            size, self.start = header
            self.skipped_bytes = size + 2
            self.skipped_arguments -= 1

    def commands(self) -> Iterator[list[memoryview]]:
        """Yield the complete commands, which are arrays of bulk strings; skip empty lines.

        An empty array is yielded too: the caller bounds the work for a client by the commands it gets.

        Raises:
            ProtocolError: The bytes are no command, or a limit is exceeded.
        """
        if not self.finish_skipping():
            return
        while self.start < self.end:
            if self.data[self.start] in b"\r\n":
                self.start += 1
                self.blank_bytes += 1
                if self.blank_bytes > MAX_BLANK_BYTES:
                    raise ProtocolError("nothing but blank lines")
                continue
            if self.data[self.start] != 0x2A:  # *
                raise ProtocolError("a command is an array of bulk strings")
            if not (parsed := self.parse_array(0)):
                return
            values, self.start = parsed
            self.blank_bytes = 0
            yield values  # type: ignore[misc]  # There are no nulls, as the minimum length is 0.

    def count_commands(self, limit: int) -> int:
        r"""Return the number of complete commands in the buffer, which stay there; at most ``limit``.

        >>> buffer = Resp2Buffer.from_bytes(b"*1\r\n$1\r\na\r\n*1\r\n$1\r\nb\r\n*1\r\n")
        >>> buffer.count_commands(8), buffer.count_commands(1), len(list(buffer.commands()))
        (2, 1, 2)
        """
        if self.is_skipping():
            return 0
        start, bytes_needed = self.start, self.bytes_needed
        count = 0
        try:
            while count < limit and self.start < self.end and (parsed := self.parse_array(0)):
                self.start = parsed[1]
                count += 1
        except ProtocolError:  # What follows is malformed.
            pass
        self.start, self.bytes_needed = start, bytes_needed
        return count

    def replies(self) -> Iterator[Reply]:
        """Yield the complete replies.

        Raises:
            ProtocolError: The bytes are no reply, or a limit is exceeded.
        """
        while self.start < self.end:
            type_byte = chr(self.data[self.start])
            if type_byte == "*":
                if not (parsed := self.parse_array(-1)):
                    return
                values, self.start = parsed
            elif type_byte == "$":
                if not (bulk := self.parse_bulk_string(self.start, -1)):
                    return
                values, self.start = [bulk[0]], bulk[1]
            elif type_byte in "+-:":
                if not (line := self.find_line_end(self.start + 1)):
                    return
                values = [memoryview(self.data)[self.start + 1 : line[0]]]
                self.start = line[1]
            else:
                raise ProtocolError("a reply has an unknown type byte")
            yield Reply(type_byte, values)


def encode_command(values: Sequence[bytes | memoryview]) -> bytes:
    r"""Encode a command.

    >>> encode_command([b"PING"])
    b'*1\r\n$4\r\nPING\r\n'
    """
    return b"*%d\r\n" % len(values) + encode_bulk_strings(values)


def encode_bulk_strings(values: Sequence[bytes | memoryview]) -> bytes:
    """Encode bulk strings, one after the other."""
    return b"".join(part for value in values for part in encode_bulk_string(value))


def encode_bulk_string(value: bytes | memoryview) -> tuple[bytes, bytes | memoryview, bytes]:
    """Encode a bulk string in parts, so that its value is not copied."""
    return b"$%d\r\n" % len(value), value, b"\r\n"
