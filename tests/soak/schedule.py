"""The schedule of a play, its settings and its clients' behaviour, all drawn from the seed.

>>> draw_schedule(7) == draw_schedule(7), draw_schedule(7) == draw_schedule(8)
(True, False)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random

LOAD_S = 10.0  # Time for which clients send requests.
QUIET_AT_END_S = 1.0  # Time at the end of the load in which no fault starts.
LEAST_MEMORY_MB = 32  # The least that the operators' pages name.
FULL_SPEED_FLOODS = (
    "empty", "blank", "huge_length", "negative", "endless_line", "unsound", "ping", "many_fields", "payouts",
)  # fmt: skip
FLOODS = ("half_body", "half_head", "whole_head", "pieces", "garbage", "connect", "unsound", "new_names")
MAX_STALL_S = 0.15  # Longest time for which an instance may be held up (STANDING).


class FaultKind(Enum):
    """Kind of a fault; `Fault.detail` names the variant of kinds that have several."""

    ENDPOINT_PAUSE = "endpoint paused"
    ENDPOINT_HANG = "endpoint hangs"
    ENDPOINT_FAIL = "endpoint fails"
    ENDPOINT_SLOW = "endpoint slow"
    ENDPOINT_REFUSE = "endpoint refuses connections"
    ENDPOINT_RESTART = "endpoint restarts cold"
    ENDPOINT_DRAIN = "endpoint drains and goes"
    ENDPOINT_RESET = "endpoint resets its connections"
    ENDPOINT_PAUSE_THEN_RESET = "endpoint paused, then resets its connections"
    DISCOVERY_SILENT = "discovery silent"
    DISCOVERY_REFUSE = "discovery refuses"
    DISCOVERY_SLOW = "discovery slow"
    WATCHES_SILENT = "watches fall silent"
    RELEASES_SILENT = "release service silent"
    RELEASES_REFUSE = "release service refuses"
    RELEASE_STREAMS_SILENT = "release streams fall silent"
    CANARY = "canary released by stages"
    PEERS_LOSSY = "peer messages lost, doubled, late"
    INSTANCE_RESTART = "instance restarted"
    INSTANCE_KILL = "instance killed"
    INSTANCE_STALL = "instance held up"
    RELOAD = "reload"
    SIGNALS = "signals in series"
    CROWD = "crowd of clients"
    FLOOD = "flood of slow or malformed clients"
    STARVED_FLOOD = "flood at full speed at a quarter of a core"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule.

    Attributes:
        at: Seconds from the start of the load.
        target: Number of the endpoint or instance, modulo their count.
        seconds: Duration of the fault; some kinds use it differently or not at all.
        detail: The variant, for kinds that have several.
    """

    at: float
    kind: FaultKind
    target: int
    seconds: float = 0.0
    detail: str = ""

    def __str__(self) -> str:
        """Return the fault's line in the output of `--show`."""
        line = f"{self.at:6.2f} s  {self.kind.value}, number {self.target}"
        line += f", {self.seconds:.2f} s" if self.seconds else ""
        return line + (f", {self.detail}" if self.detail else "")


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How clients behave.

    Attributes:
        per_instance: Number of clients that keep a connection to each instance.
        mean_pause: Mean of the seconds between an answer and the next request.
        split_writes: Share of requests that are written in several pieces.
        pipelined: Share of exchanges in which two to four requests are sent without waiting for answers.
        disconnecting: Share of exchanges in which the client disconnects before the answers.
        partial_commands: Share of exchanges in which the client stops within a command and keeps the
            connection open.
        short_timeouts: Share of requests with a timeout of 5 to 50 ms.
        large_bodies: Share of requests with an effect whose body, and thus value, has tens of kilobytes.
        returning: Share of disconnections after which the same requests come again on another connection.
    """

    per_instance: int
    mean_pause: float
    split_writes: float
    pipelined: float
    disconnecting: float
    partial_commands: float
    short_timeouts: float
    large_bodies: float
    returning: float = 0.0


@dataclass(frozen=True, slots=True)
class Site:
    """The fleet of a play: its sizes, and the settings that vary between plays.

    Attributes:
        endpoint_idle_ratio: Idle timeout of the endpoints, relative to that of the instances' connections.
        polls_discovery: Whether instances poll discovery, at a price; otherwise an agent on the same machine
            pushes changes.
        memory_mb: Memory limit of an instance.
        is_shaken: Whether the instances' wall clocks step and some of their system calls fail
            (`tests.soak.shaken_instance`).
        has_sticky_keys: Whether a key that a canary has answered stays with it; the canary's announcement is
            then late.
    """

    instances: int
    endpoints: int
    reply_time: float
    can_cancel: bool
    may_duplicate: bool
    may_check_health: bool
    may_message_peers: bool
    connection_idle_ms: int
    attempts_per_connection: int
    descriptors: int
    endpoint_idle_ratio: float
    polls_discovery: bool
    memory_mb: int = 192
    is_shaken: bool = False
    has_sticky_keys: bool = False


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that is drawn for one play; ``unusual_replies`` is the share of endpoints' unusual replies."""

    seed: int
    load_seconds: float
    site: Site
    clients: ClientBehaviour
    unusual_replies: float
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Return the output of `--show`."""
        return "\n".join(
            (
                f"seed {self.seed}, load for {self.load_seconds:g} s",
                str(self.site),
                str(self.clients),
                f"unusual replies {self.unusual_replies:.3f}",
                *map(str, self.faults),
            )
        )


def draw_schedule(seed: int, load_seconds: float = LOAD_S) -> Schedule:
    """Draw the schedule of a seed."""
    generator = Random(f"soak {seed}")
    is_crowded = generator.random() < 0.25
    site = draw_site(generator, is_crowded)
    clients = draw_clients(generator)
    unusual_replies = generator.choice((0.0, 0.01, 0.05))
    faults = draw_faults(generator, site, is_crowded, load_seconds)
    # A generator of its own, so that what was drawn for a seed before stays the same.
    additional = Random(f"floods, clocks and system calls {seed}")
    site = replace(
        site, memory_mb=additional.choice((LEAST_MEMORY_MB, 192)), is_shaken=additional.random() < 0.3
    )
    clients = replace(clients, returning=additional.choice((0.0, 0.3)))
    if additional.random() < 0.4:
        faults.append(draw_flood(additional, site, load_seconds - QUIET_AT_END_S))
    additional = Random(f"sticky keys and parts of a core {seed}")
    site = replace(site, has_sticky_keys=additional.random() < 0.5)
    if site.has_sticky_keys and not any(fault.kind is FaultKind.CANARY for fault in faults):
        faults.append(draw_fault(additional, FaultKind.CANARY, site, load_seconds - QUIET_AT_END_S))
    if additional.random() < 0.5:
        faults.append(draw_starved_flood(additional, site, load_seconds - QUIET_AT_END_S))
    return Schedule(
        seed, load_seconds, site, clients, unusual_replies, tuple(sorted(faults, key=lambda fault: fault.at))
    )


def draw_site(generator: Random, is_crowded: bool) -> Site:
    """Draw the fleet's sizes and settings."""
    return Site(
        instances=generator.choice((2, 3, 3, 4)),
        endpoints=generator.randint(6, 10),
        reply_time=generator.choice((0.01, 0.02, 0.03)),
        can_cancel=generator.random() < 0.8,
        may_duplicate=generator.random() < 0.7,
        may_check_health=generator.random() < 0.8,
        may_message_peers=generator.random() < 0.9,
        connection_idle_ms=generator.choice((1000, 3000, 6000)),
        attempts_per_connection=generator.choice((1, 8)),
        descriptors=generator.choice((192, 256)) if is_crowded else generator.choice((256, 1024)),
        endpoint_idle_ratio=generator.choice((0.5, 1.0)),
        polls_discovery=generator.random() < 0.3,
    )


