"""Messages between instances: datagrams out and in. Owns one UDP socket, given back by `close`.

uvloop has no sock_recvfrom, and the sender must be known, so the socket is read when the loop finds it ready.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from gatebank import peer_messages
from gatebank.peer_messages import PeerMessage
from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import open_socket

MAX_DATAGRAMS_AT_ONCE = 64  # taken before others get their turn


class PeerTransport:
    """Sends to peers, and hears those whose address is known.

    Args:
        listen: Where this instance's datagrams come in.
        peers: All instances' addresses, by their number.
        broadcast: One address that reaches all; None: each is sent its own.
        instance: This instance's number.
        on_message: Takes a peer's number and its message.

    Attributes:
        sent: Datagrams since the start; ``received`` and ``dropped`` likewise.

    Raises:
        OSError: ``listen`` can't be listened on.
    """

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        broadcast: Address | None,
        instance: int,
        on_message: Callable[[int, PeerMessage], None],
    ) -> None:
        self.peers = peers
        self.broadcast = broadcast
        self.instance = instance
        self.on_message = on_message
        self.numbers = {peer: number for number, peer in enumerate(peers)}
        self.sent = 0
        self.received = 0
        self.dropped = 0
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray(peer_messages.MAX_MESSAGE_BYTES + 1)  # one more shows what is too long
        self.sock = open_socket(listen, socket.SOCK_DGRAM)
        try:
            self.sock.bind(listen)
        except OSError:
            self.sock.close()
            raise
        self.loop.add_reader(self.sock, self.on_readable)

    def send(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to one peer, or to all (None)."""
        data = peer_messages.encode(message)
        for address in self.targets(peer) if len(data) <= peer_messages.MAX_MESSAGE_BYTES else ():
            try:
                self.sent += 1
                self.sock.sendto(data, address)
            except OSError:  # lost, as a datagram may be
                self.dropped += 1

    def targets(self, peer: int | None) -> Sequence[Address]:
        """Where a message for this peer, or for all, goes."""
        if peer is not None:
            return [self.peers[peer]] if peer < len(self.peers) else []
        if self.broadcast:
            return [self.broadcast]
        return [address for number, address in enumerate(self.peers) if number != self.instance]

    def on_readable(self) -> None:
        """Take what has come, so many at most."""
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            try:
                size, sender = self.sock.recvfrom_into(self.buffer)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram was refused somewhere
                continue
            self.take(bytes(self.buffer[:size]), sender[:2])

    def take(self, data: bytes, sender: Address) -> None:
        """Pass a datagram on, if it is a peer's and can be read."""
        number = self.numbers.get(sender)
        message = peer_messages.decode(data) if len(data) <= peer_messages.MAX_MESSAGE_BYTES else None
        if number is None or message is None:
            self.dropped += 1
        elif number != self.instance:
            self.received += 1
            self.on_message(number, message)

    def close(self) -> None:
        """Give the socket back."""
        self.loop.remove_reader(self.sock)
        self.sock.close()
