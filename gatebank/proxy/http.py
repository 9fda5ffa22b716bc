"""HTTP/1.1 as a caller, parsed by httptools: one call on a connection, or an answer that stays open.

A Caller owns its socket and buffer; `close` gives both back, and every failure calls it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator

import httptools

from gatebank.proxy.configuration import Address
from gatebank.proxy.sockets import opened, waiting

MOST_BODY = 8 * 1024 * 1024  # a roll of some ten thousand nodes
ROOM = 16 * 1024


class NoReplyError(Exception):
    """The call came to nothing; ``arrived`` tells whether it may have been carried out."""

    def __init__(self, why: str, arrived: bool) -> None:
        super().__init__(why)
        self.arrived = arrived


class Caller:
    def __init__(self, address: Address) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.sock: socket.socket | None = None
        self.room = bytearray(ROOM)
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.done, self.keeps, self.begun, self.status = False, True, 0, 0

    def on_message_begin(self) -> None:
        self.begun += 1
        self.keeps = self.begun == 1

    def on_body(self, part: bytes) -> None:
        if self.begun == 1:  # what lies behind the answer is none of it
            self.body.append(part)

    def on_message_complete(self) -> None:
        if self.begun == 1:
            self.done, self.keeps = True, self.parser.should_keep_alive()
            self.status = self.parser.get_status_code()

    def close(self) -> None:
        if self.sock:
            self.sock.close()
        self.sock = None

    async def open(self) -> socket.socket:
        if not self.sock:
            self.sock = opened(self.address)
            await self.loop.sock_connect(self.sock, self.address)
        return self.sock

    async def ask(self, method: str, target: str, form: str | None) -> None:
        """Send one request; Unanswered without ``arrived`` if its last byte was not written."""
        host = f"{self.address[0]}:{self.address[1]}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", "Accept: */*"]
        if form is not None:
            lines += ["Content-Type: application/x-www-form-urlencoded", f"Content-Length: {len(form)}"]
        request = ("\r\n".join(lines) + "\r\n\r\n" + (form or "")).encode()
        self.parser, self.body, self.done = httptools.HttpResponseParser(self), [], False
        self.begun = 0
        if self.sock and waiting(self.sock):  # it ended, or holds what this request did not ask for
            self.close()
        try:
            sock = await self.open()
            await self.loop.sock_sendall(sock, request)
        except OSError as trouble:
            self.close()
            raise NoReplyError(str(trouble), False) from trouble

    async def read(self) -> None:
        """One read into the parser."""
        assert self.sock
        try:
            size = await self.loop.sock_recv_into(self.sock, self.room)
            if not size:
                raise NoReplyError("the connection ended", True)
            self.parser.feed_data(memoryview(self.room)[:size])
        except OSError as trouble:
            raise NoReplyError(str(trouble), True) from trouble
        except httptools.HttpParserError as trouble:
            if not self.done:
                raise NoReplyError(f"no HTTP: {trouble}", True) from trouble
            self.keeps = False  # noise behind a whole answer: that stands, the connection does not
        if sum(map(len, self.body)) > MOST_BODY:
            raise NoReplyError("the answer is too long", True)

    async def call(
        self, method: str, target: str, limit: float, form: str | None = None
    ) -> tuple[int, bytes]:
        """One call and its answer within ``limit`` seconds; the connection is kept if both sides want it."""
        arrived = False
        try:
            async with asyncio.timeout(limit):
                await self.ask(method, target, form)
                arrived = True
                while not self.done:
                    await self.read()
        except TimeoutError:
            self.close()
            raise NoReplyError("no answer in time", arrived) from None
        except BaseException:
            self.close()
            raise
        if not self.keeps:
            self.close()
        return self.status, b"".join(self.body)

    async def stream(self, target: str, silence: float) -> AsyncIterator[bytes]:
        """An answer that stays open, as it comes; Unanswered after ``silence`` seconds with nothing."""
        try:
            async with asyncio.timeout(silence) as limit:
                await self.ask("GET", target, None)
                trouble = None
                while not self.done and not trouble:
                    try:
                        await self.read()
                    except NoReplyError as found:  # what came before it has been told
                        trouble = found
                    parts, self.body = self.body, []
                    limit.reschedule(self.loop.time() + silence)
                    for part in parts:
                        yield part
            raise trouble or NoReplyError("the stream ended", True)
        except TimeoutError:
            raise NoReplyError("nothing came, not even a sign of life", True) from None
        finally:
            self.close()
