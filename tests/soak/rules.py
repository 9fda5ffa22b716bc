"""Broken rules, read from the records of a play.

The bounds are the pages': PROTOCOL ("The rules on sockets", "Figures"), STANDING and the settings. Each is
widened by the time for which this process itself, or an instance by the schedule, is known to have stood
still, and by nothing else.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from tests.soak.fleet import BASE_BUILD
from tests.soak.records import (
    AnswerKind,
    AttemptRecord,
    ConnectionEnd,
    EndpointNews,
    EndpointStart,
    Incarnation,
    Records,
    ReleaseNews,
    RequestRecord,
)

EXTRA_S = 0.05  # every time limit is so much longer on sockets (PROTOCOL)
# An answer up to so long after its time earns nothing, and only one still later is lost (STANDING). Counted
# so for what meets a crowd alone: reading 281 first requests takes an instance 0.24 s of its core (trace of
# seeds 5 and 7: rejections of requests with 20 ms left, read 0.2 s after they had come).
CROWD_LATE_S = 0.5
AFTER_CLOSE_S = 0.1  # an attempt begins no later behind the client's close (STANDING)
REMAINING_SLACK_S = 0.15  # an attempt tells at most what is left to the client, with so much slack (STANDING)
KILL_GRACE_S = 0.7  # after SIGTERM; what comes later and is unanswered at SIGKILL is lost (PROTOCOL)
READY_S = 10.0  # in which a started process answers
EXPOSURE_SPARE = 2  # attempts, and
EXPOSURE_EXTRA = 0.04  # of the cap, that pass beyond the cap on sockets (PROTOCOL)
LOWER_CAP_S = 0.15  # later a lower cap binds on sockets (PROTOCOL)
SMALL_BUDGET = 30  # requests: below it a cold endpoint's allowance for chance is larger (STANDING)
TOLD_SHARE = 2 / 3  # of what a cold endpoint got came from instances that were told of its start (STANDING)
REST_MEMORY_SHARE = 0.5  # of the limit: memory beyond it is priced (STANDING)
SPARE_DESCRIPTORS = 2  # at rest beyond those before the load: a vote's connection and a watch begun anew
TRIAL = "IN_PROGRESS"
ENDED_BY_SIGNAL = (-9, -15)


@dataclass(frozen=True, slots=True)
class Break:
    """One broken rule, at a time of the monotonic clock."""

    rule: str
    at: float
    text: str


def find_breaks(records: Records) -> list[Break]:
    """All broken rules, the earliest first."""
    found = [each for rule in RULES for each in rule(records)]
    return sorted(found, key=lambda each: each.at)


def attempts_by_request(records: Records) -> dict[bytes, list[AttemptRecord]]:
    """Attempts by the request that they are of, in the order of their coming."""
    found: dict[bytes, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        found[attempt.request_id].append(attempt)
    return found


# One final answer each, in time.


def check_answers(records: Records) -> Iterator[Break]:
    """Each request that was taken has one whole answer, in time, that a node made for it."""
    incarnations = {(each.instance, each.number): each for each in records.incarnations}
    attempts = attempts_by_request(records)
    for request in records.requests.values():
        if request.sent_at is None:
            continue
        if len(request.answers) > 1:
            yield Break("answered twice", request.answers[1].at, describe(request))
        if request.answers:
            yield from check_answer(records, request, attempts[request.id])
        else:
            incarnation = incarnations[request.instance, request.incarnation]
            yield from check_unanswered(records, request, incarnation, attempts)
    for at, instance, text in records.unasked_answers:
        yield Break("answer to nothing", at, f"instance {instance}: {text[:80]!r}")
    for over, instance in records.unanswered_partial:
        yield Break("late", 0.0, f"instance {instance}: a command stopped half way, no end for {over:.2f} s")


def check_answer(records: Records, request: RequestRecord, attempts: list[AttemptRecord]) -> Iterator[Break]:
    """The answer came in time, and is the request's own."""
    answer = request.answers[0]
    assert request.sent_at is not None
    due = due_at(records, request)
    if answer.at > due + records.stalled(request.sent_at, answer.at, request.instance):
        yield Break("late", answer.at, f"{describe(request)}: {answer.at - due:.3f} s beyond what is allowed")
    if answer.kind is AnswerKind.SERVED:
        made = {b"%b %b " % (attempt.endpoint.encode(), request.id) for attempt in attempts}
        if not any(answer.text.startswith(value) for value in made):
            yield Break("another's answer", answer.at, f"{describe(request)}: {answer.text[:80]!r}")


