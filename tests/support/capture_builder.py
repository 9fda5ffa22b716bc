"""Makes captures in memory, step by step, for captures.scenarios; with what the wire can do to packets.

form pcap|pcap-be|pcap-ns|pcapng|pcapng-be    link ethernet|vlan|qinq|raw|null|cooked|cooked2    ip 4|6
squeeze gzip|zstd                             before anything else
open N, close N, reset N                      connection N: handshake and end; to a node where N begins so
ask N WORKLOAD [BYTES]                        a command on it, with a body of so many bytes
value N [BYTES], nodevalue N [BYTES]          an answer of a marshal, or of a node with its report
busy N, error N                               other answers; raw N SIDE "BYTES" anything at all
split BYTES                                   payload of a segment from now on
drop K, again K, late K                       of the next step's packets, the Kth is lost, comes twice, or
                                              comes after the next packet
fragment BYTES, options                       IP datagrams in pieces, with IP options, from now on
snap BYTES, wait SECONDS, back SECONDS        the snap length; let time pass, or go backwards
wrap N, reuse N                               its numbers begin just below 2^32; its ports are used again
noise, end BYTES, begin PACKETS               bytes of no use; cut the file's end; its first packets
expect K exchanges | K whole | side NAME K | ended NAME K | COUNT >= K | COUNT = K | spoilt [WORDS]
matches                                       each whole exchange has the answer that was sent for it
"""

from __future__ import annotations

import gzip
import shlex
import struct
from functools import partial
from typing import Any

import zstandard

from gatebank.capture import writing
from gatebank.capture.bounds import ReadingBounds
from gatebank.capture.layers import ACK
from gatebank.capture.reading import Reading
from gatebank.capture.records import Exchange
from gatebank.proxy.resp2 import codec as resp

START = 1_700_000_000_000_000_000
LINKS = {"ethernet": 1, "vlan": 1, "qinq": 1, "raw": 101, "null": 0, "cooked": 113, "cooked2": 276}


