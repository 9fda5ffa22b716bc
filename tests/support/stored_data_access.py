"""The program's functions as tests/stored_data.py uses them, and reading of data/before without the program.

The program is called in the adapters below alone, by position where that is possible. If a function, a class
or an attribute gets another name, only these change: what the tests compare is bytes and plain JSON.
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
from gatebank.state_transfer import items as knowledge
from gatebank.state_transfer import protocol, snapshot

ROOT = Path(__file__).parents[2]
STORED_DATA = ROOT / "tests" / "data" / "before"
KINDS = ("news", "node", "past", "sent", "took")  # of items that a short run surely leaves
TIMEOUT_S = 60.0  # s for all commands together
# Runs `python -m gatebank` for each command line in one process: importing libraries takes most of the time.
RUN_COMMANDS = """
import json, os, runpy, sys, traceback
standard_output = os.dup(1)
for number, words in enumerate(json.load(sys.stdin)):
    for descriptor, name in ((1, "output"), (2, "errors")):
        os.dup2(os.open(f"{number}.{name}", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), descriptor)
    sys.argv = ["gatebank", *words]
    status = 0
    try:
        runpy.run_module("gatebank", run_name="__main__", alter_sys=True)
    except SystemExit as ended:
        status = ended.code or 0
    except Exception:
        traceback.print_exc()
        status = 1
    sys.stdout.flush()
    sys.stderr.flush()
    os.write(standard_output, b"%d\\n" % status)
"""

# Adapters: the only functions that call the program.


def peer_message(kind: str, fields: dict[str, Any]) -> Any:
    """A message between instances from its plain fields.

    Args:
        kind: "step", "totals" or "fleet".
        fields: as data/before/peer_messages.json has them.
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


def load_rows(loads: dict[Any, Any]) -> list[dict[str, Any]]:
    """The rows of what a sender does, as plain fields."""
    names = ("request_class", "machine_kind", "side", "answers", "answer_time", "lost_time")
    return [dict(zip(names, (*key, *figures), strict=True)) for key, figures in loads.items()]


def peer_fields(message: Any) -> dict[str, Any]:
    """The plain fields of a decoded message: the reverse of `peer_message`."""
    values = astuple(message)
    if isinstance(message, peer_messages.LlrDelta):
        names = ("incarnation", "build", "stage", "ratio", "level", "outcomes", "endpoint_mark")
        return {"kind": "step", **dict(zip(names, values, strict=True))}
    if isinstance(message, peer_messages.InstanceReport):
        names = ("incarnation", "build", "stage", "rate", "outstanding")
        *single, loads, sums = values
        rows = [{"ratio": ratio, "sum": each[0], "outcomes": each[1]} for ratio, each in sums.items()]
        fields = dict(zip(names, single, strict=True))
        return {"kind": "totals", **fields, "loads": load_rows(loads), "sums": rows}
    rate, outstanding, loads, build, stage, verdict = values
    fields = {"rate": rate, "outstanding": outstanding, "build": build, "stage": stage, "verdict": verdict}
    return {"kind": "fleet", **fields, "loads": load_rows(loads)}


def encode_peer_message(message: Any) -> bytes:
    """A message's bytes."""
    return peer_messages.encode(message)


def decode_peer_message(data: bytes) -> Any:
    """The message, or None where the bytes are malformed."""
    return peer_messages.decode(data)


def endpoint_mark(name: str) -> int:
    """The number that stands for an endpoint's name in peer messages."""
    return peer_messages.name_hash(name)


def read_snapshot(data: bytes) -> list[Any]:
    """A snapshot's items, as old as they were when it was written."""
    envelope = snapshot_envelope(data)
    return snapshot.decode_snapshot(data, envelope["deployment"], envelope["at"], 1.0).items


def write_snapshot(items: list[Any], envelope: dict[str, Any]) -> bytes:
    """A snapshot's bytes from its items and the values around them."""
    origin = snapshot.SnapshotOrigin(*(envelope[name] for name in ("deployment", "name", "life")))
    boot = snapshot.BootTime(envelope["boot"], envelope["since_boot"])
    return snapshot.encode_snapshot(items, origin, envelope["at"], envelope["closed"], boot)


