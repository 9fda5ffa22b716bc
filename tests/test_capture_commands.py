"""`gatebank capture ...` as its users run it: what it prints, its status, and how it ends when it must."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import sys
import tempfile
from pathlib import Path

import pyarrow.parquet as pq

from gatebank.capture.records import KEYS
from tests.support.capture_builder import CaptureBuilder, read_capture
from tests.support.capture_scenarios import sample_capture
from tests.support.program import PIPE, run_capture_command
from tests.support.rehearsal import captured, rehearsal
from tests.support.socket_scenarios import ROOT, TIMEOUT_S


async def test_show_prints_a_table_json_and_columns() -> None:
    """Shown.

    A table, JSON with exactly the keys, the same in columns, filters, and standard input.
    """
    with tempfile.TemporaryDirectory() as folder:
        path, columns = Path(folder) / "a.pcapng", Path(folder) / "a.parquet"
        path.write_bytes(sample_capture().data())
        status, out, _ = await run_capture_command("show", "--json", str(path))
        rows = [json.loads(line) for line in out.splitlines()]
        assert status == 0, out
        assert len(rows) == 8, out
        assert all(tuple(row) == KEYS for row in rows), out
        assert all(re.fullmatch(r"\d+\.\d{9}", row["asked_at"]) for row in rows)
        status, out, err = await run_capture_command("show", str(path), "--parquet", str(columns))
        assert status == 0, (out, err)
        assert pq.read_table(columns).to_pylist() == rows, (out, err)
        chosen = ("--workload", "pay", "--side", "node")
        status, out, _ = await run_capture_command("show", "-", *chosen, stdin=path.read_bytes())
        assert status == 0, out
        assert len(out.splitlines()) == 2, out
        assert " pay " in out, out
        first = rows[0]["asked_at"]
        for options, wanted in (
            (("--from", first), 8), (("--to", first), 0), (("--ended", "rejected"), 0),
            (("--port", "6379"), 8), (("--port", "1"), 0), (("--customer", "x"), 0),
            (("--id", rows[2]["id"], "--id", rows[3]["id"]), 2),
        ):  # fmt: skip
            _, out, _ = await run_capture_command("show", "--json", str(path), *options)
            assert len(out.splitlines()) == wanted, (options, out)


async def test_show_lets_no_control_byte_out() -> None:
    """Hostile.

    Keys, ids and names that are hostile to a terminal, a table or JSON: no control byte goes out.
    """
    builder = CaptureBuilder()
    builder.run_step("open 1")
    key = rb"\x1b]0;owned\x07\x1b[2J\r\n\xff\xe2\x80\xae"
    words = rf"*4\r\n$5\r\nQ.ASK\r\n$23\r\n{key.decode()}\r\n$2\r\ni\x9b\r\n$13\r\nc=a\nb,t=\x1b[,d=\r\n"
    builder.run_step(f'raw 1 0 "{words}"')
    builder.run_step('raw 1 1 "-ERR \\x1b[31m\\r\\n"')
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "hostile\x1b[31m.pcapng"
        path.write_bytes(builder.data())
        for options in ((), ("--json",)):
            status, out, err = await run_capture_command("show", str(path), *options)
            assert status == 0, out
            assert len(out.splitlines()) == (1 if options else 2), out
            assert not re.search("[\x00-\x09\x0b-\x1f\x7f-\x9f\u202e]", out + err), (out, err)
        _, out, err = await run_capture_command("show", str(path) + "x")
        assert "\x1b" not in err, err
        assert err.count("\n") == 1, err


async def test_check_is_zero_only_if_all_was_read() -> None:
    """Checked.

    Status 0 only if all was read; what was not is named.
    """
    with tempfile.TemporaryDirectory() as folder:
        path, data = Path(folder) / "a.pcapng", sample_capture().data()
        path.write_bytes(data)
        status, out, _ = await run_capture_command("check", str(path), "--json")
        assert status == 0, out
        assert json.loads(out)["counts"]["exchanges"] == 8, out
        path.write_bytes(data[:-5])
        status, out, _ = await run_capture_command("check", str(path))
        assert status == 1, out
        assert "not read to its end" in out, out
        path.write_bytes(b"no capture at all")
        for name in ("check", "show"):
            status, out, err = await run_capture_command(name, str(path))
            assert status == 2, (out, err)
            assert "not a capture file" in err, (out, err)
            assert err.count("\n") == 1, (out, err)
        for wrong in (("--from", "tuesday"), ("--ended", "lost"), ("--side", "left"), ("--port", "99999")):
            status, _, err = await run_capture_command("show", str(path), *wrong)
            assert status == 2, (wrong, err)
            assert err.count("\n") == 1, (wrong, err)


async def test_cut_holds_whole_exchanges_and_compare_tells_the_rest() -> None:
    """Cut and compared.

    A cut holds the chosen exchanges whole; compared with the whole it differs in what was left out.
    """
    with tempfile.TemporaryDirectory() as folder:
        path, out = Path(folder) / "a.pcapng", Path(folder) / "b.pcapng"
        builder = CaptureBuilder()
        steps = "open 1; open 2; request 1 pay 3000; request 2 read; value 1; value 2 4000"
        steps += "; request 1 read; value 1"
        for step in steps.split("; "):
            builder.run_step(step)
        for number in range(20):
            for step in (f"request {number % 2 + 1} pay 50", f"value {number % 2 + 1}", "wait 0.3"):
                builder.run_step(step)
        builder.run_step("wait 3")
        builder.run_step("close 1")
        path.write_bytes(builder.data())
        for whole, wanted in ((), 21), (("--whole-streams",), 23):
            status, said, err = await run_capture_command(
                "cut", str(path), str(out), "--workload", "pay", *whole
            )
            assert status == 0, (said, err)
            assert "21 exchanges" in said, (said, err)
            exchanges, _ = read_capture(out.read_bytes())
            assert len(exchanges) == wanted, len(exchanges)
            assert all(e.whole for e in exchanges), len(exchanges)
        status, said, _ = await run_capture_command("cut", str(path), str(out), "--workload", "pay")
        status, said, _ = await run_capture_command("compare", str(path), str(out), "--json")
        told = json.loads(said)
        assert (told["matched"], told["only_a"], told["only_b"], told["otherwise"]) == (21, 2, 0, 0), told
        other = CaptureBuilder()
        for step in ["open 1", "request 1 pay 3000", "busy 1"]:
            other.run_step(step)
        (Path(folder) / "c.pcapng").write_bytes(other.data())
        _, said, _ = await run_capture_command("compare", str(path), str(Path(folder) / "c.pcapng"), "--json")
        assert json.loads(said)["changes"] == [{"a": "satisfied", "b": "rejected", "count": 1}], said
        status, _, err = await run_capture_command("cut", str(path), str(path))
        assert status == 2
        assert "itself" in err
        assert path.read_bytes() == builder.data()


async def test_capture_commands_end_cleanly() -> None:
    """Ends cleanly.

    A pipe that closes, and an interrupt: no traceback, one line that says what was done.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.pcapng"
        path.write_bytes(captured("10.1.1.1:6379", number=20_000, every=0.0001))
        command = (sys.executable, "-m", "gatebank", "capture", "show", str(path))
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=PIPE, stderr=PIPE)
        await process.stdout.readline()
        process._transport.get_pipe_transport(1).close()
        err = (await asyncio.wait_for(process.stderr.read(), TIMEOUT_S)).decode()
        assert await process.wait() == 0, err
        assert "nobody reads on" in err, err
        assert err.count("\n") == 1, err
    async with rehearsal() as (one, instance):
        (one.path / "a.pcapng").write_bytes(captured("10.1.1.1:6379", every=0.2, number=60))
        (one.path / "orders.star").write_text(one.orders)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gatebank", "capture", "replay", str(one.path / "a.pcapng"), "--json",
            "--to", f"{one.host}:6379", "--orders", str(one.path / "orders.star"),
            "--ledger", str(one.path / "ledger"), cwd=ROOT, stdout=PIPE, stderr=PIPE,
        )  # fmt: skip
        while len(instance.commands) < 5:
            await asyncio.sleep(0.01)
        process.send_signal(signal.SIGINT)
        out, err = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
        told = json.loads(out)
        assert process.returncode == 130, (told, err)
        assert b"Traceback" not in err, (told, err)
        assert told["missing"] == 0, (told, err)
        assert 5 <= told["satisfied"] < 60, told
        assert told["stopped"] == "interrupted", told
        status, told, _ = await one.run("--pace", "20")  # the rest goes, what went stays
        assert status == 0, told
        assert all(instance.ran[n] == 1 for n in instance.ran if n[0] == b"Q.DO"), told
        assert sum(n[0] == b"Q.DO" for n in instance.ran) == 40
        instance.ran.clear()
