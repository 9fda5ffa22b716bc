"""Plays a capture to its target: a thread reads ahead, the event loop sends each request when it is due."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass
from queue import Full, Queue
from typing import Any

from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.records import Exchange
from gatebank.cli.capture.options import ReplayOptions
from gatebank.cli.capture.source import CaptureSource
from gatebank.proxy.configuration import Address, Configuration
from gatebank.replay.guard import Guard
from gatebank.replay.ledger import Ledger
from gatebank.replay.player import Player, PlayerOptions
from gatebank.replay.schedule import AskingOrder

MAX_QUEUED = 4096  # exchanges read ahead of what is due
MAX_REORDERED_BYTES = 64 << 20  # of exchanges that wait for their turn in the order of their requests
REORDER_HORIZON = 121.0  # s of the capture: no exchange is read later than this after its request
READER_SWITCH_INTERVAL = 0.0005  # s that the reader may hold the interpreter while a request is due
QUEUE_TIMEOUT = 0.2  # s after which a reader with a full queue looks whether it is to stop
PROGRESS_INTERVAL = 0.25  # s
RUN_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class ReplayPlan:
    """What is played, to where, and how; all of it has been checked.

    Attributes:
        source: The capture.
        selection: Which of its exchanges are played.
        side: The side whose requests are played; None for all that are chosen.
        options: What the user asked for.
        guard: Decides which requests may be sent.
        ledger: Keeps what was sent; open.
        address: Where requests go; for an instance in this process, its discovery.
        configuration: Of the instance that runs in this process, if one does.
        live: Addresses that the capture shows in service.
        exchanges: How many are chosen, for the progress bar.
    """

    source: CaptureSource
    selection: ExchangeFilter
    side: str | None
    options: ReplayOptions
    guard: Guard
    ledger: Ledger | None
    address: Address
    configuration: Configuration | None
    live: Collection[str]
    exchanges: int


class ReaderThread(threading.Thread):
    """Reads the capture ahead of what is due and queues its exchanges in the order of their requests.

    Attributes:
        queue: The exchanges; None is the end.
        stopping: Set by the event loop once nothing more is wanted.
        error: Why the reading ended early; empty if it did not.
        other_side: How many were left out because their requests are played from the other side.
        without_request: How many were left out because their request was not captured.
    """

    def __init__(self, source: CaptureSource, selection: ExchangeFilter, side: str | None) -> None:
        """Read nothing before ``start`` is called."""
        super().__init__(name="reader", daemon=True)
        self.source = source
        self.selection = selection
        self.side = side
        self.queue: Queue[Exchange | None] = Queue(MAX_QUEUED)
        self.order = AskingOrder(int(REORDER_HORIZON * 1e9), MAX_REORDERED_BYTES)
        self.stopping = False
        self.error = ""
        self.other_side_count = 0
        self.without_request_count = 0

    def run(self) -> None:
        """Read all; whatever error ends it is reported with the result."""
        try:
            self.read()
        except Exception as error:  # the player waits for the end of the queue, whatever happens here
            self.error = repr(error)
        finally:
            self.enqueue(None)

    def read(self) -> None:
        """Queue the chosen exchanges until the end of the capture, or until it is told to stop."""
        for exchange in self.source.exchanges(progress=False):
            if self.selection(exchange):
                self.accept(exchange)
                if self.stopping:
                    return
        for ready in self.order.end():
            self.enqueue(ready)

    def accept(self, exchange: Exchange) -> None:
        """Count an exchange that is left out, or queue what its time makes due."""
        if self.side and exchange.side != self.side:
            self.other_side_count += 1
        elif exchange.asked_at is None:
            self.without_request_count += 1
        else:
            for ready in self.order.add(exchange, self.source.reading.last_at):
                self.enqueue(ready)

    def enqueue(self, exchange: Exchange | None) -> None:
        """Wait for room in the queue, and add to it unless nothing more is wanted."""
        while not self.stopping:
            try:
                self.queue.put(exchange, timeout=QUEUE_TIMEOUT)
            except Full:
                continue
            return


async def play(plan: ReplayPlan) -> dict[str, Any]:
    """Play the capture and return the report, by the names that ``--json`` prints."""
    reader = ReaderThread(plan.source, plan.selection, plan.side)
    options = plan.options
    player = Player(
        reader.queue,
        plan.guard,
        plan.ledger,
        PlayerOptions(
            speed=options.pace,
            max_in_flight=options.most_in_hand,
            retry_rejected=options.patient,
            run_key=os.urandom(RUN_ID_BYTES),
        ),
    )
    await open_transport(player, plan)
    for number in (signal.SIGINT, signal.SIGTERM):
        player.loop.add_signal_handler(number, player.stop, "interrupted")
    sys.setswitchinterval(READER_SWITCH_INTERVAL)
    reader.start()
    async with progress_shown(player, plan.exchanges):
        try:
            await player.play()
        finally:
            reader.stopping = True
            player.transport.close()
            await asyncio.sleep(0)  # connections that were closed get their turn
            if plan.ledger:
                await plan.ledger.finish()
    return build_report(player, reader, plan.ledger)


async def open_transport(player: Player, plan: ReplayPlan) -> None:
    """Give the player its way to the target: an instance in this process, or connections to one elsewhere."""
    options = plan.options
    if plan.configuration is None:
        from gatebank.replay.sockets import SocketTransport  # only one of the two is needed

        player.transport = SocketTransport(
            player, plan.address, options.lines == "pooled", options.most_lines
        )
        return
    from gatebank.replay.inside import InProcessTransport

    instance = InProcessTransport(player, plan.configuration, plan.live)
    player.transport = instance
    if not await instance.ready():
        player.stop("discovery tells of no node that may be sent to")


def build_report(player: Player, reader: ReaderThread, ledger: Ledger | None) -> dict[str, Any]:
    """Return what became of all requests, by the names that ``--json`` prints."""
    report = player.report.summary()
    report["stopped"] = player.stopped
    report["left_out_other_side"] = reader.other_side_count
    report["not_whole"] = reader.without_request_count
    report["out_of_order"] = reader.order.late_count
    report["reader_trouble"] = reader.error
    report["ledger_trouble"] = str(ledger.broken or "") if ledger else ""
    report["ledger_syncs"] = ledger.syncs if ledger else 0
    return report


@asynccontextmanager
async def progress_shown(player: Player, exchanges: int) -> AsyncIterator[None]:
    """Show a progress bar on standard error, if that is a terminal, while the body runs."""
    if not sys.stderr.isatty():
        yield
        return
    task = asyncio.ensure_future(show_progress(player, exchanges))
    try:
        yield
    finally:
        task.cancel()


async def show_progress(player: Player, exchanges: int) -> None:
    """Update a progress bar until it is cancelled."""
    from rich.console import Console  # slow to import, and seldom needed
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("replaying", total=exchanges)
        while True:
            progress.update(task, completed=player.report.counts["read"])
            await asyncio.sleep(PROGRESS_INTERVAL)
