"""The server side: clients' connections, their commands and the order of their answers.

Clients owns the listener and a row a connection; a Connection owns its socket, buffer and tasks, and gives
them back in `close`, the one place. What is asked goes to the exchange with a PendingReply, which takes the
answer. A client is who connects; the account that it names with `t` is a tenant.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Mapping, Sequence
from contextlib import suppress
from hashlib import blake2b
from math import inf
from typing import Protocol

from gatebank.events import RetrySafety
from gatebank.proxy import resp
from gatebank.proxy.configuration import Address, Bounds
from gatebank.proxy.log import say
from gatebank.proxy.sockets import Pending, Record, give_back, hung_up, opened, unsent, waiting
from gatebank.settings import Settings

IN_HAND = 64  # commands of a connection before it is read on
LOOK = 0.1  # s between looks at the clocks below
# s for a first command, without a byte more of a begun one, and for the whole of it: some clients write
# slowly, in pieces; 3 s are allowed in all.
HALF, WHOLE = 1.2, 2.5
SETTLED = 1.2  # s that what is in hand has, once something behind it could not be read
LINGER = 0.25  # s between an error line that ends a connection and its end, so that the line is read
IDLE, IDLE_CROWDED = 60.0, 2.0  # s without an open invocation, and where more than half the room is taken
FRESH = 0.1  # s in which who came gets to speak, before it makes room for others
PAUSE, SENSELESS = 0.1, 8  # s more before each next command behind a senseless one; so many end it
STALL = 10.0  # s without taking a byte of an answer
BACKLOG = 1024
NOTICED = 0.45  # s after SIGTERM: until 0.4 s new connections go on coming (PROTOCOL)
# SIGKILL comes no sooner after SIGTERM than the longest time limit, counted as so long at most, and then
# LAST_CALL s; what comes later than LAST_CALL and is unanswered then is lost (PROTOCOL).
LONGEST, LAST_CALL = 3.0, 0.7
PARTING = 0.5  # s before that in which a connection that was never idle is read no more: twice LINGER
KNOWN = frozenset(("c", "t", "d", "k", "r", "h"))
FORMS = ((b"Q.DO", 5), (b"Q.ASK", 4))  # the command and its words: for others, and for rerunnable ones
MOST_LEFT = 3_600_000  # ms: beyond an hour nobody waits for an answer

Kinds = Mapping[str, tuple[int, RetrySafety]]  # workloads by name


class CommandError(Exception):
    """A command that can't be carried out; the text says why."""


class ClientRequest:
    """An invocation as a client wrote it, copied: it outlives the buffer, as it may need several shots.
    It is checked against the form that PROTOCOL gives, since a node closes on what it can't use, or turns it
    away, and neither the node nor its build would be at fault."""

    __slots__ = ("cost_guess", "id", "key", "left", "parts", "repeated", "size", "tenant", "workload")

    def __init__(self, words: Sequence[memoryview], workloads: Kinds, tenants: Mapping[str, int]) -> None:
        if len(words) < 4 or not words[1] or not words[2]:
            raise CommandError("a command needs a key, an id and names and values")
        told = bytes(words[3]).decode("utf-8", "surrogateescape").split(",")  # unknown names pass unchanged
        pairs = [each.partition("=")[::2] for each in told]
        names = dict(pairs)
        if sum(name in KNOWN for name, _ in pairs) > len(KNOWN & names.keys()):
            raise CommandError("a name stands twice")
        if names.get("c") not in workloads:
            raise CommandError("no such workload")
        if tenants and names.get("t") not in tenants:
            raise CommandError("no such tenant")
        self.workload, repeats = workloads[names["c"]]
        self.tenant = tenants.get(names.get("t", ""), 0)
        if (bytes(words[0][:16]).upper(), len(words)) != FORMS[repeats is RetrySafety.IDEMPOTENT]:
            raise CommandError("this workload takes another command, or a body where there is none")
        if repeats is RetrySafety.KEYED and not names.get("k"):
            raise CommandError("a ticketed invocation needs its ticket")
        left, guess = number(names.get("d")), number(names.get("h"))
        if not left or left > MOST_LEFT:
            raise CommandError("d is no time")
        self.left, self.cost_guess = left / 1e3, guess / 1e6 if guess else None  # ms and us
        self.repeated = names.get("r") == "1"
        self.id = bytes(words[2])
        self.key = int.from_bytes(blake2b(words[1], digest_size=6).digest(), "big")
        at = next(i for i, (name, _) in enumerate(pairs) if name == "d")
        before, after = ",".join([*told[:at], "d="]), ",".join(["", *told[at + 1 :]])
        self.parts = (  # all but the figure of d, which is the marshal's
            b"*%d\r\n" % len(words) + resp.bulks(words[:3]),
            before.encode("utf-8", "surrogateescape"),
            after.encode("utf-8", "surrogateescape"),
            resp.bulks(words[4:]),
        )
        self.size = sum(map(len, self.parts))

    def command(self, left: float) -> bytes:
        """As it goes to a node that has ``left`` seconds for it.

        >>> words = (b"Q.DO", b"k", b"id", b"z=\\xff,d=480,c=pay,z=1", b"body")
        >>> kinds = {"pay": (0, RetrySafety.NON_IDEMPOTENT)}
        >>> ClientRequest([memoryview(word) for word in words], kinds, {}).command(0.25)[29:]
        b'$19\\r\\nz=\\xff,d=250,c=pay,z=1\\r\\n$4\\r\\nbody\\r\\n'
        """
        head, before, after, body = self.parts
        names = b"%b%d%b" % (before, max(1, int(left * 1000)), after)
        return b"".join((head, *resp.bulk(names), body))


