"""The class of violations and helpers that all rules share."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from tests.soak.records import AttemptRecord, Records, RequestRecord

SOCKET_TOLERANCE_S = 0.05  # Extension of every time limit on sockets (PROTOCOL).


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule at a time of the monotonic clock."""

    rule: str
    at: float
    text: str


def attempts_by_request(records: Records) -> dict[bytes, list[AttemptRecord]]:
    """Return the attempts of each request, by request id, in order of arrival."""
    found: dict[bytes, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        found[attempt.request_id].append(attempt)
    return found


def describe(request: RequestRecord) -> str:
    """Return a short description of a request: class, id, instance and incarnation."""
    return (
        f"{request.request_class} {request.id.decode()} at instance {request.instance}.{request.incarnation}"
    )
