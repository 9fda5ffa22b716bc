"""How long a client's commands have waited since their last byte arrived at this machine.

A request's timeout runs from its last byte (PROTOCOL), wherever the request waits before it is handled: in
the listener's backlog, in the kernel's buffer, or in the receive buffer behind other commands of its
connection.
"""

from __future__ import annotations

import socket
import time

from gatebank.proxy.downstream import limits
from gatebank.proxy.sockets import seconds_since_received


class ArrivalClock:
    """Measures the wait of the commands of one connection.

    Attributes:
        received_at: Monotonic time at which the last of the bytes that were read last arrived.
    """

    __slots__ = ("received_at", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received_at = time.monotonic()

    def on_read(self) -> None:
        """Determine when the bytes just read arrived; they may have waited in the kernel's buffer."""
        self.received_at = time.monotonic() - seconds_since_received(self.sock)

    def seconds_waited(self) -> float:
        """Return for how long the commands that were read last have waited until now.

        Waits shorter than `limits.MIN_COUNTED_WAIT_S` count as 0.0, as the kernel's times are imprecise.
        """
        waited = time.monotonic() - self.received_at
        return waited if waited >= limits.MIN_COUNTED_WAIT_S else 0.0
