"""A request between its arrival and its final answer, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.latency import LatencyKey
from gatebank.events import NEVER_RUN_OUTCOMES, AttemptResult, Outcome, Request
from gatebank.settings import RequestClass


class Attempt(NamedTuple):
    """An attempt of a request: where, and when it was started."""

    endpoint: EndpointState
    started_at: float


class AttemptRecord(NamedTuple):
    """An attempt for the statistics; ``build`` is the one that its endpoint ran when it started."""

    endpoint: EndpointState
    build: int
    request_class: int

    @property
    def latency_key(self) -> LatencyKey:
        """Which usual time it is held against."""
        return LatencyKey(self.request_class, self.endpoint.listed.machine_kind)


class SuspectedError(NamedTuple):
    """An error that may be the request's own fault, held back until another attempt succeeds."""

    attempt: AttemptRecord
    result: AttemptResult


@dataclass(slots=True, eq=False)
class RequestState:
    """Dropped with its final answer.

    Attributes:
        request, request_class: what came, and its settings.
        arrived_at: in the balancer's seconds.
        attempts: all, in order.
        outcomes: of each; None while it is outstanding.
        suspected_errors: see `SuspectedError`.
        timer_generation: which timer it waits for; others are void.
    """

    request: Request
    request_class: RequestClass
    arrived_at: float
    attempts: list[Attempt] = field(default_factory=list)
    outcomes: list[Outcome | None] = field(default_factory=list)
    suspected_errors: list[SuspectedError] = field(default_factory=list)
    timer_generation: int = 0

    @property
    def deadline(self) -> float:
        """When the client gives up."""
        return self.arrived_at + self.request.timeout

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """All but those whose outcome proves that they had no effect."""
        pairs = zip(self.attempts, self.outcomes, strict=True)
        return [attempt for attempt, outcome in pairs if outcome not in NEVER_RUN_OUTCOMES]

    def add_attempt(self, endpoint: EndpointState, now: float) -> None:
        """A new attempt, outstanding."""
        self.attempts.append(Attempt(endpoint, now))
        self.outcomes.append(None)

    def outstanding_attempts(self) -> list[int]:
        """The numbers of attempts without a result."""
        return [number for number, outcome in enumerate(self.outcomes) if outcome is None]
