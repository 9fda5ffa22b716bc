"""HTTP/1.1 as a caller, parsed by httptools: one call on a connection, or an answer that stays open."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncGenerator
from typing import NamedTuple

import httptools

from gatebank.errors import GatebankError
from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import open_socket, peek_receive_state

MAX_BODY_BYTES = 8 * 1024 * 1024  # an endpoint list of some ten thousand
READ_BYTES = 16 * 1024
FORM_TYPE = "application/x-www-form-urlencoded"


class NoReplyError(GatebankError):
    """The call came to nothing.

    Attributes:
        arrived: It may have been carried out all the same.
    """

    def __init__(self, reason: str, arrived: bool) -> None:
        super().__init__(reason)
        self.may_have_arrived = arrived


class HttpReply(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class HttpClient:
    """Calls one address; owns a socket and a buffer. `close` gives both back, and every failure calls it.

    The on_ methods are httptools' callbacks.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.sock: socket.socket | None = None
        self.buffer = bytearray(READ_BYTES)
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.done = False
        self.keeps_alive = True
        self.messages_begun = 0
        self.status = 0

    def on_message_begin(self) -> None:
        """An answer begins; a second one to the same call spoils the connection."""
        self.messages_begun += 1
        self.keeps_alive = self.messages_begun == 1

    def on_body(self, part: bytes) -> None:
        """A part of a body; what lies behind the answer is none of it."""
        if self.messages_begun == 1:
            self.body.append(part)

    def on_message_complete(self) -> None:
        """An answer is whole."""
        if self.messages_begun == 1:
            self.done = True
            self.keeps_alive = self.parser.should_keep_alive()
            self.status = self.parser.get_status_code()

    def close(self) -> None:
        """Give the socket back."""
        if self.sock:
            self.sock.close()
        self.sock = None

    async def call(self, method: str, target: str, limit: float, form: str | None = None) -> HttpReply:
        """One call and its answer within ``limit`` seconds; the connection is kept if both sides want it.

        Raises:
            NoReplyError: There is no whole answer.
        """
        request_sent = False
        try:
            async with asyncio.timeout(limit):
                await self.send(method, target, form)
                request_sent = True
                while not self.done:
                    await self.read()
        except TimeoutError:
            self.close()
            raise NoReplyError("no answer in time", request_sent) from None
        except BaseException:  # also a cancellation: what is half read can't be used again
            self.close()
            raise
        if not self.keeps_alive:
            self.close()
        return HttpReply(self.status, b"".join(self.body))

    async def stream(self, target: str, silence: float) -> AsyncGenerator[bytes, None]:
        """An answer that stays open, as it comes.

        Raises:
            NoReplyError: It has ended, or nothing came for ``silence`` seconds.
        """
        try:
            async with asyncio.timeout(silence) as limit:
                await self.send("GET", target, None)
                error: NoReplyError | None = None
                while not self.done and not error:
                    try:
                        await self.read()
                    except NoReplyError as found:  # what came before it is passed on first
                        error = found
                    parts = self.body
                    self.body = []
                    limit.reschedule(self.loop.time() + silence)
                    for part in parts:
                        yield part
            raise error or NoReplyError("the stream ended", True)
        except TimeoutError:
            raise NoReplyError("nothing came, not even a sign of life", True) from None
        finally:
            self.close()

    async def send(self, method: str, target: str, form: str | None) -> None:
        """Send one request, on the connection that was kept if it can be used.

        Raises:
            NoReplyError: Its last byte was not written.
        """
        request = self.encode(method, target, form)
        self.parser = httptools.HttpResponseParser(self)
        self.body = []
        self.done = False
        self.messages_begun = 0
        if self.sock and peek_receive_state(
            self.sock
        ):  # it ended, or holds what this request did not ask for
            self.close()
        try:
            sock = await self.open()
            await self.loop.sock_sendall(sock, request)
        except OSError as error:
            self.close()
            raise NoReplyError(str(error), False) from error

    def encode(self, method: str, target: str, form: str | None) -> bytes:
        """A request's bytes."""
        host = f"{self.address[0]}:{self.address[1]}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", "Accept: */*"]
        if form is not None:
            lines += [f"Content-Type: {FORM_TYPE}", f"Content-Length: {len(form)}"]
        return ("\r\n".join(lines) + "\r\n\r\n" + (form or "")).encode()

    async def open(self) -> socket.socket:
        """The connection; a new one where none was kept."""
        if not self.sock:
            self.sock = open_socket(self.address)
            await self.loop.sock_connect(self.sock, self.address)
        return self.sock

    async def read(self) -> None:
        """One read into the parser.

        Raises:
            NoReplyError: The connection ended, or what came is no HTTP or too long.
        """
        assert self.sock
        try:
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            if size:
                self.parser.feed_data(memoryview(self.buffer)[:size])
        except OSError as error:
            raise NoReplyError(str(error), True) from error
        except httptools.HttpParserError as error:
            if not self.done:
                raise NoReplyError(f"no HTTP: {error}", True) from error
            self.keeps_alive = False  # noise behind a whole answer: that stands, the connection does not
        if not size:
            raise NoReplyError("the connection ended", True)
        if sum(map(len, self.body)) > MAX_BODY_BYTES:
            raise NoReplyError("the answer is too long", True)
