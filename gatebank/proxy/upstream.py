"""The client side: connections to nodes, the attempts on them, and probes.

Nodes owns a ConnectionPool for each node at its address; a pool its connections; a Connection its socket,
buffer and tasks, given back in `Connection.close`, the one place. One attempt is out on a connection at a
time; behind another one is written only when descriptors are short, up to the number that the settings allow.
Nothing is ever sent again here.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence

from gatebank.events import Outcome
from gatebank.proxy import resp
from gatebank.proxy.configuration import Address
from gatebank.proxy.log import say
from gatebank.proxy.sockets import Pending, Record, give_back, opened, waiting
from gatebank.settings import Settings

PING = resp.command([b"PING"])
# s a connection rests after an answer: a second one, which may come some milliseconds late (STANDING), would
# be taken for that to the next attempt. Harmful where a node gets more than some tens of attempts a second
# from one marshal, and connections are dear.
REST = 0.02
Key = tuple[int, Address, int, float | None]  # node, where it listens, build, start
AttemptResult = Callable[[Outcome, memoryview | None, Sequence[float] | None], None]


class Attempt:
    """One attempt or probe; ``ended`` is called once, with how it ended and what came."""

    __slots__ = ("connection", "done", "ended", "mark", "probe", "timer", "tries", "written")

    def __init__(
        self, tries: Callable[[], bytes | None], ended: AttemptResult, probe: bool, mark: str = ""
    ) -> None:
        self.tries, self.ended, self.probe = tries, ended, probe
        self.mark = mark  # for a recording: which attempt of which invocation
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None  # its own limit; goes with its end
        self.done = self.written = False  # written: to its last byte, or that is on its way

    def finish(
        self, ending: Outcome, value: memoryview | None = None, report: Sequence[float] | None = None
    ) -> None:
        if not self.done:
            self.done = True
            if self.timer:
                self.timer.cancel()
            self.ended(ending, value, report)

    def give_up(self, ending: Outcome) -> None:
        """Withdrawn or out of time: its connection is closed, that it is not out twice."""
        if not self.done:
            if self.connection:
                self.connection.forsake(self, ending)
            self.finish(ending)


class Connection:
    """A connection to a node."""

    def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        self.attempts: deque[Attempt] = deque()  # in the order written; emptied by answers, or by `close`
        self.idle_since = time.monotonic()
        self.rests_until = 0.0  # it has answered, and may do so twice
        self.reading = Pending()
        self.handling = False  # a read has ended, and not all of it is used up
        self.inbox = resp.Inbox(pool.owner.grown, pool.owner.most_value)
        self.closed = False
        self.writer: asyncio.Task[None] | None = None
        self.tape = pool.owner.record(sock) if pool.owner.record else None
        self.forsaken = ""  # for the tape: which attempt was given up, and why
        self.reader = asyncio.ensure_future(self.read())

    def silent(self) -> bool:
        """Nothing came that was not used up: not in the kernel, nor in a read whose task has not gone on."""
        return not self.handling and not self.reading.done and waiting(self.sock) == 0

    def write(self, attempt: Attempt) -> bool:
        """False if the attempt is no longer wanted: then nothing was done."""
        data = attempt.tries()
        if data is None:
            attempt.finish(Outcome.NOT_SENT)
            return False
        self.attempts.append(attempt)
        attempt.connection = self
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return True
        attempt.written = sent == len(data)
        if self.tape:
            self.tape.asked(data[:sent], attempt.mark)
        if not attempt.written:
            self.writer = asyncio.ensure_future(self.write_on(attempt, data[sent:]))
        return True

    async def write_on(self, attempt: Attempt, rest: bytes) -> None:
        loop = self.pool.owner.loop
        try:
            if len(rest) > 1:
                await loop.sock_sendall(self.sock, rest[:-1])
            # The last byte by itself: it decides whether the attempt is out. It may be, from here on: the
            # loop may have written it, and the connection break, before this task goes on.
            attempt.written = True
            await loop.sock_sendall(self.sock, rest[-1:])
            if self.tape:
                self.tape.asked(rest)
            self.writer = None
        except OSError:
            self.close()

    async def read(self) -> None:
        inbox, owner = self.inbox, self.pool.owner
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
                    if not self.attempts or not self.attempts[0].written:
                        raise resp.ProtocolError("it answered what was not asked")
                    attempt = self.attempts[0]
                    told = pong(reply) if attempt.probe else owner.understood(reply)
                    self.attempts.popleft()
                    attempt.finish(*told)
                if not self.attempts and not self.closed:
                    # Only now, with all that came used up: what lies behind an answer must not meet the next
                    # attempt, whose customer would be satisfied with another's value.
                    behind = waiting(self.sock)
                    if behind < 0:
                        break
                    if inbox.held or behind:
                        raise resp.ProtocolError("more came than one answer")
                    self.handling = False
                    self.pool.rest(self)
                self.handling = False
        except resp.ProtocolError as trouble:
            keys = {"idle": time.monotonic() - self.idle_since} if not self.attempts else {}
            say("node_broken", logging.WARNING, node=self.pool.name, why=trouble, **keys)
        except OSError:
            pass
        finally:
            self.close()

    async def more(self, inbox: resp.Inbox) -> int:
        """Read on. A node writes an answer in one go: where its next part does not come for twice the time
        that a connection may take to come up, it is spoilt, and its attempt need not wait out its time limit.
        No read is given up for that: one that ended as the time did would leave a hole in the answer."""
        room, owner, timer = inbox.room(), self.pool.owner, None
        if inbox.held:
            timer = owner.loop.call_later(2 * owner.connect_timeout, self.stopped)
        try:
            return await self.reading.of(owner.loop.sock_recv_into(self.sock, room))
        finally:
            if timer:
                timer.cancel()

    def stopped(self) -> None:
        if not self.closed and self.silent():  # else it has come, and this process was late
            say("node_broken", logging.WARNING, node=self.pool.name, why="an answer stopped half way")
            self.close()

    def takes(self, most: int) -> bool:
        """One more may be written behind what is out: not while a read is being used up, as what lies behind
        an answer would be taken for this one's."""
        return not self.writer and not self.handling and not self.reading.done and len(self.attempts) < most

    def forsake(self, attempt: Attempt, ending: Outcome) -> None:
        if self.tape and attempt.mark:
            self.forsaken = f"{attempt.mark} {ending.value}"
        if all(each.done or each is attempt for each in self.attempts):
            self.attempts.clear()
            self.close()
        elif not attempt.written:  # its rest would go out behind its final answer: the others are cut instead
            self.attempts.remove(attempt)
            self.close()
        # else others are out on it: what comes for this one is passed over

    def close(self) -> None:
        """Give everything back; what was out is cut, or was never sent whole."""
        if self.closed:
            return
        self.closed = True
        self.pool.drop(self)
        self.inbox.close()
        if self.tape:
            self.tape.ended(1 if waiting(self.sock) < 0 else 0, comment=self.forsaken)
        give_back(self.sock, self.reader, self.writer)
        while self.attempts:
            attempt = self.attempts.popleft()
            attempt.finish(Outcome.CONNECTION_LOST if attempt.written else Outcome.NO_CONNECTION)


