"""Queue of the balancer's events, which are handled one at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, TypeVarTuple

from gatebank.actions import Action
from gatebank.balancer import Balancer
from gatebank.proxy.clock import Clock
from gatebank.proxy.log import log_fault

Arguments = TypeVarTuple("Arguments")


class Event(NamedTuple):
    """A call to be made: a method of the balancer, or one of the dispatcher that calls the balancer."""

    method: Callable[..., None]
    arguments: tuple[object, ...]


class EventQueue:
    """Passes events to the balancer, and executes the balancer's actions after each event.

    Args:
        balancer: The balancer; its ``now`` is set before each event.
        clock: Returns Unix time in seconds.
        carry_out: Executes one action; events that the action causes are queued.
        on_failure: Receives each event whose handling raised an exception.
    """

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        carry_out: Callable[[Action], None],
        on_failure: Callable[[Event], None],
    ) -> None:
        self.balancer = balancer
        self.clock = clock
        self.carry_out = carry_out
        self.on_failure = on_failure
        self.events: deque[Event] = deque()  # `dispatch` drains the queue.
        self.is_dispatching = False

    def dispatch(self, method: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Queue an event, and handle all queued events unless a caller further up the stack is doing so.

        Exceptions of events and actions are caught and logged here: no failure leaves a request without its
        final answer or prevents the next event from being handled.
        """
        self.events.append(Event(method, arguments))
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.is_dispatching = False

    def handle(self, event: Event) -> None:
        """Pass one event to the balancer, and execute the resulting actions."""
        self.balancer.now = self.clock()
        try:
            event.method(*event.arguments)
        except Exception:
            log_fault(**{"in": getattr(event.method, "__name__", event.method)})
            self.on_failure(event)
        actions = self.balancer.actions
        self.balancer.actions = []
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                log_fault(act=type(action).__name__)
