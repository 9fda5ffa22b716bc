"""A packet as a capture file has it, and what a parser of a file format offers."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Packet(NamedTuple):
    """One captured packet. A named tuple because one is made for each of millions of packets.

    Attributes:
        at: ns of Unix time; 0 if the block has no time.
        link: The link type by its number in the pcap registry.
        data: The bytes that the capture kept.
        length: The bytes that the packet had on the wire.
        interface: The number of its interface in its section.
        side: "customer" or "node" where a recording of gatebank says which; else None.
    """

    at: int
    link: int
    data: bytes
    length: int
    interface: int
    side: str | None


class ParsedBlock(NamedTuple):
    """A block of a capture file that was read.

    Attributes:
        end: Where the next block begins in the buffer.
        packet: The packet that the block holds; None for blocks of other kinds.
    """

    end: int
    packet: Packet | None


class FileFormat(Protocol):
    """The parser of one capture file format."""

    @property
    def is_inside_block(self) -> bool:
        """Whether a block has begun whose bytes are not held in the buffer."""
        ...

    def parse(self, data: bytearray, at: int) -> ParsedBlock | None:
        """The block that begins at ``at``; None while it is not complete.

        Raises:
            CaptureFormatError: What is at ``at`` is no block of this format.
        """
        ...
