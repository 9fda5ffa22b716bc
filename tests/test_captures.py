"""Captures: properties that hold under anything the wire and the file can do."""

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
from tests.support.capture_builder import START, mismatched, read
from tests.support.capture_scenarios import REPEATABLE, conversation


def key(exchange: Exchange) -> tuple:
    """What of an exchange must not change."""
    return exchange.id, exchange.asked_at, exchange.answered_at, exchange.ended, exchange.value_bytes


def whole(exchanges: list[Exchange]) -> set[tuple]:
    """The exchanges that are whole."""
    return {key(each) for each in exchanges if each.whole}


def test_every_form_reads_the_same() -> None:
    """Forms are the same.

    Every form, plain and compressed, fed whole or byte by byte, has the same exchanges.
    """
    wanted = None
    for form, compression in itertools.product(
        ("pcap", "pcap-be", "pcap-ns", "pcapng", "pcapng-be"), ("", "gzip", "zstd")
    ):
        tape = conversation(form)
        tape.compression = compression
        for piece in (0, 7):
            exchanges, reading = read(tape.data(), piece=piece)
            assert reading.counts().get("spoilt") is None, (form, compression, reading.counts())
            # 2^-20 s and us are coarser than the ns that were written
            coarse = {(e.id, round((e.asked_at or 0) / 1e4), e.ended, e.value_bytes) for e in exchanges}
            wanted = wanted or coarse
            assert coarse == wanted, (form, compression, piece, len(coarse))
            assert len(coarse) == 8, (form, compression, piece, len(coarse))


def test_file_that_ends_anywhere_tells_nothing_else() -> None:
    """Any end of a file.

    A capture that ends anywhere: in a header, a command, a body, an answer. Nothing whole is otherwise.
    """
    data = conversation().data()
    full = whole(read(data)[0])
    assert len(full) == 8
    before = 0
    for size in range(len(data)):
        exchanges, reading = read(data[:size])
        found = whole(exchanges)
        assert found <= full, size
        assert len(found) >= before, size
        before = len(found)
        if size % 4:
            assert reading.counts().get("spoilt"), size


def test_capture_that_begins_late_tells_nothing_else() -> None:
    """Any begin of a capture.

    Its first packets are missing: what is told as whole is what was.
    """
    tape = conversation()
    full = whole(read(tape.data())[0])
    for first in range(len(tape.packets)):
        tape.first = first
        found = whole(read(tape.data())[0])
        assert found <= full, (first, found - full)
    assert found == set()


@REPEATABLE
@given(st.randoms(use_true_random=False), st.integers(0, 3), st.integers(0, 3), st.integers(0, 3))
def test_no_answer_goes_to_another_command(
    chance: random.Random, lost: int, twice: int, swapped: int
) -> None:
    """Whatever the wire does.

    Packets lost, doubled and out of order, in any mix: no answer goes to another's command. Without loss
    nothing is missing either.
    """
    tape = conversation()
    packets = list(tape.packets)
    for _ in range(lost):
        packets.pop(chance.randrange(len(packets)))
    for _ in range(twice):
        packets.insert(chance.randrange(len(packets)), chance.choice(packets))
    for _ in range(swapped):
        at = chance.randrange(len(packets) - 2)
        packets[at], packets[at + 2] = packets[at + 2], packets[at]
    tape.packets = packets
    exchanges, _ = read(tape.data())
    assert not mismatched(exchanges, tape.sizes)
    if not lost and not swapped:
        assert len(whole(exchanges)) == 8


def test_copy_of_any_packet_anywhere_changes_nothing() -> None:
    """A packet that is in the capture twice.

    A tap that records a packet twice may put one copy anywhere, so also before packets that were sent
    earlier. Such a copy taught the reader where the other direction begins: of the 1,764 single copies in
    this conversation 23 read otherwise than the capture without the copy, and 17 of these gave a response to
    another command. All have the copy between a connection's SYN and its SYN-ACK, and `sent_again` counts 4
    where one packet came twice: the reader took the true first responses for old ones.
    """
    packets = list(conversation().packets)
    full = whole(read(conversation().data())[0])
    assert len(full) == 8
    for at, copied in itertools.product(range(len(packets)), repeat=2):
        tape = conversation()
        tape.packets = [*packets[:at], packets[copied], *packets[at:]]
        exchanges, reading = read(tape.data())
        assert whole(exchanges) == full, (at, copied, reading.counts())


