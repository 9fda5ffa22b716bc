"""State transfer in service: owns the listener, the connections, the background tasks and the snapshots.

Whatever the other side of a connection does costs that connection alone: each has limits for its handshake,
its silence and its whole time, and what comes is checked before it is merged.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from gatebank.keys.section import KeysSection
from gatebank.proxy.configuration import ConfigurationError
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.state_transfer.background_tasks import BackgroundTasks
from gatebank.state_transfer.local_state import LocalState
from gatebank.state_transfer.receiver import StateReceiver
from gatebank.state_transfer.section import StateTransferSection
from gatebank.state_transfer.snapshot_store import SnapshotStore
from gatebank.state_transfer.source import StateSource

if TYPE_CHECKING:
    from gatebank.state_transfer.peer_keys import PeerKeys

# Seconds after the start at which the merged state is applied again: endpoints that the endpoint list names
# only later would go without it.
REAPPLY_AT = (0.25, 1.0, 3.0)


class StateTransfer:
    """Both sides of state transfer, for one instance.

    `listen` and `begin` start it, `finish` writes the last snapshot of an orderly shutdown, and `close` gives
    back all that was opened.
    """

    def __init__(
        self,
        section: StateTransferSection,
        keys_section: KeysSection | None,
        folder: Path,
        dispatcher: Dispatcher,
        name: str,
    ) -> None:
        """Reads the keys; opens no socket yet.

        Args:
            section: the operators' settings.
            keys_section: where the keys are; needed unless connections are plain.
            folder: where relative paths of the operators' file begin.
            dispatcher: owner of the balancer.
            name: of this instance.

        Raises:
            ConfigurationError: keys are missing, or can't be used.
        """
        self.tasks = BackgroundTasks()
        self.state = LocalState(dispatcher, name, section.half_lives)
        self.keys = load_keys(section, keys_section, folder)
        self.receiver = StateReceiver(section, self.state, self.keys, self.tasks)
        self.source = StateSource(section, self.state, self.keys, self.tasks)
        self.snapshots: SnapshotStore | None = None
        if section.snapshot_folder:
            self.snapshots = SnapshotStore(
                folder / section.snapshot_folder,
                section.snapshot_interval,
                section.max_snapshot_age,
                self.state,
            )

    def listen(self) -> None:
        """Opens the listener; raises ConfigurationError if it can't be."""
        self.source.listen()

    async def begin(self) -> None:
        """Restores the last snapshot and receives what comes within ``patience``; the rest goes on beside."""
        if self.snapshots:
            self.snapshots.restore()
        self.source.begin()
        if self.snapshots:
            self.tasks.start(self.snapshots.write_regularly())
        if self.keys:
            self.tasks.start(self.keys.watch())
        self.receiver.begin()
        self.tasks.start(self.reapply())
        await self.receiver.wait_until_may_serve()
        self.state.merge()

    async def reapply(self) -> None:
        """Merges again as the endpoint list becomes complete."""
        for seconds in REAPPLY_AT:
            await asyncio.sleep(max(0.0, self.state.started_at + seconds - self.state.clock()))
            self.state.merge()

    def reload_keys(self) -> None:
        """Looks for new keys at once."""
        if self.keys:
            self.keys.reload()

    async def finish(self) -> None:
        """Writes the last snapshot of an orderly shutdown."""
        if self.snapshots:
            await self.snapshots.finish()

    def close(self) -> None:
        """Closes the listener and cancels all tasks, with which connections end."""
        self.source.close()
        self.tasks.cancel()

    def status_counts(self) -> dict[str, int | str]:
        """Returns the counters of the log's `standing` line, by their names there."""
        return {
            "learnt": self.state.received,
            "donations": self.receiver.completed,
            "donors_failed": self.receiver.failed,
            "taught": self.source.limiter.completed,
            "teaching_refused": self.source.limiter.refused,
        }


def needs_keys(section: StateTransferSection) -> bool:
    """Returns whether connections are made, and with TLS."""
    return not section.plain and bool(section.listen or section.sources)


def load_keys(
    section: StateTransferSection, keys_section: KeysSection | None, folder: Path
) -> PeerKeys | None:
    """Returns the keys of connections, None if there are none to make or they are plain.

    Raises:
        ConfigurationError: keys are missing, or can't be used.
    """
    if not needs_keys(section):
        return None
    if keys_section is None:
        raise ConfigurationError("learning: a section keys(...) is needed, or plain = True on loopback")
    # `cryptography` takes 10 MB, which an instance with plain connections does without.
    from gatebank.state_transfer.peer_keys import PeerKeys

    return PeerKeys(keys_section, folder)
