"""The commands `gatebank keys ...` and `gatebank learn ...` run as processes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from gatebank.keys.authority import make_authority
from gatebank.keys.folder import read_keys
from gatebank.state_transfer import protocol
from tests.support.program import run_gatebank
from tests.support.socket_scenarios import SocketScenario
from tests.support.stored_data_access import STORED_DATA, read_stored_json
from tests.support.transfer_fixtures import make_health
from tests.support.transfer_testbed import make_keys


async def make_documented_keys(path: Path) -> None:
    """Create an authority `ca` and key folders `k0` (for m0) and `k1` (for me), as in docs/keys.md."""
    for arguments in (
        ("authority", "ca", "ours"),
        ("instance", "ca", "m0", "k0"),
        ("instance", "ca", "me", "k1"),
    ):
        command, authority, name, *folders = arguments
        paths = [str(path / folder) for folder in folders]
        status, _, errors = await run_gatebank("keys", command, str(path / authority), name, *paths)
        assert status == 0, errors


async def test_documented_keys_commands_work(tmp_path: Path) -> None:
    """The commands of docs/keys.md create, show and check an authority and the keys of two instances.

    An authority that already exists is refused with one line on standard error and status 2.
    """
    await make_documented_keys(tmp_path)
    status, output, _ = await run_gatebank("keys", "show", str(tmp_path / "k0"))
    assert status == 0
    assert "authority ours" in output
    assert "instance m0, of ours" in output
    status, output, _ = await run_gatebank("keys", "check", str(tmp_path / "k0"))
    assert status == 0
    assert "m0" in output
    status, _, errors = await run_gatebank("keys", "authority", str(tmp_path / "ca"), "again")
    assert status == 2
    assert "already exists" in errors
    assert errors.count("\n") == 1


@pytest.fixture
async def testbed(tmp_path: Path) -> AsyncIterator[SocketScenario]:
    """Run an instance that is a source over TLS and keeps snapshots in `known`, and send 20 reads to it."""
    await make_documented_keys(tmp_path)
    testbed = SocketScenario()
    try:
        await testbed.world.add_endpoint("a", 41)
        await testbed.world.start()
        operators_file = tmp_path / "o.star"
        operators_file.write_text(
            f'keys(folder = "k0")\nlearning(listen = "{source_address(testbed)}", may_learn = ["me"],'
            ' snapshots = "known", snapshot_every = 0.2)'
        )
        await testbed.do_instances(0, "1", "--orders", str(operators_file))
        await testbed.do_burst(0, "20", "read", "value")
        yield testbed
    finally:
        for instance in testbed.instances:
            await instance.stop()
        await testbed.world.stop()
        testbed.folder.cleanup()


def source_address(testbed: SocketScenario) -> str:
    """Return the address and port at which the instance accepts receivers of state transfer."""
    return f"{testbed.address(0)}:7950"


async def test_learn_show_prints_items_of_a_running_instance(testbed: SocketScenario, tmp_path: Path) -> None:
    """The commands of docs/learning-oncall.md work.

    They are refused without TLS, or with keys whose name is not permitted.
    """
    address = source_address(testbed)
    configuration = ("--configuration", str(testbed.write_configuration(0, 1)))
    allowed = ("--keys", str(tmp_path / "k1"), *configuration)
    status, output, errors = await run_gatebank("learn", "show", address, *allowed)
    assert status == 0, errors
    assert "node a build 41" in output
    assert "weighs" in output

    status, output, _ = await run_gatebank("learn", "show", address, "--json", *allowed)
    assert status == 0
    rows = [json.loads(line) for line in output.splitlines()]
    endpoint = next(row for row in rows if row["what"] == "node")
    assert endpoint["seen"] == 20
    assert endpoint["by"] == "marshal-0"
    assert 0 < endpoint["weight"] <= 1
    assert not any(row["what"] in ("sent", "took") for row in rows)

    status, _, errors = await run_gatebank("learn", "show", address, *configuration)
    assert status == 2
    assert errors.count("\n") == 1, errors
    status, _, errors = await run_gatebank(
        "learn", "show", address, "--keys", str(tmp_path / "k0"), *configuration
    )
    assert status == 2
    assert "may_learn" in errors


async def test_learn_show_and_diff_read_snapshots(testbed: SocketScenario, tmp_path: Path) -> None:
    """`learn show` and `learn diff` read snapshots; a truncated file is refused with the reason."""
    known = tmp_path / "known"
    # A window lasts 2 s, and the snapshot with its items may be late on a busy machine.
    for _ in range(20):
        await testbed.do_burst(0, "5", "read", "value")
        await asyncio.sleep(0.4)
        status, output, errors = await run_gatebank("learn", "show", str(known))
        if "rows of the last window" in output:
            break
    assert status == 0, errors
    assert "rows of the last window" in output
    status, output, _ = await run_gatebank("learn", "diff", str(known), str(known / "known-0"))
    assert status == 0, output
    (tmp_path / "half").write_bytes((known / "known-0").read_bytes()[:50])
    status, _, errors = await run_gatebank("learn", "show", str(tmp_path / "half"))
    assert status == 2
    assert "truncated" in errors


class BusySource:
    """A source that is busy for two connections and sends an empty state on the third."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        hello = protocol.Conversation(protocol.Hello(name="source", deployment="")).hello()
        await reader.read(1024)
        if self.connections < 3:
            refusal = protocol.Refusal(retry_after=0.01)
            reply = protocol.encode_frame(protocol.FrameKind.REFUSE, refusal)
        else:
            reply = protocol.encode_frame(protocol.FrameKind.END, protocol.End())
        writer.write(hello + reply)
        await writer.drain()
        writer.close()


