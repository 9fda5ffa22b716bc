"""Blocks SIGHUP while ``serve`` starts; imported before any other module.

Without a handler, the signal would end a process that is still importing modules. A blocked signal stays
pending until the service has installed its handler and unblocks it; the service then reads a configuration
that was replaced in the meantime. The other sub-commands keep the system's default handling.
"""

from __future__ import annotations

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
