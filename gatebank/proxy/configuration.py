"""Configuration of an instance: reads and validates the ROUTER_ variables and the configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import orjson

from gatebank.errors import GatebankError
from gatebank.settings import Settings, read_settings

Address = tuple[str, int]  # IP address and port.
MB = 1024 * 1024
MAX_PORT = 65535
IDLE_PROCESS_BYTES = 30 * MB  # Memory reserved for an idle process; 25 to 26 MB were measured.
BARE_PROCESS_BYTES = 24 * MB  # Memory of an idle process without connections.
CONNECTION_BYTES = 8192  # Memory of a connection with its first buffer and its tasks.
MIN_ENDPOINT_CONNECTIONS = 64
MIN_LIST_BYTES = 512 * 1024  # Over a thousand endpoints, also where lists come indented.
MAX_LIST_BYTES = 8 * MB  # Some ten thousand endpoints.
MIN_SPARE_BYTES = 2 * MB  # Lower bound on the spare memory, however small the memory limit is.
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 32  # 24 of the descriptors are reserved for purposes other than connections.
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 16
MAX_MEMORY_MB = 1e6  # Exclusive upper bound; a larger value is assumed to be a typing error.
# Environment variables that supply keys missing from the configuration file.
FALLBACK_VARIABLES = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"}


class ConfigurationError(GatebankError):
    """An instance cannot start with this configuration.

    Attributes:
        reason: Description of the error and its place within the section.
        field: The invalid field; empty if the error does not concern a single field.
        path: The configuration file; empty if the caller adds the path later.
    """

    def __init__(self, reason: str, *, field: str = "", path: str = "") -> None:
        super().__init__(": ".join(part for part in (path, field, reason) if part))
        self.reason = reason
        self.field = field
        self.path = path

    def with_path(self, path: str) -> ConfigurationError:
        """Return the same error with the path of the file in which it was found."""
        return ConfigurationError(self.reason, field=self.field, path=path)


@dataclass(slots=True, frozen=True)
class MemoryBounds:
    """Memory limits in bytes, as shares of the memory that the limit leaves beside an idle process.

    With ``buffer_growth_bytes`` counted for each side, the limits add up to three quarters of that memory;
    the rest is for table rows, initial buffers and the allocator.

    Attributes:
        request_bytes: Limit for the requests in flight.
        unread_reply_bytes: Limit for replies that wait for their turn or that clients have not read yet.
        buffer_growth_bytes: Limit for the growth of receive buffers beyond their initial size; applies to
            client connections and to endpoint connections separately.
        endpoint_connections: Limit for the number of connections to endpoints.
        list_bytes: Limit for a listing of discovery, whose parsed form takes several times as much.
    """

    request_bytes: int
    unread_reply_bytes: int
    buffer_growth_bytes: int
    endpoint_connections: int
    list_bytes: int

    @classmethod
    def within(cls, memory_mb: float) -> MemoryBounds:
        """Divide a memory limit.

        >>> bounds = MemoryBounds.within(192)
        >>> bounds.request_bytes, bounds.unread_reply_bytes, bounds.buffer_growth_bytes
        (63700992, 21233664, 21233664)
        >>> MemoryBounds.within(32).buffer_growth_bytes
        262144
        >>> MemoryBounds.within(32).endpoint_connections, MemoryBounds.within(192).endpoint_connections
        (128, 2688)
        """
        spare = max(MIN_SPARE_BYTES, int(memory_mb * MB) - IDLE_PROCESS_BYTES)
        free = int(memory_mb * MB) - BARE_PROCESS_BYTES
        connections = max(MIN_ENDPOINT_CONNECTIONS, free // 8 // CONNECTION_BYTES)
        list_bytes = max(MIN_LIST_BYTES, min(MAX_LIST_BYTES, free // 16))
        return cls(3 * spare // 8, spare // 8, spare // 8, connections, list_bytes)


@dataclass(slots=True, frozen=True)
class Configuration:
    """Addresses, limits, settings and initial control plane state of an instance.

    Attributes:
        listen: Address on which clients connect.
        discovery: Address of discovery; None if the endpoint list never changes.
        release_service: Address of the release service; None if there is none, so that no votes are cast.
        initial_status: Last known release status, in the form of the configuration file.
        peer_listen: Address on which datagrams from peers arrive; None disables messages between peers.
        peers: Addresses of all instances including this one, by instance number.
        peer_broadcast: Address that reaches all peers.
        seed: Seed of the balancer's random number generator.
        descriptors: Number of file descriptors that the process may use.
        initial_endpoints: Last known endpoint list, in the form of the configuration file.
    """

    name: str
    listen: Address
    discovery: Address | None
    release_service: Address | None
    initial_status: Mapping[str, Any] | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peer_broadcast: Address | None
    seed: int
    descriptors: int
    bounds: MemoryBounds
    initial_endpoints: Mapping[str, Any] | None
    settings: Settings


def parse_address(text: object, field: str) -> Address:
    """Parse an IP address and port; error messages name ``field``.

    >>> parse_address("127.0.0.4:6379", "listen"), parse_address("[::1]:7", "listen")
    (('127.0.0.4', 6379), ('::1', 7))
    >>> parse_address("somewhere:70000", "listen")
    Traceback (most recent call last):
    gatebank.proxy.configuration.ConfigurationError: listen: 'somewhere:70000' is not an IP address and port
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    try:
        result = str(ip_address(host)), int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        result = "", 0
    if 0 < result[1] <= MAX_PORT:
        return result
    raise ConfigurationError(f"{text!r} is not an IP address and port", field=field)


