"""What receive buffers of all protocols share: the memory that they may grow by, and their error."""

from __future__ import annotations

from typing import Protocol

from gatebank.errors import GatebankError


class ProtocolError(GatebankError):
    """What came is not of the protocol, or larger than allowed; the text says what."""


class MemoryBudget:
    """Bytes that many buffers share for what they grow beyond their first room."""

    def __init__(self, size: int) -> None:
        self.available = size

    def reserve(self, size: int) -> bool:
        """Take so many bytes, if they are left; who took them gives them back by adding to ``left``."""
        fits = size <= self.available
        self.available -= size if fits else 0
        return fits


class ReceiveBuffer(Protocol):
    """One connection's buffer, which finds the protocol's messages in what was read into it.

    Attributes:
        data: What was read and is not used up ends at ``end``.
    """

    data: bytearray | bytes
    end: int

    @property
    def incomplete_bytes(self) -> int:
        """Bytes of a message that is not whole yet."""

    def free_space(self) -> memoryview:
        """Where the next read goes; ends the life of all slices given out.

        Raises:
            ProtocolError: A message does not fit what is allowed.
        """

    def commit(self, size: int) -> None:
        """Count bytes that were read into `room`."""

    def close(self) -> None:
        """Give back what was taken of the allowance."""
