"""One final answer each, in time, and what is sent for a request meanwhile."""

from __future__ import annotations

import math
from collections.abc import Iterator

from tests.soak.records import AnswerKind, AttemptRecord, ConnectionEnd, Incarnation, Records, RequestRecord
from tests.soak.rules.base import SOCKET_TOLERANCE_S, Violation, attempts_by_request, describe

# An answer up to so long after its time earns nothing, and only one still later is lost (STANDING). Counted
# so for what meets a crowd alone: reading 281 first requests takes an instance 0.24 s of its core (trace of
# seeds 5 and 7: rejections of requests with 20 ms left, read 0.2 s after they had come).
CROWD_LATE_S = 0.5
AFTER_CLOSE_S = 0.1  # an attempt begins no later behind the client's close (STANDING)
REMAINING_SLACK_S = 0.15  # an attempt tells at most what is left to the client, with so much slack (STANDING)
KILL_GRACE_S = 0.7  # after SIGTERM; what comes later and is unanswered at SIGKILL is lost (PROTOCOL)


def check_answers(records: Records) -> Iterator[Violation]:
    """Each request that was taken has one whole answer, in time, that a node made for it."""
    incarnations = {(each.instance, each.number): each for each in records.incarnations}
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
        yield Violation("answer to nothing", at, f"instance {instance}: {text[:80]!r}")
    for over, instance in records.unanswered_partial_commands:
        yield Violation(
            "late", 0.0, f"instance {instance}: a command stopped half way, no end for {over:.2f} s"
        )


def check_answer(
    records: Records, request: RequestRecord, attempts: list[AttemptRecord]
) -> Iterator[Violation]:
    """The answer came in time, and is the request's own."""
    answer = request.answers[0]
    assert request.sent_at is not None
    due = due_at(records, request)
    late = answer.at - due
    if late > 0 and late > records.stalled_seconds(request.sent_at, answer.at, request.instance):
        yield Violation("late", answer.at, f"{describe(request)}: {late:.3f} s beyond what is allowed")
    if answer.kind is AnswerKind.SERVED:
        made = {b"%b %b " % (attempt.endpoint.encode(), request.id) for attempt in attempts}
        if not any(answer.text.startswith(value) for value in made):
            yield Violation("another's answer", answer.at, f"{describe(request)}: {answer.text[:80]!r}")


def due_at(records: Records, request: RequestRecord) -> float:
    """When the answer is due at the latest; the time spent waiting for those before it does not count."""
    assert request.sent_at is not None
    begin = request.sent_at
    if request.previous:
        begin = max(begin, request.previous.answers[0].at) if request.previous.answers else math.inf
    if records.is_during_crowd(request.instance, request.sent_at):
        return begin + request.timeout + CROWD_LATE_S
    return begin + request.timeout + records.limits.answer_slack + SOCKET_TOLERANCE_S


def check_unanswered(
    records: Records,
    request: RequestRecord,
    incarnation: Incarnation,
    attempts: dict[bytes, list[AttemptRecord]],
) -> Iterator[Violation]:
    """A request without an answer that its client still waits for, or whose connection has ended.

    Allowed is the end of a connection that crosses a request which was not read (PROTOCOL): the system tells
    so, and request and end are at the same time.
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
                "lost", lost.at, f"{lost.text}: found by SIGKILL, {since_terminated(request, incarnation)}"
            )
        return
    was_read = request.end is ConnectionEnd.REQUEST_READ or bool(attempts.get(request.id))
    apart = request.ended_at - request.sent_at
    has_crossed = apart <= SOCKET_TOLERANCE_S + records.stalled_seconds(
        request.sent_at, request.ended_at, request.instance
    )
    if was_read or not has_crossed:
        yield Violation(
            "lost", lost.at, f"{lost.text}: connection ended, {since_terminated(request, incarnation)}"
        )


def since_terminated(request: RequestRecord, incarnation: Incarnation) -> str:
    """When it was sent, as seen from SIGTERM."""
    if incarnation.terminated_at is None or request.sent_at is None:
        return f"end {request.end}, used {request.connection_was_used}"
    after = request.sent_at - incarnation.terminated_at
    return f"sent {after:.3f} s after SIGTERM, end {request.end}, used {request.connection_was_used}"


def check_attempts_after_end(records: Records) -> Iterator[Violation]:
    """Nothing is sent for a request behind its answer or its client's close."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None:
            yield Violation("attempt of nobody", attempt.at, f"{attempt.request_id!r} at {attempt.endpoint}")
            continue
        if request.client_closed_at is not None:
            limit = request.client_closed_at + AFTER_CLOSE_S
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
    """Command, key, id, names and values, and body reach the endpoint as they came, but for the time."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is not None and attempt.command != request.command:
            text = f"{describe(request)} at {attempt.endpoint}: {attempt.command[:120]!r}"
            yield Violation("changed on its way", attempt.at, text)


def check_remaining_time(records: Records) -> Iterator[Violation]:
    """An attempt tells its endpoint at most what is left to the client."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None or request.sent_at is None:
            continue
        left = request.sent_at + request.timeout - attempt.at
        too_long = attempt.remaining - left - REMAINING_SLACK_S
        if too_long > 0 and too_long > records.stalled_seconds(request.sent_at, attempt.at, request.instance):
            text = f"{describe(request)}: told {attempt.remaining:.3f} s, {left:.3f} s were left"
            yield Violation("too long a time told", attempt.at, text)
