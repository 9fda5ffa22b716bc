"""A capture from bytes to exchanges: all layers in a row, with one table of counts. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import asdict

from gatebank.capture.connections import Connection
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.packet import Packet
from gatebank.capture.packets import PacketReader
from gatebank.capture.reassembly import TcpReassembler
from gatebank.capture.records import Exchange
from gatebank.capture.resp2 import Resp2Decoder
from gatebank.capture.segments import Segment, SegmentDecoder
from gatebank.capture.transactions import DecoderFactory, ExchangeCollector

# Counts that say something could not be read or was given up: these, and all with GIVEN_UP in their name.
PROBLEM_COUNTS = ("unreadable", "holes", "not_whole", "packets_cut", "answers_not_paired", "spoilt")
GIVEN_UP_MARKER = "given_up"


class CaptureReader:
    """Reads one capture. Feed it bytes and take exchanges; `end` gives the last of them.

    Args:
        limits: The limits of this reading.
        make_decoder: Makes the decoder of a connection; RESP2 if None.
        endpoints: Server addresses that the user knows to be endpoints.
        instances: Server addresses that the user knows to be instances.

    Attributes:
        packets: The reader of the file at hand; `next_file` replaces it.
        exchanges: The collector of exchanges.
        connections: The TCP reassembly.
        segment: The segment of the packet at hand; None if it has none.
        first_at: ns of Unix time of the first packet that has a time; 0 before.
        last_at: ns of Unix time, the newest of all packets; 0 before.
    """

    def __init__(
        self,
        limits: ReadingLimits | None = None,
        make_decoder: DecoderFactory | None = None,
        endpoints: Iterable[str] = (),
        instances: Iterable[str] = (),
    ) -> None:
        self.limits = limits or ReadingLimits()
        self.packets = PacketReader(self.limits)
        self.exchanges = ExchangeCollector(self.limits, make_decoder or Resp2Decoder, endpoints, instances)
        self.connections = TcpReassembler(self.limits, self.exchanges)
        self.segment: Segment | None = None
        self.first_at = 0
        self.last_at = 0
        self._segments = SegmentDecoder(self.limits)
        self._backwards_count = 0  # packets older than the newest before them
        self._cut_count = 0  # packets that the snap length cut

    def feed(self, data: bytes) -> Iterator[Exchange]:
        """The exchanges whose outcome is known with these bytes of the file."""
        reported = self.exchanges.reported
        for packet in self.packets.feed(data):
            self.add_packet(packet)
            while reported:
                yield reported.popleft()

    def add_packet(self, packet: Packet) -> Connection | None:
        """Takes in one packet; exchanges are left in `exchanges.reported`.

        Returns:
            The connection that it belongs to; None if it belongs to none that is followed.
        """
        at, link, data, length, _, side = packet
        if at < self.last_at:
            self._backwards_count += 1
        elif at:
            self.last_at = at
        self.first_at = self.first_at or at
        if length > len(data):
            self._cut_count += 1
        self.segment = self._segments.decode(link, data, at, length)
        if self.segment is None:
            return None
        return self.connections.add(self.segment, at, self.packets.packet_count, side)

    def start_next_file(self) -> None:
        """The capture goes on in another file: its packets are counted on from those of the last one."""
        following = PacketReader(self.limits)
        following.continue_counts(self.packets)
        self.packets = following

    def end(self) -> Iterator[Exchange]:
        """Tells that the capture has ended; the exchanges that are left."""
        self.packets.end()
        self.connections.end()
        self.exchanges.end()
        while self.exchanges.reported:
            yield self.exchanges.reported.popleft()

    def counts(self) -> dict[str, int | str]:
        """What was read, and what was not, by the names that `capture check` prints; zeros too."""
        counts: dict[str, int | str] = {
            "bytes": self.packets.bytes_read,
            "packets": self.packets.packet_count,
            "packets_cut": self._cut_count,
            "times_backwards": self._backwards_count,
            "unknown_blocks": sum(self.packets.unknown_blocks.values()),
        }
        counts |= self._segments.counts()
        counts |= asdict(self.connections.counts)
        # Both layers before and this one count what they could not read under one name; this one's stands.
        counts |= asdict(self.exchanges.counts)
        if self.packets.error is not None:
            counts["spoilt"] = self.packets.error.reason
        return counts

    def problem_counts(self) -> dict[str, int | str]:
        """Of the counts, those that are not 0 and say that something could not be read or was given up."""
        return {
            name: value
            for name, value in self.counts().items()
            if value and (name in PROBLEM_COUNTS or GIVEN_UP_MARKER in name)
        }
