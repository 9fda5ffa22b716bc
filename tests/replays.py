"""Replays: never a payout twice, whatever is killed, torn or refused; the operators' file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from typing import Any

from gatebank.capture import writing
from gatebank.capture.records import Exchange
from gatebank.fakes.clients import invocation
from gatebank.fakes.wire import command
from gatebank.operator_config import operators_file
from gatebank.proxy import resp
from gatebank.replay import entries
from gatebank.replay.entries import Damaged, Entry, Kind
from gatebank.replay.guard import Guard, Refused
from gatebank.replay.section import Target
from gatebank.replay.sockets import understood
from tests.builder import START, read
from tests.sockets import PATIENCE, ROOT, Stand

SERIAL = count(1)


class Marshal:
    """A stand-in marshal that counts what runs, by id, key and body; `actions` are what it does in turn."""

    def __init__(self, host: str, *actions: str) -> None:
        self.host, self.actions = host, list(actions)
        self.ran: Counter[tuple[bytes, bytes]] = Counter()  # workload's command and key: one is one payout
        self.words: list[list[bytes]] = []
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> Marshal:
        self.server = await asyncio.start_server(self.serve, self.host, 6379)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words = await command(reader)
                self.words.append(words)
                action = self.actions.pop(0) if self.actions else "value"
                if action == "busy":
                    writer.write(b"-BUSY 50\r\n")
                    continue
                self.ran[words[0], words[1]] += 1
                if action == "reset":
                    writer.transport.abort()
                    return
                if action == "hang":
                    await reader.read()
                    return
                writer.write(b"$2\r\nok\r\n" if action == "value" else b"-ERR no\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def twice(self) -> list[Any]:
        return [name for name, times in self.ran.items() if times > 1]


def captured(
    server: str,
    *,
    every: float = 0.01,
    side: str = "customer",
    seed: int = 3,
    number: int = 12,
    start: int = START,
) -> bytes:
    """Invocations of all workloads; the same ones at the customers' side and, later, at the nodes'."""
    chance, at = random.Random(seed), start
    parts = [writing.section(), writing.interface("", 101)]
    host, _, port = server.rpartition(":")
    talk = writing.Conversation((("10.9.9.9", 5000), (host, int(port))), (1, 2))
    parts += [writing.packet(0, at, each) for each in talk.open()]
    for turn in range(number):
        words = invocation(chance, ("read", "pay", "sign")[turn % 3], limit=1500)
        words[1] = b"key-%d" % turn
        if side == "node":
            words[3] = words[3].replace(b"d=1500", b"d=1490")
        answer = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n" if side == "node" else b"$2\r\nok\r\n"
        parts += [writing.packet(0, at, each) for each in talk.say(0, resp.command(words))]
        parts += [writing.packet(0, at + 10**6, each) for each in talk.say(1, answer)]
        at += int(every * 1e9)
    return b"".join(parts)


class Rehearsal:
    """A folder with a capture, an operators' file and a ledger; replays run as users run them."""

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        number = next(SERIAL)
        self.host = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{200 + number % 50}"
        self.orders = f'target(address = "{self.host}:6379", rehearsal = True)\n'
        (self.path / "a.pcapng").write_bytes(captured("10.1.1.1:6379"))

    async def run(
        self, *options: str, file: str = "a.pcapng", ledger: str = "ledger", die: str = ""
    ) -> tuple[int, dict, str]:
        (self.path / "orders.star").write_text(self.orders)
        program = ("-m", "tests.dying", die) if die else ("-m", "gatebank")
        told = [*program, "capture", "replay", str(self.path / file), "--json"]
        told += [] if "--inside" in options else ["--to", f"{self.host}:6379"]
        told += ["--orders", str(self.path / "orders.star")]
        told += ["--ledger", str(self.path / ledger)] if ledger else []
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            sys.executable, *told, *options, cwd=ROOT, stdout=pipe, stderr=pipe
        )
        out, err = await asyncio.wait_for(process.communicate(), 3 * PATIENCE)
        return process.returncode, json.loads(out) if out else {}, err.decode()


