"""Memory that this process uses, as the operating system counts it."""

from __future__ import annotations

import os
from pathlib import Path

STATM = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def anonymous_bytes() -> int:
    """Return the process's resident memory in bytes without that of files (RssAnon of proc(5)).

    Returns 0 if the system does not provide the number.
    """
    try:
        _, resident, shared, *_ = STATM.read_bytes().split()
    except (OSError, ValueError):
        return 0
    return (int(resident) - int(shared)) * PAGE_BYTES
