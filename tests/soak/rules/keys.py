"""Rule on keys: one that a canary has answered goes to no earlier build, until the canary is rolled back."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

from tests.soak.fleet import BASE_BUILD
from tests.soak.records import AnswerKind, AttemptRecord, Records, RequestRecord
from tests.soak.rules.base import SOCKET_TOLERANCE_S, Violation, describe
from tests.soak.schedule import MAX_STALL_S

# Time after an answer in which an attempt at the earlier build may still arrive at its endpoint.
KEY_GRACE_S = SOCKET_TOLERANCE_S + MAX_STALL_S
# Time before its deadline until which an answer has certainly arrived at the instance in time.
DEADLINE_MARGIN_S = KEY_GRACE_S
ROLLED_BACK = ("ROLLING_BACK", "ROLLED_BACK")

ProcessKey = tuple[int, int, bytes]  # An instance, its incarnation, and the key of a request.


def check_sticky_keys(records: Records) -> Iterator[Violation]:
    """Check the attempts of each key at the baseline against the first answer of the canary to that key."""
    if not records.limits.has_sticky_keys:
        return
    bound_at = first_answers(records)
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None or attempt.build != BASE_BUILD:
            continue
        late = attempt.at - bound_at.get(process_key(request), math.inf) - KEY_GRACE_S
        if late <= 0 or late <= records.stalled_seconds(attempt.at - late, attempt.at, request.instance):
            continue
        if attempt.at < rollback_at(records, request.instance):
            text = f"{describe(request)} at {attempt.endpoint}: {late:.3f} s after its key was answered"
            yield Violation("key went back", attempt.at, text)


def first_answers(records: Records) -> dict[ProcessKey, float]:
    """Return when each process of an instance had certainly received a canary's answer to a key."""
    found: dict[ProcessKey, float] = defaultdict(lambda: math.inf)
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is not None and attempt.build != BASE_BUILD:
            key = process_key(request)
            found[key] = min(found[key], received_at(records, request, attempt))
    return dict(found)


def received_at(records: Records, request: RequestRecord, attempt: AttemptRecord) -> float:
    """Return when an instance had certainly received the answer to an attempt; infinity if that is not sure.

    The client was served with the endpoint's value, or its connection ended and the instance may not cancel
    the attempt, which the endpoint answered long before the deadline.
    """
    for answer in request.answers:
        if answer.kind is AnswerKind.SERVED and answer.text.startswith(attempt.endpoint.encode() + b" "):
            return answer.at
    is_left = request.client_closed_at is not None and not records.limits.may_cancel
    if not is_left or attempt.answered_at is None or request.sent_at is None:
        return math.inf
    in_time = attempt.answered_at < request.sent_at + request.timeout - DEADLINE_MARGIN_S
    return attempt.answered_at if in_time else math.inf


def process_key(request: RequestRecord) -> ProcessKey:
    """Return the process that received a request, and the request's key."""
    return request.instance, request.incarnation, request.command.split(b" ", 2)[1]


def rollback_at(records: Records, instance: int) -> float:
    """Return when an instance was told that the canary is rolled back; infinity if it was not."""
    times = (
        update.at
        for update in records.release_updates
        if update.instance == instance and update.build != BASE_BUILD and update.progress in ROLLED_BACK
    )
    return min(times, default=math.inf)
