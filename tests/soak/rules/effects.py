"""Rules on effects: no effect happens twice, and no request that may have been executed is rejected."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.records import AnswerKind, AttemptRecord, Records
from tests.soak.rules.base import SOCKET_TOLERANCE_S, Violation, attempts_by_request, describe


def check_effects(records: Records) -> Iterator[Violation]:
    """Check that no effect happens twice, and that no executed request is rejected against its class's rules.

    Which requests may be rejected after an execution depends on the semantics of their request class.
    """
    attempts = attempts_by_request(records)
    executions: dict[bytes, list[AttemptRecord]] = defaultdict(list)
    for request in records.requests.values():
        executed = [attempt for attempt in attempts[request.id] if attempt.executed_at is not None]
        if request.effect:
            executions[request.effect] += executed
        was_rejected = bool(request.answers) and request.answers[0].kind is AnswerKind.REJECTED
        if executed and was_rejected and request.request_class in records.limits.unrejectable_classes:
            yield Violation("rejected after it ran", request.answers[0].at, describe(request))
    for effect, executed in executions.items():
        yield from check_effect(records, effect, executed)


def check_effect(records: Records, effect: bytes, executed: list[AttemptRecord]) -> Iterator[Violation]:
    """Check that an effect has one execution, or all within the window in which endpoints drop repeats."""
    if len(executed) < 2:
        return
    executed = sorted(executed, key=lambda attempt: attempt.at)
    request = records.requests[executed[0].request_id]
    window = 0.0
    if request.request_class == "sign":
        window = records.limits.key_window["sign"] + SOCKET_TOLERANCE_S
    for attempt in executed[1:]:
        apart = attempt.at - executed[0].at
        if (
            apart > window + records.stalled_seconds(executed[0].at, attempt.at, request.instance)
            or not window
        ):
            where = ", ".join(
                f"{found.request_id.decode()} at {found.endpoint} {found.at:.3f}" for found in executed
            )
            yield Violation("effect twice", attempt.at, f"{request.request_class} {effect!r}: {where}")
