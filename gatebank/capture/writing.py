"""pcapng blocks, and conversations as packets that any ordinary tool reads. Bytes out; no I/O.

Sections and interfaces are built once a file, by dpkt; packet blocks many times a second, by struct: dpkt
needs 20 us for one with a comment. Formats: draft-ietf-opsawg-pcapng, RFC 791, 8200, 9293.
"""

from __future__ import annotations

import ipaddress
import struct

import dpkt  # type: ignore[import-untyped]

from gatebank import __version__
from gatebank.capture.errors import IpVersionMismatchError
from gatebank.capture.pcapng import ENHANCED_PACKET, OptionCode
from gatebank.capture.segments import ACK, FIN, LINK_RAW, PUSH, RST, SYN

SNAP_LENGTH = 262_144  # bytes of a packet, as usual tools write it
MAX_PAYLOAD = 32_768  # bytes of a value in one packet: below what an IP datagram may hold
WINDOW = 65_535  # bytes, of TCP; the largest without scaling
MAX_COMMENT = 1024  # bytes: an id may be as long as a client likes
COMMENT_OPTION = 1
NANOSECONDS = b"\x09"  # the resolution of an interface's times, as a power of 10
UINT32_MASK = 0xFFFFFFFF
UINT16_MASK = 0xFFFF

OPTION_HEADER = struct.Struct("<HH")  # code and length
BLOCK_LENGTH = struct.Struct("<I")
PACKET_BLOCK_HEADER = struct.Struct("<IIIIIII")
PACKET_BLOCK_OVERHEAD = 32  # bytes of a packet block without data and options
PADDING = tuple(bytes(size) for size in range(4))
PADDING_AND_END = tuple(bytes(size + 4) for size in range(4))  # padding, and the end of options

# IP headers without options or extensions, and TCP's behind them.
IPV4_TCP = struct.Struct("!BBHHHBBH4s4sHHIIBBHHH")
IPV6_TCP = struct.Struct("!IHBB16s16sHHIIBBHHH")
IPV4_HEADER_BYTES = 20
TCP_HEADER_BYTES = 20
TCP_OFFSET = 0x50  # five words of four bytes
IPV4_VERSION_AND_LENGTH = 0x45
IPV6_VERSION = 0x60000000
DO_NOT_FRAGMENT = 0x4000
TIME_TO_LIVE = 64
TCP_PROTOCOL = 6
CHECKSUM_MODULUS = 65535


def section_block(comment: str = "") -> bytes:
    """A file's first block; it names the program, by which reading knows what the interfaces mean."""
    header = dpkt.pcapng.SectionHeaderBlockLE()
    program = f"gatebank {__version__}".encode()
    header.opts = [dpkt.pcapng.PcapngOptionLE(code=int(OptionCode.SECTION_PROGRAM), data=program)]
    if comment:
        header.opts.append(dpkt.pcapng.PcapngOptionLE(code=COMMENT_OPTION, text=comment))
    header.opts.append(dpkt.pcapng.PcapngOptionLE())
    return bytes(header)


def interface_block(name: str = "", link: int = LINK_RAW, snap_length: int = SNAP_LENGTH) -> bytes:
    """The description of an interface whose times are ns."""
    description = dpkt.pcapng.InterfaceDescriptionBlockLE(linktype=link, snaplen=snap_length)
    name_code = int(OptionCode.INTERFACE_NAME)
    resolution_code = int(OptionCode.INTERFACE_RESOLUTION)
    description.opts = [dpkt.pcapng.PcapngOptionLE(code=name_code, data=name.encode())] if name else []
    description.opts.append(dpkt.pcapng.PcapngOptionLE(code=resolution_code, data=NANOSECONDS))
    description.opts.append(dpkt.pcapng.PcapngOptionLE())
    return bytes(description)


def packet_block(interface: int, at: int, data: bytes, length: int | None = None, comment: str = "") -> bytes:
    """An enhanced packet block.

    Args:
        interface: The number of the packet's interface in its section.
        at: ns of Unix time.
        data: The bytes kept of the packet.
        length: The bytes that it had on the wire; as many as are kept if None.
        comment: Stands on the packet, cut off at MAX_COMMENT bytes.
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
    """A TCP connection as packets of raw IP: handshake, data with right numbers, and its end.

    Checksums are kept as remainders by 65535 of what stays the same, to which each packet adds its own: a
    32-bit number counts as its two halves, as 65536 leaves a remainder of 1.

    Args:
        ends: Who opened the connection (side 0), and who accepted it (side 1).
        first_sequences: The first sequence number of each side, given by the caller so that the same bytes
            make the same file.

    Attributes:
        sequences: The next sequence number of each side.

    Raises:
        IpVersionMismatchError: The two addresses are of different IP versions.
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
        """One packet of this side; moves the side's sequence number on by what it holds."""
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
        """The packets of the handshake."""
        return [self.segment(0, SYN), self.segment(1, SYN | ACK), self.segment(0, ACK)]

    def send(self, side: int, data: bytes) -> list[bytes]:
        """The packets of what one side sent; they acknowledge all that the other had sent before."""
        if len(data) <= MAX_PAYLOAD:
            return [self.segment(side, PUSH | ACK, data)]
        parts = [data[at : at + MAX_PAYLOAD] for at in range(0, len(data), MAX_PAYLOAD)]
        packets = [self.segment(side, ACK, part) for part in parts[:-1]]
        packets.append(self.segment(side, PUSH | ACK, parts[-1]))
        return packets

    def close(self, side: int, abrupt: bool) -> list[bytes]:
        """The packets by which one side ends it: orderly, with the other's end behind, or by a reset."""
        if abrupt:
            return [self.segment(side, RST | ACK)]
        other = 1 - side
        return [self.segment(side, FIN | ACK), self.segment(other, FIN | ACK), self.segment(side, ACK)]