@asynccontextmanager
async def rehearsal(*actions: str) -> AsyncIterator[tuple[Rehearsal, Marshal]]:
    one = Rehearsal()
    try:
        async with Marshal(one.host, *actions) as marshal:
            yield one, marshal
        assert not marshal.twice(), marshal.twice()
    finally:
        one.folder.cleanup()


async def all_once() -> None:
    """A replay offers all, in order, with new ids and tickets; the next one nothing that has an effect."""
    async with rehearsal() as (one, marshal):
        status, told, _ = await one.run()
        assert status == 0 and told["satisfied"] == told["read"] == 12 and not told["missing"], told
        recorded, _ = read((one.path / "a.pcapng").read_bytes())
        assert [words[1] for words in marshal.words] == [each.words[1] for each in recorded]
        assert [words[4:] for words in marshal.words] == [each.words[4:] for each in recorded]
        ids, tickets = {each.words[2] for each in recorded}, {each.ticket for each in recorded if each.ticket}
        assert not ids & {words[2] for words in marshal.words}
        sent = b" ".join(words[3] for words in marshal.words)
        assert len(tickets) == 4 and not any(ticket.encode() in sent for ticket in tickets), sent
        marshal.ran.clear()  # what may run again is sent again
        status, told, _ = await one.run()
        assert told["satisfied"] == 4 and told["withheld_why"] == {"ledger_replayed": 8}, told
        assert {name for name, _ in marshal.ran} == {b"Q.ASK"}


async def both_sides_are_one() -> None:
    """The same payout captured at both sides of a marshal, in either order, and doubled: once."""
    for first, second in (("a", "b"), ("b", "a")):
        async with rehearsal() as (one, marshal):
            clock = START + 5 * 3600 * 10**9  # another host's, hours ahead
            (one.path / "b.pcapng").write_bytes(captured("10.1.1.2:7000", side="node", start=clock))
            doubled = captured("10.1.1.1:6379") + captured("10.1.1.1:6379")  # two overlapping files, joined
            (one.path / "c.pcapng").write_bytes(doubled)
            for name in (first, second, "c"):
                effects = ("--workload", "pay", "--workload", "sign")
                status, _, err = await one.run(*effects, file=f"{name}.pcapng")
                assert status == 0, err
            assert marshal.ran.total() == 8, marshal.ran


async def killed_at_each_step() -> None:
    """Killed round the ledger's write, then run again: at most once, and what may have run is unsure."""
    for step, unsure in (
        ("before-write", 0), ("torn", 0), ("before-sync", 1), ("entered", 1), ("sent", 1), ("answered", 1),
    ):  # fmt: skip
        async with rehearsal() as (one, marshal):
            options = ("--workload", "pay", "--key", "key-1")
            status, _, _ = await one.run(*options, die=step)
            assert status == -signal.SIGKILL, (step, status)
            sent = marshal.ran.total()
            assert sent == (step in ("sent", "answered")), (step, sent)
            status, told, err = await one.run(*options)
            assert told["left_unsure_before"] == unsure, (step, told, err)
            assert marshal.ran.total() == (1 if not unsure else sent), (step, marshal.ran)
            if unsure:
                assert told["withheld_why"] == {"ledger_unsure": 1}, (step, told)


async def two_at_once() -> None:
    """Two replays with one ledger: the second does not begin."""
    async with rehearsal() as (one, marshal):
        (one.path / "a.pcapng").write_bytes(captured("10.1.1.1:6379", every=0.1))
        found = await asyncio.gather(one.run(), one.run())
        assert sorted(status for status, _, _ in found) == [0, 2], found
        assert any("another replay holds it" in err for _, _, err in found), found
        assert marshal.ran.total() == 12


