"""The keys of this instance's connections while it runs: whom they let in, and their renewal."""

from __future__ import annotations

import asyncio
import logging
from datetime import UTC, datetime
from pathlib import Path

from gatebank.keys.folder import KeyFolderError, ReloadableKeys
from gatebank.keys.section import KeysSection
from gatebank.keys.tls_stream import TlsStream
from gatebank.proxy.configuration import ConfigurationError
from gatebank.proxy.log import log_kv


class PeerKeys:
    """Makes TLS for connections and checks who is on the other side."""

    def __init__(self, section: KeysSection, folder: Path) -> None:
        """Reads the keys.

        Args:
            section: says where they are and how often they are looked at.
            folder: that of the operators' file.

        Raises:
            ConfigurationError: they can't be used.
        """
        try:
            self.reloadable = ReloadableKeys(folder / section.folder)
        except KeyFolderError as error:
            raise ConfigurationError(f"keys: {error}") from error
        self.watch_interval = section.watch_interval

    def tls(self, is_server: bool) -> TlsStream:
        """Returns TLS for a new connection, with the keys that are in force now."""
        keys = self.reloadable.keys
        return TlsStream(keys.server if is_server else keys.client, is_server)

    def rejection(self, tls: TlsStream, allowed: list[str]) -> str:
        """Returns why the other side of a connection is not spoken to; empty if it is.

        Args:
            tls: of the connection, after its handshake.
            allowed: names in certificates.
        """
        reason = self.reloadable.rejection(tls.peer_name, tls.peer_serial, frozenset(allowed))
        if reason:
            log_kv("peer_refused", logging.WARNING, peer=tls.peer_name or "?", why=reason)
        return reason

    def reload(self) -> None:
        """Takes new keys from the folder into force; open connections keep theirs."""
        earlier_error = self.reloadable.error
        if self.reloadable.reload():
            keys = self.reloadable.keys
            log_kv("keys", name=keys.name, until=f"{keys.instance.end:%Y-%m-%d}")
        elif self.reloadable.error and self.reloadable.error != earlier_error:
            log_kv("keys_failed", logging.ERROR, why=self.reloadable.error)

    async def watch(self) -> None:
        """Reloads keys as they change, and warns of certificates that end soon, once for each."""
        warned = ""
        while True:
            warning = "; ".join(self.reloadable.keys.expiry_warnings(datetime.now(UTC)))
            # The text counts down the days: before the first colon it names the certificate.
            if warning and warning.partition(":")[0] != warned.partition(":")[0]:
                log_kv("keys_expire", logging.WARNING, what=warning)
            warned = warning
            await asyncio.sleep(self.watch_interval)
            self.reload()
