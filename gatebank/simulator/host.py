"""Hosts instances that share nothing, each behind its own tables from the wire's ids to small indices."""

from __future__ import annotations

import traceback
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

from gatebank import actions, events, peer_messages
from gatebank.balancer import Balancer
from gatebank.errors import GatebankError
from gatebank.settings import read_settings
from gatebank.simulator.timer_names import timer_from_name, timer_name

OUTCOMES = {
    "completed": events.Outcome.SUCCESS,
    "errored": events.Outcome.ERROR,
    "saturated": events.Outcome.REJECTED,
    "overdue": events.Outcome.TIMED_OUT,
    "refused_conn": events.Outcome.NO_CONNECTION,
    "severed": events.Outcome.CONNECTION_LOST,
    "recalled": events.Outcome.CANCELLED,
    "superseded": events.Outcome.NOT_SENT,
}
REPLIES = {
    "completed": events.ReplyStatus.ACCEPTED,
    "superseded": events.ReplyStatus.STALE,
    "saturated": events.ReplyStatus.RATE_LIMITED,
    "errored": events.ReplyStatus.UNAVAILABLE,
    "overdue": events.ReplyStatus.TIMED_OUT,
}
CONDITIONS = {
    "ready": events.Condition.READY,
    "draining": events.Condition.DRAINING,
    "gone": events.Condition.GONE,
}
MILLISECONDS = 1000.0  # in a second
SECONDS = 0.001  # in a millisecond
MAX_FAULT_TEXT = 200  # characters

Event = Mapping[str, Any]
WireAction = dict[str, Any]
RequestAction = actions.StartAttempt | actions.CancelAttempt | actions.RejectRequest | actions.FailRequest


class WireError(GatebankError):
    """What came in is not the wire's form."""


class BalancerFaultError(GatebankError):
    """The balancer raised; the text says what and where."""

    def __init__(self, cause: Exception) -> None:
        frames = traceback.extract_tb(cause.__traceback__)
        line = frames[-1].lineno if frames else 0
        super().__init__(f"{type(cause).__name__}: {cause} (line {line})"[:MAX_FAULT_TEXT])


@contextmanager
def balancer_faults() -> Iterator[None]:
    """What the balancer raises in here is its own fault, not the wire's.

    Raises:
        BalancerFaultError: for any exception: the simulator must be told of it instead of losing the process.
    """
    try:
        yield
    except Exception as cause:
        raise BalancerFaultError(cause) from cause


class IdTables:
    """The wire's ids and the balancer's small indices, of one instance.

    A node's index stays; a request's is used again once its answer is final and no attempt is outstanding.
    """

    def __init__(self) -> None:
        self.endpoint_indices: dict[str, int] = {}
        self.endpoint_names: list[str] = []
        self.request_indices: dict[str, int] = {}
        self.request_names: dict[int, str] = {}
        self.outstanding: dict[int, int] = {}  # attempts by request
        self.answered_requests: set[int] = set()
        self.free_request_indices: list[int] = []

    def endpoint_index(self, name: str) -> int:
        """The index of a node, given at its first mention."""
        index = self.endpoint_indices.get(name)
        if index is None:
            index = len(self.endpoint_names)
            self.endpoint_indices[name] = index
            self.endpoint_names.append(name)
        return index

    def add_request(self, name: str) -> int:
        """An index for a new request."""
        index = self.free_request_indices.pop() if self.free_request_indices else len(self.request_names)
        self.request_indices[name] = index
        self.request_names[index] = name
        self.outstanding[index] = 0
        return index

    def free_answered_requests(self) -> None:
        """Free the indices of requests that are answered and have no attempt outstanding."""
        for index in sorted(self.answered_requests):
            if not self.outstanding[index]:
                self.answered_requests.remove(index)
                del self.outstanding[index]
                del self.request_indices[self.request_names.pop(index)]
                self.free_request_indices.append(index)


