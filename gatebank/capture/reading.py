"""The whole chain of reading a capture, from bytes to exchanges, with counters of all layers. No I/O."""

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

# Counters of data that could not be read or was given up: the listed names, and all names that contain
# GIVEN_UP_MARKER.
PROBLEM_COUNTS = ("unreadable", "holes", "not_whole", "packets_cut", "answers_not_paired", "spoilt")
GIVEN_UP_MARKER = "given_up"


class CaptureReader:
    """Reads one capture: `feed` takes bytes and yields exchanges, `end` yields the remaining exchanges.

    Args:
        limits: Limits of the reading; the defaults if None.
        make_decoder: Creates the decoder of a connection; RESP2 decoders if None.
        endpoints: Server addresses that the user declared to be endpoints.
        instances: Server addresses that the user declared to be instances.

    Attributes:
        packets: The reader of the current file; `start_next_file` replaces it.
        exchanges: The collector of exchanges.
        connections: The TCP reassembly.
        segment: The segment of the current packet; None if the packet has none.
        first_at: Time in ns of Unix time of the first packet with a timestamp; 0 before that packet.
        last_at: Latest time of all packets in ns of Unix time; 0 before the first timestamp.
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
        self._backwards_count = 0  # Packets with an earlier time than a preceding packet.
        self._cut_count = 0  # Packets that the snap length cut.

    def feed(self, data: bytes) -> Iterator[Exchange]:
        """Process bytes of the file, and yield the exchanges whose outcome becomes known."""
        reported = self.exchanges.reported
        for packet in self.packets.feed(data):
            self.add_packet(packet)
            while reported:
                yield reported.popleft()

    def add_packet(self, packet: Packet) -> Connection | None:
        """Process one packet; reported exchanges are left in `exchanges.reported`.

        Returns:
            The packet's connection; None if the packet belongs to no tracked connection.
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
        """Continue the capture in another file; the counters of the previous file are continued."""
        next_packets = PacketReader(self.limits)
        next_packets.continue_counts(self.packets)
        self.packets = next_packets

    def end(self) -> Iterator[Exchange]:
        """Report the end of the capture, and yield the remaining exchanges."""
        self.packets.end()
        self.connections.end()
        self.exchanges.end()
        while self.exchanges.reported:
            yield self.exchanges.reported.popleft()

    def counts(self) -> dict[str, int | str]:
        """Return all counters, including zeros, by the names that `capture check` prints."""
        counts: dict[str, int | str] = {
            "bytes": self.packets.bytes_read,
            "packets": self.packets.packet_count,
            "packets_cut": self._cut_count,
            "times_backwards": self._backwards_count,
            "unknown_blocks": sum(self.packets.unknown_blocks.values()),
        }
        counts |= self._segments.counts()
        counts |= asdict(self.connections.counts)
        # The segment decoder and the collector both count `unreadable`; the collector's value is returned.
        counts |= asdict(self.exchanges.counts)
        if self.packets.error is not None:
            counts["spoilt"] = self.packets.error.reason
        return counts

    def problem_counts(self) -> dict[str, int | str]:
        """Return the non-zero counters of data that could not be read or was given up."""
        return {
            name: value
            for name, value in self.counts().items()
            if value and (name in PROBLEM_COUNTS or GIVEN_UP_MARKER in name)
        }
