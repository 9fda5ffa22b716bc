"""Hosts independent instances, each with its own mapping from ids on the wire to the balancer's indices."""

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
MILLISECONDS_PER_SECOND = 1000.0
SECONDS_PER_MILLISECOND = 0.001
MAX_FAULT_TEXT = 200  # Characters.

Event = Mapping[str, Any]
WireAction = dict[str, Any]
RequestAction = actions.StartAttempt | actions.CancelAttempt | actions.RejectRequest | actions.FailRequest


class WireError(GatebankError):
    """A batch or an event does not have the form of the wire protocol."""


class BalancerFaultError(GatebankError):
    """The balancer raised an exception; the message gives the exception and its line."""

    def __init__(self, cause: Exception) -> None:
        frames = traceback.extract_tb(cause.__traceback__)
        line = frames[-1].lineno if frames else 0
        super().__init__(f"{type(cause).__name__}: {cause} (line {line})"[:MAX_FAULT_TEXT])


@contextmanager
def balancer_faults() -> Iterator[None]:
    """Convert exceptions of the balancer, so that they are not taken for errors of the wire input.

    Raises:
        BalancerFaultError: for any exception. The simulator has to get a report of the fault, which it would
            not get if the process ended.
    """
    try:
        yield
    except Exception as cause:
        raise BalancerFaultError(cause) from cause


class IdTables:
    """Maps ids on the wire to the balancer's indices, for one instance.

    The index of an endpoint is permanent. The index of a request is reused once the request has its final
    answer and no outstanding attempt.
    """

    def __init__(self) -> None:
        self.endpoint_indices: dict[str, int] = {}
        self.endpoint_names: list[str] = []
        self.request_indices: dict[str, int] = {}
        self.request_names: dict[int, str] = {}
        self.outstanding: dict[int, int] = {}  # Number of outstanding attempts by request.
        self.answered_requests: set[int] = set()
        self.free_request_indices: list[int] = []

    def endpoint_index(self, name: str) -> int:
        """Return the index of an endpoint; a new name gets the next index."""
        index = self.endpoint_indices.get(name)
        if index is None:
            index = len(self.endpoint_names)
            self.endpoint_indices[name] = index
            self.endpoint_names.append(name)
        return index

    def add_request(self, name: str) -> int:
        """Assign an index to a new request and return it."""
        index = self.free_request_indices.pop() if self.free_request_indices else len(self.request_names)
        self.request_indices[name] = index
        self.request_names[index] = name
        self.outstanding[index] = 0
        return index

    def free_answered_requests(self) -> None:
        """Free the indices of requests that are answered and have no outstanding attempt."""
        for index in sorted(self.answered_requests):
            if not self.outstanding[index]:
                self.answered_requests.remove(index)
                del self.outstanding[index]
                del self.request_indices[self.request_names.pop(index)]
                self.free_request_indices.append(index)


