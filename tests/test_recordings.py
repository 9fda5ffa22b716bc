"""Recordings: what a marshal writes reads back as what went by, and nothing it meets holds up service."""

from __future__ import annotations

import os
import random
import shutil
import socket
import struct
import tempfile
import time
from pathlib import Path
from typing import Any

from gatebank.capture.records import Exchange
from gatebank.fakes.clients import invocation
from gatebank.proxy.resp2 import codec as resp
from gatebank.recording import recorder as at_work
from gatebank.recording.packet_writer import Hiding, Track, head
from gatebank.recording.recorder import Recorder, Unrecordable
from gatebank.recording.section import Recording
from tests.support.capture_builder import START, read

TICKET, CUSTOMER, SECRET = b"5c0f6e1a2b3d4c59", b"all", b"4111-1111"


class Made:
    """A recorder on a folder of its own, without its thread: each `step` is one batch."""

    def __init__(self, **told: Any) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.recorder = Recorder(Recording(folder="rec", **told), self.folder, "m/1")
        (self.folder / "rec").mkdir()
        near, far = socket.socketpair(socket.AF_UNIX)
        near.close()
        far.close()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.socks: list[socket.socket] = [self.listener]

    def line(self, side: str = "customer") -> at_work.Heard:
        one = socket.create_connection(self.listener.getsockname())
        other, _ = self.listener.accept()
        self.socks += [one, other]
        heard = self.recorder.clients(other) if side == "customer" else self.recorder.nodes(one)
        assert heard
        return heard

    def step(self) -> None:
        self.recorder.batch()

    def files(self) -> list[Path]:
        return sorted((self.folder / "rec").glob("*.pcapng"))

    def data(self) -> bytes:
        return b"".join(each.read_bytes() for each in self.files())

    def close(self) -> None:
        self.recorder.shut()
        for sock in self.socks:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def payout(number: int = 1) -> bytes:
    names = b"c=pay,t=%b,d=500,k=%b" % (CUSTOMER, TICKET)
    return resp.command([b"Q.DO", b"key", b"id%d" % number, names, SECRET * 50])


def test_recording_reads_back_as_what_went_by() -> None:
    """Reads back.

    Both sides, pipelined and in pieces, over turned files: what went by, in order, with its times.
    """
    made, chance = Made(sides=["customer", "node"], file_bytes=64 << 10, keep_files=100), random.Random(5)
    try:
        lines = [made.line(), made.line("node"), made.line()]
        wanted: list[tuple[str, int]] = []
        for number in range(400):
            line = chance.choice(lines)
            words = invocation(chance)
            data, value = resp.command(words), b"v" * chance.randrange(1, 3000)
            at = chance.randrange(len(data) + 1)
            for part in (data[:at], data[at:]):
                if part:
                    line.asked(part, f"shot {number}")
            answer = b"".join(resp.bulk(value))
            line.replied(b"*3\r\n" + answer + b"$-1\r\n$-1\r\n" if line.side == "node" else answer)
            wanted.append((words[2].decode(), len(value)))
            if number % 20 == 0:
                made.step()
        for line in lines:
            line.ended(0)
        made.step()
        assert len(made.files()) > 5 and all(each.stat().st_mode & 0o777 == 0o600 for each in made.files())
        exchanges, reading = read(made.data())
        found = sorted((e.id, e.value_bytes) for e in exchanges if e.whole)
        assert found == sorted(wanted), (len(found), reading.counts())
        assert {e.side for e in exchanges} == {"customer", "node"}
        assert not reading.trouble(), reading.trouble()
        assert b"shot 7" in made.data()
        times = [e.asked_at for e in exchanges if e.side == "node"]
        assert times == sorted(times)
    finally:
        made.close()


def test_hidden_fields_stand_nowhere_in_the_files() -> None:
    """Hides.

    Bodies, tickets and customers as they were stand nowhere in the files, cut at any place, and what is in
    their place reads back; the same ticket has the same hash.
    """
    key = Path(tempfile.mkdtemp()) / "key"
    key.write_bytes(b"sixteen bytes or more")
    key.chmod(0o600)
    try:
        for bodies in ("cut", "hashed"):
            made = Made(bodies=bodies, body_bytes=4, hide=["ticket", "customer"], key_file=str(key))
            line, data = made.line(), payout() + payout(2)
            for at in range(0, len(data), 7):
                line.asked(data[at : at + 7], "a shot")
            line.replied(b"".join(resp.bulk(SECRET)) * 2)
            line.ended(0)
            made.step()
            written = made.data()
            exchanges, _ = read(written)
            for hidden in (TICKET, SECRET, b"t=all", b"k=" + TICKET[:6]):
                assert hidden not in written, hidden
            assert [(e.whole, e.id) for e in exchanges] == [(True, "id1"), (True, "id2")]
            assert exchanges[0].ticket == exchanges[1].ticket and len(exchanges[0].ticket or "") == 32
            assert exchanges[0].body == (SECRET[:4] if bodies == "cut" else exchanges[1].body)
            made.close()
        # What can't be read may hold what is hidden: it is left out from there on.
        made = Made(hide=["ticket"], key_file=str(key))
        line = made.line()
        line.asked(b"*x\r\nk=" + TICKET)
        line.asked(payout())
        line.ended(0)
        made.step()
        assert TICKET not in made.data() and b"left out" in made.data()
        made.close()
        key.chmod(0o644)
        try:
            Made(hide=["ticket"], key_file=str(key))
        except Unrecordable as trouble:
            assert "others may read" in str(trouble)
        else:
            raise AssertionError("a key that others may read")
    finally:
        shutil.rmtree(key.parent)


