"""Player of scenario files that test balancers alone, without sockets.

A scenario starts with a line ``== title``. Its steps end with ``;`` or a line break. The instances of a
scenario receive each other's messages. A step that starts with ``I>`` is played at instance I, others at
instance 0.

    settings NAME=JSON ...        change settings; only before all other steps
    at 3.5, stall 2               let time pass up to 3.5 s and run due timers, or pass 2 s without timers
    endpoints E:BUILD ...         the complete endpoint list. After a build: zN for a zone, @START for a start
                                  time, draining or gone. E may be a range such as 21-26
    changes E:BUILD ...           changes of the endpoint list
    release BUILD/STAGE PHASE CAP the release service's status, at all instances
    vote_reply REPLY              the release service's reply to a vote
    request N CLASS TIMEOUT [KEY] a request of class read (idempotent), sign (keyed) or pay (non-idempotent)
    result N OUTCOME [SECONDS]    end the oldest outstanding attempt of request N, or with N.ATTEMPT that one
    checked E OUTCOME             the result of a health check of an endpoint
    burst COUNT EVERY CLASS BUILD=OUTCOME:SECONDS,...
                                  requests at an interval. Attempts end with the outcomes of their endpoint's
                                  build, which repeat in a cycle
    failing E ...                 in bursts, attempts at these endpoints fail
    failing every N E ...         in bursts, every Nth attempt at each of these endpoints fails
    silent E ...                  in bursts, attempts at these endpoints get no result
    fail E                        end all outstanding attempts at an endpoint with errors
    flood COUNT EVERY CLASS       requests at an interval that get no results
    waited BUILD starts | stays   check whether the build's outstanding attempts may still start, after they
                                  have waited for their connections
    isolate I, reconnect I        drop the messages from and to an instance, or deliver them again
    restart I                     restart an instance without its state
    bytes I DATA                  a message in hexadecimal digits from instance I
    each STEP ...                 play a step at each instance
    expect N attempt [E,...] | attempts K | rejected | failed | waits | cancelled K
                                  the state of request N; the endpoint of its last attempt is one of E
    expect vote VERDICT BUILD/STAGE | votes [>=] K | no vote [VERDICT]
                                  the last vote, the number of votes, or none
    expect health_check E | answer COUNT KIND | sent <= K bytes
    expect used <= | >= K         the number of endpoints that have had attempts
    expect share BUILD <= | >= K | endpoint E <= K
                                  the number of attempts at a build or at an endpoint
    expect idle | busy E COUNT    whether an endpoint gets at most one first attempt in a burst

>>> rows = parse_endpoints("7:42 z1 @3.5 gone".split())
>>> [(e.index, e.build, e.zone, e.started_at, e.condition.value) for e in rows]
[(7, 42, 1, 103.5, 'gone')]
>>> [e.index for e in parse_endpoints(["1:41", "5-7:42"])]
[1, 5, 6, 7]
"""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable, Sequence
from typing import NamedTuple

from gatebank import actions, events, peer_messages
from gatebank.balancer import Balancer
from tests.support.settings_factory import make_settings

START = 100.0
SEED = 7
RESTART_SEED = 99
FIRST_BURST_REQUEST = 10_000
CLASSES = ["read", "sign", "pay"]
TIMER_RESOLUTION_S = 0.001
SETTINGS = {
    "instance": 0, "instance_count": 1, "endpoint_list_mode": "push", "may_cancel": True, "max_attempts": 4,
    "may_message_peers": True, "may_advise_retry_after": True, "overload_multiple": 3.0,
    "overload_window": 1.5, "initial_capacity": 0.4, "warm_up": 5.0,
    "promote_votes": 1, "rollback_votes": 1, "vote_timeout": 1.0, "vote_lifetime": 6.0,
    "caps": [0.2, 0.6, 1.0], "cap_counted_by": "all", "exposure_window": 2.0, "spare_attempts": 2,
    "sticky_keys": False, "idempotent_only_stages": 0,
    "value_measured_by": "request", "tenants": [], "connection_idle_timeout": 1e9,
    "request_classes": [
        {
            "retry_safety": safety, "latency_objective": 1.0, "priority_weight": 1.0,
            "retry_group": "zone", "retry_window": 2.0,
        }
        for safety in events.RetrySafety
    ],
}  # fmt: skip


