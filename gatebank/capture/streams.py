"""TCP put together again: segments in, the bytes of each direction in order out, with their holes. No I/O.

What was sent again is passed over, what comes early waits, sequence numbers wrap (RFC 9293). Order holds
across both directions too: a segment that acknowledges bytes which are not here yet was sent behind them, so
it waits for them. Else two packets that a capture swapped would give an answer to the wrong command.

A hole is told once it is certain: the receiver acknowledged bytes that the capture lacks and that did not
come within LATE, the bound on what may wait is reached, the packet was cut by the snap length, or the
connection is over. What the receiver did not acknowledge may still be sent again, and is waited for.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, Protocol

from gatebank.capture.bounds import ReadingBounds
from gatebank.capture.layers import ACK, FIN, RST, SYN, Segment, address

LATE = 200_000_000  # ns of the capture's clock that an acknowledged byte may come late: two taps' disorder
HALF = 1 << 31
WRAP = (1 << 32) - 1
LINGERS = 60_000_000_000  # ns that an ended connection is remembered, so that late copies begin no new one
ROW = 160  # bytes that a waiting segment takes besides its payload
FAR = 1 << 24  # bytes: a segment further ahead than the largest usual windows is of another connection


class Sink(Protocol):
    """Who hears of connections; ``stream.talk`` is its own to use."""

    def opened(self, stream: Stream, at: int) -> None: ...
    def data(self, stream: Stream, side: int, at: int, data: bytes) -> None: ...
    def hole(self, stream: Stream, side: int, at: int, size: int) -> None: ...
    def closed(self, stream: Stream, at: int, how: str) -> None: ...


class Half:
    """One direction."""

    __slots__ = ("acked", "ended", "first", "next")

    def __init__(self) -> None:
        self.next = self.first = -1  # the sequence number expected; that of the SYN
        self.acked = -1  # what the other side said it has
        self.ended = -1  # the number behind its FIN


class Early(NamedTuple):
    """A segment that waits: for bytes before it, or for those that it acknowledges."""

    side: int
    number: int
    payload: bytes
    missing: int
    ack: int  # -1: none
    at: int
    packet: int

    @property
    def size(self) -> int:
        return len(self.payload) + ROW


class Stream:
    """A connection. Side 0 sent the first segment seen; ``asker`` is who opened it, if the SYN was seen."""

    __slots__ = (
        "asker", "ends", "halves", "hint", "how", "key", "names", "newest", "packet", "serial", "talk",
        "waiting", "waits", "whole",
    )  # fmt: skip

    def __init__(self, serial: int, key: tuple, segment: Segment, at: int) -> None:
        self.serial, self.key, self.newest = serial, key, at
        self.ends = (segment.source, segment.source_port)
        self.names = (
            address(segment.source, segment.source_port),
            address(segment.target, segment.target_port),
        )
        self.halves = (Half(), Half())
        self.waiting: list[Early] = []  # as they came; emptied as they fit, by force or at the end
        self.waits = 0  # bytes in it
        self.asker = -1
        self.whole = False  # begun in the capture
        self.how = ""  # once it has ended
        self.hint: str | None = None
        self.packet = 0  # the number of the packet at hand
        self.talk = None


class Streams:
    def __init__(self, bounds: ReadingBounds, sink: Sink) -> None:
        self.bounds, self.sink = bounds, sink
        # Connections by their ends, the longest silent first; each goes when it ended long ago, when silent
        # for too long, or to make room.
        self.table: OrderedDict[tuple, Stream] = OrderedDict()
        self.serial = self.held = self.now = 0
        self.counts = {
            "streams": 0, "begun_before": 0, "sent_again": 0, "out_of_order": 0, "held_for_order": 0,
            "holes": 0, "hole_bytes": 0, "given_up_room": 0, "given_up_idle": 0, "given_up_gap": 0,
            "ends_without_data": 0,
        }  # fmt: skip

    def put(self, segment: Segment, at: int, packet: int = 0, hint: str | None = None) -> Stream | None:
        """One segment; the connection that it belongs to."""
        source, port, target, other = segment[:4]
        key = (source, port, target, other)
        if (source, port) > (target, other):
            key = (target, other, source, port)
        flags, stream = segment.flags, self.table.get(key)
        if at > self.now and (not self.now or at - self.now < self.bounds.clock_step * 1e9):
            self.now = at
        if stream and flags & SYN and not flags & ACK and self.anew(stream, segment):
            self.over(stream, at, "its ports were used again")
            del self.table[key]
            stream = None
        if stream is None:
            if not segment.payload and not segment.missing and not flags & SYN:
                self.counts["ends_without_data"] += 1  # an answer to what this capture no longer holds
                return None
            stream = self.begin(key, segment, at)
        else:
            self.table.move_to_end(key)
        stream.newest, stream.packet = max(stream.newest, at), packet
        stream.hint = hint or stream.hint
        if not stream.how:
            self.take(stream, 0 if stream.ends == (source, port) else 1, segment, at)
        elif segment.payload:
            self.counts["sent_again"] += 1
        if self.table and self.now - next(iter(self.table.values())).newest > LINGERS:
            self.sweep()
        return stream

    def anew(self, stream: Stream, segment: Segment) -> bool:
        """Is this SYN another connection's, and not sent again?"""
        half = stream.halves[0 if stream.ends == (segment.source, segment.source_port) else 1]
        if stream.how or half.first >= 0:
            return half.first != segment.sequence
        return half.next != (segment.sequence + 1) & WRAP

    def begin(self, key: tuple, segment: Segment, at: int) -> Stream:
        while len(self.table) >= self.bounds.streams:
            _, oldest = self.table.popitem(last=False)
            if not oldest.how:
                self.counts["given_up_room"] += 1
                self.over(oldest, at, "given up: too many connections")
        self.serial += 1
        self.counts["streams"] += 1
        stream = self.table[key] = Stream(self.serial, key, segment, at)
        if segment.flags & SYN:
            stream.whole, stream.asker = True, 1 if segment.flags & ACK else 0
        else:
            self.counts["begun_before"] += 1
        self.sink.opened(stream, at)
        return stream

    def sweep(self) -> None:
        """From the longest silent on: what ended, and what was silent for too long."""
        idle = int(self.bounds.idle * 1e9)
        for key, stream in list(self.table.items()):
            silent = self.now - stream.newest
            if silent <= min(LINGERS, idle):
                return
            if all(half.ended >= 0 for half in stream.halves):
                self.over(stream, self.now, "closed")
            if stream.how:
                del self.table[key]
            elif silent > idle:
                del self.table[key]
                self.counts["given_up_idle"] += 1
                self.over(stream, self.now, "given up: silent for too long")

    def take(self, stream: Stream, side: int, segment: Segment, at: int) -> None:
        half, other = stream.halves[side], stream.halves[1 - side]
        flags, number, payload = segment.flags, segment.sequence, segment.payload
        if flags & SYN:
            if half.next < 0:
                half.first, half.next = number, (number + 1) & WRAP
            number = (number + 1) & WRAP
        ack = segment.ack if flags & ACK else -1
        if ack >= 0:
            other.acked = ack
            if other.next < 0:
                other.next = ack  # it has all before this, and so has no use for it
        if flags & RST:
            self.over(stream, at, "reset")
            return
        if half.next < 0 and (payload or segment.missing or flags & FIN):
            half.next = number
        if payload or segment.missing:
            ahead, beyond = (number - half.next) & WRAP, (ack - other.next) & WRAP if ack >= 0 else 0
            if not ahead and not stream.waiting and (not beyond or beyond >= HALF):
                self.deliver(stream, side, at, payload, segment.missing)
            else:
                early = Early(side, number, payload, segment.missing, ack, at, stream.packet)
                self.wait(stream, early, ahead)
        elif stream.waiting:
            self.work(stream, at)
        if flags & FIN:
            half.ended = (number + len(payload) + segment.missing) & WRAP
        if half.ended >= 0 and other.ended >= 0:
            self.settle(stream, at)

    def deliver(self, stream: Stream, side: int, at: int, payload: bytes, missing: int) -> None:
        half = stream.halves[side]
        half.next = (half.next + len(payload) + missing) & WRAP
        if payload:
            self.sink.data(stream, side, at, payload)
        if missing:
            self.hole(stream, side, at, missing)

    def hole(self, stream: Stream, side: int, at: int, size: int) -> None:
        self.counts["holes"] += 1
        self.counts["hole_bytes"] += size
        self.sink.hole(stream, side, at, size)

    def wait(self, stream: Stream, early: Early, ahead: int) -> None:
        if ahead >= HALF and WRAP + 1 - ahead >= len(early.payload) + early.missing:
            self.counts["sent_again"] += 1  # all of it has been seen
            return
        if FAR < ahead < HALF:
            self.counts["given_up_gap"] += 1
            return
        for each in stream.waiting:
            if each[:2] == early[:2] and len(each.payload) >= len(early.payload):
                self.counts["sent_again"] += 1
                return
        self.counts["out_of_order" if 0 < ahead < HALF else "held_for_order"] += 1
        stream.waiting.append(early)
        stream.waits += early.size
        self.held += early.size
        self.work(stream, early.at)

    def work(self, stream: Stream, at: int) -> None:
        """Whatever fits by now, and what has waited for too long, or takes too much room."""
        while stream.waiting:
            if (found := next((e for e in stream.waiting if self.fits(stream, e)), None)) is not None:
                self.apply_inherited_state(stream, found)
                continue
            full = stream.waits > self.bounds.gap or self.held > self.bounds.gaps
            first = stream.waiting[0]
            if full:
                self.counts["given_up_gap"] += 1
            elif at - first.at < LATE or not self.missed(stream, first):
                return
            self.force(stream)

    def fits(self, stream: Stream, early: Early) -> bool:
        ahead = (early.number - stream.halves[early.side].next) & WRAP
        return (not ahead or ahead >= HALF) and not self.beyond(stream, early)

    def beyond(self, stream: Stream, early: Early) -> int:
        """How many bytes of the other direction it acknowledges that are not here."""
        if early.ack < 0:
            return 0
        found = (early.ack - stream.halves[1 - early.side].next) & WRAP
        return found if found < HALF else 0

    def missed(self, stream: Stream, early: Early) -> bool:
        """What it waits for was received: the capture lacks it."""
        half = stream.halves[early.side]
        own = half.acked >= 0 and 0 < ((half.acked - half.next) & WRAP) < HALF
        return own or self.beyond(stream, early) > 0

    def apply_inherited_state(self, stream: Stream, early: Early) -> None:
        """It fits: what of it is new goes on, at the time and as the packet that it came with."""
        stream.waiting.remove(early)
        stream.waits -= early.size
        self.held -= early.size
        seen = (stream.halves[early.side].next - early.number) & WRAP
        size, now = len(early.payload), stream.packet
        stream.packet = early.packet
        if seen < size:
            self.deliver(stream, early.side, early.at, early.payload[seen:], early.missing)
        elif seen < size + early.missing:
            self.deliver(stream, early.side, early.at, b"", size + early.missing - seen)
        else:
            self.counts["sent_again"] += 1
        stream.packet = now

    def force(self, stream: Stream) -> None:
        """Over the hole that the oldest waits behind, in the order in which things were sent."""
        chosen = stream.waiting[0]
        for _ in range(len(stream.waiting)):
            # What it acknowledges, then what lies before it, goes first, where that waits too.
            needs = ((1 - chosen.side, chosen.ack), (chosen.side, chosen.number))
            before = [e for side, end in needs for e in stream.waiting if self.earlier(stream, e, side, end)]
            if not before:
                break
            chosen = before[0]
        if size := self.beyond(stream, chosen):
            self.skip(stream, 1 - chosen.side, chosen.at, size)
        ahead = (chosen.number - stream.halves[chosen.side].next) & WRAP
        if 0 < ahead < HALF:
            self.skip(stream, chosen.side, chosen.at, ahead)
        self.apply_inherited_state(stream, chosen)

    def earlier(self, stream: Stream, early: Early, side: int, end: int) -> bool:
        """Does it wait in this direction, with bytes before that number?"""
        start = stream.halves[side].next
        return early.side == side and end >= 0 and (early.number - start) & WRAP < (end - start) & WRAP < HALF

    def skip(self, stream: Stream, side: int, at: int, size: int) -> None:
        half = stream.halves[side]
        half.next = (half.next + size) & WRAP
        self.hole(stream, side, at, size)

    def settle(self, stream: Stream, at: int) -> None:
        """Both directions have ended, and all that was sent is here."""
        if not stream.waiting and all(half.next in (-1, half.ended) for half in stream.halves):
            self.over(stream, at, "closed")

    def over(self, stream: Stream, at: int, how: str) -> None:
        if stream.how:
            return
        while stream.waiting:
            self.force(stream)
        for side, half in enumerate(stream.halves):
            size = (half.ended - half.next) & WRAP if half.ended >= 0 and half.next >= 0 else 0
            if 0 < size < HALF:  # its end was seen, the last bytes before it were not
                self.skip(stream, side, at, size)
        stream.how = how
        self.sink.closed(stream, at, how)
        stream.talk = None

    def end(self) -> None:
        """Nothing more comes: what is open has no end in this capture."""
        for stream in self.table.values():
            if not stream.how:
                self.over(stream, self.now, "the capture ends")
        self.table.clear()
