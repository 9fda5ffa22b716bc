"""Bad clients that send empty commands (``*0``) at full speed and read what they are sent.

A client whose connection ends opens another. Usage: bad_clients.py HOST PORT CLIENTS SECONDS
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

EMPTY_COMMANDS = b"*0\r\n" * 20_000
WRITE_BYTES = 65_536
READ_BYTES = 65_536


class BadClients:
    """Connections to one address, each with the place in `EMPTY_COMMANDS` that it has sent up to."""

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self.selector = selectors.DefaultSelector()
        self.opened = 0
        self.ended = 0

    def open(self) -> None:
        """Open one more connection."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, [0])
        self.opened += 1

    def serve(self, sock: socket.socket, events: int, sent: list[int]) -> None:
        """Read and send what can be read and sent now.

        Raises:
            OSError: The connection has ended.
        """
        if events & selectors.EVENT_READ and not sock.recv(READ_BYTES):
            raise ConnectionResetError
        if events & selectors.EVENT_WRITE:
            sent[0] += sock.send(EMPTY_COMMANDS[sent[0] : sent[0] + WRITE_BYTES])
            sent[0] %= len(EMPTY_COMMANDS)

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
    host, port, count, seconds = sys.argv[1:]
    until = time.monotonic() + float(seconds)
    clients = BadClients(host, int(port))
    for _ in range(int(count)):
        clients.open()
    clients.run(until)
    print(f"opened {clients.opened} ended {clients.ended}")


if __name__ == "__main__":
    main()
