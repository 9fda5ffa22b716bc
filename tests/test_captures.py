"""Properties of the capture reader under any faults of the network, the tap and the file."""

from __future__ import annotations

import gzip
import itertools
import random
import struct

import dpkt
from hypothesis import given
from hypothesis import strategies as st

from gatebank.capture import writing
from gatebank.capture.limits import ReadingLimits
from gatebank.capture.packets import PacketReader
from gatebank.capture.reading import CaptureReader
from gatebank.capture.records import Exchange
from tests.support.capture_builder import START, mismatched_exchanges, read_capture
from tests.support.capture_scenarios import DETERMINISTIC_SETTINGS, sample_capture


def identity(exchange: Exchange) -> tuple:
    """Return the values of an exchange that must not depend on how the capture is read."""
    return exchange.id, exchange.asked_at, exchange.answered_at, exchange.ended, exchange.value_bytes


def whole_exchanges(exchanges: list[Exchange]) -> set[tuple]:
    """Return the identities of the exchanges that are whole."""
    return {identity(exchange) for exchange in exchanges if exchange.whole}


def test_all_file_formats_and_compressions_yield_the_same_exchanges() -> None:
    """Compare the exchanges of all formats and compressions, fed in one piece and in pieces of 7 bytes."""
    expected = None
    for form, compression in itertools.product(
        ("pcap", "pcap-be", "pcap-ns", "pcapng", "pcapng-be"), ("", "gzip", "zstd")
    ):
        builder = sample_capture(form)
        builder.compression = compression
        for piece in (0, 7):
            exchanges, reading = read_capture(builder.data(), piece=piece)
            assert reading.counts().get("spoilt") is None, (form, compression, reading.counts())
            # Some formats store units of 2^-20 s or 1 us, which are coarser than the ns of the builder.
            coarse = {(e.id, round((e.asked_at or 0) / 1e4), e.ended, e.value_bytes) for e in exchanges}
            expected = expected or coarse
            assert coarse == expected, (form, compression, piece, len(coarse))
            assert len(coarse) == 8, (form, compression, piece, len(coarse))


def test_file_truncated_anywhere_yields_only_exchanges_of_the_whole_file() -> None:
    """Truncate a capture at each byte, also within a header, a command, a body or a response."""
    data = sample_capture().data()
    full = whole_exchanges(read_capture(data)[0])
    assert len(full) == 8
    previous_count = 0
    for size in range(len(data)):
        exchanges, reading = read_capture(data[:size])
        found = whole_exchanges(exchanges)
        assert found <= full, size
        assert len(found) >= previous_count, size
        previous_count = len(found)
        if size % 4:
            assert reading.counts().get("spoilt"), size


def test_capture_without_its_first_packets_yields_only_exchanges_of_the_whole_capture() -> None:
    """Leave out any number of packets at the beginning of a capture."""
    builder = sample_capture()
    full = whole_exchanges(read_capture(builder.data())[0])
    for skipped in range(len(builder.packets)):
        builder.skipped_packets = skipped
        found = whole_exchanges(read_capture(builder.data())[0])
        assert found <= full, (skipped, found - full)
    assert found == set()


@DETERMINISTIC_SETTINGS
@given(st.randoms(use_true_random=False), st.integers(0, 3), st.integers(0, 3), st.integers(0, 3))
def test_no_response_is_paired_with_another_command(
    generator: random.Random, lost: int, duplicated: int, swapped: int
) -> None:
    """Lose, duplicate and swap packets; without lost or swapped packets all exchanges must be whole."""
    builder = sample_capture()
    packets = list(builder.packets)
    for _ in range(lost):
        packets.pop(generator.randrange(len(packets)))
    for _ in range(duplicated):
        packets.insert(generator.randrange(len(packets)), generator.choice(packets))
    for _ in range(swapped):
        at = generator.randrange(len(packets) - 2)
        packets[at], packets[at + 2] = packets[at + 2], packets[at]
    builder.packets = packets
    exchanges, _ = read_capture(builder.data())
    assert not mismatched_exchanges(exchanges, builder.value_sizes)
    if not lost and not swapped:
        assert len(whole_exchanges(exchanges)) == 8


def test_copy_of_any_packet_at_any_position_changes_no_exchange() -> None:
    """Insert a copy of each packet at each position of the capture.

    A tap that records a packet twice may put one copy anywhere, even before packets that were sent earlier.
    The reader once inferred the beginning of the other direction from such a copy. 23 of the 1,764 single
    copies in this capture then changed the exchanges, and 17 of these 23 paired a response with another
    command. In all these cases the copy was between a connection's SYN and its SYN-ACK, and `sent_again` was
    4 although one packet was duplicated, because the reader took the true first responses for
    retransmissions.
    """
    packets = list(sample_capture().packets)
    full = whole_exchanges(read_capture(sample_capture().data())[0])
    assert len(full) == 8
    for at, copied in itertools.product(range(len(packets)), repeat=2):
        builder = sample_capture()
        builder.packets = [*packets[:at], packets[copied], *packets[at:]]
        exchanges, reading = read_capture(builder.data())
        assert whole_exchanges(exchanges) == full, (at, copied, reading.counts())


