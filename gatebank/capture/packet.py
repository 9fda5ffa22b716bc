"""The packet type, and the interface of the parsers of capture file formats."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Packet(NamedTuple):
    """A captured packet. A named tuple is used because a capture holds millions of packets.

    Attributes:
        at: Time in ns of Unix time; 0 if the block has no timestamp.
        link: The link type by its number in the pcap registry.
        data: The captured bytes.
        length: Size of the packet on the wire in bytes.
        interface: Number of the packet's interface in its section.
        side: "customer" or "node" if the file is a recording of gatebank that names the side; else None.
    """

    at: int
    link: int
    data: bytes
    length: int
    interface: int
    side: str | None


class ParsedBlock(NamedTuple):
    """A block that was read from a capture file.

    Attributes:
        end: Offset of the next block in the buffer.
        packet: The block's packet; None for blocks without a packet.
    """

    end: int
    packet: Packet | None


class FileFormat(Protocol):
    """The parser of one capture file format."""

    @property
    def is_inside_block(self) -> bool:
        """Whether parsing is within a block that is skipped without being held in the buffer."""
        ...

    def parse(self, data: bytearray, at: int) -> ParsedBlock | None:
        """Parse the block at offset ``at`` of the buffer; return None while the block is incomplete.

        Raises:
            CaptureFormatError: The bytes at ``at`` are not a valid block of this format.
        """
        ...