def test_full_queue_never_holds_up_service() -> None:
    """Never waits.

    A full queue: what does not fit is counted, the file says where, and nothing is paired across it.
    """
    made = Made(queue_bytes=64 << 10)
    try:
        line = made.line()
        before = time.monotonic()
        for number in range(200):
            line.asked(payout(number))
            line.replied(b"".join(resp.bulk(b"v" * (100 + number))))
        assert time.monotonic() - before < 1.0
        assert made.recorder.queued - made.recorder.taken <= 64 << 10
        made.step()
        for number in range(200, 203):
            line.asked(payout(number))
            line.replied(b"".join(resp.bulk(b"v" * (100 + number))))
        line.ended(0)
        made.step()
        lost = made.recorder.counts["not_recorded"]
        exchanges, reading = read(made.data())
        assert lost > 100 and b"were not recorded" in made.data()
        right(exchanges)
        assert sum(e.whole for e in exchanges) >= 40 and reading.counts()["holes"] >= 1
        assert not made.recorder.tracks and made.recorder.queued == made.recorder.taken
    finally:
        made.close()


def right(exchanges: list[Exchange]) -> None:
    wrong = [e.id for e in exchanges if e.whole and e.value_bytes != 100 + int((e.id or "id0")[2:])]
    assert not wrong, wrong


def test_folder_troubles_cost_one_line() -> None:
    """Folder troubles.

    The folder goes away, is a file, or the disk is full: one line, no exception, a retry later, and the
    files there are readable.
    """
    made = Made()
    try:
        line = made.line()
        line.asked(payout(1))
        made.step()
        shutil.rmtree(made.folder / "rec")
        line.replied(b"".join(resp.bulk(b"v")))
        made.step()
        assert made.recorder.failed and made.recorder.standing()["recorder"] == "failed"
        line.asked(payout(2))
        made.step()  # not tried again before its time
        assert made.recorder.counts["not_recorded"] >= 2 and made.recorder.file < 0
        (made.folder / "rec").mkdir()
        made.recorder.retry_at = 0.0
        line.replied(b"".join(resp.bulk(b"w")))
        made.step()
        assert not made.recorder.failed and len(made.files()) == 1
        # A disk that takes only a part of a batch: no half block stays.
        write, room = os.write, made.recorder.size + 100

        def full(descriptor: int, data: bytes) -> int:
            return write(descriptor, data[: max(0, room - made.recorder.size)])

        at_work.os.write = full  # type: ignore[assignment]
        try:
            line.asked(payout(3))
            made.step()
        finally:
            at_work.os.write = write
        assert made.recorder.failed
        _, reading = read(made.data())
        assert not reading.counts().get("spoilt"), reading.counts()
    finally:
        made.close()


def test_oldest_files_go_and_others_stay() -> None:
    """Oldest go.

    Files are turned over and the oldest go; those of another marshal stay.
    """
    made = Made(file_bytes=64 << 10, keep_files=3, keep_bytes=1 << 20)
    try:
        other = made.folder / "rec" / "other-20231114T221320Z-000001.pcapng"
        other.write_bytes(b"x")
        line = made.line()
        for number in range(600):
            line.asked(payout(number))
            made.step()
        ours = [each for each in made.files() if each.name.startswith("m_1-")]
        assert len(ours) == 3 and other.exists(), made.files()
        assert ours[-1].name.endswith("-000006.pcapng") or int(ours[-1].name[-13:-7]) > 3
    finally:
        made.close()


def test_file_killed_at_any_byte_reads_to_its_last_block() -> None:
    """Torn tail.

    Killed at any byte: the file reads up to its last whole block.
    """
    track, blocks = Track((("10.0.0.1", 1), ("10.0.0.2", 2)), 1, "customer", Hiding()), [head("m")]
    track.opened(blocks, START)
    for number in range(3):
        value = b"".join(resp.bulk(b"v" * (100 + number)))
        track.data(blocks, 0, START, payout(number), "")
        track.data(blocks, 1, START, value, f"invocation id{number}")
    data, before = b"".join(blocks), 0
    for size in range(len(blocks[0]), len(data), 5):
        exchanges, _ = read(data[:size])
        right(exchanges)
        found = sum(e.whole for e in exchanges)
        assert found >= before, size
        before = found
    assert struct.unpack_from("<I", blocks[-1], 4)[0] == len(blocks[-1])
