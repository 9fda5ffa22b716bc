"""Reassembly of fragmented IP datagrams, within memory limits. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from enum import Enum, auto

from gatebank.capture.limits import ReadingLimits

# Time in ns of the capture's clock to wait for the remaining fragments of a datagram (RFC 791: over 15 s).
FRAGMENT_TIMEOUT_NS = 30_000_000_000
MAX_DATAGRAM_BYTES = 65535
FRAGMENT_OVERHEAD = 64  # Bytes of memory that a held fragment takes in addition to its payload.


class DatagramState(Enum):
    """State of the reassembly of one datagram."""

    INCOMPLETE = auto()
    COMPLETE = auto()
    INVALID = auto()  # Fragments overlap or contradict each other (RFC 5722).


class Datagram:
    """The fragments of one datagram.

    Attributes:
        first_seen_at: Time of the first captured fragment in ns of the capture's clock.
        held_bytes: Memory in bytes that the fragments take.
        state: State of the reassembly.
    """

    __slots__ = ("_fragments", "_size", "first_seen_at", "held_bytes", "state")

    def __init__(self, since: int) -> None:
        self.first_seen_at = since
        self.held_bytes = 0
        self.state = DatagramState.INCOMPLETE
        self._size = -1  # Size of the whole payload in bytes; -1 until the last fragment has been seen.
        self._fragments: dict[int, bytes] = {}  # Payloads by their offset.

    def add(self, offset: int, data: bytes, more: bool) -> None:
        """Add a fragment; ``more`` is True unless the fragment is the datagram's last."""
        end = offset + len(data)
        if not self._end_is_possible(end, more):
            self.state = DatagramState.INVALID
            return
        if not more:
            self._size = end
        if self._fragments.get(offset) == data:
            return  # A copy of a known fragment.
        for begin, fragment in self._fragments.items():
            if begin < end and offset < begin + len(fragment):
                self.state = DatagramState.INVALID
                return
        self._fragments[offset] = data
        self.held_bytes += len(data) + FRAGMENT_OVERHEAD
        if self._size >= 0 and sum(map(len, self._fragments.values())) >= self._size:
            self.state = DatagramState.COMPLETE

    def payload(self) -> bytes:
        """Return the payload of a complete datagram."""
        return b"".join(fragment for _, fragment in sorted(self._fragments.items()))

    def _end_is_possible(self, end: int, more: bool) -> bool:
        if end > MAX_DATAGRAM_BYTES:
            return False
        if self._size < 0:
            return True
        return end <= self._size if more else end == self._size


class FragmentReassembler:
    """Holds fragments until their datagram is complete; drops the oldest datagrams to free memory.

    Attributes:
        held_bytes: Memory in bytes that all held fragments take.
        fragment_count: Number of fragments seen.
        given_up_count: Number of datagrams dropped because they were invalid, too old, or took too much
            memory.
    """

    def __init__(self, limits: ReadingLimits) -> None:
        self.held_bytes = 0
        self.fragment_count = 0
        self.given_up_count = 0
        self._limits = limits
        self._datagrams: OrderedDict[Hashable, Datagram] = OrderedDict()  # Oldest first.

    def add(self, key: Hashable, offset: int, data: bytes, more: bool, at: int) -> bytes | None:
        """Add a fragment.

        Args:
            key: Identifies the datagram: its addresses and its identification field.
            offset: Number of bytes of the datagram's payload before this fragment.
            data: The fragment's payload.
            more: Whether further fragments follow this fragment in the datagram.
            at: Time of the fragment in ns of the capture's clock.

        Returns:
            The datagram's payload if this fragment completes the datagram; else None.
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
