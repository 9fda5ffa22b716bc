"""Rules on endpoints: draining endpoints get no new attempts, and cold endpoints are not overloaded."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator

from tests.soak.records import AttemptRecord, EndpointStart, EndpointUpdate, Records
from tests.soak.rules.base import SOCKET_TOLERANCE_S, Violation, describe

# Number of requests below which a cold endpoint's allowance for chance is larger (STANDING).
SMALL_BUDGET = 30
# An overload of a cold endpoint counts only if more than this share of its attempts came from instances that
# knew of its start (STANDING).
INFORMED_SHARE = 2 / 3


def check_drains(records: Records) -> Iterator[Violation]:
    """Check that no attempt starts once an instance has known for the grace that an endpoint is not ready."""
    not_ready = not_ready_spans(records)
    grace = records.limits.drain_grace + SOCKET_TOLERANCE_S
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None:
            continue
        for begin, end in not_ready.get((request.instance, attempt.endpoint), ()):
            if begin + grace < attempt.at < end:
                late = attempt.at - begin - grace
                if late > records.stalled_seconds(begin, attempt.at):
                    text = f"{describe(request)} at {attempt.endpoint}: {late:.3f} s beyond the grace"
                    yield Violation("drain", attempt.at, text)


def not_ready_spans(records: Records) -> dict[tuple[int, str], list[tuple[float, float]]]:
    """Return, by instance and endpoint, the spans in which the instance knows the endpoint is not ready."""
    since: dict[tuple[int, str], float] = {}
    spans: dict[tuple[int, str], list[tuple[float, float]]] = defaultdict(list)
    for update in sorted(records.endpoint_updates, key=lambda found: found.at):
        key = (update.instance, update.endpoint)
        if update.lifecycle != "SERVING":
            since.setdefault(key, update.at)
        elif key in since:
            spans[key].append((since.pop(key), update.at))
    for key, begin in since.items():
        spans[key].append((begin, math.inf))
    return spans


def check_cold_endpoints(records: Records) -> Iterator[Violation]:
    """Check that instances that know of an endpoint's cold start do not overload the endpoint."""
    by_endpoint: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        by_endpoint[attempt.endpoint].append(attempt)
    for start in records.endpoint_starts:
        if not start.is_warm:
            yield from check_cold_endpoint(records, start, by_endpoint[start.endpoint])


def check_cold_endpoint(
    records: Records, start: EndpointStart, attempts: list[AttemptRecord]
) -> Iterator[Violation]:
    """Check the first overload of one endpoint after a cold start; later overloads do not count.

    The overload counts only if more than two thirds of the attempts came from informed instances.
    """
    limits = records.limits
    informed_at = first_informed(records.endpoint_updates, start)
    cold = [
        attempt
        for attempt in attempts
        if start.at <= attempt.at <= start.at + limits.warm_up + limits.overload_window
    ]
    times = [attempt.at for attempt in cold]
    for last, attempt in enumerate(cold):
        first = bisect_left(times, attempt.at - limits.overload_window)
        window = cold[first : last + 1]
        if len(window) <= cold_limit(records, attempt.at - start.at):
            continue
        from_informed = sum(is_from_informed(records, recent, informed_at) for recent in window)
        if from_informed > INFORMED_SHARE * len(window):
            text = (
                f"{start.endpoint}: {len(window)} in {limits.overload_window:g} s,"
                f" {from_informed} from informed instances"
            )
            yield Violation(
                "cold endpoint", attempt.at, f"{text}, {attempt.at - start.at:.2f} s after its start"
            )
        return


def first_informed(updates: Iterable[EndpointUpdate], start: EndpointStart) -> dict[int, float]:
    """Return the time at which each instance was first informed of this start."""
    found: dict[int, float] = {}
    for update in sorted(updates, key=lambda entry: entry.at):
        is_this_start = update.endpoint == start.endpoint and abs(update.started - start.at) < 0.5
        if is_this_start and update.at >= start.at - 0.5:
            found.setdefault(update.instance, update.at)
    return found


def is_from_informed(records: Records, attempt: AttemptRecord, informed_at: dict[int, float]) -> bool:
    """Return whether the attempt came from an instance that had been informed of the start."""
    request = records.requests.get(attempt.request_id)
    return request is not None and informed_at.get(request.instance, math.inf) <= attempt.at


def cold_limit(records: Records, age: float) -> float:
    """Return how many attempts an endpoint of this age may get in the window, with allowance for chance."""
    limits = records.limits
    share = min(1.0, limits.start_capacity + (1 - limits.start_capacity) * age / limits.warm_up)
    budget = limits.overload_multiple * share * limits.endpoint_capacity * limits.overload_window
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2
