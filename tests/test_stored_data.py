"""Compatibility with data of revision 4d4d345: the present program reads and writes the same bytes.

The files are in data/before, whose README says how each was made. Names in stored data and on the wire stay
unchanged when names in the program change. A failure of these tests means that data of an earlier version
cannot be used, or that instances of two versions do not understand each other. Never regenerate the stored
files to fix such a failure.
"""

from __future__ import annotations

import json
import re
import struct
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from tests.support.capture_builder import read_capture
from tests.support.serve_process import serve_four_requests
from tests.support.stored_data_access import (
    STORED_DATA,
    CommandResult,
    command_results,
    copy_of_data,
    decode_frames,
    decode_ledger,
    decode_peer_message,
    decode_snapshot,
    decode_snapshot_envelope,
    encode_frame,
    encode_ledger,
    encode_peer_message,
    encode_recording,
    encode_snapshot,
    endpoint_name_hash,
    find_numbers,
    ledger_names,
    new_idempotency_key,
    packet_comments,
    peer_fields,
    peer_message,
    read_keys,
    read_operators_sections,
    read_stored_json,
    snapshot_names,
    state_item,
    to_json_values,
    without_times,
)


def test_peer_messages_are_decoded_the_same() -> None:
    """Stored peer messages of each kind decode to the stored fields; malformed messages are rejected."""
    rows = read_stored_json("peer_messages.json")
    for row in rows["messages"]:
        fields = peer_fields(decode_peer_message(bytes.fromhex(row["hex"])))
        assert to_json_values(fields) == row["read"], (row["title"], fields)
    for row in rows["malformed"]:
        assert decode_peer_message(bytes.fromhex(row["hex"])) is None, row["title"]


def test_peer_messages_are_encoded_the_same() -> None:
    """Stored fields, including clamped ones, and decoded messages encode to the stored bytes."""
    for row in read_stored_json("peer_messages.json")["messages"]:
        data = bytes.fromhex(row["hex"])
        fields = row.get("given", row["read"])
        assert encode_peer_message(peer_message(fields["kind"], fields)) == data, row["title"]
        assert encode_peer_message(decode_peer_message(data)) == data, row["title"]
        assert len(data) == row["bytes"] <= 256, row["title"]


def test_snapshots_are_read_the_same() -> None:
    """Each stored snapshot has the stored items, under the names in the file."""
    for row in read_stored_json("snapshots/contents.json"):
        data = (STORED_DATA / row["file"]).read_bytes()
        envelope = decode_snapshot_envelope(data)
        stored_items = envelope.pop("part")["items"]
        assert to_json_values(envelope) == row["envelope"], row["file"]
        assert to_json_values(stored_items) == row["items"], row["file"]
        assert to_json_values(list(map(msgspec.to_builtins, decode_snapshot(data)))) == row["items"], row[
            "file"
        ]


def test_snapshots_are_written_the_same() -> None:
    """A snapshot is written as the same bytes, both after reading and from its plain fields."""
    for row in read_stored_json("snapshots/contents.json"):
        data = (STORED_DATA / row["file"]).read_bytes()
        assert encode_snapshot(decode_snapshot(data), decode_snapshot_envelope(data)) == data, row["file"]
        encoded = encode_snapshot(list(map(state_item, row["items"])), row["envelope"])
        assert encoded == data, row["file"]


def test_state_transfer_frames_are_the_same() -> None:
    """Frames of a state transfer between instances are decoded and encoded the same."""
    rows = read_stored_json("inherited_state_frames.json")
    messages = decode_frames(b"".join(bytes.fromhex(row["hex"]) for row in rows))
    assert len(messages) == len(rows)
    for row, message in zip(rows, messages, strict=True):
        assert to_json_values(msgspec.to_builtins(message)) == row["body"], row
        assert encode_frame(row["frame"], message).hex() == row["hex"], row


def test_ledger_is_read_the_same() -> None:
    """A ledger with entries of every kind and outcome is read the same, also if a crash tore its end."""
    contents = read_stored_json("ledgers/all-kinds.json")
    data = (STORED_DATA / "ledgers/all-kinds/ledger").read_bytes()
    assert decode_ledger(data) == contents["reading"]
    assert decode_ledger(data[:-20]) == contents["torn"]


def test_ledger_is_written_the_same() -> None:
    """The stored entries are written as the same bytes."""
    contents = read_stored_json("ledgers/all-kinds.json")
    encoded = encode_ledger(bytes.fromhex(contents["name"]), contents["entries"])
    assert encoded == (STORED_DATA / "ledgers/all-kinds/ledger").read_bytes()


def test_ledger_names_are_the_same() -> None:
    """A recorded request has the same names as in earlier ledgers; otherwise it would be sent twice."""
    contents = read_stored_json("ledgers/names.json")
    exchanges, _ = read_capture((STORED_DATA / contents["recording"]).read_bytes())
    by_id = {(exchange.side, exchange.id): exchange for exchange in exchanges}
    assert contents["requests"]
    for row in contents["requests"]:
        assert ledger_names(by_id[row["side"], row["id"]]) == row["names"], row
    for row in contents["keys"]:
        key = new_idempotency_key(bytes.fromhex(row["ledger"]), row["recorded"])
        assert key == row["new"], row


def test_recordings_are_written_the_same() -> None:
    """The stored events give the same recordings, apart from the program's version in their headers."""
    for recording in read_stored_json("recordings/events.json"):
        data = (STORED_DATA / recording["file"]).read_bytes()
        encoded = encode_recording(recording)
        assert without_version(encoded) == without_version(data), recording["file"]


