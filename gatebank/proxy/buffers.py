"""Interface of the receive buffers of all protocols, their shared memory budget and their error."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gatebank.errors import GatebankError


class ProtocolError(GatebankError):
    """Received data violates the protocol or exceeds a size limit; the message names the violation."""


class NoRoomError(ProtocolError):
    """The memory budget has no room for a message; the peer did nothing wrong."""


class MemoryBudget:
    """Memory that many buffers share for their growth beyond the initial size.

    Args:
        size: The memory in bytes.
        make_room: Called with a number of bytes that are not available; may release memory of others.
    """

    def __init__(self, size: int, make_room: Callable[[int], None] | None = None) -> None:
        self.available = size
        self.make_room = make_room

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes, if available; the caller releases them by adding to ``available``."""
        if size > self.available and self.make_room:
            self.make_room(size)
        fits = size <= self.available
        self.available -= size if fits else 0
        return fits


class ReceiveBuffer(Protocol):
    """Receive buffer of one connection, which finds the protocol's messages in the received bytes.

    Attributes:
        data: The underlying memory.
        end: Offset in ``data`` of the end of the received bytes.
    """

    data: bytearray | bytes
    end: int

    @property
    def incomplete_bytes(self) -> int:
        """Number of received bytes of an incomplete message."""

    def free_space(self) -> memoryview:
        """Return the memory for the next read; invalidates all slices returned before.

        Raises:
            ProtocolError: A message exceeds the size limit.
        """

    def commit(self, size: int) -> None:
        """Add ``size`` bytes that were read into `free_space` to the received bytes."""

    def close(self) -> None:
        """Free the buffer's memory, and return what was reserved from the memory budget."""
