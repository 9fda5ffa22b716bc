"""The decisions of one marshal: which node gets a shot, what follows a failure, and which build goes on.

A front (types: interface.py, peers.py) makes one Marshal for each marshal, sets its `now`, calls its on_
method for each event and carries out what it then finds in `actions`. Each invocation is the generator `serve`:
it yields a Wish and is resumed with a shot's ending, or None after its patience. Why so: docs/design.md.
"""

from collections import deque  # noqa: I001
from collections.abc import Callable, Generator, Sequence
from itertools import count, islice
from math import exp, log
from operator import attrgetter
from random import Random

from gatebank.statistics.endpoint_groups import EndpointGroups, OutstandingAttempts, Some
from gatebank.statistics.sliding_window import SlidingWindow
from gatebank.events import AttemptResult, Condition, Endpoint, InheritedState, NEVER_RAN, Outcome, Phase, ReleaseStatus, ReplyStatus, Request, RetrySafety, Verdict
from gatebank.settings import Settings
from gatebank.actions import Action, CancelAttempt, CastVote, CheckHealth, FailRequest, LogMessage, RejectRequest, SendToPeer, StartAttempt, StartTimer, WatchEndpoints, Tick, WatchTimer, RequestTimer, EjectionTimer, Timer
from gatebank.state import BrokenOff, Rejected, Shot, Wait, Wish
from gatebank.peer_messages import COLD, EARLIER, ON_TRIAL, FleetReport, LlrDelta, InstanceReport, short, together
from gatebank.state import Node, RequestState, forget, learned

BEAT = 0.25  # s between looks at what only time changes; a quarter of the design's 1 s remainder


class SequentialTest:
    """The LLRs of one build at one stage, own and fused. Ratio 0 is the design's: what broke, all workloads.
    Lost in it, so counted apart to hold a build or send it back, never to push it on: LATE, late beside the
    earlier build; EVERYWHERE, beside the time before it; FIRST + w, errors in workload w; CUT, resets and
    answers that can't be read: links do it to any build, and a few by chance must not add up to failures."""

    LATE, EVERYWHERE, CUT, FIRST = 1, 2, 3, 4
    A, B = log(1 / 0.005), log(1 / 0.25)  # α, β: every stage tests anew, and what passed can still go back
    DELTA, LEVELS, LEVEL = 1.0, 16, 0.25  # the design's start; 16 levels span one outcome's largest jump
    FLOOR, FALLBACK = 10, 5.0  # outcomes and seconds, the design's
    # p1 = a x p0 + b, and p0 while unknown. Failing 4% is just over the line, late twice as often as the 5%
    # of exponential times over three usual ones too. One workload's failures are many or none.
    ODDS = ((3, 0.06, 0.01), (5, 0.03, 0.05), (3, 0.03, 0.05), (3, 0.2, 0.01), (3, 0.2, 0.01))

    def __init__(self, news: ReleaseStatus, ratios: int, life: int) -> None:
        self.build, self.released, self.life = news.build or 0, news.phase is Phase.RELEASED, life
        self.stage, self.judged_since, self.passed = (news.stage or 0) + self.released, 0.0, False
        self.own, self.unsent = [(0.0, 0)] * ratios, [(0.0, 0)] * ratios  # sums and outcomes
        self.sums, self.seen = [0.0] * ratios, 0  # fused
        # Other marshals' sums by (marshal, life), and what raised each sum by node: gone with the stage.
        self.heard: dict[tuple[int, int], dict[int, tuple[float, int]]] = {}
        self.blame: list[dict[int, float]] = [{} for _ in range(ratios)]

    def fuse(self, ratio: int, step: float, seen: int, mark: int | None = None) -> None:
        """Into the sum, held at its lower bound: what turns bad is not covered by its past."""
        bound = self.A if self.released or ratio in (self.LATE, self.CUT) else self.B  # clumps; a whole fleet
        self.sums[ratio] = max(-bound, self.sums[ratio] + step)
        self.seen += seen if ratio == 0 else 0
        if mark is not None and step > 0:
            self.blame[ratio][mark] = self.blame[ratio].get(mark, 0.0) + step

    def count(self, ratio: int, step: float, mark: int, random: Callable[[], float]) -> LlrDelta | None:
        """Add an outcome; past Δ a message: sign, Δ + overshoot rounded at random so that the mean holds."""
        self.fuse(ratio, step, 1, mark)
        self.own[ratio] = (self.own[ratio][0] + step, self.own[ratio][1] + 1)
        value, seen = self.unsent[ratio][0] + step, self.unsent[ratio][1] + 1
        self.unsent[ratio] = (value, seen) if abs(value) < self.DELTA else (0.0, 0)
        if abs(value) < self.DELTA:
            return None
        level = min(self.LEVELS, int((abs(value) - self.DELTA) / self.LEVEL + random())) + 1
        return LlrDelta(self.life, self.build, self.stage, ratio, level if value > 0 else -level, seen, mark)

    def hear(self, peer: int, word: LlrDelta | InstanceReport) -> None:
        if (word.build, word.stage) != (short(self.build), self.stage):
            return
        row, sums = self.heard.setdefault((peer, word.life), {}), getattr(word, "sums", {})
        if isinstance(word, LlrDelta):  # totals hold whole sums: they heal lost, late and repeated steps
            was, size = row.get(word.ratio, (0.0, 0)), self.DELTA + (abs(word.level) - 1) * self.LEVEL
            sums = {word.ratio: (was[0] + (size if word.level > 0 else -size), was[1] + word.seen)}
        for ratio, (value, seen) in sums.items():
            if ratio < len(self.sums):
                was, row[ratio] = row.get(ratio, (0.0, 0)), (value, seen)
                self.fuse(ratio, value - was[0], seen - was[1], getattr(word, "mark", None))

    def verdict(self, now: float, nodes: int, warm: int) -> Verdict:
        """The fused SPRT: back at A, on at -B or by the fallback. A sick machine is no bad build: the worst
        third (late: of the warm) counts A/3 over the rest at most, two slow of few A. Harmful if few fail."""
        doubts = list(self.sums)
        for r, total in enumerate(self.sums):
            worst = ((warm if r == self.LATE else nodes) + 1) // 3 * (nodes > 1)
            if total >= self.A / 2 and r != self.EVERYWHERE:
                blame, few = sorted(self.blame[r].values(), reverse=True), max(worst, 2 * (r == self.LATE))
                over = sum(blame[:few]) - sum(blame[few:]) - self.A / 3
                doubts[r] -= max(0.0, over if few == worst else min(self.A, over))
        self.judged_since = self.judged_since or (now if self.seen else 0.0)  # the first outcome
        if max(doubts) >= self.A:
            return Verdict.ROLL_BACK
        doubts[self.LATE] -= self.A / 4
        if self.released or self.seen < self.FLOOR or max(doubts) >= self.A / 2:
            return Verdict.NONE
        self.passed = self.passed or self.sums[0] <= -self.B or now - self.judged_since >= self.FALLBACK
        return Verdict.PROMOTE if self.passed else Verdict.NONE


