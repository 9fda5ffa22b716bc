"""Words between marshals: datagrams out and in. Owns one UDP socket, given back by `close`.

uvloop has no sock_recvfrom, and the sender must be known, so the socket is read when the loop finds it ready.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from gatebank import peer_messages
from gatebank.peer_messages import PeerMessage
from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import opened

TURN = 64  # datagrams taken before others get their turn


class PeerTransport:
    def __init__(
        self,
        listen: Address,
        marshals: Sequence[Address],
        to_all: Address | None,
        me: int,
        heard: Callable[[int, PeerMessage], None],
    ) -> None:
        self.marshals, self.to_all, self.me, self.heard = marshals, to_all, me, heard
        self.numbers = {where: number for number, where in enumerate(marshals)}
        self.told = self.taken = self.dropped = 0  # datagrams since the start
        self.loop = asyncio.get_running_loop()
        self.room = bytearray(peer_messages.MAX_MESSAGE_BYTES + 1)  # one more shows what is too long
        self.sock = opened(listen, socket.SOCK_DGRAM)
        try:
            self.sock.bind(listen)
        except OSError:
            self.sock.close()
            raise
        self.loop.add_reader(self.sock, self.ready)

    def tell(self, peer: int | None, word: PeerMessage) -> None:
        data = peer_messages.encode(word)
        if peer is not None:
            targets = [self.marshals[peer]] if peer < len(self.marshals) else []
        elif self.to_all:
            targets = [self.to_all]
        else:
            targets = [where for number, where in enumerate(self.marshals) if number != self.me]
        for where in targets if len(data) <= peer_messages.MAX_MESSAGE_BYTES else ():
            try:
                self.told += 1
                self.sock.sendto(data, where)
            except OSError:  # lost, as a datagram may be
                self.dropped += 1

    def ready(self) -> None:
        for _ in range(TURN):
            try:
                size, sender = self.sock.recvfrom_into(self.room)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram was refused somewhere
                continue
            number = self.numbers.get(sender[:2])
            fits = size <= peer_messages.MAX_MESSAGE_BYTES
            word = peer_messages.decode(bytes(self.room[:size])) if fits else None
            if number is None or word is None:
                self.dropped += 1
            elif number != self.me:
                self.taken += 1
                self.heard(number, word)

    def close(self) -> None:
        self.loop.remove_reader(self.sock)
        self.sock.close()
