"""`gatebank keys ...` and `gatebank learn ...` as their users run them."""

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
    """Makes an authority `ca` and keys `k0` of instance m0, `k1` of instance me, as docs/keys.md has it."""
    for words in (
        ("authority", "ca", "ours"),
        ("instance", "ca", "m0", "k0"),
        ("instance", "ca", "me", "k1"),
    ):
        command, authority, name, *folders = words
        paths = [str(path / folder) for folder in folders]
        status, _, errors = await run_gatebank("keys", command, str(path / authority), name, *paths)
        assert status == 0, errors


async def test_keys_as_documented(tmp_path: Path) -> None:
    """As docs/keys.md has it: an authority and two instances; what is wrong is one line and status 2."""
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
    assert "is there already" in errors
    assert errors.count("\n") == 1


@pytest.fixture
async def stand(tmp_path: Path) -> AsyncIterator[SocketScenario]:
    """An instance that is a source over TLS and keeps snapshots in `known`; it has served 20 reads."""
    await make_documented_keys(tmp_path)
    stand = SocketScenario()
    try:
        await stand.world.add_endpoint("a", 41)
        await stand.world.start()
        operators_file = tmp_path / "o.star"
        operators_file.write_text(
            f'keys(folder = "k0")\nlearning(listen = "{source_address(stand)}", may_learn = ["me"],'
            ' snapshots = "known", snapshot_every = 0.2)'
        )
        await stand.do_instances(0, "1", "--orders", str(operators_file))
        await stand.do_burst(0, "20", "read", "value")
        yield stand
    finally:
        for instance in stand.instances:
            instance.process.kill()
            await instance.process.wait()
            await instance.log_reader
        await stand.world.stop()
        stand.folder.cleanup()


def source_address(stand: SocketScenario) -> str:
    """Returns where the stand's instance is a source."""
    return f"{stand.address(0)}:7950"


async def test_learn_show_of_an_instance(stand: SocketScenario, tmp_path: Path) -> None:
    """As docs/learning-oncall.md has it; without TLS, and with keys that may not ask, it is refused."""
    where = source_address(stand)
    configuration = ("--configuration", str(stand.write_configuration(0, 1)))
    allowed = ("--keys", str(tmp_path / "k1"), *configuration)
    status, output, errors = await run_gatebank("learn", "show", where, *allowed)
    assert status == 0, errors
    assert "node a build 41" in output
    assert "weighs" in output

    status, output, _ = await run_gatebank("learn", "show", where, "--json", *allowed)
    assert status == 0
    rows = [json.loads(line) for line in output.splitlines()]
    endpoint = next(row for row in rows if row["what"] == "node")
    assert endpoint["seen"] == 20
    assert endpoint["by"] == "marshal-0"
    assert 0 < endpoint["weight"] <= 1
    assert not any(row["what"] in ("sent", "took") for row in rows)

    status, _, errors = await run_gatebank("learn", "show", where, *configuration)
    assert status == 2
    assert errors.count("\n") == 1, errors
    status, _, errors = await run_gatebank(
        "learn", "show", where, "--keys", str(tmp_path / "k0"), *configuration
    )
    assert status == 2
    assert "may_learn" in errors


async def test_learn_show_and_diff_of_snapshots(stand: SocketScenario, tmp_path: Path) -> None:
    """An instance's snapshots are shown and compared; of a file cut short the reason is told."""
    known = tmp_path / "known"
    for _ in range(20):  # a window is 2 s, and this machine may be busy
        await stand.do_burst(0, "5", "read", "value")
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
        """Serves one connection."""
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
    """Returns the address and port of a server."""
    return "{}:{}".format(*server.sockets[0].getsockname())


async def test_learn_show_comes_again_to_a_busy_donor() -> None:
    """A source that is busy says when to come again: `learn show` does so, and is served."""
    source = BusySource()
    server = await asyncio.start_server(source.serve, "127.0.0.1", 0)
    try:
        status, _, errors = await run_gatebank("learn", "show", listening_at(server))
        assert (status, errors, source.connections) == (0, "", 3)
    finally:
        server.close()


async def test_learn_show_asks_a_busy_source_again_over_tls(tmp_path: Path) -> None:
    """A busy source over TLS: each connection does a handshake of its own, and the last one is served."""
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


async def test_learn_commands_print_sums_as_json() -> None:
    """`learn show --json` and `learn diff --json` of a snapshot with sums of a sequential test.

    Every item is a line with its stored fields; the sums' ratio numbers are strings, as JSON has keys.
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
    weighed = {item["what"] for item, weight in zip(shown, weights, strict=True) if weight is not None}
    assert weighed == {"node", "times", "past", "sums"}

    other = str(STORED_DATA / "snapshots" / "empty")
    status, output, errors = await run_gatebank("learn", "diff", folder, other, "--json")
    assert (status, errors) == (0, "")
    rows = [json.loads(line) for line in output.splitlines()]
    assert all(row["b"] is None for row in rows)
    sums = [row["a"]["ratios"] for row in rows if row["a"]["what"] == "sums"]
    assert sums == [item["ratios"] for item in expected if item["what"] == "sums"]
    assert sums[0] == {"0": [-1.25, 40], "4": [0.5, 3], "11": [1000000.0, 1000000000]}


async def test_learn_show_of_a_source_with_impossible_items_is_one_line() -> None:
    """A source that sends a figure out of range ends `learn show` with one line and status 2."""
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
    where = listening_at(source)
    try:
        status, output, errors = await run_gatebank("learn", "show", where)
        assert (status, output) == (2, "")
        assert errors == f"gatebank: {where}: Expected `float` <= 1.0 - at `$.faults`\n"
    finally:
        source.close()


async def test_learn_show_says_that_a_handshake_was_ended(tmp_path: Path) -> None:
    """The error message says that the source closed the connection during the handshake."""
    make_keys(tmp_path / "show", make_authority("ours"), "show")

    async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(4096)
        writer.close()

    source = await asyncio.start_server(end, "127.0.0.1", 0)
    where = listening_at(source)
    try:
        status, _, errors = await run_gatebank("learn", "show", where, "--keys", str(tmp_path / "show"))
        assert status == 2
        reason = "connection closed during the TLS handshake; is this name among its may_learn?"
        assert errors == f"gatebank: {where}: {reason}\n"
    finally:
        source.close()
