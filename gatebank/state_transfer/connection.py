"""One connection of a state transfer on asyncio's sockets, with TLS or plain."""

from __future__ import annotations

import asyncio
import socket

from gatebank.keys.tls_stream import TlsStream
from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import open_socket

RECEIVE_BYTES = 64 * 1024  # of one read: a part
# Seconds for a connection to be established, and as long again for its handshake: peers are on one network.
CONNECT_TIMEOUT = 1.0


class Connection:
    """A connected socket and its TLS; its owner closes it, by `contextlib.closing` or in `finally`."""

    def __init__(self, sock: socket.socket, tls: TlsStream | None) -> None:
        """Takes a non-blocking socket; without ``tls`` the connection is plain."""
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.tls = tls
        self.buffer = bytearray(RECEIVE_BYTES)
        # Plain bytes that came together with the end of the handshake.
        self.early_data = b""

    @classmethod
    def for_address(cls, where: Address, tls: TlsStream | None) -> Connection:
        """Returns an unconnected one of the address's family; `connect` follows."""
        return cls(open_socket(where), tls)

    async def connect(self, where: Address, seconds: float = CONNECT_TIMEOUT) -> None:
        """Connects, and does the handshake.

        Args:
            where: the source's address.
            seconds: for the connection, and as many for the handshake.

        Raises:
            OSError: of the connection; an ssl.SSLError of the handshake.
            TimeoutError: either took too long.
        """
        async with asyncio.timeout(seconds):
            await self.loop.sock_connect(self.sock, where)
        await self.handshake(seconds)

    async def handshake(self, seconds: float = CONNECT_TIMEOUT) -> None:
        """Does the TLS handshake, if there is one to do; raises as `connect` does."""
        async with asyncio.timeout(seconds):
            await self.exchange_handshake()

    async def exchange_handshake(self) -> None:
        """Moves bytes until TLS is ready."""
        if self.tls is None:
            return
        self.tls.feed(b"")
        while True:
            if outgoing := self.tls.outgoing():
                await self.loop.sock_sendall(self.sock, outgoing)
            if self.tls.ready:
                return
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            if not size:
                raise ConnectionError("it ended amid the handshake")
            self.early_data = self.tls.feed(memoryview(self.buffer)[:size])

    async def send(self, data: bytes) -> None:
        """Sends all of it."""
        if self.tls is not None:
            self.tls.encrypt(data)
            data = self.tls.outgoing()
        await self.loop.sock_sendall(self.sock, data)

    async def read(self) -> bytes:
        """Returns some bytes; none once the other side has ended the connection."""
        if self.early_data:
            data = self.early_data
            self.early_data = b""
            return data
        while True:
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            received = memoryview(self.buffer)[:size]
            if not size or self.tls is None:
                return bytes(received)
            data = self.tls.feed(received)
            if outgoing := self.tls.outgoing():
                await self.loop.sock_sendall(self.sock, outgoing)
            if data:
                return data

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
