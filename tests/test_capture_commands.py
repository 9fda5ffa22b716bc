"""The commands `gatebank capture ...` run as processes: their output, exit status and early ends."""

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
from tests.support.replay_testbed import capture_of_requests, replay_testbed
from tests.support.socket_scenarios import ROOT, TIMEOUT_S


async def test_show_prints_table_and_json_and_writes_parquet() -> None:
    """`show` prints a table or JSON with exactly the known keys, and writes the same rows to Parquet.

    It also applies filters and reads standard input.
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


async def test_show_prints_no_control_characters() -> None:
    """`show` prints no control characters, even if keys, ids, replies and file names contain them.

    Such characters could change a terminal's state, or break the lines of a table or of JSON.
    """
    builder = CaptureBuilder()
    builder.run_step("open 1")
    key = rb"\x1b]0;owned\x07\x1b[2J\r\n\xff\xe2\x80\xae"
    request = rf"*4\r\n$5\r\nQ.ASK\r\n$23\r\n{key.decode()}\r\n$2\r\ni\x9b\r\n$13\r\nc=a\nb,t=\x1b[,d=\r\n"
    builder.run_step(f'raw 1 0 "{request}"')
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


async def test_check_succeeds_only_if_the_whole_capture_was_read() -> None:
    """`check` exits with status 0 only if it read the whole capture, and otherwise names the problem.

    Files that are not captures, and invalid options, cause status 2 and one line on standard error.
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
        for invalid in (("--from", "tuesday"), ("--ended", "lost"), ("--side", "left"), ("--port", "99999")):
            status, _, err = await run_capture_command("show", str(path), *invalid)
            assert status == 2, (invalid, err)
            assert err.count("\n") == 1, (invalid, err)


async def test_cut_keeps_complete_exchanges_and_compare_finds_the_others() -> None:
    """A cut has the chosen exchanges completely, and `compare` finds the exchanges missing in the cut."""
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
        for whole, expected in ((), 21), (("--whole-streams",), 23):
            status, output, err = await run_capture_command(
                "cut", str(path), str(out), "--workload", "pay", *whole
            )
            assert status == 0, (output, err)
            assert "21 exchanges" in output, (output, err)
            exchanges, _ = read_capture(out.read_bytes())
            assert len(exchanges) == expected, len(exchanges)
            assert all(exchange.whole for exchange in exchanges), len(exchanges)
        status, output, _ = await run_capture_command("cut", str(path), str(out), "--workload", "pay")
        status, output, _ = await run_capture_command("compare", str(path), str(out), "--json")
        report = json.loads(output)
        assert (report["matched"], report["only_a"], report["only_b"], report["otherwise"]) == (
            21,
            2,
            0,
            0,
        ), report
        other = CaptureBuilder()
        for step in ["open 1", "request 1 pay 3000", "busy 1"]:
            other.run_step(step)
        (Path(folder) / "c.pcapng").write_bytes(other.data())
        _, output, _ = await run_capture_command(
            "compare", str(path), str(Path(folder) / "c.pcapng"), "--json"
        )
        assert json.loads(output)["changes"] == [{"a": "satisfied", "b": "rejected", "count": 1}], output
        status, _, err = await run_capture_command("cut", str(path), str(path))
        assert status == 2
        assert "itself" in err
        assert path.read_bytes() == builder.data()


async def test_capture_commands_end_cleanly_on_closed_output_and_interrupt() -> None:
    """A closed output pipe or an interrupt causes no traceback, but a message with the work done so far.

    After the interrupt of a replay with a ledger, a second replay sends the remaining requests, and no
    request is executed twice.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.pcapng"
        path.write_bytes(capture_of_requests("10.1.1.1:6379", number=20_000, every=0.0001))
        command = (sys.executable, "-m", "gatebank", "capture", "show", str(path))
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=PIPE, stderr=PIPE)
        await process.stdout.readline()
        process._transport.get_pipe_transport(1).close()
        err = (await asyncio.wait_for(process.stderr.read(), TIMEOUT_S)).decode()
        assert await process.wait() == 0, err
        assert "standard output was closed" in err, err
        assert err.count("\n") == 1, err
    async with replay_testbed() as (testbed, instance):
        (testbed.path / "a.pcapng").write_bytes(capture_of_requests("10.1.1.1:6379", every=0.2, number=60))
        (testbed.path / "orders.star").write_text(testbed.operators_text)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gatebank", "capture", "replay", str(testbed.path / "a.pcapng"), "--json",
            "--to", f"{testbed.host}:6379", "--orders", str(testbed.path / "orders.star"),
            "--ledger", str(testbed.path / "ledger"), cwd=ROOT, stdout=PIPE, stderr=PIPE,
        )  # fmt: skip
        while len(instance.received_commands) < 5:
            await asyncio.sleep(0.01)
        process.send_signal(signal.SIGINT)
        out, err = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
        report = json.loads(out)
        assert process.returncode == 130, (report, err)
        assert b"Traceback" not in err, (report, err)
        assert report["missing"] == 0, (report, err)
        assert 5 <= report["satisfied"] < 60, report
        assert report["stopped"] == "interrupted", report
        # The second replay sends only the requests that the first replay did not send.
        status, report, _ = await testbed.run("--pace", "20")
        assert status == 0, report
        assert all(instance.run_counts[name] == 1 for name in instance.run_counts if name[0] == b"Q.DO"), (
            report
        )
        assert sum(name[0] == b"Q.DO" for name in instance.run_counts) == 40
        instance.run_counts.clear()
