"""Blocks SIGHUP while ``serve`` starts; imported before all else.

Without a handler the signal would end a process that is still importing. Blocked, it stays pending, and the
service lets it through once its handler stands; a configuration replaced meanwhile is then read. Sub-commands
keep the system's default.
"""

from __future__ import annotations

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
