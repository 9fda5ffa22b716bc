"""Snapshots in service: read once at the start, written from time to time and at shutdown."""

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
        """Touches no file yet.

        Args:
            folder: made if it is not there.
            interval: seconds between two snapshots.
            max_age: seconds after which a snapshot is not used.
            state: what is written, and gets what is read.
        """
        self.folder = folder
        self.interval = interval
        self.max_age = max_age
        self.state = state
        self.turn = 0
        self.last_error = ""
        self.shutting_down = False
        # One is written at a time, and none after the one of the shutdown.
        self.writing = asyncio.Lock()

    def restore(self) -> None:
        """Merges the newest snapshot like the state of any source; without one the start goes on."""
        boot = snapshot.boot_time()
        try:
            self.folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
            loaded = snapshot.load_newest(self.folder, self.state.deployment, time.time(), self.max_age, boot)
        except (snapshot.SnapshotError, OSError) as error:
            log_kv("snapshot_refused", logging.WARNING, why=error)
            return
        header = loaded.header
        self.turn = loaded.slot + 1
        # Whether an attempt still lies in the exposure window takes an exact age: one of this boot, by a
        # clock that nobody sets.
        exact = boot.is_same_boot(header.boot_time)
        own = header.name == self.state.name
        self.state.inherited.window_known = header.at_shutdown and own and exact
        new_items = self.state.receive(loaded.items)
        log_kv("snapshot", items=new_items, age=time.time() - header.at, closed=header.at_shutdown)
        self.state.merge()

    async def write_regularly(self) -> None:
        """Writes snapshots until it is cancelled."""
        while True:
            await asyncio.sleep(self.interval)
            await self.write(at_shutdown=False)

    async def finish(self) -> None:
        """Writes the last snapshot, with the whole last exposure window."""
        self.shutting_down = True
        await self.write(at_shutdown=True)

    async def write(self, at_shutdown: bool) -> None:
        """Writes a snapshot, in a thread: the event loop never waits for a disk."""
        async with self.writing:
            if self.shutting_down and not at_shutdown:
                return
            state = self.state
            items = await state.items(include_window=True)
            # A window that is cut short can't be relied on: it is written as if none were known.
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
