"""An instance whose wall clock steps and whose system calls fail now and then, for `tests.soak`.

``python -m tests.soak.shaken_instance SEED`` runs `gatebank serve`. From one second after the start:

- the wall clock steps by an hour, either way, each few seconds;
- one in fifty calls of accept and socket fails with an error that Linux documents;
- one in fifty reads and writes takes a part of the bytes alone.
"""

from __future__ import annotations

import errno
import socket
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any

CALM_S = 1.0  # Time after the start in which nothing fails.
SHARE = 0.02  # Share of system calls that fail or take a part.
STEP_S = 3600.0
STEP_INTERVAL_S = 2.5
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS)
SOCKET_ARGUMENTS = 4  # With as many, a socket object wraps a descriptor that is open already.
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT)


class Shaker:
    """Decides which calls fail, by a seed."""

    def __init__(self, seed: int) -> None:
        self.generator = Random(f"shaken {seed}")
        self.began = time.monotonic()
        self.real_time = time.time

    def is_due(self) -> bool:
        """Return whether the present call fails."""
        return time.monotonic() > self.began + CALM_S and self.generator.random() < SHARE

    def fail(self, numbers: tuple[int, ...]) -> None:
        """Raise one of the errors if the present call fails."""
        if self.is_due():
            number = self.generator.choice(numbers)
            raise OSError(number, errno.errorcode[number])

    def wall_clock(self) -> float:
        """Return the Unix time with its steps: none, an hour ahead, an hour behind, again and again."""
        interval = int((time.monotonic() - self.began - CALM_S) // STEP_INTERVAL_S)
        return self.real_time() + (0.0, STEP_S, -STEP_S)[max(0, interval) % 3]

    def part(self, size: int) -> int:
        """Return how many bytes of ``size`` the present call takes."""
        return self.generator.randint(1, size) if size > 1 and self.is_due() else size


def shake(shaker: Shaker) -> None:
    """Replace the clock and the methods of sockets."""
    accept, create, connect = socket.socket.accept, socket.socket.__init__, socket.socket.connect
    send, sendmsg, recv_into = socket.socket.send, socket.socket.sendmsg, socket.socket.recv_into

    def accept_or_fail(sock: socket.socket) -> Any:
        shaker.fail(ACCEPT_ERRORS)
        return accept(sock)

    def create_or_fail(sock: socket.socket, *arguments: Any, **options: Any) -> None:
        if len(arguments) < SOCKET_ARGUMENTS and "fileno" not in options:
            shaker.fail(SOCKET_ERRORS)
        create(sock, *arguments, **options)

    def connect_or_fail(sock: socket.socket, address: Any) -> None:
        shaker.fail(CONNECT_ERRORS)
        connect(sock, address)

    def send_part(sock: socket.socket, data: Any, *flags: int) -> int:
        return send(sock, memoryview(data)[: shaker.part(len(data))], *flags)

    def sendmsg_part(sock: socket.socket, parts: Any, *rest: Any) -> int:
        data = b"".join(parts)
        if (size := shaker.part(len(data))) < len(data):
            return send(sock, data[:size])
        return sendmsg(sock, parts, *rest)

    def recv_part(sock: socket.socket, buffer: Any, *rest: Any) -> int:
        return recv_into(sock, memoryview(buffer)[: shaker.part(len(buffer))], *rest)

    time.time = shaker.wall_clock
    replacements: dict[str, Callable[..., Any]] = {
        "accept": accept_or_fail,
        "__init__": create_or_fail,
        "connect": connect_or_fail,
        "send": send_part,
        "sendmsg": sendmsg_part,
        "recv_into": recv_part,
    }
    for name, replacement in replacements.items():
        setattr(socket.socket, name, replacement)


if __name__ == "__main__":
    from gatebank import signal_mask  # noqa: F401  (first, as in the program itself)
    from gatebank.__main__ import main

    shake(Shaker(int(sys.argv[1])))
    sys.argv[1:] = ["serve"]
    main()
