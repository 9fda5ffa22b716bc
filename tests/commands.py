"""`gatebank capture ...` as its users run it: what it prints, its status, and how it ends when it must."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import pyarrow.parquet as pq

from gatebank.capture.records import KEYS
from tests.builder import Tape, read
from tests.captures import conversation
from tests.replays import Rehearsal, captured, rehearsal
from tests.sockets import PATIENCE, ROOT, Stand

PIPE = asyncio.subprocess.PIPE


async def gatebank(*words: str, stdin: bytes | None = None) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gatebank", "capture", *words, cwd=ROOT, stdin=PIPE, stdout=PIPE, stderr=PIPE
    )
    out, err = await asyncio.wait_for(process.communicate(stdin), 2 * PATIENCE)
    return process.returncode or 0, out.decode(), err.decode()


async def shown() -> None:
    """A table, JSON with exactly the keys, the same in columns, filters, and standard input."""
    with tempfile.TemporaryDirectory() as folder:
        path, columns = Path(folder) / "a.pcapng", Path(folder) / "a.parquet"
        path.write_bytes(conversation().data())
        status, out, _ = await gatebank("show", "--json", str(path))
        rows = [json.loads(line) for line in out.splitlines()]
        assert status == 0 and len(rows) == 8 and all(tuple(row) == KEYS for row in rows), out
        assert all(re.fullmatch(r"\d+\.\d{9}", row["asked_at"]) for row in rows)
        status, out, err = await gatebank("show", str(path), "--parquet", str(columns))
        assert status == 0 and pq.read_table(columns).to_pylist() == rows, (out, err)
        chosen = ("--workload", "pay", "--side", "node")
        status, out, _ = await gatebank("show", "-", *chosen, stdin=path.read_bytes())
        assert status == 0 and len(out.splitlines()) == 2 and " pay " in out, out
        first = rows[0]["asked_at"]
        for options, wanted in (
            (("--from", first), 8), (("--to", first), 0), (("--ended", "rejected"), 0),
            (("--port", "6379"), 8), (("--port", "1"), 0), (("--customer", "x"), 0),
            (("--id", rows[2]["id"], "--id", rows[3]["id"]), 2),
        ):  # fmt: skip
            _, out, _ = await gatebank("show", "--json", str(path), *options)
            assert len(out.splitlines()) == wanted, (options, out)


async def hostile() -> None:
    """Keys, ids and names that are hostile to a terminal, a table or JSON: no control byte goes out."""
    tape = Tape()
    tape.play("open 1")
    key = rb"\x1b]0;owned\x07\x1b[2J\r\n\xff\xe2\x80\xae"
    words = rf"*4\r\n$5\r\nQ.ASK\r\n$23\r\n{key.decode()}\r\n$2\r\ni\x9b\r\n$13\r\nc=a\nb,t=\x1b[,d=\r\n"
    tape.play(f'raw 1 0 "{words}"')
    tape.play('raw 1 1 "-ERR \\x1b[31m\\r\\n"')
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "hostile\x1b[31m.pcapng"
        path.write_bytes(tape.data())
        for options in ((), ("--json",)):
            status, out, err = await gatebank("show", str(path), *options)
            assert status == 0 and len(out.splitlines()) == (1 if options else 2), out
            assert not re.search("[\x00-\x09\x0b-\x1f\x7f-\x9f\u202e]", out + err), (out, err)
        _, out, err = await gatebank("show", str(path) + "x")
        assert "\x1b" not in err and err.count("\n") == 1, err


async def checked() -> None:
    """Status 0 only if all was read; what was not is named."""
    with tempfile.TemporaryDirectory() as folder:
        path, data = Path(folder) / "a.pcapng", conversation().data()
        path.write_bytes(data)
        status, out, _ = await gatebank("check", str(path), "--json")
        assert status == 0 and json.loads(out)["counts"]["exchanges"] == 8, out
        path.write_bytes(data[:-5])
        status, out, _ = await gatebank("check", str(path))
        assert status == 1 and "not read to its end" in out, out
        path.write_bytes(b"no capture at all")
        for name in ("check", "show"):
            status, out, err = await gatebank(name, str(path))
            assert status == 2 and "no capture file" in err and err.count("\n") == 1, (out, err)
        for wrong in (("--from", "tuesday"), ("--ended", "lost"), ("--side", "left"), ("--port", "99999")):
            status, _, err = await gatebank("show", str(path), *wrong)
            assert status == 2 and err.count("\n") == 1, (wrong, err)


async def cut_and_compared() -> None:
    """A cut holds the chosen exchanges whole; compared with the whole it differs in what was left out."""
    with tempfile.TemporaryDirectory() as folder:
        path, out = Path(folder) / "a.pcapng", Path(folder) / "b.pcapng"
        tape = Tape()
        steps = "open 1; open 2; ask 1 pay 3000; ask 2 read; value 1; value 2 4000; ask 1 read; value 1"
        for step in steps.split("; "):
            tape.play(step)
        for number in range(20):
            for step in (f"ask {number % 2 + 1} pay 50", f"value {number % 2 + 1}", "wait 0.3"):
                tape.play(step)
        tape.play("wait 3")
        tape.play("close 1")
        path.write_bytes(tape.data())
        for whole, wanted in ((), 21), (("--whole-streams",), 23):
            status, said, err = await gatebank("cut", str(path), str(out), "--workload", "pay", *whole)
            assert status == 0 and "21 exchanges" in said, (said, err)
            exchanges, _ = read(out.read_bytes())
            assert len(exchanges) == wanted and all(e.whole for e in exchanges), len(exchanges)
        status, said, _ = await gatebank("cut", str(path), str(out), "--workload", "pay")
        status, said, _ = await gatebank("compare", str(path), str(out), "--json")
        told = json.loads(said)
        assert (told["matched"], told["only_a"], told["only_b"], told["otherwise"]) == (21, 2, 0, 0), told
        other = Tape()
        for step in ["open 1", "ask 1 pay 3000", "busy 1"]:
            other.play(step)
        (Path(folder) / "c.pcapng").write_bytes(other.data())
        _, said, _ = await gatebank("compare", str(path), str(Path(folder) / "c.pcapng"), "--json")
        assert json.loads(said)["changes"] == [{"a": "satisfied", "b": "rejected", "count": 1}], said
        status, _, err = await gatebank("cut", str(path), str(path))
        assert status == 2 and "itself" in err and path.read_bytes() == tape.data()


async def ends_cleanly() -> None:
    """A pipe that closes, and an interrupt: no traceback, one line that says what was done."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.pcapng"
        path.write_bytes(captured("10.1.1.1:6379", number=20_000, every=0.0001))
        command = (sys.executable, "-m", "gatebank", "capture", "show", str(path))
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=PIPE, stderr=PIPE)
        await process.stdout.readline()
        process._transport.get_pipe_transport(1).close()
        err = (await asyncio.wait_for(process.stderr.read(), PATIENCE)).decode()
        assert await process.wait() == 0 and "nobody reads on" in err and err.count("\n") == 1, err
    async with rehearsal() as (one, marshal):
        (one.path / "a.pcapng").write_bytes(captured("10.1.1.1:6379", every=0.2, number=60))
        (one.path / "orders.star").write_text(one.orders)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gatebank", "capture", "replay", str(one.path / "a.pcapng"), "--json",
            "--to", f"{one.host}:6379", "--orders", str(one.path / "orders.star"),
            "--ledger", str(one.path / "ledger"), cwd=ROOT, stdout=PIPE, stderr=PIPE,
        )  # fmt: skip
        while len(marshal.words) < 5:
            await asyncio.sleep(0.01)
        process.send_signal(signal.SIGINT)
        out, err = await asyncio.wait_for(process.communicate(), PATIENCE)
        told = json.loads(out)
        assert process.returncode == 130 and b"Traceback" not in err and told["missing"] == 0, (told, err)
        assert 5 <= told["satisfied"] < 60 and told["stopped"] == "interrupted", told
        status, told, _ = await one.run("--pace", "20")  # the rest goes, what went stays
        assert status == 0 and all(marshal.ran[n] == 1 for n in marshal.ran if n[0] == b"Q.DO"), told
        assert sum(n[0] == b"Q.DO" for n in marshal.ran) == 40
        marshal.ran.clear()