@REPEATABLE
@given(st.binary(max_size=400), st.integers(0, 4000), st.integers(1, 300), st.booleans())
def test_any_bytes_in_a_file_never_raise(noise: bytes, at: int, piece: int, compressed: bool) -> None:
    """Any bytes.

    Bytes of no sense in a file, anywhere: it is read or told as spoilt, and never raises.
    """
    data = conversation().data()
    at = min(at, len(data))
    spoilt = data[:at] + noise + data[at + len(noise) :]
    for each in (spoilt, noise, gzip.compress(spoilt)[: len(spoilt) // 2] if compressed else b""):
        exchanges, _ = read(each, piece=piece)
        assert len(exchanges) <= 40


@REPEATABLE
@given(st.lists(st.tuples(st.sampled_from("12n"), st.integers(0, 1), st.binary(max_size=80)), max_size=20))
def test_any_bytes_on_connections_never_raise(said: list[tuple[str, int, bytes]]) -> None:
    """Any dialogue.

    Bytes of no sense on connections: nothing raises, and what was whole before them stays so.
    """
    tape = conversation()
    before = whole(read(tape.data())[0])
    for name, side, data in said:
        tape.say(name, side, data)
    exchanges, _ = read(tape.data())
    assert before <= whole(exchanges)


def test_file_that_is_no_capture_says_so() -> None:
    """No capture.

    Each file that is none says so: no exception, no guess.
    """
    zeros = struct.pack("<IIII", 0x0A0D0D0A, 28, 0x1A2B3C4D, 1) + bytes(8) + struct.pack("<I", 28)
    cases = {
        b"": "empty",
        b"\xd4": "ends after its first bytes",
        b"GET / HTTP/1.1\r\n": "no capture file",
        bytes(1000): "no capture file",
        gzip.compress(b"hello there"): "no capture file",
        b"\x1f\x8bnonsense that is no gzip": "gzip",
        b"\x28\xb5\x2f\xfdnonsense that is no zstd": "zstd",
        writing.section_block() + writing.packet_block(3, START, b"x"): "interface 3",
        zeros[:28] + struct.pack("<III", 6, 13, 0): "claims a length of 13",
    }
    for data, words in cases.items():
        exchanges, reading = read(data)
        assert not exchanges, (data[:20], reading.counts())
        assert words in str(reading.counts()["spoilt"]), (data[:20], reading.counts())


def test_claimed_four_gigabytes_are_not_held() -> None:
    """Four gigabytes claimed.

    A block that claims 4 GB: a packet ends reading at once, an unknown block is passed over unheld.
    """
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


def test_connections_that_never_close_are_bounded() -> None:
    """Many that never close.

    12,000 connections that never close, with half a command each: all is bounded, and told.
    """
    bounds = ReadingLimits(max_connections=2000, max_message_bytes=4096, max_total_message_bytes=100_000)
    reading = CaptureReader(bounds)
    list(reading.feed(writing.section_block() + writing.interface_block("", 101)))
    found = 0
    for number in range(12_000):
        ends = ((f"10.{number // 250 % 250}.{number % 250}.1", 1000 + number % 60000), ("10.255.0.1", 6379))
        talk = writing.Conversation(ends, (7, 9))
        half = b"*5\r\n$4\r\nQ.DO\r\n$3\r\nkey\r\n$2\r\nid\r\n$7\r\nc=pay,d\r\n$900\r\nabc"
        packets = [*talk.open(), *talk.send(0, half)]
        data = b"".join(writing.packet_block(0, START + number * 1000, each) for each in packets)
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
    assert not reading.exchanges.waiting_count


def test_written_packets_have_right_lengths_and_checksums() -> None:
    """Written as it should be.

    A recording's packets have right lengths and checksums: other tools drop what has not.
    """
    for hosts in (("10.0.0.1", "10.0.0.2"), ("fd00::1", "fd00::2")):
        talk = writing.Conversation(((hosts[0], 1000), (hosts[1], 6379)), (2**32 - 3, 5))
        for raw in [*talk.open(), *talk.send(0, b"odd"), *talk.send(1, b"x" * 70_000), *talk.close(0, False)]:
            ip = (dpkt.ip.IP if raw[0] >> 4 == 4 else dpkt.ip6.IP6)(raw)
            told = ip.data.sum
            ip.data.sum = 0
            if raw[0] >> 4 == 4:
                head, ip.sum = ip.sum, 0
            again = dpkt.ip.IP(bytes(ip)) if raw[0] >> 4 == 4 else dpkt.ip6.IP6(bytes(ip))
            assert again.data.sum == told, (hosts, hex(again.data.sum), hex(told))
            assert raw[0] >> 4 == 6 or again.sum == head
