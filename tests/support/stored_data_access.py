"""Adapters between tests/test_stored_data.py and the program, and readers of data/before without the program.

Only the adapters call the program, with positional arguments where possible. If a function, class or
attribute of the program is renamed, only the adapters change, since the tests compare bytes and plain JSON.
"""

from __future__ import annotations

import functools
import json
import os
import re
import shutil
import struct
import subprocess
import sys
import tempfile
from dataclasses import astuple
from pathlib import Path
from typing import Any, NamedTuple
from zlib import crc32

import msgspec

from gatebank import peer_messages
from gatebank.keys import folder as key_folder
from gatebank.operator_config import operators_file
from gatebank.recording import packet_writer
from gatebank.recording.redaction import Redaction
from gatebank.replay import entries as ledger_entries
from gatebank.replay import identity
from gatebank.state_transfer import items as state_items
from gatebank.state_transfer import protocol, snapshot

ROOT = Path(__file__).parents[2]
STORED_DATA = ROOT / "tests" / "data" / "before"
# Kinds of snapshot items that even a short run leaves.
ITEM_KINDS = ("news", "node", "past", "sent", "took")
# Timeout of all commands together.
TIMEOUT_S = 60.0
# Runs `python -m gatebank` for each command line in one process, because importing the libraries takes most
# of the time.
RUN_COMMANDS = """
import json, os, runpy, sys, traceback
standard_output = os.dup(1)
for number, arguments in enumerate(json.load(sys.stdin)):
    for descriptor, name in ((1, "output"), (2, "errors")):
        os.dup2(os.open(f"{number}.{name}", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), descriptor)
    sys.argv = ["gatebank", *arguments]
    status = 0
    try:
        runpy.run_module("gatebank", run_name="__main__", alter_sys=True)
    except SystemExit as error:
        status = error.code or 0
    except Exception:
        traceback.print_exc()
        status = 1
    sys.stdout.flush()
    sys.stderr.flush()
    os.write(standard_output, b"%d\\n" % status)
"""

# Adapters: the only functions that call the program.


def peer_message(kind: str, fields: dict[str, Any]) -> Any:
    """Return a message between instances from its plain fields.

    Args:
        kind: "step", "totals" or "fleet".
        fields: The fields as in data/before/peer_messages.json.
    """
    loads = {
        (row["request_class"], row["machine_kind"], row["side"]): (
            row["answers"],
            row["answer_time"],
            row["lost_time"],
        )
        for row in fields.get("loads", ())
    }
    if kind == "step":
        names = ("incarnation", "build", "stage", "ratio", "level", "outcomes", "endpoint_mark")
        return peer_messages.LlrDelta(*(fields[name] for name in names))
    if kind == "totals":
        names = ("incarnation", "build", "stage", "rate", "outstanding")
        sums = {row["ratio"]: (row["sum"], row["outcomes"]) for row in fields["sums"]}
        return peer_messages.InstanceReport(*(fields[name] for name in names), loads, sums)
    return peer_messages.FleetReport(
        fields["rate"], fields["outstanding"], loads, fields["build"], fields["stage"], fields["verdict"]
    )


def load_fields(loads: dict[Any, Any]) -> list[dict[str, Any]]:
    """Return the loads of a message as plain fields."""
    names = ("request_class", "machine_kind", "side", "answers", "answer_time", "lost_time")
    return [dict(zip(names, (*key, *figures), strict=True)) for key, figures in loads.items()]


def peer_fields(message: Any) -> dict[str, Any]:
    """Return the plain fields of a decoded message, the inverse of `peer_message`."""
    values = astuple(message)
    if isinstance(message, peer_messages.LlrDelta):
        names = ("incarnation", "build", "stage", "ratio", "level", "outcomes", "endpoint_mark")
        return {"kind": "step", **dict(zip(names, values, strict=True))}
    if isinstance(message, peer_messages.InstanceReport):
        names = ("incarnation", "build", "stage", "rate", "outstanding")
        *scalars, loads, sums = values
        rows = [{"ratio": ratio, "sum": entry[0], "outcomes": entry[1]} for ratio, entry in sums.items()]
        fields = dict(zip(names, scalars, strict=True))
        return {"kind": "totals", **fields, "loads": load_fields(loads), "sums": rows}
    rate, outstanding, loads, build, stage, verdict = values
    fields = {"rate": rate, "outstanding": outstanding, "build": build, "stage": stage, "verdict": verdict}
    return {"kind": "fleet", **fields, "loads": load_fields(loads)}


def encode_peer_message(message: Any) -> bytes:
    """Return a message's bytes."""
    return peer_messages.encode(message)


