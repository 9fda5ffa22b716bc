"""Builds captures in memory from steps, including network faults. captures.scenarios uses these steps:

format pcap|pcap-be|pcap-ns|pcapng|pcapng-be  the file format; "be" is big-endian, "ns" has nanoseconds
link ethernet|vlan|qinq|raw|null|cooked|cooked2    the link layer
ip 4|6                                        the IP version of connections that are named from now on
compression gzip|zstd                         compress the file
limits NAME=VALUE ...                         set limits of reading the file
open N, close N, reset N                      connection N: handshake, end by the client, reset by the server;
                                              the server is an endpoint if N begins with "n", else an instance
request N CLASS [BYTES]                       send a command on connection N, with a body of BYTES bytes
value N [BYTES], endpoint_value N [BYTES]     reply with a value, as an instance or as an endpoint
busy N, error N                               reply with an instance's rejection, or with an endpoint's error
raw N SIDE "BYTES"                            send any bytes from side 0 (client) or 1 (server)
split BYTES                                   put at most BYTES bytes of payload into each later segment
drop K, duplicate K, delay K                  lose the Kth packet of the next step, capture it twice, or
                                              capture it after the packet that follows it
fragment BYTES, options                       send later IP datagrams in fragments, or with IPv4 options
snap BYTES                                    set the snap length
wait SECONDS, rewind SECONDS                  move the capture's clock forwards or backwards
wrap N, reuse N                               set the sequence numbers just below 2^32; reuse the ports
junk                                          add packets that hold no TCP segment
truncate BYTES, skip PACKETS                  cut BYTES bytes off the file's end; leave out its first packets
expect K exchanges | K whole | side NAME K | ended NAME K | COUNT >= K | COUNT = K | spoilt [WORDS]
                                              check the result of reading the file
matches                                       check that each whole exchange has the response sent for it
"""

from __future__ import annotations

import gzip
import shlex
import struct
from functools import partial
from typing import Any, NamedTuple

import zstandard

from gatebank.capture import writing
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.reading import CaptureReader
from gatebank.capture.records import Exchange
from gatebank.capture.segments import ACK
from gatebank.proxy.resp2 import codec as resp

START = 1_700_000_000_000_000_000  # Time of the first packet in ns of Unix time.
LINK_TYPES = {"ethernet": 1, "vlan": 1, "qinq": 1, "raw": 101, "null": 0, "cooked": 113, "cooked2": 276}


class CapturedPacket(NamedTuple):
    """A packet: its time in ns of Unix time, its captured bytes, and its size on the wire."""

    at: int
    data: bytes
    length: int


class Fault(NamedTuple):
    """A fault of the next step: "drop", "duplicate" or "delay", and the packet's number, counted from 1."""

    name: str
    number: int