class DueTimer(NamedTuple):
    """A timer of an instance; ``serial`` keeps timers that are due at the same time in order."""

    at: float
    serial: int
    instance: int
    balancer: Balancer
    timer: actions.Timer


def parse_indices(arguments: Sequence[str]) -> list[int]:
    """Return the numbers of endpoints, some of which are given as ranges."""
    ranges = [argument.split("-") for argument in arguments]
    return [index for bounds in ranges for index in range(int(bounds[0]), int(bounds[-1]) + 1)]


def parse_endpoints(arguments: list[str]) -> list[events.Endpoint]:
    """Return the endpoints that a step lists."""
    starts = [at for at, argument in enumerate(arguments) if ":" in argument]
    endpoints = []
    for at, end in zip(starts, [*starts, len(arguments)][1:], strict=True):
        indices, build = arguments[at].split(":")
        attributes = arguments[at + 1 : end]
        zone = next((int(attribute[1:]) for attribute in attributes if attribute[0] == "z"), 0)
        started = next(
            (START + float(attribute[1:]) for attribute in attributes if attribute[0] == "@"), None
        )
        condition = events.Condition(
            next((attribute for attribute in attributes if attribute in ("draining", "gone")), "ready")
        )
        endpoints += [
            events.Endpoint(index, index, 0, zone, zone, int(build), started, condition, 1.0)
            for index in parse_indices([indices])
        ]
    return endpoints


