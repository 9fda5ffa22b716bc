"""All that one instance knows and has in hand: what policy/ reads to decide."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.endpoint_table import EndpointTable
from gatebank.core.fleet_view import FleetView
from gatebank.core.latency import Latencies
from gatebank.core.request_state import AttemptRecord, RequestState
from gatebank.core.traffic import Traffic
from gatebank.core.voting import VotingState
from gatebank.events import BaselineErrors, ReleaseStatus
from gatebank.peer_messages import InstanceReport
from gatebank.settings import Settings
from gatebank.statistics.outstanding_attempts import OutstandingAttempts

if TYPE_CHECKING:
    from gatebank.policy.sequential_test import SequentialTest

UNKNOWN_START_AGE_S = 1e9  # s: the age of an endpoint of which no start is told
INCARNATION_BITS = 16


class AttemptKey(NamedTuple):
    """An attempt by its request's number and its own."""

    request: int
    attempt: int


class BalancerState:
    """The state of one instance; every draw of chance comes from its seed.

    Attributes:
        now: the present, in seconds.
        resumed_at: until then this instance did not run, or had just begun to: what was sent before is not
            timed.
        started_at: when this incarnation began.
        incarnation: a random number of this start.
        endpoints: the endpoint list.
        requests: without a final answer, by number.
        outstanding: attempts without a result.
        outstanding_by_endpoint: the same by endpoint.
        release: what the release service said last of the newest build.
        test: the sequential test of that build at its stage, while it is judged.
        baseline_errors: of baseline builds, by statistic of the test.
        canary_seen: this build was seen as a canary.
        sticky_builds: the build that a key is bound to; emptied when it rolls back or another comes.
        no_spare_until: until then no attempt is spared from the cap.
        inherited_reports: sums of other incarnations, to be merged into each new test.
    """

    def __init__(self, settings: Settings, seed: int, now: float, resumed_at: float) -> None:
        generator = Random(seed)
        self.random: Callable[[], float] = generator.random
        self.sample: Callable[[Sequence[Any], int], list[Any]] = generator.sample
        self.settings = settings
        self.now = now
        self.resumed_at = resumed_at
        self.started_at = now
        self.incarnation = generator.getrandbits(INCARNATION_BITS)
        self.endpoints = EndpointTable()
        self.requests: dict[int, RequestState] = {}
        self.outstanding: dict[AttemptKey, AttemptRecord] = {}
        self.outstanding_by_endpoint: OutstandingAttempts[EndpointState] = OutstandingAttempts()
        self.traffic = Traffic()
        self.latencies = Latencies(len(settings.request_classes))
        self.fleet = FleetView(settings.instance, now)
        self.voting = VotingState(now)
        self.release: ReleaseStatus | None = None
        self.test: SequentialTest | None = None
        self.baseline_errors: list[BaselineErrors] = []
        self.canary_seen = False
        self.sticky_builds: dict[int, int] = {}
        self.no_spare_until = now
        self.inherited_reports: list[tuple[int, InstanceReport]] = []

    def age(self, endpoint: EndpointState) -> float:
        """Seconds since the endpoint's process started."""
        started = endpoint.listed.started_at
        return self.now - started if started else UNKNOWN_START_AGE_S
