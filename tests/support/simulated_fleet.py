"""Small closed-loop fleet that plays seeded sessions against the simulator adapter, repeatable to the byte.

The adapter (the deploy file's ``sim`` command) is a separate process. It reads events as JSON batches, one
per line, and its replies decide what happens next. The fleet draws from its own seeded generator: the same
decisions always give the same transcript, and a changed decision changes the transcript from there on.
"""

from __future__ import annotations

import heapq
import json
import shlex
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from tests.support.recorded_sessions import CLASSES, ROUND_MS, STREAMED_CLASS, Session, settings_of

ROOT = Path(__file__).parents[2]
FIRST_MS = 5000.0
BASE_BUILD = 41

# Outcomes other than success, each with the share of attempts that end with it.
FAILURE_SHARES = (
    ("errored", 0.02),
    ("saturated", 0.02),
    ("refused_conn", 0.01),
    ("severed", 0.01),
    ("superseded", 0.002),
)
# Replies to a vote other than acceptance, each with its share.
VOTE_REPLIES = (("superseded", 0.06), ("saturated", 0.06), ("errored", 0.06), ("overdue", 0.06))


@dataclass(slots=True)
class Endpoint:
    """An endpoint of the fleet; ``hangs`` means that it answers no request."""

    name: str
    machine_kind: int
    zone: int
    cell: int
    build: int
    launched_ms: float | None
    health: str = "ready"
    slowness: float = 1.0
    errors: float = 0.0
    hangs: bool = False


@dataclass(slots=True)
class Request:
    """A request; ``concluded`` means that it has its final answer or its client has left."""

    instance: int
    number: int
    class_index: int
    deadline_ms: float
    concluded: bool = False
    attempts: list[bool] = field(default_factory=list)  # for each attempt, whether it is outstanding