def without_version(data: bytes) -> tuple[list[tuple[int, bytes]], bytes]:
    """Return a recording's header options, without the program's version, and the bytes after the header."""
    _, size, *_ = struct.unpack_from("<II", data)
    options, at = [], 24
    while at < size - 4:
        code, length = struct.unpack_from("<HH", data, at)
        value = data[at + 4 : at + 4 + length]
        options.append((code, value.split(b" ")[0] if code == 4 else value))
        at += 4 + length + -length % 4
    return options, data[size:]


def test_operators_file_is_read_the_same() -> None:
    """Every section has the stored values, including default values."""
    for name, sections in read_stored_json("operators/sections.json").items():
        assert to_json_values(read_operators_sections(STORED_DATA / f"operators/{name}.star")) == sections, (
            name
        )


def test_errors_in_operators_file_are_the_same() -> None:
    """Each error is reported with the same line, section and field."""
    result = command_results()["check faulty operators' file"]
    place = re.compile(r"^operators/faults\.star:(\d+): (\w+): (\w+)", re.MULTILINE)
    expected = place.findall((STORED_DATA / "operators/faults.txt").read_text())
    assert len(expected) == 12 and place.findall(result.errors) == expected, result.errors


def test_keys_are_read_the_same() -> None:
    """An earlier folder of keys is valid, with the same name and revoked serial numbers."""
    with tempfile.TemporaryDirectory() as folder:
        copy = copy_of_data(Path(folder))
        assert read_keys(copy / "keys/instance") == read_stored_json("keys/reading.json")


def test_json_outputs_are_the_same() -> None:
    """Every command with --json prints the same bytes, except for the measured times of a replay."""
    rows = [row for row in read_stored_json("commands.json") if "--json" in row["command"]]
    assert len(rows) == 19
    differing = [row["title"] for row in rows if not same_output(row, command_results()[row["title"]])]
    assert not differing, [(title, command_results()[title]) for title in differing]


def same_output(row: dict[str, Any], result: CommandResult) -> bool:
    """Return whether a result has the stored status and output, except for the measured times of a replay."""
    expected = (STORED_DATA / row["output"]).read_text()
    if result.status != row["status"]:
        return False
    if "replay" not in row["command"]:
        return result.output == expected
    result_values, expected_values = json.loads(result.output), json.loads(expected)
    same_names = list(result_values) == list(expected_values)
    return same_names and without_times(result_values) == without_times(expected_values)


def test_texts_about_operators_file_and_keys_are_the_same() -> None:
    """The commands `check --orders`, `keys show` and `keys check` print the same text."""
    rows = [row for row in read_stored_json("commands.json") if row["command"][0] in ("check", "keys")]
    assert len(rows) == 6
    for row in rows:
        result = command_results()[row["title"]]
        expected = (STORED_DATA / row["output"]).read_text()
        assert (result.status, result.output) == (row["status"], expected), (row["title"], result)


def test_texts_have_the_same_numbers() -> None:
    """Human-readable tables have the same numbers in each line; their words may differ."""
    rows = [row for row in read_stored_json("commands.json") if row["title"].endswith("text")]
    assert len(rows) == 2
    for row in rows:
        result = command_results()[row["title"]]
        expected = (STORED_DATA / row["output"]).read_text()
        numbers = list(map(find_numbers, result.output.splitlines()))
        assert numbers == list(map(find_numbers, expected.splitlines())), (row["title"], result.output)
        assert result.status == row["status"], (row["title"], result)


def test_serve_logs_the_counters_of_stored_logs() -> None:
    """The log of an instance has the counters of stored logs, under the names that `fleet counts` reads."""
    names = ("first_tries", "satisfied", "error", "cut", "turned_away", "node_connections_opened")
    names = (*names, "words_told", "words_heard", "words_dropped")
    log = serve_four_requests().log
    stored_lines = (STORED_DATA / "logs/instance-0.log").read_text().splitlines()
    assert [log_keys(line)["event"] for line in log if "ready" in line] == ["ready"], log
    standing = [log_keys(line) for line in log if "event=standing" in line][-1]
    expected = [log_keys(line) for line in stored_lines if "event=standing" in line][-1]
    assert set(names) <= set(expected) & set(standing), (expected, standing)
    for name in names[:5]:
        assert standing[name] == expected[name], (name, standing)


def test_serve_writes_recordings_as_before() -> None:
    """The recording of an instance has the file name, exchanges and packet comments of stored recordings."""
    expected = read_stored_json("served.json")
    [(name, data)] = serve_four_requests().recordings.items()
    assert re.fullmatch(expected["recording_name"], name), name
    exchanges, reading = read_capture(data)
    assert (
        sorted([exchange.side, exchange.id, exchange.ended] for exchange in exchanges)
        == expected["exchanges"]
    )
    assert not reading.problem_counts(), reading.problem_counts()
    assert packet_comments(data) == expected["comments"]


def test_serve_writes_snapshots_as_before() -> None:
    """The snapshot of an instance has the names, kinds of items and ratios of stored snapshots."""
    expected = read_stored_json("served.json")
    [(name, data)] = serve_four_requests().snapshots.items()
    assert name == expected["snapshot_name"]
    envelope = decode_snapshot_envelope(data)
    assert snapshot_names(envelope) == expected["snapshot"], snapshot_names(envelope)


def test_endpoint_name_hashes_are_the_same() -> None:
    """Instances of all versions represent an endpoint's name by the same number."""
    for name, expected in read_stored_json("peer_messages.json")["marks"].items():
        assert endpoint_name_hash(name) == expected, name


def log_keys(line: str) -> dict[str, str]:
    """Return the keys and unquoted values of a log line, which starts with its time."""
    keys = dict(re.findall(r"(\w+)=(\S+)", line))
    assert next(iter(keys)) == "at" and float(keys["at"]) > 0, line
    return keys
