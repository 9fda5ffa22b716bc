"""`gatebank keys ...` and `gatebank learn ...` as their users run them."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import msgspec

from gatebank.keys.authority import make_authority
from gatebank.keys.folder import read_keys
from gatebank.state_transfer import protocol
from tests.support.learners import health
from tests.support.learning_stand import make_keys
from tests.support.program import run
from tests.support.rehearsal import Rehearsal
from tests.support.stand import Stand
from tests.support.stored_data_access import BEFORE, stored


async def test_keys_and_learn_as_documented() -> None:
    """Keys and learn.

    As docs/keys.md and docs/learning-oncall.md have it: an authority, two instances, a marshal that
    teaches over TLS and keeps snapshots, shown and compared; what is wrong is one line and status 2.
    """
    stand = Stand()
    one = Rehearsal()
    path = one.path
    try:
        await stand.world.add("a", 41)
        await stand.world.start()
        for words in (
            ("authority", "ca", "ours"),
            ("instance", "ca", "m0", "k0"),
            ("instance", "ca", "me", "k1"),
        ):
            status, out, err = await run(
                "keys", words[0], str(path / words[1]), *words[2:3], *map(str, (path / w for w in words[3:]))
            )
            assert status == 0, err
        status, out, _ = await run("keys", "show", str(path / "k0"))
        assert "authority ours" in out and "instance m0, of ours" in out, out
        status, out, _ = await run("keys", "check", str(path / "k0"))
        assert status == 0 and "m0" in out
        status, _, err = await run("keys", "authority", str(path / "ca"), "again")
        assert status == 2 and "is there already" in err and err.count("\n") == 1, err
        where = f"{stand.address(0)}:7950"
        orders = path / "o.star"
        orders.write_text(
            f'keys(folder = "k0")\nlearning(listen = "{where}", may_learn = ["me"], snapshots = "known",'
            " snapshot_every = 0.2)"
        )
        await stand.do_marshals(0, "1", "--orders", str(orders))
        await stand.do_burst(0, "20", "read", "value")
        configuration = str(path / "c.json")
        Path(configuration).write_text(stand.configuration(0, 1).read_text())
        link = ("--keys", str(path / "k1"), "--configuration", configuration)
        status, out, err = await run("learn", "show", where, *link)
        assert status == 0 and "node a build 41" in out and "weighs" in out, (out, err)
        status, out, _ = await run("learn", "show", where, "--json", *link)
        rows = [json.loads(line) for line in out.splitlines()]
        health = next(row for row in rows if row["what"] == "node")
        assert health["seen"] == 20 and health["by"] == "marshal-0" and 0 < health["weight"] <= 1, health
        assert not any(row["what"] in ("sent", "took") for row in rows)
        status, _, err = await run("learn", "show", where, "--configuration", configuration)
        assert status == 2 and err.count("\n") == 1, err
        status, _, err = await run(
            "learn", "show", where, "--keys", str(path / "k0"), "--configuration", configuration
        )
        assert status == 2 and "may_learn" in err, err
        for _ in range(20):  # a window is 2 s, and this machine may be busy
            await stand.do_burst(0, "5", "read", "value")
            await asyncio.sleep(0.4)
            status, out, err = await run("learn", "show", str(path / "known"))
            if "rows of the last window" in out:
                break
        assert status == 0 and "rows of the last window" in out, (out, err)
        status, out, _ = await run("learn", "diff", str(path / "known"), str(path / "known" / "known-0"))
        assert status == 0, out
        (path / "half").write_bytes((path / "known" / "known-0").read_bytes()[:50])
        status, _, err = await run("learn", "show", str(path / "half"))
        assert status == 2 and "torn" in err, err
    finally:
        for marshal in stand.marshals:
            marshal.process.kill()
        await stand.world.stop()
        stand.folder.cleanup()
        one.folder.cleanup()


async def test_learn_show_comes_again_to_a_busy_donor() -> None:
    """Busy donor.

    A donor that is busy says when to come again: `learn show` does so, and is taught.
    """
    came = 0

    async def teach(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal came
        came += 1
        hello = protocol.Conversation(protocol.Hello(name="donor", deployment="")).hello()
        await reader.read(1024)
        if came < 3:
            writer.write(
                hello + protocol.encode_frame(protocol.FrameKind.REFUSE, protocol.Refusal(retry_after=0.01))
            )
        else:
            writer.write(hello + protocol.encode_frame(protocol.FrameKind.END, protocol.End()))
        await writer.drain()
        writer.close()

    donor = await asyncio.start_server(teach, "127.0.0.1", 0)
    where = "{}:{}".format(*donor.sockets[0].getsockname())
    try:
        status, _, err = await run("learn", "show", where)
        assert (status, err, came) == (0, "", 3), (status, err, came)
    finally:
        donor.close()


async def test_learn_commands_print_sums_as_json() -> None:
    """`learn show --json` and `learn diff --json` of a snapshot with sums of a sequential test.

    Every item is a line with its stored fields; the sums' ratio numbers are strings, as JSON has keys.
    """
    folder = str(BEFORE / "snapshots" / "all-kinds")
    [contents] = [row for row in stored("snapshots/contents.json") if "all-kinds" in row["file"]]
    expected = [{"what": item["type"]} | item for item in contents["items"]]
    for item in expected:
        del item["type"]

    status, output, errors = await run("learn", "show", folder, "--json")
    assert (status, errors) == (0, "")
    shown = [json.loads(line) for line in output.splitlines()]
    weights = [item.pop("weight") for item in shown]
    assert sorted(map(json.dumps, shown)) == sorted(map(json.dumps, expected))
    weighed = {item["what"] for item, weight in zip(shown, weights, strict=True) if weight is not None}
    assert weighed == {"node", "times", "past", "sums"}

    other = str(BEFORE / "snapshots" / "empty")
    status, output, errors = await run("learn", "diff", folder, other, "--json")
    assert (status, errors) == (0, "")
    rows = [json.loads(line) for line in output.splitlines()]
    assert all(row["b"] is None for row in rows)
    sums = [row["a"]["ratios"] for row in rows if row["a"]["what"] == "sums"]
    assert sums == [item["ratios"] for item in expected if item["what"] == "sums"]
    assert sums[0] == {"0": [-1.25, 40], "4": [0.5, 3], "11": [1000000.0, 1000000000]}


async def test_learn_show_asks_a_busy_source_again_over_tls(tmp_path: Path) -> None:
    """A busy source over TLS: each connection does a handshake of its own, and the last one is served."""
    authority = make_authority("ours")
    for name in ("source", "show"):
        make_keys(tmp_path / name, authority, name)
    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        hello = protocol.Conversation(protocol.Hello(name="source", deployment="")).hello()
        await reader.read(1024)
        if connections < 3:
            refusal = protocol.Refusal(retry_after=0.01)
            writer.write(hello + protocol.encode_frame(protocol.FrameKind.REFUSE, refusal))
        else:
            writer.write(hello + protocol.encode_frame(protocol.FrameKind.END, protocol.End()))
        await writer.drain()
        writer.close()

    context = read_keys(tmp_path / "source").server
    source = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=context)
    where = "{}:{}".format(*source.sockets[0].getsockname())
    try:
        status, _, errors = await run("learn", "show", where, "--keys", str(tmp_path / "show"))
        assert (status, errors, connections) == (0, "", 3)
    finally:
        source.close()


async def test_learn_show_of_a_source_with_impossible_items_is_one_line() -> None:
    """A source that sends a figure out of range ends `learn show` with one line and status 2."""
    item = msgspec.to_builtins(health()) | {"faults": 7.0}
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
    where = "{}:{}".format(*source.sockets[0].getsockname())
    try:
        status, output, errors = await run("learn", "show", where)
        assert (status, output) == (2, "")
        assert errors == f"gatebank: {where}: Expected `float` <= 1.0 - at `$.faults`\n"
    finally:
        source.close()


async def test_learn_show_says_that_a_handshake_was_ended(tmp_path: Path) -> None:
    """A source that ends the connection amid the handshake: the line says so."""
    make_keys(tmp_path / "show", make_authority("ours"), "show")

    async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(4096)
        writer.close()

    source = await asyncio.start_server(end, "127.0.0.1", 0)
    where = "{}:{}".format(*source.sockets[0].getsockname())
    try:
        status, _, errors = await run("learn", "show", where, "--keys", str(tmp_path / "show"))
        assert status == 2
        reason = "it ended amid the handshake; is this name among its may_learn?"
        assert errors == f"gatebank: {where}: {reason}\n"
    finally:
        source.close()