async def a_target_that_fails() -> None:
    """It refuses, resets or hangs half way. What was written whole is unsure, and never sent again; what
    provably never left is free, and is sent by the next replay."""
    async with rehearsal() as (one, marshal):
        marshal.server.close()  # nobody listens
        status, told, _ = await one.run("--workload", "pay")
        assert told["never_sent"] == 4 and not told["unsure"], told
        async with Marshal(one.host) as other:
            status, told, _ = await one.run("--workload", "pay")
            assert status == 0 and told["satisfied"] == 4 and other.ran.total() == 4, told
    for action in ("reset", "hang"):
        async with rehearsal(action) as (one, marshal):
            status, told, _ = await one.run("--workload", "pay")
            # The connection ends with the first: what went behind it on that connection is as unsure.
            assert status == 1 and told["unsure"] >= 1 and not told["missing"], (action, told)
            assert any(each["what"] == "unsure" for each in told["listed"])
            ran = marshal.ran.copy()
            status, told, _ = await one.run("--workload", "pay")
            assert told["withheld_why"]["ledger_unsure"] >= 1, told
            assert all(marshal.ran[name] == 1 for name in ran), marshal.ran


async def rejected_ones() -> None:
    """A rejected payout is not asked again; a rerunnable one is, if patient, after the time it was told."""
    async with rehearsal("busy", "busy") as (one, _):
        status, told, _ = await one.run("--workload", "pay", "--patient")
        assert told["rejected"] == 2 and told["satisfied"] == 2 and not told["asked_again"], told
    async with rehearsal("busy", "busy") as (one, _):
        status, told, _ = await one.run("--workload", "read", "--patient")
        assert status == 0 and told["asked_again"] == 2 and told["satisfied"] == 4, told
        assert told["offered"] == told["read"] == 4 and not told["missing"], told


async def bounded_in_hand() -> None:
    """What can't be offered when due is counted, never held back; a payout not offered is not entered."""
    async with rehearsal(*["hang"] * 2) as (one, _):
        (one.path / "a.pcapng").write_bytes(captured("10.1.1.1:6379", every=0.0001, number=60))
        _, told, _ = await one.run("--most-in-hand", "10", "--lines", "pooled")
        assert told["not_offered_why"]["in_hand"] >= 40 and not told["missing"], told
        _, told, _ = await one.run("--most-in-hand", "1000", "--workload", "pay", "--pace", "0.1")
        assert told["satisfied"] >= 12, told


async def guarded() -> None:
    """Each condition by itself keeps an invocation inside; without any of them nothing leaves."""
    async with rehearsal() as (one, marshal):
        good, address = one.orders, f"{one.host}:6379"
        for text, status, words in (
            ("", 2, "not named as a target"),
            (f'target(address = "{one.host}:6380", rehearsal = True)', 2, "not named as a target"),
            (f'target(address = "{address}")', 0, "no_rehearsal_target"),
        ):
            one.orders = text
            found, told, err = await one.run("--workload", "pay")
            assert found == status and words in err + json.dumps(told), (text, told, err)
        assert not marshal.words, marshal.words
        # The capture shows live traffic there: nothing, or rerunnable ones alone where the file says so.
        one.orders = good
        (one.path / "live.pcapng").write_bytes(captured(address))
        status, _, err = await one.run(file="live.pcapng")
        assert status == 2 and "live traffic" in err and not marshal.words, err
        one.orders = f'target(address = "{address}", live_rerunnable = True)'
        status, told, err = await one.run(file="live.pcapng")
        assert told["satisfied"] == 4 and told["withheld"] == 8, (told, err)
        assert {words[0] for words in marshal.words} == {b"Q.ASK"}
        # Without a ledger, and with one that can't be used, nothing with an effect leaves.
        one.orders = good
        status, _, err = await one.run(ledger="")
        assert status == 2 and "--ledger" in err, err
        (one.path / "file").write_text("no folder")
        status, _, err = await one.run(ledger="file")
        assert status == 2 and err.count("\n") == 1, err
        assert not any(words[0] == b"Q.DO" for words in marshal.words)


