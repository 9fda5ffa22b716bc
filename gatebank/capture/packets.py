"""Reading of packets from pcap and pcapng files, uncompressed or compressed with gzip or zstd. No I/O.

The reader is fed the file's bytes in pieces and yields complete packets in the order of the file. dpkt is not
used to parse the files, because its readers need a file object, return times as floats (which lose 0.2 us on
current dates) and support only one pcapng interface.
"""

from __future__ import annotations

from collections.abc import Iterator

from gatebank.capture.compression import MAGIC_BYTES, Decompressor, decompressor_for
from gatebank.capture.errors import CaptureFormatError
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.packet import FileFormat, Packet
from gatebank.capture.pcap import PCAP_VARIANTS, PcapFormat
from gatebank.capture.pcapng import SECTION_MAGIC, PcapngFormat

MAX_UNKNOWN_TYPES = 4096  # Number of unknown block types that are counted separately.
# A buffer is copied to a smaller buffer once at least this many bytes, and at least half of it, have been
# parsed.
MIN_TRIM = 1024
TOO_SHORT_MESSAGE = "not a capture file: it ends after its first bytes"


class PacketReader:
    """Reads one capture file that is fed in pieces.

    Attributes:
        error: Why reading ended early; None while the file is readable. Packets read before the error are
            valid.
        bytes_read: Number of bytes fed, before decompression.
        packet_count: Number of packets read.
        unknown_blocks: Number of skipped blocks by their type, for at most MAX_UNKNOWN_TYPES unknown types.

    Args:
        limits: Limits of the reading; the defaults if None.
        file: The file's name, used in errors.
    """

    def __init__(self, limits: ReadingLimits | None = None, file: str = "") -> None:
        self.error: CaptureFormatError | None = None
        self.bytes_read = 0
        self.packet_count = 0
        self.unknown_blocks: dict[int, int] = {}
        self._limits = limits or ReadingLimits()
        self._file = file
        self._first_bytes = b""  # Bytes fed before the compression could be detected.
        self._decompressor: Decompressor | None = None
        self._format: FileFormat | None = None
        self._buffer = bytearray()
        self._buffer_offset = 0  # Offset of the buffer's first byte in the uncompressed file.

    @property
    def buffered_bytes(self) -> int:
        """Number of uncompressed bytes that wait for the rest of their block."""
        return len(self._buffer)

    def continue_counts(self, previous: PacketReader) -> None:
        """Continue the counters of the reader of the capture's previous file."""
        self.bytes_read = previous.bytes_read
        self.packet_count = previous.packet_count
        self.unknown_blocks = previous.unknown_blocks

    def feed(self, data: bytes) -> Iterator[Packet]:
        """Yield the packets that ``data`` completes. An error in the file stops reading and sets `error`."""
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
        """Report the end of the file; sets `error` if the file is incomplete."""
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
        """Remove the first ``used`` bytes of the buffer, in the cheapest way for their number."""
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
        raise CaptureFormatError("not a capture file: it begins with " + magic.hex())

    def _count_unknown_block(self, block_type: int) -> None:
        if block_type in self.unknown_blocks or len(self.unknown_blocks) < MAX_UNKNOWN_TYPES:
            self.unknown_blocks[block_type] = self.unknown_blocks.get(block_type, 0) + 1
