"""What was heard of connections to pcapng blocks, with what is to be hidden replaced. No I/O.

Bytes pass unchanged where nothing is hidden. Else each direction is read as RESP2 and written anew:
lengths fit what stands there, so that any tool, and `gatebank capture`, reads it. What can't be read so, or
lies behind bytes that were not recorded, is left out and said to be: an unread byte may be of a ticket.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from gatebank.capture.layers import ACK
from gatebank.capture.writing import Conversation, interface, packet, section
from gatebank.proxy.resp2 import codec as resp

INTERFACES = {"customer": 0, "node": 1}
MOST_MESSAGE = 4 << 20  # bytes of a message that is written anew: behind it its direction is left out
LEFT_OUT = "left out from here on: it can't be read, and may hold what is to be hidden"
HASH = 16  # bytes of a hash in a value's place: two values never share one in practice


@dataclass(slots=True, frozen=True)
class Hiding:
    """What does not stand in the file as it was."""

    bodies: str = "whole"  # whole, cut, hashed
    body_bytes: int = 0
    ticket: bool = False
    customer: bool = False
    key: bytes = b""

    @property
    def nothing(self) -> bool:
        return self.bodies == "whole" and not self.ticket and not self.customer

    def value(self, value: bytes) -> bytes:
        """
        >>> Hiding("cut", 3).value(b"secret"), Hiding("hashed").value(b"secret")[:16]
        (b'sec', b'hidden:6:8f64bfc')
        """
        if self.bodies == "cut":
            return value[: self.body_bytes]
        if self.bodies == "hashed":
            return b"hidden:%d:%b" % (len(value), self.hash(value))
        return value

    def hash(self, value: bytes) -> bytes:
        return blake2b(value, digest_size=HASH, key=self.key[:64]).hexdigest().encode()

    def names(self, told: bytes) -> bytes:
        """
        >>> Hiding(ticket=True, customer=True, key=b"k" * 16).names(b"c=pay,t=all,d=5,k=1f")[:16]
        b'c=pay,t=0f7a66a4'
        """
        wanted = tuple(n for n, hide in ((b"t", self.customer), (b"k", self.ticket)) if hide)
        pairs = (each.partition(b"=") for each in told.split(b","))
        return b",".join(n + eq + (self.hash(value) if n in wanted else value) for n, eq, value in pairs)

    def command(self, words: list[bytes]) -> bytes:
        if len(words) > 3 and (self.ticket or self.customer):
            words[3] = self.names(words[3])
        words[4:] = map(self.value, words[4:])
        return resp.command(words)

    def reply(self, reply: resp.Reply) -> bytes:
        match reply.mark:
            case "*":
                parts = [b"*%d\r\n" % len(reply.words)]
                for place, word in enumerate(reply.words):
                    shown = self.value(bytes(word)) if word is not None and not place else word
                    parts += [b"$-1\r\n"] if shown is None else resp.bulk(shown)
                return b"".join(parts)
            case "$" if reply.words[0] is None:
                return b"$-1\r\n"
            case "$":
                return b"".join(resp.bulk(self.value(bytes(reply.words[0] or b""))))
        return f"{reply.mark}".encode() + bytes(reply.words[0] or b"") + b"\r\n"


class Direction:
    """One direction that is written anew; what of a message is not whole waits."""

    def __init__(self, hiding: Hiding, asks: bool) -> None:
        self.hiding, self.asks = hiding, asks
        self.rest, self.lost = b"", False

    def take(self, data: bytes) -> bytes:
        """What stands in the file for it; empty while a message is not whole, or for good once lost."""
        if self.lost:
            return b""
        inbox = resp.Inbox.over(self.rest + data, MOST_MESSAGE)
        parts = list[bytes]()
        try:
            if self.asks:
                parts += [self.hiding.command([bytes(word) for word in words]) for words in inbox.commands()]
            else:
                parts += map(self.hiding.reply, inbox.replies())
        except resp.ProtocolError:
            self.lost = True
        self.rest = b"" if self.lost else bytes(inbox.data[inbox.start :])
        return b"".join(parts)


class Track:
    """A connection on the tape: its conversation, and its two directions where something is hidden. Its
    methods add blocks to ``out``: generators cost as much again, for each of thousands a second."""

    def __init__(self, ends: tuple, number: int, side: str, hiding: Hiding) -> None:
        seed = blake2b(repr((ends, number)).encode(), digest_size=8).digest()
        firsts = int.from_bytes(seed[:4], "big"), int.from_bytes(seed[4:], "big")
        self.talk, self.interface = Conversation(ends, firsts), INTERFACES[side]
        self.ways: tuple[Direction, Direction] | None = None
        if not hiding.nothing:
            self.ways = Direction(hiding, True), Direction(hiding, False)

    def put(self, out: list[bytes], at: int, packets: list[bytes], comment: str = "") -> None:
        """``comment`` stands on the last."""
        for each in packets[:-1]:
            out.append(packet(self.interface, at, each))
        out.append(packet(self.interface, at, packets[-1], None, comment))

    def opened(self, out: list[bytes], at: int) -> None:
        self.put(out, at, self.talk.open())

    def data(self, out: list[bytes], side: int, at: int, data: bytes, comment: str) -> None:
        if self.ways:
            lost = self.ways[side].lost
            data = self.ways[side].take(data)
            if self.ways[side].lost and not lost:
                self.note(out, side, at, LEFT_OUT)
        if data:
            self.put(out, at, self.talk.say(side, data), comment)
        elif comment:
            self.note(out, side, at, comment)

    def note(self, out: list[bytes], side: int, at: int, comment: str) -> None:
        """A word of ours, on an acknowledgement that holds nothing."""
        self.put(out, at, [self.talk.raw(side, ACK)], comment)

    def missed(self, out: list[bytes], lost: tuple[int, int], at: int) -> None:
        """So many bytes of each direction were not recorded: the numbers go on as if they had been."""
        for side, size in enumerate(lost):
            if size:
                self.talk.numbers[side] = (self.talk.numbers[side] + size) & 0xFFFFFFFF
                if self.ways:
                    self.ways[side].lost, self.ways[side].rest = True, b""
                self.note(out, side, at, f"{size} bytes before this were not recorded")

    def ended(self, out: list[bytes], side: int, at: int, abrupt: bool, comment: str) -> None:
        self.put(out, at, self.talk.close(side, abrupt), comment)


def head(name: str) -> bytes:
    """How a file begins: one interface for each side, by whose name reading knows it."""
    return section(f"marshal {name}") + interface("customers") + interface("nodes")