def number(text: str | None) -> float | None:
    """Plain digits, with a fraction perhaps; nothing else that a language takes for a number.

    >>> number("480"), number("0.5"), number("0")
    (480.0, 0.5, None)
    >>> [each for each in ("nan", "-1", "1_0", " 1", "1e5", "\u0661", "", None) if number(each) is not None]
    []
    """
    whole, _, part = (text or "").partition(".")
    if not (whole + part).isascii() or not whole.isdigit() or not (part.isdigit() or whole == text):
        return None
    return float(text or 0) or None


class RequestHandler(Protocol):
    """What the exchange offers to clients."""

    def invoked(self, asked: ClientRequest, reply: PendingReply) -> None: ...
    def client_left(self, reply: PendingReply) -> None: ...
    def give_up(self, reply: PendingReply) -> None: ...


class PendingReply:
    """The place of one answer among those of its connection."""

    __slots__ = ("connection", "held", "mark", "parts")

    def __init__(self, connection: Connection) -> None:
        self.connection, self.held = connection, None  # held: the exchange's own
        self.mark: bytes | None = None  # the invocation's id, for a recording
        self.parts: Sequence[bytes | memoryview] | None = None

    def satisfied(self, value: memoryview) -> None:
        self.answer(resp.bulk(value))

    def rejected(self, back_in: float | None) -> None:
        self.answer([b"-BUSY %d\r\n" % (back_in * 1000) if back_in else b"-BUSY\r\n"])

    def broken_off(self, why: str) -> None:
        self.answer([f"-ERR {why}\r\n".encode()])

    def answer(self, parts: Sequence[bytes | memoryview]) -> None:
        first = bool(self.connection.replies) and self.connection.replies[0] is self
        self.parts = parts if first else [bytes(part) for part in parts]  # it waits, and its buffer does not
        if first:
            self.connection.flush()


