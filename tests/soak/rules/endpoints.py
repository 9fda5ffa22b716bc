"""Drains are kept, and no endpoint that has just started is pushed over."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator

from tests.soak.records import AttemptRecord, EndpointStart, EndpointUpdate, Records
from tests.soak.rules.base import SOCKET_TOLERANCE_S, Violation, describe

SMALL_BUDGET = 30  # requests: below it a cold endpoint's allowance for chance is larger (STANDING)
TOLD_SHARE = 2 / 3  # of what a cold endpoint got came from instances that were told of its start (STANDING)


def check_drains(records: Records) -> Iterator[Violation]:
    """Nothing new goes to an endpoint later than the grace after its drain or end was told."""
    told = not_ready_spans(records)
    grace = records.limits.drain_grace + SOCKET_TOLERANCE_S
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None:
            continue
        for begin, end in told.get((request.instance, attempt.endpoint), ()):
            if begin + grace < attempt.at < end:
                late = attempt.at - begin - grace
                if late > records.stalled_seconds(begin, attempt.at):
                    text = f"{describe(request)} at {attempt.endpoint}: {late:.3f} s beyond the grace"
                    yield Violation("drain", attempt.at, text)


def not_ready_spans(records: Records) -> dict[tuple[int, str], list[tuple[float, float]]]:
    """Spans in which an instance counts as told that an endpoint drains or is gone."""
    since: dict[tuple[int, str], float] = {}
    spans: dict[tuple[int, str], list[tuple[float, float]]] = defaultdict(list)
    for news in sorted(records.endpoint_updates, key=lambda each: each.at):
        key = (news.instance, news.endpoint)
        if news.lifecycle != "SERVING":
            since.setdefault(key, news.at)
        elif key in since:
            spans[key].append((since.pop(key), news.at))
    for key, begin in since.items():
        spans[key].append((begin, math.inf))
    return spans


def check_cold_endpoints(records: Records) -> Iterator[Violation]:
    """No endpoint that has just started gets more than it may bear from instances that were told."""
    by_endpoint: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        by_endpoint[attempt.endpoint].append(attempt)
    for start in records.endpoint_starts:
        if not start.is_warm:
            yield from check_cold_endpoint(records, start, by_endpoint[start.endpoint])


def check_cold_endpoint(
    records: Records, start: EndpointStart, attempts: list[AttemptRecord]
) -> Iterator[Violation]:
    """The first fall of one endpoint; only that counts, and only if two thirds came from who was told."""
    limits = records.limits
    told_at = first_told(records.endpoint_updates, start)
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
        from_told = sum(is_from_told(records, each, told_at) for each in window)
        if from_told > TOLD_SHARE * len(window):
            text = (
                f"{start.endpoint}: {len(window)} in {limits.overload_window:g} s,"
                f" {from_told} from who was told"
            )
            yield Violation(
                "cold endpoint", attempt.at, f"{text}, {attempt.at - start.at:.2f} s after its start"
            )
        return


def first_told(news: Iterable[EndpointUpdate], start: EndpointStart) -> dict[int, float]:
    """When each instance was first told of this start."""
    found: dict[int, float] = {}
    for each in sorted(news, key=lambda one: one.at):
        is_it = each.endpoint == start.endpoint and abs(each.started - start.at) < 0.5
        if is_it and each.at >= start.at - 0.5:
            found.setdefault(each.instance, each.at)
    return found


def is_from_told(records: Records, attempt: AttemptRecord, told_at: dict[int, float]) -> bool:
    """The attempt came from an instance that had been told of the start."""
    request = records.requests.get(attempt.request_id)
    return request is not None and told_at.get(request.instance, math.inf) <= attempt.at


def cold_limit(records: Records, age: float) -> float:
    """Requests in the window that an endpoint of this age bears, with the allowance for chance."""
    limits = records.limits
    share = min(1.0, limits.start_capacity + (1 - limits.start_capacity) * age / limits.warm_up)
    budget = limits.overload_multiple * share * limits.endpoint_capacity * limits.overload_window
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2