def parse_optional_address(text: object, field: str) -> Address | None:
    """Parse an address like `parse_address`; return None if there is none."""
    return None if text in (None, "") else parse_address(text, field)


def load_configuration(environment: Mapping[str, str]) -> Configuration:
    """Load the configuration from the environment variables and the file that ROUTER_CONFIG names.

    Raises:
        ConfigurationError: The configuration is missing or invalid; the error names the file.
    """
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigurationError("ROUTER_CONFIG is not set; it names the configuration file")
    document = read_object(path)
    fallbacks = {
        key: environment[variable]
        for key, variable in FALLBACK_VARIABLES.items()
        if environment.get(variable)
    }
    try:
        return parse_configuration(fallbacks | document)
    except ConfigurationError as error:
        raise error.with_path(path) from error
    except KeyError as error:
        raise ConfigurationError(f"{error} is missing", path=path) from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(str(error), path=path) from error


def read_object(path: str) -> dict[str, Any]:
    """Read a file that contains one JSON object."""
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(str(error.strerror), path=path) from error
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"invalid JSON: {error}", path=path) from error
    if not isinstance(document, dict):
        raise ConfigurationError("not a JSON object", path=path)
    return document


def parse_configuration(document: Mapping[str, Any]) -> Configuration:
    """Validate the contents of a configuration file.

    Raises:
        ConfigurationError: The configuration is incomplete or invalid.
    """
    settings = parse_settings(document.get("settings"))
    limits = document.get("limits") or {}
    release_service = document.get("platform") or {}
    peers = document.get("peers") or []
    initial_endpoints = document.get("known")
    if not (isinstance(release_service, dict) and isinstance(peers, list) and isinstance(limits, dict)):
        raise ConfigurationError("platform and limits must be JSON objects, and peers must be a JSON array")
    return Configuration(
        seed=parse_seed(document),
        descriptors=parse_descriptors(limits),
        bounds=MemoryBounds.within(parse_memory_mb(limits)),
        name=str(document.get("name", "marshal")),
        listen=parse_address(document.get("listen"), "listen"),
        discovery=parse_optional_address(document.get("discovery"), "discovery"),
        release_service=parse_optional_address(release_service.get("address"), "platform.address"),
        initial_status=release_service.get("news"),
        peer_listen=parse_optional_address(document.get("peer_listen"), "peer_listen"),
        peers=tuple(parse_address(peer, "peers") for peer in peers),
        peer_broadcast=parse_optional_address(document.get("peers_all"), "peers_all"),
        initial_endpoints=initial_endpoints if isinstance(initial_endpoints, dict) else None,
        settings=settings,
    )


def parse_settings(document: object) -> Settings:
    """Validate the settings; apart from the instance number, all instances share them."""
    if not isinstance(document, dict):
        raise ConfigurationError("missing or not an object", field="settings")
    for key, minimum in (("me", 0), ("balancers", 1)):
        if not isinstance(document.get(key), int) or document[key] < minimum:
            raise ConfigurationError(f"{key} must be an integer of at least {minimum}", field="settings")
    try:
        settings = read_settings(document)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"{type(error).__name__} {error}", field="settings") from error
    if not settings.request_classes or not all(
        "name" in request_class for request_class in document["classes"]
    ):
        raise ConfigurationError(
            "classes must hold at least one request class, each with a name", field="settings"
        )
    return settings


def parse_seed(document: Mapping[str, Any]) -> int:
    """Parse the seed, a hexadecimal number; return 0 if there is none."""
    try:
        return int(str(document.get("seed", 0)), 16)
    except ValueError:
        raise ConfigurationError(f"{document['seed']!r} is not a hexadecimal number", field="seed") from None


def parse_descriptors(limits: Mapping[str, Any]) -> int:
    """Return the number of file descriptors that the process may use."""
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(descriptors, int) or descriptors < MIN_DESCRIPTORS:
        raise ConfigurationError(f"sockets must be an integer of at least {MIN_DESCRIPTORS}", field="limits")
    return descriptors


def parse_memory_mb(limits: Mapping[str, Any]) -> float:
    """Return the memory limit of the process in MB."""
    memory: float = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if type(memory) not in (int, float) or not MIN_MEMORY_MB <= memory < MAX_MEMORY_MB:
        raise ConfigurationError(f"memory_mb must be a number of at least {MIN_MEMORY_MB}", field="limits")
    return memory
