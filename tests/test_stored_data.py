"""Stored data and bytes made by revision 4d4d345: the present text reads them as that one did, and writes the
same bytes again.

The files are in data/before; the README there says how each was made. Whatever names the program has inside,
what is stored or sent keeps its own. A failure here means that data of an earlier version can't be used, or
that instances of two versions do not understand each other; never make the stored files anew to mend it.
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
    decode_peer_message,
    encode_peer_message,
    endpoint_mark,
    find_numbers,
    ledger_names,
    new_idempotency_key,
    operators_sections,
    packet_comments,
    peer_fields,
    peer_message,
    read_frames,
    read_keys,
    read_ledger,
    read_snapshot,
    read_stored_json,
    snapshot_envelope,
    snapshot_names,
    state_item,
    to_json_values,
    without_times,
    write_frame,
    write_ledger,
    write_recording,
    write_snapshot,
)


def test_peer_messages_are_read_the_same() -> None:
    """Stored bytes of each kind of peer message have the stored fields; malformed ones are refused."""
    rows = read_stored_json("peer_messages.json")
    for row in rows["messages"]:
        found = peer_fields(decode_peer_message(bytes.fromhex(row["hex"])))
        assert to_json_values(found) == row["read"], (row["title"], found)
    for row in rows["malformed"]:
        assert decode_peer_message(bytes.fromhex(row["hex"])) is None, row["title"]


def test_peer_messages_are_written_the_same() -> None:
    """Fields encode to the stored bytes, clamped ones too; a decoded message encodes to what it came from."""
    for row in read_stored_json("peer_messages.json")["messages"]:
        data = bytes.fromhex(row["hex"])
        given = row.get("given", row["read"])
        assert encode_peer_message(peer_message(given["kind"], given)) == data, row["title"]
        assert encode_peer_message(decode_peer_message(data)) == data, row["title"]
        assert len(data) == row["bytes"] <= 256, row["title"]


def test_snapshots_are_read_the_same() -> None:
    """Each stored snapshot has the stored items, by the names that its bytes have."""
    for row in read_stored_json("snapshots/contents.json"):
        data = (STORED_DATA / row["file"]).read_bytes()
        envelope = snapshot_envelope(data)
        stored_items = envelope.pop("part")["items"]
        assert to_json_values(envelope) == row["envelope"], row["file"]
        assert to_json_values(stored_items) == row["items"], row["file"]
        assert to_json_values(list(map(msgspec.to_builtins, read_snapshot(data)))) == row["items"], row[
            "file"
        ]


def test_snapshots_are_written_the_same() -> None:
    """A snapshot that was read, or made of its plain fields, is written as the same bytes."""
    for row in read_stored_json("snapshots/contents.json"):
        data = (STORED_DATA / row["file"]).read_bytes()
        assert write_snapshot(read_snapshot(data), snapshot_envelope(data)) == data, row["file"]
        made = write_snapshot(list(map(state_item, row["items"])), row["envelope"])
        assert made == data, row["file"]


def test_inherited_state_frames() -> None:
    """Frames of a link on which an instance inherits state are read and written the same."""
    rows = read_stored_json("inherited_state_frames.json")
    words = read_frames(b"".join(bytes.fromhex(row["hex"]) for row in rows))
    assert len(words) == len(rows)
    for row, word in zip(rows, words, strict=True):
        assert to_json_values(msgspec.to_builtins(word)) == row["body"], row
        assert write_frame(row["frame"], word).hex() == row["hex"], row


def test_ledger_is_read_the_same() -> None:
    """A ledger with entries of every kind and outcome says the same; one that a crash tore does too."""
    contents = read_stored_json("ledgers/all-kinds.json")
    data = (STORED_DATA / "ledgers/all-kinds/ledger").read_bytes()
    assert read_ledger(data) == contents["reading"]
    assert read_ledger(data[:-20]) == contents["torn"]


def test_ledger_is_written_the_same() -> None:
    """The stored entries are written as the same bytes."""
    contents = read_stored_json("ledgers/all-kinds.json")
    made = write_ledger(bytes.fromhex(contents["name"]), contents["entries"])
    assert made == (STORED_DATA / "ledgers/all-kinds/ledger").read_bytes()


def test_ledger_names_are_the_same() -> None:
    """A recorded request has the names that earlier ledgers hold: under others it would be sent twice."""
    contents = read_stored_json("ledgers/names.json")
    exchanges, _ = read_capture((STORED_DATA / contents["recording"]).read_bytes())
    by_id = {(each.side, each.id): each for each in exchanges}
    assert contents["requests"]
    for row in contents["requests"]:
        assert ledger_names(by_id[row["side"], row["id"]]) == row["names"], row
    for row in contents["keys"]:
        found = new_idempotency_key(bytes.fromhex(row["ledger"]), row["recorded"])
        assert found == row["new"], row


def test_recordings_are_written_the_same() -> None:
    """The stored events make the same recordings, whole, cut and hashed; the version in the head aside."""
    for recording in read_stored_json("recordings/events.json"):
        data = (STORED_DATA / recording["file"]).read_bytes()
        made = write_recording(recording)
        assert without_version(made) == without_version(data), recording["file"]


def without_version(data: bytes) -> tuple[list[tuple[int, bytes]], bytes]:
    """A recording's head as its options, where the program's version is left out, and all behind it."""
    _, size, *_ = struct.unpack_from("<II", data)
    options, at = [], 24
    while at < size - 4:
        code, length = struct.unpack_from("<HH", data, at)
        value = data[at + 4 : at + 4 + length]
        options.append((code, value.split(b" ")[0] if code == 4 else value))
        at += 4 + length + -length % 4
    return options, data[size:]


def test_operators_file_is_read_the_same() -> None:
    """Every section has the stored values, those by default too."""
    for name, sections in read_stored_json("operators/sections.json").items():
        assert to_json_values(operators_sections(STORED_DATA / f"operators/{name}.star")) == sections, name


def test_faults_of_an_operators_file() -> None:
    """Each fault is told with the same line, section and field."""
    found = command_results()["check faulty operators' file"]
    place = re.compile(r"^operators/faults\.star:(\d+): (\w+): (\w+)", re.MULTILINE)
    expected = place.findall((STORED_DATA / "operators/faults.txt").read_text())
    assert len(expected) == 12 and place.findall(found.errors) == expected, found.errors


def test_keys_are_read_the_same() -> None:
    """A folder of keys made before is still good; its name and revoked serial numbers are the same."""
    with tempfile.TemporaryDirectory() as folder:
        copy = copy_of_data(Path(folder))
        assert read_keys(copy / "keys/instance") == read_stored_json("keys/reading.json")


def test_json_outputs_are_the_same() -> None:
    """Every command with --json prints the same bytes; only times that a replay measured may differ."""
    rows = [row for row in read_stored_json("commands.json") if "--json" in row["command"]]
    assert len(rows) == 19
    differing = [row["title"] for row in rows if not same_output(row, command_results()[row["title"]])]
    assert not differing, [(title, command_results()[title]) for title in differing]


def same_output(row: dict[str, Any], found: CommandResult) -> bool:
    """Is this the stored status and output? Of a replay, times that were measured do not count."""
    expected = (STORED_DATA / row["output"]).read_text()
    if found.status != row["status"]:
        return False
    if "replay" not in row["command"]:
        return found.output == expected
    found_values, expected_values = json.loads(found.output), json.loads(expected)
    same_names = list(found_values) == list(expected_values)
    return same_names and without_times(found_values) == without_times(expected_values)


def test_texts_about_operators_file_and_keys_are_the_same() -> None:
    """What `check --orders`, `keys show` and `keys check` print is the same."""
    rows = [row for row in read_stored_json("commands.json") if row["command"][0] in ("check", "keys")]
    assert len(rows) == 6
    for row in rows:
        found = command_results()[row["title"]]
        expected = (STORED_DATA / row["output"]).read_text()
        assert (found.status, found.output) == (row["status"], expected), (row["title"], found)


def test_texts_have_the_same_figures() -> None:
    """Tables for people have the same figures, line by line; their words are free."""
    rows = [row for row in read_stored_json("commands.json") if row["title"].endswith("text")]
    assert len(rows) == 2
    for row in rows:
        found = command_results()[row["title"]]
        expected = (STORED_DATA / row["output"]).read_text()
        figures = list(map(find_numbers, found.output.splitlines()))
        assert figures == list(map(find_numbers, expected.splitlines())), (row["title"], found.output)
        assert found.status == row["status"], (row["title"], found)


def test_serve_logs_the_names_that_are_counted() -> None:
    """A running instance's log has the counters of stored logs, by the names that `fleet counts` reads."""
    names = ("first_tries", "satisfied", "error", "cut", "turned_away", "node_connections_opened")
    names = (*names, "words_told", "words_heard", "words_dropped")
    found = serve_four_requests().log
    before = (STORED_DATA / "logs/instance-0.log").read_text().splitlines()
    assert [log_keys(line)["event"] for line in found if "ready" in line] == ["ready"], found
    standing = [log_keys(line) for line in found if "event=standing" in line][-1]
    expected = [log_keys(line) for line in before if "event=standing" in line][-1]
    assert set(names) <= set(expected) & set(standing), (expected, standing)
    for name in names[:5]:
        assert standing[name] == expected[name], (name, standing)