def decode_peer_message(data: bytes) -> Any:
    """Return the message, or None if the bytes are malformed."""
    return peer_messages.decode(data)


def endpoint_name_hash(name: str) -> int:
    """Return the number that represents an endpoint's name in peer messages."""
    return peer_messages.name_hash(name)


def decode_snapshot(data: bytes) -> list[Any]:
    """Return a snapshot's items, with the ages that they had when the snapshot was written."""
    envelope = decode_snapshot_envelope(data)
    return snapshot.decode_snapshot(data, envelope["deployment"], envelope["at"], 1.0).items


def encode_snapshot(items: list[Any], envelope: dict[str, Any]) -> bytes:
    """Return a snapshot's bytes from its items and its envelope."""
    origin = snapshot.SnapshotOrigin(*(envelope[name] for name in ("deployment", "name", "life")))
    boot = snapshot.BootTime(envelope["boot"], envelope["since_boot"])
    return snapshot.encode_snapshot(items, origin, envelope["at"], envelope["closed"], boot)


def state_item(fields: dict[str, Any]) -> Any:
    """Return an item of a snapshot from its stored form."""
    return msgspec.convert(fields, state_items.StateItem, strict=False)


def decode_frames(data: bytes) -> list[Any]:
    """Return the messages that a receiver of inherited state decodes from its source's bytes."""
    return protocol.Conversation(protocol.Hello(name="receiver", deployment="before")).feed(data)


def encode_frame(kind: int, body: Any) -> bytes:
    """Return a frame of a state transfer between instances."""
    return protocol.encode_frame(kind, body)


def encode_ledger(name: bytes, rows: list[dict[str, Any]]) -> bytes:
    """Return a ledger's bytes from its entries, given as in data/before/ledgers/all-kinds.json."""
    book = ledger_entries.LedgerContents(name)
    parts = [ledger_entries.encode_header(name)]
    for row in rows:
        kind = ledger_entries.EntryKind(row["kind"])
        entry = ledger_entries.LedgerEntry(kind, bytes.fromhex(row["name"]), row["at"], row["ending"])
        parts.append(book.add(entry))
    return b"".join(parts)


def decode_ledger(data: bytes) -> dict[str, Any]:
    """Return a ledger's name, number of entries, states by name and number of torn bytes at its end."""
    book = ledger_entries.decode_ledger(data)
    states = {name.hex(): book.state_of(name) for name in book.entries}
    return {"name": book.name.hex(), "entries": book.count, "states": states, "torn": book.torn_bytes}


def ledger_names(exchange: Any) -> list[str]:
    """Return the names under which a ledger records a request."""
    return [name.hex() for name in identity.request_names(exchange)]


def new_idempotency_key(ledger: bytes, recorded: str) -> str:
    """Return the idempotency key that replaces a recorded key in a replay."""
    return identity.new_idempotency_key(ledger, recorded).decode()


def encode_recording(recording: dict[str, Any]) -> bytes:
    """Return a recording's bytes from its events, given as in data/before/recordings/events.json."""
    redaction_options = recording["hiding"]
    values = [redaction_options[name] for name in ("bodies", "body_bytes", "hide_key", "hide_tenant")]
    redaction = Redaction(*values, redaction_options["secret"].encode())
    blocks = [packet_writer.file_header(recording["instance"])]
    writers = []
    for number, connection in enumerate(recording["connections"], 1):
        client, server = (tuple(end) for end in connection["ends"])
        writers.append(
            packet_writer.ConnectionWriter((client, server), number, connection["side"], redaction)
        )
    for event in recording["events"]:
        append_event(blocks, writers[event["connection"]], event)
    return b"".join(blocks)


def append_event(blocks: list[bytes], writer: Any, event: dict[str, Any]) -> None:
    """Append the blocks of an event of a recording."""
    at = event["at"]
    match event["what"]:
        case "opened":
            writer.write_open(blocks, at)
        case "data":
            writer.write_data(blocks, event["from"], at, event["bytes"].encode("latin-1"), event["comment"])
        case "lost":
            writer.write_gap(blocks, tuple(event["lost"]), at)
        case "closed" | "reset":
            writer.write_close(blocks, event["from"], at, event["what"] == "reset", event["comment"])


def read_operators_sections(path: Path) -> list[dict[str, Any]]:
    """Return all sections of an operators' file with all their fields, including default values."""
    file = operators_file.read_operators_file(path)
    return [
        {"section": section.section, "fields": msgspec.to_builtins(section)} for section, _ in file.sections
    ]


