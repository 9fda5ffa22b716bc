"""Parser of the classic pcap file format (draft-ietf-opsawg-pcap): a file header, then packets. No I/O."""

from __future__ import annotations

import struct
from typing import NamedTuple

from gatebank.capture.errors import CaptureFormatError
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.packet import Packet, ParsedBlock

FILE_HEADER_BYTES = 24
LINK_TYPE_OFFSET = 20  # Offset of the link type in the file header, in bytes.
LINK_TYPE_MASK = 0xFFFF  # The upper half of the link type field holds flags.
PACKET_HEADER_BYTES = 16
NS_PER_SECOND = 1_000_000_000


class PcapVariant(NamedTuple):
    """Encoding of a file's numbers, as its first four bytes show it.

    Attributes:
        byte_order: The byte order in the notation of `struct`.
        ns_per_unit: Number of ns in one unit of a timestamp's second field.
    """

    byte_order: str
    ns_per_unit: int


PCAP_VARIANTS = {
    b"\xa1\xb2\xc3\xd4": PcapVariant(">", 1000),
    b"\xd4\xc3\xb2\xa1": PcapVariant("<", 1000),
    b"\xa1\xb2\x3c\x4d": PcapVariant(">", 1),
    b"\x4d\x3c\xb2\xa1": PcapVariant("<", 1),
}


class PcapFormat:
    """Parses a classic pcap file, starting with the file header.

    Args:
        limits: Limits of the reading.
        magic: The first four bytes of the file, a key of PCAP_VARIANTS.
    """

    is_inside_block = False  # Incomplete packets always stay in the buffer.

    def __init__(self, limits: ReadingLimits, magic: bytes) -> None:
        self._limits = limits
        self._variant = PCAP_VARIANTS[magic]
        self._packet_header = struct.Struct(self._variant.byte_order + "IIII")
        self._link = -1  # The link type; -1 until the file header has been read.

    def parse(self, data: bytearray, at: int) -> ParsedBlock | None:
        """See `FileFormat.parse`."""
        if self._link < 0:
            return self._parse_file_header(data, at)
        if len(data) - at < PACKET_HEADER_BYTES:
            return None
        seconds, fraction, size, length = self._packet_header.unpack_from(data, at)
        if size > self._limits.max_block_bytes:
            limit = self._limits.max_block_bytes
            raise CaptureFormatError(f"a packet has a length of {size} bytes; at most {limit} are allowed")
        begin = at + PACKET_HEADER_BYTES
        end = begin + size
        if len(data) < end:
            return None
        time = seconds * NS_PER_SECOND + fraction * self._variant.ns_per_unit
        return ParsedBlock(end, Packet(time, self._link, bytes(data[begin:end]), max(length, size), 0, None))

    def _parse_file_header(self, data: bytearray, at: int) -> ParsedBlock | None:
        if len(data) - at < FILE_HEADER_BYTES:
            return None
        [link] = struct.unpack_from(self._variant.byte_order + "I", data, at + LINK_TYPE_OFFSET)
        self._link = link & LINK_TYPE_MASK
        return ParsedBlock(at + FILE_HEADER_BYTES, None)
