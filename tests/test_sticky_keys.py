"""Keys that are bound to a build: their number is bounded, and no key goes back to an earlier build."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

import pytest

from gatebank.actions import StartAttempt, Tick
from gatebank.balancer import Balancer
from gatebank.events import (
    AttemptResult,
    Condition,
    Endpoint,
    Outcome,
    Phase,
    ReleaseStatus,
    ReplyStatus,
    Request,
    RetrySafety,
)
from gatebank.policy.sticky_keys import UNLISTED_BUILD_LIFETIME_S
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.messages import EndpointReply, RequestClassRef
from gatebank.proxy.resp2.commands import parse_request
from gatebank.proxy.upstream import Attempt, EndpointKey
from gatebank.settings import Settings
from tests.support.connections import SETTINGS, AnswerRecorder
from tests.support.settings_factory import make_settings

OLD_BUILD = 41
NEW_BUILD = 42
MAX_KEYS = 50
REQUESTS = 600


def sticky_settings() -> Settings:
    """Return settings in which a key that the canary answered stays with it."""
    request_class = {"name": "read", "retry_safety": RetrySafety.IDEMPOTENT, "latency_objective": 1.0}
    return make_settings(
        SETTINGS
        | {"sticky_keys": True, "spare_attempts": 99, "caps": [1.0], "request_classes": [request_class]}
    )


def endpoint(index: int, build: int) -> Endpoint:
    return Endpoint(index, index + 1, 0, 0, 0, build, None, Condition.READY, 1.0)


@pytest.mark.parametrize("phase", [Phase.CANARY, Phase.RELEASED])
def test_number_of_bound_keys_is_bounded_and_no_key_goes_back(phase: Phase) -> None:
    balancer = Balancer(sticky_settings(), seed=3, now=100.0)
    balancer.state.sticky_keys.max_keys = MAX_KEYS
    builds = {0: OLD_BUILD, 1: OLD_BUILD, 2: NEW_BUILD, 3: NEW_BUILD}
    balancer.on_endpoint_list([endpoint(index, build) for index, build in builds.items()], complete=True)
    balancer.on_release_status(ReleaseStatus(ReplyStatus.ACCEPTED, False, NEW_BUILD, 0, phase, 1.0, age=1.0))
    answered_by: dict[int, set[int]] = {}
    for number in range(REQUESTS):
        balancer.now += 0.05
        balancer.actions = []
        key = number % (REQUESTS // 2)  # Each key comes twice.
        balancer.on_request(Request(0, 0, 0, 2.0, key=key))
        attempts = [action for action in balancer.actions if isinstance(action, StartAttempt)]
        if not attempts:
            balancer.on_client_disconnect(0)
            continue
        build = builds[attempts[0].endpoint]
        assert not (build == OLD_BUILD and NEW_BUILD in answered_by.get(key, ())), key
        answered_by.setdefault(key, set()).add(build)
        balancer.on_attempt_result(0, AttemptResult(0, Outcome.SUCCESS, 0.01, True))
    assert len(balancer.state.sticky_keys) == MAX_KEYS
    assert len(answered_by) > REQUESTS // 4


class StickyPlay:
    """A balancer with two endpoints of each build, and what it did with each key."""

    def __init__(self, *builds: int) -> None:
        self.balancer = Balancer(sticky_settings(), seed=3, now=100.0)
        self.numbers = count()
        self.list_endpoints(*builds)

    def list_endpoints(self, *builds: int) -> None:
        """List two endpoints of each build."""
        self.builds = dict(enumerate(build for build in builds for _ in range(2)))
        entries = [endpoint(index, build) for index, build in self.builds.items()]
        self.balancer.on_endpoint_list(entries, complete=True)

    def tell(self, build: int, phase: Phase) -> None:
        """Tell the release status of the newest build."""
        cap = 0.0 if phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK) else 1.0
        self.balancer.on_release_status(
            ReleaseStatus(ReplyStatus.ACCEPTED, False, build, 0, phase, cap, age=1.0)
        )

    def send(self, key: int) -> tuple[int, int | None]:
        """Send a request; return its number and the build of its attempt, None without one."""
        self.balancer.now += 0.05
        self.balancer.actions = []
        number = next(self.numbers)
        self.balancer.on_request(Request(number, 0, 0, 2.0, key=key))
        attempts = [action for action in self.balancer.actions if isinstance(action, StartAttempt)]
        return number, self.builds[attempts[0].endpoint] if attempts else None

    def answer(self, number: int) -> None:
        """Answer a request's attempt."""
        self.balancer.on_attempt_result(number, AttemptResult(0, Outcome.SUCCESS, 0.01, True))

    def send_to(self, key: int, build: int) -> int:
        """Send requests of a key until one has an attempt at a build; return its number."""
        for _ in range(200):
            number, chosen = self.send(key)
            if chosen == build:
                return number
            self.balancer.on_client_disconnect(number)
        raise AssertionError(f"no attempt at build {build}")

    def builds_of(self, key: int, requests: int = 40) -> set[int | None]:
        """Send requests of a key, each answered at once; return the builds of their attempts."""
        found = set()
        for _ in range(requests):
            number, build = self.send(key)
            found.add(build)
            if build is None:
                self.balancer.on_client_disconnect(number)
            else:
                self.answer(number)
        return found