class InstanceHost:
    """One instance: its balancer and its tables."""

    def __init__(self, event: Event, now: float) -> None:
        settings = read_settings(event["boot-info"])
        seed = event["init-seed"]
        with balancer_faults():
            self.balancer = Balancer(settings, seed, now)
        self.ids = IdTables()
        self.handlers: dict[str, Callable[[Event], None]] = {
            "Order": self.on_order,
            "ClosedAttempt": self.on_closed_attempt,
            "Fired": self.on_fired,
            "CancelledByClient": self.on_cancelled_by_client,
            "Pong": self.on_pong,
            "NeighbourSays": self.on_neighbour_says,
            "RolloutState": self.on_rollout_state,
            # No evidence: tallies come late, disputes are few and some wrong, an answer may begin and fail.
            "Scorecard": self.ignore_event,
            "Returned": self.ignore_event,
            "Established": self.ignore_event,
        }

    def deliver_event(self, event: Event, lists: Mapping[int, list[Any]], now: float) -> None:
        """Hand one event to the balancer.

        Raises:
            WireError: the event is none of the wire's.
            BalancerFaultError: the balancer failed in it.
        """
        kind = event["msg"]
        self.balancer.now = now
        if kind == "Sync":
            self.on_sync(event, lists)
        elif kind in self.handlers:
            self.handlers[kind](event)
        else:
            raise WireError(f"unknown msg {kind!r}")

    def ignore_event(self, event: Event) -> None:
        """An event that no decision is made on; a node named in it gets its index all the same."""
        if event["msg"] == "Returned":
            self.ids.endpoint_index(event["node"])

    def on_order(self, event: Event) -> None:
        """A request from a client."""
        hint = event.get("cost-guess-ms")
        request = events.Request(
            number=self.ids.add_request(event["call"]),
            request_class=event["lane"],
            tenant=event.get("client-group", 0),
            timeout=event["left-ms"] * SECONDS,
            cost_hint=None if hint is None else hint * SECONDS,
            key=event.get("entity"),
            is_client_retry=event.get("repeat", False),
        )
        with balancer_faults():
            self.balancer.on_request(request)

    def on_closed_attempt(self, event: Event) -> None:
        """An attempt has ended."""
        index = self.ids.request_indices.get(event["call"])
        if index is None:
            return
        self.ids.outstanding[index] -= 1
        result = events.AttemptResult(
            attempt=event["round-no"],
            outcome=OUTCOMES[event["rc"]],
            duration=event["rtt-ms"] * SECONDS,
            request_done=event.get("final", False),
            load_report=event.get("pressure"),
        )
        with balancer_faults():
            self.balancer.on_attempt_result(index, result)
        if result.request_done:
            self.ids.answered_requests.add(index)

    def on_fired(self, event: Event) -> None:
        """A timer is due."""
        with balancer_faults():
            self.balancer.on_timer(timer_from_name(event["name"]))

    def on_cancelled_by_client(self, event: Event) -> None:
        """The client has gone."""
        index = self.ids.request_indices.get(event["call"])
        if index is None:
            return
        with balancer_faults():
            self.balancer.on_client_disconnect(index)
        self.ids.answered_requests.add(index)

    def on_sync(self, event: Event, lists: Mapping[int, list[Any]]) -> None:
        """News of the endpoint list, or a watch that failed."""
        if event["mode"] == "failed":
            with balancer_faults():
                self.balancer.on_watch_failed()
            return
        endpoints = [self.parse_endpoint(each) for each in lists[event["list"]]]
        with balancer_faults():
            self.balancer.on_endpoint_list(endpoints, event["mode"] != "delta")

    def parse_endpoint(self, row: Mapping[str, Any]) -> events.Endpoint:
        """One line of a list."""
        launched = row.get("launched-ms")
        return events.Endpoint(
            index=self.ids.endpoint_index(row["node"]),
            name_hash=peer_messages.name_hash(row["node"]),
            machine_kind=row.get("generation-hw", 0),
            zone=row.get("region-part", 0),
            cell=row.get("pack", 0),
            build=int(row.get("image", 0)),
            started_at=launched * SECONDS if launched else None,
            condition=CONDITIONS[row["health"]],
            weight=row.get("rating", 1.0),
        )

    def on_pong(self, event: Event) -> None:
        """A health check has ended."""
        index = self.ids.endpoint_index(event["node"])
        outcome = OUTCOMES[event["rc"]]
        with balancer_faults():
            self.balancer.on_health_check_result(index, outcome)

    def on_neighbour_says(self, event: Event) -> None:
        """A peer message; one that can't be read is dropped."""
        message = peer_messages.decode(b64decode(event["data"]))
        if message is not None:
            with balancer_faults():
                self.balancer.on_peer_message(event["who"], message)

    def on_rollout_state(self, event: Event) -> None:
        """What the release service says of the newest build."""
        phase = event.get("where-at")
        status = events.ReleaseStatus(
            reply=REPLIES[event["rc"]],
            is_vote_reply=event.get("how", 0) == 1,
            build=event.get("rel"),
            stage=event.get("wave"),
            phase=None if phase is None else events.Phase(phase),
            cap=event.get("most-share"),
            age=event.get("lateness-ms", 0.0) * SECONDS,
        )
        with balancer_faults():
            self.balancer.on_release_status(status)

    def take_actions(self) -> list[WireAction]:
        """What the balancer asks for, in the wire's form; empties its list."""
        taken, self.balancer.actions = self.balancer.actions, []
        with balancer_faults():
            return [self.wire_action(action) for action in taken]

    def wire_action(self, action: actions.Action) -> WireAction:
        """One action in the wire's form."""
        match action:
            case (
                actions.StartAttempt()
                | actions.CancelAttempt()
                | actions.RejectRequest()
                | actions.FailRequest()
            ):
                return self.request_action(action)
            case actions.StartTimer(at, timer):
                return {"msg": "Arm", "at-ms": at * MILLISECONDS, "name": timer_name(timer)}
            case actions.SendToPeer(peer, message):
                data = b64encode(peer_messages.encode(message)).decode()
                return {"msg": "BroadcastTo", "whom": peer, "data": data}
            case actions.CastVote(build, stage, verdict):
                return {"msg": "Opinion", "wave": stage, "rel": build, "how": int(verdict)}
            case actions.CheckHealth(index):
                return {"msg": "AskLoad", "node": self.ids.endpoint_names[index]}
            case actions.LogMessage(text):
                return {"msg": "JournalLine", "text": text}
            case actions.WatchEndpoints():
                return {"msg": "Tail", "active": True}

    def request_action(self, action: RequestAction) -> WireAction:
        """An action on a request in the wire's form."""
        call = self.ids.request_names[action.request]
        match action:
            case actions.StartAttempt():
                return self.start_attempt(action)
            case actions.CancelAttempt(_, attempt):
                return {"msg": "AbortAttempt", "call": call, "round-no": attempt}
            case actions.RejectRequest():
                return self.reject_request(action)
            case actions.FailRequest(index):
                self.ids.answered_requests.add(index)
                return {"msg": "Surrender", "call": call}

    def start_attempt(self, action: actions.StartAttempt) -> WireAction:
        """The wire's form of an attempt, which counts as outstanding from here on."""
        self.ids.outstanding[action.request] += 1
        call = self.ids.request_names[action.request]
        wire = {"msg": "Route", "call": call, "node": self.ids.endpoint_names[action.endpoint]}
        return wire if action.give_up_at is None else wire | {"until-ms": action.give_up_at * MILLISECONDS}

    def reject_request(self, action: actions.RejectRequest) -> WireAction:
        """The wire's form of a rejection, which is a final answer."""
        self.ids.answered_requests.add(action.request)
        wire = {"msg": "OverloadReply", "call": self.ids.request_names[action.request]}
        retry_after = action.retry_after
        return wire if retry_after is None else wire | {"backoff-ms": retry_after * MILLISECONDS}


