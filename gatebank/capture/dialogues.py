"""What was said on a connection: commands and answers, paired in order. No I/O.

A protocol's `Talk` hears the bytes of both directions and makes records of them; RESP2 is the first. Answers
carry no id, so their order is all that pairs them. After a hole nothing is guessed: what was in hand is told
as not whole, and pairing begins anew at a command behind which no older answer can be due.
"""

from __future__ import annotations

import re
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from gatebank.capture.bounds import ReadingBounds
from gatebank.capture.records import Exchange
from gatebank.capture.streams import Stream
from gatebank.proxy.resp2 import codec as resp

COMMAND = re.compile(rb"\*[1-9]\d?\r\n\$\d{1,2}\r\n(?:Q\.(?:ASK|DO)|PING)\r\n", re.IGNORECASE)
LONGEST = 32  # bytes of COMMAND: where it may lie across two segments
FOREIGN = 64 * 1024  # bytes of a connection without one command: it speaks something else
SLACK = 2_000_000_000  # ns behind its time limit in which an answer still comes: slack, and clocks' faults
UNTOLD = 60_000_000_000  # ns: the time limit of a command that tells none
IN_PROOF = 64  # pairs held until they are proved, as many as a marshal lets a customer have in hand
MOST_SERVERS = 65536  # addresses of which it is kept whether they are nodes or marshals


class Talk(Protocol):
    """One connection's dialogue in one protocol."""

    def data(self, side: int, at: int, data: bytes) -> None: ...
    def hole(self, side: int, at: int, size: int) -> None: ...
    def closed(self, at: int, how: str) -> None: ...


Protocols = Callable[["Dialogues", Stream], Talk]


class Dialogues:
    """The sink of `Streams`; exchanges come out of `found`, as soon as it is known what became of them.

    ``nodes`` and ``marshals``: server addresses whose side the user knows."""

    def __init__(
        self,
        bounds: ReadingBounds,
        protocol: Protocols | None = None,
        nodes: Iterable[str] = (),
        marshals: Iterable[str] = (),
    ) -> None:
        self.bounds, self.protocol = bounds, protocol or Resp2
        self.found: deque[Exchange] = deque()  # emptied by who reads
        self.sides = dict.fromkeys(nodes, "node") | dict.fromkeys(marshals, "customer")
        self.waiting: OrderedDict[Exchange, None] = OrderedDict()  # asked and not told yet
        self.held = 0  # bytes of messages that wait for their rest
        self.counts = {
            "exchanges": 0, "not_whole": 0, "other_commands": 0, "unasked": 0, "unreadable": 0, "foreign": 0,
            "answers_not_paired": 0, "given_up_message": 0, "given_up_in_hand": 0, "given_up_patience": 0,
            "bytes_passed": 0,
        }  # fmt: skip

    def opened(self, stream: Stream, at: int) -> None:
        stream.talk = self.protocol(self, stream)

    def data(self, stream: Stream, side: int, at: int, data: bytes) -> None:
        stream.talk.data(side, at, data)  # type: ignore[attr-defined]

    def hole(self, stream: Stream, side: int, at: int, size: int) -> None:
        stream.talk.hole(side, at, size)  # type: ignore[attr-defined]

    def closed(self, stream: Stream, at: int, how: str) -> None:
        stream.talk.closed(at, how)  # type: ignore[attr-defined]

    def tell(self, exchange: Exchange) -> None:
        if not exchange.told:
            exchange.told = True
            self.waiting.pop(exchange, None)
            self.counts["exchanges"] += 1
            if not exchange.whole:
                self.counts["not_whole"] += 1
            exchange.side = exchange.side or self.sides.get(exchange.server, "customer")
            self.found.append(exchange)

    def wait(self, exchange: Exchange, now: int) -> None:
        """It is asked; what waited for too long is told as it stands, in time for who sorts by asking."""
        waiting = self.waiting
        waiting[exchange] = None
        patience = self.bounds.patience * 1e9
        while waiting:
            first = next(iter(waiting))
            late = now - (first.asked_at or now) >= min(limit(first), UNTOLD) + patience
            if not late and len(waiting) <= self.bounds.streams * 8:
                return
            self.counts["given_up_patience"] += 1
            self.tell(first)

    def learn(self, server: str, side: str) -> None:
        if server not in self.sides and len(self.sides) < MOST_SERVERS:
            self.sides[server] = side

    def end(self) -> None:
        while self.waiting:
            self.tell(next(iter(self.waiting)))


