"""Encoding of pcapng blocks, and of connections as packets that common tools can read. No I/O.

Section and interface blocks are written once per file and are encoded with dpkt. Packet blocks are written
many times a second and are encoded with struct, because dpkt takes 20 us for a block with a comment. Formats:
draft-ietf-opsawg-pcapng, RFC 791, 8200, 9293.
"""

from __future__ import annotations

import ipaddress
import struct

import dpkt  # type: ignore[import-untyped]

from gatebank import __version__
from gatebank.capture.errors import IpVersionMismatchError
from gatebank.capture.pcapng import ENHANCED_PACKET, OptionCode
from gatebank.capture.segments import ACK, FIN, LINK_RAW, PUSH, RST, SYN

SNAP_LENGTH = 262_144  # Largest packet size in bytes, as common tools set it.
MAX_PAYLOAD = 32_768  # Bytes of data per packet, less than an IP datagram may hold.
WINDOW = 65_535  # TCP window in bytes; the largest without scaling.
MAX_COMMENT = 1024  # Bytes of a packet comment; clients may send ids of any length.
COMMENT_OPTION = 1
NANOSECONDS = b"\x09"  # Resolution of an interface's times, as a negative power of 10.
UINT32_MASK = 0xFFFFFFFF
UINT16_MASK = 0xFFFF

OPTION_HEADER = struct.Struct("<HH")  # Code and length.
BLOCK_LENGTH = struct.Struct("<I")
PACKET_BLOCK_HEADER = struct.Struct("<IIIIIII")
PACKET_BLOCK_OVERHEAD = 32  # Size in bytes of a packet block without data and options.
PADDING = tuple(bytes(size) for size in range(4))
PADDING_AND_END = tuple(bytes(size + 4) for size in range(4))  # Padding, and the end-of-options mark.

# IP headers without options or extension headers, followed by a TCP header.
IPV4_TCP = struct.Struct("!BBHHHBBH4s4sHHIIBBHHH")
IPV6_TCP = struct.Struct("!IHBB16s16sHHIIBBHHH")
IPV4_HEADER_BYTES = 20
TCP_HEADER_BYTES = 20
TCP_OFFSET = 0x50  # Header length: five words of four bytes.
IPV4_VERSION_AND_LENGTH = 0x45
IPV6_VERSION = 0x60000000
DO_NOT_FRAGMENT = 0x4000
TIME_TO_LIVE = 64
TCP_PROTOCOL = 6
CHECKSUM_MODULUS = 65535


def section_block(comment: str = "") -> bytes:
    """Return a file's first block, with the program name by which readers know the interface names."""
    header = dpkt.pcapng.SectionHeaderBlockLE()
    program = f"gatebank {__version__}".encode()
    header.opts = [dpkt.pcapng.PcapngOptionLE(code=int(OptionCode.SECTION_PROGRAM), data=program)]
    if comment:
        header.opts.append(dpkt.pcapng.PcapngOptionLE(code=COMMENT_OPTION, text=comment))
    header.opts.append(dpkt.pcapng.PcapngOptionLE())
    return bytes(header)


def interface_block(name: str = "", link: int = LINK_RAW, snap_length: int = SNAP_LENGTH) -> bytes:
    """Return the description block of an interface with timestamps in ns."""
    description = dpkt.pcapng.InterfaceDescriptionBlockLE(linktype=link, snaplen=snap_length)
    name_code = int(OptionCode.INTERFACE_NAME)
    resolution_code = int(OptionCode.INTERFACE_RESOLUTION)
    description.opts = [dpkt.pcapng.PcapngOptionLE(code=name_code, data=name.encode())] if name else []
    description.opts.append(dpkt.pcapng.PcapngOptionLE(code=resolution_code, data=NANOSECONDS))
    description.opts.append(dpkt.pcapng.PcapngOptionLE())
    return bytes(description)


def packet_block(interface: int, at: int, data: bytes, length: int | None = None, comment: str = "") -> bytes:
    """Return an enhanced packet block.

    Args:
        interface: Number of the packet's interface in its section.
        at: Time of the packet in ns of Unix time.
        data: The captured bytes of the packet.
        length: Size of the packet on the wire in bytes; the size of ``data`` if None.
        comment: The packet's comment, truncated to MAX_COMMENT bytes.
    """
    size = len(data)
    options = b""
    if comment:
        text = comment.encode("utf-8", "backslashreplace")[:MAX_COMMENT]
        options = OPTION_HEADER.pack(COMMENT_OPTION, len(text)) + text + PADDING_AND_END[-len(text) % 4]
    total = PACKET_BLOCK_OVERHEAD + size + (-size % 4) + len(options)
    high = at >> 32 & UINT32_MASK
    low = at & UINT32_MASK
    header = PACKET_BLOCK_HEADER.pack(ENHANCED_PACKET, total, interface, high, low, size, length or size)
    return b"%b%b%b%b%b" % (header, data, PADDING[-size % 4], options, BLOCK_LENGTH.pack(total))