def due_at(records: Records, request: RequestRecord) -> float:
    """When the answer is due at the latest; the time spent waiting for those before it does not count."""
    assert request.sent_at is not None
    begin = request.sent_at
    if request.previous:
        begin = max(begin, request.previous.answers[0].at) if request.previous.answers else math.inf
    if records.was_crowded(request.instance, request.sent_at):
        return begin + request.timeout + CROWD_LATE_S
    return begin + request.timeout + records.limits.answer_slack + EXTRA_S


def check_unanswered(
    records: Records,
    request: RequestRecord,
    incarnation: Incarnation,
    attempts: dict[bytes, list[AttemptRecord]],
) -> Iterator[Break]:
    """A request without an answer that its client still waits for, or whose connection has ended.

    Allowed is the end of a connection that crosses a request which was not read (PROTOCOL): the system tells
    so, and request and end are at the same time.
    """
    assert request.sent_at is not None
    lost = Break("lost", request.ended_at or request.sent_at, describe(request))
    if request.end is None or request.ended_at is None:
        yield lost
        return
    due = due_at(records, request)
    if request.ended_at > due + records.stalled(request.sent_at, request.ended_at, request.instance):
        yield Break("lost", due, f"{lost.text}: no answer {request.ended_at - due:.3f} s after it was due")
        return
    if request.left_at is not None:
        return
    killed_at = incarnation.killed_at
    if killed_at is not None and request.ended_at >= killed_at:
        after_grace = incarnation.terminated_at is not None and (
            request.sent_at > incarnation.terminated_at + KILL_GRACE_S
        )
        if after_grace:
            yield Break(
                "lost", lost.at, f"{lost.text}: found by SIGKILL, {since_terminated(request, incarnation)}"
            )
        return
    was_read = request.end is ConnectionEnd.READ or bool(attempts.get(request.id))
    apart = request.ended_at - request.sent_at
    has_crossed = apart <= EXTRA_S + records.stalled(request.sent_at, request.ended_at, request.instance)
    if was_read or not has_crossed:
        yield Break(
            "lost", lost.at, f"{lost.text}: connection ended, {since_terminated(request, incarnation)}"
        )


def since_terminated(request: RequestRecord, incarnation: Incarnation) -> str:
    """When it was sent, as seen from SIGTERM."""
    if incarnation.terminated_at is None or request.sent_at is None:
        return f"end {request.end}, used {request.was_used}"
    after = request.sent_at - incarnation.terminated_at
    return f"sent {after:.3f} s after SIGTERM, end {request.end}, used {request.was_used}"


def check_attempts_after_end(records: Records) -> Iterator[Break]:
    """Nothing is sent for a request behind its answer or its client's close."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None:
            yield Break("attempt of nobody", attempt.at, f"{attempt.request_id!r} at {attempt.endpoint}")
            continue
        if request.left_at is not None:
            limit = request.left_at + AFTER_CLOSE_S
        elif request.answers:
            limit = request.answers[0].at + EXTRA_S
        else:
            continue
        if attempt.at > limit + records.stalled(limit - EXTRA_S, attempt.at, request.instance):
            yield Break(
                "attempt after the end",
                attempt.at,
                f"{describe(request)} at {attempt.endpoint}: {attempt.at - limit:.3f} s late",
            )


def check_remaining_time(records: Records) -> Iterator[Break]:
    """An attempt tells its endpoint at most what is left to the client."""
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None or request.sent_at is None:
            continue
        left = request.sent_at + request.timeout - attempt.at
        slack = REMAINING_SLACK_S + records.stalled(request.sent_at, attempt.at, request.instance)
        if attempt.remaining > left + slack:
            text = f"{describe(request)}: told {attempt.remaining:.3f} s, {left:.3f} s were left"
            yield Break("too long a time told", attempt.at, text)


# No effect twice.


def check_effects(records: Records) -> Iterator[Break]:
    """No effect twice, and no rejection of what may have run, as the request's class says."""
    attempts = attempts_by_request(records)
    executions: dict[bytes, list[AttemptRecord]] = defaultdict(list)
    for request in records.requests.values():
        executed = [attempt for attempt in attempts[request.id] if attempt.executed_at is not None]
        if request.effect:
            executions[request.effect] += executed
        was_rejected = bool(request.answers) and request.answers[0].kind is AnswerKind.REJECTED
        if executed and was_rejected and request.request_class in records.limits.unrejectable_classes:
            yield Break("rejected after it ran", request.answers[0].at, describe(request))
    for effect, executed in executions.items():
        yield from check_effect(records, effect, executed)


