"""What a marshal is told at its start: the ROUTER_ variables and the configuration file, read and checked."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import orjson

from gatebank.settings import Settings, read_settings

Address = tuple[str, int]
MB = 1024 * 1024


class ConfigurationError(Exception):
    """The marshal can't start so; the text says what is wrong."""


EMPTY = 30 * MB  # what a process holds that serves nobody: 25 to 26 MB measured


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bytes for what may pile up, in parts of what the memory limit leaves beside an empty process. The parts
    add up to three quarters: the rest is for rows, first buffers and the allocator."""

    commands: int  # of customers, in hand
    answers: int  # that customers have not taken
    buffers: int  # beyond their first room: for customers' and for nodes' connections each

    @classmethod
    def within(cls, memory_mb: float) -> Bounds:
        """
        >>> Bounds.within(192), Bounds.within(32).buffers
        (Bounds(commands=21233664, answers=63700992, buffers=21233664), 262144)
        """
        spare = max(2 * MB, int(memory_mb * MB) - EMPTY)
        return cls(spare // 8, 3 * spare // 8, spare // 8)


@dataclass(slots=True, frozen=True)
class Configuration:
    """Where a marshal stands and what it starts with."""

    name: str
    listen: Address
    roll: Address | None
    desk: Address | None
    desk_news: Mapping[str, Any] | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    descriptors: int
    bounds: Bounds
    known: Mapping[str, Any] | None
    settings: Settings


def address(text: Any, what: str) -> Address:
    """
    >>> address("127.0.0.4:6379", "listen"), address("[::1]:7", "listen")
    (('127.0.0.4', 6379), ('::1', 7))
    >>> address("somewhere:70000", "listen")
    Traceback (most recent call last):
    gatebank.proxy.configuration.ConfigurationError: listen: 'somewhere:70000' is no IP address and port
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    try:
        found = str(ip_address(host)), int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        found = "", 0
    if 0 < found[1] < 65536:
        return found
    raise ConfigurationError(f"{what}: {text!r} is no IP address and port")


def optional(value: Any, what: str) -> Address | None:
    return None if value in (None, "") else address(value, what)


def load_configuration(environment: Mapping[str, str]) -> Configuration:
    """From the variables, of which ROUTER_CONFIG names the file that holds the rest."""
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigurationError("ROUTER_CONFIG is not set; it names the configuration file")
    try:
        given = orjson.loads(Path(path).read_bytes())
    except OSError as trouble:
        raise ConfigurationError(f"{path}: {trouble.strerror}") from trouble
    except orjson.JSONDecodeError as trouble:
        raise ConfigurationError(f"{path}: no JSON: {trouble}") from trouble
    if not isinstance(given, dict):
        raise ConfigurationError(f"{path}: not a JSON object")
    told = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"}
    given = {key: environment[name] for key, name in told.items() if environment.get(name)} | given
    try:
        return parse_configuration(given)
    except ConfigurationError as trouble:
        raise ConfigurationError(f"{path}: {trouble}") from trouble
    except (KeyError, TypeError, ValueError, AttributeError) as trouble:
        what = f"{trouble} is missing" if isinstance(trouble, KeyError) else str(trouble)
        raise ConfigurationError(f"{path}: {what}") from trouble


def parse_configuration(given: Mapping[str, Any]) -> Configuration:
    given_settings, limits = given.get("settings"), given.get("limits") or {}
    if not isinstance(given_settings, dict):
        raise ConfigurationError("settings: missing or not an object")
    for key, least in (("me", 0), ("balancers", 1)):
        if not isinstance(given_settings.get(key), int) or given_settings[key] < least:
            raise ConfigurationError(f"settings: {key} is no number of at least {least}")
    try:
        settings = read_settings(given_settings)
    except (KeyError, TypeError, ValueError, AttributeError) as trouble:
        raise ConfigurationError(f"settings: {type(trouble).__name__} {trouble}") from trouble
    if not settings.request_classes or not all("name" in each for each in given_settings["classes"]):
        raise ConfigurationError("settings: a workload has no name, or there is none")
    desk, known = given.get("platform") or {}, given.get("known")
    peers = given.get("peers") or []
    if not isinstance(desk, dict) or not isinstance(peers, list) or not isinstance(limits, dict):
        raise ConfigurationError("platform, peers or limits has the wrong form")
    try:
        seed = int(str(given.get("seed", 0)), 16)
    except ValueError:
        raise ConfigurationError(f"seed: {given['seed']!r} is no hexadecimal number") from None
    descriptors = limits.get("sockets", 1024)
    if not isinstance(descriptors, int) or descriptors < 32:
        raise ConfigurationError("limits: sockets is no number of at least 32")
    memory = limits.get("memory_mb", 192)
    if type(memory) not in (int, float) or not 16 <= memory < 1e6:
        raise ConfigurationError("limits: memory_mb is no number of at least 16")
    return Configuration(
        name=str(given.get("name", "marshal")),
        listen=address(given.get("listen"), "listen"),
        roll=optional(given.get("discovery"), "discovery"),
        desk=optional(desk.get("address"), "platform.address"),
        desk_news=desk.get("news"),
        peer_listen=optional(given.get("peer_listen"), "peer_listen"),
        peers=tuple(address(each, "peers") for each in peers),
        peers_all=optional(given.get("peers_all"), "peers_all"),
        seed=seed,
        descriptors=descriptors,
        bounds=Bounds.within(memory),
        known=known if isinstance(known, dict) else None,
        settings=settings,
    )
