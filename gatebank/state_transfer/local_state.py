"""This instance's state for the other modules of state transfer: exports, receives and merges items."""

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
from gatebank.state_transfer.weighting import HalfLives, OwnRelease, stricter_report

# Seconds for which encoded items are reused for further receivers. REUSE_TIME is added to the age of every
# exported item, so that a reused item never appears younger to its receiver than it is.
REUSE_TIME = 0.25
# Random bytes of an incarnation number: 2**48 is within the range of `items.Number`.
INCARNATION_BYTES = 6


class LocalState:
    """The balancer's state, and the items that were received from sources.

    Attributes:
        name: Name of this instance.
        deployment: Id of the deployment, see `protocol.deployment_id`.
        incarnation: Random number of this start. The balancer's own incarnation number is not used, because
            it is the same after a restart if the configuration sets a seed.
        new_item_count: Number of received items that were new.
        started_at: Time of the start on the balancer's clock.
        inherited: The received items.
    """

    def __init__(self, dispatcher: Dispatcher, name: str, half_lives: HalfLives) -> None:
        self.dispatcher = dispatcher
        self.balancer = dispatcher.balancer
        self.clock = dispatcher.clock
        self.name = name
        self.deployment = deployment_id(dispatcher.settings)
        self.incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
        self.new_item_count = 0
        self.started_at = self.clock()
        self.names = IndexNames(dispatcher.settings, dispatcher.registry.names)
        self.origin = Origin(name, self.incarnation)
        self.inherited = InheritedKnowledge(self.balancer.state, self.names, self.origin, half_lives)
        # Whether the attempts and requests of the last exposure window have been applied. They are applied
        # only once, because each application would count them again.
        self.window_applied = False

    @property
    def seed(self) -> int:
        """Seed of random choices: the balancer's own seed, so that a test can repeat the choices."""
        return self.balancer.state.incarnation

    def hello(self) -> Hello:
        """Returns the hello message of this instance."""
        uptime = max(0.0, self.clock() - self.started_at)
        return Hello(name=self.name, deployment=self.deployment, incarnation=self.incarnation, uptime=uptime)

    async def items(self, include_window: bool = False) -> list[StateItem]:
        """Returns all items by descending priority, and yields to the event loop between slices.

        Args:
            include_window: Whether to include each attempt and request of the last exposure window, for a
                snapshot.
        """
        items: list[StateItem] = []
        export = StateExport(
            self.balancer.state, self.names, self.origin, self.clock(), self.inherited.stored_items
        )
        for exported in export.slices(include_window=include_window):
            items += [item.older(REUSE_TIME) for item in exported]
            await asyncio.sleep(0)
        return items

    def window_fits(self) -> bool:
        """Returns whether `items` can hold all attempts of the last exposure window, not only the latest."""
        return sum(map(len, self.balancer.state.traffic.attempts_by_build.values())) <= MAX_WINDOW_ROWS

    def receive(self, items: list[StateItem]) -> int:
        """Stores items that a source sent; returns how many were new."""
        new_items = self.inherited.put(items, self.clock())
        self.new_item_count += new_items
        return new_items

    def merge(self) -> None:
        """Merges all received items and applies the result to the balancer.

        A release report is applied only if it is stricter than the status known to this instance.
        """
        now = self.clock()
        merged = self.inherited.merged(now)
        state = self.inherited.inherited_state(merged, now)
        if self.window_applied:
            state = replace(state, sent=(), accepted=(), exposure_window_known=False)
        self.window_applied = self.window_applied or state.exposure_window_known
        self.dispatcher.dispatch(self.balancer.apply_inherited_state, state)
        self.apply_stricter_release(merged.release)

    def apply_stricter_release(self, report: ReleaseReport | None) -> None:
        """Applies a source's release report if it allows less than the status known to this instance."""
        status = self.balancer.state.release
        own = None
        if status and status.build is not None and status.phase is not None:
            own = OwnRelease(status.build, int(status.phase), status.cap)
        if stricter := stricter_report(report, own):
            log_kv(
                "learnt_news", logging.WARNING, build=stricter.build, phase=stricter.phase, by=stricter.origin
            )
            self.dispatcher.on_release_status(release_status(stricter))
