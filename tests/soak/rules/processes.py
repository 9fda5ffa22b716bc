"""Rules on processes: they start in time, do not crash, and release descriptors and memory after the load."""

from __future__ import annotations

import math
from collections.abc import Iterator

from tests.soak.records import Records
from tests.soak.rules.base import Violation

MAX_DATAGRAM_BYTES = 256  # Limit of a datagram between instances (PROTOCOL).
READY_S = 10.0  # Time within which a started process must answer.
REST_MEMORY_SHARE = 0.5  # Share of the memory limit beyond which memory has a price (STANDING).
# Descriptors that an idle process may hold beyond those before the load: for a vote's connection and for a
# watch that was opened again.
SPARE_DESCRIPTORS = 2
# At the least memory that the pages name, a process at rest has more than the limit with files; there, memory
# without files counts alone (`check_memory`).
LEAST_MEMORY_BYTES = 32 * 1024 * 1024
ENDED_BY_SIGNAL = (-9, -15)


def check_processes(records: Records) -> Iterator[Violation]:
    """Check that no process crashes, and that each process is ready in time."""
    for incarnation in records.incarnations:
        name = f"instance {incarnation.instance}, process {incarnation.number}"
        ready_after = (incarnation.ready_at or math.inf) - incarnation.started_at
        was_stopped = incarnation.terminated_at is not None or incarnation.killed_at is not None
        if ready_after > READY_S and not was_stopped:
            yield Violation("not ready", incarnation.started_at, f"{name}: {ready_after:.1f} s")
        if incarnation.ended_at is None:
            continue
        if not was_stopped:
            yield Violation(
                "crash", incarnation.ended_at, f"{name}: ended by itself, status {incarnation.status}"
            )
        elif incarnation.status not in (0, *ENDED_BY_SIGNAL):
            yield Violation("crash", incarnation.ended_at, f"{name}: status {incarnation.status}")


def check_datagrams(records: Records) -> Iterator[Violation]:
    """Check that no datagram between instances is longer than PROTOCOL allows."""
    if records.longest_datagram > MAX_DATAGRAM_BYTES:
        yield Violation("datagram too long", math.inf, f"{records.longest_datagram} bytes")


def check_rest(records: Records) -> Iterator[Violation]:
    """Check that the processes have released descriptors and memory after the load."""
    before = {usage.instance: usage for usage in records.usage_before}
    for usage in records.usage_after:
        name = f"instance {usage.instance}"
        allowed = before[usage.instance].descriptors + SPARE_DESCRIPTORS
        if usage.descriptors > allowed:
            yield Violation(
                "descriptors not given back",
                math.inf,
                f"{name}: {usage.descriptors}, {allowed} before the load",
            )
        rest_limit = REST_MEMORY_SHARE * records.limits.memory_bytes
        if records.limits.memory_bytes > LEAST_MEMORY_BYTES:
            if usage.resident_bytes > rest_limit:
                yield Violation(
                    "memory not given back", math.inf, f"{name}: {usage.resident_bytes >> 20} MB at rest"
                )
            if usage.peak_bytes > records.limits.memory_bytes:
                yield Violation("memory", math.inf, f"{name}: {usage.peak_bytes >> 20} MB")


def check_memory(records: Records) -> Iterator[Violation]:
    """Check that no process's memory passes its limit at any time."""
    for instance, peak in records.memory_peaks.items():
        if peak > records.limits.memory_bytes:
            yield Violation("memory", math.inf, f"instance {instance}: {peak >> 20} MB without files")
