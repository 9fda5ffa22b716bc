"""The replay's clockwork: takes exchanges in order, asks the guard, enters the ledger, and sends when due.

It is an open loop: an invocation is due at its recorded time, paced, and what can't be sent then for want of
room is not offered. A Front carries it: over sockets, or into a marshal of this process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from queue import Empty, Queue
from typing import Protocol

from gatebank.capture.records import Exchange
from gatebank.replay.entries import Kind
from gatebank.replay.guard import Guard
from gatebank.replay.identity import command, new_ticket
from gatebank.replay.ledger import Ledger
from gatebank.replay.report import Report
from gatebank.replay.schedule import Pace, Rate

LEAD = 0.1  # s before it is due that an invocation is looked at: a sync of the ledger takes 1 to 30 ms
FINE = 0.0015  # s before it is due that the loop no longer sleeps: its timers count in whole milliseconds
GRACE = 1.0  # s behind its time limit until an answer is no longer waited for
UNTOLD = 60.0  # s: the time limit of an invocation that tells none
EMPTY = 0.002  # s until the reader is looked at again
LAST = 2.0  # s that what is out has for its answer once a replay is stopped
MOST_WAIT = 600.0  # s: a -BUSY that asks for more is not waited for


@dataclass(slots=True, eq=False)
class Play:
    """One invocation on its way."""

    exchange: Exchange
    due: float
    words: list[bytes]
    names: tuple[bytes, ...] = ()
    entered: asyncio.Future[None] | None = None
    sent: bool = False
    again: bool = False
    over: bool = False
    timer: asyncio.TimerHandle | None = None
    serial: int = field(default=0)

    @property
    def limit(self) -> float:
        told = self.exchange.timeout_ms
        return UNTOLD if not told else min(UNTOLD, told / 1000)


class Front(Protocol):
    """How invocations leave: `send` is called once when due; the player is told by `Player.ended`.

    ``how`` is satisfied, rejected or broken_off; `never_sent` where its last byte certainly did not leave,
    and `no_answer` where it did, or may have."""

    def send(self, play: Play) -> None: ...
    def give_up(self, play: Play) -> None: ...
    def close(self) -> None: ...


class Player:
    def __init__(
        self,
        queue: Queue[Exchange | None],
        guard: Guard,
        ledger: Ledger | None,
        pace: float,
        most: int,
        patient: bool,
        run: bytes,
    ) -> None:
        self.queue, self.guard, self.ledger, self.most, self.patient = queue, guard, ledger, most, patient
        self.loop = asyncio.get_running_loop()
        self.report = Report()
        self.front: Front
        self.pace = Pace(pace, 0.0)
        self.rate = Rate(guard.target.most_per_second)
        self.run = run  # of this run alone: ids are made of it
        self.serial = 0
        self.out: set[Play] = set()  # sent and not ended, `most` at the most
        self.ahead: deque[Play] = deque()  # looked at and not due; LEAD's worth
        self.drained = False  # nothing more to read
        self.stopped = ""
        self.free = asyncio.Event()
        self.free.set()
        self.serving: Callable[[Exchange], str] | None = None  # why a front can't take it, or ""

    # The clockwork.

    async def play(self) -> None:
        """All of it; ends early, with nothing more sent, once the ledger fails."""
        following: Exchange | None = None
        while not self.stopped:
            if following is None and not self.drained:
                following = self.next()
            now = self.loop.time()
            due = None
            if following is not None:
                if self.pace.first is None:  # time begins with it, not with the reading before it
                    self.pace.start = now + LEAD
                due = self.pace.due(following.asked_at or 0)
                if due <= now + LEAD:
                    self.look(following, due)
                    following = None
                    continue
            if self.ahead and self.ahead[0].due <= now:
                self.go(self.ahead.popleft())
                continue
            if following is None and self.drained and not self.ahead:
                break
            wake = [now + EMPTY] if following is None and not self.drained else []
            wake += [self.ahead[0].due] if self.ahead else []
            wake += [due - LEAD] if due is not None else []
            left = min(wake) - self.loop.time()
            await asyncio.sleep(left - FINE if left > FINE else 0)
        if following is not None:
            self.report.not_offered(following, "stopped")
        while self.out:
            self.free.clear()
            await self.free.wait()

    def next(self) -> Exchange | None:
        try:
            found = self.queue.get_nowait()
        except Empty:
            return None
        if found is None:
            self.drained = True
        else:
            self.report.read(found)
        return found

    def look(self, exchange: Exchange, due: float) -> None:
        """Shortly before it is due: may it go, and is there room?"""
        verdict = self.guard.verdict(exchange, self.ledger or NO_BOOK)
        if verdict.withheld:
            self.report.hold_back(exchange, verdict.withheld)
            return
        if verdict.names and self.ledger is None:
            self.report.hold_back(exchange, "no_ledger")
            return
        if why := self.serving(exchange) if self.serving else "":
            self.report.not_offered(exchange, why)
            return
        if len(self.out) + len(self.ahead) >= self.most:
            self.report.not_offered(exchange, "in_hand")
            return
        if not self.rate.take(due):
            self.report.not_offered(exchange, "rate")
            return
        ticket = None
        if verdict.names and exchange.idempotency_key and not self.guard.target.keeps_tickets:
            ticket = new_ticket(self.ledger.name, exchange.idempotency_key)
        play = Play(exchange, due, command(exchange, self.id(), ticket), verdict.names)
        if verdict.names:
            play.entered = self.ledger.enter(verdict.names)
        self.ahead.append(play)

    def id(self) -> bytes:
        self.serial += 1
        return blake2b(self.serial.to_bytes(8, "big"), digest_size=8, key=self.run).hexdigest().encode()

    def go(self, play: Play) -> None:
        """It is due. What may not run twice waits for its entry to be on the disk."""
        if play.entered is None:
            self.send(play)
        elif play.entered.done():
            self.send_entered(play, play.entered)
        else:
            self.out.add(play)
            play.entered.add_done_callback(lambda done: self.send_entered(play, done))

    def send_entered(self, play: Play, done: asyncio.Future[None]) -> None:
        if done.cancelled() or done.exception():
            self.out.discard(play)
            if not play.over:
                play.over = True
                self.report.counts["never_sent"] += 1
                self.report.list("never sent", "the ledger could not be written", play.exchange)
            self.stop(str(done.exception() if not done.cancelled() else "the ledger was closed"))
        elif not self.stopped:
            self.send(play)

    def send(self, play: Play) -> None:
        if play.over or self.stopped:
            return
        now = self.loop.time()
        if not play.again:
            self.report.sent(play.due, now)
        play.sent = True
        self.out.add(play)
        left = play.due + play.limit + GRACE - now
        play.timer = self.loop.call_later(max(0.0, left), self.time_is_up, play)
        self.front.send(play)

    def time_is_up(self, play: Play) -> None:
        if not play.over:
            self.front.give_up(play)
            self.ended(play, "no_answer")

    def ended(self, play: Play, how: str, back_in: float | None = None) -> None:
        """Told by the front, once for each; what comes later is not heard."""
        if play.over:
            return
        now = self.loop.time()
        if play.timer:
            play.timer.cancel()
        if how == "rejected" and self.patient and not play.names and back_in is not None:
            again = now + back_in
            if not play.again and again < play.due + play.limit and back_in <= MOST_WAIT:
                self.report.counts["asked_again"] += 1
                play.again = True
                play.words[2] = self.id()
                self.loop.call_at(again, self.send, play)
                return
        play.over = True
        self.out.discard(play)
        if play.names:
            match how:
                case "never_sent":
                    self.ledger.became(play.names, Kind.FREED)
                case "no_answer":
                    self.ledger.became(play.names, Kind.UNSURE, "none")
                    how = "unsure"
                case _:
                    self.ledger.became(play.names, Kind.ANSWERED, how)
        self.report.ended(play.exchange, how, play.due, now)
        self.free.set()

    def stop(self, why: str) -> None:
        """Nothing more is sent; what is out has LAST for its answer."""
        if self.stopped:
            return
        self.stopped = why
        for play in [*self.out, *self.ahead]:
            if not play.over and not play.sent:
                self.ended(play, "never_sent")
        self.loop.call_later(LAST, self.give_up)
        self.free.set()

    def give_up(self) -> None:
        """What is out and still has no answer is unsure, if it may not run twice."""
        for play in list(self.out):
            if not play.over:
                self.front.give_up(play)
                self.ended(play, "no_answer")
        self.free.set()


class NoBook:
    """Stands for a ledger where none was told."""

    def holds(self, name: bytes) -> str | None:
        return None


NO_BOOK = NoBook()