def check_effect(records: Records, effect: bytes, executed: list[AttemptRecord]) -> Iterator[Break]:
    """One effect's executions: one, or as many within the window in which a repeat is dropped."""
    if len(executed) < 2:
        return
    executed = sorted(executed, key=lambda attempt: attempt.at)
    request = records.requests[executed[0].request_id]
    window = 0.0
    if request.request_class == "sign":
        window = records.limits.key_window["sign"] + EXTRA_S
    for attempt in executed[1:]:
        apart = attempt.at - executed[0].at
        if apart > window + records.stalled(executed[0].at, attempt.at, request.instance) or not window:
            where = ", ".join(
                f"{each.request_id.decode()} at {each.endpoint} {each.at:.3f}" for each in executed
            )
            yield Break("effect twice", attempt.at, f"{request.request_class} {effect!r}: {where}")


# Drains.


def check_drains(records: Records) -> Iterator[Break]:
    """Nothing new goes to an endpoint later than the grace after its drain or end was told."""
    told = told_not_ready(records)
    grace = records.limits.drain_grace + EXTRA_S
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is None:
            continue
        for begin, end in told.get((request.instance, attempt.endpoint), ()):
            if begin + grace < attempt.at < end:
                late = attempt.at - begin - grace
                if late > records.stalled(begin, attempt.at):
                    text = f"{describe(request)} at {attempt.endpoint}: {late:.3f} s beyond the grace"
                    yield Break("drain", attempt.at, text)


def told_not_ready(records: Records) -> dict[tuple[int, str], list[tuple[float, float]]]:
    """Spans in which an instance counts as told that an endpoint drains or is gone."""
    since: dict[tuple[int, str], float] = {}
    spans: dict[tuple[int, str], list[tuple[float, float]]] = defaultdict(list)
    for news in sorted(records.endpoint_news, key=lambda each: each.at):
        key = (news.instance, news.endpoint)
        if news.lifecycle != "SERVING":
            since.setdefault(key, news.at)
        elif key in since:
            spans[key].append((since.pop(key), news.at))
    for key, begin in since.items():
        spans[key].append((begin, math.inf))
    return spans


# Cold endpoints.


def check_cold_endpoints(records: Records) -> Iterator[Break]:
    """No endpoint that has just started gets more than it may bear from instances that were told."""
    by_endpoint: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        by_endpoint[attempt.endpoint].append(attempt)
    for start in records.endpoint_starts:
        if not start.is_warm:
            yield from check_cold_endpoint(records, start, by_endpoint[start.endpoint])


def check_cold_endpoint(
    records: Records, start: EndpointStart, attempts: list[AttemptRecord]
) -> Iterator[Break]:
    """The first fall of one endpoint; only that counts, and only if two thirds came from who was told."""
    limits = records.limits
    told_at = first_told(records.endpoint_news, start)
    cold = [
        attempt
        for attempt in attempts
        if start.at <= attempt.at <= start.at + limits.warm_up + limits.fall_window
    ]
    times = [attempt.at for attempt in cold]
    for last, attempt in enumerate(cold):
        first = bisect_left(times, attempt.at - limits.fall_window)
        window = cold[first : last + 1]
        if len(window) <= cold_limit(records, attempt.at - start.at):
            continue
        from_told = sum(is_from_told(records, each, told_at) for each in window)
        if from_told > TOLD_SHARE * len(window):
            text = (
                f"{start.endpoint}: {len(window)} in {limits.fall_window:g} s, {from_told} from who was told"
            )
            yield Break("cold endpoint", attempt.at, f"{text}, {attempt.at - start.at:.2f} s after its start")
        return


def first_told(news: Iterable[EndpointNews], start: EndpointStart) -> dict[int, float]:
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
    budget = limits.fall_multiple * share * limits.endpoint_capacity * limits.fall_window
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2


# Exposure.


@dataclass(slots=True)
class CapSpan:
    """From ``begin`` on an instance may send so large a share to a build on trial; None: all."""

    begin: float
    cap: float | None


def check_exposure(records: Records) -> Iterator[Break]:
    """Attempts at a build on trial stay within the cap, for each process of each instance."""
    for incarnation in records.incarnations:
        requests = sorted(
            each.sent_at
            for each in records.requests.values()
            if each.sent_at is not None
            and (each.instance, each.incarnation) == (incarnation.instance, incarnation.number)
        )
        attempts = [
            attempt
            for attempt in records.attempts
            if attempt.build != BASE_BUILD and is_by(records, attempt, incarnation)
        ]
        if attempts:
            yield from check_incarnation_exposure(records, incarnation, requests, attempts)


def is_by(records: Records, attempt: AttemptRecord, incarnation: Incarnation) -> bool:
    """The attempt was sent by this process."""
    request = records.requests.get(attempt.request_id)
    return request is not None and (request.instance, request.incarnation) == (
        incarnation.instance,
        incarnation.number,
    )


