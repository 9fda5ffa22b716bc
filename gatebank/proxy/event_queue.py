"""The events of one balancer, handled one at a time."""

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
    """A method to call and what with: the balancer's, or one of the dispatcher's that calls it."""

    method: Callable[..., None]
    arguments: tuple[object, ...]


class EventQueue:
    """Gives the balancer its events, and carries out its actions behind each.

    Args:
        balancer: Its clock is set before each event.
        clock: Unix time in seconds.
        carry_out: Does what one action asks for; events that come of it wait for their turn.
        rescue: Is given an event that failed.
    """

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        carry_out: Callable[[Action], None],
        rescue: Callable[[Event], None],
    ) -> None:
        self.balancer = balancer
        self.clock = clock
        self.carry_out = carry_out
        self.rescue = rescue
        self.events: deque[Event] = deque()  # emptied by `dispatch`
        self.dispatching = False

    def dispatch(self, method: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Queue an event, and handle all that are queued unless that is being done already.

        This is a boundary that catches all: whatever fails in an event or an action, no request is left
        without its final answer, and the next event is handled.
        """
        self.events.append(Event(method, arguments))
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.dispatching = False

    def handle(self, event: Event) -> None:
        """Give the balancer one event, and carry out its actions."""
        self.balancer.now = self.clock()
        try:
            event.method(*event.arguments)
        except Exception:
            log_fault(**{"in": getattr(event.method, "__name__", event.method)})
            self.rescue(event)
        actions = self.balancer.actions
        self.balancer.actions = []
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                log_fault(act=type(action).__name__)
