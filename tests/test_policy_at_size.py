"""The balancer's rules, checked from outside, in large fleets and at changes that cached lists could miss."""

from __future__ import annotations

from typing import NamedTuple

from gatebank import actions, events
from gatebank.balancer import Balancer
from gatebank.core.load import outstanding_attempts
from gatebank.policy.outlier import UNRESPONSIVE_SILENCE
from tests.support.settings_factory import make_settings
from tests.support.transfer_fixtures import SETTINGS

CANARY_BUILD = 42
ANSWER_TIME_S = 0.02


class OutstandingAttempt(NamedTuple):
    """The start of an attempt and the number of its request."""

    started_at: float
    request: int


class ObservedInstance:
    """An instance that is observed by its events and actions only.

    Each attempt is checked against rule 3 (draining endpoints) and rule 5 (the exposure window).

    Attributes:
        listed: Build and condition of each endpoint, by index.
        canary_attempts: The start of each attempt at the canary.
        accepted: The arrival of each request.
        outstanding: Attempts without a result, oldest first.
        cap: The canary's share in the last release status.
    """

    def __init__(self, builds: dict[int, int], cap: float | None, at: float = 5000.0) -> None:
        self.balancer = Balancer(make_settings(SETTINGS), 3, at)
        self.now = at
        self.request_number = 0
        self.listed = {index: (build, events.Condition.READY) for index, build in builds.items()}
        self.canary_attempts: list[float] = []
        self.accepted: list[float] = []
        self.outstanding: list[OutstandingAttempt] = []
        self.cap = cap
        self.send_endpoint_list()
        if cap is not None:
            self.send_cap(cap)

    def send_endpoint_list(self) -> None:
        rows = [
            events.Endpoint(index, index, 0, 0, 0, build, None, condition, 1.0)
            for index, (build, condition) in self.listed.items()
        ]
        self.balancer.on_endpoint_list(rows, True)

    def send_cap(self, cap: float, phase: events.Phase = events.Phase.CANARY) -> None:
        self.cap = cap
        status = events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, CANARY_BUILD, 0, phase, cap)
        self.balancer.on_release_status(status)

    def request(self, interval: float = 0.001) -> int | None:
        """Send one request and return the endpoint of its last attempt, if any.

        Attempts are answered after 20 ms.
        """
        self.now += interval
        self.balancer.now = self.now
        self.end_attempts()
        self.request_number += 1
        self.accepted.append(self.now)
        self.balancer.on_request(events.Request(self.request_number, 0, 0, 5.0))
        attempts = [action for action in self.balancer.actions if isinstance(action, actions.StartAttempt)]
        self.balancer.actions.clear()
        for attempt in attempts:
            self.check(attempt)
        return attempts[-1].endpoint if attempts else None

    def end_attempts(self) -> None:
        while self.outstanding and self.outstanding[0].started_at <= self.now - ANSWER_TIME_S:
            request_number = self.outstanding.pop(0).request
            result = events.AttemptResult(0, events.Outcome.SUCCESS, ANSWER_TIME_S, True)
            self.balancer.on_attempt_result(request_number, result)
        self.balancer.actions.clear()

    def check(self, attempt: actions.StartAttempt) -> None:
        build, condition = self.listed[attempt.endpoint]
        assert condition is events.Condition.READY, (attempt.endpoint, condition)
        self.outstanding.append(OutstandingAttempt(self.now, attempt.request))
        if build == CANARY_BUILD:
            self.canary_attempts.append(self.now)
            window_start = self.now - SETTINGS["exposure_window"]
            sent = sum(at >= window_start for at in self.canary_attempts)
            accepted = sum(at > window_start for at in self.accepted)
            allowed = SETTINGS["spare_attempts"] + (self.cap or 0.0) * accepted
            assert sent <= allowed, (sent, accepted, self.cap)


def test_lowered_cap_holds_for_each_attempt() -> None:
    """Rule 5 holds for each attempt when the cap is lowered, in the middle of a window or to 0.

    Thousands of requests arrive at the same time. With a cap of 0 the build gets no more attempts.
    """
    observed = ObservedInstance({0: 41, 1: 41, 2: 42, 3: 42}, 1.0)
    for _ in range(3000):
        observed.request(0.0)
    observed.send_cap(0.1)
    before = len(observed.canary_attempts)
    for _ in range(300):
        observed.request(0.0)
    assert len(observed.canary_attempts) == before  # the window has more attempts than the lower cap allows
    for _ in range(4000):
        observed.request(0.001)
    assert len(observed.canary_attempts) > before
    observed.send_cap(0.0, events.Phase.ROLLING_BACK)
    before = len(observed.canary_attempts)
    for _ in range(200):
        observed.request(0.01)
    assert len(observed.canary_attempts) == before


def test_endpoint_that_is_listed_and_removed_repeatedly_leaves_no_state() -> None:
    """An endpoint that is listed and removed a thousand times, with alternating builds, leaves no state.

    It gets attempts while it is listed as ready, and none after that.
    """
    observed = ObservedInstance({0: 41, 1: 41, 2: 41}, None)
    attempts = 0
    for round_number in range(1000):
        observed.listed[9] = (41 if round_number % 2 else 40, events.Condition.READY)
        observed.send_endpoint_list()
        attempts += sum(observed.request() == 9 for _ in range(4))
        observed.listed[9] = (
            observed.listed[9][0],
            (events.Condition.DRAINING, events.Condition.GONE)[round_number % 2],
        )
        observed.send_endpoint_list()
        assert all(observed.request() != 9 for _ in range(4))
        del observed.listed[9]
        observed.send_endpoint_list()
    state = observed.balancer.state
    assert attempts > 300 and len(state.outstanding_by_endpoint) <= 4 + len(observed.outstanding)
    assert len(state.endpoints.groups._selections) <= 64
    assert len(state.traffic.attempts_by_build) <= 4, state.traffic.attempts_by_build.keys()


def test_no_attempt_starts_while_all_endpoints_drain() -> None:
    """Requests wait or are rejected after one endpoint list has set all endpoints to draining."""
    observed = ObservedInstance(dict.fromkeys(range(200), 41), None)
    for _ in range(100):
        assert observed.request() is not None
    observed.listed = dict.fromkeys(range(200), (41, events.Condition.DRAINING))
    observed.send_endpoint_list()
    assert all(observed.request() is None for _ in range(100))
    observed.listed[5] = (41, events.Condition.READY)
    observed.send_endpoint_list()
    assert observed.request() == 5


def test_build_with_one_endpoint_of_thousands_gets_its_share() -> None:
    """A build with one of five thousand endpoints gets its share and no more.

    A jump of the clock by an hour empties the windows.
    """
    observed = ObservedInstance(dict.fromkeys(range(5000), 41) | {5000: 42}, 1.0)
    for _ in range(20_000):
        observed.request(0.0005)
    share = len(observed.canary_attempts) / 20_000
    assert 0 < share < 0.002, share
    observed.request(3600.0)
    balancer = observed.balancer
    balancer.on_timer(actions.Tick())
    state = balancer.state
    traffic = state.traffic
    assert len(traffic.accepted) <= 1 and len(traffic.served) <= 2 and len(traffic.finished) <= 2
    state.fleet.held_up_classes.clear()
    assert not outstanding_attempts(state, UNRESPONSIVE_SILENCE) > 2
