"""Parser of the pcapng file format (draft-ietf-opsawg-pcapng): sections that consist of blocks. No I/O.

Sections may use either byte order and have several interfaces. Blocks of unknown types are skipped.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import NamedTuple

from gatebank.capture.errors import CaptureFormatError
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.packet import Packet, ParsedBlock

SECTION_MAGIC = b"\x0a\x0d\x0d\x0a"  # Type of a section header, the same in both byte orders.
BYTE_ORDERS = {b"\x1a\x2b\x3c\x4d": ">", b"\x4d\x3c\x2b\x1a": "<"}  # Byte order by byte order mark.
KNOWN_MAJOR_VERSION = 1
MIN_BLOCK_BYTES = 12  # Type, length, and the length repeated.
BLOCK_HEADER_BYTES = 8  # Type and length.
BLOCK_TRAILER_BYTES = 4  # The length repeated.
# Fields before the packet's bytes in the body of an enhanced packet block, and of an obsolete packet block.
ENHANCED_PACKET_HEADER_BYTES = 20
SIMPLE_PACKET_HEADER_BYTES = 4
INTERFACE_FIELDS_BYTES = 8  # Fields of an interface description before its options.
SECTION_FIELDS_BYTES = 16  # Fields of a section header's body before its options.
MAX_INTERFACES = 4096  # Interfaces per section; each takes memory until the section ends.
NS_PER_SECOND = 10**9
DEFAULT_RESOLUTION = b"\x06"  # Microseconds.
BINARY_RESOLUTION = 0x80  # Flag of a resolution that is a power of 2 rather than of 10.
# Sides by interface name in recordings of gatebank.
RECORDED_SIDES = {b"customers": "customer", b"nodes": "node"}


class BlockType(IntEnum):
    """Block types that the parser supports."""

    INTERFACE = 1
    OBSOLETE_PACKET = 2
    SIMPLE_PACKET = 3
    ENHANCED_PACKET = 6
    SECTION = 0x0A0D0D0A


# Plain integers, because comparing each packet's block type with an enumeration member is slower.
INTERFACE = int(BlockType.INTERFACE)
OBSOLETE_PACKET = int(BlockType.OBSOLETE_PACKET)
SIMPLE_PACKET = int(BlockType.SIMPLE_PACKET)
ENHANCED_PACKET = int(BlockType.ENHANCED_PACKET)
SECTION = int(BlockType.SECTION)
KNOWN_BLOCK_TYPES = frozenset(map(int, BlockType))


class OptionCode(IntEnum):
    """Option codes that the parser supports; the meaning of a code depends on the block type."""

    INTERFACE_NAME = 2
    SECTION_PROGRAM = 4
    INTERFACE_RESOLUTION = 9
    INTERFACE_TIME_OFFSET = 14


class Interface(NamedTuple):
    """An interface of a section. A packet's time in ns is its units * numerator // denominator + offset.

    Attributes:
        link: The link type by its number in the pcap registry.
        numerator: Number of ns in a second.
        denominator: Number of timestamp units in a second.
        offset: Time in ns that is added to all timestamps.
        snap_length: Largest number of bytes kept of each packet; 0 for no limit.
        side: "customer" or "node" if the file is a recording of gatebank; else None.
    """

    link: int
    numerator: int
    denominator: int
    offset: int
    snap_length: int
    side: str | None


class Option(NamedTuple):
    """An option of a block: its code and its bytes."""

    code: int
    value: bytes


class PcapngFormat:
    """Parses a pcapng file.

    Args:
        limits: Limits of the reading.
        on_unknown_block: Called with the type of each block that is skipped because its type is unknown.
    """

    def __init__(self, limits: ReadingLimits, on_unknown_block: Callable[[int], None]) -> None:
        self._limits = limits
        self._on_unknown_block = on_unknown_block
        self._set_byte_order("<")
        self._is_recording = False  # Whether gatebank wrote the section.
        self._interfaces: list[Interface] = []  # Interfaces of the current section.
        self._bytes_to_skip = 0  # Remaining bytes of a block that is skipped without being held.

    @property
    def is_inside_block(self) -> bool:
        """See `FileFormat.is_inside_block`."""
        return self._bytes_to_skip > 0

    def parse(self, data: bytearray, at: int) -> ParsedBlock | None:
        """See `FileFormat.parse`."""
        if self._bytes_to_skip:
            return self._skip(data, at)
        if len(data) - at < MIN_BLOCK_BYTES:
            return None
        if data[at : at + 4] == SECTION_MAGIC:
            byte_order = BYTE_ORDERS.get(bytes(data[at + 8 : at + 12]))
            if not byte_order:
                raise CaptureFormatError("a section header has no byte order mark")
            self._set_byte_order(byte_order)
        block_type, size = self._block_header.unpack_from(data, at)
        if size < MIN_BLOCK_BYTES or size % 4:
            raise CaptureFormatError(f"a block of type {block_type:#x} has an invalid length of {size}")
        end = at + size
        if len(data) < end:
            return self._incomplete_block(block_type, size, data, at)
        if self._block_trailer.unpack_from(data, end - BLOCK_TRAILER_BYTES)[0] != size:
            raise CaptureFormatError(f"a block of type {block_type:#x} does not end with its length")
        body = memoryview(data)[at + BLOCK_HEADER_BYTES : end - BLOCK_TRAILER_BYTES]
        try:
            return ParsedBlock(end, self._parse_body(block_type, body))
        except struct.error:
            reason = f"a block of type {block_type:#x} is too short for its fields"
            raise CaptureFormatError(reason) from None
        finally:
            body.release()

    def _set_byte_order(self, byte_order: str) -> None:
        self._byte_order = byte_order
        self._block_header = struct.Struct(byte_order + "II")
        self._block_trailer = struct.Struct(byte_order + "I")
        self._enhanced_packet = struct.Struct(byte_order + "IIIII")

    def _skip(self, data: bytearray, at: int) -> ParsedBlock | None:
        size = min(self._bytes_to_skip, len(data) - at)
        self._bytes_to_skip -= size
        return ParsedBlock(at + size, None) if size else None

    def _incomplete_block(self, block_type: int, size: int, data: bytearray, at: int) -> ParsedBlock | None:
        """Wait for the rest of an incomplete block; skip it if its type is unknown and its size too large."""
        if size <= self._limits.max_block_bytes:
            return None
        if block_type in KNOWN_BLOCK_TYPES:
            limit = self._limits.max_block_bytes
            raise CaptureFormatError(f"a block has a length of {size} bytes; at most {limit} are allowed")
        self._on_unknown_block(block_type)
        self._bytes_to_skip = size - (len(data) - at)
        return ParsedBlock(len(data), None)

    def _parse_body(self, block_type: int, body: memoryview) -> Packet | None:
        if block_type == ENHANCED_PACKET:
            number, high, low, size, length = self._enhanced_packet.unpack_from(body)
            units = high << 32 | low
            return self._timed_packet(number, units, body, size, length)
        if block_type == OBSOLETE_PACKET:
            number, _, high, low, size, length = struct.unpack_from(self._byte_order + "HHIIII", body)
            units = high << 32 | low
            return self._timed_packet(number, units, body, size, length)
        if block_type == SIMPLE_PACKET:
            return self._simple_packet(body)
        if block_type == INTERFACE:
            self._add_interface(body)
        elif block_type == SECTION:
            self._begin_section(body)
        else:
            self._on_unknown_block(block_type)
        return None

    def _begin_section(self, body: memoryview) -> None:
        [major_version] = struct.unpack_from(self._byte_order + "H", body, 4)
        if major_version != KNOWN_MAJOR_VERSION:
            raise CaptureFormatError(f"a section of version {major_version}; only version 1 is supported")
        self._interfaces.clear()
        self._is_recording = any(
            option.code == OptionCode.SECTION_PROGRAM and option.value.startswith(b"gatebank")
            for option in self._options(body, SECTION_FIELDS_BYTES)
        )

    def _simple_packet(self, body: memoryview) -> Packet:
        [length] = struct.unpack_from(self._byte_order + "I", body)
        if not self._interfaces:
            raise CaptureFormatError("a packet before any interface")
        interface = self._interfaces[0]
        size = min(length, interface.snap_length or length, len(body) - SIMPLE_PACKET_HEADER_BYTES)
        data = _packet_data(body, SIMPLE_PACKET_HEADER_BYTES, size)
        return Packet(0, interface.link, data, max(length, size), 0, interface.side)

    def _timed_packet(self, number: int, units: int, body: memoryview, size: int, length: int) -> Packet:
        """Return the packet of interface ``number`` at time ``units``, in the interface's resolution."""
        if number >= len(self._interfaces):
            raise CaptureFormatError(f"a packet of interface {number}, which is not described")
        interface = self._interfaces[number]
        data = _packet_data(body, ENHANCED_PACKET_HEADER_BYTES, size)
        at = units * interface.numerator // interface.denominator + interface.offset
        return Packet(at, interface.link, data, max(length, size), number, interface.side)

    def _add_interface(self, body: memoryview) -> None:
        if len(self._interfaces) >= MAX_INTERFACES:
            raise CaptureFormatError(f"more than {MAX_INTERFACES} interfaces in a section")
        link, _, snap_length = struct.unpack_from(self._byte_order + "HHI", body)
        options = dict(self._options(body, INTERFACE_FIELDS_BYTES))
        resolution = options.get(OptionCode.INTERFACE_RESOLUTION, b"")[:1] or DEFAULT_RESOLUTION
        base = 2 if resolution[0] & BINARY_RESOLUTION else 10
        units_per_second = base ** (resolution[0] & ~BINARY_RESOLUTION)
        offset = 0
        if len(offset_bytes := options.get(OptionCode.INTERFACE_TIME_OFFSET, b"")) >= 8:
            [seconds] = struct.unpack_from(self._byte_order + "q", offset_bytes)
            offset = seconds * NS_PER_SECOND
        name = options.get(OptionCode.INTERFACE_NAME, b"").rstrip(b"\0")
        side = RECORDED_SIDES.get(name) if self._is_recording else None
        self._interfaces.append(Interface(link, NS_PER_SECOND, units_per_second, offset, snap_length, side))

    def _options(self, body: memoryview, at: int) -> Iterator[Option]:
        """Yield the options from offset ``at`` on, up to the end mark or an option that exceeds the block."""
        while at + 4 <= len(body):
            code, size = struct.unpack_from(self._byte_order + "HH", body, at)
            if not code or at + 4 + size > len(body):
                return
            yield Option(code, bytes(body[at + 4 : at + 4 + size]))
            at += 4 + (size + 3 & ~3)


def _packet_data(body: memoryview, at: int, size: int) -> bytes:
    if at + size > len(body):
        raise CaptureFormatError(f"a packet has a length of {size} bytes in a block of {len(body)}")
    return bytes(body[at : at + size])
