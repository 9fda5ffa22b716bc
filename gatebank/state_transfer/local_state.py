"""What this instance knows, as the parts of a state transfer use it: items out, items in and merged."""

from __future__ import annotations

import asyncio
import logging
import os
from dataclasses import replace

from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.log import log_kv
from gatebank.state_transfer.index_names import IndexNames, Origin
from gatebank.state_transfer.inherited_knowledge import InheritedKnowledge, release_status
from gatebank.state_transfer.items import ReleaseReport, StateItem
from gatebank.state_transfer.protocol import Hello, deployment_id
from gatebank.state_transfer.state_export import MAX_WINDOW_ROWS, StateExport
from gatebank.state_transfer.weighting import HalfLives, OwnRelease, strictly_tighter

# Seconds for which encoded items are reused for further receivers. Whatever is encoded is sent as so much
# older, so that no item is younger at its receiver than it is.
REUSE_TIME = 0.25
INCARNATION_BYTES = 6  # random; 2**48 fits a stored number


class LocalState:
    """The balancer's knowledge and what was received from sources.

    Attributes:
        name: of this instance.
        deployment: see `protocol.deployment_id`.
        incarnation: number of this start alone. The balancer's own may be the same after a restart, where
            the configuration sets a seed.
        received: number of items that told something new.
    """

    def __init__(self, dispatcher: Dispatcher, name: str, half_lives: HalfLives) -> None:
        self.dispatcher = dispatcher
        self.balancer = dispatcher.balancer
        self.clock = dispatcher.clock
        self.name = name
        self.deployment = deployment_id(dispatcher.settings)
        self.incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
        self.received = 0
        self.started_at = self.clock()
        self.names = IndexNames(dispatcher.settings, dispatcher.registry.names)
        self.origin = Origin(name, self.incarnation)
        self.inherited = InheritedKnowledge(self.balancer.state, self.names, self.origin, half_lives)
        # Attempts and requests of the last exposure window are applied once: twice they would count twice.
        self.window_applied = False

    @property
    def seed(self) -> int:
        """Of random choices: the balancer's own, so that a test can repeat them."""
        return self.balancer.state.incarnation

    def hello(self) -> Hello:
        """Returns what this instance says of itself on a connection."""
        uptime = max(0.0, self.clock() - self.started_at)
        return Hello(name=self.name, deployment=self.deployment, incarnation=self.incarnation, uptime=uptime)

    async def items(self, include_window: bool = False) -> list[StateItem]:
        """Returns all that is known, the most valuable first, giving way to clients between slices.

        Args:
            include_window: also each attempt and request of the last exposure window, for a snapshot.
        """
        items: list[StateItem] = []
        export = StateExport(
            self.balancer.state, self.names, self.origin, self.clock(), self.inherited.received
        )
        for some in export.slices(include_window=include_window):
            items += [item.older(REUSE_TIME) for item in some]
            await asyncio.sleep(0)
        return items

    def window_fits(self) -> bool:
        """Returns whether `items` holds the whole last exposure window, and not only its latest attempts."""
        return sum(map(len, self.balancer.state.traffic.attempts_by_build.values())) <= MAX_WINDOW_ROWS

    def receive(self, items: list[StateItem]) -> int:
        """Keeps items of a source; returns how many told something new."""
        count = self.inherited.put(items, self.clock())
        self.received += count
        return count

    def merge(self) -> None:
        """Applies what is believed by now to the balancer; a release status only where it restrains."""
        now = self.clock()
        merged = self.inherited.merged(now)
        state = self.inherited.inherited_state(merged, now)
        if self.window_applied:
            state = replace(state, sent=(), accepted=(), exposure_window_known=False)
        self.window_applied = self.window_applied or state.exposure_window_known
        self.dispatcher.dispatch(self.balancer.apply_inherited_state, state)
        self.restrain(merged.release)

    def restrain(self, report: ReleaseReport | None) -> None:
        """Passes a source's release status on if it allows less than what is known here."""
        status = self.balancer.state.release
        own = None
        if status and status.build is not None and status.phase is not None:
            own = OwnRelease(status.build, int(status.phase), status.cap)
        if tighter := strictly_tighter(report, own):
            log_kv(
                "learnt_news", logging.WARNING, build=tighter.build, phase=tighter.phase, by=tighter.origin
            )
            self.dispatcher.on_release_status(release_status(tighter))
