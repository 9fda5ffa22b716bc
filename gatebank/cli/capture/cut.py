"""``gatebank capture cut``: copies the packets of the chosen exchanges to a file of their own.

The capture is read twice: first to learn which packets the chosen exchanges have, then to copy them.
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

MAX_EXCHANGES = 1_000_000  # that a cut may choose: each takes some 200 bytes of memory
INTERFACE_NAMES = {"customer": "customers", "node": "nodes"}  # by the side that packets were recorded at


class PacketSpan(NamedTuple):
    """The packets of one exchange, by their numbers in the capture, both included."""

    first: int
    last: int


@dataclass(slots=True)
class ChosenPackets:
    """The packets of the chosen exchanges.

    Attributes:
        exchanges: How many exchanges were chosen.
        spans: Their packets by the number of their connection, each one's last exchange first.
    """

    exchanges: int = 0
    spans: dict[int, list[PacketSpan]] = field(default_factory=dict)


def run(source: CaptureSource, selection: ExchangeFilter, out: Path, whole_streams: bool) -> None:
    """Write the packets of the chosen exchanges to ``out``.

    Args:
        source: The capture.
        selection: Which exchanges are chosen.
        out: The file to write; it appears once it is complete.
        whole_streams: Keep all packets of the connections that the exchanges are on.

    Raises:
        CommandLineError: The capture cannot be read twice, the file cannot be written, or too much is chosen.
    """
    source.require_files()
    if out.exists() and out.samefile(source.files[0]):
        raise CommandLineError("a file can't be cut into itself", out)
    chosen = ChosenPackets()
    with end_cleanly(lambda: f"{chosen.exchanges} exchanges"):
        find_packets(source, selection, chosen)
        written = copy_packets(source, out, chosen, whole_streams)
    print(f"{out}: {chosen.exchanges} exchanges, {written} packets of {len(chosen.spans)} connections")
    warn_all(source.incomplete)


def find_packets(source: CaptureSource, selection: ExchangeFilter, chosen: ChosenPackets) -> None:
    """Read the capture once and add the packets of each chosen exchange to ``chosen``.

    Raises:
        CommandLineError: More than MAX_EXCHANGES are chosen.
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
        spans.sort(reverse=True)  # so that the second pass can pop what it has passed


def is_in_span(spans: list[PacketSpan], number: int) -> bool:
    """Tell whether a packet belongs to one of the exchanges; spans that end before it are removed.

    Args:
        spans: One stream's, the last exchange first.
        number: The packet's; must not decrease from call to call.
    """
    while spans and spans[-1].last < number:
        spans.pop()
    return bool(spans) and spans[-1].first <= number


def copy_packets(source: CaptureSource, out: Path, chosen: ChosenPackets, whole_streams: bool) -> int:
    """Write the chosen packets to ``out`` and return their number.

    Raises:
        CommandLineError: The file cannot be written.
    """
    partial = out.with_name(out.name + ".part")
    try:
        with partial.open("wb") as file:
            writer = PacketCopy(file)
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
    """Yield the chosen packets of a second reading, which numbers connections as the first one did."""
    reading = source.new_reading()
    for _, piece in source.read_chunks(progress=True):
        for packet in reading.packets.feed(piece or b""):
            connection = reading.add_packet(packet)
            reading.exchanges.reported.clear()
            if connection is None or connection.number not in chosen.spans:
                continue
            # How a connection begins and ends is part of what its exchanges mean.
            marks_end = reading.segment and reading.segment.flags & (SYN | FIN | RST)
            spans = chosen.spans[connection.number]
            if whole_streams or marks_end or is_in_span(spans, reading.packets.packet_count):
                yield packet


class PacketCopy:
    """Writes packets to a pcapng file, with an interface for each link type and side.

    Attributes:
        written: The number of packets written.
    """

    def __init__(self, file: BinaryIO) -> None:
        """Begin the file with its section header."""
        self.file = file
        self.written = 0
        self.interfaces: dict[tuple[int, str | None], int] = {}
        file.write(writing.section_block("cut"))

    def write(self, packet: Packet) -> None:
        """Write a packet, and its interface before it where it is the first of one."""
        key = (packet.link, packet.side)
        if key not in self.interfaces:
            self.interfaces[key] = len(self.interfaces)
            name = INTERFACE_NAMES.get(packet.side or "", "")
            self.file.write(writing.interface_block(name, packet.link))
        interface = self.interfaces[key]
        self.file.write(writing.packet_block(interface, packet.at, packet.data, packet.length))
        self.written += 1

    def finish(self) -> None:
        """Give a file without packets the interface that every capture file needs."""
        if not self.interfaces:
            self.file.write(writing.interface_block("", LINK_RAW))
