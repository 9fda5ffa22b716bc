"""Bad clients that send at full speed and read what they are sent.

A client whose connection ends opens another. Usage: bad_clients.py HOST PORT CLIENTS SECONDS KIND

Kinds:

    empty     empty commands (``*0``) without end
    hundreds  batches of HUNDREDS requests at once, one batch after the other
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from itertools import count

EMPTY_COMMANDS = b"*0\r\n" * 20_000
HUNDREDS = 200
TIME_MS = 2400
WRITE_BYTES = 65_536
READ_BYTES = 65_536


class Output:
    """The bytes that one client sends; the batch is made anew when it has been sent."""

    ids = count(1)

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.batch = b""
        self.sent = 0

    def next_bytes(self) -> bytes:
        """Return the bytes that are to be sent next."""
        if self.sent >= len(self.batch):
            self.batch = EMPTY_COMMANDS if self.kind == "empty" else self.requests()
            self.sent = 0
        return self.batch[self.sent : self.sent + WRITE_BYTES]

    def requests(self) -> bytes:
        """Return hundreds of requests with new ids."""
        fields = b"c=read,d=%d" % TIME_MS
        batch = []
        for number in range(HUNDREDS):
            request_id = b"bad-%d-%d" % (next(self.ids), number)
            strings = (b"Q.ASK", b"bad", request_id, fields)
            batch.append(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(text), text) for text in strings))
        return b"".join(batch)


class BadClients:
    """The connections to one address."""

    def __init__(self, host: str, port: int, kind: str) -> None:
        self.address = (host, port)
        self.kind = kind
        self.selector = selectors.DefaultSelector()
        self.opened = 0
        self.ended = 0

    def open(self) -> None:
        """Open one more connection."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, Output(self.kind))
        self.opened += 1

    @staticmethod
    def serve(sock: socket.socket, events: int, output: Output) -> None:
        """Read and send what can be read and sent now.

        Raises:
            OSError: The connection has ended.
        """
        if events & selectors.EVENT_READ and not sock.recv(READ_BYTES):
            raise ConnectionResetError
        if events & selectors.EVENT_WRITE:
            output.sent += sock.send(output.next_bytes())

    def run(self, until: float) -> None:
        """Send until a time of the monotonic clock."""
        while time.monotonic() < until:
            for key, events in self.selector.select(0.1):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                try:
                    self.serve(sock, events, key.data)
                except BlockingIOError:
                    continue
                except OSError:
                    self.selector.unregister(sock)
                    sock.close()
                    self.ended += 1
                    self.open()


def main() -> None:
    """Run the clients that the command line names."""
    host, port, clients_count, seconds, kind = sys.argv[1:]
    until = time.monotonic() + float(seconds)
    clients = BadClients(host, int(port), kind)
    for _ in range(int(clients_count)):
        clients.open()
    clients.run(until)
    print(f"opened {clients.opened} ended {clients.ended}")


if __name__ == "__main__":
    main()
