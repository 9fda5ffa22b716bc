"""State transfer of one instance: owns the listener, the connections, the background tasks and the snapshots.

A misbehaving peer affects only its own connection: each connection has time limits for its handshake, for
silence and for the whole transfer, and received items are checked before they are merged.
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

# Seconds after the start at which the merged state is applied again, so that endpoints that appear in the
# endpoint list only later get their inherited state too.
REAPPLY_AT = (0.25, 1.0, 3.0)


class StateTransfer:
    """Both sides of state transfer, source and receiver, for one instance.

    `listen` and `begin` start state transfer, `finish` writes the last snapshot of an orderly shutdown, and
    `close` releases all resources.
    """

    def __init__(
        self,
        section: StateTransferSection,
        keys_section: KeysSection | None,
        folder: Path,
        dispatcher: Dispatcher,
        name: str,
    ) -> None:
        """Reads the keys without opening a socket.

        Args:
            section: Settings of state transfer.
            keys_section: Settings of the keys; required unless connections are plain.
            folder: Folder at which relative paths of the operators' file begin.
            dispatcher: Owner of the balancer.
            name: Name of this instance.

        Raises:
            ConfigurationError: The keys are missing or cannot be used.
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
        """Opens the listener; raises ConfigurationError if the address cannot be used."""
        self.source.listen()

    async def begin(self) -> None:
        """Restores the last snapshot, and waits for sources for at most ``patience`` seconds.

        Transfers that take longer continue in the background.
        """
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
        """Applies the merged state again at the times of REAPPLY_AT, for endpoints listed later."""
        for seconds in REAPPLY_AT:
            await asyncio.sleep(max(0.0, self.state.started_at + seconds - self.state.clock()))
            self.state.merge()

    def reload_keys(self) -> None:
        """Loads changed keys immediately instead of at the next periodic check."""
        if self.keys:
            self.keys.reload()

    async def finish(self) -> None:
        """Writes the last snapshot of an orderly shutdown."""
        if self.snapshots:
            await self.snapshots.finish()

    def close(self) -> None:
        """Closes the listener and cancels all tasks; each task closes its connection."""
        self.source.close()
        self.tasks.cancel()

    def status_counts(self) -> dict[str, int | str]:
        """Returns the counters for the `standing` log line, by their log keys."""
        return {
            "learnt": self.state.new_item_count,
            "donations": self.receiver.completed,
            "donors_failed": self.receiver.failed,
            "taught": self.source.limiter.completed,
            "teaching_refused": self.source.limiter.refused,
        }


def needs_keys(section: StateTransferSection) -> bool:
    """Returns whether the section has connections with TLS."""
    return not section.plain and bool(section.listen or section.sources)


def load_keys(
    section: StateTransferSection, keys_section: KeysSection | None, folder: Path
) -> PeerKeys | None:
    """Returns the keys for TLS connections; None if there are no connections or they are plain.

    Raises:
        ConfigurationError: The keys are missing or cannot be used.
    """
    if not needs_keys(section):
        return None
    if keys_section is None:
        raise ConfigurationError("learning: a section keys(...) is needed, or plain = True on loopback")
    # Imported here because `cryptography` takes 10 MB of memory, which plain connections do not need.
    from gatebank.state_transfer.peer_keys import PeerKeys

    return PeerKeys(keys_section, folder)
