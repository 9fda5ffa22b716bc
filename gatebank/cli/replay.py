"""What `capture replay` and `capture ledger` do: looks before it sends anything, then plays and tells."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
from dataclasses import dataclass
from pathlib import Path
from queue import Full, Queue
from typing import Any

import orjson
import typer
import uvloop

from gatebank.capture.records import Exchange, Filter, clock, harmless
from gatebank.cli.source import INTERRUPTED, Source, refuse, warn
from gatebank.operator_config import operators_file as operators
from gatebank.proxy import log
from gatebank.proxy.configuration import (
    Address,
    Configuration,
    ConfigurationError,
    address,
    load_configuration,
)
from gatebank.replay import report
from gatebank.replay.entries import Kind
from gatebank.replay.guard import Guard, Refused, written
from gatebank.replay.ledger import Ledger, Unusable
from gatebank.replay.player import Player
from gatebank.replay.schedule import Ordered
from gatebank.replay.section import Target

AHEAD = 4096  # exchanges read ahead of what is due
HELD = 64 << 20  # bytes of exchanges that wait for their turn in the order of asking
HORIZON = 121.0  # s of the capture: reading tells none later behind its asking
SWITCH = 0.0005  # s that reading ahead may hold the interpreter while an invocation is due
LISTED = 50  # withheld or unsure invocations that are shown to people; --json tells more


@dataclass(slots=True)
class Way:
    """How it is to be played."""

    to: str | None
    inside: Path | None
    orders: Path | None
    ledger: Path | None
    pace: float
    lines: str
    most_lines: int
    most_in_hand: int
    patient: bool


@dataclass(slots=True)
class Survey:
    """What a first reading of the capture shows, before anything is sent."""

    live: set[str]
    exchanges: int = 0
    effects: int = 0
    customers: int = 0


def replay(source: Source, wanted: Filter, way: Way, as_json: bool) -> None:
    log.begin("warning")
    source.seekable()
    if (way.to is None) == (way.inside is None):
        refuse("one of --to and --inside is needed")
    if way.orders is None:
        refuse("--orders is needed: the operators' file names what may be sent to")
    if not 0.001 <= way.pace <= 1e6:
        refuse(f"--pace: {way.pace} is not between 0.001 and 1000000")
    if way.lines not in ("recorded", "pooled"):
        refuse(f"--lines: {way.lines!r} is not known; allowed are recorded, pooled")
    try:
        targets = operators.read(way.orders).all(Target)
        environment = dict(os.environ) | {"ROUTER_CONFIG": str(way.inside)}
        posting = load_configuration(environment) if way.inside else None
        where = address(way.to, "--to") if way.to else posting.discovery
    except operators.Unusable as trouble:
        typer.echo(str(trouble), err=True)
        raise typer.Exit(2) from None
    except ConfigurationError as trouble:
        refuse(trouble)
    if where is None:
        refuse(f"{way.inside}: it names no discovery")
    found = survey(source, wanted)
    side = "customer" if wanted.side is None and found.customers else None
    ledger = Ledger(way.ledger) if way.ledger else None
    try:
        guard = Guard(targets, written(where), found.live)
        if ledger:
            ledger.open()
    except (Refused, Unusable) as trouble:
        refuse(trouble)
    if ledger is None and found.effects and guard.target.rehearsal:
        refuse(f"{found.effects} exclusive or ticketed invocations are chosen; they need --ledger FOLDER")
    before = [] if ledger is None else ledger.book.unsure()
    told = uvloop.run(play(source, wanted, side, way, guard, ledger, posting, where, found))
    told["left_unsure_before"] = len(before)
    tell(told, as_json, ledger is not None)


def survey(source: Source, wanted: Filter) -> Survey:
    """The whole capture once: which servers it shows in service, and what is chosen."""
    found = Survey(set())
    try:
        for exchange in source.exchanges():
            if len(found.live) < 1_000_000:
                found.live.add(exchange.server)
            if wanted(exchange):
                found.exchanges += 1
                found.effects += exchange.effects != "rerunnable"
                found.customers += exchange.side == "customer"
    except KeyboardInterrupt:
        warn("interrupted before anything was sent")
        raise typer.Exit(INTERRUPTED) from None
    for each in source.spoilt:
        warn(each)
    return found


class Reader(threading.Thread):
    """The second reading, ahead of what is due, in the order of asking."""

    def __init__(self, source: Source, wanted: Filter, side: str | None) -> None:
        super().__init__(name="reader", daemon=True)
        self.source, self.wanted, self.side = source, wanted, side
        self.queue: Queue[Exchange | None] = Queue(AHEAD)
        self.order = Ordered(int(HORIZON * 1e9), HELD)
        self.stopping, self.trouble = False, ""
        self.other_side = self.unasked = 0

    def run(self) -> None:
        try:
            for exchange in self.source.exchanges(progress=False):
                if not self.wanted(exchange):
                    continue
                if self.side and exchange.side != self.side:
                    self.other_side += 1
                elif exchange.asked_at is None:
                    self.unasked += 1
                else:
                    for each in self.order.put(exchange, self.source.reading.last_at):
                        self.hand(each)
                if self.stopping:
                    return
            for each in self.order.end():
                self.hand(each)
        except Exception as trouble:
            self.trouble = repr(trouble)
        finally:
            self.hand(None)

    def hand(self, exchange: Exchange | None) -> None:
        while not self.stopping:
            try:
                self.queue.put(exchange, timeout=0.2)
                return
            except Full:
                continue


async def play(
    source: Source,
    wanted: Filter,
    side: str | None,
    way: Way,
    guard: Guard,
    ledger: Ledger | None,
    posting: Configuration | None,
    where: Address,
    found: Survey,
) -> dict[str, Any]:
    reader = Reader(source, wanted, side)
    player = Player(reader.queue, guard, ledger, way.pace, way.most_in_hand, way.patient, os.urandom(16))
    if posting:
        from gatebank.replay.inside import Inside

        player.front = front = Inside(player, posting, found.live)
        if not await front.ready():
            player.stop("discovery tells of no node that may be sent to")
    else:
        from gatebank.replay.sockets import Sockets

        player.front = Sockets(player, where, way.lines == "pooled", way.most_lines)
    for number in (signal.SIGINT, signal.SIGTERM):
        player.loop.add_signal_handler(number, player.stop, "interrupted")
    sys.setswitchinterval(SWITCH)
    reader.start()
    beat = asyncio.ensure_future(progress(player, found)) if sys.stderr.isatty() else None
    try:
        await player.play()
    finally:
        reader.stopping = True
        if beat:
            beat.cancel()
        player.front.close()
        await asyncio.sleep(0)
        if ledger:
            await ledger.finish()
    told = player.report.told()
    told |= {"stopped": player.stopped, "left_out_other_side": reader.other_side, "not_whole": reader.unasked}
    told |= {"out_of_order": reader.order.late, "reader_trouble": reader.trouble}
    told["ledger_trouble"] = str(ledger.broken or "") if ledger else ""
    told["ledger_syncs"] = ledger.syncs if ledger else 0
    return told


async def progress(player: Player, found: Survey) -> None:
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("replaying", total=found.exchanges)
        while True:
            bar.update(task, completed=player.report.counts["read"])
            await asyncio.sleep(0.25)


def tell(told: dict[str, Any], as_json: bool, ledger: bool) -> None:
    if as_json:
        sys.stdout.buffer.write(orjson.dumps(told) + b"\n")
    else:
        for name in report.ENDS:
            if told[name] or name in ("read", "offered"):
                print(f"{told[name]:>10} {name.replace('_', ' ')}")
        for name, why in (("withheld", "withheld_why"), ("not_offered", "not_offered_why")):
            for reason, number in told[why].items():
                print(f"{number:>10} {name.replace('_', ' ')}: {reason.replace('_', ' ')}")
        for name in ("left_out_other_side", "not_whole", "out_of_order", "asked_again", "left_unsure_before"):
            if told[name]:
                print(f"{told[name]:>10} {name.replace('_', ' ')}")
        for name in ("latency_ms", "late_ms"):
            said = " ".join(f"{quantile} {value:.3f}" for quantile, value in told[name].items())
            print(f"{name.removesuffix('_ms'):>10} ms: {said or 'none'}")
        for each in told["listed"][:LISTED]:
            row = " ".join(harmless(each[k], 40) for k in ("effects", "workload", "key", "id"))
            print(f"{each['what']} ({each['why'].replace('_', ' ')}): {row}")
        if len(told["listed"]) > LISTED:
            print(f"and {len(told['listed']) - LISTED} more; --json lists them")
    sys.stdout.flush()
    if told["stopped"]:
        warn(f"ended early: {told['stopped']}")
        raise typer.Exit(INTERRUPTED if told["stopped"] == "interrupted" else 1)
    if told["unsure"] or told["reader_trouble"] or told["ledger_trouble"]:
        for name in ("reader_trouble", "ledger_trouble"):
            if told[name]:
                warn(told[name])
        raise typer.Exit(1)


def show_ledger(folder: Path, as_json: bool) -> None:
    ledger = Ledger(folder)
    if not ledger.path.exists():
        refuse(f"{folder}: no ledger is there")
    try:
        ledger.open()
    except Unusable as trouble:
        refuse(trouble)
    rows, unsure = ledger.book.rows.values(), ledger.book.unsure()
    counts: dict[str, int] = {}
    for entry in rows:
        name = "unsure" if entry.kind is not Kind.ANSWERED else entry.ending
        counts[name] = counts.get(name, 0) + 1
    ledger.close()
    if as_json:
        listed = [{"name": each.name.hex(), "at": each.at} for each in unsure]
        told = {"names": len(rows), "became": counts, "unsure": listed}
        sys.stdout.buffer.write(orjson.dumps(told) + b"\n")
        return
    print(f"{len(rows):>10} names (a ticketed invocation has two)")
    for name, number in sorted(counts.items()):
        print(f"{number:>10} {name.replace('_', ' ')}")
    for entry in unsure[:LISTED]:
        print(f"unsure since {clock(entry.at)}: {entry.name.hex()}")