@DETERMINISTIC_SETTINGS
@given(st.binary(max_size=400), st.integers(0, 4000), st.integers(1, 300), st.booleans())
def test_random_bytes_in_a_file_never_raise(noise: bytes, at: int, piece: int, compressed: bool) -> None:
    """Overwrite a part of a capture file with random bytes: reading the file raises no exception."""
    data = sample_capture().data()
    at = min(at, len(data))
    corrupted = data[:at] + noise + data[at + len(noise) :]
    for content in (corrupted, noise, gzip.compress(corrupted)[: len(corrupted) // 2] if compressed else b""):
        exchanges, _ = read_capture(content, piece=piece)
        assert len(exchanges) <= 40


@DETERMINISTIC_SETTINGS
@given(st.lists(st.tuples(st.sampled_from("12n"), st.integers(0, 1), st.binary(max_size=80)), max_size=20))
def test_random_bytes_on_connections_never_raise(messages: list[tuple[str, int, bytes]]) -> None:
    """Send random bytes on connections: no exception is raised, and earlier whole exchanges remain whole."""
    builder = sample_capture()
    before = whole_exchanges(read_capture(builder.data())[0])
    for name, side, data in messages:
        builder.send_bytes(name, side, data)
    exchanges, _ = read_capture(builder.data())
    assert before <= whole_exchanges(exchanges)


def test_invalid_file_is_reported_with_its_reason() -> None:
    """Read files that are not captures: they yield no exchanges, raise no exception and report the reason."""
    section_header = struct.pack("<IIII", 0x0A0D0D0A, 28, 0x1A2B3C4D, 1) + bytes(8) + struct.pack("<I", 28)
    cases = {
        b"": "empty",
        b"\xd4": "ends after its first bytes",
        b"GET / HTTP/1.1\r\n": "not a capture file",
        bytes(1000): "not a capture file",
        gzip.compress(b"hello there"): "not a capture file",
        b"\x1f\x8bnonsense that is no gzip": "gzip",
        b"\x28\xb5\x2f\xfdnonsense that is no zstd": "zstd",
        writing.section_block() + writing.packet_block(3, START, b"x"): "interface 3",
        section_header[:28] + struct.pack("<III", 6, 13, 0): "has an invalid length of 13",
    }
    for data, reason in cases.items():
        exchanges, reading = read_capture(data)
        assert not exchanges, (data[:20], reading.counts())
        assert reason in str(reading.counts()["spoilt"]), (data[:20], reading.counts())


def test_block_with_a_length_of_four_gigabytes_is_not_held() -> None:
    """Read blocks of 4 GB: a packet block ends reading, an unknown block is skipped without being held."""
    start = writing.section_block() + writing.interface_block("x", 1)
    packets = PacketReader()
    assert not list(packets.feed(start + struct.pack("<II", 6, 0xFFFFFFFC) + bytes(1 << 20)))
    assert "4294967292" in str(packets.error), packets.error
    packets = PacketReader()
    list(packets.feed(start + struct.pack("<II", 0xBAD, 0xFFFFFFFC)))
    for _ in range(64):
        assert not list(packets.feed(bytes(1 << 20)))
        assert packets.buffered_bytes < 1 << 21
    assert packets.error is None
    packets.end()
    assert "middle" in str(packets.error)
    classic = struct.pack("<IHHiIII", 0xA1B2C3D4, 2, 4, 0, 0, 65535, 1)
    classic += struct.pack("<IIII", 1, 1, 0xFFFFFFF0, 1)
    packets = PacketReader()
    assert not list(packets.feed(classic)), packets.error
    assert "4294967280" in str(packets.error), packets.error


def test_memory_is_bounded_for_connections_that_never_close() -> None:
    """Open 12,000 connections that send an incomplete command each and never close."""
    limits = ReadingLimits(max_connections=2000, max_message_bytes=4096, max_total_message_bytes=100_000)
    reading = CaptureReader(limits)
    list(reading.feed(writing.section_block() + writing.interface_block("", 101)))
    found = 0
    for number in range(12_000):
        ends = ((f"10.{number // 250 % 250}.{number % 250}.1", 1000 + number % 60000), ("10.255.0.1", 6379))
        conversation = writing.Conversation(ends, (7, 9))
        incomplete_command = b"*5\r\n$4\r\nQ.DO\r\n$3\r\nkey\r\n$2\r\nid\r\n$7\r\nc=pay,d\r\n$900\r\nabc"
        packets = [*conversation.open(), *conversation.send(0, incomplete_command)]
        data = b"".join(writing.packet_block(0, START + number * 1000, packet) for packet in packets)
        found += len(list(reading.feed(data)))
        assert reading.connections.connection_count <= 2000
        assert reading.exchanges.held_bytes <= 101_000
    found += len(list(reading.end()))
    counts = reading.counts()
    assert found == 12_000, counts
    assert counts["given_up_room"] == 10_000, counts
    assert counts["given_up_message"] > 0, counts
    assert reading.exchanges.held_bytes == 0
    assert reading.connections.held_bytes == 0
    assert not reading.exchanges.waiting_exchange_count


def test_written_packets_have_correct_lengths_and_checksums() -> None:
    """Compare lengths and checksums with dpkt's, since other tools drop packets with wrong values."""
    for hosts in (("10.0.0.1", "10.0.0.2"), ("fd00::1", "fd00::2")):
        conversation = writing.Conversation(((hosts[0], 1000), (hosts[1], 6379)), (2**32 - 3, 5))
        for raw in [
            *conversation.open(),
            *conversation.send(0, b"odd"),
            *conversation.send(1, b"x" * 70_000),
            *conversation.close(0, False),
        ]:
            ip = (dpkt.ip.IP if raw[0] >> 4 == 4 else dpkt.ip6.IP6)(raw)
            tcp_checksum = ip.data.sum
            ip.data.sum = 0
            if raw[0] >> 4 == 4:
                ip_checksum, ip.sum = ip.sum, 0
            recomputed = dpkt.ip.IP(bytes(ip)) if raw[0] >> 4 == 4 else dpkt.ip6.IP6(bytes(ip))
            assert recomputed.data.sum == tcp_checksum, (hosts, hex(recomputed.data.sum), hex(tcp_checksum))
            assert raw[0] >> 4 == 6 or recomputed.sum == ip_checksum
