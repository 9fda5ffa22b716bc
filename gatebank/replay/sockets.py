"""Invocations to a running marshal over its customers' protocol.

A Line owns its socket, buffer and tasks, and gives them back in `close`, the one place. Nothing is ever sent
again here: what a broken connection had taken whole is without an answer, what it had not has never left.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque

from gatebank.proxy.configuration import Address
from gatebank.proxy.resp2 import codec as resp
from gatebank.proxy.sockets import give_back, opened
from gatebank.replay.player import Play, Player

CONNECT = 2.0  # s until a connection must be up: a marshal on loopback or in the same building takes 0.01
PART = 1 << 16  # bytes written at once
MOST_VALUE = 16 << 20  # bytes of a value: larger than any that a marshal passes on


class Line:
    """A connection to the marshal. Commands go one behind another; answers come in their order."""

    def __init__(self, owner: Sockets, key: int) -> None:
        self.owner, self.key = owner, key
        self.plays: deque[Play] = deque()  # written or to be written, in order; emptied by answers or `close`
        self.rest = bytearray()  # not yet taken by the system
        self.ends: deque[tuple[Play, int]] = deque()  # where in `rest` each one's last byte is
        self.closed = self.up = False
        self.sock = opened(owner.where)
        self.writing: asyncio.Task[None] | None = None
        self.task = asyncio.ensure_future(self.work())
        self.done = 0  # bytes taken by the system
        self.given = 0  # bytes given in all

    def put(self, play: Play) -> None:
        data = resp.command(play.words)
        self.plays.append(play)
        self.given += len(data)
        self.ends.append((play, self.given))
        self.rest += data
        if self.up and self.writing is None:
            self.write()

    def write(self) -> None:
        """As much as the system takes at once; the rest by a task."""
        try:
            sent = self.sock.send(self.rest)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self.took(sent)
        if self.rest:
            self.writing = asyncio.ensure_future(self.write_on())

    async def write_on(self) -> None:
        try:
            while self.rest:
                part = bytes(self.rest[:PART])
                await self.owner.player.loop.sock_sendall(self.sock, part)
                self.took(len(part))
            self.writing = None
        except OSError:
            self.close()

    def took(self, size: int) -> None:
        del self.rest[:size]
        self.done += size
        while self.ends and self.ends[0][1] <= self.done:
            self.ends.popleft()

    async def work(self) -> None:
        loop, inbox = self.owner.player.loop, resp.Inbox(None, MOST_VALUE)
        inbox.allowance = resp.Allowance(2 * MOST_VALUE)
        try:
            async with asyncio.timeout(CONNECT):
                await loop.sock_connect(self.sock, self.owner.where)
            self.up = True
            if self.rest:
                self.write()
            while not self.closed:
                size = await loop.sock_recv_into(self.sock, inbox.room())
                if not size:
                    break
                inbox.filled(size)
                for reply in inbox.replies():
                    if not self.plays:
                        raise resp.ProtocolError("an answer to nothing")
                    play = self.plays.popleft()
                    self.owner.player.ended(play, *understood(reply))
        except (OSError, TimeoutError, resp.ProtocolError):
            pass
        finally:
            self.close()

    @property
    def open(self) -> int:
        return sum(not play.over for play in self.plays)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.writing:  # how much of the part that it is at has left is not known: as if all had
            self.took(min(len(self.rest), PART))
        self.owner.lines.pop(self.key, None)
        give_back(self.sock, self.task, self.writing)
        unsent = {play for play, _ in self.ends}
        while self.plays:
            play = self.plays.popleft()
            self.owner.player.ended(play, "never_sent" if play in unsent else "no_answer")


def understood(reply: resp.Reply) -> tuple[str, float | None]:
    """An answer's ending, and when to come again, in s.

    >>> [understood(resp.Reply("-", [memoryview(line)])) for line in (b"BUSY 250", b"BUSY", b"ERR x")]
    [('rejected', 0.25), ('rejected', None), ('broken_off', None)]
    """
    first = reply.words[0] if reply.words else None
    if reply.mark in "$*" and first is not None:
        return "satisfied", None
    line = bytes(first or b"")
    if reply.mark == "-" and line.startswith(b"BUSY"):
        told = line[5:]
        return "rejected", int(told) / 1000 if told.isdigit() and len(told) < 8 else None
    return "broken_off", None


class Sockets:
    """The front: connections as recorded (one for each recorded one), or from a pool."""

    def __init__(self, player: Player, where: Address, pooled: bool, most: int) -> None:
        self.player, self.where, self.pooled, self.most = player, where, pooled, most
        self.lines: OrderedDict[int, Line] = OrderedDict()  # the longest unused first; each goes as it closes
        self.serial = 0
        player.serving = self.refuses

    def refuses(self, _: object) -> str:
        return "" if len(self.lines) < self.most or self.pooled or self.room() else "connections"

    def room(self) -> bool:
        """Close the longest unused idle connection; false if all have something open."""
        idle = next((line for line in self.lines.values() if not line.plays), None)
        if idle:
            idle.close()
        return idle is not None

    def send(self, play: Play) -> None:
        line = self.pool() if self.pooled else self.lines.get(play.exchange.stream)
        if line is None:
            if len(self.lines) >= self.most and not self.room():
                self.player.ended(play, "never_sent")
                return
            self.serial += 1
            key = self.serial if self.pooled else play.exchange.stream
            try:
                line = self.lines[key] = Line(self, key)
            except OSError:  # no descriptor
                self.player.ended(play, "never_sent")
                return
        self.lines.move_to_end(line.key)
        line.put(play)

    def pool(self) -> Line | None:
        """The last used idle one; where there may be no more, the one with least in hand."""
        for line in reversed(self.lines.values()):
            if not line.plays:
                return line
        return min(self.lines.values(), key=lambda line: line.open) if len(self.lines) >= self.most else None

    def give_up(self, play: Play) -> None:
        """Its answer is no longer waited for; if no other waits on the connection, that ends too."""
        for line in list(self.lines.values()):
            if play in line.plays and all(each.over or each is play for each in line.plays):
                line.close()

    def close(self) -> None:
        for line in list(self.lines.values()):
            line.close()
