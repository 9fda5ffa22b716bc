"""The whole state of one instance, from which policy/ decides."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from gatebank.core.endpoint_state import EndpointState
from gatebank.core.endpoint_table import EndpointTable
from gatebank.core.fleet_view import FleetView
from gatebank.core.latency import Latencies
from gatebank.core.request_state import AttemptRecord, RequestState
from gatebank.core.sticky_keys import StickyKeys
from gatebank.core.traffic import Traffic
from gatebank.core.voting import VotingState
from gatebank.events import BaselineErrors, ReleaseStatus
from gatebank.peer_messages import InstanceReport
from gatebank.settings import Settings
from gatebank.statistics.outstanding_attempts import OutstandingAttempts

if TYPE_CHECKING:
    from gatebank.policy.sequential_test import SequentialTest

UNKNOWN_START_AGE_S = 1e9  # The age of an endpoint whose start is not known, in seconds.
INCARNATION_BITS = 16


class AttemptKey(NamedTuple):
    """Identifies an attempt by the request's number and the attempt's number within the request."""

    request: int
    attempt: int


class BalancerState:
    """The state of one instance; all random numbers derive from the instance's seed.

    Attributes:
        now: the current time, in seconds.
        resumed_at: when this instance last started or resumed from a pause; attempts sent before then are not
            timed.
        started_at: when this incarnation started.
        incarnation: a random number that identifies this incarnation.
        endpoints: the endpoint list.
        requests: requests without a final answer, by number.
        outstanding: attempts without a result.
        outstanding_by_endpoint: the attempts in ``outstanding``, counted by endpoint and request class.
        release: the last status of the newest build from the release service.
        test: the sequential test of the newest build at its stage; None while the build is not tested.
        baseline_errors: outcome counts of baseline builds, by statistic of the test.
        canary_seen: this instance has seen the newest build in the canary phase.
        sticky_keys: the builds that keys are bound to.
        no_spare_until: until this time, no spare attempts are allowed beyond the cap.
        inherited_reports: reports of other incarnations with complete LLR sums, to be merged into each new
            test.
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
        self.sticky_keys = StickyKeys()
        self.no_spare_until = now
        self.inherited_reports: list[tuple[int, InstanceReport]] = []

    def may_bind(self, key: int | None) -> bool:
        """Return whether a key is bound to a build, could be bound, or need not be."""
        return not self.settings.release.sticky_keys or key is None or self.sticky_keys.has_room_for(key)

    def age(self, endpoint: EndpointState) -> float:
        """Return the seconds since the endpoint's process started."""
        started = endpoint.listed.started_at
        return self.now - started if started else UNKNOWN_START_AGE_S
