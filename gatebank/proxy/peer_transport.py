"""Sends and receives datagrams between instances. Owns one UDP socket, which `close` closes.

The transport needs the sender's address, but uvloop has no sock_recvfrom; the socket is therefore read in a
reader callback of the event loop.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from gatebank import peer_messages
from gatebank.peer_messages import PeerMessage
from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import open_socket

MAX_DATAGRAMS_AT_ONCE = 64  # Datagrams read per callback, so that other callbacks are not delayed.


class PeerTransport:
    """Sends messages to peers, and receives messages from peers whose address is known.

    Args:
        listen: Address on which this instance receives datagrams.
        peers: Addresses of all instances, by instance number.
        broadcast: Address that reaches all instances; None sends a separate datagram to each peer.
        instance: Number of this instance.
        on_message: Receives the peer's number and the message.

    Attributes:
        sent: Number of datagrams sent since the start.
        received: Number of messages received since the start.
        dropped: Number of datagrams since the start that could not be sent, were unreadable, or came from an
            unknown address.

    Raises:
        OSError: The socket cannot be bound to ``listen``.
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
        self.buffer = bytearray(
            peer_messages.MAX_MESSAGE_BYTES + 1
        )  # The extra byte reveals oversized datagrams.
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
            except OSError:  # Datagrams may be lost; the protocol tolerates it.
                self.dropped += 1

    def targets(self, peer: int | None) -> Sequence[Address]:
        """Return the addresses for a message to one peer, or to all (None)."""
        if peer is not None:
            return [self.peers[peer]] if peer < len(self.peers) else []
        if self.broadcast:
            return [self.broadcast]
        return [address for number, address in enumerate(self.peers) if number != self.instance]

    def on_readable(self) -> None:
        """Read the waiting datagrams, at most MAX_DATAGRAMS_AT_ONCE."""
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            try:
                size, sender = self.sock.recvfrom_into(self.buffer)
            except BlockingIOError:
                return
            except OSError:  # Reports that the destination of an earlier datagram refused it.
                continue
            self.on_datagram(bytes(self.buffer[:size]), sender[:2])

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Decode a datagram and pass its message on, if it is readable and comes from a peer."""
        number = self.numbers.get(sender)
        message = peer_messages.decode(data) if len(data) <= peer_messages.MAX_MESSAGE_BYTES else None
        if number is None or message is None:
            self.dropped += 1
        elif number != self.instance:
            self.received += 1
            self.on_message(number, message)

    def close(self) -> None:
        """Close the socket."""
        self.loop.remove_reader(self.sock)
        self.sock.close()
