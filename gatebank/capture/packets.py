"""Capture files to packets: classic pcap and pcapng, plain or compressed by gzip or zstd. No I/O.

Bytes are fed as they were read; complete packets come out in the order of the file. The framing is done here
and not by dpkt, whose readers need a file to pull from, give times as floats (which lose 0.2 us on today's
dates) and know only one pcapng interface.
"""

from __future__ import annotations

from collections.abc import Iterator

from gatebank.capture.compression import MAGIC_BYTES, Decompressor, decompressor_for
from gatebank.capture.errors import CaptureFormatError
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.packet import FileFormat, Packet
from gatebank.capture.pcap import PCAP_VARIANTS, PcapFormat
from gatebank.capture.pcapng import SECTION_MAGIC, PcapngFormat

MAX_UNKNOWN_TYPES = 4096  # types of unknown blocks that are counted apart
MIN_TRIM = 1024  # bytes: a buffer is copied to a smaller one once so much of it, and half, is used up
TOO_SHORT_MESSAGE = "no capture file: it ends after its first bytes"


class PacketReader:
    """Reads one capture file that is fed in pieces.

    Attributes:
        error: Why reading ended early; None while the file can be read. What came before it stands.
        bytes_read: Bytes fed, as they are in the file.
        packet_count: Packets read.
        unknown_blocks: How many blocks of each unknown type were skipped, of MAX_UNKNOWN_TYPES types.

    Args:
        limits: The limits of this reading.
        file: The file's name, for errors.
    """

    def __init__(self, limits: ReadingLimits | None = None, file: str = "") -> None:
        self.error: CaptureFormatError | None = None
        self.bytes_read = 0
        self.packet_count = 0
        self.unknown_blocks: dict[int, int] = {}
        self._limits = limits or ReadingLimits()
        self._file = file
        self._first_bytes = b""  # until there are enough to tell the compression
        self._decompressor: Decompressor | None = None
        self._format: FileFormat | None = None
        self._buffer = bytearray()
        self._buffer_offset = 0  # of the buffer's first byte in the uncompressed file

    @property
    def buffered_bytes(self) -> int:
        """Uncompressed bytes that wait for the rest of their block."""
        return len(self._buffer)

    def continue_counts(self, previous: PacketReader) -> None:
        """Counts on from what was read of the capture's previous file."""
        self.bytes_read = previous.bytes_read
        self.packet_count = previous.packet_count
        self.unknown_blocks = previous.unknown_blocks

    def feed(self, data: bytes) -> Iterator[Packet]:
        """The packets that are complete with ``data``. An error in the file ends them and sets `error`."""
        self.bytes_read += len(data)
        if self.error is not None:
            return
        try:
            if self._decompressor is None:
                self._first_bytes += data
                if len(self._first_bytes) < MAGIC_BYTES:
                    return
                data = self._first_bytes
                self._first_bytes = b""
                self._decompressor = decompressor_for(data)
            for piece in self._decompressor.feed(data):
                yield from self._parse(piece)
        except CaptureFormatError as error:
            self._fail(error)

    def end(self) -> None:
        """Tells that the file has ended; sets `error` if it ended too early."""
        if self.error is not None:
            return
        try:
            self._check_end()
        except CaptureFormatError as error:
            self._fail(error)

    def _check_end(self) -> None:
        if self._decompressor is None:
            raise CaptureFormatError(TOO_SHORT_MESSAGE if self._first_bytes else "an empty file")
        self._decompressor.end()
        if self._format is None:
            raise CaptureFormatError(TOO_SHORT_MESSAGE)
        if self._buffer or self._format.is_inside_block:
            raise CaptureFormatError("the file ends in the middle of a packet")

    def _fail(self, error: CaptureFormatError) -> None:
        error.offset = self._buffer_offset
        error.file = self._file
        self.error = error
        self._buffer = bytearray()

    def _parse(self, piece: bytes) -> Iterator[Packet]:
        self._buffer += piece
        if self._format is None:
            if len(self._buffer) < MAGIC_BYTES:
                return
            self._format = self._detect_format(bytes(self._buffer[:MAGIC_BYTES]))
        at = 0
        buffer = self._buffer
        parse = self._format.parse
        try:
            while parsed := parse(buffer, at):
                at, packet = parsed
                if packet is not None:
                    self.packet_count += 1
                    yield packet
        finally:
            self._buffer_offset += at
            self._trim(at)

    def _trim(self, used: int) -> None:
        """Drops the first ``used`` bytes of the buffer, in the way that is cheapest for their number."""
        size = len(self._buffer)
        if used >= size:
            self._buffer = bytearray()
        elif used >= MIN_TRIM and 2 * used >= size:
            self._buffer = self._buffer[used:]
        elif used:
            del self._buffer[:used]

    def _detect_format(self, magic: bytes) -> FileFormat:
        if magic in PCAP_VARIANTS:
            return PcapFormat(self._limits, magic)
        if magic == SECTION_MAGIC:
            return PcapngFormat(self._limits, self._count_unknown_block)
        raise CaptureFormatError("no capture file: it begins with " + magic.hex())

    def _count_unknown_block(self, block_type: int) -> None:
        if block_type in self.unknown_blocks or len(self.unknown_blocks) < MAX_UNKNOWN_TYPES:
            self.unknown_blocks[block_type] = self.unknown_blocks.get(block_type, 0) + 1