def listening_at(server: asyncio.Server) -> str:
    """Return the address and port of a server."""
    return "{}:{}".format(*server.sockets[0].getsockname())


async def test_learn_show_retries_after_the_refusal_of_a_busy_source() -> None:
    """`learn show` retries after the time that a busy source's refusal states, until the source serves it."""
    source = BusySource()
    server = await asyncio.start_server(source.serve, "127.0.0.1", 0)
    try:
        status, _, errors = await run_gatebank("learn", "show", listening_at(server))
        assert (status, errors, source.connections) == (0, "", 3)
    finally:
        server.close()


async def test_learn_show_retries_at_a_busy_source_over_tls(tmp_path: Path) -> None:
    """With a busy source over TLS, every retry performs its own handshake, and the last one is served."""
    authority = make_authority("ours")
    for name in ("source", "show"):
        make_keys(tmp_path / name, authority, name)
    source = BusySource()
    context = read_keys(tmp_path / "source").server
    server = await asyncio.start_server(source.serve, "127.0.0.1", 0, ssl=context)
    try:
        keys = str(tmp_path / "show")
        status, _, errors = await run_gatebank("learn", "show", listening_at(server), "--keys", keys)
        assert (status, errors, source.connections) == (0, "", 3)
    finally:
        server.close()


async def test_learn_commands_print_test_sums_as_json() -> None:
    """`learn show --json` and `learn diff --json` print the sums of a sequential test from a snapshot.

    Each item is one line with its stored fields. The numbers of the ratios are strings, because JSON keys are
    strings.
    """
    folder = str(STORED_DATA / "snapshots" / "all-kinds")
    [contents] = [row for row in read_stored_json("snapshots/contents.json") if "all-kinds" in row["file"]]
    expected = [{"what": item["type"]} | item for item in contents["items"]]
    for item in expected:
        del item["type"]

    status, output, errors = await run_gatebank("learn", "show", folder, "--json")
    assert (status, errors) == (0, "")
    shown = [json.loads(line) for line in output.splitlines()]
    weights = [item.pop("weight") for item in shown]
    assert sorted(map(json.dumps, shown)) == sorted(map(json.dumps, expected))
    weighted = {item["what"] for item, weight in zip(shown, weights, strict=True) if weight is not None}
    assert weighted == {"node", "times", "past", "sums"}

    other = str(STORED_DATA / "snapshots" / "empty")
    status, output, errors = await run_gatebank("learn", "diff", folder, other, "--json")
    assert (status, errors) == (0, "")
    rows = [json.loads(line) for line in output.splitlines()]
    assert all(row["b"] is None for row in rows)
    sums = [row["a"]["ratios"] for row in rows if row["a"]["what"] == "sums"]
    assert sums == [item["ratios"] for item in expected if item["what"] == "sums"]
    assert sums[0] == {"0": [-1.25, 40], "4": [0.5, 3], "11": [1000000.0, 1000000000]}


async def test_learn_show_refuses_out_of_range_items_of_a_source() -> None:
    """If a source sends a value out of range, `learn show` ends with one line and status 2."""
    item = msgspec.to_builtins(make_health()) | {"faults": 7.0}
    body = msgspec.msgpack.encode({"items": [item]})
    frame = (len(body) + 1).to_bytes(4, "big") + bytes([protocol.FrameKind.PART]) + body

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        hello = protocol.Conversation(protocol.Hello(name="source", deployment="")).hello()
        await reader.read(1024)
        writer.write(hello + frame)
        await writer.drain()
        await reader.read()
        writer.close()

    source = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = listening_at(source)
    try:
        status, output, errors = await run_gatebank("learn", "show", address)
        assert (status, output) == (2, "")
        assert errors == f"gatebank: {address}: Expected `float` <= 1.0 - at `$.faults`\n"
    finally:
        source.close()


async def test_learn_show_reports_a_connection_closed_during_the_handshake(tmp_path: Path) -> None:
    """The error message says that the source closed the connection during the handshake."""
    make_keys(tmp_path / "show", make_authority("ours"), "show")

    async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(4096)
        writer.close()

    source = await asyncio.start_server(end, "127.0.0.1", 0)
    address = listening_at(source)
    try:
        status, _, errors = await run_gatebank("learn", "show", address, "--keys", str(tmp_path / "show"))
        assert status == 2
        reason = "connection closed during the TLS handshake; is this name among its may_learn?"
        assert errors == f"gatebank: {address}: {reason}\n"
    finally:
        source.close()