class Direction:
    """The bytes of one direction that are not used up yet."""

    __slots__ = ("at", "first", "needs", "parts", "size", "sure")

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = self.needs = 0  # bytes held, and needed before it is worth another look
        self.sure = True  # a message begins at the first byte held
        self.at = 0
        self.first = 0  # the packet that holds the first byte


class Resp2:
    """RESP2 between a customer and a marshal, or a marshal and a node."""

    __slots__ = (
        "ahead", "asker", "clear_at", "gapped", "lost", "on_trial", "owner", "pending", "proving", "seen",
        "server", "stream", "ways",
    )  # fmt: skip

    def __init__(self, owner: Dialogues, stream: Stream) -> None:
        self.owner, self.stream = owner, stream
        self.asker = stream.asker  # which side asks; -1: not known yet
        self.ways = (Direction(), Direction())
        if not stream.whole:
            for way in self.ways:
                way.sure = False
        self.pending: deque[Exchange | None] = deque()  # None: a command that is no invocation
        # An answer behind those to what is pending may be due to a command that was not seen.
        self.lost = not stream.whole
        self.ahead = False  # it was seen to ask before it had the last answer
        self.clear_at = 0  # ns: until then answers to older commands may come, where it asks ahead
        # Pairs made since pairing began anew are held until the next command shows that no answer is over.
        self.proving = False
        self.gapped = [False, False]  # a hole lies behind them in this direction
        self.on_trial: list[tuple[Exchange, resp.Reply, int, int]] = []  # at most IN_PROOF
        self.seen = 0  # bytes without a command
        self.server = stream.names[1 - self.asker] if self.asker >= 0 else ""

    # Bytes in.

    def data(self, side: int, at: int, data: bytes) -> None:
        if self.asker < 0 and not self.who_asks(side, data):
            return
        owner, way = self.owner, self.ways[side]
        if not way.size:
            way.first = self.stream.packet
        elif way.size + len(data) < way.needs:
            way.parts.append(data)
            way.size += len(data)
            owner.held += len(data)
            if owner.held > owner.bounds.messages:
                self.give_up(side, at)
            return
        if way.parts:
            owner.held -= way.size
            way.parts.append(data)
            data = b"".join(way.parts)
            way.parts = []
        way.size = way.needs = 0
        if side == self.asker:
            self.commands(way, at, data)
        else:
            self.answers(way, at, data)

    def keep(self, way: Direction, side: int, at: int, rest: bytes, needs: int) -> None:
        if not rest:
            return
        way.parts, way.size, way.needs = [rest], len(rest), needs
        way.first = self.stream.packet if way.first == 0 else way.first
        self.owner.held += len(rest)
        if max(len(rest), needs) > self.owner.bounds.message or self.owner.held > self.owner.bounds.messages:
            self.give_up(side, at)

    def drop(self, way: Direction) -> bytes:
        """What is held of a message that will not be whole."""
        rest = b"".join(way.parts)
        self.owner.held -= way.size
        way.parts, way.size, way.needs = [], 0, 0
        return rest

    def give_up(self, side: int, at: int) -> None:
        self.owner.counts["given_up_message"] += 1
        self.hole(side, at, 0)

    def who_asks(self, side: int, data: bytes) -> bool:
        """The capture began amid this connection: who sends a command is who asks."""
        way = self.ways[side]
        whole = b"".join(way.parts) + data
        if COMMAND.search(whole):
            self.asker, self.server = side, self.stream.names[1 - side]
            other = self.ways[1 - side]
            self.drop(other)
            return True
        way.parts = [whole[-LONGEST:]]  # not counted as held: so little for each connection
        self.seen += len(data)
        self.owner.counts["bytes_passed"] += len(data)
        if self.seen > FOREIGN:
            self.foreign()
        return False

    def foreign(self) -> None:
        self.owner.counts["foreign"] += 1
        for way in self.ways:
            way.parts = []
        self.stream.talk = DEAF  # type: ignore[assignment]

    # Commands.

    def commands(self, way: Direction, at: int, data: bytes) -> None:
        begin = 0  # where a command may begin
        while True:
            if not way.sure:
                found = COMMAND.search(data, begin)
                self.owner.counts["bytes_passed"] += max(0, (found.start() if found else len(data)) - begin)
                if not found:
                    self.seen += len(data)
                    if self.seen > FOREIGN and not self.pending:
                        self.foreign()
                    else:
                        self.keep(way, self.asker, at, data[max(begin, len(data) - LONGEST) :], 0)
                    return
                data, way.sure, way.first = data[found.start() :], True, self.stream.packet
            inbox = resp.Inbox.over(data, self.owner.bounds.message)
            try:
                for words in inbox.commands():
                    self.command([bytes(word) for word in words], at, way)
                    way.first = self.stream.packet
            except resp.ProtocolError:
                # How it is answered is not known: nothing behind it is paired by order alone.
                self.owner.counts["unreadable"] += 1
                self.partial(way, at, data[inbox.start :])
                if self.proving:
                    self.doubted()
                self.lost, way.sure = True, False
                self.clear_at = max(self.clear_at, at + UNTOLD)
                data, begin = data[inbox.start :], 1
                continue
            self.keep(way, self.asker, at, data[inbox.start :], inbox.needs)
            return

    def command(self, words: list[bytes], at: int, way: Direction) -> None:
        self.seen, stream = 0, self.stream
        pending = self.pending
        if self.proving and not pending:
            self.settle()
        if self.lost and not pending and (not self.ahead or at > self.clear_at):
            # Nothing older can be due: what comes from here on answers what is asked from here on.
            self.lost, self.proving, self.gapped = False, True, [False, False]
            self.drop(self.ways[1 - self.asker])
        if pending:
            self.ahead = True
        if len(words) < 3 or words[0].upper() not in (b"Q.ASK", b"Q.DO"):
            self.owner.counts["other_commands"] += 1
            if not self.lost:
                pending.append(None)
            return
        names, first = stream.names, way.first or stream.packet
        side = stream.hint or ""  # our own recordings say which
        exchange = Exchange(at, names[self.asker], self.server, side, words, True, stream.serial, first)
        exchange.last_packet = stream.packet
        exchange.read_names()
        if self.lost:
            self.clear_at = max(self.clear_at, at + limit(exchange) + SLACK)
            self.owner.tell(exchange)
            return
        pending.append(exchange)
        self.owner.wait(exchange, at)
        if len(pending) > self.owner.bounds.in_hand:
            self.owner.counts["given_up_in_hand"] += 1
            self.lose(at)

    # Answers.

    def answers(self, way: Direction, at: int, data: bytes) -> None:
        if self.lost and not self.pending:
            self.owner.counts["answers_not_paired"] += 1
            return
        inbox = resp.Inbox.over(data, self.owner.bounds.message)
        try:
            for reply in inbox.replies():
                if not self.pending:
                    self.owner.counts["answers_not_paired" if self.lost else "unasked"] += 1
                    if self.proving:  # one of those paired was due to an older command
                        self.doubted()
                    continue
                exchange = self.pending.popleft()
                if exchange is None:
                    continue
                if self.proving and not exchange.told:
                    kept = [word if word is None else bytes(word) for word in reply.words]
                    self.on_trial.append((exchange, resp.Reply(reply.mark, kept), at, self.stream.packet))
                    if len(self.on_trial) > IN_PROOF:
                        self.doubted()
                else:
                    self.answered(exchange, reply, at, self.stream.packet)
        except resp.ProtocolError:
            self.owner.counts["unreadable"] += 1
            self.lose(at)
            return
        self.keep(way, 1 - self.asker, at, data[inbox.start :], inbox.needs)

    def settle(self) -> None:
        """Behind what is on trial nothing is pending, and no answer was over. Where bytes are missing in one
        direction only, the answer that was over may be among them; in both, whole exchanges are missing."""
        if self.gapped[0] != self.gapped[1]:
            self.doubted(False)
        else:
            self.proved()

    def proved(self) -> None:
        """The asker had as many answers as it had asked for, and asks on."""
        self.proving, kept, self.on_trial = False, self.on_trial, []
        for each in kept:
            self.answered(*each)

    def doubted(self, ahead: bool = True) -> None:
        """Which answer was whose is not known: told as not whole, and pairing begins anew later."""
        self.proving, kept, self.on_trial = False, self.on_trial, []
        for exchange, *_ in kept:
            self.owner.tell(exchange)
        self.lost, self.ahead = True, self.ahead or ahead
        self.clear_at = max([self.clear_at, *((e.asked_at or 0) + limit(e) + SLACK for e, *_ in kept)])

    def answered(self, exchange: Exchange, reply: resp.Reply, at: int, packet: int) -> None:
        words, first = reply.words, reply.words[0] if reply.words else None
        side = None
        if reply.mark in "$*" and first is not None:
            exchange.ended, exchange.value_bytes = "satisfied", len(first)
            side = "node" if reply.mark == "*" else "customer"
            if len(words) == 3 and words[2] is not None:
                exchange.report = bytes(words[2])
        else:
            exchange.answer = line = bytes(first or b"")
            refused = reply.mark == "-" and line.startswith(b"BUSY")
            exchange.ended = "rejected" if refused else "broken_off"
            if reply.mark == "-" and line.startswith(b"ERR failed"):
                side, exchange.report = "node", line[11:] or None
            elif reply.mark == "-" and line != b"BUSY":
                side = "customer"
        exchange.answered_at, exchange.whole, exchange.last_packet = at, True, packet
        if side:
            self.owner.learn(self.server, side)
        if exchange.told:
            self.owner.counts["answers_not_paired"] += 1  # it came after it was given up
        else:
            self.owner.tell(exchange)

    # Holes and the end.

    def lose(self, at: int) -> None:
        """An answer is missing: what was in hand is told as not whole, and order alone pairs nothing."""
        if self.proving and self.pending:
            self.doubted(False)
        self.lost = True
        self.drop(self.ways[1 - self.asker])
        for exchange in self.pending:
            if exchange is not None:
                self.clear_at = max(self.clear_at, (exchange.asked_at or at) + limit(exchange) + SLACK)
                self.owner.tell(exchange)
        self.ahead = self.ahead or len(self.pending) > 1
        self.pending.clear()

    def hole(self, side: int, at: int, size: int) -> None:
        way = self.ways[side]
        if self.asker < 0:
            way.parts = []
            return
        rest = self.drop(way)
        self.gapped[side] = True
        if side != self.asker:
            self.lose(at)
            return
        if way.sure and rest:
            self.partial(way, at, rest)
        way.sure = False
        # Commands may lie in the hole, answered behind those in hand: these keep their turn.
        if self.proving and self.pending:
            self.doubted(False)
        self.lost = True
        self.clear_at = max(self.clear_at, at + UNTOLD)

    def partial(self, way: Direction, at: int, rest: bytes) -> None:
        """A command that is not whole is told with what is known of it."""
        try:
            words = resp.Inbox.over(rest, self.owner.bounds.message).words_so_far()
        except resp.ProtocolError:
            return
        if words and words[0].upper() in (b"Q.ASK", b"Q.DO"):
            names = self.stream.names
            exchange = Exchange(
                None, names[self.asker], self.server, "", words, False, self.stream.serial, way.first
            )
            exchange.last_packet = self.stream.packet
            exchange.read_names()
            self.owner.tell(exchange)

    def closed(self, at: int, how: str) -> None:
        """What was in hand has no answer; if the connection's end was seen, that is all there is to know."""
        if self.asker < 0:
            return
        seen = how in ("closed", "reset")
        if self.proving:
            last = max((when for _, _, when, _ in self.on_trial), default=at)
            quiet = seen or at - last >= SLACK  # an answer that was over would have come
            self.settle() if quiet and not self.pending else self.doubted()
        ended = seen and not self.lost
        held = self.ways[1 - self.asker].size
        for exchange in self.pending:
            if exchange is not None and not exchange.told:
                exchange.whole = ended and not held
                self.owner.tell(exchange)
        self.pending.clear()
        way = self.ways[self.asker]
        rest = self.drop(way)
        if way.sure and rest:
            self.partial(way, at, rest)
        self.drop(self.ways[1 - self.asker])


def limit(exchange: Exchange) -> int:
    """Its time limit in ns."""
    told = exchange.time_limit_ms
    return UNTOLD if told is None else min(int(told * 1e6), 10 * UNTOLD)


class Deaf:
    """Hears of a connection that speaks something else."""

    def data(self, *_: Any) -> None:
        pass

    hole = closed = data


DEAF = Deaf()