class Balancer:
    LEAST = 10.0  # answers a second of all marshals that make a mean: twenty in the two that a word covers

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        chance = Random(seed)
        self.sample, self.random = chance.sample, chance.random
        self.settings, self.workloads, release = settings, settings.request_classes, settings.release
        # What is sent as it starts is not timed: its clock may stand until it has caught up with that start.
        self.present_time, self.woke_at, self.began = now, now + BEAT, now
        self.me, marshals, self.life = settings.instance, settings.instance_count, chance.getrandbits(16)
        self.fusers = range(min(3, marshals))  # the design's three; where votes need more, others follow them
        self.needed = {Verdict.PROMOTE: release.promote_votes, Verdict.ROLL_BACK: release.rollback_votes}
        self.actions: list[Action] = [WatchEndpoints()] * settings.polls_endpoints + [StartTimer(now + BEAT, Tick())]
        self.nodes: dict[int, Node] = {}  # as the roll has them
        self.ready: list[Node] = []  # those that may be sent to
        self.tasks: dict[int, RequestState] = {}
        self.groups, self.lowest = EndpointGroups([]), 0  # the same by build; the lowest build on the roll
        self.out: dict[tuple[int, int], tuple[Node, int, int]] = {}  # shots out; emptied by endings
        self.silent = OutstandingAttempts()  # the same by node
        # Emptied by time: arrivals by customer, by workload for the cap, first tries; satisfied shots by
        # workload; ended ones by workload, kind and side; shots by workload, a window a build.
        self.arrived, self.taken, self.first_tries, self.done = SlidingWindow(), SlidingWindow(), SlidingWindow(), SlidingWindow()
        self.ended: deque[tuple[float, tuple[int, int, int], float, bool]] = deque()
        self.sent_to: dict[int, SlidingWindow] = {}
        self.stayed: dict[int, int] = {}  # keys bound to a build; emptied when it goes back or another comes
        # Usual times and how many made them: by workload (and rates, now and steady: over some five seconds);
        # the earlier build's, by workload and machine kind; those, and the load, before that on trial came.
        self.pace, self.longest, self.rate, self.steady = [(0.0, 0)] * len(self.workloads), 1.0, 0.0, 0.0
        self.earlier_pace: dict[tuple[int, int], tuple[float, int]] = {}
        self.calm_pace, self.calm_load, self.saw_trial = self.earlier_pace, 0.0, False
        # The earlier build's bad outcomes and all, fading, and its share in the last ten or so.
        self.past = [(0.0, 0.0, 0.0)] * (SequentialTest.FIRST + len(self.workloads))
        self.reports: dict[int, tuple[InstanceReport, float]] = {}  # at fusers: one row a marshal, its last totals
        self.fleet: FleetReport | None = None  # what all marshals together do, as a fuser told lately
        self.fleet_at, self.fleet_from, self.beats, self.stuck = 0.0, self.me, self.me, set[int]()
        # Of all: answers and time by workload, usual times, how slow the build on trial is (0: not known).
        self.does, self.beside = list[tuple[float, float]](), 0.0
        self.usual = dict[tuple[int, int], tuple[float, float]]()
        self.news: ReleaseStatus | None = None
        self.trial: SequentialTest | None = None
        self.cast: tuple[SequentialTest | None, Verdict] = (None, Verdict.NONE)
        self.leaning, self.leaning_since, self.fuser_heard = Verdict.NONE, now, now
        self.cast_again, self.voted, self.serial = now, now, count(1)
        self.call = 1 / max(1, release.votes_per_second)  # s that a vote takes the desk
        self.strict_until, self.told_sums = now, list[tuple[int, InstanceReport]]()  # both set by `take_up` alone

    @property
    def now(self) -> float:
        return self.present_time

    @now.setter
    def now(self, now: float) -> None:
        """A marshal that missed its beats stood still: what came meanwhile comes all at once and shows no
        slow answers, no silence of nodes or fusers and no due fallback."""
        if now > self.present_time + 3 * BEAT:
            self.woke_at = self.fuser_heard = now
        self.present_time = now

    def on_endpoint_list(self, entries: Sequence[Endpoint], whole: bool) -> None:
        """Rule 3: what drains, is gone or is missing from a whole list is never chosen from here on."""
        kept = {} if whole else dict(self.nodes)
        for entry in entries:
            node = self.nodes.get(entry.index)
            if not node or (node.entry.started, node.entry.build) != (entry.started, entry.build):
                node = Node(entry)  # a new process, or another machine under the old id
            kept[entry.index], node.entry = node, entry
        self.nodes = {i: node for i, node in kept.items() if node.entry.condition is not Condition.GONE}
        alike = sorted(self.nodes.values(), key=lambda n: n.entry.name_hash)  # at all marshals, for `near`
        self.ready = [n for n in alike if n.entry.condition is Condition.READY]
        self.groups = EndpointGroups(self.ready)
        self.lowest = min((n.entry.build for n in self.nodes.values()), default=0)

    def on_request(self, invocation: Request) -> None:
        self.taken.add(self.now, invocation.request_class)
        self.arrived.add(self.now, invocation.tenant)
        if not invocation.is_client_retry:
            self.first_tries.add(self.now)
        task = RequestState(invocation, self.workloads[invocation.request_class], self.now)
        self.tasks[invocation.number], task.story = task, self.serve(task)
        self.resume(task, None)

    def serve(self, task: RequestState) -> Generator[Wish, AttemptResult | None, None]:
        """One invocation from its arrival to its final answer; a satisfied one is ended from outside."""
        while True:
            may_send = self.may_send(task) and (bool(task.shots) or not self.too_much(task))
            node = self.choose(task) if may_send else None
            if node:
                yield Shot(node.entry.index)
            elif may_send and self.now < task.came + task.request_class.latency_objective:
                yield Wait(0.1)  # none may take it now: the roll or a cold one's budget may mend it
            else:
                # Rule 2: rejected only where running again does no harm: not past a ticket's window.
                ran, anywhere = task.may_have_run(), task.request_class.retry_group == "all"
                anywhere = anywhere or task.request_class.retry_safety is RetrySafety.IDEMPOTENT
                rejected = Rejected(0.5 if self.settings.limits.may_advise_retry_after else None)
                yield rejected if not ran or (anywhere and self.may_run(task, ran)) else BrokenOff()
                return

    def too_much(self, task: RequestState) -> bool:
        """Shed before queues tip, whatever fills them: by Little's law an answer takes shots out / answers a
        second, and the shortest target time must hold. What pays least for its work goes first. Harmful where
        answers come in bursts: so two a node go."""
        workload, fleet = task.invocation.request_class, self.fleet
        done = (len(self.done) - (self.done.count(*self.stuck) if self.stuck else 0)) / 2.0
        held = (out := self.shots_out()) * self.settings.instance_count
        if fleet:  # own answers against ten of the fleet's: where traffic is thin, those decide
            if workload in self.stuck:  # a few go on, to see when it ends
                return self.random() > 0.1
            answers = max(0.5, sum(many for w, (many, _) in enumerate(self.does) if w not in self.stuck))
            held = (done * held + 5 * fleet.out) / (done + 5)
            out, done = out + 5 * fleet.out / answers, done + 5
        if self.now < self.began + 2.0 or held < 2 * len(self.ready):
            return False
        by_work = float(self.settings.weighs_by_work)
        pays = [o.priority_weight / (by_work or p[0] or 1) for o, p in zip(self.workloads, self.pace, strict=True)]
        bound = done * min(o.latency_objective for o in self.workloads) * 0.6 * (1 + pays[workload] / max(pays))
        if self.settings.tenants and out > 0.7 * bound:  # first what a customer sends beyond its share
            mine = self.arrived.count(task.invocation.tenant)
            share = self.settings.tenants[task.invocation.tenant].share
            over = self.random() * mine > 1.2 * share / max(0.01, 1 - share) * (len(self.arrived) - mine)
            bound *= 0.7 if over else 1.0
        return out > bound

    def may_send(self, task: RequestState) -> bool:  # Rule 2, and the number of shots
        may = len(task.shots) < self.settings.limits.max_attempts and self.now < task.deadline() - 0.01
        return may and self.may_run(task, task.may_have_run())

    def may_run(self, task: RequestState, ran: Sequence[tuple[Node, float]]) -> bool:  # Rule 2: behind these
        how, since = task.request_class.retry_safety, ran[0][1] if ran else 0.0  # only ticketed ones have a window
        kept = how is RetrySafety.KEYED and self.now < since + task.request_class.retry_window - 0.05
        return not ran or how is RetrySafety.IDEMPOTENT or kept

    def may_start(self, number: int, shot: int) -> bool:
        """A shot waited for its connection: what it was chosen on may have passed. Rule 5 counts it anew."""
        (_, build, w), task = self.out[number, shot], self.tasks[number]
        may = self.may_run(task, task.may_have_run()[:-1])
        if may := may and (not self.on_trial(build) or self.cap_allows(task, build, 0)):
            self.sent_to.setdefault(build, SlidingWindow()).again(task.shots[shot][1], w, self.now)
        return may

    def resume(self, task: RequestState, result: AttemptResult | None) -> None:
        number, wish = task.invocation.number, task.story.send(result)
        if isinstance(wish, Rejected | BrokenOff):
            self.actions.append(RejectRequest(number, wish.back_in) if isinstance(wish, Rejected) else FailRequest(number))
            self.close(task)
            return
        if isinstance(wish, Shot):
            node, w = self.nodes[wish.node], task.invocation.request_class
            self.actions.append(StartAttempt(number, wish.node, wish.until))
            self.out[number, len(task.shots)] = (node, node.entry.build, w)
            self.silent.sent(node, w)
            self.sent_to.setdefault(node.entry.build, SlidingWindow()).add(self.now, w)
            task.shots, task.endings = [*task.shots, (node, self.now)], [*task.endings, None]
            node.silent_since = node.silent_since if node.held else self.now
            node.held, node.tokens = node.held + 1, node.tokens - 1
        task.wake = next(self.serial)
        if wish.patience is not None:
            at = min(self.now + wish.patience, max(task.deadline() - 0.01, self.now))
            self.actions.append(StartTimer(at, RequestTimer(number, task.wake)))

    def close(self, task: RequestState) -> None:  # it has its final answer: what is still out is no use
        self.tasks.pop(number := task.invocation.number, None)
        if self.settings.limits.may_cancel:
            self.actions += [CancelAttempt(number, shot) for shot, end in enumerate(task.endings) if end is None]

    def on_timer(self, timer: Timer) -> None:
        match timer:
            case Tick():
                self.beat()
            case WatchTimer():
                self.actions.append(WatchEndpoints())
            case RequestTimer(number, generation):
                if (task := self.tasks.get(number)) and task.wake == generation:
                    self.resume(task, None)
            case EjectionTimer(index):
                if (node := self.nodes.get(index)) and node.aside:
                    self.actions.append(CheckHealth(index))

    def on_client_disconnect(self, number: int) -> None:
        self.close(self.tasks[number]) if number in self.tasks else None

    def on_attempt_result(self, number: int, ended: AttemptResult) -> None:
        task = self.tasks.get(number)
        if sent := self.out.pop((number, ended.attempt), None):
            self.learn(*sent, ended)
            # An error is its node's and build's where another shot is satisfied: what fails anywhere
            # is nobody's. An exclusive one has no other and counts. Harmful where hardly any node can serve.
            blamed, doubts = [(*sent, ended)], task.doubts if task else []
            if task and ended.outcome is Outcome.ERROR and task.request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT:
                task.doubts, blamed = doubts + blamed, []
            for each in blamed + (doubts if ended.outcome is Outcome.SUCCESS else []):
                self.charge(*each)
        if task:
            task.endings[ended.attempt] = ended.outcome
            key, newest = task.invocation.key, self.news.build if self.news else None
            if ended.request_done and key is not None and self.settings.release.sticky_keys and sent and sent[1] == newest:
                self.stayed[key] = sent[1]
            self.close(task) if ended.request_done else self.resume(task, ended)

    def on_trial(self, build: int) -> bool:  # Rule 5: told last and not released, or later
        if self.news is None or self.news.build is None:  # only the lowest build listed is surely not
            return bool(self.nodes) and self.lowest < build
        return build > self.news.build or (build == self.news.build and self.news.phase is not Phase.RELEASED)

    def cap_allows(self, task: RequestState, build: int, more: int = 1) -> bool:  # Rule 5: own count in its window
        release, news, w, how = self.settings.release, self.news, task.invocation.request_class, task.request_class.retry_safety
        told = news if news is not None and news.build == build else None
        cap, stage = (told.cap, told.stage) if told else (release.caps[0], 0)
        if not cap or (how is not RetrySafety.IDEMPOTENT and stage < release.shielded_stages):
            return False
        all_count, after = not release.counts_by_class, self.now - release.exposure_window
        sent, kinds = self.sent_to.setdefault(build, SlidingWindow()), () if all_count else (w,)
        sent.forget(after)
        self.taken.forget(after, with_edge=True)
        shots, taken = sent.count(*kinds), self.taken.count(*kinds)
        # Where a former life's shots in this window are not known, it may have used all that was spare.
        return shots + more <= (release.spare_attempts if self.now >= self.strict_until else 0) + cap * taken

    def age(self, node: Node) -> float:
        return self.now - node.entry.started if node.entry.started else 1e9

    def warm(self, node: Node) -> bool:
        return self.age(node) >= self.settings.slow_start.warm_up + 1.0

    def present(self, node: Node) -> float:  # Rule 4: the least part of its capacity that it can have by now
        start = self.settings.slow_start.initial_capacity
        return start + (1 - start) * max(0.0, min(1.0, self.age(node) / self.settings.slow_start.warm_up))

    def cold_allows(self, node: Node) -> bool:
        """Rule 4, summed over all marshals: half of fall_multiple x its present part of this one's satisfied
        traffic a node, 0.4 of a window's worth at once; below a shot, chance says when the first is due."""
        if self.warm(node):
            return True
        fair = min(self.rate, 0.6 * len(self.done)) / max(1, len(self.ready))
        allowed = self.settings.slow_start.overload_multiple * self.present(node) * fair  # shots a second
        if self.now < node.others[1]:  # others send it more than this marshal's own traffic would tell
            allowed = min(allowed, max(0.0, allowed * self.settings.instance_count - 2 * node.others[0]))
        first = min(1.0, self.random() + 0.4 * allowed * self.settings.slow_start.overload_window)
        node.tokens += 0.5 * allowed * (self.now - node.tokens_at) if node.tokens_at else first
        node.tokens, node.tokens_at = min(1.5, node.tokens), self.now
        return node.tokens >= 1.0

    def shots_out(self) -> int:  # but what a dead node or a stuck workload holds is no load
        return self.silent.out(self.stuck, self.mute)

    def mute(self, node: Node) -> bool:
        return self.silence(node) >= 3

    def load(self) -> float:  # first tries a second for each node that answers, of all marshals
        rate = self.fleet.rate if self.fleet else self.rate * self.settings.instance_count
        mute = self.silent.silent(self.mute, lambda n: not n.aside and self.groups.has(n))
        return rate / max(1, self.groups.not_aside() - mute)

    def silence(self, node: Node) -> float:  # for how many usual times shots have been out with no ending
        return (self.now - max(node.silent_since, self.woke_at)) / self.longest if node.held else 0.0

    def busy(self, node: Node) -> float:  # shots out x how slow; more when nothing comes back: dead, cut off
        fade = exp((node.told_at - self.now) / 4)  # forgotten in some 4 s, so it is tried again
        shown = (1 + (node.slow - 1) * fade) * (1 + 8 * node.faults * fade)
        return (node.held + 1) * shown * (1 + max(0.0, self.silence(node) - 2))

    def least_busy(self, some: Some) -> Node | None:  # the design's pick: of two at random
        nodes = some.fit or some.nodes
        two = list(filter(self.cold_allows, self.near(nodes)))  # or look on until one may be sent to
        two = two or list(islice(filter(self.cold_allows, self.sample(nodes, len(nodes))), 1))
        return min(two, key=self.busy) if two else None

    def near(self, nodes: list[Node]) -> list[Node]:
        """Two of those near this marshal's place: as many as it meets twice while an idle connection lives,
        four at least. New connections cost nodes; even places, so that all together reach all nodes alike."""
        size, limit = len(nodes), self.settings.limits.connection_idle_timeout
        idle = 1e9 if limit is None else limit
        width = max(4.0, self.steady * idle / 4 * size / max(1, len(self.ready)))
        if width >= size or self.settings.instance_count * width < 4 * size:
            return self.sample(nodes, min(2, size))
        first = int(self.me * 0.618034 % 1.0 * size)  # golden section: any run of numbers is spread
        return [nodes[(first + at) % size] for at in self.sample(range(int(width)), 2)]

    def choose(self, task: RequestState) -> Node | None:
        key, ran, ready, group = task.invocation.key, task.may_have_run(), self.ready, task.request_class.retry_group
        if ran and task.request_class.retry_safety is RetrySafety.KEYED and group != "all":
            of = attrgetter("zone" if group == "zone" else "cell")
            ready = [n for n in ready if of(n.entry) == of(ran[0][0].entry)]
        if key in self.stayed:
            ready = [n for n in ready if n.entry.build >= self.stayed[key]]
        if tried := {id(node) for node, _ in task.shots}:
            ready = [n for n in ready if id(n) not in tried] or ready
        groups = self.groups if ready is self.ready else EndpointGroups(ready)
        trials = {b: self.cap_allows(task, b) for b in groups.builds if self.on_trial(b)}
        older, newer = groups.some(trials, but=True), groups.some([b for b, may in trials.items() if may])
        old, new = self.least_busy(older), self.least_busy(newer)
        # What broke is tried at the earlier build next: it tells whose fault it was, and spares the client.
        if not old or not new or task.doubts or (self.news and self.news.phase is Phase.ROLLING_BACK):
            return old or new
        # A build on trial gets what its nodes can take, that times be like with like, however slow or faulty.
        warm = self.settings.slow_start.warm_up
        old_part, new_part = (groups.part(each, self.now, warm, self.present) for each in (older, newer))
        return new if self.random() * (new_part + old_part) < new_part else old

    def learn(self, node: Node, build: int, w: int, ended: AttemptResult) -> None:  # of its node and the usual times
        ending, took, ok = ended.outcome, ended.duration, ended.outcome is Outcome.SUCCESS
        node.silent_since = node.told_at = self.now
        node.held, node.seen = node.held - 1, node.seen + 1
        self.silent.ended(node, w)
        if ok and self.now - took >= self.woke_at:  # not out while this marshal stood still
            self.done.add(self.now, w)
            self.pace[w] = learned(self.pace[w], took, 0.05)
            self.longest = max(self.longest if self.fleet else 0.0, max(self.pace)[0]) or 1.0
        given_up = ending in (Outcome.TIMED_OUT, Outcome.CANCELLED) and took > self.pace[w][0]
        if (ok or given_up) and self.now - took >= self.woke_at:
            side = COLD if not self.warm(node) else ON_TRIAL if self.on_trial(build) else EARLIER
            self.ended.append((self.now, (w, node.entry.machine_kind, side), took, ok))
            was, usual = node.slow, self.pace[w][0] or took or 1.0
            node.slow += (took / usual - was) * 0.2
            self.groups.moved("slow", node, was, node.slow)

    def charge(self, node: Node, build: int, w: int, ended: AttemptResult) -> None:  # to its node and build
        if (ending := ended.outcome) not in (Outcome.CANCELLED, Outcome.REJECTED, Outcome.NOT_SENT):
            node.faults += ({Outcome.SUCCESS: 0.0, Outcome.CONNECTION_LOST: 0.5}.get(ending, 1.0) - node.faults) * 0.25
            # A node that fails often (a cut may be its link's) is set aside and probed, half of a build's at
            # most: more are the build, the load or this marshal's own view, and going round would hide it.
            if node.faults >= 0.4 and not node.aside and self.few_aside(node):
                node.aside, node.probes_answered, node.hold = True, 0, min(8.0, max(1.0, 2 * node.hold))
                self.groups.changed()
                self.actions.append(StartTimer(self.now + node.hold, EjectionTimer(node.entry.index)))
        if ending not in NEVER_RAN:
            self.judge(node, build, w, ending, ended.duration)

    def few_aside(self, node: Node) -> bool:  # another of its build may be set aside
        mates = self.groups.some([node.entry.build])
        return 2 * (len(mates.nodes) - len(mates.fit)) + 2 <= len(mates.nodes)

    def on_health_check_result(self, index: int, ending: Outcome) -> None:
        if (node := self.nodes.get(index)) and node.aside:
            node.probes_answered = node.probes_answered + 1 if ending is Outcome.SUCCESS else 0
            if node.probes_answered >= 2:  # back on probation; set aside again, for twice as long
                node.aside, node.faults = False, 0.3
                self.groups.changed()
            else:
                self.actions.append(StartTimer(self.now + 0.5, EjectionTimer(index)))

    def judge(self, node: Node, build: int, w: int, ending: Outcome, took: float) -> None:
        broke, cut, trial = ending is Outcome.ERROR, ending is Outcome.CONNECTION_LOST, self.trial
        own = pace, known = self.earlier_pace.get(key := (w, node.entry.machine_kind), (0.0, 0))
        pace, known = (self.usual[key][0], 20) if known < 20 and key in self.usual else (pace, known)
        if self.age(node) < 1.0 or (ending in (Outcome.TIMED_OUT, Outcome.CANCELLED) and took < 3 * pace):
            return  # just started, or given up too early to tell
        on_trial = self.news is not None and self.news.phase is Phase.CANARY
        earlier = trial is None or build < trial.build
        # A cold node is late whatever it runs, and a marshal that stood still knows no times.
        warm = self.warm(node) and self.now - took >= self.woke_at
        timed = on_trial and warm and not (broke or cut or w in self.stuck)
        met = trial is not None and trial.own[0][1] >= min(5, 25 / self.settings.instance_count)  # it gets traffic
        if trial and timed:
            b, median, slow = trial.build, self.groups.median, attrgetter("slow")
            mates = median("slow", ("at", b), lambda n: n.entry.build == b, slow, 1.0)
            others = median("slow", ("below", b), lambda n: n.entry.build < b, slow, mates)
            mates, others = (self.beside, 1.0) if self.beside else (mates, others)  # thin traffic: no middle
        calm = self.calm_pace.get(key, (0.0, 0))[0] * (ending is Outcome.SUCCESS)  # silence is not slowness
        if trial and timed and met and calm:
            # Late, with no more traffic than before: it may slow all, but not if its own nodes are quicker
            # (0.7: beyond chance). The middle node must show it, here and below: no neighbour, pause, queue.
            was, node.drag = node.drag, learned(node.drag, took / calm, 0.15)
            self.groups.moved("drag", node, was[0] if was[1] else None, node.drag[0])
            drag = median("drag", 0, lambda n: n.drag[1] and not n.aside, lambda n: n.drag[0], 1.0)
            alike = drag > 1.3 and mates > 0.7 * others and self.load() < 1.35 * self.calm_load
            self.move(SequentialTest.EVERYWHERE, node, alike and took > 2.5 * calm)
        if ending is Outcome.SUCCESS and warm and (earlier or not on_trial):
            self.earlier_pace[key] = learned(own, took, 0.02)
        if earlier or not (on_trial or self.saw_trial):
            # What breaks here too from now on is no fault of the trial build; at sick nodes it might hide it.
            late = (SequentialTest.LATE, took > 3 * pace > 0)
            for ratio, bad in ((0, broke), (SequentialTest.CUT, cut), (SequentialTest.FIRST + w, broke), late):
                (was, n, fast), lately = self.past[ratio], bad and node.faults < 0.4
                self.past[ratio] = was * 0.99 + bad, n * 0.99 + 1, fast + (lately - fast) * 0.1
        elif trial and build == trial.build:
            for ratio, bad in ((0, broke), (SequentialTest.CUT, cut), (SequentialTest.FIRST + w, broke)):
                self.move(ratio, node, bad)
            if known >= 20 and timed:
                self.move(SequentialTest.LATE, node, took > 3 * pace and mates > 1.2 * others)
        self.decide()

    def move(self, ratio: int, node: Node, bad: bool) -> None:
        times, extra, unknown = SequentialTest.ODDS[min(ratio, SequentialTest.FIRST)]
        late = ratio in (SequentialTest.LATE, SequentialTest.EVERYWHERE)
        was, known, fast = self.past[SequentialTest.LATE if late else ratio]
        p0 = min(0.2, max(0.01, was / known if known >= 20 else unknown))
        p0 = p0 if late else max(p0, min(0.6, fast))
        p1 = min(0.95, times * p0 + extra)
        step = log(p1 / p0) if bad else log((1 - p1) / (1 - p0))
        if ratio == SequentialTest.EVERYWHERE and self.fleet:  # late together: a large fleet's are no more evidence
            step *= min(1.0, 80 / max(1.0, self.fleet.rate))  # than a small one's, nor one queue's at a busy
        elif ratio == SequentialTest.LATE:  # node (over 8 a second, some are out together) than a calm one's
            step *= min(1.0, 8 / max(1.0, self.load()))
        word = self.trial.count(ratio, step, node.entry.name_hash, self.random) if self.trial else None
        for peer in self.fusers:
            self.tell(peer, word)

    def tell(self, peer: int | None, word: LlrDelta | InstanceReport | FleetReport | None) -> None:
        if word and self.settings.limits.may_message_peers and peer != self.me and self.settings.instance_count > 1:
            self.actions.append(SendToPeer(peer, word))

    def tell_totals(self) -> None:
        """The design's remainder, as whole sums, and what this marshal does; the first fuser: what all do."""
        trial, here, times = self.trial, (0, 0), dict[tuple[int, int, int], tuple[float, float, float]]()
        for _, key, took, ok in self.ended:  # over two seconds
            was = times.get(key, (0.0, 0.0, 0.0))
            times[key] = was[0] + 0.5 * ok, was[1] + 0.5 * took * ok, was[2] + 0.5 * took * (not ok)
        sums = {r: s for r, s in enumerate(trial.own) if s[1]} if trial else {}
        if trial:
            here, trial.unsent = (trial.build, trial.stage), [(0.0, 0)] * len(trial.own)
        totals = InstanceReport(self.life, *here, self.rate, self.shots_out(), times, sums)
        for peer in self.fusers:
            self.tell(peer, totals)
        if self.me in self.fusers and (self.me <= self.fleet_from or self.fleet_at < self.now - 2.5):
            rows = [row for row, at in self.reports.values() if at > self.now - 5.0]
            self.hear_fleet(self.me, together([*rows, totals], self.leaning))
            self.tell(None, self.fleet)

    def hear_fleet(self, peer: int, word: FleetReport) -> None:
        self.fleet, self.fleet_at, self.fleet_from = word, self.now, peer
        self.does, self.usual = word.by_workload(len(self.workloads)), word.usual(self.LEAST)
        self.beside = word.slowness(self.usual, self.LEAST)
        paces = [time / answers if answers else 0.0 for answers, time in self.does]
        self.longest = max([pace for pace, _ in self.pace] + paces) or 1.0
        # Late by itself, another three times as quick: it waits for what no node mends, and shows no load.
        known, least = zip(self.workloads, paces, strict=False), 3 * min(filter(None, paces), default=0.0)
        self.stuck = {w for w, (each, pace) in enumerate(known) if pace > max(each.latency_objective, least)}

    def on_peer_message(self, peer: int, word: LlrDelta | InstanceReport | FleetReport) -> None:
        if not 0 <= peer < self.settings.instance_count:
            return
        self.fuser_heard = self.now if peer in self.fusers else self.fuser_heard
        if isinstance(word, FleetReport):
            self.hear_fleet(peer, word)
        elif isinstance(word, InstanceReport):
            self.reports[peer] = word, self.now
        if self.trial and not isinstance(word, FleetReport):
            self.trial.hear(peer, word)
            self.decide()

    def on_release_status(self, news: ReleaseStatus) -> None:
        if news.is_vote_reply:  # one that stands is renewed before it lapses
            again = {ReplyStatus.ACCEPTED: self.settings.release.vote_lifetime * 0.75, ReplyStatus.STALE: 1.5, ReplyStatus.TIMED_OUT: 0.5}
            self.cast_again = self.now + again.get(news.reply, 0.4 + 0.4 * self.random())
        if news.reply is not ReplyStatus.ACCEPTED or news.build is None or news.stage is None:
            return
        last, self.news = self.news, news
        judged = news.phase in (Phase.CANARY, Phase.RELEASED)
        self.stayed = self.stayed if judged and last and last.build == news.build else {}
        if last and (last.build, last.stage, last.phase) == (news.build, news.stage, news.phase):
            return
        if last is None or last.build != news.build:
            self.calm_pace = {key: p for key, p in self.earlier_pace.items() if last and p[1] >= 20}
            self.calm_load, self.saw_trial = self.load(), False
            for node in self.nodes.values():
                node.drag = (1.0, 0)
            self.groups.changed()
        self.saw_trial = self.saw_trial or news.phase is Phase.CANARY
        self.trial = SequentialTest(news, len(self.past), self.life) if judged else None
        self.recall()

    def apply_inherited_state(self, lore: InheritedState) -> None:
        """What others saw before this marshal did (learning/), at its start or soon after. It overrules
        nothing that this marshal has seen itself, and allows nothing that it would not allow without."""
        if self.now < self.began + self.settings.release.exposure_window and not lore.window_known:
            self.strict_until = self.began + self.settings.release.exposure_window
        elif lore.window_known:
            self.strict_until = self.began
            for build in {build for _, _, build in lore.sent}:
                rows = [(self.began - age, w) for age, w, each in lore.sent if each == build]
                self.sent_to.setdefault(build, SlidingWindow()).put_before(rows)
            self.taken.put_before((self.began - age, w) for age, w in lore.accepted)
        for index, told in lore.endpoints.items():
            if (node := self.nodes.get(index)) and node.seen < 5:  # five endings outweigh any hearsay
                node.slow, node.faults = told.latency_ratio, max(node.faults, told.failure_rate)
                node.told_at, node.others = self.now, (told.cold_rate, self.now + 2.0)
                if told.ejected and not node.aside and self.few_aside(node):
                    node.aside, node.probes_answered, node.hold = True, 0, min(8.0, max(1.0, told.ejection_time))
                    self.actions.append(StartTimer(self.now, EjectionTimer(index)))
                self.groups.changed()
        for own, told in ((self.pace, lore.latency), (self.earlier_pace, lore.baseline_latency)):
            for key, (took, seen) in told.items():
                if (own.get(key, (0, 0)) if isinstance(own, dict) else own[key])[1] < seen:
                    own[key] = (took, seen)
        for ratio, row in lore.baseline_errors.items():
            self.past[ratio] = max(self.past[ratio], row, key=lambda each: each[1])
        self.longest = max(self.longest, *(pace for pace, _ in self.pace))
        self.told_sums = [each for each in lore.reports if each[1].life != self.life][:4096]
        self.recall()

    def recall(self) -> None:  # sums of lives that may be over: whole, so that hearing them again is nothing
        for marshal, totals in self.told_sums if self.trial else ():
            self.trial.hear(marshal, totals)

    def on_watch_failed(self) -> None:
        self.actions.append(StartTimer(self.now + 1.0, WatchTimer()))

    def beat(self) -> None:  # what only time changes
        self.actions.append(StartTimer(self.now + BEAT, Tick()))
        window = self.settings.release.exposure_window
        for rows in (self.taken, *self.sent_to.values()):
            rows.forget(self.now - window - 0.1)
        self.sent_to = {build: rows for build, rows in self.sent_to.items() if rows}
        forget(self.ended, self.now - 2.0)
        for rows, age in ((self.arrived, max(2.0, window + 0.1)), (self.done, 2.0), (self.first_tries, 2.0)):
            rows.forget(self.now - age)
        self.rate = len(self.first_tries) / min(2.0, max(1.0, self.now - self.began))
        self.steady += (self.rate - self.steady) * max(0.05, BEAT / max(BEAT, self.now - self.began))
        if self.now >= self.fleet_at + 5.0:  # forgotten
            self.fleet, self.usual, self.beside = None, {}, 0.0
        self.beats += 1
        if self.beats % (4 * max(1, round(self.settings.instance_count / 200))) == 0:
            self.tell_totals()  # each second, the design's; less often where hundreds would speak
        self.decide()

    def decide(self) -> None:
        """Vote where it can count: the first fuser at once, the others if that had no effect; who heard no
        fuser for 4 s by what it knows. Where more must vote, all do, by what the fusers found, in turn."""
        trial, news, word, many = self.trial, self.news, self.fleet, max(self.needed.values()) > 3
        own = self.me in self.fusers or self.now - self.fuser_heard >= 4.0
        led = many and trial and word and (word.build, word.stage) == (short(trial.build), trial.stage)
        if not trial or not news or self.now < self.woke_at + BEAT or not (own or led):
            return
        mates = self.groups.builds.get(trial.build, ())
        warm = self.groups.warm(mates, self.now, self.settings.slow_start.warm_up)
        verdict = trial.verdict(self.now, len(mates), warm) if own else Verdict(word.verdict)
        if verdict is not self.leaning:
            self.leaning, self.leaning_since = verdict, self.now
        standing = self.cast[1] if self.cast[0] is trial else Verdict.NONE
        rank, needed = self.me if many else min(self.me, 3), max(1, self.needed.get(verdict, 1))
        after = 0.5 * max(0, rank + 1 - needed) * min(1.0, 4 / needed) + many * rank * self.call
        due = self.cast_again if verdict is standing else self.leaning_since + after
        due = due if verdict is Verdict.ROLL_BACK else max(due, self.voted + 0.5)
        if self.now < due or (verdict is Verdict.NONE and standing is not Verdict.PROMOTE):
            return
        self.cast, self.voted = (trial, verdict), self.now
        self.cast_again = self.now + self.settings.release.vote_timeout + 0.2
        self.actions.append(CastVote(trial.build, news.stage or 0, verdict))
        sums = [round(total, 1) for total in trial.sums]
        self.actions.append(LogMessage(f"vote {verdict.log_name.upper()} build {trial.build} stage {news.stage} sums {sums}"))
