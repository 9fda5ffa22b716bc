"""Rules on answers and attempts: one answer for each request, in time, and no attempts after its end."""

from __future__ import annotations

import math
from collections.abc import Iterator

from tests.soak.records import AnswerKind, AttemptRecord, ConnectionEnd, Incarnation, Records, RequestRecord
from tests.soak.rules.base import SOCKET_TOLERANCE_S, Violation, attempts_by_request, describe

# An answer up to this long after its deadline earns nothing, and only a later one counts as lost (STANDING).
# The rule applies it only to requests that meet a crowd: an instance needs 0.24 s of its core to read 281
# first requests. In the traces of seeds 5 and 7, requests with 20 ms left were read 0.2 s after their arrival
# and rejected.
CROWD_TOLERANCE_S = 0.5
# Longest time after a client's close at which an attempt for its request may start (STANDING).
ATTEMPT_AFTER_CLOSE_S = 0.1
# Tolerance by which an attempt's timeout may exceed the client's remaining time (STANDING).
REMAINING_SLACK_S = 0.15
# A request sent later than this after SIGTERM and still unanswered at SIGKILL counts as lost (PROTOCOL).
KILL_GRACE_S = 0.7
FLOOD_ID_PREFIX = b"f"  # Requests of flooding clients have no records; other ids begin with a zero.


def check_answers(records: Records) -> Iterator[Violation]:
    """Check that each sent request gets one complete answer in time, with a value made for it."""
    incarnations = {(found.instance, found.number): found for found in records.incarnations}
    attempts = attempts_by_request(records)
    for request in records.requests.values():
        if request.sent_at is None:
            continue
        if len(request.answers) > 1:
            yield Violation("answered twice", request.answers[1].at, describe(request))
        if request.answers:
            yield from check_answer(records, request, attempts[request.id])
        else:
            incarnation = incarnations[request.instance, request.incarnation]
            yield from check_unanswered(records, request, incarnation, attempts)
    for at, instance, text in records.unsolicited_answers:
        yield Violation("unsolicited answer", at, f"instance {instance}: {text[:80]!r}")
    for over, instance in records.unanswered_partial_commands:
        yield Violation("late", 0.0, f"instance {instance}: no answer to a partial command for {over:.2f} s")


def check_answer(
    records: Records, request: RequestRecord, attempts: list[AttemptRecord]
) -> Iterator[Violation]:
    """Check that the answer is in time, and that a value was made for this request."""
    answer = request.answers[0]
    assert request.sent_at is not None
    due = due_at(records, request)
    late = answer.at - due
    if late > 0 and late > records.stalled_seconds(request.sent_at, answer.at, request.instance):
        yield Violation("late", answer.at, f"{describe(request)}: {late:.3f} s beyond what is allowed")
    if answer.kind is AnswerKind.SERVED:
        value_prefixes = {b"%b %b " % (attempt.endpoint.encode(), request.id) for attempt in attempts}
        if not any(answer.text.startswith(value) for value in value_prefixes):
            yield Violation(
                "answer of another request", answer.at, f"{describe(request)}: {answer.text[:80]!r}"
            )


def due_at(records: Records, request: RequestRecord) -> float:
    """Return the latest time of the answer; time spent waiting for earlier answers does not count."""
    assert request.sent_at is not None
    begin = request.sent_at
    if request.previous:
        begin = max(begin, request.previous.answers[0].at) if request.previous.answers else math.inf
    if records.is_during_crowd(request.instance, request.sent_at):
        return begin + request.timeout + CROWD_TOLERANCE_S
    return begin + request.timeout + records.limits.answer_slack + SOCKET_TOLERANCE_S


