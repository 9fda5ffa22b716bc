"""Start, SIGHUP, SIGTERM and end of one marshal: makes the parts, keeps them running, and gives all back."""

from __future__ import annotations

import asyncio
import gc
import logging
import resource
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Protocol

import uvloop

from gatebank.events import Endpoint, ReleaseStatus
from gatebank.proxy.configuration import Configuration, ConfigurationError, load_configuration
from gatebank.proxy.discovery import EndpointRegistry, PollBackoff, follow
from gatebank.proxy.dispatcher import Clock, Dispatcher
from gatebank.proxy.downstream import Clients
from gatebank.proxy.log import LOG, say
from gatebank.proxy.peer_transport import PeerTransport
from gatebank.proxy.release_service import ReleaseService, state
from gatebank.proxy.sockets import Turn
from gatebank.proxy.upstream import Nodes

if TYPE_CHECKING:  # not even imported where no operators' file asks for them
    from gatebank.operator_config.operators_file import OperatorsFile
    from gatebank.recording.recorder import Recorder
    from gatebank.state_transfer.session import StateTransfer

ALSO = 24  # descriptors for the loop, listener, discovery, desk, datagrams, log and those in between
EVERY = 1.0  # s between sweeps
SAID = 10  # sweeps between lines on how things stand
AGAIN, AGAIN_AT_MOST = 0.1, 2.0  # s before a configuration that could not be read is read again


async def kept(what: str, work: Callable[[], Awaitable[None]]) -> None:
    """Work that must not end: what raises is logged, and it is begun again."""
    while True:
        try:
            await work()
            return
        except Exception:
            LOG.exception("fault", extra={"keys": {"in": what}})
            await asyncio.sleep(0.2)


class Standing(Protocol):
    """A part that has counts of its own."""

    def standing(self) -> dict[str, int | str]: ...


Others = Sequence[Standing | None]


async def tend(exchange: Dispatcher, nodes: Nodes, clients: Clients, others: Others) -> None:
    turns = 0
    while True:
        await asyncio.sleep(EVERY)
        nodes.sweep()
        turns += 1
        if turns % SAID == 0 or LOG.isEnabledFor(logging.DEBUG):
            stand(exchange, nodes, clients, others)


def stand(exchange: Dispatcher, nodes: Nodes, clients: Clients, others: Others) -> None:
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    counts = {name.replace(" ", "_"): number for name, number in sorted(exchange.counts.items())}
    say(
        "standing",
        in_hand=len(exchange.held),
        clients=len(clients.connections),
        clients_unread=clients.unread,
        clients_peak=clients.peak,
        node_connections=nodes.open,
        node_connections_peak=nodes.peak,
        memory_mb=memory,
        lag=round(exchange.lag, 3),
        node_connections_opened=nodes.opened,
        words_told=exchange.words.told if exchange.words else 0,
        words_heard=exchange.words.taken if exchange.words else 0,
        words_dropped=exchange.words.dropped if exchange.words else 0,
        **counts,
        **{name: value for each in others if each for name, value in each.standing().items()},
    )
    exchange.lag = 0.0


def at_start(
    posting: Configuration, register: EndpointRegistry
) -> tuple[list[Endpoint] | None, int | None, ReleaseStatus | None]:
    """What the configuration says of the roll, its version, and the newest build."""
    try:
        known, _, version = register.entries(posting.known) if posting.known else (None, None, None)
        return known, version, state(dict(posting.desk_news)) if posting.desk_news else None
    except (TypeError, ValueError) as trouble:
        raise ConfigurationError(str(trouble)) from trouble


class ControlPlaneWatches:
    """What follows discovery and the release desk; owns both tasks. `move` begins them anew at the addresses
    told: another discovery may count its versions otherwise, so it tells the whole list. What was followed so
    far ends with the first word from there, or with its connection."""

    def __init__(self, exchange: Dispatcher, register: EndpointRegistry, desk: ReleaseService) -> None:
        self.exchange, self.register, self.desk = exchange, register, desk
        self.turns: dict[str, Turn] = {}  # what is followed, by its name: two rows at most

    def move(self, posting: Configuration, version: int | None = None) -> None:
        exchange = self.exchange
        if where := posting.roll:
            tries = PollBackoff(exchange.settings, Random(f"{posting.seed} roll"))
            told = (exchange.rolled, exchange.roll_failed, tries, exchange.count)
            self.follow("roll", lambda turn: follow(where, self.register, version, *told, turn))
        else:
            self.end("roll")
        self.desk.where = at = posting.desk  # votes in hand end where they were cast
        if at:
            self.follow("desk", lambda turn: self.desk.follow(at, turn))
        else:
            self.end("desk")

    def follow(self, what: str, work: Callable[[Turn], Awaitable[None]]) -> None:
        turn = self.turns[what] = Turn(self.turns.get(what))
        turn.task = asyncio.ensure_future(kept(what, lambda: work(turn)))

    def end(self, what: str) -> None:
        if turn := self.turns.pop(what, None):
            turn.close()

    def close(self) -> None:
        for what in list(self.turns):
            self.end(what)