class Connection:
    """A client's connection."""

    def __init__(self, owner: Clients, sock: socket.socket) -> None:
        self.owner, self.sock = owner, sock
        self.inbox = resp.Inbox(owner.grown)
        self.replies: deque[PendingReply] = deque()  # as commands came; emptied by answers, or by `close`
        self.rest = b""  # of answers, not yet taken
        self.since = owner.loop.time()  # it came, had its last answer, or could not be read on
        self.begun = self.came = 0.0  # since when a part of a command is held, and when its last bytes came
        self.spoke = self.ending = self.closed = False  # a whole command came; nothing more is read
        self.reading = Pending()
        self.handling = False  # a read has ended, and not all whole commands of it are taken yet
        self.senseless = 0  # commands in a row
        self.tape = owner.record(sock) if owner.record else None
        self.free = asyncio.Event()
        self.reader = asyncio.ensure_future(self.read())
        self.writer: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        return not self.replies and not self.rest

    def unread(self) -> bool:
        """Bytes that may hold a whole command wait: in the kernel, in a read that ended before its task went
        on, or in the buffer behind what is in hand. A close would lose what has been taken."""
        return self.handling or self.reading.done or waiting(self.sock) != 0

    def owes(self, now: float) -> bool:
        """Who is idle would lose something by a close: what it has asked and was not read, or answers that it
        is slow to take; not one that takes nothing for long."""
        return self.unread() or (now - self.since < STALL and unsent(self.sock))

    async def read(self) -> None:
        inbox, loop = self.inbox, self.owner.loop
        try:
            while True:
                size = await self.reading.of(loop.sock_recv_into(self.sock, inbox.room()))
                if not size:
                    self.departed()
                    break
                self.handling = True
                inbox.filled(size)
                if self.tape:
                    self.tape.asked(bytes(inbox.data[inbox.end - size : inbox.end]))
                taken = 0
                for words in inbox.commands():
                    while len(self.replies) >= IN_HAND or self.rest:
                        self.free.clear()
                        await self.free.wait()
                    self.take(words)
                    taken += 1
                    if self.senseless:  # others come first: the same again costs who sends it, not them
                        await asyncio.sleep(PAUSE * self.senseless)
                self.came = loop.time()
                self.begun = (self.begun if not taken and self.begun else self.came) if inbox.held else 0.0
                self.handling = False
                if taken != 1:  # more may wait: a read that finds bytes does not let others have their turn
                    await asyncio.sleep(0)
        except resp.ProtocolError as trouble:
            self.end(str(trouble))
        except OSError:
            pass
        finally:
            self.handling = False
            if not self.ending:
                self.close()

    def departed(self) -> None:
        """The client has closed its connection, or ended its sending on it: TCP does not tell which. It has
        gone (PROTOCOL): nothing more is sent for what is in hand; if it still reads, it has its answers, also
        those that it has not taken yet: `look` or `taken` close behind them."""
        for reply in list(self.replies):
            self.owner.door.client_left(reply)
            if reply.parts is None:
                reply.broken_off("its connection ended")
        if self.rest and not self.closed:
            self.ending, self.since = True, self.owner.loop.time()
            if self.reader is not asyncio.current_task():
                self.reader.cancel()
        else:
            self.close()

    def end(self, why: str) -> None:
        """One error line behind what is in hand; then nothing more is read, and `look` closes."""
        self.owner.broken(why)
        self.ending, self.since = True, self.owner.loop.time()
        self.next_reply().broken_off(why)

    def stop(self) -> None:
        """Nothing more is read, and `look` closes: what waits unread is sent again by its client."""
        self.ending, self.since = True, self.owner.loop.time()
        self.reader.cancel()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def look(self, now: float, crowded: bool) -> None:
        """What time alone brings about."""
        if (self.handling or self.ending) and self.replies and hung_up(self.sock):
            self.departed()  # it is not being read, so that nobody else sees the end
        elif self.ending and self.idle:
            # So that the error line is read, or the end seen.
            if now - self.since >= (SETTLED if unsent(self.sock) else LINGER):
                self.close()
        elif self.ending:
            if now - self.since >= SETTLED:  # its error line is due: what is in hand gets its final answer
                self.since, replies = now, list(self.replies)
                for reply in replies:
                    self.owner.door.give_up(reply)
                if not replies:  # it does not take its answers
                    self.close()
        elif self.begun:
            late = now - self.came >= HALF or now - self.begun >= WHOLE
            if late and not self.unread():
                self.end("a command stopped half way")
                self.reader.cancel()
        elif self.idle:
            limit = HALF if not self.spoke else IDLE_CROWDED if crowded else IDLE
            if now - self.since >= limit and not self.owes(now):
                self.close()

    def take(self, words: list[memoryview]) -> None:
        name, self.spoke, self.begun = bytes(words[0][:16]).upper(), True, 0.0
        reply = self.next_reply()
        self.owner.connections[self] = self.owner.connections.pop(self, None)
        try:
            if name == b"PING":
                reply.answer([b"+PONG\r\n"])
            elif name in (b"Q.ASK", b"Q.DO"):
                asked = ClientRequest(words, self.owner.workloads, self.owner.tenants)
                reply.mark = asked.id
                if self.owner.time_left() < asked.left:  # it might meet SIGKILL; so far it has run nowhere
                    reply.rejected(None)
                else:
                    self.owner.door.invoked(asked, reply)
            else:
                raise CommandError("unknown command")
            self.senseless = 0
        except CommandError as trouble:
            reply.broken_off(str(trouble))
            self.senseless += 1
            if self.senseless >= SENSELESS:
                raise resp.ProtocolError("too many commands without sense") from trouble

    def next_reply(self) -> PendingReply:
        reply = PendingReply(self)
        self.replies.append(reply)
        return reply

    def flush(self) -> None:
        """Send the answers whose turn it is."""
        parts: list[bytes | memoryview] = []
        comments: list[str] = []
        while self.replies and self.replies[0].parts is not None:
            reply = self.replies.popleft()
            parts += reply.parts or ()
            if self.tape and reply.mark is not None and reply.parts:
                comments.append(f"invocation {reply.mark.decode(errors='replace')} {ended(reply.parts[0])}")
        if self.closed or not parts:
            return
        if self.rest:
            self.hold(b"".join(parts))
            return
        size = sum(map(len, parts))
        try:
            sent = self.sock.sendmsg(parts if len(parts) < 64 else [b"".join(parts)])
        except BlockingIOError:
            sent = 0
        except OSError:
            self.owner.cut(self)
            return
        if self.tape and sent:
            self.tape.replied(b"".join(parts)[:sent], "; ".join(comments))
        if sent < size:
            self.hold(b"".join(parts)[sent:])
            self.writer = asyncio.ensure_future(self.write())
        else:
            self.taken()

    def taken(self) -> None:
        """All answers so far are out."""
        self.since = self.owner.loop.time()
        self.free.set()
        if self.ending and self.idle:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        self.owner.settle(self)

    def hold(self, data: bytes) -> None:
        self.rest += data
        self.owner.owed += len(data)
        if self.owner.owed > self.owner.most_owed:  # who takes least of its answers goes
            worst = max(self.owner.connections, key=lambda each: len(each.rest))
            say("client_cut", logging.WARNING, why="too many bytes owed", owed=self.owner.owed)
            self.owner.cut(worst)

    async def write(self) -> None:
        try:
            while self.rest:
                part = self.rest[: 64 * 1024]
                async with asyncio.timeout(STALL):
                    await self.owner.loop.sock_sendall(self.sock, part)
                if self.tape:
                    self.tape.replied(part)
                self.rest = self.rest[len(part) :]
                self.owner.owed -= len(part)
        except (OSError, TimeoutError):
            self.close()
            return
        self.taken()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.owner.connections.pop(self, None)
        self.owner.owed -= len(self.rest)
        self.rest = b""
        self.inbox.close()
        if self.tape:
            by_client = waiting(self.sock) < 0
            self.tape.ended(0 if by_client else 1)
        give_back(self.sock, self.reader, self.writer)
        while self.replies:
            reply = self.replies.popleft()
            if reply.parts is None:
                self.owner.door.client_left(reply)