async def recorded() -> None:
    """A marshal told to record: both sides read back with the counts of the nodes; killed outright, its files
    are readable and the next start goes on beside them; its log counts what it recorded."""
    stand = Stand()
    one = Rehearsal()
    try:
        for name in ("a", "b"):
            await stand.world.add(name, 41)
        orders = one.path / "orders.star"
        orders.write_text('recording(folder = "rec", sides = ["customer", "node"])')
        await stand.world.start()
        await stand.do_marshals(0, "1", "--orders", str(orders))
        stand.world.plan.extend(["error", "cut"])
        for workload in ("read", "sign", "pay"):
            await stand.do_call(0, "one", workload, "1000", "70")
            await stand.do_answer(0, "one", "value")
        await asyncio.sleep(0.3)
        stand.marshals[0].process.kill()
        await stand.marshals[0].process.wait()
        files = sorted((one.path / "rec").glob("*.pcapng"))
        data = b"".join(each.read_bytes() for each in files)
        exchanges, reading = read(data)
        sides = Counter(each.side for each in exchanges)
        counts = stand.world.counts
        assert sides == {"customer": 3, "node": counts.received}, (sides, counts, reading.counts())
        assert Counter(e.words[2] for e in exchanges if e.side == "node") == counts.received_by_id
        assert not reading.counts().get("spoilt") and b" shot 1" in data, reading.counts()
        await stand.do_marshals(0, "1", "--orders", str(orders))
        stand.marshals = stand.marshals[1:]
        await stand.do_ask(0, "read", "1000", "value")
        await stand.do_term(0)
        await stand.do_ended(0, "0")
        more = sorted((one.path / "rec").glob("*.pcapng"))
        assert len(more) == len(files) + 1 and more[: len(files)] == files, more
        assert any("recorded=" in line and "recorder=writing" in line for line in stand.marshals[0].lines)
        exchanges, _ = read(more[-1].read_bytes())
        assert len(exchanges) == 2 and all(each.whole for each in exchanges), exchanges
    finally:
        for marshal in stand.marshals:
            if marshal.process.returncode is None:
                marshal.process.kill()
        await stand.world.stop()
        stand.folder.cleanup()
        one.folder.cleanup()


