"""Loads items for ``gatebank learn`` from a running instance, a snapshot file or a folder of snapshots."""

from __future__ import annotations

import asyncio
import contextlib
import os
import ssl
import time
from dataclasses import dataclass
from pathlib import Path

from gatebank.errors import GatebankError
from gatebank.keys.tls_stream import TlsStream
from gatebank.proxy.configuration import Address, ConfigurationError, load_configuration, parse_address
from gatebank.state_transfer import snapshot
from gatebank.state_transfer.connection import Connection
from gatebank.state_transfer.items import InvalidItemError, StateItem, by_priority
from gatebank.state_transfer.protocol import (
    Ask,
    Conversation,
    FrameKind,
    Hello,
    Refusal,
    TransferProtocolError,
    deployment_id,
    encode_frame,
)

# Time limit in seconds for the answer of an instance, including all retries while the instance is busy.
ANSWER_TIMEOUT = 20.0
# Age limit in seconds that admits snapshots of any age.
UNLIMITED_AGE = 1e9


class StateSourceError(GatebankError):
    """The items of a source cannot be loaded.

    Attributes:
        reason: Description of the failure, with the source's name.
    """

    def __init__(self, reason: object) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class SourceReply:
    """Reply of an instance: all its items, or a refusal with the time in seconds after which to retry."""

    items: list[StateItem]
    retry_after: float | None = None


def load_items(source: str, keys_folder: Path | None, configuration: Path | None) -> list[StateItem]:
    """Load all items of a source, the most valuable first.

    Args:
        source: Address and port of an instance, or path of a snapshot file or folder.
        keys_folder: Key folder for the connection to an instance; without it the connection uses no TLS.
        configuration: Configuration file of an instance, which determines the requested deployment.

    Raises:
        StateSourceError: The items cannot be loaded.
    """
    path = Path(source)
    if path.exists():
        return by_priority(read_snapshot(path))
    try:
        address = parse_address(source, "source")
    except ConfigurationError as error:
        raise StateSourceError(f"{error}, and no such file") from error
    return by_priority(asyncio.run(request_items(source, address, keys_folder, configuration)))


def read_snapshot(path: Path) -> list[StateItem]:
    """Return the items of a snapshot file, or of the newest readable snapshot in a folder."""
    paths = [path]
    if path.is_dir():
        paths = [path / name for name in snapshot.FILE_NAMES if (path / name).exists()]
    loaded: list[snapshot.LoadedSnapshot] = []
    reason = "no snapshot found"
    for file in paths:
        try:
            data = file.read_bytes()
            header = snapshot.decode_header(data)
            now = max(time.time(), header.at)
            loaded.append(snapshot.decode_snapshot(data, header.deployment, now, UNLIMITED_AGE))
        except (OSError, snapshot.SnapshotError) as error:
            reason = f"{file.name}: {getattr(error, 'strerror', None) or error}"
    if not loaded:
        raise StateSourceError(f"{path}: {reason}")
    return max(loaded, key=lambda candidate: candidate.header.at).items


async def request_items(
    source: str, address: Address, keys_folder: Path | None, configuration: Path | None
) -> list[StateItem]:
    """Request all items from an instance as a receiver does; the instance decides whether to permit it."""
    try:
        hello = Hello(name="show", deployment=deployment_of(configuration))
        context = client_context(keys_folder)
    except (GatebankError, ConfigurationError) as error:
        raise StateSourceError(error) from error
    late_reason = "no answer in time"
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT):
            # A busy source serves its clients first, and its refusal says when to retry.
            while (
                reply := await request_items_once(address, context, hello, source)
            ).retry_after is not None:
                late_reason = "busy"
                await asyncio.sleep(reply.retry_after)
    except TransferProtocolError as error:
        hint = "--configuration determines which deployment is requested"
        raise StateSourceError(f"{source}: {error}; {hint}") from error
    except InvalidItemError as error:
        raise StateSourceError(f"{source}: {error}") from error
    except ssl.SSLError as error:
        raise StateSourceError(f"{source}: TLS: {error.reason or error}") from error
    except ConnectionError as error:
        raise StateSourceError(
            f"{source}: {error.strerror or error}; is this name among its may_learn?"
        ) from error
    except OSError as error:
        raise StateSourceError(f"{source}: {error.strerror or late_reason}") from error
    return reply.items


async def request_items_once(
    address: Address, context: ssl.SSLContext | None, hello: Hello, source: str
) -> SourceReply:
    """Open one connection to an instance and return its reply.

    Raises the errors of `Connection` and of `Conversation.feed`.
    """
    tls = TlsStream(context, is_server=False) if context else None
    conversation = Conversation(hello)
    items: list[StateItem] = []
    with contextlib.closing(Connection.for_address(address, tls)) as connection:
        await connection.connect(address, ANSWER_TIMEOUT)
        await connection.send(conversation.hello() + encode_frame(FrameKind.ASK, Ask()))
        while not conversation.ended:
            data = await connection.read()
            if not data:
                hint = "is this name among its may_learn?"
                raise StateSourceError(f"{source}: the source closed the connection; {hint}")
            for message in conversation.feed(data):
                if isinstance(message, Refusal):
                    return SourceReply(items, message.retry_after)
                if isinstance(message, list):
                    items += message
    return SourceReply(items)


def deployment_of(configuration: Path | None) -> str:
    """Return the deployment id of an instance's configuration file; empty without a file.

    Raises:
        ConfigurationError: The file cannot be used.
    """
    if configuration is None:
        return ""
    environment = dict(os.environ) | {"ROUTER_CONFIG": str(configuration)}
    return deployment_id(load_configuration(environment).settings)


def client_context(keys_folder: Path | None) -> ssl.SSLContext | None:
    """Return a TLS context with the keys of a folder; None without a folder.

    Raises:
        KeyFolderError: The folder cannot be used.
    """
    if keys_folder is None:
        return None
    # Imported here because only TLS needs `cryptography`; snapshots can be shown without that library.
    from gatebank.keys.folder import read_keys

    return read_keys(keys_folder).client