def draw_clients(generator: Random) -> ClientBehaviour:
    """Draw the clients' behaviour."""
    return ClientBehaviour(
        per_instance=generator.randint(10, 16),
        mean_pause=generator.choice((0.05, 0.1)),
        split_writes=generator.choice((0.0, 0.02, 0.1)),
        pipelined=generator.choice((0.0, 0.05, 0.2)),
        disconnecting=generator.choice((0.0, 0.03, 0.1)),
        partial_commands=generator.choice((0.0, 0.002)),
        short_timeouts=generator.choice((0.0, 0.02)),
        large_bodies=generator.choice((0.0, 0.02)),
    )


ADDED_KINDS = (FaultKind.CROWD, FaultKind.FLOOD, FaultKind.STARVED_FLOOD)  # Drawn apart from the others.


def draw_faults(generator: Random, site: Site, is_crowded: bool, load_seconds: float) -> list[Fault]:
    """Draw four to nine kinds of faults, and up to three faults of each kind."""
    kinds: list[FaultKind] = [kind for kind in FaultKind if kind not in ADDED_KINDS]
    chosen = generator.sample(kinds, generator.randint(4, 9))
    if is_crowded:
        chosen.append(FaultKind.CROWD)
    faults = []
    for kind in chosen:
        for _ in range(1 if kind is FaultKind.CANARY else generator.randint(1, 3)):
            faults.append(draw_fault(generator, kind, site, load_seconds - QUIET_AT_END_S))
    return faults


