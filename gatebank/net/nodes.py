"""The client side: connections to nodes, the shots on them, and probes.

Nodes owns a House for each node at its address; a House its lines; a Line its socket, buffer and tasks,
given back in `Line.close`, the one place. One shot is out on a line at a time; behind another one is written
only when descriptors are short, up to the number that the settings allow. Nothing is ever sent again here.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from gatebank.interface import Ending
from gatebank.net import resp
from gatebank.net.launch import Address
from gatebank.net.log import say
from gatebank.net.sockets import Pending, Record, give_back, opened, waiting

PING = resp.command([b"PING"])
# s a connection rests after an answer: a second one, which may come some milliseconds late (STANDING), would
# be taken for that to the next shot. Harmful where a node gets more than some tens of shots a second from one
# marshal, and connections are dear.
REST = 0.02
Key = tuple[int, Address, int, float | None]  # node, where it listens, build, start
Ended = Callable[[Ending, memoryview | None, Sequence[float] | None], None]


class Shot:
    """One shot or probe; ``ended`` is called once, with how it ended and what came."""

    __slots__ = ("done", "ended", "line", "mark", "probe", "timer", "tries", "written")

    def __init__(
        self, tries: Callable[[], bytes | None], ended: Ended, probe: bool, mark: str = ""
    ) -> None:
        self.tries, self.ended, self.probe = tries, ended, probe
        self.mark = mark  # for a recording: which shot of which invocation
        self.line: Line | None = None
        self.timer: asyncio.TimerHandle | None = None  # its own limit; goes with its end
        self.done = self.written = False  # written: to its last byte, or that is on its way

    def finish(
        self, ending: Ending, value: memoryview | None = None, report: Sequence[float] | None = None
    ) -> None:
        if not self.done:
            self.done = True
            if self.timer:
                self.timer.cancel()
            self.ended(ending, value, report)

    def give_up(self, ending: Ending) -> None:
        """Withdrawn or out of time: its connection is closed, that it is not out twice."""
        if not self.done:
            if self.line:
                self.line.forsake(self, ending)
            self.finish(ending)


class Line:
    """A connection to a node."""

    def __init__(self, house: House, sock: socket.socket) -> None:
        self.house, self.sock = house, sock
        self.shots: deque[Shot] = deque()  # in the order written; emptied by answers, or by `close`
        self.idle_since = time.monotonic()
        self.rests_until = 0.0  # it has answered, and may do so twice
        self.reading = Pending()
        self.handling = False  # a read has ended, and not all of it is used up
        self.inbox = resp.Inbox(house.owner.grown, house.owner.most_value)
        self.closed = False
        self.writer: asyncio.Task[None] | None = None
        self.tape = house.owner.record(sock) if house.owner.record else None
        self.forsaken = ""  # for the tape: which shot was given up, and why
        self.reader = asyncio.ensure_future(self.read())

    def silent(self) -> bool:
        """Nothing came that was not used up: not in the kernel, nor in a read whose task has not gone on."""
        return not self.handling and not self.reading.done and waiting(self.sock) == 0

    def write(self, shot: Shot) -> bool:
        """False if the shot is no longer wanted: then nothing was done."""
        data = shot.tries()
        if data is None:
            shot.finish(Ending.NOT_SENT)
            return False
        self.shots.append(shot)
        shot.line = self
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return True
        shot.written = sent == len(data)
        if self.tape:
            self.tape.asked(data[:sent], shot.mark)
        if not shot.written:
            self.writer = asyncio.ensure_future(self.write_on(shot, data[sent:]))
        return True

    async def write_on(self, shot: Shot, rest: bytes) -> None:
        loop = self.house.owner.loop
        try:
            if len(rest) > 1:
                await loop.sock_sendall(self.sock, rest[:-1])
            # The last byte by itself: it decides whether the shot is out. It may be, from here on: the loop
            # may have written it, and the connection break, before this task goes on.
            shot.written = True
            await loop.sock_sendall(self.sock, rest[-1:])
            if self.tape:
                self.tape.asked(rest)
            self.writer = None
        except OSError:
            self.close()

    async def read(self) -> None:
        inbox, owner = self.inbox, self.house.owner
        try:
            while not self.closed:
                size = await self.more(inbox)
                if not size:
                    break
                self.handling = True
                inbox.filled(size)
                if self.tape:
                    self.tape.replied(bytes(inbox.data[inbox.end - size : inbox.end]))
                for reply in inbox.replies():
                    if not self.shots or not self.shots[0].written:
                        raise resp.Broken("it answered what was not asked")
                    shot = self.shots[0]
                    told = pong(reply) if shot.probe else owner.understood(reply)
                    self.shots.popleft()
                    shot.finish(*told)
                if not self.shots and not self.closed:
                    # Only now, with all that came used up: what lies behind an answer must not meet the next
                    # shot, whose customer would be satisfied with another's value.
                    behind = waiting(self.sock)
                    if behind < 0:
                        break
                    if inbox.held or behind:
                        raise resp.Broken("more came than one answer")
                    self.handling = False
                    self.house.rest(self)
                self.handling = False
        except resp.Broken as trouble:
            keys = {"idle": time.monotonic() - self.idle_since} if not self.shots else {}
            say("node_broken", logging.WARNING, node=self.house.name, why=trouble, **keys)
        except OSError:
            pass
        finally:
            self.close()

    async def more(self, inbox: resp.Inbox) -> int:
        """Read on. A node writes an answer in one go: where its next part does not come for twice the time
        that a connection may take to come up, it is spoilt, and its shot need not wait out its time limit. No
        read is given up for that: one that ended as the time did would leave a hole in the answer."""
        room, owner, timer = inbox.room(), self.house.owner, None
        if inbox.held:
            timer = owner.loop.call_later(2 * owner.connect_timeout, self.stopped)
        try:
            return await self.reading.of(owner.loop.sock_recv_into(self.sock, room))
        finally:
            if timer:
                timer.cancel()

    def stopped(self) -> None:
        if not self.closed and self.silent():  # else it has come, and this process was late
            say("node_broken", logging.WARNING, node=self.house.name, why="an answer stopped half way")
            self.close()

    def takes(self, most: int) -> bool:
        """One more may be written behind what is out: not while a read is being used up, as what lies behind
        an answer would be taken for this one's."""
        return not self.writer and not self.handling and not self.reading.done and len(self.shots) < most

    def forsake(self, shot: Shot, ending: Ending) -> None:
        if self.tape and shot.mark:
            self.forsaken = f"{shot.mark} {ending.value}"
        if all(each.done or each is shot for each in self.shots):
            self.shots.clear()
            self.close()
        elif not shot.written:  # its rest would go out behind its final answer: the others are cut instead
            self.shots.remove(shot)
            self.close()
        # else others are out on it: what comes for this one is passed over

    def close(self) -> None:
        """Give everything back; what was out is cut, or was never sent whole."""
        if self.closed:
            return
        self.closed = True
        self.house.drop(self)
        self.inbox.close()
        if self.tape:
            self.tape.ended(1 if waiting(self.sock) < 0 else 0, comment=self.forsaken)
        give_back(self.sock, self.reader, self.writer)
        while self.shots:
            shot = self.shots.popleft()
            shot.finish(Ending.CUT if shot.written else Ending.NO_CONNECTION)


