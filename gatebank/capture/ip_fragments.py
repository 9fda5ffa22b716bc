"""Fragments of IP datagrams put together again, within limits. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from enum import Enum, auto

from gatebank.capture.limits import ReadingLimits

# ns of the capture's clock that a datagram's fragments wait for the rest (RFC 791: longer than 15 s).
FRAGMENT_TIMEOUT_NS = 30_000_000_000
MAX_DATAGRAM_BYTES = 65535
FRAGMENT_OVERHEAD = 64  # bytes that a held fragment takes besides its payload


class DatagramState(Enum):
    """What is known of a datagram that came in fragments."""

    INCOMPLETE = auto()
    COMPLETE = auto()
    INVALID = auto()  # its fragments contradict each other (RFC 5722)


class Datagram:
    """The fragments of one datagram.

    Attributes:
        since: ns of the capture's clock when its first fragment came.
        held_bytes: Memory that it takes.
        state: What is known of it.
    """

    __slots__ = ("_fragments", "_size", "first_seen_at", "held_bytes", "state")

    def __init__(self, since: int) -> None:
        self.first_seen_at = since
        self.held_bytes = 0
        self.state = DatagramState.INCOMPLETE
        self._size = -1  # of the whole payload; known once the last fragment has come
        self._fragments: dict[int, bytes] = {}  # by offset

    def add(self, offset: int, data: bytes, more: bool) -> None:
        """Adds a fragment; ``more``: it is not the datagram's last."""
        end = offset + len(data)
        if not self._end_is_possible(end, more):
            self.state = DatagramState.INVALID
            return
        if not more:
            self._size = end
        if self._fragments.get(offset) == data:
            return  # sent again
        for begin, fragment in self._fragments.items():
            if begin < end and offset < begin + len(fragment):
                self.state = DatagramState.INVALID
                return
        self._fragments[offset] = data
        self.held_bytes += len(data) + FRAGMENT_OVERHEAD
        if self._size >= 0 and sum(map(len, self._fragments.values())) >= self._size:
            self.state = DatagramState.COMPLETE

    def payload(self) -> bytes:
        """The payload of a complete datagram."""
        return b"".join(fragment for _, fragment in sorted(self._fragments.items()))

    def _end_is_possible(self, end: int, more: bool) -> bool:
        if end > MAX_DATAGRAM_BYTES:
            return False
        if self._size < 0:
            return True
        return end <= self._size if more else end == self._size


class FragmentReassembler:
    """Holds fragments until their datagram is complete, the oldest datagram first to go.

    Attributes:
        held_bytes: Memory that all fragments take.
        fragment_count: Fragments that came.
        given_up_count: Datagrams that were given up: contradictory, too old, or to make room.
    """

    def __init__(self, limits: ReadingLimits) -> None:
        self.held_bytes = 0
        self.fragment_count = 0
        self.given_up_count = 0
        self._limits = limits
        self._datagrams: OrderedDict[Hashable, Datagram] = OrderedDict()  # the oldest first

    def add(self, key: Hashable, offset: int, data: bytes, more: bool, at: int) -> bytes | None:
        """Adds a fragment.

        Args:
            key: What identifies the datagram: its addresses and its identification.
            offset: Bytes of the datagram's payload before this fragment.
            data: The fragment's payload.
            more: The fragment is not the datagram's last.
            at: ns of the capture's clock.

        Returns:
            The datagram's payload once it is complete.
        """
        self.fragment_count += 1
        self._make_room(at)
        datagram = self._datagrams.setdefault(key, Datagram(at))
        held_before = datagram.held_bytes
        datagram.add(offset, data, more)
        self.held_bytes += datagram.held_bytes - held_before
        match datagram.state:
            case DatagramState.INCOMPLETE:
                return None
            case DatagramState.INVALID:
                self.given_up_count += 1
                self._forget(key)
                return None
            case DatagramState.COMPLETE:
                self._forget(key)
                return datagram.payload()

    def _make_room(self, at: int) -> None:
        while self._datagrams:
            key, oldest = next(iter(self._datagrams.items()))
            is_recent = at - oldest.first_seen_at < FRAGMENT_TIMEOUT_NS
            if is_recent and self.held_bytes <= self._limits.max_fragment_bytes:
                return
            self._forget(key)
            self.given_up_count += 1

    def _forget(self, key: Hashable) -> None:
        self.held_bytes -= self._datagrams.pop(key).held_bytes
