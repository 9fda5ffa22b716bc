"""A small closed-loop fleet that plays seeded sessions against the simulator adapter, repeatable to the byte.

The adapter (the deploy file's ``sim`` command) is a separate process: events go in as JSON batches, a line
each, and its replies decide what happens next. The fleet draws from its own seeded generator, so that the
same decisions always give the same transcript, and one changed decision gives another one from there on.
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

OUTCOMES = (
    ("errored", 0.02),
    ("saturated", 0.02),
    ("refused_conn", 0.01),
    ("severed", 0.01),
    ("superseded", 0.002),
)  # with the share of attempts that ends so
VOTE_ANSWERS = (("superseded", 0.06), ("saturated", 0.06), ("errored", 0.06), ("overdue", 0.06))


@dataclass(slots=True)
class Node:
    name: str
    kind: int
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
    instance: int
    number: int
    class_index: int
    deadline_ms: float
    concluded: bool = False
    attempts: list[bool] = field(default_factory=list)  # True while outstanding


class Adapter:
    """The adapter's process: one reply line for each batch line."""

    def __init__(self) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
        words = shlex.split(command.removeprefix("exec "))
        self.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def __enter__(self) -> Adapter:
        return self

    def __exit__(self, *_: object) -> None:
        assert self.process.stdin and self.process.stdout
        self.process.stdin.close()
        status = self.process.wait(20)
        self.process.stdout.close()
        assert status == 0, f"the adapter ended with status {status}"

    def exchange(self, batch: dict[str, Any]) -> bytes:
        """Send one batch; its reply as the adapter wrote it, without the end of the line."""
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
        self.nodes = [self.new_node(BASE_BUILD, None) for _ in range(session.endpoints)]
        self.requests: dict[str, Request] = {}
        self.request_count = 0
        self.life = [0] * session.instances  # raised by a restart: what belonged to an earlier one is void
        self.watching = [session.settings.get("registry-mode") != "ask"] * session.instances
        self.held = [{node.name for node in self.nodes} for _ in range(session.instances)]
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

    def after(self, delay_ms: float, kind: str, *details: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now_ms + delay_ms, self.serial, kind, details))

    def tell(self, instance: int, msg: str, **fields: Any) -> None:
        """Put an event into the batch; absent values are left out, as on the wire."""
        event = {"msg": msg} | {
            name.replace("_", "-"): value for name, value in fields.items() if value is not None
        }
        self.batch.setdefault(instance, []).append(event)

    def play(self, adapter: Adapter) -> list[bytes]:
        """The whole session; the adapter's replies in order."""
        replies = []
        self.set_up()
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
            self.carry_out(json.loads(reply))
        return replies

    def set_up(self) -> None:
        for instance in range(self.session.instances):
            self.after(0.0, "start", instance)
        self.after(1000.0, "arrival")
        self.after(3500.0, "trouble")
        self.after(6000.0, "offer")
        self.after(2000.0, "tally")
        self.after(4000.0, "status")
        for number in range(self.session.stalls):
            self.after(9000.0 + 6100.0 * number, "stall")
        for number in range(self.session.restarts):
            self.after(7000.0 + 4100.0 * number, "restart", number % self.session.instances)

    # What happens by itself.

    def new_node(self, build: int, launched_ms: float | None) -> Node:
        self.serial += 1
        number = self.serial
        errors = self.session.bad_build_errors if build % 2 == 0 else 0.0
        slowness = self.session.bad_build_slowdown if build % 2 == 0 else 1.0
        return Node(
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
        self.life[instance] += 1
        seed = int(self.random() * 2**48)
        self.tell(instance, "PowerOn", init_seed=seed, boot_info=settings_of(self.session, instance))
        self.tell_list(instance, "cached", self.nodes)
        self.tell_status(instance, "completed", 0)
        self.watching[instance] = self.session.settings.get("registry-mode") != "ask"

    def at_stall(self) -> None:
        self.now_ms += 1600.0

    def at_restart(self, instance: int) -> None:
        for request in self.requests.values():
            request.concluded = request.concluded or request.instance == instance
        self.tell(instance, "Kill")
        self.life[instance] += 1
        self.after(0.0 if self.random() < 0.5 else 700.0, "start", instance)

    def alive(self, instance: int, life: int) -> bool:
        return self.life[instance] == life

    def at_arrival(self) -> None:
        self.after(2000.0 * self.random() / self.session.rate, "arrival")
        instance = int(self.random() ** 1.5 * self.session.instances)
        if self.life[instance] == 0 or self.life[instance] % 2 == 0:
            return  # killed and not started again
        self.request_count += 1
        call = f"{self.request_count:08x}-0000-4000-8000-000000000000"
        class_index = int(self.random() * len(CLASSES))
        left_ms = CLASSES[class_index].deadline_ms * (0.1 + 0.9 * self.random())
        request = Request(instance, self.request_count, class_index, self.now_ms + left_ms)
        self.requests[call] = request
        tenants = len(settings_of(self.session, instance)["accounts"])
        self.tell(
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
            self.after(left_ms * self.random(), "leave", call, self.life[instance])
        self.after(left_ms + 20.0, "leave", call, self.life[instance])

    def at_leave(self, call: str, life: int) -> None:
        request = self.requests[call]
        if not request.concluded and self.alive(request.instance, life):
            request.concluded = True
            self.tell(request.instance, "CancelledByClient", call=call)

    def at_trouble(self) -> None:
        """An endpoint turns slow, failing, silent or well; one drains, goes or restarts; all get slow."""
        self.after(500.0 + 1500.0 * self.random(), "trouble")
        chance = self.random()
        node = self.nodes[int(self.random() * len(self.nodes))]
        if chance < 0.2:
            node.slowness = 1.0 + 5.0 * self.random()
        elif chance < 0.35:
            node.errors = 0.7
        elif chance < 0.45:
            node.hangs = True
        elif chance < 0.65:
            node.slowness = 1.0
            node.errors = 0.0
            node.hangs = False
        elif chance < 0.75 and node.health == "ready" and len(self.nodes) > 3:
            node.health = "draining"
            self.list_changed([node])
            self.after(900.0, "gone", node)
        elif chance < 0.85:
            node.launched_ms = self.now_ms
            self.list_changed([node])
        elif chance < 0.95:
            fresh = self.new_node(node.build, self.now_ms)
            self.nodes.append(fresh)
            self.list_changed([fresh])
        else:
            self.slow_period = not self.slow_period

    def at_gone(self, node: Node) -> None:
        if node in self.nodes and len(self.nodes) > 2:
            node.health = "gone"
            self.nodes.remove(node)
            self.list_changed([node])

    # Discovery.

    def entry(self, node: Node) -> dict[str, Any]:
        row = {
            "node": node.name,
            "generation-hw": node.kind,
            "pack": node.cell,
            "region-part": node.zone,
            "rating": 1,
            "image": node.build,
            "health": node.health,
        }
        return row | ({"launched-ms": node.launched_ms} if node.launched_ms else {})

    def tell_list(self, instance: int, mode: str, nodes: list[Node]) -> None:
        self.list_number = (self.list_number + 1) % 16
        hosts = [self.entry(node) for node in nodes]
        self.tell(instance, "List", list=self.list_number, hosts=hosts)
        self.tell(instance, "Sync", mode=mode, revision=self.revision, list=self.list_number)

    def list_changed(self, nodes: list[Node]) -> None:
        self.revision += 1
        for instance in range(self.session.instances):
            if not self.watching[instance]:
                continue
            delay_ms = 5.0 + 200.0 * self.random()
            self.after(delay_ms, "list", instance, self.life[instance], list(nodes))

    def at_list(self, instance: int, life: int, nodes: list[Node]) -> None:
        if self.alive(instance, life) and self.life[instance] % 2 == 1:
            whole = self.random() < 0.2
            self.tell_list(instance, "full" if whole else "delta", list(self.nodes) if whole else nodes)

    def at_watch(self, instance: int, life: int) -> None:
        if not self.alive(instance, life):
            return
        if self.random() < 0.6:
            self.watching[instance] = False
            self.tell(instance, "Sync", mode="failed", revision=self.revision, list=0)
        else:
            self.watching[instance] = True
            self.tell_list(instance, "full", list(self.nodes))

    # Releases.

    def at_offer(self) -> None:
        self.after(9000.0 + 3000.0 * self.random(), "offer")
        self.build += 1
        self.enter(0, 0)
        self.add_machines(1 + len(self.nodes) // 10)

    def add_machines(self, count: int) -> None:
        fresh = [self.new_node(self.build, self.now_ms) for _ in range(count)]
        self.nodes += fresh
        self.list_changed(fresh)

    def enter(self, stage: int, phase: int) -> None:
        self.stage = stage
        self.phase = phase
        self.phase_since_ms = self.now_ms
        self.votes.clear()
        for instance in range(self.session.instances):
            self.after(10.0 + 300.0 * self.random(), "told", instance, self.life[instance])

    def at_told(self, instance: int, life: int) -> None:
        if self.alive(instance, life) and self.life[instance] % 2 == 1:
            self.tell_status(instance, "completed", 0)

    def at_status(self) -> None:
        self.after(6000.0, "status")
        for instance in range(self.session.instances):
            self.at_told(instance, self.life[instance])

    def tell_status(self, instance: int, answer: str, how: int) -> None:
        caps = settings_of(self.session, instance)["domain"]["caps"]
        caps_by_phase = {0: caps[min(self.stage, 2)], 1: 0.0, 2: 1.0, 3: 0.0}
        known = answer == "completed"
        self.tell(
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

    def at_vote(self, instance: int, life: int, build: int, stage: int, verdict: int) -> None:
        if not self.alive(instance, life):
            return
        chance = self.random()
        answer = "completed"
        for name, share in VOTE_ANSWERS:
            chance -= share
            if chance < 0:
                answer = name
                break
        if build != self.build or (verdict == 1 and (stage != self.stage or self.phase != 0)):
            answer = "superseded"
        if answer in ("completed", "overdue"):
            self.votes[instance] = (verdict, stage)
        self.tell_status(instance, answer, 1)
        self.count_votes(instance)

    def count_votes(self, instance: int) -> None:
        domain = settings_of(self.session, instance)["domain"]
        forward = sum(vote[0] == 1 for vote in self.votes.values())
        back = sum(vote[0] == 3 for vote in self.votes.values())
        if back >= domain["back-votes"] and self.phase in (0, 2):
            self.enter(self.stage, 1)
            self.after(1500.0, "withdrawn", self.build)
        elif self.phase == 0 and forward >= domain["ayes-needed"]:
            baked = self.now_ms - self.phase_since_ms >= domain["bake-ms"]
            if baked and self.stage == 2:
                self.enter(2, 2)
            elif baked:
                self.enter(self.stage + 1, 0)
                self.add_machines(1 + len(self.nodes) // 5)

    def at_withdrawn(self, build: int) -> None:
        if build == self.build and self.phase == 1:
            self.enter(self.stage, 3)
            gone = [node for node in self.nodes if node.build == build]
            for node in gone:
                if len(self.nodes) > 2:
                    node.health = "gone"
                    self.nodes.remove(node)
            self.list_changed([node for node in gone if node.health == "gone"])

    def at_tally(self) -> None:
        self.after(2000.0, "tally")
        for instance in range(self.session.instances):
            if self.life[instance] % 2 == 1:
                count = 10 + int(50 * self.random())
                self.tell(
                    instance, "Scorecard", rel=self.build, lane=0, count=count, bad=count // 9, rtt_ms=40.5
                )

    # What the instances ask for.

    def carry_out(self, reply: dict[str, Any]) -> None:
        for part in reply["parts"]:
            instance = int(part["marshal"].removeprefix("marshal-"))
            for action in part["outbox"]:
                assert action["msg"] != "Bug", action
                getattr(self, "do_" + action["msg"])(instance, action)

    def do_Arm(self, instance: int, action: dict[str, Any]) -> None:
        delay_ms = max(ROUND_MS, action["at-ms"] - self.now_ms)
        self.after(delay_ms, "timer", instance, self.life[instance], action["name"])

    def at_timer(self, instance: int, life: int, name: str) -> None:
        if self.alive(instance, life):
            self.tell(instance, "Fired", name=name)

    def do_Route(self, instance: int, action: dict[str, Any]) -> None:
        call = action["call"]
        request = self.requests[call]
        attempt = len(request.attempts)
        request.attempts.append(True)
        node = next((node for node in self.nodes if node.name == action["node"]), None)
        if node is None:
            self.after(
                3.0, "ended", call, attempt, self.life[instance], "refused_conn", self.now_ms, action["node"]
            )
            return
        work_ms = (
            CLASSES[request.class_index].usual_work_ms * node.slowness * (4.0 if self.slow_period else 1.0)
        )
        if request.class_index == self.session.held_up_class and self.now_ms > FIRST_MS + 12_000:
            work_ms *= 25.0
        took_ms = work_ms * (0.4 + 1.2 * self.random())
        outcome = self.outcome(node)
        if outcome in ("saturated", "refused_conn", "superseded"):
            took_ms = 2.0 + 20.0 * self.random()
        if node.hangs or self.now_ms + took_ms >= request.deadline_ms:
            took_ms = request.deadline_ms - self.now_ms
            outcome = "overdue"
        if CLASSES[request.class_index].name == STREAMED_CLASS and outcome == "completed":
            self.after(took_ms / 2, "begun", call, attempt, self.life[instance], self.now_ms, node.name)
        self.after(took_ms, "ended", call, attempt, self.life[instance], outcome, self.now_ms, node.name)

    def outcome(self, node: Node) -> str:
        if self.random() < node.errors:
            return "errored"
        chance = self.random()
        for name, share in OUTCOMES:
            chance -= share
            if chance < 0:
                return name
        return "completed"

    def at_begun(self, call: str, attempt: int, life: int, sent_ms: float, node: str) -> None:
        request = self.requests[call]
        if self.alive(request.instance, life) and request.attempts[attempt] and not request.concluded:
            rtt_ms = self.now_ms - sent_ms
            self.tell(request.instance, "Established", call=call, node=node, rtt_ms=rtt_ms, round_no=attempt)

    def at_ended(self, call: str, attempt: int, life: int, outcome: str, sent_ms: float, node: str) -> None:
        request = self.requests[call]
        if not self.alive(request.instance, life) or not request.attempts[attempt]:
            return
        request.attempts[attempt] = False
        request.concluded = request.concluded or outcome == "completed"
        self.tell(
            request.instance,
            "ClosedAttempt",
            call=call,
            round_no=attempt,
            node=node,
            rc=outcome,
            rtt_ms=self.now_ms - sent_ms,
            final=request.concluded or None,
            pressure=[int(9 * self.random()), 0.5] if self.random() < 0.5 else None,
        )
        if outcome == "completed" and self.random() < 0.01:
            self.tell(request.instance, "Returned", node=node, lane=request.class_index, lateness_ms=80.0)

    def do_AbortAttempt(self, instance: int, action: dict[str, Any]) -> None:
        details = (
            action["call"],
            action["round-no"],
            self.life[instance],
            "recalled",
            self.now_ms - 40.0,
            "node-001",
        )
        self.after(ROUND_MS, "ended", *details)

    def do_OverloadReply(self, instance: int, action: dict[str, Any]) -> None:
        self.requests[action["call"]].concluded = True

    def do_Surrender(self, instance: int, action: dict[str, Any]) -> None:
        self.requests[action["call"]].concluded = True

    def do_AskLoad(self, instance: int, action: dict[str, Any]) -> None:
        node = next((node for node in self.nodes if node.name == action["node"]), None)
        well = node is not None and not node.hangs and self.random() >= node.errors
        outcome = "completed" if well else "overdue"
        self.after(30.0, "probed", instance, self.life[instance], action["node"], outcome)

    def at_probed(self, instance: int, life: int, node: str, outcome: str) -> None:
        if self.alive(instance, life):
            self.tell(instance, "Pong", node=node, rc=outcome, rtt_ms=30.0, pressure=[1, 0.25])

    def do_BroadcastTo(self, instance: int, action: dict[str, Any]) -> None:
        receivers = range(self.session.instances) if action["whom"] is None else [action["whom"]]
        for receiver in receivers:
            lost = self.random() < 0.03
            if receiver != instance and not lost:
                delay_ms = 5.0 + 60.0 * self.random()
                self.after(delay_ms, "peer", receiver, self.life[receiver], instance, action["data"])

    def at_peer(self, instance: int, life: int, sender: int, data: str) -> None:
        if self.alive(instance, life) and self.life[instance] % 2 == 1:
            self.tell(instance, "NeighbourSays", who=sender, data=data)

    def do_Opinion(self, instance: int, action: dict[str, Any]) -> None:
        details = (instance, self.life[instance], action["rel"], action["wave"], action["how"])
        self.after(20.0 + 100.0 * self.random(), "vote", *details)

    def do_Tail(self, instance: int, action: dict[str, Any]) -> None:
        self.after(15.0 + 50.0 * self.random(), "watch", instance, self.life[instance])

    def do_JournalLine(self, instance: int, action: dict[str, Any]) -> None:
        """Only recorded."""
