"""Processes start in time, do not end by themselves, and give back what they took."""

from __future__ import annotations

import math
from collections.abc import Iterator

from tests.soak.records import Records
from tests.soak.rules.base import Violation

MAX_DATAGRAM_BYTES = 256  # between instances (PROTOCOL)
READY_S = 10.0  # in which a started process answers
REST_MEMORY_SHARE = 0.5  # of the limit: memory beyond it is priced (STANDING)
SPARE_DESCRIPTORS = 2  # at rest beyond those before the load: a vote's connection and a watch begun anew
ENDED_BY_SIGNAL = (-9, -15)


def check_processes(records: Records) -> Iterator[Violation]:
    """No process ends by itself, and each is ready in time."""
    for each in records.incarnations:
        name = f"instance {each.instance}, process {each.number}"
        ready_after = (each.ready_at or math.inf) - each.started_at
        was_stopped = each.terminated_at is not None or each.killed_at is not None
        if ready_after > READY_S and not was_stopped:
            yield Violation("not ready", each.started_at, f"{name}: {ready_after:.1f} s")
        if each.ended_at is None:
            continue
        if not was_stopped:
            yield Violation("crash", each.ended_at, f"{name}: ended by itself, status {each.status}")
        elif each.status not in (0, *ENDED_BY_SIGNAL):
            yield Violation("crash", each.ended_at, f"{name}: status {each.status}")


def check_datagrams(records: Records) -> Iterator[Violation]:
    """No datagram between instances is longer than PROTOCOL allows."""
    if records.longest_datagram > MAX_DATAGRAM_BYTES:
        yield Violation("datagram too long", math.inf, f"{records.longest_datagram} bytes")


def check_rest(records: Records) -> Iterator[Violation]:
    """After the load, descriptors and memory are back at rest."""
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
        if usage.resident_bytes > REST_MEMORY_SHARE * records.limits.memory_bytes:
            yield Violation(
                "memory not given back", math.inf, f"{name}: {usage.resident_bytes >> 20} MB at rest"
            )
        if usage.peak_bytes > records.limits.memory_bytes:
            yield Violation("memory", math.inf, f"{name}: {usage.peak_bytes >> 20} MB")
