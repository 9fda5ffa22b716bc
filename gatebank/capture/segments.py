"""Decoding of packets to TCP segments: link layers, IPv4 and IPv6, fragments. No I/O.

Nearly all packets are TCP over IPv4 without options, in plain Ethernet or raw IP. Such a packet is decoded
with one `struct` call, which takes 0.3 us, while dpkt takes 5 us. dpkt decodes all other packets.
"""

from __future__ import annotations

import ipaddress
import struct
from functools import lru_cache
from typing import NamedTuple

import dpkt  # type: ignore[import-untyped]

from gatebank.capture.ip_fragments import FragmentReassembler
from gatebank.capture.limits import ReadingLimits

# Link types, by their numbers in the pcap registry.
LINK_NULL = 0
LINK_ETHERNET = 1
LINK_RAW = 101
LINK_LOOP = 108
LINK_COOKED = 113
LINK_IPV4 = 228
LINK_IPV6 = 229
LINK_COOKED_2 = 276
RAW_IP_LINKS = (LINK_RAW, LINK_IPV4, LINK_IPV6, 12, 14)  # Some systems use 12 or 14 for raw IP.
ETHERNET_HEADER_BYTES = 14
ETHERTYPE_IPV4 = b"\x08\x00"

# TCP flags.
FIN = 1
SYN = 2
RST = 4
PUSH = 8
ACK = 16

IPV4_TCP = struct.Struct("!BBHHHBBHIIHHIIBBHHH")  # An IPv4 header without options, then a TCP header.
IPV4_HEADER_BYTES = 20
MIN_TCP_HEADER_BYTES = 20
VERSION_4_WITHOUT_OPTIONS = 0x45  # First byte of an IPv4 header without options.
FRAGMENT_MASK = 0x3FFF  # Bits of IPv4's flags and offset field that are not all 0 in a fragment.
TCP_PROTOCOL = 6
FRAGMENT_UNIT = 8  # Bytes per unit of a fragment's offset in IP; dpkt 1.9.8 returns the offset in units.
BSD_FAMILY_IPV4 = 2
BSD_FAMILIES_IPV6 = (10, 24, 28, 30)  # The number differs between systems.


class Segment(NamedTuple):
    """A TCP segment. A named tuple is used because a capture holds millions of packets.

    Attributes:
        source: The sender's address, packed: an integer for IPv4, 16 bytes for IPv6.
        source_port: The sender's port.
        target: The receiver's address, packed.
        target_port: The receiver's port.
        sequence: The sequence number of the first byte, or of the SYN.
        ack: The acknowledgement number; valid only if `flags` contains ACK.
        flags: The TCP flags.
        payload: The captured bytes of the payload.
        missing_bytes: Number of bytes at the payload's end that the snap length cut off.
    """

    source: int | bytes
    source_port: int
    target: int | bytes
    target_port: int
    sequence: int
    ack: int
    flags: int
    payload: bytes
    missing_bytes: int


@lru_cache(maxsize=4096)
def address_name(host: int | bytes, port: int) -> str:
    """Format a packed address and a port as text.

    >>> address_name(0x7f000001, 80), address_name(bytes(15) + bytes([1]), 80)
    ('127.0.0.1:80', '[::1]:80')
    """
    if isinstance(host, int):
        return f"{ipaddress.IPv4Address(host)}:{port}"
    return f"[{ipaddress.IPv6Address(host)}]:{port}"


