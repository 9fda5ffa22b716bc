"""Recordings: files read back as the transmitted exchanges, and a failed recording does not delay service."""

from __future__ import annotations

import os
import random
import shutil
import socket
import struct
import tempfile
import time
from pathlib import Path

import pytest

from gatebank.capture.records import Exchange
from gatebank.fakes.clients import random_request
from gatebank.proxy.resp2 import codec as resp
from gatebank.recording import output as recording_output
from gatebank.recording.errors import RecordingError
from gatebank.recording.packet_writer import ConnectionWriter, file_header
from gatebank.recording.recorder import RecordedConnection, Recorder
from gatebank.recording.redaction import Redaction
from gatebank.recording.section import Recording
from tests.support.capture_builder import START, read_capture

IDEMPOTENCY_KEY = b"5c0f6e1a2b3d4c59"
TENANT = b"all"
SECRET = b"4111-1111"


class RecorderInFolder:
    """A recorder with a temporary folder and without its thread: each `write_batch` writes one batch."""

    def __init__(self, **fields: object) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.recorder = Recorder(Recording(folder="rec", **fields), self.folder, "m/1")
        (self.folder / "rec").mkdir()
        near_end, far_end = socket.socketpair(socket.AF_UNIX)
        near_end.close()
        far_end.close()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.sockets: list[socket.socket] = [self.listener]

    def connect(self, side: str = "customer") -> RecordedConnection:
        """Open a connection and record it as a client's ("customer") or as one to an endpoint ("node")."""
        opened = socket.create_connection(self.listener.getsockname())
        accepted, _ = self.listener.accept()
        self.sockets += [opened, accepted]
        recorded = (
            self.recorder.record_client(accepted)
            if side == "customer"
            else self.recorder.record_endpoint(opened)
        )
        assert recorded
        return recorded

    def write_batch(self) -> None:
        """Write one batch of the queued events."""
        self.recorder.write_batch()

    def files(self) -> list[Path]:
        """Return the written files in order of their names."""
        return sorted((self.folder / "rec").glob("*.pcapng"))

    def data(self) -> bytes:
        """Return the bytes of all files."""
        return b"".join(path.read_bytes() for path in self.files())

    def close(self) -> None:
        """Close the output and the sockets, and remove the folder."""
        self.recorder.output.close()
        for sock in self.sockets:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def pay_command(number: int = 1) -> bytes:
    """Encode a request whose body, tenant and idempotency key can be hidden."""
    parameters = b"c=pay,t=%b,d=500,k=%b" % (TENANT, IDEMPOTENCY_KEY)
    return resp.encode_command([b"Q.DO", b"key", b"id%d" % number, parameters, SECRET * 50])


def test_recording_reads_back_as_the_transmitted_exchanges() -> None:
    """Record both sides, with pipelined and split messages and file rotation, and read the files back.

    All exchanges are read back, and those with endpoints in the order of their times.
    """
    recording, rng = (
        RecorderInFolder(sides=["customer", "node"], file_bytes=64 << 10, keep_files=100),
        random.Random(5),
    )
    try:
        connections = [recording.connect(), recording.connect("node"), recording.connect()]
        expected: list[tuple[str, int]] = []
        for number in range(400):
            connection = rng.choice(connections)
            arguments = random_request(rng)
            data, value = resp.encode_command(arguments), b"v" * rng.randrange(1, 3000)
            at = rng.randrange(len(data) + 1)
            for part in (data[:at], data[at:]):
                if part:
                    connection.record_request_bytes(part, f"shot {number}")
            reply = b"".join(resp.encode_bulk_string(value))
            connection.record_reply_bytes(
                b"*3\r\n" + reply + b"$-1\r\n$-1\r\n" if connection.side == "node" else reply
            )
            expected.append((arguments[2].decode(), len(value)))
            if number % 20 == 0:
                recording.write_batch()
        for connection in connections:
            connection.record_end(0)
        recording.write_batch()
        assert len(recording.files()) > 5
        assert all(path.stat().st_mode & 0o777 == 0o600 for path in recording.files())
        exchanges, reading = read_capture(recording.data())
        found = sorted((e.id, e.value_bytes) for e in exchanges if e.whole)
        assert found == sorted(expected), (len(found), reading.counts())
        assert {e.side for e in exchanges} == {"customer", "node"}
        assert not reading.problem_counts(), reading.problem_counts()
        assert b"shot 7" in recording.data()
        times = [e.asked_at for e in exchanges if e.side == "node"]
        assert times == sorted(times)
    finally:
        recording.close()