def test_serve_writes_recordings_as_before() -> None:
    """A running instance's recording has a file name, interfaces and comments on packets as stored ones."""
    expected = read_stored_json("served.json")
    [(name, data)] = serve_four_requests().recordings.items()
    assert re.fullmatch(expected["recording_name"], name), name
    exchanges, reading = read_capture(data)
    assert sorted([each.side, each.id, each.ended] for each in exchanges) == expected["exchanges"]
    assert not reading.problem_counts(), reading.problem_counts()
    assert packet_comments(data) == expected["comments"]


def test_serve_writes_snapshots_as_before() -> None:
    """A running instance's snapshot has the names, kinds of items and names of ratios as stored ones."""
    expected = read_stored_json("served.json")
    [(name, data)] = serve_four_requests().snapshots.items()
    assert name == expected["snapshot_name"]
    envelope = snapshot_envelope(data)
    assert snapshot_names(envelope) == expected["snapshot"], snapshot_names(envelope)


def test_endpoint_marks_are_the_same() -> None:
    """All instances have the same number for an endpoint's name, those of an earlier version too."""
    for name, mark in read_stored_json("peer_messages.json")["marks"].items():
        assert endpoint_mark(name) == mark, name


def log_keys(line: str) -> dict[str, str]:
    """The keys and plain values of a log line, which begins with its time."""
    keys = dict(re.findall(r"(\w+)=(\S+)", line))
    assert next(iter(keys)) == "at" and float(keys["at"]) > 0, line
    return keys