@pytest.mark.parametrize("first_news", [None, OLD_BUILD])
def test_key_answered_by_a_build_before_its_announcement_stays(first_news: int | None) -> None:
    """Guards against keys that go back to the earlier build, as news of the new one comes late (review/8)."""
    play = StickyPlay(OLD_BUILD, NEW_BUILD)
    if first_news is not None:
        play.tell(first_news, Phase.RELEASED)
    play.answer(play.send_to(1, NEW_BUILD))
    assert play.builds_of(1) == {NEW_BUILD}
    play.tell(NEW_BUILD, Phase.CANARY)
    assert play.builds_of(1) == {NEW_BUILD}
    play.tell(NEW_BUILD, Phase.CANARY)  # As a vote's reply, or the first message after a reload, tells it.
    play.tell(NEW_BUILD, Phase.RELEASED)
    assert play.builds_of(1) == {NEW_BUILD}


@pytest.mark.parametrize("is_announced", [False, True])
def test_late_answer_of_the_earlier_build_does_not_release_the_key(is_announced: bool) -> None:
    play = StickyPlay(OLD_BUILD, NEW_BUILD)
    play.tell(OLD_BUILD, Phase.RELEASED)
    at_old, at_new = play.send_to(1, OLD_BUILD), play.send_to(1, NEW_BUILD)
    play.answer(at_new)
    if is_announced:
        play.tell(NEW_BUILD, Phase.CANARY)
    play.answer(at_old)
    assert play.builds_of(1) == {NEW_BUILD}


@pytest.mark.parametrize("is_announced", [False, True])
def test_answer_binds_its_key_after_its_client_has_gone(is_announced: bool) -> None:
    """Guards against keys that go back, as the answer came when its client had left (review/9)."""
    play = StickyPlay(OLD_BUILD, NEW_BUILD)
    play.tell(OLD_BUILD, Phase.RELEASED)
    if is_announced:
        play.tell(NEW_BUILD, Phase.CANARY)
    for key in range(10):
        number = play.send_to(key, NEW_BUILD)
        play.balancer.on_client_disconnect(number)
        play.answer(number)
    assert [play.builds_of(key) for key in range(10)] == [{NEW_BUILD}] * 10


@pytest.mark.parametrize("phase", [Phase.ROLLING_BACK, Phase.ROLLED_BACK])
def test_build_that_goes_back_before_its_announcement_releases_its_keys(phase: Phase) -> None:
    play = StickyPlay(OLD_BUILD, NEW_BUILD)
    play.tell(OLD_BUILD, Phase.RELEASED)
    play.answer(play.send_to(1, NEW_BUILD))
    late = play.send_to(2, NEW_BUILD)
    play.tell(NEW_BUILD, phase)
    play.answer(late)
    assert play.builds_of(1) == play.builds_of(2) == {OLD_BUILD}


