"""HTTP/1.1 client based on httptools: single calls, and replies that stay open as a stream."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncGenerator
from typing import NamedTuple

import httptools

from gatebank.errors import GatebankError
from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import open_socket, peek_receive_state

MAX_BODY_BYTES = 64 * 1024  # Many times the longest reply of the release service.
READ_BYTES = 16 * 1024
FORM_TYPE = "application/x-www-form-urlencoded"


class NoReplyError(GatebankError):
    """A call got no complete reply.

    Attributes:
        may_have_arrived: True if the server may have received the call and carried it out.
    """

    def __init__(self, reason: str, may_have_arrived: bool) -> None:
        super().__init__(reason)
        self.may_have_arrived = may_have_arrived


class HttpReply(NamedTuple):
    """A complete reply."""

    status: int
    body: bytes


class HttpClient:
    """Sends calls to one address; owns a socket and a buffer.

    Args:
        address: Address of the server.
        max_body_bytes: Limit for the body of a reply, or for one part of a reply that stays open.

    `close` closes the socket; every failure calls it. The ``on_`` methods are callbacks for httptools.
    """

    def __init__(self, address: Address, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.loop = asyncio.get_running_loop()
        self.sock: socket.socket | None = None
        self.buffer = bytearray()
        self.parser: httptools.HttpResponseParser | None = None
        self.body = bytearray()
        self.done = False
        self.keeps_alive = True
        self.messages_begun = 0
        self.status = 0

    def on_message_begin(self) -> None:
        """Handle the start of a reply; a second reply to the same call makes the connection unusable."""
        self.messages_begun += 1
        self.keeps_alive = self.messages_begun == 1

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body; data after the first reply is ignored."""
        if self.messages_begun == 1:
            self.body += part

    def on_message_complete(self) -> None:
        """Handle the end of a reply."""
        if self.messages_begun == 1:
            assert self.parser
            self.done = True
            self.keeps_alive = self.parser.should_keep_alive()
            self.status = self.parser.get_status_code()

    def close(self) -> None:
        """Close the socket, and free the buffer and the parser, which refers to this client."""
        if self.sock:
            self.sock.close()
        self.sock = None
        self.buffer = bytearray()
        self.parser = None

    async def call(self, method: str, target: str, time_limit: float, form: str | None = None) -> HttpReply:
        """Make one call; the connection is kept open if both sides allow it.

        Args:
            method: HTTP method.
            target: Path and query.
            time_limit: Seconds within which the reply must be complete.
            form: Body of the request, a URL-encoded form; None for no body.

        Raises:
            NoReplyError: There was no complete reply in time.
        """
        request_sent = False
        try:
            async with asyncio.timeout(time_limit):
                await self.send(method, target, form)
                request_sent = True
                while not self.done:
                    await self.read()
        except TimeoutError:
            self.close()
            raise NoReplyError("no complete reply in time", request_sent) from None
        except BaseException:  # Includes cancellation: a connection with a half-read reply cannot be reused.
            self.close()
            raise
        if not self.keeps_alive:
            self.close()
        body = bytes(self.body)
        self.body = bytearray()  # A kept connection must not keep the reply.
        return HttpReply(self.status, body)

    async def stream(self, target: str, idle_timeout: float) -> AsyncGenerator[bytes, None]:
        """Yield the body of a reply that stays open, in parts as they arrive.

        Args:
            target: Path and query.
            idle_timeout: Seconds without a part after which the stream counts as dead.

        Raises:
            NoReplyError: The stream ended, or no part arrived for ``idle_timeout`` seconds.
        """
        try:
            async with asyncio.timeout(idle_timeout) as limit:
                await self.send("GET", target, None)
                error: NoReplyError | None = None
                while not self.done and not error:
                    try:
                        await self.read()
                    except NoReplyError as failure:  # Data received before the error is passed on first.
                        error = failure
                    if self.body:
                        part = bytes(self.body)
                        self.body = bytearray()
                        limit.reschedule(self.loop.time() + idle_timeout)
                        yield part
            raise error or NoReplyError("the stream ended", True)
        except TimeoutError:
            raise NoReplyError("the stream was silent, without even a keep-alive", True) from None
        finally:
            self.close()

    async def send(self, method: str, target: str, form: str | None) -> None:
        """Send one request, on the connection kept from the last call if it is still usable.

        Raises:
            NoReplyError: The request was not written completely.
        """
        request = self.encode(method, target, form)
        # A kept connection is unusable if it has ended or holds data that no request asked for.
        if self.sock and peek_receive_state(self.sock):
            self.close()
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.done = False
        self.messages_begun = 0
        try:
            sock = await self.open()
            await self.loop.sock_sendall(sock, request)
        except OSError as error:
            self.close()
            raise NoReplyError(str(error), False) from error

    def encode(self, method: str, target: str, form: str | None) -> bytes:
        """Return the bytes of a request."""
        host = f"{self.address[0]}:{self.address[1]}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", "Accept: */*"]
        if form is not None:
            lines += [f"Content-Type: {FORM_TYPE}", f"Content-Length: {len(form)}"]
        return ("\r\n".join(lines) + "\r\n\r\n" + (form or "")).encode()

    async def open(self) -> socket.socket:
        """Return the connection, opening a new one if none was kept."""
        if not self.sock:
            self.buffer = bytearray(READ_BYTES)
            self.sock = open_socket(self.address)
            await self.loop.sock_connect(self.sock, self.address)
        return self.sock

    async def read(self) -> None:
        """Read once from the socket and feed the bytes to the parser.

        Raises:
            NoReplyError: The connection ended, or the data is not HTTP or exceeds ``max_body_bytes``.
        """
        assert self.sock
        assert self.parser
        try:
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            if size:
                self.parser.feed_data(memoryview(self.buffer)[:size])
        except OSError as error:
            raise NoReplyError(str(error), True) from error
        except httptools.HttpParserError as error:
            if not self.done:
                raise NoReplyError(f"the reply is not valid HTTP: {error}", True) from error
            # Invalid data after a complete reply: the reply is valid, but the connection must be closed.
            self.keeps_alive = False
        if not size:
            raise NoReplyError("the connection ended", True)
        if len(self.body) > self.max_body_bytes:
            raise NoReplyError("the reply is too long", True)
