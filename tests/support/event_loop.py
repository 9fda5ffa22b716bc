"""The event loop of asynchronous tests, which reports processes that a test leaves behind."""

from __future__ import annotations

import asyncio
from typing import Any


class ProcessLeakError(AssertionError):
    """A test ended while the transport of a process that it had started was open.

    Attributes:
        process_ids: The identifiers of these processes.
    """

    def __init__(self, process_ids: list[int | None]) -> None:
        """Store the identifiers, and build the message from them."""
        self.process_ids = process_ids
        super().__init__(f"processes not waited for at the end of the test: {process_ids}")


class CheckedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that raises ProcessLeakError as it is closed before the transport of a process.

    Such a transport is closed as it is collected, in any later test, and fails there as its loop is closed.
    If `ast.parse` runs at that moment, the report of the failure, which parses too, breaks it (SystemError of
    Python 3.11).

    Attributes:
        process_transports: The transports of all processes that were started.
    """

    def __init__(self) -> None:
        super().__init__()
        self.process_transports: list[asyncio.SubprocessTransport] = []

    async def subprocess_exec(self, *args: Any, **options: Any) -> Any:
        """Start a program, and keep its transport for the check."""
        transport, protocol = await super().subprocess_exec(*args, **options)
        self.process_transports.append(transport)
        return transport, protocol

    async def subprocess_shell(self, *args: Any, **options: Any) -> Any:
        """Start a shell command, and keep its transport for the check."""
        transport, protocol = await super().subprocess_shell(*args, **options)
        self.process_transports.append(transport)
        return transport, protocol

    def close_connections(self) -> None:
        """Close the connections that the test left open, so that none is collected after the loop."""
        transports = list(self._transports.values())  # type: ignore[attr-defined]
        for transport in transports:
            transport.abort()
        if transports:
            self.run_until_complete(asyncio.sleep(0))  # The loop closes their sockets in its next turn.

    def close(self) -> None:
        """Close the loop, after the open transports of processes and connections.

        Raises:
            ProcessLeakError: Transports of processes were open.
        """
        if not self.is_closed():
            self.close_connections()
        leaked = [transport for transport in self.process_transports if not transport.is_closing()]
        self.process_transports.clear()
        for transport in leaked:
            transport.close()
        super().close()
        if leaked:
            raise ProcessLeakError([transport.get_pid() for transport in leaked])
