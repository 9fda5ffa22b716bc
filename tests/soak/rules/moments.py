"""Counts how often the critical moment of each rule occurred.

In a critical moment, an instance with a fault would be likely to break the rule. A rule whose critical
moments did not occur was not tested.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict

from tests.soak.fleet import BASE_BUILD
from tests.soak.records import Records
from tests.soak.rules.base import attempts_by_request
from tests.soak.rules.endpoints import not_ready_spans
from tests.soak.rules.exposure import cap_from_update
from tests.soak.rules.keys import first_answers, process_key

# Time after an instance was informed of a drain, in which it would still use the endpoint if it ignored that.
DRAIN_MOMENT_S = 2.0
# Time before a process's end, in which new requests meet the close of its connections.
CLOSE_MOMENT_S = 0.05
# Time before and after the update to a lower cap, in which attempts may be chosen but not sent yet.
CAP_MOMENT_S = 0.3
# Time before the end of an idempotency key's window.
KEY_MOMENT_S = 0.25

DRAIN = "attempts after news of a drain"
CLIENT_GONE = "clients gone before an attempt failed"
KEY_WINDOW = "keyed requests open as their window ends"
SHUTDOWN = "requests just before a process ended"
LOWER_CAP = "attempts at a canary as its cap falls"
ID_AGAIN = "ids that came again after their client had left"
STICKY_KEY = "requests with a key that the canary had answered"
UNANNOUNCED_KEY = "keys answered by the canary before its announcement"
STARVED = "requests during a flood at a quarter of a core"


def count_moments(records: Records) -> dict[str, int]:
    """Return how often each critical moment occurred in one play."""
    return {
        DRAIN: count_drains(records),
        CLIENT_GONE: count_clients_gone(records),
        KEY_WINDOW: count_key_windows(records),
        SHUTDOWN: count_shutdowns(records),
        LOWER_CAP: count_lower_caps(records),
        ID_AGAIN: records.ids_sent_again,
        STICKY_KEY: count_sticky_keys(records),
        UNANNOUNCED_KEY: count_unannounced_keys(records),
        STARVED: count_starved(records),
    }


def count_sticky_keys(records: Records) -> int:
    """Count requests that were sent after the canary had answered their key."""
    if not records.limits.has_sticky_keys:
        return 0
    bound_at = first_answers(records)
    return sum(
        request.sent_at is not None and request.sent_at > bound_at.get(process_key(request), math.inf)
        for request in records.requests.values()
    )


def count_unannounced_keys(records: Records) -> int:
    """Count keys that the canary answered before the instance was told of it."""
    if not records.limits.has_sticky_keys:
        return 0
    announced_at = {
        instance: min(
            (
                update.at
                for update in records.release_updates
                if update.instance == instance and update.build != BASE_BUILD
            ),
            default=math.inf,
        )
        for instance in {incarnation.instance for incarnation in records.incarnations}
    }
    return sum(bound_at < announced_at[key[0]] for key, bound_at in first_answers(records).items())


def count_starved(records: Records) -> int:
    """Count requests that were sent to an instance with a quarter of a core during a flood."""
    return sum(
        crowd.is_starved and crowd.instance == request.instance and crowd.begin <= sent_at <= crowd.end
        for request in records.requests.values()
        if (sent_at := request.sent_at) is not None
        for crowd in records.crowds
    )


def count_drains(records: Records) -> int:
    """Count an instance's attempts soon after it was informed that an endpoint is draining or deleted."""
    times: dict[int, list[float]] = defaultdict(list)
    for attempt in records.attempts:
        if request := records.requests.get(attempt.request_id):
            times[request.instance].append(attempt.at)
    begins = [(key[0], begin) for key, spans in not_ready_spans(records).items() for begin, _ in spans]
    return sum(
        bisect_left(times[instance], begin + DRAIN_MOMENT_S) - bisect_left(times[instance], begin)
        for instance, begin in begins
    )


def count_clients_gone(records: Records) -> int:
    """Count requests whose client disconnected before an attempt failed; no further attempt may follow."""
    attempts = attempts_by_request(records)
    number = 0
    for request in records.requests.values():
        if request.client_closed_at is not None:
            failures = [found.failed_at for found in attempts[request.id] if found.failed_at is not None]
            number += any(failed_at > request.client_closed_at for failed_at in failures)
    return number


def count_key_windows(records: Records) -> int:
    """Count requests with an idempotency key that were unanswered shortly before the key's window ended.

    After the window, endpoints no longer drop a repeat.
    """
    attempts = attempts_by_request(records)
    number = 0
    for request in records.requests.values():
        window = records.limits.key_window.get(request.request_class, 0.0)
        if not window or not attempts[request.id]:
            continue
        answered_at = request.answers[0].at if request.answers else math.inf
        number += answered_at > attempts[request.id][0].at + window - KEY_MOMENT_S
    return number


def count_shutdowns(records: Records) -> int:
    """Count requests that were sent in the last CLOSE_MOMENT_S of a process that was sent SIGTERM."""
    ends = {
        (incarnation.instance, incarnation.number): incarnation.ended_at
        for incarnation in records.incarnations
        if incarnation.terminated_at is not None and incarnation.ended_at is not None
    }
    number = 0
    for request in records.requests.values():
        ended_at = ends.get((request.instance, request.incarnation))
        if ended_at is not None and request.sent_at is not None:
            number += ended_at - CLOSE_MOMENT_S <= request.sent_at <= ended_at
    return number


def count_lower_caps(records: Records) -> int:
    """Count an instance's attempts at a canary at about the time when it received a lower cap."""
    cap_reductions: dict[int, list[float]] = defaultdict(list)
    caps: dict[int, float] = {}
    for update in sorted(records.release_updates, key=lambda found: found.at):
        cap = cap_from_update(update)
        if cap is not None and cap < caps.get(update.instance, 0.0):
            cap_reductions[update.instance].append(update.at)
        caps[update.instance] = cap or 0.0
    number = 0
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is not None and attempt.build != BASE_BUILD:
            number += any(abs(attempt.at - at) <= CAP_MOMENT_S for at in cap_reductions[request.instance])
    return number