def ended(first: bytes | memoryview) -> str:
    """How an invocation ended, by how its answer begins."""
    if first[:1] == b"$":
        return "satisfied"
    return "rejected" if first[:5] == b"-BUSY" else "broken off"


class Clients:
    record: Record | None = None  # makes the tape of a connection

    def __init__(self, settings: Settings, door: RequestHandler, most: int, bounds: Bounds) -> None:
        self.loop, self.door, self.most = asyncio.get_running_loop(), door, most
        self.most_owed, self.grown = bounds.answers, resp.Allowance(bounds.buffers)
        self.workloads = {
            each.name: (i, each.retry_safety) for i, each in enumerate(settings.request_classes)
        }
        self.tenants = {each.name: i for i, each in enumerate(settings.tenants)}
        # A row a connection, the longest unused first; each goes with `Connection.close`.
        self.connections: dict[Connection, None] = {}
        self.owed, self.peak, self.leaving = 0, 0, False
        self.told_at: float | None = None  # when SIGTERM came
        limits = [
            LONGEST if each.deadline is None else min(LONGEST, each.deadline)
            for each in settings.request_classes
        ]
        self.last = LAST_CALL + max(limits, default=LONGEST)
        self.accepting, self.acceptor = Pending(), None  # the task that accepts
        self.unread, self.said_at = 0, -1.0  # connections that sent what is no command; when last told
        self.listener: socket.socket | None = None

    def listen(self, where: Address) -> None:
        self.listener = opened(where)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(where)
        self.listener.listen(BACKLOG)

    async def accept(self) -> None:
        self.acceptor = asyncio.current_task()
        while self.listener:
            try:
                sock, _ = await self.accepting.of(self.loop.sock_accept(self.listener))
            except OSError as trouble:
                say("accept_failed", logging.WARNING, why=trouble)
                await asyncio.sleep(0.05)
                continue
            newest = self.welcome(sock)
            while len(self.connections) > self.most and not self.spare(newest):
                await asyncio.sleep(0.01)  # the next wait in the backlog until one is idle

    def welcome(self, sock: socket.socket) -> Connection:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, sock)
        self.connections[connection] = None
        self.peak = max(self.peak, len(self.connections))
        return connection

    async def tend(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            now, crowded = self.loop.time(), 2 * len(self.connections) > self.most
            for connection in list(self.connections):
                connection.look(now, crowded)
            self.thin()

    def thin(self) -> None:
        """Clients may hold a third of the descriptors for what they ask, and some keep for good what they
        asked once with: of those idle the longest unused go, so that others still find a connection."""
        idle = [each for each in self.connections if each.idle and each.spoke and not each.ending]
        for each in idle[: max(0, len(idle) - self.most // 3)]:  # a third of ours: a sixth of the descriptors
            if not each.begun and not each.owes(self.loop.time()):
                each.close()

    def spare(self, newest: Connection | None) -> bool:
        """Make room: first who can't be read or has had time to speak and did not, as those that only connect
        must not take the place of the usual ones; then the longest idle, but never the newest."""
        now = self.loop.time()
        idle = [each for each in self.connections if each.idle and each is not newest]
        mute = [each for each in idle if each.ending or (not each.spoke and now - each.since >= FRESH)]
        spoke = [each for each in idle if each.spoke and not each.ending]
        found = next((each for each in mute + spoke if each.ending or not each.owes(now)), None)
        if found:
            found.close()
        return found is not None

    def broken(self, why: str) -> None:
        """Count who sent what is no command; a line a second tells of it, or a flood would fill the log."""
        self.unread += 1
        if self.loop.time() >= self.said_at + 1.0:
            self.said_at = self.loop.time()
            say("client_broken", logging.WARNING, why=why, so_far=self.unread)

    def cut(self, connection: Connection) -> None:
        """Close it, but not amid what is being done to it."""
        self.loop.call_soon(connection.close)

    def settle(self, connection: Connection) -> None:
        """An answer is out: while this marshal leaves, a connection ends when it is idle."""
        if not self.leaving or not connection.idle or connection.ending:
            return
        if not connection.begun and not connection.owes(self.loop.time()):
            # Who has just come may be about to speak.
            if connection.spoke or self.loop.time() - connection.since >= FRESH:
                connection.close()
        elif self.time_left() < PARTING and not connection.handling and not connection.reading.done:
            connection.stop()

    def time_left(self) -> float:
        """Until SIGKILL may come; no end is in sight before SIGTERM."""
        return inf if self.told_at is None else self.told_at + self.last - self.loop.time()

    async def leave(self) -> None:
        """SIGTERM: serve on until nobody sends anew, then close each connection as it becomes idle."""
        self.told_at = self.loop.time()
        await asyncio.sleep(NOTICED)
        await self.shut()
        self.leaving = True
        while self.connections:
            for connection in list(self.connections):
                self.settle(connection)
            await asyncio.sleep(0.02)

    async def shut(self) -> None:
        """Close the listener. What the machine has accepted, the marshal has taken. The task that accepts
        ends first, as the socket stays open for as long as the loop waits for it, unless it has a connection
        that it did not see yet. Where descriptors are short, room is made, or waited for."""
        listener, self.listener = self.listener, None
        if not listener:
            return
        if self.acceptor and not self.accepting.done:
            self.acceptor.cancel()
        until = self.loop.time() + HALF
        while self.loop.time() < until:
            try:
                self.welcome(listener.accept()[0])
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError:  # no descriptor
                if not self.spare(None):
                    await asyncio.sleep(0.01)
        listener.close()

    def close(self) -> None:
        if self.acceptor:
            self.acceptor.cancel()
        if self.listener:
            self.listener.close()
        self.listener = None
        for connection in list(self.connections):
            connection.close()