class CaptureBuilder:
    """Builds a capture: steps add packets, and `data` returns the file.

    Attributes:
        file_format: The file format.
        link: The link layer.
        ip_version: IP version of connections that are named from now on, 4 or 6.
        compression: "gzip", "zstd" or empty.
        packets: The packets in the order of the file.
        skipped_packets: Number of packets that are left out at the file's beginning.
        value_sizes: Size in bytes of the value that was sent in response to a request id.
        limits: Limits of reading the file.
    """

    def __init__(self) -> None:
        self.file_format = "pcapng"
        self.link = "ethernet"
        self.ip_version = 4
        self.compression = ""
        self.packets: list[CapturedPacket] = []
        self.skipped_packets = 0
        self.value_sizes: dict[str, int] = {}
        self.limits = ReadingLimits()
        self._at = START  # Time of the last packet in ns of Unix time.
        self._segment_bytes = 1400
        self._fragment_bytes = 0  # Payload bytes of a fragment; 0 disables fragmentation.
        self._has_ip_options = False
        self._snap_length = 0  # 0 for no limit.
        self._cut_bytes = 0  # Bytes cut off the file's end.
        self._conversations: dict[str, writing.Conversation] = {}
        self._faults: list[Fault] = []  # Faults of the next step's packets.
        self._delayed: list[CapturedPacket] = []  # Packets to insert after the next packet.
        self._last_id = 0
        self._last_ip_id = 0
        self._pending_ids: dict[str, list[str]] = {}  # Ids of pending requests by connection.
        self._reading: tuple[list[Exchange], CaptureReader] | None = None

    def run_step(self, step: str) -> None:
        """Run one of the steps that the module's docstring lists."""
        name, *words = shlex.split(step)
        getattr(self, "do_" + name)(*words)

    # The file.

    def data(self) -> bytes:
        """Return the file's bytes, compressed if a compression is set."""
        whole = self._pcapng() if self.file_format.startswith("pcapng") else self._pcap()
        whole = whole[: len(whole) - self._cut_bytes]
        if self.compression == "gzip":
            half = len(whole) // 2  # Compressed as two concatenated members.
            return gzip.compress(whole[:half], mtime=0) + gzip.compress(whole[half:], mtime=0)
        return zstandard.compress(whole) if self.compression == "zstd" else whole

    def _byte_order(self) -> str:
        return ">" if self.file_format.endswith("be") else "<"

    def _pcapng(self) -> bytes:
        order = self._byte_order()
        block = partial(writing.packet_block, 0) if order == "<" else self.big_endian_packet_block
        blocks = [
            block(packet.at, packet.data, packet.length) for packet in self.packets[self.skipped_packets :]
        ]
        return self.pcapng_header(order) + b"".join(blocks)

    def _pcap(self) -> bytes:
        order = self._byte_order()
        is_in_ns = self.file_format.endswith("ns")
        magic = 0xA1B23C4D if is_in_ns else 0xA1B2C3D4
        unit_ns = 1 if is_in_ns else 1000
        parts = [struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 262144, LINK_TYPES[self.link])]
        for at, data, length in self.packets[self.skipped_packets :]:
            seconds, part = divmod(at, 10**9)
            parts.append(struct.pack(order + "IIII", seconds, part // unit_ns, len(data), length) + data)
        return b"".join(parts)

    def pcapng_header(self, order: str) -> bytes:
        """Return the first blocks of a pcapng file in byte order ``order``, "<" or ">"."""
        if order == "<":
            return writing.section_block("a comment") + writing.interface_block("any", LINK_TYPES[self.link])
        section = struct.pack(">IIIHHq", 0x0A0D0D0A, 28, 0x1A2B3C4D, 1, 0, -1) + struct.pack(">I", 28)
        # Timestamp resolution of 2^-20 s, and time offset of 1,000 s.
        options = struct.pack(">HHB3x", 9, 1, 0x80 | 20) + struct.pack(">HHq", 14, 8, 1000) + bytes(4)
        size = 20 + len(options)
        unknown = struct.pack(">II4sI", 0xBAD, 16, b"what", 16)
        interface = (
            struct.pack(">IIHHI", 1, size, LINK_TYPES[self.link], 0, 0) + options + struct.pack(">I", size)
        )
        return section + unknown + interface

    def big_endian_packet_block(self, at: int, data: bytes, size: int) -> bytes:
        """Return a big-endian packet block, with the time resolution and offset of `pcapng_header`."""
        units = -(-(at - 1000 * 10**9) * 2**20 // 10**9)
        body = struct.pack(">IIIII", 0, units >> 32, units & 0xFFFFFFFF, len(data), size) + data
        body += bytes(-len(data) % 4)
        total = 12 + len(body)
        return struct.pack(">II", 6, total) + body + struct.pack(">I", total)

    def read(self) -> tuple[list[Exchange], CaptureReader]:
        """Return the exchanges of the file and the reader, read once after each change of the packets."""
        if self._reading is None:
            self._reading = read_capture(self.data(), self.limits)
        return self._reading

    # Packets.

    def add_packets(self, packets: list[bytes]) -> None:
        """Add the IP packets of one step, with the faults that are set for the step."""
        self._reading = None
        for number, ip in enumerate(packets, 1):
            faults = {fault.name for fault in self._faults if fault.number == number}
            for datagram in self.datagrams(ip):
                frame = self.frame(datagram)
                self._at += 20_000
                kept = frame[: self._snap_length] if self._snap_length else frame
                packet = CapturedPacket(self._at, kept, len(frame))
                if "drop" in faults:
                    continue
                if "delay" in faults:
                    self._delayed.append(packet)
                    continue
                self.packets += [packet] * (2 if "duplicate" in faults else 1)
                self.packets += self._delayed
                self._delayed.clear()
        self._faults.clear()

    def datagrams(self, ip: bytes) -> list[bytes]:
        """Return the datagrams of an IP packet, with IP options and in fragments if these are enabled."""
        if self._has_ip_options and ip[0] == 0x45:
            options = b"\x01" * 8
            size = (len(ip) + 8).to_bytes(2, "big")
            ip = b"\x47" + ip[1:2] + size + ip[4:20] + options + ip[20:]
        if not self._fragment_bytes:
            return [ip]
        self._last_ip_id += 1
        fragments = self._ipv4_fragments(ip) if ip[0] >> 4 == 4 else self._ipv6_fragments(ip)
        return fragments[::-1]  # In reverse order.

    def _parts(self, body: bytes) -> list[tuple[int, bytes, bool]]:
        """Split the body into parts: the offset, the bytes, and whether further parts follow."""
        size = self._fragment_bytes
        starts = range(0, len(body), size)
        return [(start, body[start : start + size], start + size < len(body)) for start in starts]

    def _ipv4_fragments(self, ip: bytes) -> list[bytes]:
        header_bytes = 4 * (ip[0] & 15)
        fragments = []
        for at, part, more in self._parts(ip[header_bytes:]):
            flags_and_offset = (0x2000 if more else 0) | at // 8
            fields = struct.pack("!HHH", header_bytes + len(part), self._last_ip_id, flags_and_offset)
            fragments.append(ip[:2] + fields + ip[8:header_bytes] + part)
        return fragments

    def _ipv6_fragments(self, ip: bytes) -> list[bytes]:
        fragments = []
        for at, part, more in self._parts(ip[40:]):
            fragment_header = struct.pack("!BBHI", 6, 0, at | more, self._last_ip_id)
            # A destination options header before the fragment header tests a chain of extension headers.
            option = bytes((44, 0, 1, 4, 0, 0, 0, 0))
            size = struct.pack("!H", len(part) + 16)
            fragments.append(ip[:4] + size + bytes((60,)) + ip[7:40] + option + fragment_header + part)
        return fragments

    def frame(self, ip: bytes) -> bytes:
        """Return the link layer frame of an IP packet."""
        is_ipv4 = ip[0] >> 4 == 4
        ethertype = b"\x08\x00" if is_ipv4 else b"\x86\xdd"
        headers = {
            "ethernet": bytes(12) + ethertype,
            "vlan": bytes(12) + b"\x81\x00\x00\x05" + ethertype,
            "qinq": bytes(12) + b"\x88\xa8\x00\x07\x81\x00\x00\x05" + ethertype,
            "raw": b"",
            "null": struct.pack("<I", 2 if is_ipv4 else 30),
            "cooked": struct.pack("!HHH8s", 0, 1, 6, bytes(8)) + ethertype,
            "cooked2": ethertype + struct.pack("!HiHBB8s", 0, 1, 1, 0, 6, bytes(8)),
        }
        padding = max(0, 46 - len(ip)) if self.link == "ethernet" else 0
        return headers[self.link] + ip + bytes(padding)

    def conversation(self, name: str) -> writing.Conversation:
        """Return the connection of this name, which is created on first use."""
        if name not in self._conversations:
            client_host, server_host = ("10.0.0.%d", "10.0.1.%d")
            if self.ip_version == 6:
                client_host, server_host = ("fd00::%d", "fd01::%d")
            number = len(self._conversations)
            client = (client_host % (number % 200 + 1), 40000 + number)
            # Endpoints have another address than instances.
            server = (server_host % (2 if name.startswith("n") else 1), 6379)
            self._conversations[name] = writing.Conversation((client, server), (1000, 500_000))
        return self._conversations[name]

    def send_bytes(self, name: str, side: int, data: bytes) -> None:
        """Send bytes from one side of a connection, in segments."""
        conversation = self.conversation(name)
        size = self._segment_bytes
        self.add_packets(
            [conversation.segment(side, ACK, data[at : at + size]) for at in range(0, len(data), size)]
        )

    # Steps.

    def do_format(self, file_format: str) -> None:
        """Set the file format."""
        self.file_format = file_format

    def do_link(self, link: str) -> None:
        """Set the link layer."""
        self.link = link

    def do_ip(self, version: str) -> None:
        """Set the IP version of connections that are named from now on."""
        self.ip_version = int(version)

    def do_compression(self, compression: str) -> None:
        """Set the compression of the file."""
        self.compression = compression

    def do_limits(self, *assignments: str) -> None:
        """Set limits of reading, given as NAME=VALUE."""
        values = dict(assignment.split("=") for assignment in assignments)
        types = {name: type(getattr(self.limits, name)) for name in values}
        self.limits = ReadingLimits(**{name: types[name](value) for name, value in values.items()})

    def do_open(self, name: str) -> None:
        """Add the handshake of a connection."""
        self.add_packets(self.conversation(name).open())

    def do_close(self, name: str) -> None:
        """Close a connection from the client's side."""
        self.add_packets(self.conversation(name).close(0, False))

    def do_reset(self, name: str) -> None:
        """Reset a connection from the server's side."""
        self.add_packets(self.conversation(name).close(1, True))

    def do_request(self, name: str, request_class: str, size: str = "0") -> None:
        """Send a command, with a body of ``size`` bytes unless the request class is "read"."""
        self._last_id += 1
        id_ = f"id{self._last_id:04d}"
        self._pending_ids.setdefault(name, []).append(id_)
        parameters = f"c={request_class},t=all,d=1000"
        if request_class == "sign":
            parameters += f",k={self._last_id:016x}"
        is_read = request_class == "read"
        arguments = [b"Q.ASK" if is_read else b"Q.DO", b"key", id_.encode(), parameters.encode()]
        if not is_read:
            arguments.append(b"b" * int(size))
        self.send_bytes(name, 0, resp.encode_command(arguments))

    def next_value(self, name: str, size: str | None) -> bytes:
        """Return a value for the oldest pending request; its default size identifies the response."""
        id_ = self._pending_ids[name].pop(0) if self._pending_ids.get(name) else "none"
        default_size = 9 if id_ == "none" else 20 + int(id_[2:] or 0)
        value_bytes = int(size) if size else default_size
        self.value_sizes[id_] = value_bytes
        return b"v" * value_bytes

    def do_value(self, name: str, size: str | None = None) -> None:
        """Reply with a value as an instance."""
        self.send_bytes(name, 1, b"".join(resp.encode_bulk_string(self.next_value(name, size))))

    def do_endpoint_value(self, name: str, size: str | None = None) -> None:
        """Reply with a value and a load report as an endpoint."""
        value = b"".join(resp.encode_bulk_string(self.next_value(name, size)))
        self.send_bytes(name, 1, b"*3\r\n" + value + b"$-1\r\n$10\r\ninflight=1\r\n")

    def do_busy(self, name: str) -> None:
        """Reject the oldest pending request as an instance."""
        self._pending_ids[name].pop(0)
        self.send_bytes(name, 1, b"-BUSY 250\r\n")

    def do_error(self, name: str) -> None:
        """Reply with an error and a load report as an endpoint."""
        self._pending_ids[name].pop(0)
        self.send_bytes(name, 1, b"-ERR failed inflight=1\r\n")

    def do_raw(self, name: str, side: str, data: str) -> None:
        """Send any bytes from one side; the text may contain escapes."""
        self.send_bytes(name, int(side), data.encode().decode("unicode_escape").encode("latin-1"))

    def do_split(self, size: str) -> None:
        """Set the largest payload of later segments in bytes."""
        self._segment_bytes = int(size)

    def do_drop(self, number: str) -> None:
        """Lose the next step's packet of this number."""
        self._faults.append(Fault("drop", int(number)))

    def do_duplicate(self, number: str) -> None:
        """Capture the next step's packet of this number twice."""
        self._faults.append(Fault("duplicate", int(number)))

    def do_delay(self, number: str) -> None:
        """Capture the next step's packet of this number after the packet that follows it."""
        self._faults.append(Fault("delay", int(number)))

    def do_fragment(self, size: str) -> None:
        """Send later IP datagrams in fragments of ``size`` bytes."""
        self._fragment_bytes = int(size)

    def do_options(self) -> None:
        """Add IP options to later IPv4 packets."""
        self._has_ip_options = True

    def do_snap(self, size: str) -> None:
        """Set the snap length of later packets."""
        self._snap_length = int(size)

    def do_wait(self, seconds: str) -> None:
        """Advance the capture's clock."""
        self._at += int(float(seconds) * 1e9)

    def do_rewind(self, seconds: str) -> None:
        """Set the capture's clock back."""
        self._at -= int(float(seconds) * 1e9)

    def do_wrap(self, name: str) -> None:
        """Set the sequence numbers of both sides just below 2^32."""
        self.conversation(name).sequences[:] = [2**32 - 30, 2**32 - 5]

    def do_reuse(self, name: str) -> None:
        """Prepare a new connection on the same ports, with other initial sequence numbers."""
        self.conversation(name).sequences[:] = [77_000_000, 99_000_000]
        self._pending_ids.pop(name, None)

    def do_junk(self) -> None:
        """Add packets that hold no TCP segment."""
        for frame in (b"", b"\x45", bytes(60), b"\xff" * 100, bytes(12) + b"\x08\x00\x45\x00", b"\x60" * 44):
            self.packets.append(CapturedPacket(self._at, frame, len(frame)))

    def do_truncate(self, size: str) -> None:
        """Cut ``size`` bytes off the file's end."""
        self._cut_bytes = int(size)

    def do_skip(self, packets: str) -> None:
        """Leave out the first packets of the file."""
        self.skipped_packets = int(packets)

    def do_matches(self) -> None:
        """Check that each whole exchange has the response that was sent for its request."""
        exchanges, _ = self.read()
        wrong = mismatched_exchanges(exchanges, self.value_sizes)
        assert not wrong, wrong

    def do_expect(self, subject: str, *words: str) -> None:
        """Check the result of reading the file; the module's docstring lists the expectations."""
        exchanges, reading = self.read()
        counts: dict[str, Any] = reading.counts()
        summary = [(exchange.id, exchange.side, exchange.ended, exchange.whole) for exchange in exchanges]
        match (subject, *words):
            case (number, "exchanges"):
                assert len(exchanges) == int(number), summary
            case (number, "whole"):
                assert sum(exchange.whole for exchange in exchanges) == int(number), (summary, counts)
            case (("side" | "ended") as field, name, number):
                assert sum(getattr(exchange, field) == name for exchange in exchanges) == int(number), summary
            case ("spoilt", *rest):
                assert counts.get("spoilt"), counts
                assert " ".join(rest) in counts["spoilt"], counts
            case (name, ">=", number):
                assert counts[name] >= int(number), counts
            case (name, "=", number):
                assert counts[name] == int(number), counts
            case _:
                raise ValueError(f"unknown expectation: {subject} {words}")


def mismatched_exchanges(
    exchanges: list[Exchange], sizes: dict[str, int]
) -> list[tuple[str | None, int | None]]:
    """Return the whole exchanges whose value is not the value that was sent in response to their request."""
    served = [exchange for exchange in exchanges if exchange.whole and exchange.ended == "satisfied"]
    return [(e.id, e.value_bytes) for e in served if sizes.get(e.id or "") != e.value_bytes]


def read_capture(
    data: bytes, limits: ReadingLimits | None = None, piece: int = 0
) -> tuple[list[Exchange], CaptureReader]:
    """Read a capture, fed in pieces of ``piece`` bytes, or in one piece if ``piece`` is 0."""
    reading = CaptureReader(limits)
    found: list[Exchange] = []
    for at in range(0, len(data), piece or len(data) or 1):
        found += reading.feed(data[at : at + (piece or len(data))])
    found += reading.end()
    return found, reading
