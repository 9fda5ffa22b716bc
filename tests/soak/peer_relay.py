"""Relays datagrams between instances, and loses, duplicates and delays some of them.

The relay has one socket for each ordered pair of instances. A datagram from instance i to instance j arrives
at the socket that i's configuration names as j's address, and is forwarded to j from the socket that j's
configuration names as i's address.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from random import Random

from gatebank.proxy.configuration import Address

MAX_DATAGRAM_BYTES = 2048


@dataclass(slots=True)
class DatagramFaults:
    """Shares of datagrams that are lost, duplicated or delayed, and the longest delay in seconds."""

    lost: float = 0.0
    duplicated: float = 0.0
    delayed: float = 0.0
    max_delay: float = 0.3


class PeerRelay:
    """Relays between instances that listen at ``addresses``.

    Attributes:
        faults: Applied to the datagrams that arrive from now on.
        longest_datagram: Bytes of the longest datagram so far.
    """

    def __init__(self, host: str, addresses: list[Address], generator: Random) -> None:
        self.addresses = addresses
        self.generator = generator
        self.faults = DatagramFaults()
        self.longest_datagram = 0
        self.loop = asyncio.get_running_loop()
        self.sockets: dict[tuple[int, int], socket.socket] = {}
        for sender in range(len(addresses)):
            for receiver in range(len(addresses)):
                if sender != receiver:
                    self.open(host, sender, receiver)

    def open(self, host: str, sender: int, receiver: int) -> None:
        """Open the socket whose address ``sender``'s configuration names as the address of ``receiver``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        sock.bind((host, 0))
        self.sockets[sender, receiver] = sock
        self.loop.add_reader(sock, self.relay, sender, receiver)

    def peers(self, instance: int) -> list[str]:
        """Return the addresses of all instances as an instance's configuration must name them."""
        found = []
        for other, own in enumerate(self.addresses):
            host, port = own if other == instance else self.sockets[instance, other].getsockname()
            found.append(f"{host}:{port}")
        return found

    def relay(self, sender: int, receiver: int) -> None:
        """Forward the datagrams that have arrived, subject to the faults."""
        while True:
            try:
                data = self.sockets[sender, receiver].recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.longest_datagram = max(self.longest_datagram, len(data))
            if self.generator.random() < self.faults.lost:
                continue
            for _ in range(2 if self.generator.random() < self.faults.duplicated else 1):
                delay = self.generator.uniform(0.0, self.faults.max_delay)
                is_late = self.generator.random() < self.faults.delayed
                self.loop.call_later(delay if is_late else 0.0, self.deliver, data, sender, receiver)

    def deliver(self, data: bytes, sender: int, receiver: int) -> None:
        """Send a datagram to its receiver, which may not be running."""
        sock = self.sockets.get((receiver, sender))
        if sock is None:
            return
        try:
            sock.sendto(data, self.addresses[receiver])
        except OSError:
            return

    def close(self) -> None:
        """Close all sockets."""
        for sock in self.sockets.values():
            self.loop.remove_reader(sock)
            sock.close()
        self.sockets.clear()