class PolicyScenario:
    """Instances that share a clock, and a record of their actions for the expectations of a scenario."""

    def __init__(self) -> None:
        self.now = START
        self.timer_serial = 0
        self.burst_request = FIRST_BURST_REQUEST
        self.sent_bytes = 0
        self.settings = dict(SETTINGS)
        self.balancers: list[Balancer] = []
        self.timers: list[DueTimer] = []
        self.attempts: dict[int, list[int]] = {}  # the endpoints of each request's attempts
        self.ended: set[tuple[int, int]] = set()
        self.answers: dict[int, list[str]] = {}
        self.votes: list[actions.CastVote] = []
        self.health_checks: list[int] = []
        self.builds: dict[int, int] = {}  # keyed by endpoint
        self.isolated: set[int] = set()
        self.failing: set[int] = set()
        self.failing_every = 1
        self.burst_attempts: dict[int, int] = {}  # attempts in bursts at each failing endpoint
        self.silent: set[int] = set()

    def play(self, step: str) -> None:
        """Play one step."""
        instance = 0
        arguments = step.split()
        if arguments[0].endswith(">"):
            instance = int(arguments[0][:-1])
            arguments = arguments[1:]
        if arguments[0] != "settings" and not self.balancers:
            self.start_instances()
        getattr(self, "do_" + arguments[0])(instance, *arguments[1:])
        self.execute_actions()

    def start_instances(self) -> None:
        for number in range(self.settings["instance_count"]):
            settings = make_settings(self.settings | {"instance": number})
            self.balancers.append(Balancer(settings, SEED + number, START))
        self.execute_actions()

    def execute_actions(self) -> None:
        for instance, balancer in enumerate(self.balancers):
            balancer.now = self.now
            while balancer.actions:
                self.do_action(instance, balancer, balancer.actions.pop(0))

    def do_action(self, instance: int, balancer: Balancer, action: actions.Action) -> None:
        match action:
            case actions.StartAttempt(number, endpoint):
                self.attempts.setdefault(number, []).append(endpoint)
            case actions.StartTimer(at, timer):
                self.timer_serial += 1
                at = max(at, self.now + TIMER_RESOLUTION_S)
                heapq.heappush(self.timers, DueTimer(at, self.timer_serial, instance, balancer, timer))
            case actions.RejectRequest(number):
                self.answers.setdefault(number, []).append("rejected")
            case actions.FailRequest(number):
                self.answers.setdefault(number, []).append("failed")
            case actions.CancelAttempt(number):
                self.answers.setdefault(number, []).append("cancelled")
            case actions.CastVote():
                self.votes.append(action)
            case actions.CheckHealth(endpoint):
                self.health_checks.append(endpoint)
            case actions.SendToPeer(peer, message):
                self.deliver(instance, peer, message)

    def deliver(self, sender: int, peer: int | None, message: peer_messages.PeerMessage) -> None:
        data = peer_messages.encode(message)
        assert len(data) <= 256, "a message over 256 bytes"
        self.sent_bytes += len(data)
        for number, receiver in enumerate(self.balancers):
            if number != sender and peer in (None, number) and not self.isolated & {sender, number}:
                receiver.now = self.now
                receiver.on_peer_message(sender, peer_messages.decode(data))

    # Time.

    def do_at(self, _: int, when: str) -> None:
        until = START + float(when)
        while self.timers and self.timers[0].at <= until:
            due = heapq.heappop(self.timers)
            if self.balancers[due.instance] is due.balancer:
                self.now = max(self.now, due.at)
                due.balancer.now = self.now
                due.balancer.on_timer(due.timer)
                self.execute_actions()
        self.now = until
        self.execute_actions()

    def do_stall(self, _: int, seconds: str) -> None:
        self.now += float(seconds)

    # Settings, endpoints, releases and messages.

    def do_settings(self, _: int, *arguments: str) -> None:
        for name, value in (argument.split("=", 1) for argument in arguments):
            assert name in self.settings, f"no such setting: {name}"
            self.settings[name] = json.loads(value)

    def do_endpoints(self, _: int, *arguments: str, complete: bool = True) -> None:
        endpoints = parse_endpoints(list(arguments))
        self.builds |= {endpoint.index: endpoint.build for endpoint in endpoints}
        for balancer in self.balancers:
            balancer.on_endpoint_list(endpoints, complete)

    def do_changes(self, instance: int, *arguments: str) -> None:
        self.do_endpoints(instance, *arguments, complete=False)

    def do_release(self, _: int, place: str, phase: str, cap: str) -> None:
        build, stage = map(int, place.split("/"))
        reply = events.ReplyStatus.ACCEPTED
        status = events.ReleaseStatus(reply, False, build, stage, events.Phase[phase.upper()], float(cap))
        for balancer in self.balancers:
            balancer.on_release_status(status)

    def do_vote_reply(self, instance: int, reply: str) -> None:
        status = events.ReleaseStatus(events.ReplyStatus[reply.upper()], True)
        self.balancers[instance].on_release_status(status)

    def do_isolate(self, _: int, instance: str) -> None:
        self.isolated.add(int(instance))

    def do_reconnect(self, _: int, instance: str) -> None:
        self.isolated.discard(int(instance))

    def do_restart(self, _: int, instance: str) -> None:
        settings = make_settings(self.settings | {"instance": int(instance)})
        self.balancers[int(instance)] = Balancer(settings, RESTART_SEED, self.now)

    def do_bytes(self, instance: int, sender: str, data: str = "") -> None:
        if message := peer_messages.decode(bytes.fromhex(data)):
            self.balancers[instance].on_peer_message(int(sender), message)

    def do_each(self, _: int, step: str, *arguments: str) -> None:
        for instance in range(len(self.balancers)):
            getattr(self, "do_" + step)(instance, *arguments)

    # Requests.

    def do_request(
        self, instance: int, number: str, request_class: str, timeout: str, key: str | None = None
    ) -> None:
        bound_key = None if key is None else int(key)
        class_index = CLASSES.index(request_class)
        request = events.Request(int(number), class_index, 0, float(timeout), key=bound_key)
        self.balancers[instance].on_request(request)
        self.execute_actions()

    def do_result(self, instance: int, attempt_name: str, outcome: str, seconds: str = "0.1") -> None:
        number, _, attempt = attempt_name.partition(".")
        index = int(attempt or self.outstanding(int(number))[0])
        self.end(instance, int(number), index, outcome, float(seconds))

    def end(self, instance: int, number: int, attempt: int, outcome: str, seconds: float) -> None:
        self.ended.add((number, attempt))
        done = outcome == "success" or number in self.answers
        result = events.AttemptResult(attempt, events.Outcome[outcome.upper()], seconds, done)
        self.balancers[instance].on_attempt_result(number, result)
        self.execute_actions()

    def outstanding(self, number: int) -> list[int]:
        count = len(self.attempts.get(number, ()))
        return [attempt for attempt in range(count) if (number, attempt) not in self.ended]

    def do_checked(self, instance: int, endpoint: str, outcome: str) -> None:
        self.balancers[instance].on_health_check_result(int(endpoint), events.Outcome[outcome.upper()])

    def do_flood(self, instance: int, count: str, every: str, request_class: str) -> None:
        for _ in range(int(count)):
            self.do_at(instance, str(self.now + float(every) - START))
            self.burst_request += 1
            self.do_request(instance, str(self.burst_request), request_class, "3")

    def do_burst(self, instance: int, count: str, every: str, request_class: str, *by_build: str) -> None:
        outcomes_by_build = {
            int(build): outcomes.split(",")
            for build, outcomes in (argument.split("=") for argument in by_build)
        }
        for _ in range(int(count)):
            self.do_flood(instance, "1", every, request_class)
            number = self.burst_request
            while answered := [
                attempt
                for attempt in self.outstanding(number)
                if self.attempts[number][attempt] not in self.silent
            ]:
                endpoint = self.attempts[number][answered[0]]
                outcomes = outcomes_by_build[self.builds[endpoint]]
                outcomes.append(outcomes.pop(0))
                outcome, seconds = outcomes[-1].split(":")
                outcome = "error" if self.fails(endpoint) else outcome
                self.end(instance, number, answered[0], outcome, float(seconds))

    def fails(self, endpoint: int) -> bool:
        if endpoint not in self.failing:
            return False
        # The counts of the endpoints start at different numbers, so that the endpoints do not fail together.
        self.burst_attempts[endpoint] = self.burst_attempts.get(endpoint, endpoint) + 1
        return self.burst_attempts[endpoint] % self.failing_every == 0

    def do_waited(self, instance: int, build: str, expected: str) -> None:
        of_build = {endpoint for endpoint, its_build in self.builds.items() if its_build == int(build)}
        rows = [
            (number, attempt)
            for number, endpoints in self.attempts.items()
            for attempt in self.outstanding(number)
            if endpoints[attempt] in of_build
        ]
        self.balancers[instance].now = self.now
        found = {self.balancers[instance].may_start(number, attempt) for number, attempt in rows}
        assert found == {expected == "starts"}, (rows, found)

    def do_fail(self, instance: int, endpoint: str) -> None:
        for number in list(self.attempts):
            for attempt in self.outstanding(number):
                if self.attempts[number][attempt] == int(endpoint):
                    self.end(instance, number, attempt, "error", 0.1)

    def do_failing(self, _: int, *endpoints: str) -> None:
        every = endpoints[:1] == ("every",)
        self.failing_every = int(endpoints[1]) if every else 1
        self.failing = set(parse_indices(endpoints[2 * every :]))

    def do_silent(self, _: int, *endpoints: str) -> None:
        self.silent = set(map(int, endpoints))

    # Expectations.

    def do_expect(self, instance: int, *arguments: str) -> None:
        if arguments[0].isdigit():
            self.expect_of_request(int(arguments[0]), *arguments[1:])
        elif arguments[0] in ("idle", "busy"):
            self.expect_use_in_burst(instance, *arguments)
        elif arguments[0] in ("no", "vote", "votes"):
            self.expect_votes(*arguments)
        else:
            self.expect_count(*arguments)

    def expect_of_request(self, number: int, *arguments: str) -> None:
        answers = self.answers.get(number, [])
        attempts = self.attempts.get(number, [])
        match arguments:
            case ("attempt",):
                assert attempts
            case ("attempt", endpoints):
                assert str(attempts[-1]) in endpoints.split(","), attempts[-1]
            case ("attempts", count):
                assert len(attempts) == int(count), attempts
            case ("cancelled", count):
                assert answers.count("cancelled") == int(count), self.answers
            case ("waits",):
                assert number not in self.answers, self.answers
            case (("rejected" | "failed") as answer,):
                assert answers[:1] == [answer], answers
            case _:
                raise ValueError(f"no such expectation: {number} {' '.join(arguments)}")

    def expect_use_in_burst(self, instance: int, use: str, endpoint: str, count: str) -> None:
        outcomes_by_build = [f"{build}=success:0.1" for build in self.builds.values()]
        self.do_burst(instance, count, "0.01", "read", *outcomes_by_build)
        before = self.burst_request - int(count)
        firsts = [endpoints[0] for number, endpoints in self.attempts.items() if number > before]
        assert (firsts.count(int(endpoint)) <= 1) == (use == "idle"), firsts

    def expect_votes(self, *arguments: str) -> None:
        match arguments:
            case ("no", "vote"):
                assert not self.votes, self.votes
            case ("no", "vote", verdict):
                assert verdict not in [vote.verdict.name.lower() for vote in self.votes], self.votes
            case ("vote", verdict, place):
                build, stage = map(int, place.split("/"))
                expected = actions.CastVote(build, stage, events.Verdict[verdict.upper()])
                assert self.votes[-1:] == [expected], self.votes
                self.votes.clear()
            case ("votes", ">=", count):
                assert len(self.votes) >= int(count), len(self.votes)
            case ("votes", count):
                assert len(self.votes) == int(count), self.votes
            case _:
                raise ValueError(f"no such expectation: {' '.join(arguments)}")

    def expect_count(self, *arguments: str) -> None:
        used = [endpoint for endpoints in self.attempts.values() for endpoint in endpoints]
        match arguments:
            case ("health_check", endpoint):
                assert int(endpoint) in self.health_checks, self.health_checks
            case ("answer", count, kind):
                numbers = range(self.burst_request - int(count), self.burst_request + 1)
                last = [self.answers.get(number) for number in numbers]
                assert [kind] in last, last
            case ("sent", "<=", count, "bytes"):
                assert self.sent_bytes <= int(count), self.sent_bytes
            case ("endpoint", endpoint, "<=", count):
                assert used.count(int(endpoint)) <= int(count), used.count(int(endpoint))
            case ("share", build, sign, count):
                self.compare(sum(self.builds[index] == int(build) for index in used), sign, int(count))
            case ("used", sign, count):
                self.compare(len(set(used)), sign, int(count))
            case _:
                raise ValueError(f"no such expectation: {' '.join(arguments)}")

    @staticmethod
    def compare(found: int, sign: str, expected: int) -> None:
        holds: dict[str, Callable[[], bool]] = {
            "<=": lambda: found <= expected,
            ">=": lambda: found >= expected,
        }
        assert holds[sign](), (found, sign, expected)


def play_scenario(title: str, text: str) -> None:
    """Play a scenario.

    Raises:
        AssertionError: A step failed; the message names the step.
    """
    scenario = PolicyScenario()
    for step in text.replace("\n", ";").split(";"):
        if not step.strip():
            continue
        try:
            scenario.play(step)
        except Exception as error:
            raise AssertionError(f"{title}: {step.strip()}: {error!r}") from error