def check_incarnation_exposure(
    records: Records, incarnation: Incarnation, requests: list[float], attempts: list[AttemptRecord]
) -> Iterator[Break]:
    """One process's attempts at a build on trial, one kind of window after another."""
    limits = records.limits
    spans = cap_spans(records, incarnation)
    times = [attempt.at for attempt in attempts]
    for last, attempt in enumerate(attempts):
        span = next(each for each in reversed(spans) if each.begin <= attempt.at)
        if span.cap is None:
            continue
        stalled = records.stalled(attempt.at - limits.exposure_window, attempt.at, incarnation.instance)
        begin = max(span.begin if is_lower(spans, span) else -math.inf, attempt.at - limits.exposure_window)
        count = last + 1 - bisect_left(times, begin)
        taken = bisect_left(requests, attempt.at + 1e-9) - bisect_left(requests, begin - EXTRA_S - stalled)
        allowed = limits.spare_attempts + EXPOSURE_SPARE + (1 + EXPOSURE_EXTRA) * span.cap * taken
        if span.cap == 0.0:
            allowed = EXPOSURE_SPARE
        if count > allowed:
            text = f"instance {incarnation.instance}: {count} attempts of {taken} requests, cap {span.cap:g}"
            yield Break("exposure", attempt.at, f"{text}: {allowed:.1f} allowed")
            return


def is_lower(spans: list[CapSpan], span: CapSpan) -> bool:
    """The cap fell with this span: attempts are counted afresh from its begin."""
    index = next(number for number, each in enumerate(spans) if each is span)
    if not index or span.cap is None:
        return False
    before = spans[index - 1].cap
    return before is None or before > span.cap


def cap_spans(records: Records, incarnation: Incarnation) -> list[CapSpan]:
    """The caps of the canary as they bind an instance: a higher one as told, a lower one after the grace."""
    limits = records.limits
    spans = [CapSpan(-math.inf, limits.caps[0])]  # not announced yet: as in the first stage
    told = [each for each in records.release_news if each.instance == incarnation.instance]
    for news in sorted(told, key=lambda each: each.at):
        if news.build == BASE_BUILD:
            continue
        cap = cap_of(news)
        before = spans[-1].cap
        falls = cap is not None and (before is None or cap < before)
        if cap == before:
            continue
        begin = news.at + (limits.drain_grace + LOWER_CAP_S if falls else 0.0)
        spans.append(CapSpan(max(begin, spans[-1].begin), cap))
    return spans


def cap_of(news: ReleaseNews) -> float | None:
    """The share that a state allows; None once the build is released."""
    if news.progress == TRIAL:
        return news.cap
    return None if news.progress == "COMPLETE" else 0.0


# Processes.


def check_processes(records: Records) -> Iterator[Break]:
    """No process ends by itself, and each is ready in time."""
    for each in records.incarnations:
        name = f"instance {each.instance}, process {each.number}"
        ready_after = (each.ready_at or math.inf) - each.started_at
        was_stopped = each.terminated_at is not None or each.killed_at is not None
        if ready_after > READY_S and not was_stopped:
            yield Break("not ready", each.started_at, f"{name}: {ready_after:.1f} s")
        if each.ended_at is None:
            continue
        if not was_stopped:
            yield Break("crash", each.ended_at, f"{name}: ended by itself, status {each.status}")
        elif each.status not in (0, *ENDED_BY_SIGNAL):
            yield Break("crash", each.ended_at, f"{name}: status {each.status}")


def check_rest(records: Records) -> Iterator[Break]:
    """After the load, descriptors and memory are back at rest."""
    before = {usage.instance: usage for usage in records.usage_before}
    for usage in records.usage_after:
        name = f"instance {usage.instance}"
        allowed = before[usage.instance].descriptors + SPARE_DESCRIPTORS
        if usage.descriptors > allowed:
            yield Break(
                "descriptors not given back",
                math.inf,
                f"{name}: {usage.descriptors}, {allowed} before the load",
            )
        if usage.resident_bytes > REST_MEMORY_SHARE * records.limits.memory_bytes:
            yield Break("memory not given back", math.inf, f"{name}: {usage.resident_bytes >> 20} MB at rest")
        if usage.peak_bytes > records.limits.memory_bytes:
            yield Break("memory", math.inf, f"{name}: {usage.peak_bytes >> 20} MB")


def describe(request: RequestRecord) -> str:
    """A request in a few words."""
    return (
        f"{request.request_class} {request.id.decode()} at instance {request.instance}.{request.incarnation}"
    )


RULES: tuple[Callable[[Records], Iterator[Break]], ...] = (
    check_answers,
    check_attempts_after_end,
    check_remaining_time,
    check_effects,
    check_drains,
    check_cold_endpoints,
    check_exposure,
    check_processes,
    check_rest,
)
