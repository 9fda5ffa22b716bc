"""``gatebank capture cut``: copies the packets of the chosen exchanges to a new file.

The capture is read twice: first to determine the packets of the chosen exchanges, then to copy these packets.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO, NamedTuple

from gatebank.capture import writing
from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.packet import Packet
from gatebank.capture.segments import FIN, LINK_RAW, RST, SYN
from gatebank.cli.capture.source import CaptureSource
from gatebank.cli.terminal import CommandLineError, end_cleanly, warn_all

# Maximum number of exchanges in a cut. Each exchange takes about 200 bytes of memory.
MAX_EXCHANGES = 1_000_000
# Names of capture interfaces, by the side at which their packets were recorded.
INTERFACE_NAMES = {"customer": "customers", "node": "nodes"}


class PacketSpan(NamedTuple):
    """Range of packet numbers in the capture that contains one exchange; both ends are included."""

    first: int
    last: int


@dataclass(slots=True)
class ChosenPackets:
    """The packets of the chosen exchanges.

    Attributes:
        exchanges: Number of chosen exchanges.
        spans: Packet ranges of the exchanges by connection number. Within a connection, the last exchange
            comes first.
    """

    exchanges: int = 0
    spans: dict[int, list[PacketSpan]] = field(default_factory=dict)


def run(source: CaptureSource, selection: ExchangeFilter, out: Path, whole_streams: bool) -> None:
    """Write the packets of the chosen exchanges to ``out``.

    Args:
        source: The capture.
        selection: Filter of the exchanges.
        out: The file to write; the file appears only when it is complete.
        whole_streams: Whether to copy all packets of the connections that have chosen exchanges.

    Raises:
        CommandLineError: The capture cannot be read twice, the file cannot be written, or more than
            MAX_EXCHANGES exchanges are chosen.
    """
    source.require_files()
    if out.exists() and out.samefile(source.files[0]):
        raise CommandLineError("a capture cannot be cut into itself", out)
    chosen = ChosenPackets()
    with end_cleanly(lambda: f"{chosen.exchanges} exchanges"):
        find_packets(source, selection, chosen)
        written = copy_packets(source, out, chosen, whole_streams)
    print(f"{out}: {chosen.exchanges} exchanges, {written} packets of {len(chosen.spans)} connections")
    warn_all(source.incomplete)


def find_packets(source: CaptureSource, selection: ExchangeFilter, chosen: ChosenPackets) -> None:
    """Read the capture once and add the packet range of each chosen exchange to ``chosen``.

    Raises:
        CommandLineError: More than MAX_EXCHANGES exchanges are chosen.
    """
    for exchange in source.exchanges():
        if not selection(exchange):
            continue
        chosen.exchanges += 1
        if chosen.exchanges > MAX_EXCHANGES:
            raise CommandLineError(f"the filters choose more than {MAX_EXCHANGES} exchanges")
        span = PacketSpan(exchange.first_packet, exchange.last_packet)
        chosen.spans.setdefault(exchange.connection, []).append(span)
    for spans in chosen.spans.values():
        spans.sort(reverse=True)  # The second reading removes finished spans from the end of the list.


def is_in_span(spans: list[PacketSpan], number: int) -> bool:
    """Return whether a packet is within one of the spans; spans that end before the packet are removed.

    Args:
        spans: Spans of one connection, the last exchange first.
        number: Number of the packet; must not decrease from call to call.
    """
    while spans and spans[-1].last < number:
        spans.pop()
    return bool(spans) and spans[-1].first <= number


def copy_packets(source: CaptureSource, out: Path, chosen: ChosenPackets, whole_streams: bool) -> int:
    """Copy the chosen packets to ``out`` and return their number.

    Raises:
        CommandLineError: The file cannot be written.
    """
    partial = out.with_name(out.name + ".part")
    try:
        with partial.open("wb") as file:
            writer = PacketCopyWriter(file)
            for packet in read_chosen_packets(source, chosen, whole_streams):
                writer.write(packet)
            writer.finish()
        partial.replace(out)
    except OSError as error:
        raise CommandLineError(error.strerror or error, out) from error
    finally:
        partial.unlink(missing_ok=True)
    return writer.written


def read_chosen_packets(
    source: CaptureSource, chosen: ChosenPackets, whole_streams: bool
) -> Iterator[Packet]:
    """Read the capture again and yield the chosen packets.

    Both readings assign the same numbers to connections and packets.
    """
    reading = source.new_reading()
    for _, chunk in source.read_chunks(progress=True):
        for packet in reading.packets.feed(chunk or b""):
            connection = reading.add_packet(packet)
            reading.exchanges.reported.clear()
            if connection is None or connection.number not in chosen.spans:
                continue
            # Packets that open or close a connection are always copied: they affect the results of exchanges.
            opens_or_closes = reading.segment and reading.segment.flags & (SYN | FIN | RST)
            spans = chosen.spans[connection.number]
            if whole_streams or opens_or_closes or is_in_span(spans, reading.packets.packet_count):
                yield packet


class PacketCopyWriter:
    """Writes packets to a pcapng file with one interface per link type and side.

    Attributes:
        file: The open file.
        written: Number of packets that were written.
        interfaces: Interface numbers by link type and side.
    """

    def __init__(self, file: BinaryIO) -> None:
        """Write the section header of the file."""
        self.file = file
        self.written = 0
        self.interfaces: dict[tuple[int, str | None], int] = {}
        file.write(writing.section_block("cut"))

    def write(self, packet: Packet) -> None:
        """Write a packet, preceded by the description of its interface if the interface is new."""
        key = (packet.link, packet.side)
        if key not in self.interfaces:
            self.interfaces[key] = len(self.interfaces)
            name = INTERFACE_NAMES.get(packet.side or "", "")
            self.file.write(writing.interface_block(name, packet.link))
        interface = self.interfaces[key]
        self.file.write(writing.packet_block(interface, packet.at, packet.data, packet.length))
        self.written += 1

    def finish(self) -> None:
        """Add an interface to a file without packets, because every capture file needs one."""
        if not self.interfaces:
            self.file.write(writing.interface_block("", LINK_RAW))