def pong(reply: resp.Reply) -> tuple[Ending, None, None]:
    return (Ending.SATISFIED if reply.mark == "+" else Ending.ERROR), None, None


class House:
    """A process of a node at its address: another under the same id and address has none of its lines."""

    def __init__(self, owner: Nodes, key: Key, name: str) -> None:
        self.owner, self.key, self.name = owner, key, name
        self.lines: set[Line] = set()
        self.idle: list[Line] = []  # the last used is used first, so that the others grow old and go
        self.waiting: deque[Shot] = deque()  # for a connection, in turn; emptied as they come or do not
        self.coming = 0  # connections on their way
        self.left = False  # it is off the roll: no line is kept

    def drop(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        self.owner.open -= 1
        self.strand()
        self.owner.sweep_house(self)

    def strand(self) -> None:
        """Who waits with no connection left or coming has waited for nothing."""
        while self.waiting and not self.lines and not self.coming:
            self.waiting.popleft().finish(Ending.NO_CONNECTION)

    def park(self, line: Line) -> None:
        """A line has nothing out and owes nothing: to the first that waits and is wanted, or idle."""
        while self.waiting and not line.closed:
            shot = self.waiting.popleft()
            if not shot.done and line.write(shot):
                return
        if self.left:
            line.close()
        elif not line.closed and line not in self.idle:
            self.idle.append(line)

    def rest(self, line: Line) -> None:
        """A line has answered all: idle, for a while with nothing to do."""
        if self.left:
            line.close()
        elif not line.closed:
            line.idle_since = time.monotonic()
            line.rests_until = line.idle_since + REST
            self.idle.append(line)
            if self.waiting:
                self.owner.loop.call_later(REST, self.rested)

    def rested(self) -> None:
        """Who waits is served by those that have rested. The loop's clock stands still within a turn, and so
        its timers come some milliseconds early: who has not quite rested is looked at again."""
        while self.waiting and (line := self.take_idle()):
            self.park(line)
        if self.waiting and self.idle:
            left = min(line.rests_until for line in self.idle) - time.monotonic()
            self.owner.loop.call_later(max(0.001, left), self.rested)

    def take_idle(self) -> Line | None:
        """The last used of those that have rested, unless the node has ended it or is about to, or sent more
        than it owed."""
        now, fresh = time.monotonic(), list[Line]()
        found = None
        while self.idle and not found:
            line = self.idle.pop()
            if now < line.rests_until:
                fresh.append(line)
            elif now - line.idle_since < self.owner.retire_after and line.silent():
                found = line
            else:
                line.close()
        self.idle += reversed(fresh)
        return found


class Nodes:
    record: Record | None = None  # makes the tape of a connection

    def __init__(self, orders: Mapping[str, Any], most: int, buffers: int = 1 << 20) -> None:
        self.loop, self.most, self.grown = asyncio.get_running_loop(), most, resp.Allowance(buffers)
        # Nodes give values beyond PROTOCOL's 64 KiB: what memory allows is taken, eight of the largest.
        self.most_value = max(resp.MOST_VALUE, buffers // 8)
        self.houses: dict[Key, House] = {}  # emptied as nodes leave the roll
        self.open = self.peak = self.opened = 0  # now, at most, and since the start
        self.opening: set[asyncio.Task[None]] = set()  # each goes when its connection is up or not
        self.connect_timeout = orders.get("connect_timeout", 1.0)
        self.streams = orders.get("shots_per_connection", 1)
        # Half of the time after which a node closes them at the latest: it may be earlier.
        self.retire_after = orders.get("connection_idle", 10.0) / 2
        self.fields = [REPORTED.get(name, name) for name in orders.get("report_fields", ())]

    def shoot(
        self,
        key: Key,
        name: str,
        tries: Callable[[], bytes | None],
        ended: Ended,
        probe: bool = False,
        mark: str = "",
    ) -> Shot:
        """Begin a shot: ``tries`` gives its bytes when it can be written, None if it is not wanted then."""
        house = self.houses.get(key)
        if house is None:
            house = self.houses[key] = House(self, key, name)
        shot = Shot(tries, ended, probe, mark)
        if line := house.take_idle():
            if not line.write(shot):
                house.park(line)
        elif self.open < self.most or self.spare():
            house.waiting.append(shot)
            self.open += 1
            self.opened += 1
            self.peak = max(self.peak, self.open)
            house.coming += 1
            task = asyncio.ensure_future(self.connect(house, shot))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        else:
            lines = [line for line in house.lines if line.shots and line.takes(self.streams)]
            if lines:
                min(lines, key=lambda line: len(line.shots)).write(shot)
            elif house.coming or house.idle:
                house.waiting.append(shot)
                if house.idle:
                    self.loop.call_later(REST, house.rested)
            else:
                say("no_descriptor", logging.WARNING, open=self.open)
                shot.finish(Ending.NOT_SENT)
        return shot

    def probe(self, key: Key, name: str, patience: float, ended: Ended) -> None:
        shot = self.shoot(key, name, lambda: PING, ended, probe=True)
        if not shot.done:
            shot.timer = self.loop.call_later(patience, shot.give_up, Ending.TIMED_OUT)

    async def connect(self, house: House, shot: Shot) -> None:
        where = house.key[1]
        sock = None
        try:
            sock = opened(where)
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.sock_connect(sock, where)
        except BaseException as trouble:
            house.coming -= 1
            self.open -= 1
            if sock:
                sock.close()
            if not isinstance(trouble, OSError | TimeoutError):
                raise
            if shot in house.waiting:
                house.waiting.remove(shot)
                shot.finish(Ending.NO_CONNECTION)
            house.strand()
            self.sweep_house(house)
        else:
            house.coming -= 1
            line = Line(house, sock)
            house.lines.add(line)
            house.park(line)

    def understood(self, reply: resp.Reply) -> tuple[Ending, memoryview | None, Sequence[float] | None]:
        """What a node's answer means; Broken if it can't be read."""
        words = reply.words
        if reply.mark == "*" and len(words) == 3 and words[0] is not None and words[1] is None:
            return Ending.SATISFIED, words[0], self.report(words[2])
        if reply.mark == "-" and words[0] is not None:
            text = bytes(words[0])
            match text.split(b" ")[0]:
                case b"BUSY" | b"SYNTAX":  # neither has run it
                    return Ending.TURNED_AWAY, None, None
                case b"ERR":
                    return Ending.ERROR, None, self.report(text.rpartition(b" ")[2])
        raise resp.Broken("no answer to a shot looks so")

    def report(self, text: bytes | memoryview | None) -> Sequence[float] | None:
        """A load report in the order of the settings; a broken one is none."""
        if not text or not self.fields:
            return None
        try:
            found = dict(each.split("=", 1) for each in bytes(text).decode().split(","))
            figures = [float(found[name]) for name in self.fields]
        except (ValueError, KeyError):
            return None
        return figures if all(0 <= figure < 1e9 for figure in figures) else None

    def spare(self) -> bool:
        """Close the longest idle line to make room; false if there is none."""
        idle = [house.idle[0] for house in self.houses.values() if house.idle]
        if idle:
            min(idle, key=lambda line: line.idle_since).close()
        return bool(idle)

    def keep(self, listed: set[Key]) -> None:
        """The roll changed: who is not listed keeps no idle line."""
        for key, house in list(self.houses.items()):
            house.left = key not in listed
            while house.left and house.idle:
                house.idle[-1].close()
            self.sweep_house(house)

    def sweep_house(self, house: House) -> None:
        if house.left and not house.lines and not house.waiting:
            self.houses.pop(house.key, None)

    def sweep(self) -> None:
        """Now and then: lines idle for too long go, before the node ends them."""
        before = time.monotonic() - self.retire_after
        for house in list(self.houses.values()):
            while house.idle and house.idle[0].idle_since < before:
                house.idle[0].close()

    def close(self) -> None:
        for task in self.opening:
            task.cancel()
        for house in list(self.houses.values()):
            for line in list(house.lines):
                line.close()


# The settings name a report's fields as the simulator does; a node names them so.
REPORTED = {
    "concurrent": "inflight", "depth": "queue", "load_share": "util",
    "mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps",
}  # fmt: skip