async def run(*words: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gatebank", *words, cwd=ROOT, stdout=PIPE, stderr=PIPE
    )
    out, err = await asyncio.wait_for(process.communicate(), PATIENCE)
    return process.returncode or 0, out.decode(), err.decode()


async def keys_and_learn() -> None:
    """As docs/keys.md and docs/learning-oncall.md have it: an authority, two instances, a marshal that
    teaches over TLS and keeps snapshots, shown and compared; what is wrong is one line and status 2."""
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


async def busy_donor() -> None:
    """A donor that is busy says when to come again: `learn show` does so, and is taught."""
    from gatebank.state_transfer import protocol

    came = 0

    async def teach(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal came
        came += 1
        hello = protocol.Talk(protocol.Hello(name="donor", deployment="")).hello()
        await reader.read(1024)
        if came < 3:
            writer.write(hello + protocol.frame(protocol.REFUSE, protocol.Refuse(back_in=0.01)))
        else:
            writer.write(hello + protocol.frame(protocol.END, protocol.End()))
        await writer.drain()
        writer.close()

    donor = await asyncio.start_server(teach, "127.0.0.1", 0)
    where = "{}:{}".format(*donor.sockets[0].getsockname())
    try:
        status, _, err = await run("learn", "show", where)
        assert (status, err, came) == (0, "", 3), (status, err, came)
    finally:
        donor.close()


async def not_even_imported() -> None:
    """A marshal without an operators' file loads nothing of what it would switch on."""
    code = (
        "import sys; from gatebank.proxy import service; import gatebank.__main__;"
        "heavy = ('msgspec', 'starlark', 'dpkt', 'hdrh', 'cryptography');"
        "ours = ('gatebank.rec', 'gatebank.capture', 'gatebank.replay', 'gatebank.oper', 'gatebank.learn',"
        " 'gatebank.keys');"
        "print([m for m in sys.modules if m.split('.')[0] in heavy or m.startswith(ours)])"
    )
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, cwd=ROOT, stdout=PIPE)
    out, _ = await process.communicate()
    assert out.strip() == b"['gatebank.state']", out


def checks() -> list[tuple[str, Any]]:
    tests = (shown, hostile, checked, cut_and_compared, ends_cleanly, recorded, keys_and_learn)
    tests = (*tests, busy_donor, not_even_imported)
    return [(f"commands: {each.__name__}", each()) for each in tests]
