"""One connection of a state transfer on asyncio sockets, plain or with TLS."""

from __future__ import annotations

import asyncio
import socket

from gatebank.keys.tls_stream import TlsStream
from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import open_socket

# Size of the receive buffer of a read: large enough for one part.
RECEIVE_BYTES = 64 * 1024
# Timeout in seconds for establishing a connection, and again for its TLS handshake. It is short because all
# instances are on one network.
CONNECT_TIMEOUT = 1.0


class Connection:
    """A socket and its TLS state. The owner closes it with `contextlib.closing` or in `finally`."""

    def __init__(self, sock: socket.socket, tls: TlsStream | None) -> None:
        """Wraps a socket.

        Args:
            sock: A non-blocking socket, connected or not.
            tls: TLS state of the connection; None for a plain connection.
        """
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.tls = tls
        self.buffer = bytearray(RECEIVE_BYTES)
        # Decrypted bytes that arrived together with the last bytes of the handshake.
        self.leftover_data = b""

    @classmethod
    def for_address(cls, address: Address, tls: TlsStream | None) -> Connection:
        """Returns an unconnected connection of the address's family; call `connect` next."""
        return cls(open_socket(address), tls)

    async def connect(self, address: Address, seconds: float = CONNECT_TIMEOUT) -> None:
        """Connects to an address and performs the TLS handshake.

        Args:
            address: The source's address.
            seconds: Timeout for establishing the connection, and again for the handshake.

        Raises:
            OSError: The connection failed; the subclass ssl.SSLError if the handshake failed.
            TimeoutError: The connection or the handshake took too long.
        """
        async with asyncio.timeout(seconds):
            await self.loop.sock_connect(self.sock, address)
        await self.handshake(seconds)

    async def handshake(self, seconds: float = CONNECT_TIMEOUT) -> None:
        """Performs the TLS handshake; does nothing on a plain connection.

        Args:
            seconds: Timeout of the handshake.

        Raises:
            OSError: The connection was lost; the subclass ssl.SSLError if the handshake failed.
            TimeoutError: The handshake took too long.
        """
        async with asyncio.timeout(seconds):
            await self.exchange_handshake()

    async def exchange_handshake(self) -> None:
        """Exchanges handshake bytes with the peer until TLS is ready."""
        if self.tls is None:
            return
        self.tls.feed(b"")
        while True:
            if outgoing := self.tls.read_outgoing():
                await self.loop.sock_sendall(self.sock, outgoing)
            if self.tls.handshake_done:
                return
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            if not size:
                raise ConnectionError("connection closed during the TLS handshake")
            self.leftover_data = self.tls.feed(memoryview(self.buffer)[:size])

    async def send(self, data: bytes) -> None:
        """Sends all bytes of ``data``."""
        if self.tls is not None:
            self.tls.encrypt(data)
            data = self.tls.read_outgoing()
        await self.loop.sock_sendall(self.sock, data)

    async def read(self) -> bytes:
        """Returns received bytes, decrypted; empty once the peer has closed the connection."""
        if self.leftover_data:
            data = self.leftover_data
            self.leftover_data = b""
            return data
        while True:
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            received = memoryview(self.buffer)[:size]
            if not size or self.tls is None:
                return bytes(received)
            data = self.tls.feed(received)
            if outgoing := self.tls.read_outgoing():
                await self.loop.sock_sendall(self.sock, outgoing)
            if data:
                return data

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
