"""Rule on exposure: attempts at a build on trial stay within the cap."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass

from tests.soak.fleet import BASE_BUILD
from tests.soak.records import AttemptRecord, Incarnation, Records, ReleaseUpdate
from tests.soak.rules.base import SOCKET_TOLERANCE_S, Violation

SPARE_ATTEMPTS = 2  # Attempts allowed beyond the cap on sockets (PROTOCOL).
EXTRA_SHARE = 0.04  # Relative excess of the cap allowed on sockets (PROTOCOL).
LOWER_CAP_DELAY_S = 0.15  # Additional delay on sockets after which a lower cap is binding (PROTOCOL).
TRIAL = "IN_PROGRESS"


@dataclass(slots=True)
class CapSpan:
    """A cap on the share of attempts at a build on trial, in force from ``begin``; None for no cap."""

    begin: float
    cap: float | None


def check_exposure(records: Records) -> Iterator[Violation]:
    """Check that attempts at a build on trial stay within the cap, for each process of each instance."""
    for incarnation in records.incarnations:
        requests = sorted(
            request.sent_at
            for request in records.requests.values()
            if request.sent_at is not None
            and (request.instance, request.incarnation) == (incarnation.instance, incarnation.number)
        )
        attempts = [
            attempt
            for attempt in records.attempts
            if attempt.build != BASE_BUILD and is_sent_by(records, attempt, incarnation)
        ]
        if attempts:
            yield from check_incarnation_exposure(records, incarnation, requests, attempts)


def is_sent_by(records: Records, attempt: AttemptRecord, incarnation: Incarnation) -> bool:
    """Return whether this process sent the attempt."""
    request = records.requests.get(attempt.request_id)
    return request is not None and (request.instance, request.incarnation) == (
        incarnation.instance,
        incarnation.number,
    )


def check_incarnation_exposure(
    records: Records, incarnation: Incarnation, requests: list[float], attempts: list[AttemptRecord]
) -> Iterator[Violation]:
    """Check one process's attempts at a build on trial, in the window that ends with each attempt.

    The window starts no earlier than the last lowering of the cap. Only the first violation is reported.
    """
    limits = records.limits
    spans = cap_spans(records, incarnation)
    times = [attempt.at for attempt in attempts]
    for last, attempt in enumerate(attempts):
        span = next(found for found in reversed(spans) if found.begin <= attempt.at)
        if span.cap is None:
            continue
        stalled = records.stalled_seconds(
            attempt.at - limits.exposure_window, attempt.at, incarnation.instance
        )
        begin = max(span.begin if lowers_cap(spans, span) else -math.inf, attempt.at - limits.exposure_window)
        count = last + 1 - bisect_left(times, begin)
        taken = bisect_left(requests, attempt.at + 1e-9) - bisect_left(
            requests, begin - SOCKET_TOLERANCE_S - stalled
        )
        allowed = limits.spare_attempts + SPARE_ATTEMPTS + (1 + EXTRA_SHARE) * span.cap * taken
        if span.cap == 0.0:
            allowed = SPARE_ATTEMPTS
        if count > allowed:
            text = f"instance {incarnation.instance}: {count} attempts of {taken} requests, cap {span.cap:g}"
            yield Violation("exposure", attempt.at, f"{text}: {allowed:.1f} allowed")
            return


def lowers_cap(spans: list[CapSpan], span: CapSpan) -> bool:
    """Return whether the cap fell at the start of this span; attempts are then counted from there."""
    index = next(number for number, found in enumerate(spans) if found is span)
    if not index or span.cap is None:
        return False
    before = spans[index - 1].cap
    return before is None or before > span.cap


def cap_spans(records: Records, incarnation: Incarnation) -> list[CapSpan]:
    """Return the caps in force for an instance: a higher cap immediately, a lower cap after the grace."""
    limits = records.limits
    # A build that is not announced yet has the first stage's cap.
    spans = [CapSpan(-math.inf, limits.caps[0])]
    updates = [found for found in records.release_updates if found.instance == incarnation.instance]
    for update in sorted(updates, key=lambda found: found.at):
        if update.build == BASE_BUILD:
            continue
        cap = cap_from_update(update)
        before = spans[-1].cap
        is_lower = cap is not None and (before is None or cap < before)
        if cap == before:
            continue
        begin = update.at + (limits.drain_grace + LOWER_CAP_DELAY_S if is_lower else 0.0)
        spans.append(CapSpan(max(begin, spans[-1].begin), cap))
    return spans


def cap_from_update(update: ReleaseUpdate) -> float | None:
    """Return the share of attempts that a release state allows; None once the build is released."""
    if update.progress == TRIAL:
        return update.cap
    return None if update.progress == "COMPLETE" else 0.0