def state_item(fields: dict[str, Any]) -> Any:
    """One item of a snapshot from its stored form."""
    return msgspec.convert(fields, knowledge.StateItem, strict=False)


def read_frames(data: bytes) -> list[Any]:
    """What a receiver of inherited state reads of its source's bytes."""
    return protocol.Conversation(protocol.Hello(name="receiver", deployment="before")).feed(data)


def write_frame(kind: int, body: Any) -> bytes:
    """One frame of a link between instances."""
    return protocol.encode_frame(kind, body)


def write_ledger(name: bytes, rows: list[dict[str, Any]]) -> bytes:
    """A ledger's bytes from its entries, as data/before/ledgers/all-kinds.json has them."""
    book = ledger_entries.LedgerBook(name)
    parts = [ledger_entries.encode_header(name)]
    for row in rows:
        kind = ledger_entries.EntryKind(row["kind"])
        entry = ledger_entries.LedgerEntry(kind, bytes.fromhex(row["name"]), row["at"], row["ending"])
        parts.append(book.add(entry))
    return b"".join(parts)


def read_ledger(data: bytes) -> dict[str, Any]:
    """What a ledger says, as plain values: its name, its states by name, and bytes to be cut off."""
    book = ledger_entries.decode_ledger(data)
    states = {name.hex(): book.state_of(name) for name in book.entries}
    return {"name": book.name.hex(), "entries": book.count, "states": states, "torn": book.torn_bytes}


def ledger_names(exchange: Any) -> list[str]:
    """The names under which a ledger has a recorded request."""
    return [name.hex() for name in identity.request_names(exchange)]


def new_idempotency_key(ledger: bytes, recorded: str) -> str:
    """The key that a replayed request gets instead of its recorded one."""
    return identity.new_idempotency_key(ledger, recorded).decode()


def write_recording(recording: dict[str, Any]) -> bytes:
    """A recording's bytes from its events, as data/before/recordings/events.json has them."""
    hiding = recording["hiding"]
    values = [hiding[name] for name in ("bodies", "body_bytes", "hide_key", "hide_tenant")]
    hidden = Redaction(*values, hiding["secret"].encode())
    blocks = [packet_writer.file_header(recording["instance"])]
    tracks = []
    for number, connection in enumerate(recording["connections"], 1):
        client, server = (tuple(end) for end in connection["ends"])
        tracks.append(packet_writer.ConnectionWriter((client, server), number, connection["side"], hidden))
    for event in recording["events"]:
        write_event(blocks, tracks[event["connection"]], event)
    return b"".join(blocks)


def write_event(blocks: list[bytes], track: Any, event: dict[str, Any]) -> None:
    """One event of a recording, as blocks."""
    at = event["at"]
    match event["what"]:
        case "opened":
            track.write_open(blocks, at)
        case "data":
            track.write_data(blocks, event["from"], at, event["bytes"].encode("latin-1"), event["comment"])
        case "lost":
            track.write_gap(blocks, tuple(event["lost"]), at)
        case "closed" | "reset":
            track.write_close(blocks, event["from"], at, event["what"] == "reset", event["comment"])


def operators_sections(path: Path) -> list[dict[str, Any]]:
    """All sections of an operators' file with every field, those by default too."""
    found = operators_file.read_operators_file(path)
    return [{"section": each.section, "fields": msgspec.to_builtins(each)} for each, _ in found.sections]


def read_keys(folder: Path) -> dict[str, Any]:
    """What is read of a folder of keys: its instance's name and the serial numbers that are revoked."""
    keys = key_folder.read_keys(folder)
    return {"name": keys.name, "revoked": sorted(keys.revoked)}


# Reading of what is stored, without the program.


def read_stored_json(name: str) -> Any:
    """A JSON file of data/before."""
    return json.loads((STORED_DATA / name).read_text())