class Tape:
    """One capture in the making."""

    def __init__(self) -> None:
        self.form, self.link, self.ip, self.squeeze = "pcapng", "ethernet", 4, ""
        self.packets: list[tuple[int, bytes, int]] = []  # when, bytes kept, length
        self.at, self.segment, self.piece, self.snap = START, 1400, 0, 0
        self.options = False
        self.talks: dict[str, writing.Conversation] = {}
        self.faults: list[tuple[str, int]] = []
        self.held: list[tuple[int, bytes, int]] = []
        self.serial = self.ids = 0
        self.sizes: dict[str, int] = {}  # of the value that was sent for an id
        self.asked: dict[str, list[str]] = {}  # ids without an answer, by connection
        self.chop, self.first = 0, 0
        self.bounds = ReadingBounds()
        self.told: tuple[list[Exchange], Reading] | None = None

    def play(self, step: str) -> None:
        name, *words = shlex.split(step)
        getattr(self, "do_" + name)(*words)

    # The file.

    def data(self) -> bytes:
        kept = self.packets[self.first :]
        if self.form.startswith("pcapng"):
            order = ">" if self.form.endswith("be") else "<"
            parts = [self.head(order)]
            for at, data, size in kept:
                block = partial(writing.packet, 0) if order == "<" else self.block
                parts.append(block(at, data, size))
        else:
            order = ">" if self.form.endswith("be") else "<"
            magic, unit = (0xA1B23C4D, 1) if self.form.endswith("ns") else (0xA1B2C3D4, 1000)
            parts = [struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 262144, LINKS[self.link])]
            for at, data, size in kept:
                seconds, part = divmod(at, 10**9)
                parts.append(struct.pack(order + "IIII", seconds, part // unit, len(data), size) + data)
        whole = b"".join(parts)
        whole = whole[: len(whole) - self.chop]
        if self.squeeze == "gzip":
            half = len(whole) // 2  # two members, one behind another
            return gzip.compress(whole[:half], mtime=0) + gzip.compress(whole[half:], mtime=0)
        return zstandard.compress(whole) if self.squeeze == "zstd" else whole

    def head(self, order: str) -> bytes:
        if order == "<":
            return writing.section("a comment") + writing.interface("any", LINKS[self.link])
        section = struct.pack(">IIIHHq", 0x0A0D0D0A, 28, 0x1A2B3C4D, 1, 0, -1) + struct.pack(">I", 28)
        # A resolution of 2^-20 s, and an offset of 1,000 s.
        options = struct.pack(">HHB3x", 9, 1, 0x80 | 20) + struct.pack(">HHq", 14, 8, 1000) + bytes(4)
        size = 20 + len(options)
        unknown = struct.pack(">II4sI", 0xBAD, 16, b"what", 16)
        interface = struct.pack(">IIHHI", 1, size, LINKS[self.link], 0, 0) + options + struct.pack(">I", size)
        return section + unknown + interface

    def block(self, at: int, data: bytes, size: int) -> bytes:
        units = -(-(at - 1000 * 10**9) * 2**20 // 10**9)
        body = struct.pack(">IIIII", 0, units >> 32, units & 0xFFFFFFFF, len(data), size) + data
        body += bytes(-len(data) % 4)
        total = 12 + len(body)
        return struct.pack(">II", 6, total) + body + struct.pack(">I", total)

    def read(self) -> tuple[list[Exchange], Reading]:
        if self.told is None:
            self.told = read(self.data(), self.bounds)
        return self.told

    # Packets.

    def put(self, packets: list[bytes]) -> None:
        self.told = None
        for number, ip in enumerate(packets, 1):
            faults = {name for name, at in self.faults if at == number}
            for datagram in self.datagrams(ip):
                frame = self.frame(datagram)
                self.at += 20_000
                one = (self.at, frame[: self.snap] if self.snap else frame, len(frame))
                if "drop" in faults:
                    continue
                if "late" in faults:
                    self.held.append(one)
                    continue
                self.packets += [one] * (2 if "again" in faults else 1)
                self.packets += self.held
                self.held.clear()
        self.faults.clear()

    def datagrams(self, ip: bytes) -> list[bytes]:
        if self.options and ip[0] == 0x45:
            options = b"\x01" * 8
            size = (len(ip) + 8).to_bytes(2, "big")
            ip = b"\x47" + ip[1:2] + size + ip[4:20] + options + ip[20:]
        if not self.piece:
            return [ip]
        self.ids += 1
        if ip[0] >> 4 == 4:
            head, body = 4 * (ip[0] & 15), ip[4 * (ip[0] & 15) :]
            pieces = []
            for at in range(0, len(body), self.piece):
                part, more = body[at : at + self.piece], at + self.piece < len(body)
                place = (0x2000 if more else 0) | at // 8
                start = ip[:2] + struct.pack("!HHH", head + len(part), self.ids, place) + ip[8:head]
                pieces.append(start + part)
        else:
            body, pieces = ip[40:], []
            for at in range(0, len(body), self.piece):
                part, more = body[at : at + self.piece], at + self.piece < len(body)
                place = struct.pack("!BBHI", 6, 0, at | more, self.ids)
                # A destination option before the fragment header: extension headers stand in a row.
                option = bytes((44, 0, 1, 4, 0, 0, 0, 0))
                size = struct.pack("!H", len(part) + 16)
                pieces.append(ip[:4] + size + bytes((60,)) + ip[7:40] + option + place + part)
        return pieces[::-1]  # the last first

    def frame(self, ip: bytes) -> bytes:
        kind = b"\x08\x00" if ip[0] >> 4 == 4 else b"\x86\xdd"
        match self.link:
            case "ethernet":
                return bytes(12) + kind + ip + bytes(max(0, 46 - len(ip)))
            case "vlan":
                return bytes(12) + b"\x81\x00\x00\x05" + kind + ip
            case "qinq":
                return bytes(12) + b"\x88\xa8\x00\x07\x81\x00\x00\x05" + kind + ip
            case "null":
                return struct.pack("<I", 2 if ip[0] >> 4 == 4 else 30) + ip
            case "cooked":
                return struct.pack("!HHH8s", 0, 1, 6, bytes(8)) + kind + ip
            case "cooked2":
                return kind + struct.pack("!HiHBB8s", 0, 1, 1, 0, 6, bytes(8)) + ip
        return ip

    def talk(self, name: str) -> writing.Conversation:
        if name not in self.talks:
            host, server = ("10.0.0.%d", "10.0.1.%d") if self.ip == 4 else ("fd00::%d", "fd01::%d")
            place = 2 if name.startswith("n") else 1  # nodes listen elsewhere
            ends = ((host % (len(self.talks) % 200 + 1), 40000 + len(self.talks)), (server % place, 6379))
            self.talks[name] = writing.Conversation(ends, (1000, 500_000))
        return self.talks[name]

    def say(self, name: str, side: int, data: bytes) -> None:
        talk, size = self.talk(name), self.segment
        self.put([talk.raw(side, ACK, data[at : at + size]) for at in range(0, len(data), size)])

    # Steps.

    def do_form(self, form: str) -> None:
        self.form = form

    def do_link(self, link: str) -> None:
        self.link = link

    def do_ip(self, version: str) -> None:
        self.ip = int(version)

    def do_squeeze(self, how: str) -> None:
        self.squeeze = how

    def do_bounds(self, *words: str) -> None:
        told = dict(word.split("=") for word in words)
        kinds = {name: type(getattr(self.bounds, name)) for name in told}
        self.bounds = ReadingBounds(**{name: kinds[name](value) for name, value in told.items()})

    def do_open(self, name: str) -> None:
        self.put(self.talk(name).open())

    def do_close(self, name: str) -> None:
        self.put(self.talk(name).close(0, False))

    def do_reset(self, name: str) -> None:
        self.put(self.talk(name).close(1, True))

    def do_ask(self, name: str, workload: str, size: str = "0") -> None:
        self.serial += 1
        id_ = f"id{self.serial:04d}"
        self.asked.setdefault(name, []).append(id_)
        names = f"c={workload},t=all,d=1000" + (f",k={self.serial:016x}" if workload == "sign" else "")
        words = [b"Q.ASK" if workload == "read" else b"Q.DO", b"key", id_.encode(), names.encode()]
        words += [] if workload == "read" else [b"b" * int(size)]
        self.say(name, 0, resp.command(words))

    def answer(self, name: str, size: str | None) -> bytes:
        """A value whose size nothing else has: by it an answer is known to be the one that was sent."""
        id_ = self.asked[name].pop(0) if self.asked.get(name) else "none"
        self.sizes[id_] = found = int(size) if size else 20 + int(id_[2:] or 0) if id_ != "none" else 9
        return b"v" * found

    def do_value(self, name: str, size: str | None = None) -> None:
        self.say(name, 1, b"".join(resp.bulk(self.answer(name, size))))

    def do_nodevalue(self, name: str, size: str | None = None) -> None:
        value = b"".join(resp.bulk(self.answer(name, size)))
        self.say(name, 1, b"*3\r\n" + value + b"$-1\r\n$10\r\ninflight=1\r\n")

    def do_busy(self, name: str) -> None:
        self.asked[name].pop(0)
        self.say(name, 1, b"-BUSY 250\r\n")

    def do_error(self, name: str) -> None:
        self.asked[name].pop(0)
        self.say(name, 1, b"-ERR failed inflight=1\r\n")

    def do_raw(self, name: str, side: str, data: str) -> None:
        self.say(name, int(side), data.encode().decode("unicode_escape").encode("latin-1"))

    def do_split(self, size: str) -> None:
        self.segment = int(size)

    def do_drop(self, number: str) -> None:
        self.faults.append(("drop", int(number)))

    def do_again(self, number: str) -> None:
        self.faults.append(("again", int(number)))

    def do_late(self, number: str) -> None:
        self.faults.append(("late", int(number)))

    def do_fragment(self, size: str) -> None:
        self.piece = int(size)

    def do_options(self) -> None:
        self.options = True

    def do_snap(self, size: str) -> None:
        self.snap = int(size)

    def do_wait(self, seconds: str) -> None:
        self.at += int(float(seconds) * 1e9)

    def do_back(self, seconds: str) -> None:
        self.at -= int(float(seconds) * 1e9)

    def do_wrap(self, name: str) -> None:
        self.talk(name).numbers[:] = [2**32 - 30, 2**32 - 5]

    def do_reuse(self, name: str) -> None:
        self.talk(name).numbers[:] = [77_000_000, 99_000_000]
        self.asked.pop(name, None)

    def do_noise(self) -> None:
        for frame in (b"", b"\x45", bytes(60), b"\xff" * 100, bytes(12) + b"\x08\x00\x45\x00", b"\x60" * 44):
            self.packets.append((self.at, frame, len(frame)))

    def do_end(self, size: str) -> None:
        self.chop = int(size)

    def do_begin(self, packets: str) -> None:
        self.first = int(packets)

    def do_matches(self) -> None:
        exchanges, _ = self.read()
        wrong = mismatched(exchanges, self.sizes)
        assert not wrong, wrong

    def do_expect(self, what: str, *words: str) -> None:
        exchanges, reading = self.read()
        counts: dict[str, Any] = reading.counts()
        match (what, *words):
            case (number, "exchanges"):
                assert len(exchanges) == int(number), [(e.id, e.ended) for e in exchanges]
            case (number, "whole"):
                found = [each.id for each in exchanges if each.whole]
                assert len(found) == int(number), (found, counts)
            case (("side" | "ended") as field, name, number):
                found = sum(getattr(each, field) == name for each in exchanges)
                assert found == int(number), (found, [(e.id, e.side, e.ended) for e in exchanges])
            case ("spoilt", *rest):
                assert " ".join(rest) in counts.get("spoilt", "") and counts.get("spoilt"), counts
            case (name, ">=", number):
                assert counts[name] >= int(number), counts
            case (name, "=", number):
                assert counts[name] == int(number), counts
            case _:
                raise ValueError(f"no such expectation: {what} {words}")


def mismatched(exchanges: list[Exchange], sizes: dict[str, int]) -> list[tuple[str | None, int | None]]:
    """Whole exchanges whose value is not the one that was sent for them: something was guessed."""
    values = [each for each in exchanges if each.whole and each.ended == "satisfied"]
    return [(e.id, e.value_bytes) for e in values if sizes.get(e.id or "") != e.value_bytes]


def read(data: bytes, bounds: ReadingBounds | None = None, piece: int = 0) -> tuple[list[Exchange], Reading]:
    """A capture read whole, or fed in pieces of so many bytes."""
    reading, found = Reading(bounds), list[Exchange]()
    for at in range(0, len(data), piece or len(data) or 1):
        found += reading.feed(data[at : at + (piece or len(data))])
    found += reading.end()
    return found, reading