class InstanceHost:
    """One instance: its balancer and its mapping of ids."""

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
            # These are no evidence: scorecards arrive late, disputes are rare and partly wrong, and an answer
            # that has begun may still fail.
            "Scorecard": self.ignore_event,
            "Returned": self.ignore_event,
            "Established": self.ignore_event,
        }

    def deliver_event(self, event: Event, lists: Mapping[int, list[Any]], now: float) -> None:
        """Pass one event to the balancer.

        Raises:
            WireError: the type of the event is unknown.
            BalancerFaultError: the balancer raised an exception.
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
        """Ignore an event that no decision depends on; an endpoint that it names still gets an index."""
        if event["msg"] == "Returned":
            self.ids.endpoint_index(event["node"])

    def on_order(self, event: Event) -> None:
        """Pass on a request from a client."""
        hint = event.get("cost-guess-ms")
        request = events.Request(
            number=self.ids.add_request(event["call"]),
            request_class=event["lane"],
            tenant=event.get("client-group", 0),
            timeout=event["left-ms"] * SECONDS_PER_MILLISECOND,
            cost_hint=None if hint is None else hint * SECONDS_PER_MILLISECOND,
            key=event.get("entity"),
            is_client_retry=event.get("repeat", False),
        )
        with balancer_faults():
            self.balancer.on_request(request)

    def on_closed_attempt(self, event: Event) -> None:
        """Pass on the result of an attempt that has ended."""
        index = self.ids.request_indices.get(event["call"])
        if index is None:
            return
        self.ids.outstanding[index] -= 1
        result = events.AttemptResult(
            attempt=event["round-no"],
            outcome=OUTCOMES[event["rc"]],
            duration=event["rtt-ms"] * SECONDS_PER_MILLISECOND,
            request_done=event.get("final", False),
            load_report=event.get("pressure"),
        )
        with balancer_faults():
            self.balancer.on_attempt_result(index, result)
        if result.request_done:
            self.ids.answered_requests.add(index)

    def on_fired(self, event: Event) -> None:
        """Pass on a timer that is due."""
        with balancer_faults():
            self.balancer.on_timer(timer_from_name(event["name"]))

    def on_cancelled_by_client(self, event: Event) -> None:
        """Pass on that the client of a request has disconnected."""
        index = self.ids.request_indices.get(event["call"])
        if index is None:
            return
        with balancer_faults():
            self.balancer.on_client_disconnect(index)
        self.ids.answered_requests.add(index)

    def on_sync(self, event: Event, lists: Mapping[int, list[Any]]) -> None:
        """Pass on the endpoint list, a change of it, or a failed watch."""
        if event["mode"] == "failed":
            with balancer_faults():
                self.balancer.on_watch_failed()
            return
        endpoints = [self.parse_endpoint(row) for row in lists[event["list"]]]
        with balancer_faults():
            self.balancer.on_endpoint_list(endpoints, event["mode"] != "delta")

    def parse_endpoint(self, row: Mapping[str, Any]) -> events.Endpoint:
        """Parse one row of an endpoint list."""
        launched = row.get("launched-ms")
        return events.Endpoint(
            index=self.ids.endpoint_index(row["node"]),
            name_hash=peer_messages.name_hash(row["node"]),
            machine_kind=row.get("generation-hw", 0),
            zone=row.get("region-part", 0),
            cell=row.get("pack", 0),
            build=int(row.get("image", 0)),
            started_at=launched * SECONDS_PER_MILLISECOND if launched else None,
            condition=CONDITIONS[row["health"]],
            weight=row.get("rating", 1.0),
        )

    def on_pong(self, event: Event) -> None:
        """Pass on the outcome of a health check."""
        index = self.ids.endpoint_index(event["node"])
        outcome = OUTCOMES[event["rc"]]
        with balancer_faults():
            self.balancer.on_health_check_result(index, outcome)

    def on_neighbour_says(self, event: Event) -> None:
        """Pass on a message of another instance; drop a message that cannot be decoded."""
        message = peer_messages.decode(b64decode(event["data"]))
        if message is not None:
            with balancer_faults():
                self.balancer.on_peer_message(event["who"], message)

    def on_rollout_state(self, event: Event) -> None:
        """Pass on the status of the newest build from the release service."""
        phase = event.get("where-at")
        status = events.ReleaseStatus(
            reply=REPLIES[event["rc"]],
            is_vote_reply=event.get("how", 0) == 1,
            build=event.get("rel"),
            stage=event.get("wave"),
            phase=None if phase is None else events.Phase(phase),
            cap=event.get("most-share"),
            age=event.get("lateness-ms", 0.0) * SECONDS_PER_MILLISECOND,
        )
        with balancer_faults():
            self.balancer.on_release_status(status)

    def take_actions(self) -> list[WireAction]:
        """Return the balancer's actions in the form of the wire, and empty its list."""
        taken, self.balancer.actions = self.balancer.actions, []
        with balancer_faults():
            return [self.wire_action(action) for action in taken]

    def wire_action(self, action: actions.Action) -> WireAction:
        """Return an action in the form of the wire."""
        match action:
            case (
                actions.StartAttempt()
                | actions.CancelAttempt()
                | actions.RejectRequest()
                | actions.FailRequest()
            ):
                return self.request_action(action)
            case actions.StartTimer(at, timer):
                return {"msg": "Arm", "at-ms": at * MILLISECONDS_PER_SECOND, "name": timer_name(timer)}
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
        """Return an action on a request in the form of the wire."""
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
        """Return the wire form of an attempt, and count the attempt as outstanding."""
        self.ids.outstanding[action.request] += 1
        call = self.ids.request_names[action.request]
        wire = {"msg": "Route", "call": call, "node": self.ids.endpoint_names[action.endpoint]}
        return (
            wire
            if action.give_up_at is None
            else wire | {"until-ms": action.give_up_at * MILLISECONDS_PER_SECOND}
        )

    def reject_request(self, action: actions.RejectRequest) -> WireAction:
        """Return the wire form of a rejection, and mark the request as answered."""
        self.ids.answered_requests.add(action.request)
        wire = {"msg": "OverloadReply", "call": self.ids.request_names[action.request]}
        retry_after = action.retry_after
        return wire if retry_after is None else wire | {"backoff-ms": retry_after * MILLISECONDS_PER_SECOND}


class Host:
    """All instances of this process, by their names on the wire."""

    def __init__(self) -> None:
        # An entry is removed when its instance is killed.
        self.instances: dict[str, InstanceHost] = {}
        # The protocol has at most 16 list numbers; a new list replaces the previous one of its number.
        self.lists: dict[int, list[Any]] = {}

    def answer(self, batch: object) -> dict[str, Any]:
        """Return the reply to one batch.

        Raises:
            WireError: the batch does not have the form of the wire protocol.
            KeyError, TypeError, ValueError, AttributeError: a value in the batch is missing or malformed.
        """
        if not isinstance(batch, Mapping) or "t-ms" not in batch or "parts" not in batch:
            raise WireError("a batch needs t-ms and parts")
        now = batch["t-ms"] * SECONDS_PER_MILLISECOND
        replies = [self.answer_part(part, now) for part in batch["parts"]]
        return {"parts": [reply for reply in replies if reply]}

    def answer_part(self, part: Mapping[str, Any], now: float) -> dict[str, Any] | None:
        """Return one instance's part of a reply, or None if the instance has no actions."""
        name = part["marshal"]
        try:
            outbox = self.deliver_events(name, part["msgs"], now)
        except BalancerFaultError as fault:
            outbox = [{"msg": "Bug", "text": str(fault)}]
        return {"marshal": name, "outbox": outbox} if outbox else None

    def deliver_events(self, name: str, batch_events: Iterable[Event], now: float) -> list[WireAction]:
        """Pass events to one instance, in order, and return the resulting actions."""
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
                raise WireError(f"{kind!r} for {name}, which is not running")
        instance = self.instances.get(name)
        if instance:
            outbox += instance.take_actions()
            instance.ids.free_answered_requests()
        return outbox
