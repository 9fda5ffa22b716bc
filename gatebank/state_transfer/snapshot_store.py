"""Restores a snapshot at the start, and writes snapshots periodically and at shutdown."""

from __future__ import annotations

import asyncio
import logging
import time
from pathlib import Path

from gatebank.proxy.log import log_kv
from gatebank.state_transfer import snapshot
from gatebank.state_transfer.local_state import LocalState

FOLDER_MODE = 0o700


class SnapshotStore:
    """The snapshots of this instance in one folder."""

    def __init__(self, folder: Path, interval: float, max_age: float, state: LocalState) -> None:
        """Prepares the store without accessing files.

        Args:
            folder: Folder of the snapshots; created if missing.
            interval: Seconds between two snapshots.
            max_age: Seconds after which a snapshot is not used.
            state: Exports the items to write, and stores the items that are read.
        """
        self.folder = folder
        self.interval = interval
        self.max_age = max_age
        self.state = state
        self.turn = 0
        self.last_error = ""
        self.shutting_down = False
        # Held while a snapshot is written, so that snapshots are written one at a time, and none after the
        # snapshot of the shutdown.
        self.writing = asyncio.Lock()

    def restore(self) -> None:
        """Merges the newest snapshot like the state of a source; logs the reason if no snapshot is usable."""
        boot = snapshot.boot_time()
        try:
            self.folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
            loaded = snapshot.load_newest(self.folder, self.state.deployment, time.time(), self.max_age, boot)
        except (snapshot.SnapshotError, OSError) as error:
            log_kv("snapshot_refused", logging.WARNING, why=error)
            return
        header = loaded.header
        self.turn = loaded.slot + 1
        # Exact ages are needed to tell whether an attempt is still in the exposure window. Ages are exact
        # only within one boot, by the clock that counts from boot, because Unix time can be set.
        exact = boot.is_same_boot(header.boot_time)
        is_own = header.name == self.state.name
        self.state.inherited.window_known = header.at_shutdown and is_own and exact
        new_items = self.state.receive(loaded.items)
        log_kv("snapshot", items=new_items, age=time.time() - header.at, closed=header.at_shutdown)
        self.state.merge()

    async def write_regularly(self) -> None:
        """Writes snapshots periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(self.interval)
            await self.write(at_shutdown=False)

    async def finish(self) -> None:
        """Writes the last snapshot at shutdown, with the whole last exposure window."""
        self.shutting_down = True
        await self.write(at_shutdown=True)

    async def write(self, at_shutdown: bool) -> None:
        """Writes a snapshot; a thread writes the file, so that the event loop never waits for the disk."""
        async with self.writing:
            if self.shutting_down and not at_shutdown:
                return
            state = self.state
            items = await state.items(include_window=True)
            # A truncated window is not reliable: the snapshot is marked as if it was not taken at shutdown.
            complete = at_shutdown and state.window_fits()
            data = snapshot.encode_snapshot(
                items,
                snapshot.SnapshotOrigin(state.deployment, state.name, state.incarnation),
                time.time(),
                complete,
                snapshot.boot_time(),
            )
            try:
                await asyncio.to_thread(snapshot.write_snapshot, self.folder, self.turn, data)
            except OSError as error:
                if self.last_error != str(error):
                    log_kv("snapshot_failed", logging.ERROR, folder=self.folder, why=error.strerror)
                self.last_error = str(error)
                return
            self.turn += 1
            self.last_error = ""
