"""What an instance is given at its start: the ROUTER_ variables and the configuration file, checked."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import orjson

from gatebank.errors import GatebankError
from gatebank.settings import Settings, read_settings

Address = tuple[str, int]  # IP address and port
MB = 1024 * 1024
MAX_PORT = 65535
EMPTY_PROCESS_BYTES = 30 * MB  # what a process holds that serves nobody: 25 to 26 MB measured
MIN_SPARE_BYTES = 2 * MB  # however small the memory limit is
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 32  # 24 are kept for all but connections
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 16
MAX_MEMORY_MB = 1e6  # exclusive; what is larger is a slip of the pen
# Variables that stand in for what the file lacks.
FALLBACK_VARIABLES = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"}


class ConfigurationError(GatebankError):
    """An instance can't start so.

    Attributes:
        reason: What is wrong, with the place in the section it stands in.
        field: The field that is wrong; empty where it is not one field's fault.
        path: The file; empty where the caller adds it.
    """

    def __init__(self, reason: str, *, field: str = "", path: str = "") -> None:
        super().__init__(": ".join(part for part in (path, field, reason) if part))
        self.reason = reason
        self.field = field
        self.path = path

    def at(self, path: str) -> ConfigurationError:
        """The same error, with the file in which it was found."""
        return ConfigurationError(self.reason, field=self.field, path=path)


@dataclass(slots=True, frozen=True)
class MemoryBounds:
    """Bytes for what may pile up, in parts of what the memory limit leaves beside an empty process.

    The parts add up to three quarters: the rest is for rows, first buffers and the allocator.

    Attributes:
        commands: Of requests in flight.
        answers: That clients have not taken.
        buffers: Beyond their first room: for clients' and for endpoints' connections each.
    """

    request_bytes: int
    unread_reply_bytes: int
    buffer_growth_bytes: int

    @classmethod
    def within(cls, memory_mb: float) -> MemoryBounds:
        """Share out a memory limit.

        >>> bounds = MemoryBounds.within(192)
        >>> bounds.request_bytes, bounds.unread_reply_bytes, bounds.buffer_growth_bytes
        (21233664, 63700992, 21233664)
        >>> MemoryBounds.within(32).buffer_growth_bytes
        262144
        """
        spare = max(MIN_SPARE_BYTES, int(memory_mb * MB) - EMPTY_PROCESS_BYTES)
        return cls(spare // 8, 3 * spare // 8, spare // 8)


@dataclass(slots=True, frozen=True)
class Configuration:
    """Where an instance stands and what it starts with.

    Attributes:
        listen: Where clients connect.
        discovery: Where the endpoint list is watched; None: it never changes.
        release_service: None: there is none, and nothing is voted on.
        initial_status: The release service's status as last known, as the file has it.
        peer_listen: Where peers' datagrams come in; None: no messages to peers.
        peers: All instances, this one too, by their number.
        peer_broadcast: One address that reaches all peers.
        seed: Of the balancer's chance.
        descriptors: As many as the process may have.
        initial_endpoints: The endpoint list as last known, as the file has it.
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
    """Read an IP address and port; ``field`` names the place in errors.

    >>> parse_address("127.0.0.4:6379", "listen"), parse_address("[::1]:7", "listen")
    (('127.0.0.4', 6379), ('::1', 7))
    >>> parse_address("somewhere:70000", "listen")
    Traceback (most recent call last):
    gatebank.proxy.configuration.ConfigurationError: listen: 'somewhere:70000' is no IP address and port
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    try:
        found = str(ip_address(host)), int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        found = "", 0
    if 0 < found[1] <= MAX_PORT:
        return found
    raise ConfigurationError(f"{text!r} is no IP address and port", field=field)


def parse_optional_address(text: object, field: str) -> Address | None:
    """As `parse_address`; None where there is nothing."""
    return None if text in (None, "") else parse_address(text, field)


def load_configuration(environment: Mapping[str, str]) -> Configuration:
    """Read the configuration from the variables, of which ROUTER_CONFIG names the file that holds the rest.

    Raises:
        ConfigurationError: With the file's path.
    """
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigurationError("ROUTER_CONFIG is not set; it names the configuration file")
    given = read_object(path)
    fallbacks = {
        key: environment[variable]
        for key, variable in FALLBACK_VARIABLES.items()
        if environment.get(variable)
    }
    try:
        return parse_configuration(fallbacks | given)
    except ConfigurationError as error:
        raise error.at(path) from error
    except KeyError as error:
        raise ConfigurationError(f"{error} is missing", path=path) from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(str(error), path=path) from error


def read_object(path: str) -> dict[str, Any]:
    """Read a file that holds one JSON object."""
    try:
        given = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(str(error.strerror), path=path) from error
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"no JSON: {error}", path=path) from error
    if not isinstance(given, dict):
        raise ConfigurationError("not a JSON object", path=path)
    return given


def parse_configuration(given: Mapping[str, Any]) -> Configuration:
    """Check a configuration as its file has it.

    Raises:
        ConfigurationError: It is incomplete or something in it is senseless.
    """
    settings = parse_settings(given.get("settings"))
    limits = given.get("limits") or {}
    release_service = given.get("platform") or {}
    peers = given.get("peers") or []
    initial_endpoints = given.get("known")
    if not (isinstance(release_service, dict) and isinstance(peers, list) and isinstance(limits, dict)):
        raise ConfigurationError("platform, peers or limits has the wrong form")
    return Configuration(
        seed=parse_seed(given),
        descriptors=parse_descriptors(limits),
        bounds=MemoryBounds.within(parse_memory_mb(limits)),
        name=str(given.get("name", "marshal")),
        listen=parse_address(given.get("listen"), "listen"),
        discovery=parse_optional_address(given.get("discovery"), "discovery"),
        release_service=parse_optional_address(release_service.get("address"), "platform.address"),
        initial_status=release_service.get("news"),
        peer_listen=parse_optional_address(given.get("peer_listen"), "peer_listen"),
        peers=tuple(parse_address(peer, "peers") for peer in peers),
        peer_broadcast=parse_optional_address(given.get("peers_all"), "peers_all"),
        initial_endpoints=initial_endpoints if isinstance(initial_endpoints, dict) else None,
        settings=settings,
    )


def parse_settings(given: object) -> Settings:
    """Check the settings, which are shared by all instances but for their numbers."""
    if not isinstance(given, dict):
        raise ConfigurationError("missing or not an object", field="settings")
    for key, minimum in (("me", 0), ("balancers", 1)):
        if not isinstance(given.get(key), int) or given[key] < minimum:
            raise ConfigurationError(f"{key} is no number of at least {minimum}", field="settings")
    try:
        settings = read_settings(given)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"{type(error).__name__} {error}", field="settings") from error
    if not settings.request_classes or not all("name" in each for each in given["classes"]):
        raise ConfigurationError("a workload has no name, or there is none", field="settings")
    return settings


def parse_seed(given: Mapping[str, Any]) -> int:
    """The seed, a hexadecimal number; 0 where there is none."""
    try:
        return int(str(given.get("seed", 0)), 16)
    except ValueError:
        raise ConfigurationError(f"{given['seed']!r} is no hexadecimal number", field="seed") from None


def parse_descriptors(limits: Mapping[str, Any]) -> int:
    """How many descriptors the process may have."""
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(descriptors, int) or descriptors < MIN_DESCRIPTORS:
        raise ConfigurationError(f"sockets is no number of at least {MIN_DESCRIPTORS}", field="limits")
    return descriptors


def parse_memory_mb(limits: Mapping[str, Any]) -> float:
    """How many MB of memory the process may take."""
    memory: float = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if type(memory) not in (int, float) or not MIN_MEMORY_MB <= memory < MAX_MEMORY_MB:
        raise ConfigurationError(f"memory_mb is no number of at least {MIN_MEMORY_MB}", field="limits")
    return memory