def check_unanswered(
    records: Records,
    request: RequestRecord,
    incarnation: Incarnation,
    attempts: dict[bytes, list[AttemptRecord]],
) -> Iterator[Violation]:
    """Check a request without an answer, whose client still waits or whose connection has ended.

    The end of a connection may cross a request that the instance has not read (PROTOCOL). The system then
    resets the connection, and the request is sent at about the same time as the connection ends. An instance
    that has no processor time between its last look at a connection and the close does not see the request.
    """
    assert request.sent_at is not None
    lost = Violation("lost", request.ended_at or request.sent_at, describe(request))
    if request.end is None or request.ended_at is None:
        yield lost
        return
    due = due_at(records, request)
    if request.ended_at > due + records.stalled_seconds(request.sent_at, request.ended_at, request.instance):
        yield Violation(
            "lost", due, f"{lost.text}: no answer {request.ended_at - due:.3f} s after it was due"
        )
        return
    if request.client_closed_at is not None:
        return
    killed_at = incarnation.killed_at
    if killed_at is not None and request.ended_at >= killed_at:
        after_grace = incarnation.terminated_at is not None and (
            request.sent_at > incarnation.terminated_at + KILL_GRACE_S
        )
        if after_grace:
            yield Violation(
                "lost", lost.at, f"{lost.text}: unanswered at SIGKILL, {describe_end(request, incarnation)}"
            )
        return
    was_read = request.end is ConnectionEnd.REQUEST_READ or bool(attempts.get(request.id))
    apart = request.ended_at - request.sent_at
    span = (request.sent_at, request.ended_at, request.instance)
    held_up = records.stalled_seconds(*span) + records.stopped_seconds(*span)
    sent_at_end = apart <= SOCKET_TOLERANCE_S + held_up
    if was_read or not sent_at_end:
        yield Violation(
            "lost", lost.at, f"{lost.text}: connection ended, {describe_end(request, incarnation)}"
        )


def describe_end(request: RequestRecord, incarnation: Incarnation) -> str:
    """Describe how the request's connection ended and, after SIGTERM, when the request was sent."""
    if incarnation.terminated_at is None or request.sent_at is None:
        return f"end {request.end}, used {request.connection_was_used}"
    after = request.sent_at - incarnation.terminated_at
    return f"sent {after:.3f} s after SIGTERM, end {request.end}, used {request.connection_was_used}"


def check_attempts_after_end(records: Records) -> Iterator[Violation]:
    """Check that no attempt starts after the request's answer or its client's disconnection."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None and attempt.request_id.startswith(FLOOD_ID_PREFIX):
            continue
        if request is None:
            yield Violation(
                "attempt for an unknown request", attempt.at, f"{attempt.request_id!r} at {attempt.endpoint}"
            )
            continue
        if request.client_closed_at is not None:
            limit = request.client_closed_at + ATTEMPT_AFTER_CLOSE_S
        elif request.answers:
            limit = request.answers[0].at + SOCKET_TOLERANCE_S
        else:
            continue
        late = attempt.at - limit
        if late > 0 and late > records.stalled_seconds(
            limit - SOCKET_TOLERANCE_S, attempt.at, request.instance
        ):
            yield Violation(
                "attempt after the end",
                attempt.at,
                f"{describe(request)} at {attempt.endpoint}: {late:.3f} s late",
            )


def check_commands(records: Records) -> Iterator[Violation]:
    """Check that endpoints receive each command's words unchanged, except for the timeout."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is not None and attempt.command != request.command:
            text = f"{describe(request)} at {attempt.endpoint}: {attempt.command[:120]!r}"
            yield Violation("command changed", attempt.at, text)


def check_remaining_time(records: Records) -> Iterator[Violation]:
    """Check that an attempt's timeout does not exceed the client's remaining time."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None or request.sent_at is None:
            continue
        left = request.sent_at + request.timeout - attempt.at
        excess = attempt.remaining - left - REMAINING_SLACK_S
        if excess > 0 and excess > records.stalled_seconds(request.sent_at, attempt.at, request.instance):
            text = f"{describe(request)}: timeout {attempt.remaining:.3f} s, {left:.3f} s were left"
            yield Violation("timeout too long", attempt.at, text)