def read_keys(folder: Path) -> dict[str, Any]:
    """Return the name of the instance and the revoked serial numbers in a folder of keys."""
    keys = key_folder.read_keys(folder)
    return {"name": keys.name, "revoked": sorted(keys.revoked)}


# Readers of stored data, which do not use the program.


def read_stored_json(name: str) -> Any:
    """Return the contents of a JSON file in data/before."""
    return json.loads((STORED_DATA / name).read_text())


def to_json_values(value: Any) -> Any:
    """Convert a value to the types of JSON: keys to strings, tuples to lists."""
    return json.loads(msgspec.json.encode(value))


def decode_snapshot_envelope(data: bytes) -> dict[str, Any]:
    """Return the contents of a snapshot file: magic bytes, length, checksum and a msgpack value."""
    magic, size, checksum = struct.unpack_from("<8sII", data)
    body = data[16:]
    assert (magic, size, checksum) == (b"gbknown\x01", len(body), crc32(body)), data[:16]
    return msgspec.msgpack.decode(body)


def snapshot_names(envelope: dict[str, Any]) -> dict[str, Any]:
    """Return the parts of a snapshot that do not depend on times.

    These are the names of the envelope's values, of the items' fields by kind, of ratios, request classes and
    endpoints, and the release statuses.
    """
    items = envelope["part"]["items"]
    keys = {
        kind: sorted({key for item in items if item["type"] == kind for key in item}) for kind in ITEM_KINDS
    }
    ratios = [item["ratio"] for item in items if item["type"] == "past"]
    classes = sorted(item["workload"] for item in items if item["type"] == "took")
    endpoints = sorted(item["node"] for item in items if item["type"] == "node")
    statuses = [item for item in items if item["type"] == "news"]
    return {
        "values": list(envelope),
        "deployment": envelope["deployment"],
        "closed": envelope["closed"],
        "items": {kind: names for kind, names in keys.items() if names},
        "ratios": ratios,
        "request_classes": classes,
        "endpoints": endpoints,
        "news": [[status[name] for name in ("build", "stage", "phase", "cap")] for status in statuses],
    }


def packet_comments(data: bytes) -> list[str]:
    """Return the sorted comments of the packets in a recording."""
    comments, at = [], 0
    while at < len(data):
        kind, size = struct.unpack_from("<II", data, at)
        if kind == 6:
            [captured_size] = struct.unpack_from("<I", data, at + 20)
            options = at + 28 + captured_size + -captured_size % 4
            if options < at + size - 4:
                code, length = struct.unpack_from("<HH", data, options)
                assert code == 1, code
                comments.append(data[options + 4 : options + 4 + length].decode())
        at += size
    return sorted(comments)


class CommandResult(NamedTuple):
    """The exit status, standard output and standard error of a command line."""

    status: int
    output: str
    errors: str


@functools.cache
def command_results() -> dict[str, CommandResult]:
    """Run all command lines of commands.json on a copy of data/before and return their results by title."""
    rows = read_stored_json("commands.json")
    with tempfile.TemporaryDirectory() as name:
        folder = copy_of_data(Path(name))
        commands = json.dumps([row["command"] for row in rows])
        program = [sys.executable, "-c", RUN_COMMANDS]
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        completed = subprocess.run(
            program,
            input=commands,
            cwd=folder,
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
            timeout=TIMEOUT_S,
        )
        errors = [path.read_text() for path in sorted(folder.glob("*.errors"))]
        assert completed.returncode == 0, errors
        statuses = list(map(int, completed.stdout.split()))
        assert len(statuses) == len(rows), errors
        return {
            row["title"]: read_result(folder, number, statuses[number]) for number, row in enumerate(rows)
        }


def read_result(folder: Path, number: int, status: int) -> CommandResult:
    """Return the result of a command line from the output files of its number."""
    output = (folder / f"{number}.output").read_text()
    return CommandResult(status, output, (folder / f"{number}.errors").read_text())


def copy_of_data(folder: Path) -> Path:
    """Return a writable copy of data/before, whose key files have the mode that private files need."""
    copy = folder / "before"
    shutil.copytree(STORED_DATA, copy)
    for path in copy.rglob("*.key"):
        path.chmod(0o600)
    return copy


def without_times(value: Any) -> Any:
    """Return the value without measured times; only the names of the quantiles remain."""
    if not isinstance(value, dict):
        return value
    return {
        name: sorted(part) if name in ("latency_ms", "late_ms") else without_times(part)
        for name, part in value.items()
    }


def find_numbers(text: str) -> list[str]:
    """Return all numbers in a human-readable text, in their order."""
    return re.findall(r"(?<![\w.])-?\d+(?:\.\d+)?(?![\w.])", text)