class Host:
    """All instances of this process, by the wire's names."""

    def __init__(self) -> None:
        self.instances: dict[str, InstanceHost] = {}  # a row goes when the instance is killed
        self.lists: dict[int, list[Any]] = {}  # at most 16: a number's new list replaces its last

    def answer(self, batch: object) -> dict[str, Any]:
        """The reply to one batch.

        Raises:
            WireError: the batch is not of the wire's form.
            KeyError, TypeError, ValueError, AttributeError: a value in it is not.
        """
        if not isinstance(batch, Mapping) or "t-ms" not in batch or "parts" not in batch:
            raise WireError("a batch needs t-ms and parts")
        now = batch["t-ms"] * SECONDS
        replies = [self.answer_part(part, now) for part in batch["parts"]]
        return {"parts": [reply for reply in replies if reply]}

    def answer_part(self, part: Mapping[str, Any], now: float) -> dict[str, Any] | None:
        """One instance's part of a reply, or None where it does nothing."""
        name = part["marshal"]
        try:
            outbox = self.deliver_events(name, part["msgs"], now)
        except BalancerFaultError as fault:
            outbox = [{"msg": "Bug", "text": str(fault)}]
        return {"marshal": name, "outbox": outbox} if outbox else None

    def deliver_events(self, name: str, batch_events: Iterable[Event], now: float) -> list[WireAction]:
        """Hand events to one instance, in order; the actions that come of them."""
        outbox: list[WireAction] = []
        for event in batch_events:
            kind = event.get("msg")
            if kind == "List":
                self.lists[event["list"]] = event["hosts"]
            elif kind == "PowerOn":
                self.instances[name] = InstanceHost(event, now)
            elif kind == "Kill":
                self.instances.pop(name, None)
                outbox.clear()
            elif name in self.instances:
                self.instances[name].deliver_event(event, self.lists, now)
                outbox += self.instances[name].take_actions()
            else:
                raise WireError(f"{kind!r} for {name}, which has not started")
        instance = self.instances.get(name)
        if instance:
            outbox += instance.take_actions()
            instance.ids.free_answered_requests()
        return outbox
