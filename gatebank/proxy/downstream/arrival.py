"""How long a client's commands have waited since their last byte arrived at this machine.

A request's timeout runs from its last byte (PROTOCOL), wherever the request waits before it is handled: in
the listener's backlog, in the kernel's buffer, or in the receive buffer behind other commands of its
connection.

The kernel tells the age of the newest byte alone. Where newer bytes arrived behind a command while the
connection was not read, the command counts from the last moment at which the kernel's buffer was seen to be
empty: rather too long than too short, as endpoints must not be told more time than is left to the client.
"""

from __future__ import annotations

import socket
import time

from gatebank.proxy.downstream import limits
from gatebank.proxy.sockets import peek_receive_state, seconds_since_received


class ArrivalClock:
    """Measures the wait of the commands of one connection.

    Attributes:
        received_at: Monotonic time from which the commands that were read last have waited.
        empty_at: Monotonic time at which the kernel's buffer was last known to be empty.
        found_empty: Whether the kernel's buffer was empty as the last read began.
        may_hold_bytes: Whether the kernel's buffer may hold bytes that arrived before the next read begins.
    """

    __slots__ = ("empty_at", "found_empty", "may_hold_bytes", "received_at", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received_at = time.monotonic()
        self.empty_at = self.received_at
        self.found_empty = True
        self.may_hold_bytes = False

    def before_read(self) -> None:
        """Determine whether bytes wait for the next read, or the read waits for its bytes."""
        self.found_empty = not self.may_hold_bytes or peek_receive_state(self.sock) != 1

    def on_read(self, took_all: bool) -> None:
        """Determine from when on the bytes just read have waited.

        Args:
            took_all: Whether the read emptied the kernel's buffer.
        """
        now = time.monotonic()
        newest_byte_at = now - seconds_since_received(self.sock)
        self.received_at = newest_byte_at if self.found_empty else min(newest_byte_at, self.empty_at)
        self.may_hold_bytes = not took_all
        self.empty_at = now if took_all else self.received_at

    def on_reading_paused(self) -> None:
        """Take into account that nothing is read for a time, while further bytes may arrive."""
        self.may_hold_bytes = True

    def check_empty(self) -> None:
        """Look whether the kernel's buffer is empty; called from time to time while nothing is read."""
        if peek_receive_state(self.sock) != 1:
            self.empty_at = time.monotonic()

    def seconds_since_empty(self) -> float:
        """Return the seconds since the kernel's buffer was last known to be empty."""
        return time.monotonic() - self.empty_at

    def seconds_waited(self) -> float:
        """Return for how long the commands that were read last have waited until now.

        Waits shorter than `limits.MIN_COUNTED_WAIT_S` count as 0.0, as the kernel's times are imprecise.
        """
        waited = time.monotonic() - self.received_at
        return waited if waited >= limits.MIN_COUNTED_WAIT_S else 0.0
