"""The module on its counting: rules seen from outside, at sizes and in moments that lists made once could
get wrong.
"""

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
    """When an attempt began, and of which request it is."""

    started_at: float
    request: int


class ObservedInstance:
    """An instance, seen only by what goes in and comes out; checks rule 5's window and rule 3's drains.

    Attributes:
        listed: build and condition of each endpoint, by index.
        canary_attempts: when each attempt at the canary began.
        accepted: when each request came.
        outstanding: attempts without a result, the oldest first.
        cap: the canary's share as told last.
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
        self.tell_endpoints()
        if cap is not None:
            self.tell_cap(cap)

    def tell_endpoints(self) -> None:
        rows = [
            events.Endpoint(index, index, 0, 0, 0, build, None, condition, 1.0)
            for index, (build, condition) in self.listed.items()
        ]
        self.balancer.on_endpoint_list(rows, True)

    def tell_cap(self, cap: float, phase: events.Phase = events.Phase.CANARY) -> None:
        self.cap = cap
        status = events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, CANARY_BUILD, 0, phase, cap)
        self.balancer.on_release_status(status)

    def request(self, later: float = 0.001) -> int | None:
        """One request, answered once 20 ms have passed; the endpoint that got it, if any."""
        self.now += later
        self.balancer.now = self.now
        self.end_attempts()
        self.request_number += 1
        self.accepted.append(self.now)
        self.balancer.on_request(events.Request(self.request_number, 0, 0, 5.0))
        attempts = [each for each in self.balancer.actions if isinstance(each, actions.StartAttempt)]
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


def test_lowered_cap_holds_at_each_shot() -> None:
    """A cap lowered.

    Thousands of rows at one instant, the cap lowered in the middle of a window and to nothing: the rule
    holds at each attempt, and the build is left alone at once.
    """
    observed = ObservedInstance({0: 41, 1: 41, 2: 42, 3: 42}, 1.0)
    for _ in range(3000):
        observed.request(0.0)
    observed.tell_cap(0.1)
    before = len(observed.canary_attempts)
    for _ in range(300):
        observed.request(0.0)
    assert len(observed.canary_attempts) == before  # the window holds more than the lower cap allows
    for _ in range(4000):
        observed.request(0.001)
    assert len(observed.canary_attempts) > before
    observed.tell_cap(0.0, events.Phase.ROLLING_BACK)
    before = len(observed.canary_attempts)
    for _ in range(200):
        observed.request(0.01)
    assert len(observed.canary_attempts) == before


def test_endpoint_that_comes_and_goes_leaves_nothing() -> None:
    """Comes and goes.

    An endpoint that comes and goes a thousand times, with another build each time: it is sent to while it is
    there, and nothing of it is kept.
    """
    observed = ObservedInstance({0: 41, 1: 41, 2: 41}, None)
    met = 0
    for turn in range(1000):
        observed.listed[9] = (41 if turn % 2 else 40, events.Condition.READY)
        observed.tell_endpoints()
        met += sum(observed.request() == 9 for _ in range(4))
        observed.listed[9] = (
            observed.listed[9][0],
            (events.Condition.DRAINING, events.Condition.GONE)[turn % 2],
        )
        observed.tell_endpoints()
        assert all(observed.request() != 9 for _ in range(4))
        del observed.listed[9]
        observed.tell_endpoints()
    state = observed.balancer.state
    assert met > 300 and len(state.outstanding_by_endpoint) <= 4 + len(observed.outstanding)
    assert len(state.endpoints.groups._selections) <= 64
    assert len(state.traffic.attempts_by_build) <= 4, state.traffic.attempts_by_build.keys()


def test_nothing_is_sent_once_all_drain() -> None:
    """All drain at once.

    All endpoints drain in one listing: nothing is sent to any, and what comes then is rejected or waits.
    """
    observed = ObservedInstance(dict.fromkeys(range(200), 41), None)
    for _ in range(100):
        assert observed.request() is not None
    observed.listed = dict.fromkeys(range(200), (41, events.Condition.DRAINING))
    observed.tell_endpoints()
    assert all(observed.request() is None for _ in range(100))
    observed.listed[5] = (41, events.Condition.READY)
    observed.tell_endpoints()
    assert observed.request() == 5


def test_build_of_one_endpoint_among_thousands_gets_its_share() -> None:
    """One among thousands.

    A build of one endpoint among five thousand gets its share and no more; an hour's jump forgets windows.
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
