"""The TLS keys of this instance's connections: checks of peers, and reloading without a restart."""

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
    """Creates TLS state for connections, and checks the certificates of peers."""

    def __init__(self, section: KeysSection, folder: Path) -> None:
        """Reads the keys.

        Args:
            section: The folder of the keys and the interval between checks for new keys.
            folder: Folder of the operators' file, at which relative paths begin.

        Raises:
            ConfigurationError: The keys cannot be used.
        """
        try:
            self.reloadable = ReloadableKeys(folder / section.folder)
        except KeyFolderError as error:
            raise ConfigurationError(f"keys: {error}") from error
        self.watch_interval = section.watch_interval

    def tls(self, is_server: bool) -> TlsStream:
        """Returns TLS state for a new connection, with the current keys."""
        keys = self.reloadable.keys
        return TlsStream(keys.server if is_server else keys.client, is_server)

    def rejection(self, tls: TlsStream, allowed: list[str]) -> str:
        """Returns the reason for rejecting a peer, or an empty string if the peer is accepted.

        Args:
            tls: TLS state of the connection, after the handshake.
            allowed: Accepted names in certificates.
        """
        reason = self.reloadable.rejection_reason(tls.peer_name, tls.peer_serial, frozenset(allowed))
        if reason:
            log_kv("peer_refused", logging.WARNING, peer=tls.peer_name or "?", why=reason)
        return reason

    def reload(self) -> None:
        """Loads changed keys from the folder; open connections keep the earlier keys."""
        earlier_error = self.reloadable.error
        if self.reloadable.reload():
            keys = self.reloadable.keys
            log_kv("keys", name=keys.name, until=f"{keys.instance.valid_until:%Y-%m-%d}")
        elif self.reloadable.error and self.reloadable.error != earlier_error:
            log_kv("keys_failed", logging.ERROR, why=self.reloadable.error)

    async def watch(self) -> None:
        """Reloads changed keys periodically, and logs one warning for each certificate that expires soon."""
        warned = ""
        while True:
            warning = "; ".join(self.reloadable.keys.expiry_warnings(datetime.now(UTC)))
            # The text before the first colon names the certificate; the text behind it changes as days pass.
            if warning and warning.partition(":")[0] != warned.partition(":")[0]:
                log_kv("keys_expire", logging.WARNING, what=warning)
            warned = warning
            await asyncio.sleep(self.watch_interval)
            self.reload()