class Adapter:
    """The adapter's process. It writes one reply line for each batch line."""

    def __init__(self) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
        arguments = shlex.split(command.removeprefix("exec "))
        self.process = subprocess.Popen(arguments, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def __enter__(self) -> Adapter:
        return self

    def __exit__(self, *_: object) -> None:
        assert self.process.stdin and self.process.stdout
        self.process.stdin.close()
        status = self.process.wait(20)
        self.process.stdout.close()
        assert status == 0, f"the adapter exited with status {status}"

    def exchange(self, batch: dict[str, Any]) -> bytes:
        """Send a batch and return the adapter's reply line, byte for byte and without its end of line."""
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write(json.dumps(batch, separators=(",", ":")).encode() + b"\n")
        self.process.stdin.flush()
        reply = self.process.stdout.readline()
        assert reply.endswith(b"\n"), f"no reply to the batch at {batch['t-ms']} ms"
        return reply[:-1]


class Fleet:
    """Endpoints, discovery, release service and clients of one session, driven by the adapter's replies."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.random = Random(session.seed).random
        self.now_ms = FIRST_MS
        self.queue: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self.serial = 0
        self.endpoints = [self.new_endpoint(BASE_BUILD, None) for _ in range(session.endpoints)]
        self.requests: dict[str, Request] = {}
        self.request_count = 0
        # By instance; odd while the instance runs. Start and kill each add 1, which voids the events of an
        # earlier incarnation.
        self.incarnations = [0] * session.instances
        self.watching = [session.settings.get("registry-mode") != "ask"] * session.instances
        self.known_names = [{endpoint.name for endpoint in self.endpoints} for _ in range(session.instances)]
        self.revision = 1
        self.list_number = 0
        self.build = BASE_BUILD
        self.stage = 0
        self.phase = 2
        self.phase_since_ms = FIRST_MS
        self.votes: dict[int, tuple[int, int]] = {}
        self.batch: dict[int, list[dict[str, Any]]] = {}
        self.slow_period = False

    # Schedule.

    def schedule(self, delay_ms: float, kind: str, *details: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now_ms + delay_ms, self.serial, kind, details))

    def add_event(self, instance: int, msg: str, **fields: Any) -> None:
        """Add an event to the batch. Fields that are None are left out, as on the wire."""
        event = {"msg": msg} | {
            name.replace("_", "-"): value for name, value in fields.items() if value is not None
        }
        self.batch.setdefault(instance, []).append(event)

    def play(self, adapter: Adapter) -> list[bytes]:
        """Play the whole session and return the adapter's replies in order."""
        replies = []
        self.schedule_recurring()
        end_ms = FIRST_MS + self.session.seconds * 1000
        while self.queue and self.queue[0][0] < end_ms:
            due_ms = self.queue[0][0]
            self.now_ms = max(self.now_ms, -(-due_ms // ROUND_MS) * ROUND_MS)
            while self.queue and self.queue[0][0] <= self.now_ms:
                _, _, kind, details = heapq.heappop(self.queue)
                getattr(self, "at_" + kind)(*details)
            if not self.batch:
                continue
            parts = [{"marshal": f"marshal-{i}", "msgs": msgs} for i, msgs in sorted(self.batch.items())]
            self.batch = {}
            reply = adapter.exchange({"t-ms": self.now_ms, "parts": parts})
            replies.append(reply)
            self.execute_actions(json.loads(reply))
        return replies

    def schedule_recurring(self) -> None:
        for instance in range(self.session.instances):
            self.schedule(0.0, "start", instance)
        self.schedule(1000.0, "arrival")
        self.schedule(3500.0, "fault")
        self.schedule(6000.0, "new_release")
        self.schedule(2000.0, "scorecard")
        self.schedule(4000.0, "status")
        for number in range(self.session.stalls):
            self.schedule(9000.0 + 6100.0 * number, "stall")
        for number in range(self.session.restarts):
            self.schedule(7000.0 + 4100.0 * number, "restart", number % self.session.instances)

    # Events that the fleet causes by itself.

    def new_endpoint(self, build: int, launched_ms: float | None) -> Endpoint:
        self.serial += 1
        number = self.serial
        errors = self.session.bad_build_errors if build % 2 == 0 else 0.0
        slowness = self.session.bad_build_slowdown if build % 2 == 0 else 1.0
        return Endpoint(
            f"node-{number:03d}",
            number % 2,
            number % 2,
            number % 4,
            build,
            launched_ms,
            "ready",
            slowness,
            errors,
        )

    def at_start(self, instance: int) -> None:
        self.incarnations[instance] += 1
        seed = int(self.random() * 2**48)
        self.add_event(instance, "PowerOn", init_seed=seed, boot_info=settings_of(self.session, instance))
        self.add_list(instance, "cached", self.endpoints)
        self.add_status(instance, "completed", 0)
        self.watching[instance] = self.session.settings.get("registry-mode") != "ask"

    def at_stall(self) -> None:
        self.now_ms += 1600.0

    def at_restart(self, instance: int) -> None:
        for request in self.requests.values():
            request.concluded = request.concluded or request.instance == instance
        self.add_event(instance, "Kill")
        self.incarnations[instance] += 1
        self.schedule(0.0 if self.random() < 0.5 else 700.0, "start", instance)

    def is_current(self, instance: int, incarnation: int) -> bool:
        return self.incarnations[instance] == incarnation

    def at_arrival(self) -> None:
        self.schedule(2000.0 * self.random() / self.session.rate, "arrival")
        instance = int(self.random() ** 1.5 * self.session.instances)
        if self.incarnations[instance] == 0 or self.incarnations[instance] % 2 == 0:
            return  # the instance was killed and has not been started again
        self.request_count += 1
        call = f"{self.request_count:08x}-0000-4000-8000-000000000000"
        class_index = int(self.random() * len(CLASSES))
        left_ms = CLASSES[class_index].deadline_ms * (0.1 + 0.9 * self.random())
        request = Request(instance, self.request_count, class_index, self.now_ms + left_ms)
        self.requests[call] = request
        tenants = len(settings_of(self.session, instance)["accounts"])
        self.add_event(
            instance,
            "Order",
            call=call,
            lane=class_index,
            left_ms=left_ms,
            cost_guess_ms=CLASSES[class_index].usual_work_ms if self.random() < 0.5 else None,
            client_group=int(self.random() * tenants) if tenants else None,
            entity=int(self.random() * 40) if self.random() < 0.5 else None,
            repeat=True if self.random() < 0.15 else None,
        )
        if self.random() < 0.03:
            self.schedule(left_ms * self.random(), "disconnect", call, self.incarnations[instance])
        self.schedule(left_ms + 20.0, "disconnect", call, self.incarnations[instance])

    def at_disconnect(self, call: str, incarnation: int) -> None:
        request = self.requests[call]
        if not request.concluded and self.is_current(request.instance, incarnation):
            request.concluded = True
            self.add_event(request.instance, "CancelledByClient", call=call)

    def at_fault(self) -> None:
        """Change one endpoint at random, or the latency of all.

        The endpoint becomes slow, failing, unresponsive or healthy, drains or restarts, or another endpoint
        of its build is added. Otherwise, all endpoints become slow, or fast again.
        """
        self.schedule(500.0 + 1500.0 * self.random(), "fault")
        chance = self.random()
        endpoint = self.endpoints[int(self.random() * len(self.endpoints))]
        if chance < 0.2:
            endpoint.slowness = 1.0 + 5.0 * self.random()
        elif chance < 0.35:
            endpoint.errors = 0.7
        elif chance < 0.45:
            endpoint.hangs = True
        elif chance < 0.65:
            endpoint.slowness = 1.0
            endpoint.errors = 0.0
            endpoint.hangs = False
        elif chance < 0.75 and endpoint.health == "ready" and len(self.endpoints) > 3:
            endpoint.health = "draining"
            self.publish_change([endpoint])
            self.schedule(900.0, "removal", endpoint)
        elif chance < 0.85:
            endpoint.launched_ms = self.now_ms
            self.publish_change([endpoint])
        elif chance < 0.95:
            added = self.new_endpoint(endpoint.build, self.now_ms)
            self.endpoints.append(added)
            self.publish_change([added])
        else:
            self.slow_period = not self.slow_period

    def at_removal(self, endpoint: Endpoint) -> None:
        if endpoint in self.endpoints and len(self.endpoints) > 2:
            endpoint.health = "gone"
            self.endpoints.remove(endpoint)
            self.publish_change([endpoint])

    # Discovery.

    def list_entry(self, endpoint: Endpoint) -> dict[str, Any]:
        row = {
            "node": endpoint.name,
            "generation-hw": endpoint.machine_kind,
            "pack": endpoint.cell,
            "region-part": endpoint.zone,
            "rating": 1,
            "image": endpoint.build,
            "health": endpoint.health,
        }
        return row | ({"launched-ms": endpoint.launched_ms} if endpoint.launched_ms else {})

    def add_list(self, instance: int, mode: str, endpoints: list[Endpoint]) -> None:
        self.list_number = (self.list_number + 1) % 16
        hosts = [self.list_entry(endpoint) for endpoint in endpoints]
        self.add_event(instance, "List", list=self.list_number, hosts=hosts)
        self.add_event(instance, "Sync", mode=mode, revision=self.revision, list=self.list_number)

    def publish_change(self, endpoints: list[Endpoint]) -> None:
        self.revision += 1
        for instance in range(self.session.instances):
            if not self.watching[instance]:
                continue
            delay_ms = 5.0 + 200.0 * self.random()
            self.schedule(delay_ms, "list", instance, self.incarnations[instance], list(endpoints))

    def at_list(self, instance: int, incarnation: int, endpoints: list[Endpoint]) -> None:
        if self.is_current(instance, incarnation) and self.incarnations[instance] % 2 == 1:
            whole = self.random() < 0.2
            self.add_list(
                instance, "full" if whole else "delta", list(self.endpoints) if whole else endpoints
            )

    def at_watch(self, instance: int, incarnation: int) -> None:
        if not self.is_current(instance, incarnation):
            return
        if self.random() < 0.6:
            self.watching[instance] = False
            self.add_event(instance, "Sync", mode="failed", revision=self.revision, list=0)
        else:
            self.watching[instance] = True
            self.add_list(instance, "full", list(self.endpoints))

    # Releases.

    def at_new_release(self) -> None:
        self.schedule(9000.0 + 3000.0 * self.random(), "new_release")
        self.build += 1
        self.enter_phase(0, 0)
        self.add_endpoints(1 + len(self.endpoints) // 10)

    def add_endpoints(self, count: int) -> None:
        added = [self.new_endpoint(self.build, self.now_ms) for _ in range(count)]
        self.endpoints += added
        self.publish_change(added)

    def enter_phase(self, stage: int, phase: int) -> None:
        self.stage = stage
        self.phase = phase
        self.phase_since_ms = self.now_ms
        self.votes.clear()
        for instance in range(self.session.instances):
            self.schedule(
                10.0 + 300.0 * self.random(), "instance_status", instance, self.incarnations[instance]
            )

    def at_instance_status(self, instance: int, incarnation: int) -> None:
        if self.is_current(instance, incarnation) and self.incarnations[instance] % 2 == 1:
            self.add_status(instance, "completed", 0)

    def at_status(self) -> None:
        self.schedule(6000.0, "status")
        for instance in range(self.session.instances):
            self.at_instance_status(instance, self.incarnations[instance])

    def add_status(self, instance: int, answer: str, how: int) -> None:
        caps = settings_of(self.session, instance)["domain"]["caps"]
        caps_by_phase = {0: caps[min(self.stage, 2)], 1: 0.0, 2: 1.0, 3: 0.0}
        known = answer == "completed"
        self.add_event(
            instance,
            "RolloutState",
            rc=answer,
            how=how or None,
            rel=self.build if known else None,
            wave=self.stage if known else None,
            where_at=self.phase if known else None,
            most_share=caps_by_phase[self.phase] if known else None,
            lateness_ms=self.now_ms - self.phase_since_ms if known else None,
        )

    def at_vote(self, instance: int, incarnation: int, build: int, stage: int, verdict: int) -> None:
        if not self.is_current(instance, incarnation):
            return
        chance = self.random()
        answer = "completed"
        for name, share in VOTE_REPLIES:
            chance -= share
            if chance < 0:
                answer = name
                break
        if build != self.build or (verdict == 1 and (stage != self.stage or self.phase != 0)):
            answer = "superseded"
        if answer in ("completed", "overdue"):
            self.votes[instance] = (verdict, stage)
        self.add_status(instance, answer, 1)
        self.count_votes(instance)

    def count_votes(self, instance: int) -> None:
        domain = settings_of(self.session, instance)["domain"]
        forward = sum(vote[0] == 1 for vote in self.votes.values())
        back = sum(vote[0] == 3 for vote in self.votes.values())
        if back >= domain["back-votes"] and self.phase in (0, 2):
            self.enter_phase(self.stage, 1)
            self.schedule(1500.0, "withdrawn", self.build)
        elif self.phase == 0 and forward >= domain["ayes-needed"]:
            baked = self.now_ms - self.phase_since_ms >= domain["bake-ms"]
            if baked and self.stage == 2:
                self.enter_phase(2, 2)
            elif baked:
                self.enter_phase(self.stage + 1, 0)
                self.add_endpoints(1 + len(self.endpoints) // 5)

    def at_withdrawn(self, build: int) -> None:
        if build == self.build and self.phase == 1:
            self.enter_phase(self.stage, 3)
            gone = [endpoint for endpoint in self.endpoints if endpoint.build == build]
            for endpoint in gone:
                if len(self.endpoints) > 2:
                    endpoint.health = "gone"
                    self.endpoints.remove(endpoint)
            self.publish_change([endpoint for endpoint in gone if endpoint.health == "gone"])

    def at_scorecard(self) -> None:
        self.schedule(2000.0, "scorecard")
        for instance in range(self.session.instances):
            if self.incarnations[instance] % 2 == 1:
                count = 10 + int(50 * self.random())
                self.add_event(
                    instance, "Scorecard", rel=self.build, lane=0, count=count, bad=count // 9, rtt_ms=40.5
                )

    # Actions of the instances.

    def execute_actions(self, reply: dict[str, Any]) -> None:
        for part in reply["parts"]:
            instance = int(part["marshal"].removeprefix("marshal-"))
            for action in part["outbox"]:
                assert action["msg"] != "Bug", action
                getattr(self, "do_" + action["msg"])(instance, action)

    def do_Arm(self, instance: int, action: dict[str, Any]) -> None:
        delay_ms = max(ROUND_MS, action["at-ms"] - self.now_ms)
        self.schedule(delay_ms, "timer", instance, self.incarnations[instance], action["name"])

    def at_timer(self, instance: int, incarnation: int, name: str) -> None:
        if self.is_current(instance, incarnation):
            self.add_event(instance, "Fired", name=name)

    def do_Route(self, instance: int, action: dict[str, Any]) -> None:
        call = action["call"]
        request = self.requests[call]
        attempt = len(request.attempts)
        request.attempts.append(True)
        endpoint = next((endpoint for endpoint in self.endpoints if endpoint.name == action["node"]), None)
        if endpoint is None:
            self.schedule(
                3.0,
                "ended",
                call,
                attempt,
                self.incarnations[instance],
                "refused_conn",
                self.now_ms,
                action["node"],
            )
            return
        work_ms = (
            CLASSES[request.class_index].usual_work_ms
            * endpoint.slowness
            * (4.0 if self.slow_period else 1.0)
        )
        if request.class_index == self.session.held_up_class and self.now_ms > FIRST_MS + 12_000:
            work_ms *= 25.0
        took_ms = work_ms * (0.4 + 1.2 * self.random())
        outcome = self.draw_outcome(endpoint)
        if outcome in ("saturated", "refused_conn", "superseded"):
            took_ms = 2.0 + 20.0 * self.random()
        if endpoint.hangs or self.now_ms + took_ms >= request.deadline_ms:
            took_ms = request.deadline_ms - self.now_ms
            outcome = "overdue"
        if CLASSES[request.class_index].name == STREAMED_CLASS and outcome == "completed":
            self.schedule(
                took_ms / 2,
                "first_data",
                call,
                attempt,
                self.incarnations[instance],
                self.now_ms,
                endpoint.name,
            )
        self.schedule(
            took_ms, "ended", call, attempt, self.incarnations[instance], outcome, self.now_ms, endpoint.name
        )

    def draw_outcome(self, endpoint: Endpoint) -> str:
        if self.random() < endpoint.errors:
            return "errored"
        chance = self.random()
        for name, share in FAILURE_SHARES:
            chance -= share
            if chance < 0:
                return name
        return "completed"

    def at_first_data(self, call: str, attempt: int, incarnation: int, sent_ms: float, endpoint: str) -> None:
        request = self.requests[call]
        if (
            self.is_current(request.instance, incarnation)
            and request.attempts[attempt]
            and not request.concluded
        ):
            rtt_ms = self.now_ms - sent_ms
            self.add_event(
                request.instance, "Established", call=call, node=endpoint, rtt_ms=rtt_ms, round_no=attempt
            )

    def at_ended(
        self, call: str, attempt: int, incarnation: int, outcome: str, sent_ms: float, endpoint: str
    ) -> None:
        request = self.requests[call]
        if not self.is_current(request.instance, incarnation) or not request.attempts[attempt]:
            return
        request.attempts[attempt] = False
        request.concluded = request.concluded or outcome == "completed"
        self.add_event(
            request.instance,
            "ClosedAttempt",
            call=call,
            round_no=attempt,
            node=endpoint,
            rc=outcome,
            rtt_ms=self.now_ms - sent_ms,
            final=request.concluded or None,
            pressure=[int(9 * self.random()), 0.5] if self.random() < 0.5 else None,
        )
        if outcome == "completed" and self.random() < 0.01:
            self.add_event(
                request.instance, "Returned", node=endpoint, lane=request.class_index, lateness_ms=80.0
            )

    def do_AbortAttempt(self, instance: int, action: dict[str, Any]) -> None:
        details = (
            action["call"],
            action["round-no"],
            self.incarnations[instance],
            "recalled",
            self.now_ms - 40.0,
            "node-001",
        )
        self.schedule(ROUND_MS, "ended", *details)

    def do_OverloadReply(self, instance: int, action: dict[str, Any]) -> None:
        self.requests[action["call"]].concluded = True

    def do_Surrender(self, instance: int, action: dict[str, Any]) -> None:
        self.requests[action["call"]].concluded = True

    def do_AskLoad(self, instance: int, action: dict[str, Any]) -> None:
        endpoint = next((endpoint for endpoint in self.endpoints if endpoint.name == action["node"]), None)
        well = endpoint is not None and not endpoint.hangs and self.random() >= endpoint.errors
        outcome = "completed" if well else "overdue"
        self.schedule(30.0, "health_check", instance, self.incarnations[instance], action["node"], outcome)

    def at_health_check(self, instance: int, incarnation: int, endpoint: str, outcome: str) -> None:
        if self.is_current(instance, incarnation):
            self.add_event(instance, "Pong", node=endpoint, rc=outcome, rtt_ms=30.0, pressure=[1, 0.25])

    def do_BroadcastTo(self, instance: int, action: dict[str, Any]) -> None:
        receivers = range(self.session.instances) if action["whom"] is None else [action["whom"]]
        for receiver in receivers:
            lost = self.random() < 0.03
            if receiver != instance and not lost:
                delay_ms = 5.0 + 60.0 * self.random()
                self.schedule(
                    delay_ms, "peer", receiver, self.incarnations[receiver], instance, action["data"]
                )

    def at_peer(self, instance: int, incarnation: int, sender: int, data: str) -> None:
        if self.is_current(instance, incarnation) and self.incarnations[instance] % 2 == 1:
            self.add_event(instance, "NeighbourSays", who=sender, data=data)

    def do_Opinion(self, instance: int, action: dict[str, Any]) -> None:
        details = (instance, self.incarnations[instance], action["rel"], action["wave"], action["how"])
        self.schedule(20.0 + 100.0 * self.random(), "vote", *details)

    def do_Tail(self, instance: int, action: dict[str, Any]) -> None:
        self.schedule(15.0 + 50.0 * self.random(), "watch", instance, self.incarnations[instance])

    def do_JournalLine(self, instance: int, action: dict[str, Any]) -> None:
        """Do nothing: log lines are part of the recorded replies only."""