def test_build_that_goes_back_releases_no_key_of_a_later_one() -> None:
    later_build = NEW_BUILD + 1
    play = StickyPlay(OLD_BUILD, NEW_BUILD, later_build)
    play.tell(NEW_BUILD, Phase.CANARY)
    play.answer(play.send_to(1, later_build))
    play.answer(play.send_to(2, NEW_BUILD))
    play.tell(NEW_BUILD, Phase.ROLLING_BACK)
    assert play.builds_of(1) == {later_build}
    assert OLD_BUILD in play.builds_of(2)
    play.tell(later_build, Phase.CANARY)
    assert play.builds_of(1) == {later_build}


def test_build_that_is_withdrawn_without_news_releases_its_keys() -> None:
    """Guards against keys that no endpoint may ever serve, as their build is neither listed nor announced."""
    play = StickyPlay(OLD_BUILD, NEW_BUILD)
    play.tell(OLD_BUILD, Phase.RELEASED)
    play.answer(play.send_to(1, NEW_BUILD))
    play.list_endpoints(OLD_BUILD)
    play.balancer.on_timer(Tick())
    play.balancer.now += UNLISTED_BUILD_LIFETIME_S - 5.0
    play.balancer.on_timer(Tick())
    assert play.builds_of(1) == {None}  # News of the build may still come.
    play.balancer.now += 6.0
    play.balancer.on_timer(Tick())
    assert play.builds_of(1) == {OLD_BUILD}


def test_number_of_keys_bound_to_an_unannounced_build_is_bounded() -> None:
    play = StickyPlay(OLD_BUILD, NEW_BUILD)
    play.balancer.state.sticky_keys.max_keys = MAX_KEYS
    play.tell(OLD_BUILD, Phase.CANARY)
    in_flight = [play.send_to(key, NEW_BUILD) for key in range(2)]
    for key in range(2, 4 * MAX_KEYS):
        play.builds_of(key, 2)
    for number in in_flight:  # There was room for them when they were sent.
        play.answer(number)
    assert len(play.balancer.state.sticky_keys) <= MAX_KEYS + len(in_flight)
    play.tell(NEW_BUILD, Phase.CANARY)
    assert play.builds_of(0) == play.builds_of(1) == {NEW_BUILD}


class WaitingUpstream:
    """Keeps all attempts waiting for a connection, until the test takes the payload of one."""

    record = None

    def __init__(self) -> None:
        self.attempts: list[tuple[EndpointKey, Attempt]] = []

    def send(
        self,
        key: EndpointKey,
        name: str,
        payload: Callable[[], bytes | None],
        on_result: Callable[[EndpointReply], None],
        *,
        label: str = "",
    ) -> Attempt:
        self.attempts.append((key, Attempt(payload, on_result, False, label)))
        return self.attempts[-1][1]

    def retain(self, listed: set[EndpointKey]) -> None: ...


@pytest.mark.parametrize("waited", [0.001, 0.5])
async def test_attempt_that_waits_is_not_sent_after_its_key_was_bound(waited: float) -> None:
    """Guards against attempts at the earlier build that wait for a connection while their key is bound."""
    now = [100.0]
    settings = sticky_settings()
    dispatcher = Dispatcher(settings, 3, lambda: now[0], EndpointRegistry(settings), 1 << 20)  # type: ignore[arg-type]
    upstream = dispatcher.upstream = WaitingUpstream()  # type: ignore[assignment]
    for name in ("a", "b"):
        dispatcher.registry.index_of(name)
    dispatcher.on_endpoint_list([endpoint(0, OLD_BUILD), endpoint(1, NEW_BUILD)], True)
    classes = {"read": RequestClassRef(0, RetrySafety.IDEMPOTENT)}
    for number in range(30):
        arguments = (b"Q.ASK", b"k", b"%d" % number, b"c=read,d=2000")
        request = parse_request([memoryview(argument) for argument in arguments], classes, {})
        dispatcher.start_request(request, AnswerRecorder())
    by_build = {
        build: [a for key, a in upstream.attempts if key.build == build] for build in (OLD_BUILD, NEW_BUILD)
    }
    assert by_build[OLD_BUILD][0].payload()
    now[0] += waited
    by_build[NEW_BUILD][0].finish(EndpointReply(Outcome.SUCCESS, memoryview(b"v")))
    assert by_build[OLD_BUILD][1].payload() is None
    assert by_build[NEW_BUILD][1].payload()