class SegmentDecoder:
    """Decodes packets one by one; holds only the fragments of incomplete IP datagrams.

    Args:
        limits: Limits of the reading.
    """

    def __init__(self, limits: ReadingLimits) -> None:
        self._fragments = FragmentReassembler(limits)
        self._not_ip = 0
        self._not_tcp = 0
        self._unreadable = 0

    def counts(self) -> dict[str, int]:
        """Return counters of packets without a complete segment, by the names that `capture check` prints."""
        return {
            "not_ip": self._not_ip,
            "not_tcp": self._not_tcp,
            "unreadable": self._unreadable,
            "fragments": self._fragments.fragment_count,
            "fragments_given_up": self._fragments.given_up_count,
        }

    def decode(self, link: int, data: bytes, at: int, length: int) -> Segment | None:
        """Decode the segment in a packet; return None if the packet holds no segment, or only a part.

        Args:
            link: The link type.
            data: The captured bytes.
            at: Time of the packet in ns of the capture's clock.
            length: Size of the packet on the wire in bytes.
        """
        start = -1
        if link == LINK_ETHERNET and data[12:14] == ETHERTYPE_IPV4:
            start = ETHERNET_HEADER_BYTES
        elif link in RAW_IP_LINKS:
            start = 0
        if start >= 0 and len(data) >= start + IPV4_HEADER_BYTES + MIN_TCP_HEADER_BYTES:
            segment = self._decode_plain_ipv4(data, start, length)
            if segment is not None:
                return segment
        try:
            return self._decode_with_dpkt(link, data, at, length - len(data))
        except (dpkt.Error, struct.error, IndexError, ValueError, AttributeError, TypeError):
            self._unreadable += 1  # dpkt raises any of these exceptions for invalid packets.
            return None

    @staticmethod
    def _decode_plain_ipv4(data: bytes, start: int, length: int) -> Segment | None:
        """Decode IPv4 at offset ``start``; return None unless it is TCP without IP options or fragments."""
        if data[start] != VERSION_4_WITHOUT_OPTIONS or data[start + 9] != TCP_PROTOCOL:
            return None
        (
            _, _, total_bytes, _, fragment, _, _, _, source, target,
            source_port, target_port, sequence, ack, offset, flags, _, _, _,
        ) = IPV4_TCP.unpack_from(data, start)  # fmt: skip
        tcp_header_bytes = 4 * (offset >> 4)
        header_bytes = IPV4_HEADER_BYTES + tcp_header_bytes
        if fragment & FRAGMENT_MASK or tcp_header_bytes < MIN_TCP_HEADER_BYTES or total_bytes < header_bytes:
            return None
        payload = data[start + header_bytes : start + total_bytes]
        missing = total_bytes - header_bytes - len(payload)
        if missing and length <= len(data):
            return None  # The IP header claims more bytes than the packet had.
        return Segment(source, source_port, target, target_port, sequence, ack, flags, payload, missing)

    def _decode_with_dpkt(self, link: int, data: bytes, at: int, cut: int) -> Segment | None:
        """Decode a packet with dpkt; the snap length cut ``cut`` bytes off the packet."""
        ip = self._network_layer(link, data)
        if isinstance(ip, dpkt.ip.IP):
            return self._decode_ipv4(ip, at, cut)
        if isinstance(ip, dpkt.ip6.IP6):
            return self._decode_ipv6(ip, at, cut)
        self._not_ip += 1
        return None

    @staticmethod
    def _network_layer(link: int, data: bytes) -> object:
        """Return dpkt's object for the link layer's payload; None for an unknown link type."""
        if link in RAW_IP_LINKS:
            return (dpkt.ip6.IP6 if data[0] >> 4 == 6 else dpkt.ip.IP)(data)
        if link == LINK_ETHERNET:
            return dpkt.ethernet.Ethernet(data).data
        if link == LINK_COOKED:
            return dpkt.sll.SLL(data).data
        if link == LINK_COOKED_2:
            return dpkt.sll2.SLL2(data).data
        if link in (LINK_NULL, LINK_LOOP):
            return _bsd_loopback(data)
        return None

    def _decode_ipv4(self, ip: dpkt.ip.IP, at: int, cut: int) -> Segment | None:
        if ip.p != TCP_PROTOCOL:
            self._not_tcp += 1
            return None
        source = int.from_bytes(ip.src, "big")
        target = int.from_bytes(ip.dst, "big")
        payload = bytes(ip.data)
        if ip.mf or ip.offset:
            if cut:
                return None
            key = (source, target, ip.id)
            offset = FRAGMENT_UNIT * ip.offset
            datagram = self._fragments.add(key, offset, payload, bool(ip.mf), at)
            return _decode_tcp(source, target, datagram, 0) if datagram else None
        expected = ip.len - 4 * ip.hl if ip.len else len(payload)
        missing = max(0, expected - len(payload)) if cut else 0
        return _decode_tcp(source, target, payload[:expected], missing)

    def _decode_ipv6(self, ip: dpkt.ip6.IP6, at: int, cut: int) -> Segment | None:
        extensions = ip.all_extension_headers
        if getattr(ip, "p", ip.nxt) != TCP_PROTOCOL:
            self._not_tcp += 1
            return None
        payload = bytes(ip.data)
        expected = ip.plen - sum(header.length for header in extensions) if ip.plen else len(payload)
        fragment = next((h for h in extensions if isinstance(h, dpkt.ip6.IP6FragmentHeader)), None)
        if fragment and (fragment.frag_off or fragment.m_flag):
            if cut:
                return None
            key = (ip.src, ip.dst, fragment.id)
            offset = FRAGMENT_UNIT * fragment.frag_off
            datagram = self._fragments.add(key, offset, payload, bool(fragment.m_flag), at)
            return _decode_tcp(ip.src, ip.dst, datagram, 0) if datagram else None
        missing = max(0, expected - len(payload)) if cut else 0
        return _decode_tcp(ip.src, ip.dst, payload[:expected], missing)


def _bsd_loopback(data: bytes) -> object:
    """Decode IP after a four-byte address family, in the capturing machine's or the network's byte order."""
    family = min(int.from_bytes(data[:4], "little"), int.from_bytes(data[:4], "big"))
    if family == BSD_FAMILY_IPV4:
        return dpkt.ip.IP(data[4:])
    return dpkt.ip6.IP6(data[4:]) if family in BSD_FAMILIES_IPV6 else None


def _decode_tcp(source: int | bytes, target: int | bytes, data: bytes, missing: int) -> Segment:
    tcp = dpkt.tcp.TCP(data)
    header_bytes = 4 * tcp.off
    if header_bytes < MIN_TCP_HEADER_BYTES or header_bytes > len(data):
        raise dpkt.UnpackError("invalid TCP header length")
    payload = data[header_bytes:]
    flags = tcp.flags & 0xFF
    return Segment(source, tcp.sport, target, tcp.dport, tcp.seq, tcp.ack, flags, payload, missing)
