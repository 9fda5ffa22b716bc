"""``python -m tests.support.killed_program STEP ARGUMENTS``: gatebank that kills itself (SIGKILL) at a step
of sending a request and recording it in the ledger.

    before-write   no byte of the ledger entry is written
    torn           half of the ledger entry is written
    before-sync    the ledger entry is written but not synced
    entered        the ledger entry is synced, the request is not sent
    sent           the last byte of the request is sent, no reply has arrived
    answered       the reply has arrived but is not recorded in the ledger
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from gatebank.__main__ import main
from gatebank.replay import ledger, player, sockets


def kill_self(*_: Any, **__: Any) -> None:
    """Kill this process; accepts any arguments, so that it can replace any method."""
    os.kill(os.getpid(), signal.SIGKILL)


def install_kill(step: str) -> None:
    """Replace the methods of the ledger and the player so that the process is killed at ``step``."""
    write, on_taken, finish = (ledger.Ledger.write, sockets.InstanceConnection.on_taken, player.Player.finish)

    def torn(self: Any, data: bytes, sync: bool) -> None:
        os.write(self._file, data[: len(data) // 2])
        kill_self()

    def write_without_sync(self: Any, data: bytes, sync: bool) -> None:
        write(self, data, False)
        kill_self()

    def sent(self: Any, size: int) -> None:
        on_taken(self, size)
        if not self.unsent:
            kill_self()

    def answered(self: Any, request: Any, outcome: str, *arguments: Any) -> None:
        if request.names and outcome == "satisfied":
            kill_self()
        finish(self, request, outcome, *arguments)

    match step:
        case "before-write":
            ledger.Ledger.write = kill_self
        case "torn":
            ledger.Ledger.write = torn
        case "before-sync":
            ledger.Ledger.write = write_without_sync
        case "entered":
            player.Player.send = kill_self
        case "sent":
            sockets.InstanceConnection.on_taken = sent
        case "answered":
            player.Player.finish = answered


if __name__ == "__main__":
    install_kill(sys.argv.pop(1))
    main()