class Conversation:
    """Encodes a TCP connection as raw IP packets: handshake, data with correct sequence numbers, and end.

    The checksums of the constant header fields are computed once, modulo 65535; each packet adds its own
    fields. A 32-bit number may be added whole instead of as two 16-bit halves, since 65536 is 1 modulo 65535.

    Args:
        ends: Host and port of the side that opened the connection (side 0) and of the other side (side 1).
        initial_sequences: The initial sequence number of each side. The caller chooses these numbers so that
            the same data always results in the same file.

    Attributes:
        sequences: The next sequence number of each side.

    Raises:
        IpVersionMismatchError: The two hosts have addresses of different IP versions.
    """

    __slots__ = ("_hosts", "_ip_checksum", "_ip_id", "_ports", "_tcp_checksum", "_version", "sequences")

    def __init__(
        self, ends: tuple[tuple[str, int], tuple[str, int]], initial_sequences: tuple[int, int]
    ) -> None:
        addresses = [ipaddress.ip_address(host.partition("%")[0]) for host, _ in ends]
        if addresses[0].version != addresses[1].version:
            raise IpVersionMismatchError
        self.sequences = list(initial_sequences)
        self._version = addresses[0].version
        self._hosts = tuple(address.packed for address in addresses)
        self._ports = (ends[0][1], ends[1][1])
        self._ip_id = 0
        hosts_sum = int.from_bytes(b"".join(self._hosts), "big") % CHECKSUM_MODULUS
        version_word = IPV4_VERSION_AND_LENGTH << 8
        ttl_word = TIME_TO_LIVE << 8 | TCP_PROTOCOL
        self._ip_checksum = version_word + DO_NOT_FRAGMENT + ttl_word + hosts_sum
        self._tcp_checksum = hosts_sum + TCP_PROTOCOL + sum(self._ports) + WINDOW

    def segment(self, side: int, flags: int, payload: bytes = b"") -> bytes:
        """Return a packet of ``side``, and advance the side's sequence number by the packet's content."""
        other = 1 - side
        sequence = self.sequences[side]
        ack = self.sequences[other] if flags & ACK else 0
        size = len(payload)
        self.sequences[side] = (sequence + size + bool(flags & (SYN | FIN))) & UINT32_MASK
        payload_sum = int.from_bytes(payload, "big") << (8 if size & 1 else 0)
        own_sum = TCP_HEADER_BYTES + size + sequence + ack + (TCP_OFFSET << 8 | flags) + payload_sum
        checksum = 0xFFFF - (self._tcp_checksum + own_sum) % CHECKSUM_MODULUS
        tcp = (
            self._ports[side], self._ports[other], sequence, ack, TCP_OFFSET, flags, WINDOW, checksum, 0
        )  # fmt: skip
        if self._version == 6:
            return self._ipv6_header(side, size, tcp) + payload
        return self._ipv4_header(side, size, tcp) + payload

    def _ipv6_header(self, side: int, size: int, tcp: tuple[int, ...]) -> bytes:
        hosts = (self._hosts[side], self._hosts[1 - side])
        return IPV6_TCP.pack(IPV6_VERSION, TCP_HEADER_BYTES + size, TCP_PROTOCOL, TIME_TO_LIVE, *hosts, *tcp)

    def _ipv4_header(self, side: int, size: int, tcp: tuple[int, ...]) -> bytes:
        self._ip_id = (self._ip_id + 1) & UINT16_MASK
        total = IPV4_HEADER_BYTES + TCP_HEADER_BYTES + size
        checksum = 0xFFFF - (self._ip_checksum + total + self._ip_id) % CHECKSUM_MODULUS
        return IPV4_TCP.pack(
            IPV4_VERSION_AND_LENGTH, 0, total, self._ip_id, DO_NOT_FRAGMENT, TIME_TO_LIVE, TCP_PROTOCOL,
            checksum, self._hosts[side], self._hosts[1 - side], *tcp,
        )  # fmt: skip

    def open(self) -> list[bytes]:
        """Return the packets of the handshake."""
        return [self.segment(0, SYN), self.segment(1, SYN | ACK), self.segment(0, ACK)]

    def send(self, side: int, data: bytes) -> list[bytes]:
        """Return the packets of data sent by ``side``; they acknowledge all earlier data of the peer."""
        if len(data) <= MAX_PAYLOAD:
            return [self.segment(side, PUSH | ACK, data)]
        parts = [data[at : at + MAX_PAYLOAD] for at in range(0, len(data), MAX_PAYLOAD)]
        packets = [self.segment(side, ACK, part) for part in parts[:-1]]
        packets.append(self.segment(side, PUSH | ACK, parts[-1]))
        return packets

    def close(self, side: int, abrupt: bool) -> list[bytes]:
        """Return the packets of a close by ``side``: FINs of both sides, or a reset if ``abrupt``."""
        if abrupt:
            return [self.segment(side, RST | ACK)]
        other = 1 - side
        return [self.segment(side, FIN | ACK), self.segment(other, FIN | ACK), self.segment(side, ACK)]