def draw_flood(generator: Random, site: Site, end: float) -> Fault:
    """Draw a flood that starts within the first half of ``end`` seconds."""
    clients = generator.randint(50, 300)
    seconds = generator.uniform(1.0, 4.0)
    at = generator.uniform(0.3, end / 2)
    target = generator.randrange(site.instances)
    detail = f"{generator.choice(FLOODS)} {clients}"
    return Fault(round(at, 3), FaultKind.FLOOD, target, round(seconds, 3), detail)


def draw_starved_flood(generator: Random, site: Site, end: float) -> Fault:
    """Draw a flood at full speed, during which the instance has a quarter of a core."""
    kind = generator.choice(FULL_SPEED_FLOODS)
    clients = min(300, site.descriptors // 4)
    at = round(generator.uniform(0.3, end / 2), 3)
    seconds = round(generator.uniform(2.0, 4.0), 3)
    return Fault(
        at, FaultKind.STARVED_FLOOD, generator.randrange(site.instances), seconds, f"{kind} {clients}"
    )


SIGNAL_SERIES = (
    "HUP HUP",
    "HUP TERM",
    "TERM HUP",
    "TERM TERM",
    "HUP+TERM",
    "HUP while starting",
    "TERM while starting",
)
RELOADS = ("same", "moved", "broken", "half", "moved twice")


def draw_fault(generator: Random, kind: FaultKind, site: Site, end: float) -> Fault:
    """Draw one fault of a kind that starts within the first ``end`` seconds."""
    at = generator.uniform(0.3, end)
    seconds = generator.uniform(0.2, 3.0)
    detail = ""
    target = generator.randrange(site.endpoints)
    match kind:
        case FaultKind.INSTANCE_STALL:
            seconds = generator.uniform(0.02, MAX_STALL_S)
        case FaultKind.INSTANCE_RESTART:
            # Seconds from the earliest allowed SIGKILL to the SIGKILL that is sent.
            seconds = generator.choice((0.0, generator.uniform(0.0, 1.0)))
        case FaultKind.SIGNALS:
            detail = generator.choice(SIGNAL_SERIES)
        case FaultKind.RELOAD:
            detail = generator.choice(RELOADS)
        case FaultKind.CANARY:
            detail = generator.choice(("good", "bad"))
            at = generator.uniform(0.3, 2.0)
        case FaultKind.CROWD:
            detail = str(generator.randint(100, 400))
        case FaultKind.DISCOVERY_SILENT | FaultKind.DISCOVERY_REFUSE:
            seconds = generator.uniform(0.5, 6.0)
    return Fault(round(at, 3), kind, target, round(seconds, 3), detail)