async def ledger_on_a_full_disk() -> None:
    """The ledger fails amid a replay: it ends, and nothing more that may not run twice leaves."""
    async with rehearsal() as (one, marshal):
        limit = "import resource,sys,runpy; resource.setrlimit(resource.RLIMIT_FSIZE,(200,200));"
        limit += "import signal; signal.signal(signal.SIGXFSZ, signal.SIG_IGN);"
        limit += "sys.argv=['gatebank']+sys.argv[1:]; runpy.run_module('gatebank', run_name='__main__')"
        (one.path / "orders.star").write_text(one.orders)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", limit, "capture", "replay", str(one.path / "a.pcapng"), "--json", "--to",
            f"{one.host}:6379", "--orders", str(one.path / "orders.star"), "--ledger",
            str(one.path / "ledger"), "--workload", "pay",
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        out, err = await asyncio.wait_for(process.communicate(), 2 * PATIENCE)
        told = json.loads(out)
        assert process.returncode == 1 and b"File too large" in err, (told, err)
        assert marshal.ran.total() == told["satisfied"] <= 3 and told["missing"] == 0, told
        assert not told["unsure"], told


async def inside() -> None:
    """A replay inside: the same exchange and brain, nodes reached, effects once, live nodes left out."""
    stand = Stand()
    try:
        for name in ("a", "b", "live"):
            await stand.world.add(name, 41)
        await stand.world.start()
        one = Rehearsal()
        path = stand.configuration(0, 1)
        discovery = f"{stand.host}:{stand.world.discovery_port}"
        one.orders = f'target(address = "{discovery}", rehearsal = True)'
        live = stand.world.nodes["live"]
        other = captured(f"{live.host}:{live.port}", side="node", seed=9, number=1)
        (one.path / "a.pcapng").write_bytes(captured("10.1.1.1:6379", number=60) + other)
        status, told, err = await one.run("--inside", str(path), "--side", "customer")
        counts = stand.world.counts
        assert status == 0 and told["satisfied"] == told["read"] == 60, (told, err)
        assert not counts.twice() and sum(counts.ran_by_workload.values()) == 60, counts
        assert f"{live.host}:{live.port}" not in counts.by_address, counts.by_address
        counts.clear()
        status, told, err = await one.run("--inside", str(path), "--side", "customer")
        assert told["withheld_why"] == {"ledger_replayed": 40} and counts.ran_by_workload.total() == 20, told
        one.folder.cleanup()
    finally:
        await stand.world.stop()
        stand.folder.cleanup()