def test_hidden_values_do_not_occur_in_the_files() -> None:
    """The files contain no original body, idempotency key or tenant, with the messages split at any byte.

    The replaced values read back, and equal idempotency keys have equal hashes.
    """
    key = Path(tempfile.mkdtemp()) / "key"
    key.write_bytes(b"sixteen bytes or more")
    key.chmod(0o600)
    try:
        for bodies in ("cut", "hashed"):
            recording = RecorderInFolder(
                bodies=bodies, body_bytes=4, hide=["ticket", "customer"], key_file=str(key)
            )
            connection, data = recording.connect(), pay_command() + pay_command(2)
            for at in range(0, len(data), 7):
                connection.record_request_bytes(data[at : at + 7], "a shot")
            connection.record_reply_bytes(b"".join(resp.encode_bulk_string(SECRET)) * 2)
            connection.record_end(0)
            recording.write_batch()
            written = recording.data()
            exchanges, _ = read_capture(written)
            for hidden in (IDEMPOTENCY_KEY, SECRET, b"t=all", b"k=" + IDEMPOTENCY_KEY[:6]):
                assert hidden not in written, hidden
            assert [(e.whole, e.id) for e in exchanges] == [(True, "id1"), (True, "id2")]
            assert exchanges[0].idempotency_key == exchanges[1].idempotency_key
            assert len(exchanges[0].idempotency_key or "") == 32
            assert exchanges[0].body == (SECRET[:4] if bodies == "cut" else exchanges[1].body)
            recording.close()
        # Bytes that cannot be parsed may contain hidden values: these bytes and all later ones are left out.
        recording = RecorderInFolder(hide=["ticket"], key_file=str(key))
        connection = recording.connect()
        connection.record_request_bytes(b"*x\r\nk=" + IDEMPOTENCY_KEY)
        connection.record_request_bytes(pay_command())
        connection.record_end(0)
        recording.write_batch()
        assert IDEMPOTENCY_KEY not in recording.data()
        assert b"left out" in recording.data()
        recording.close()
        key.chmod(0o644)
        with pytest.raises(RecordingError, match="others may read"):
            RecorderInFolder(hide=["ticket"], key_file=str(key))
    finally:
        shutil.rmtree(key.parent)


def test_full_queue_does_not_delay_service() -> None:
    """If the queue is full, dropped data is counted, the file marks the gap, and no exchange spans it."""
    recording = RecorderInFolder(queue_bytes=64 << 10)
    try:
        connection = recording.connect()
        before = time.monotonic()
        for number in range(200):
            connection.record_request_bytes(pay_command(number))
            connection.record_reply_bytes(b"".join(resp.encode_bulk_string(b"v" * (100 + number))))
        assert time.monotonic() - before < 1.0
        assert recording.recorder.queued_bytes <= 64 << 10
        recording.write_batch()
        for number in range(200, 203):
            connection.record_request_bytes(pay_command(number))
            connection.record_reply_bytes(b"".join(resp.encode_bulk_string(b"v" * (100 + number))))
        connection.record_end(0)
        recording.write_batch()
        dropped = recording.recorder.counts.not_recorded
        exchanges, reading = read_capture(recording.data())
        assert dropped > 100
        assert b"were not recorded" in recording.data()
        check_value_sizes(exchanges)
        assert sum(e.whole for e in exchanges) >= 40
        assert reading.counts()["holes"] >= 1
        assert recording.recorder.open_count == 0
        assert recording.recorder.queued_bytes == 0
    finally:
        recording.close()


