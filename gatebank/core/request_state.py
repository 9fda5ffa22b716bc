"""The state of a request from its arrival to its final answer, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.latency import LatencyKey
from gatebank.events import NEVER_RUN_OUTCOMES, AttemptResult, Outcome, Request
from gatebank.settings import RequestClass


class Attempt(NamedTuple):
    """An attempt of a request: its endpoint, and when it was started."""

    endpoint: EndpointState
    started_at: float


class AttemptRecord(NamedTuple):
    """An outstanding attempt, which may outlive its request.

    Attributes:
        build: the build of the endpoint when the attempt started.
        key: the key of the attempt's request.
    """

    endpoint: EndpointState
    build: int
    request_class: int
    key: int | None

    @property
    def latency_key(self) -> LatencyKey:
        """The key of the mean latency that the attempt is compared with."""
        return LatencyKey(self.request_class, self.endpoint.listed.machine_kind)


class SuspectedError(NamedTuple):
    """An error that the request itself may have caused; it counts only once another attempt succeeds."""

    attempt: AttemptRecord
    result: AttemptResult


@dataclass(slots=True, eq=False)
class RequestState:
    """The state of a request; dropped with the final answer.

    Attributes:
        request, request_class: the request as received, and the settings of its class.
        arrived_at: when the request arrived, on the balancer's clock.
        attempts: all attempts, in order of their start.
        outcomes: the outcome of each attempt; None while the attempt is outstanding.
        suspected_errors: see `SuspectedError`.
        timer_generation: the generation of the timer that the request waits for; other timers are stale.
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
        """The time at which the client gives up."""
        return self.arrived_at + self.request.timeout

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts whose outcome does not prove that the attempt had no effect."""
        pairs = zip(self.attempts, self.outcomes, strict=True)
        return [attempt for attempt, outcome in pairs if outcome not in NEVER_RUN_OUTCOMES]

    def add_attempt(self, endpoint: EndpointState, now: float) -> None:
        """Add an attempt that starts now and is outstanding."""
        self.attempts.append(Attempt(endpoint, now))
        self.outcomes.append(None)

    def outstanding_attempts(self) -> list[int]:
        """Return the numbers of the attempts without a result."""
        return [number for number, outcome in enumerate(self.outcomes) if outcome is None]