def pong(reply: resp.Reply) -> tuple[Outcome, None, None]:
    return (Outcome.SUCCESS if reply.mark == "+" else Outcome.ERROR), None, None


class ConnectionPool:
    """Connections to one process of a node at its address: another under the same id has its own."""

    def __init__(self, owner: Nodes, key: Key, name: str) -> None:
        self.owner, self.key, self.name = owner, key, name
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []  # the last used is used first, so that the others grow old and go
        self.waiting: deque[Attempt] = deque()  # for a connection, in turn; emptied as they come or do not
        self.coming = 0  # connections on their way
        self.left = False  # it is off the roll: no connection is kept

    def drop(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.owner.open -= 1
        self.strand()
        self.owner.sweep_pool(self)

    def strand(self) -> None:
        """Who waits with no connection left or coming has waited for nothing."""
        while self.waiting and not self.connections and not self.coming:
            self.waiting.popleft().finish(Outcome.NO_CONNECTION)

    def park(self, connection: Connection) -> None:
        """A connection has nothing out and owes nothing: to the first that waits and is wanted, or idle."""
        while self.waiting and not connection.closed:
            attempt = self.waiting.popleft()
            if not attempt.done and connection.write(attempt):
                return
        if self.left:
            connection.close()
        elif not connection.closed and connection not in self.idle:
            self.idle.append(connection)

    def rest(self, connection: Connection) -> None:
        """A connection has answered all: idle, for a while with nothing to do."""
        if self.left:
            connection.close()
        elif not connection.closed:
            connection.idle_since = time.monotonic()
            connection.rests_until = connection.idle_since + REST
            self.idle.append(connection)
            if self.waiting:
                self.owner.loop.call_later(REST, self.rested)

    def rested(self) -> None:
        """Who waits is served by those that have rested. The loop's clock stands still within a turn, and so
        its timers come some milliseconds early: who has not quite rested is looked at again."""
        while self.waiting and (connection := self.take_idle()):
            self.park(connection)
        if self.waiting and self.idle:
            left = min(connection.rests_until for connection in self.idle) - time.monotonic()
            self.owner.loop.call_later(max(0.001, left), self.rested)

    def take_idle(self) -> Connection | None:
        """The last used of those that have rested, unless the node has ended it or is about to, or sent more
        than it owed."""
        now, fresh = time.monotonic(), list[Connection]()
        found = None
        while self.idle and not found:
            connection = self.idle.pop()
            if now < connection.rests_until:
                fresh.append(connection)
            elif now - connection.idle_since < self.owner.retire_after and connection.silent():
                found = connection
            else:
                connection.close()
        self.idle += reversed(fresh)
        return found


class Nodes:
    record: Record | None = None  # makes the tape of a connection

    def __init__(self, settings: Settings, most: int, buffers: int = 1 << 20) -> None:
        limits = settings.limits
        idle_timeout = 10.0 if limits.connection_idle_timeout is None else limits.connection_idle_timeout
        self.loop, self.most, self.grown = asyncio.get_running_loop(), most, resp.Allowance(buffers)
        # Nodes give values beyond PROTOCOL's 64 KiB: what memory allows is taken, eight of the largest.
        self.most_value = max(resp.MOST_VALUE, buffers // 8)
        self.pools: dict[Key, ConnectionPool] = {}  # emptied as nodes leave the roll
        self.open = self.peak = self.opened = 0  # now, at most, and since the start
        self.opening: set[asyncio.Task[None]] = set()  # each goes when its connection is up or not
        self.connect_timeout = 1.0 if limits.connect_timeout is None else limits.connect_timeout
        self.streams = limits.attempts_per_connection
        # Half of the time after which a node closes them at the latest: it may be earlier.
        self.retire_after = idle_timeout / 2
        self.fields = [REPORTED.get(name, name) for name in settings.report_fields]

    def send(
        self,
        key: Key,
        name: str,
        tries: Callable[[], bytes | None],
        ended: AttemptResult,
        probe: bool = False,
        mark: str = "",
    ) -> Attempt:
        """Begin an attempt: ``tries`` gives its bytes when it can be written, None if it is unwanted then."""
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = ConnectionPool(self, key, name)
        attempt = Attempt(tries, ended, probe, mark)
        if connection := pool.take_idle():
            if not connection.write(attempt):
                pool.park(connection)
        elif self.open < self.most or self.spare():
            pool.waiting.append(attempt)
            self.open += 1
            self.opened += 1
            self.peak = max(self.peak, self.open)
            pool.coming += 1
            task = asyncio.ensure_future(self.connect(pool, attempt))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        else:
            shared = [each for each in pool.connections if each.attempts and each.takes(self.streams)]
            if shared:
                min(shared, key=lambda each: len(each.attempts)).write(attempt)
            elif pool.coming or pool.idle:
                pool.waiting.append(attempt)
                if pool.idle:
                    self.loop.call_later(REST, pool.rested)
            else:
                say("no_descriptor", logging.WARNING, open=self.open)
                attempt.finish(Outcome.NOT_SENT)
        return attempt

    def probe(self, key: Key, name: str, patience: float, ended: AttemptResult) -> None:
        attempt = self.send(key, name, lambda: PING, ended, probe=True)
        if not attempt.done:
            attempt.timer = self.loop.call_later(patience, attempt.give_up, Outcome.TIMED_OUT)

    async def connect(self, pool: ConnectionPool, attempt: Attempt) -> None:
        where = pool.key[1]
        sock = None
        try:
            sock = opened(where)
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.sock_connect(sock, where)
        except BaseException as trouble:
            pool.coming -= 1
            self.open -= 1
            if sock:
                sock.close()
            if not isinstance(trouble, OSError | TimeoutError):
                raise
            if attempt in pool.waiting:
                pool.waiting.remove(attempt)
                attempt.finish(Outcome.NO_CONNECTION)
            pool.strand()
            self.sweep_pool(pool)
        else:
            pool.coming -= 1
            connection = Connection(pool, sock)
            pool.connections.add(connection)
            pool.park(connection)

    def understood(self, reply: resp.Reply) -> tuple[Outcome, memoryview | None, Sequence[float] | None]:
        """What a node's answer means; Broken if it can't be read."""
        words = reply.words
        if reply.mark == "*" and len(words) == 3 and words[0] is not None and words[1] is None:
            return Outcome.SUCCESS, words[0], self.report(words[2])
        if reply.mark == "-" and words[0] is not None:
            text = bytes(words[0])
            match text.split(b" ")[0]:
                case b"BUSY" | b"SYNTAX":  # neither has run it
                    return Outcome.REJECTED, None, None
                case b"ERR":
                    return Outcome.ERROR, None, self.report(text.rpartition(b" ")[2])
        raise resp.ProtocolError("no answer to an attempt looks so")

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
        """Close the longest idle connection to make room; false if there is none."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def keep(self, listed: set[Key]) -> None:
        """The roll changed: who is not listed keeps no idle connection."""
        for key, pool in list(self.pools.items()):
            pool.left = key not in listed
            while pool.left and pool.idle:
                pool.idle[-1].close()
            self.sweep_pool(pool)

    def sweep_pool(self, pool: ConnectionPool) -> None:
        if pool.left and not pool.connections and not pool.waiting:
            self.pools.pop(pool.key, None)

    def sweep(self) -> None:
        """Now and then: connections idle for too long go, before the node ends them."""
        before = time.monotonic() - self.retire_after
        for pool in list(self.pools.values()):
            while pool.idle and pool.idle[0].idle_since < before:
                pool.idle[0].close()

    def close(self) -> None:
        for task in self.opening:
            task.cancel()
        for pool in list(self.pools.values()):
            for connection in list(pool.connections):
                connection.close()


# The settings name a report's fields as the simulator does; a node names them so.
REPORTED = {
    "concurrent": "inflight", "depth": "queue", "load_share": "util",
    "mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps",
}  # fmt: skip