async def reload(
    told: asyncio.Event,
    environment: Mapping[str, str],
    following: ControlPlaneWatches,
    learning: StateTransfer | None,
) -> None:
    """After each SIGHUP: the file is read and checked whole; until it can be, what was told before stands."""
    pause, why = AGAIN, ""
    while True:
        await told.wait()
        if learning:
            learning.reload_keys()
        try:
            posting = load_configuration(environment)
            at_start(posting, EndpointRegistry(posting.settings))
        except ConfigurationError as trouble:
            if str(trouble) != why:
                say("reload_failed", logging.ERROR, why=trouble)
            why = str(trouble)
            await asyncio.sleep(pause)
            pause = min(2 * pause, AGAIN_AT_MOST)
        else:
            told.clear()
            pause, why = AGAIN, ""
            following.move(posting)
            where = {"discovery": posting.roll, "desk": posting.desk}
            say("reloaded", **{what: f"{at[0]}:{at[1]}" if at else "none" for what, at in where.items()})


def recorder_for(posting: Configuration, operators: OperatorsFile | None) -> Recorder | None:
    """What the operators' file asks to be recorded; without it nothing of that is imported."""
    if operators is None:
        return None
    from gatebank.recording.errors import RecordingError
    from gatebank.recording.recorder import Recorder
    from gatebank.recording.section import Recording

    if (told := operators.find(Recording)) is None:
        return None
    try:
        recorder = Recorder(told, operators.folder, posting.name)
        recorder.start()
    except RecordingError as trouble:
        raise ConfigurationError(f"{operators.path}: {trouble}") from trouble
    return recorder


def learning_for(
    posting: Configuration, operators: OperatorsFile | None, exchange: Dispatcher
) -> StateTransfer | None:
    """What the operators' file says of learning; without it nothing of that is imported."""
    if operators is None:
        return None
    from gatebank.state_transfer.section import StateTransferSection

    if (told := operators.find(StateTransferSection)) is None:
        return None
    from gatebank.keys.section import KeysSection
    from gatebank.state_transfer.session import StateTransfer

    try:
        found = StateTransfer(told, operators.find(KeysSection), operators.folder, exchange, posting.name)
        found.listen()
    except ConfigurationError as trouble:
        raise ConfigurationError(f"{operators.path}: {trouble}") from trouble
    return found


async def marshal(
    posting: Configuration, environment: Mapping[str, str], operators: OperatorsFile | None = None
) -> None:
    loop = asyncio.get_running_loop()
    settings, clock = posting.settings, Clock()
    register = EndpointRegistry(settings)
    bounds = posting.bounds
    exchange = Dispatcher(settings, posting.seed, clock, register, bounds.commands)
    room = posting.descriptors - ALSO
    nodes = exchange.nodes = Nodes(settings, room // 2, bounds.buffers)
    clients = Clients(settings, exchange, room - room // 2, bounds)
    exchange.desk = desk = ReleaseService(
        posting.desk, register, settings.release.vote_timeout, clock, exchange.told,
        {name: index for name, (index, _) in clients.workloads.items()},
    )  # fmt: skip
    recorder = recorder_for(posting, operators)
    if recorder:
        clients.record, nodes.record = recorder.clients, recorder.nodes
    leaving, told = asyncio.Event(), asyncio.Event()
    following = ControlPlaneWatches(exchange, register, desk)
    tasks: list[asyncio.Future[None]] = []
    learning: StateTransfer | None = None
    try:
        try:
            if posting.peer_listen and settings.limits.may_message_peers:
                peers = (posting.peer_listen, posting.peers, posting.peers_all, settings.instance)
                exchange.words = PeerTransport(*peers, exchange.heard)
        except OSError as trouble:
            raise ConfigurationError(f"{posting.peer_listen}: {trouble.strerror}") from trouble
        known, version, news = at_start(posting, register)
        exchange.start(known, news)
        if learning := learning_for(posting, operators, exchange):
            following.move(posting, version)
            await learning.begin()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, leaving.set)
        loop.add_signal_handler(signal.SIGHUP, told.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # blocked by gatebank/signal_mask.py
        try:
            clients.listen(posting.listen)
        except OSError as trouble:
            raise ConfigurationError(
                f"{posting.listen[0]}:{posting.listen[1]}: {trouble.strerror}"
            ) from trouble
        work: dict[str, Callable[[], Awaitable[None]]] = {
            "accept": clients.accept,
            "tend": lambda: tend(exchange, nodes, clients, [recorder, learning]),
            "look": clients.tend,
            "reload": lambda: reload(told, environment, following, learning),
        }
        if not learning:
            following.move(posting, version)
        tasks = [asyncio.ensure_future(kept(what, each)) for what, each in work.items()]
        gc.collect()
        gc.freeze()  # what stands from the start need not be looked at again
        say("ready", name=posting.name, nodes=len(exchange.entries))
        await leaving.wait()
        say("leaving", in_hand=len(exchange.held))
        await clients.leave()
        stand(exchange, nodes, clients, [recorder, learning])
        if learning:
            await learning.finish()
        say("gone", in_hand=len(exchange.held))
    finally:
        for task in tasks:
            task.cancel()
        following.close()
        clients.close()
        nodes.close()
        desk.close()
        if exchange.words:
            exchange.words.close()
        if learning:
            learning.close()
        if recorder:
            recorder.stop()
        await asyncio.sleep(0)


def serve(
    posting: Configuration, environment: Mapping[str, str], operators: OperatorsFile | None = None
) -> None:
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    uvloop.run(marshal(posting, environment, operators))