def damage() -> None:
    """Any one byte changed, the ledger refuses or says no less than before; any end cut off, it says what was
    whole. A flipped byte must never make a payout free again."""
    book = entries.Book(b"n" * 16)
    names = [bytes([number]) * 24 for number in range(1, 4)]
    data = entries.head(book.name)
    for name in names:
        data += book.put(Entry(Kind.ENTERED, name, 5))
    data += book.put(Entry(Kind.ANSWERED, names[0], 6, "satisfied"))
    for at in range(len(data)):
        for flip in (0x01, 0x80, data[at]):  # the last makes it a zero
            if not flip:
                continue
            spoilt = data[:at] + bytes([data[at] ^ flip]) + data[at + 1 :]
            try:
                found = entries.read(spoilt)
            except Damaged:
                continue
            raise AssertionError((at, flip, found.rows))
    for size in range(len(data)):
        found = entries.read(data[:size])
        whole = max(0, (size - entries.HEAD.size) // entries.ENTRY.size)
        assert set(found.rows) == set(names[:whole]) and found.size <= size
    # Freed entries may be sent again, and only these.
    again = entries.read(data + book.put(Entry(Kind.FREED, names[1], 7)))
    assert [again.holds(name) for name in names] == ["replayed", None, "unsure"]


def verdicts() -> None:
    """The guard by itself: each rule fails without its line."""

    class Empty:
        def holds(self, name: bytes) -> str | None:
            return None

    def said(words: list[bytes], whole: bool = True) -> Exchange:
        one = Exchange(1, "c:1", "10.0.0.1:1", "", words, whole, 1, 1)
        one.read_names()
        return one

    pay = said([b"Q.DO", b"k", b"i", b"c=pay,d=5", b"b"])
    guard = Guard([Target(address="127.0.0.1:1", rehearsal=True)], "127.0.0.1:1", set())
    assert not guard.verdict(pay, Empty()).withheld and len(guard.verdict(pay, Empty()).names) == 1
    assert guard.verdict(said(pay.words, whole=False), Empty()).withheld == "not_whole"
    assert guard.verdict(said(pay.words[:4]), Empty()).withheld == "no_body"
    # Marked as rerunnable by its command, but with a body: no form that PROTOCOL knows, so exclusive.
    assert guard.verdict(said([b"Q.ASK", *pay.words[1:]]), Empty()).names
    for live, where in (({"127.0.0.1:1"}, "127.0.0.1:1"), ({"[::1]:1"}, "[0:0::1]:1")):
        try:
            Guard([Target(address=where, rehearsal=True)], where, live)
        except Refused:
            continue
        raise AssertionError("a live target is refused")
    assert understood(resp.Reply("*", [None, None, None])) == ("broken_off", None)


def operators_files() -> None:
    """Deliberately bad files, each refused with line, field, value and what is allowed; and good ones."""
    bad = {
        'recording(folder = "x", file_bytes = 3)': "1: recording: file_bytes = 3: Expected `int` >= 65536",
        'recording(\n  folder = "x",\n  sides = ["nod"],\n)': '3: recording: sides = ["nod"]',
        'recording(folder = "x", sides = ["node", "node"])': "names one twice",
        "recording()": "1: recording: folder is missing",
        'recording(folder = "x")\nrecording(folder = "y")': "2: recording stands twice, first in line 1",
        'recording(folder = "x", hide = ["ticket"])': "needs key_file",
        'recording(folder = "x", keep_bytes = 70000)': "must hold at least one file",
        'recording("x")': "fields are given by name",
        'recording(folder = "x", bodys = "cut")': "did you mean 'bodies'",
        'target(address = "somewhere")': "'somewhere' is no IP address and port",
        'target(address = "127.0.0.1:1", keeps_tickets = True)': "rehearsal is not set",
        'target(address = "127.0.0.1:1", rehearsal = True, live_rerunnable = True)': "in service",
        'target(address = "127.0.0.1:1", most_per_second = 0)': "above 0",
        "def f():\n  target(address = 5)\nf()": "2: target: address = 5: Expected `str`",
        "x = 1\ny = z\n": "2: Variable `z` not found",
        "x = (": "1: Parse error",
        'load("other.star", "x")': "1: ",
        'open("/etc/passwd")': "1: Variable `open` not found",
        "def f(x):\n  return f(x)\nf(1)": "stack overflow",
        "target(address = len)": "1: ",
        "def f():\n  for i in range(2000000000):\n    pass\nf()": "processor time",
        'def f():\n  x = "a"\n  for i in range(60):\n    x = x + x\nf()': "",
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "operators.star"
        for text, words in bad.items():
            path.write_text(text)
            try:
                operators_file.read(path)
            except operators_file.Unusable as trouble:
                assert words in str(trouble) and str(trouble).startswith(f"{path}:"), (text, str(trouble))
            else:
                raise AssertionError(f"accepted: {text}")
        path.write_text("BASE = 6380\n[target(address = '127.0.0.1:%d' % (BASE + i)) for i in range(3)]\n")
        found = operators_file.read(path)
        assert [each.address for each in found.all(Target)] == [f"127.0.0.1:{6380 + i}" for i in range(3)]
        assert not operators_file.read(ROOT / "deploy/operators.star").sections


def checks() -> tuple[list[tuple[str, Any]], list[tuple[str, Any]]]:
    """Those without sockets, and those with."""
    plain = (damage, verdicts, operators_files)
    loops = (
        all_once, both_sides_are_one, killed_at_each_step, two_at_once, a_target_that_fails, rejected_ones,
        bounded_in_hand, guarded, ledger_on_a_full_disk, inside,
    )  # fmt: skip
    return [(f"replays: {c.__name__}", c) for c in plain], [(f"replays: {c.__name__}", c()) for c in loops]