def to_json_values(value: Any) -> Any:
    """The value as JSON has it: keys are strings, tuples are lists."""
    return json.loads(msgspec.json.encode(value))


def snapshot_envelope(data: bytes) -> dict[str, Any]:
    """The values of a snapshot file, decoded without the program: magic, length, checksum, msgpack."""
    magic, size, checksum = struct.unpack_from("<8sII", data)
    body = data[16:]
    assert (magic, size, checksum) == (b"gbknown\x01", len(body), crc32(body)), data[:16]
    return msgspec.msgpack.decode(body)


def snapshot_names(envelope: dict[str, Any]) -> dict[str, Any]:
    """What does not depend on times in a snapshot: names of values, of items' values by kind, of ratios,
    request classes and endpoints, and the news of the release service."""
    items = envelope["part"]["items"]
    keys = {kind: sorted({key for each in items if each["type"] == kind for key in each}) for kind in KINDS}
    ratios = [each["ratio"] for each in items if each["type"] == "past"]
    classes = sorted(each["workload"] for each in items if each["type"] == "took")
    endpoints = sorted(each["node"] for each in items if each["type"] == "node")
    news = [each for each in items if each["type"] == "news"]
    return {
        "values": list(envelope),
        "deployment": envelope["deployment"],
        "closed": envelope["closed"],
        "items": {kind: found for kind, found in keys.items() if found},
        "ratios": ratios,
        "request_classes": classes,
        "endpoints": endpoints,
        "news": [[each[name] for name in ("build", "stage", "phase", "cap")] for each in news],
    }


def packet_comments(data: bytes) -> list[str]:
    """The comments on the packets of a recording, sorted; the blocks are read without the program."""
    found, at = [], 0
    while at < len(data):
        kind, size = struct.unpack_from("<II", data, at)
        if kind == 6:
            [kept] = struct.unpack_from("<I", data, at + 20)
            options = at + 28 + kept + -kept % 4
            if options < at + size - 4:
                code, length = struct.unpack_from("<HH", data, options)
                assert code == 1, code
                found.append(data[options + 4 : options + 4 + length].decode())
        at += size
    return sorted(found)


class CommandResult(NamedTuple):
    """What a command line printed, and its status."""

    status: int
    output: str
    errors: str


@functools.cache
def command_results() -> dict[str, CommandResult]:
    """Runs all command lines of commands.json on a copy of data/before; what became of each, by title."""
    rows = read_stored_json("commands.json")
    with tempfile.TemporaryDirectory() as name:
        folder = copy_of_data(Path(name))
        commands = json.dumps([row["command"] for row in rows])
        program = [sys.executable, "-c", RUN_COMMANDS]
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        done = subprocess.run(
            program,
            input=commands,
            cwd=folder,
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
            timeout=TIMEOUT_S,
        )
        errors = [path.read_text() for path in sorted(folder.glob("*.errors"))]
        assert done.returncode == 0, errors
        statuses = list(map(int, done.stdout.split()))
        assert len(statuses) == len(rows), errors
        return {row["title"]: result(folder, number, statuses[number]) for number, row in enumerate(rows)}


def result(folder: Path, number: int, status: int) -> CommandResult:
    """What the command line of this number left in its files."""
    output = (folder / f"{number}.output").read_text()
    return CommandResult(status, output, (folder / f"{number}.errors").read_text())


def copy_of_data(folder: Path) -> Path:
    """A copy of data/before that commands may write to, with the modes that private files need."""
    copy = folder / "before"
    shutil.copytree(STORED_DATA, copy)
    for path in copy.rglob("*.key"):
        path.chmod(0o600)
    return copy


def without_times(value: Any) -> Any:
    """The same with measured times left out: only the names of the quantiles stay."""
    if not isinstance(value, dict):
        return value
    return {
        name: sorted(each) if name in ("latency_ms", "late_ms") else without_times(each)
        for name, each in value.items()
    }


def find_numbers(text: str) -> list[str]:
    """All numbers in a text for people, in their order."""
    return re.findall(r"(?<![\w.])-?\d+(?:\.\d+)?(?![\w.])", text)
