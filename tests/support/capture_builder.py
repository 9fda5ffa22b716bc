"""Builder of captures in memory, step by step, for captures.scenarios.

Steps can also lose, repeat, reorder and fragment packets, as a network or a capture does.

form pcap|pcap-be|pcap-ns|pcapng|pcapng-be    the file format
link ethernet|vlan|qinq|raw|null|cooked|cooked2
                                              the link layer
ip 4|6                                        the IP version
squeeze gzip|zstd, limits NAME=VALUE          the compression of the file, and the limits of its reader
open N, close N, reset N                      the handshake or the end of connection N, which leads to an
                                              endpoint if N starts with n, else to an instance
ask N CLASS [BYTES]                           a command on connection N, with a body of this size
value N [BYTES], nodevalue N [BYTES]          a value from an instance, or from an endpoint with a load report
busy N, error N                               a rejection from an instance, or an error from an endpoint
raw N SIDE "BYTES"                            arbitrary bytes of the client (0) or the server (1)
split BYTES                                   the payload size of later segments
drop K, again K, late K                       lose packet K of the next step, repeat it, or put it after the
                                              next packet
fragment BYTES, options                       split later IP datagrams into fragments, or give them IP options
snap BYTES                                    the snap length of later packets
wait SECONDS, back SECONDS                    move the time forwards or backwards
wrap N, reuse N                               the sequence numbers of connection N start just below 2^32; its
                                              ports are reused
noise                                         packets that are not IP packets, or malformed
end BYTES, begin PACKETS                      cut bytes off the end of the file, or packets off its start
expect K exchanges | K whole | side NAME K | ended NAME K | COUNT >= K | COUNT = K | spoilt [WORDS]
                                              check the exchanges and the counts of the reader
matches                                       each complete exchange has the response that was sent to its
                                              request
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

# Time of the first packet, in ns of Unix time.
START = 1_700_000_000_000_000_000
# Link types of capture files, by the names of link layers.
LINKS = {"ethernet": 1, "vlan": 1, "qinq": 1, "raw": 101, "null": 0, "cooked": 113, "cooked2": 276}


class CapturedPacket(NamedTuple):
    """A captured packet.

    Attributes:
        at: The time in ns of Unix time.
        data: The captured bytes.
        length: The length of the packet before it was cut to the snap length.
    """

    at: int
    data: bytes
    length: int


class Fault(NamedTuple):
    """A fault of a packet in the next step.

    Attributes:
        name: "drop", "again" or "late".
        number: The number of the packet in the step, from 1.
    """

    name: str
    number: int


class CaptureBuilder:
    """A capture under construction: steps add packets, and `data` returns the file.

    Attributes:
        form: The file format.
        link: The link layer.
        ip_version: 4 or 6.
        compression: "gzip", "zstd" or empty.
        packets: The packets in the order of the file.
        first: Number of packets that are left out at the start of the file.
        sizes: Size of the value that was sent for a request, by request id.
        limits: The limits of the reader.
    """

    def __init__(self) -> None:
        self.form = "pcapng"
        self.link = "ethernet"
        self.ip_version = 4
        self.compression = ""
        self.packets: list[CapturedPacket] = []
        self.first = 0
        self.sizes: dict[str, int] = {}
        self.limits = ReadingLimits()
        # The time of the next packet, in ns of Unix time.
        self._at = START
        self._segment_bytes = 1400
        # Maximum payload of a fragment; 0 disables fragmentation.
        self._fragment_bytes = 0
        self._has_ip_options = False
        # Maximum captured bytes of a packet; 0 captures packets completely.
        self._snap_length = 0
        # Number of bytes cut off the end of the file.
        self._cut_bytes = 0
        self._conversations: dict[str, writing.Conversation] = {}
        # Faults of the packets of the next step.
        self._faults: list[Fault] = []
        # Packets that are added after the next packet.
        self._late: list[CapturedPacket] = []
        self._last_id = 0
        self._last_ip_id = 0
        # Ids of the requests without a response, by connection.
        self._unanswered: dict[str, list[str]] = {}
        self._reading: tuple[list[Exchange], CaptureReader] | None = None

    def run_step(self, step: str) -> None:
        """Run a step; the docstring of this module lists them."""
        name, *arguments = shlex.split(step)
        getattr(self, "do_" + name)(*arguments)

    # The file.

    def data(self) -> bytes:
        """Return the file, compressed if a compression is set."""
        whole = self._pcapng() if self.form.startswith("pcapng") else self._pcap()
        whole = whole[: len(whole) - self._cut_bytes]
        if self.compression == "gzip":
            # The file consists of two gzip members.
            half = len(whole) // 2
            return gzip.compress(whole[:half], mtime=0) + gzip.compress(whole[half:], mtime=0)
        return zstandard.compress(whole) if self.compression == "zstd" else whole

    def _byte_order(self) -> str:
        return ">" if self.form.endswith("be") else "<"

    def _pcapng(self) -> bytes:
        order = self._byte_order()
        block = partial(writing.packet_block, 0) if order == "<" else self.block
        blocks = [block(packet.at, packet.data, packet.length) for packet in self.packets[self.first :]]
        return self.head(order) + b"".join(blocks)

    def _pcap(self) -> bytes:
        order = self._byte_order()
        is_in_ns = self.form.endswith("ns")
        magic = 0xA1B23C4D if is_in_ns else 0xA1B2C3D4
        # Nanoseconds per unit of a time.
        unit = 1 if is_in_ns else 1000
        parts = [struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 262144, LINKS[self.link])]
        for at, data, length in self.packets[self.first :]:
            seconds, part = divmod(at, 10**9)
            parts.append(struct.pack(order + "IIII", seconds, part // unit, len(data), length) + data)
        return b"".join(parts)

    def head(self, order: str) -> bytes:
        """Return the first blocks of a pcapng file in a byte order."""
        if order == "<":
            return writing.section_block("a comment") + writing.interface_block("any", LINKS[self.link])
        section = struct.pack(">IIIHHq", 0x0A0D0D0A, 28, 0x1A2B3C4D, 1, 0, -1) + struct.pack(">I", 28)
        # Options for a time resolution of 2^-20 s and a time offset of 1,000 s.
        options = struct.pack(">HHB3x", 9, 1, 0x80 | 20) + struct.pack(">HHq", 14, 8, 1000) + bytes(4)
        size = 20 + len(options)
        unknown = struct.pack(">II4sI", 0xBAD, 16, b"what", 16)
        interface = struct.pack(">IIHHI", 1, size, LINKS[self.link], 0, 0) + options + struct.pack(">I", size)
        return section + unknown + interface

    def block(self, at: int, data: bytes, size: int) -> bytes:
        """Return a packet block in big-endian byte order."""
        units = -(-(at - 1000 * 10**9) * 2**20 // 10**9)
        body = struct.pack(">IIIII", 0, units >> 32, units & 0xFFFFFFFF, len(data), size) + data
        body += bytes(-len(data) % 4)
        total = 12 + len(body)
        return struct.pack(">II", 6, total) + body + struct.pack(">I", total)

    def read(self) -> tuple[list[Exchange], CaptureReader]:
        """Return the exchanges and the reader of the file."""
        if self._reading is None:
            self._reading = read(self.data(), self.limits)
        return self._reading

    # Packets.

    def put(self, packets: list[bytes]) -> None:
        """Add the IP packets of a step, with the faults that earlier steps requested."""
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
                if "late" in faults:
                    self._late.append(packet)
                    continue
                self.packets += [packet] * (2 if "again" in faults else 1)
                self.packets += self._late
                self._late.clear()
        self._faults.clear()

    def datagrams(self, ip: bytes) -> list[bytes]:
        """Return an IP packet with the requested IP options, or in fragments."""
        if self._has_ip_options and ip[0] == 0x45:
            options = b"\x01" * 8
            size = (len(ip) + 8).to_bytes(2, "big")
            ip = b"\x47" + ip[1:2] + size + ip[4:20] + options + ip[20:]
        if not self._fragment_bytes:
            return [ip]
        self._last_ip_id += 1
        fragments = self._ipv4_fragments(ip) if ip[0] >> 4 == 4 else self._ipv6_fragments(ip)
        # The last fragment is sent first.
        return fragments[::-1]

    def _parts(self, body: bytes) -> list[tuple[int, bytes, bool]]:
        """Return the parts of a body: their offsets, their bytes, and whether more parts follow."""
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
            # A header with destination options precedes the fragment header, so that the reader has to follow
            # a chain of extension headers.
            option = bytes((44, 0, 1, 4, 0, 0, 0, 0))
            size = struct.pack("!H", len(part) + 16)
            fragments.append(ip[:4] + size + bytes((60,)) + ip[7:40] + option + fragment_header + part)
        return fragments

    def frame(self, ip: bytes) -> bytes:
        """Return an IP packet in a frame of the link layer."""
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
        """Return the connection of a name, which is created on its first use."""
        if name not in self._conversations:
            client_host, server_host = ("10.0.0.%d", "10.0.1.%d")
            if self.ip_version == 6:
                client_host, server_host = ("fd00::%d", "fd01::%d")
            number = len(self._conversations)
            client = (client_host % (number % 200 + 1), 40000 + number)
            # Endpoints and instances have different addresses.
            server = (server_host % (2 if name.startswith("n") else 1), 6379)
            self._conversations[name] = writing.Conversation((client, server), (1000, 500_000))
        return self._conversations[name]

    def say(self, name: str, side: int, data: bytes) -> None:
        """Add segments with bytes that a side of a connection sends."""
        conversation = self.conversation(name)
        size = self._segment_bytes
        self.put([conversation.segment(side, ACK, data[at : at + size]) for at in range(0, len(data), size)])

    # Steps.

    def do_form(self, form: str) -> None:
        """Set the file format."""
        self.form = form

    def do_link(self, link: str) -> None:
        """Set the link layer."""
        self.link = link

    def do_ip(self, version: str) -> None:
        """Set the IP version."""
        self.ip_version = int(version)

    def do_squeeze(self, compression: str) -> None:
        """Set the compression of the file."""
        self.compression = compression

    def do_limits(self, *assignments: str) -> None:
        """Set limits of the reader, given as NAME=VALUE."""
        values = dict(assignment.split("=") for assignment in assignments)
        kinds = {name: type(getattr(self.limits, name)) for name in values}
        self.limits = ReadingLimits(**{name: kinds[name](value) for name, value in values.items()})

    def do_open(self, name: str) -> None:
        """Add the handshake of a connection."""
        self.put(self.conversation(name).open())

    def do_close(self, name: str) -> None:
        """Add the end of a connection by its client."""
        self.put(self.conversation(name).close(0, False))

    def do_reset(self, name: str) -> None:
        """Add the reset of a connection by its server."""
        self.put(self.conversation(name).close(1, True))

    def do_ask(self, name: str, request_class: str, size: str = "0") -> None:
        """Add a command, with a body of ``size`` bytes unless its class is read."""
        self._last_id += 1
        id_ = f"id{self._last_id:04d}"
        self._unanswered.setdefault(name, []).append(id_)
        fields = f"c={request_class},t=all,d=1000"
        if request_class == "sign":
            fields += f",k={self._last_id:016x}"
        is_read = request_class == "read"
        arguments = [b"Q.ASK" if is_read else b"Q.DO", b"key", id_.encode(), fields.encode()]
        if not is_read:
            arguments.append(b"b" * int(size))
        self.say(name, 0, resp.encode_command(arguments))

    def answer(self, name: str, size: str | None) -> bytes:
        """Return the next value of a connection.

        The size of a value depends on its request id, so that tests recognize wrongly matched responses.
        """
        id_ = self._unanswered[name].pop(0) if self._unanswered.get(name) else "none"
        default_size = 9 if id_ == "none" else 20 + int(id_[2:] or 0)
        value_bytes = int(size) if size else default_size
        self.sizes[id_] = value_bytes
        return b"v" * value_bytes

    def do_value(self, name: str, size: str | None = None) -> None:
        """Add a value from an instance."""
        self.say(name, 1, b"".join(resp.encode_bulk_string(self.answer(name, size))))

    def do_nodevalue(self, name: str, size: str | None = None) -> None:
        """Add a value from an endpoint, with a load report."""
        value = b"".join(resp.encode_bulk_string(self.answer(name, size)))
        self.say(name, 1, b"*3\r\n" + value + b"$-1\r\n$10\r\ninflight=1\r\n")

    def do_busy(self, name: str) -> None:
        """Add a rejection from an instance."""
        self._unanswered[name].pop(0)
        self.say(name, 1, b"-BUSY 250\r\n")

    def do_error(self, name: str) -> None:
        """Add an error from an endpoint."""
        self._unanswered[name].pop(0)
        self.say(name, 1, b"-ERR failed inflight=1\r\n")

    def do_raw(self, name: str, side: str, data: str) -> None:
        """Add arbitrary bytes of a side of a connection."""
        self.say(name, int(side), data.encode().decode("unicode_escape").encode("latin-1"))

    def do_split(self, size: str) -> None:
        """Set the payload size of segments."""
        self._segment_bytes = int(size)

    def do_drop(self, number: str) -> None:
        """Lose a packet of the next step."""
        self._faults.append(Fault("drop", int(number)))

    def do_again(self, number: str) -> None:
        """Repeat a packet of the next step."""
        self._faults.append(Fault("again", int(number)))

    def do_late(self, number: str) -> None:
        """Put a packet of the next step after the packet that follows."""
        self._faults.append(Fault("late", int(number)))

    def do_fragment(self, size: str) -> None:
        """Set the payload size of fragments."""
        self._fragment_bytes = int(size)

    def do_options(self) -> None:
        """Add IP options to later packets."""
        self._has_ip_options = True

    def do_snap(self, size: str) -> None:
        """Set the snap length."""
        self._snap_length = int(size)

    def do_wait(self, seconds: str) -> None:
        """Move the time forwards."""
        self._at += int(float(seconds) * 1e9)

    def do_back(self, seconds: str) -> None:
        """Move the time backwards."""
        self._at -= int(float(seconds) * 1e9)

    def do_wrap(self, name: str) -> None:
        """Let the sequence numbers of a connection start just below 2^32."""
        self.conversation(name).sequences[:] = [2**32 - 30, 2**32 - 5]

    def do_reuse(self, name: str) -> None:
        """Reuse the ports of a connection for a new connection."""
        self.conversation(name).sequences[:] = [77_000_000, 99_000_000]
        self._unanswered.pop(name, None)

    def do_noise(self) -> None:
        """Add packets that are malformed or not IP packets."""
        for frame in (b"", b"\x45", bytes(60), b"\xff" * 100, bytes(12) + b"\x08\x00\x45\x00", b"\x60" * 44):
            self.packets.append(CapturedPacket(self._at, frame, len(frame)))

    def do_end(self, size: str) -> None:
        """Set the number of bytes cut off the end of the file."""
        self._cut_bytes = int(size)

    def do_begin(self, packets: str) -> None:
        """Set the number of packets left out at the start of the file."""
        self.first = int(packets)

    def do_matches(self) -> None:
        """Check that each complete exchange has the response that was sent to its request."""
        exchanges, _ = self.read()
        wrong = mismatched(exchanges, self.sizes)
        assert not wrong, wrong

    def do_expect(self, first: str, *others: str) -> None:
        """Check the exchanges or the counts of the reader; the docstring of this module lists the forms."""
        exchanges, reading = self.read()
        counts: dict[str, Any] = reading.counts()
        shown = [(exchange.id, exchange.side, exchange.ended, exchange.whole) for exchange in exchanges]
        match (first, *others):
            case (number, "exchanges"):
                assert len(exchanges) == int(number), shown
            case (number, "whole"):
                assert sum(exchange.whole for exchange in exchanges) == int(number), (shown, counts)
            case (("side" | "ended") as field, name, number):
                assert sum(getattr(exchange, field) == name for exchange in exchanges) == int(number), shown
            case ("spoilt", *rest):
                assert counts.get("spoilt"), counts
                assert " ".join(rest) in counts["spoilt"], counts
            case (name, ">=", number):
                assert counts[name] >= int(number), counts
            case (name, "=", number):
                assert counts[name] == int(number), counts
            case _:
                raise ValueError(f"no such expectation: {first} {others}")


def mismatched(exchanges: list[Exchange], sizes: dict[str, int]) -> list[tuple[str | None, int | None]]:
    """Return the complete exchanges that were matched with a wrong value."""
    complete = [exchange for exchange in exchanges if exchange.whole and exchange.ended == "satisfied"]
    return [
        (exchange.id, exchange.value_bytes)
        for exchange in complete
        if sizes.get(exchange.id or "") != exchange.value_bytes
    ]


def read(
    data: bytes, limits: ReadingLimits | None = None, piece: int = 0
) -> tuple[list[Exchange], CaptureReader]:
    """Read a capture at once, or in pieces of ``piece`` bytes.

    Returns:
        The exchanges and the reader.
    """
    reading = CaptureReader(limits)
    exchanges: list[Exchange] = []
    for at in range(0, len(data), piece or len(data) or 1):
        exchanges += reading.feed(data[at : at + (piece or len(data))])
    exchanges += reading.end()
    return exchanges, reading