def check_value_sizes(exchanges: list[Exchange]) -> None:
    """Check that each complete exchange has a value of the size that was sent for its id."""
    wrong = [e.id for e in exchanges if e.whole and e.value_bytes != 100 + int((e.id or "id0")[2:])]
    assert not wrong, wrong


def test_write_errors_are_retried_and_leave_readable_files() -> None:
    """If the folder is removed or the disk is full, no exception is raised and the files stay readable.

    Writing is retried, but not before the retry time.
    """
    recording = RecorderInFolder()
    try:
        connection = recording.connect()
        connection.record_request_bytes(pay_command(1))
        recording.write_batch()
        shutil.rmtree(recording.folder / "rec")
        connection.record_reply_bytes(b"".join(resp.encode_bulk_string(b"v")))
        recording.write_batch()
        assert recording.recorder.output.has_failed
        assert recording.recorder.status_counts()["recorder"] == "failed"
        connection.record_request_bytes(pay_command(2))
        recording.write_batch()  # The retry time has not come yet.
        assert recording.recorder.counts.not_recorded >= 2
        assert not recording.recorder.output.is_open
        (recording.folder / "rec").mkdir()
        recording.recorder.output.retry_at = 0.0
        connection.record_reply_bytes(b"".join(resp.encode_bulk_string(b"w")))
        recording.write_batch()
        assert not recording.recorder.output.has_failed
        assert len(recording.files()) == 1
        # A full disk takes only a part of a batch: no partial block remains in the file.
        write, capacity = os.write, recording.recorder.output.size + 100

        def write_to_full_disk(descriptor: int, data: bytes) -> int:
            return write(descriptor, data[: max(0, capacity - recording.recorder.output.size)])

        recording_output.os.write = write_to_full_disk  # type: ignore[assignment]
        try:
            connection.record_request_bytes(pay_command(3))
            recording.write_batch()
        finally:
            recording_output.os.write = write
        assert recording.recorder.output.has_failed
        _, reading = read_capture(recording.data())
        assert not reading.counts().get("spoilt"), reading.counts()
    finally:
        recording.close()


def test_rotation_removes_oldest_files_of_own_recording_only() -> None:
    """Rotation removes the oldest files of the recording and keeps a file of another instance."""
    recording = RecorderInFolder(file_bytes=64 << 10, keep_files=3, keep_bytes=1 << 20)
    try:
        other = recording.folder / "rec" / "other-20231114T221320Z-000001.pcapng"
        other.write_bytes(b"x")
        connection = recording.connect()
        for number in range(600):
            connection.record_request_bytes(pay_command(number))
            recording.write_batch()
        own_files = [path for path in recording.files() if path.name.startswith("m_1-")]
        assert len(own_files) == 3, recording.files()
        assert other.exists(), recording.files()
        assert own_files[-1].name.endswith("-000006.pcapng") or int(own_files[-1].name[-13:-7]) > 3
    finally:
        recording.close()


def test_truncated_file_reads_to_its_last_complete_block() -> None:
    """A file cut at any byte, as after a killed process, is readable up to its last complete block."""
    writer = ConnectionWriter((("10.0.0.1", 1), ("10.0.0.2", 2)), 1, "customer", Redaction())
    blocks = [file_header("m")]
    writer.write_open(blocks, START)
    for number in range(3):
        value = b"".join(resp.encode_bulk_string(b"v" * (100 + number)))
        writer.write_data(blocks, 0, START, pay_command(number), "")
        writer.write_data(blocks, 1, START, value, f"invocation id{number}")
    data, before = b"".join(blocks), 0
    for size in range(len(blocks[0]), len(data), 5):
        exchanges, _ = read_capture(data[:size])
        check_value_sizes(exchanges)
        found = sum(e.whole for e in exchanges)
        assert found >= before, size
        before = found
    assert struct.unpack_from("<I", blocks[-1], 4)[0] == len(blocks[-1])
