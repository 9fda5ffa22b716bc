"""``gatebank capture replay``: checks everything before anything is sent, then plays the capture.

The capture is read twice. The first reading, the survey, shows which servers were live and what is chosen,
so that the guard can refuse the target. ``replay_session`` reads it again and plays it, ``replay_output``
prints.
"""

from __future__ import annotations

import os
from collections.abc import Collection
from dataclasses import dataclass, field

import typer
import uvloop

from gatebank.capture.filters import ExchangeFilter
from gatebank.cli.capture import replay_output
from gatebank.cli.capture.options import ReplayOptions
from gatebank.cli.capture.replay_session import ReplayPlan, play
from gatebank.cli.capture.source import CaptureSource
from gatebank.cli.terminal import (
    INTERRUPTED_STATUS,
    USAGE_STATUS,
    CommandLineError,
    warn,
    warn_all,
)
from gatebank.events import RetrySafety
from gatebank.operator_config import operators_file
from gatebank.proxy import log
from gatebank.proxy.configuration import (
    Address,
    Configuration,
    ConfigurationError,
    load_configuration,
    parse_address,
)
from gatebank.replay.errors import ReplayError
from gatebank.replay.guard import Guard, address_text
from gatebank.replay.ledger import Ledger
from gatebank.replay.section import Target

MIN_PACE = 0.001
MAX_PACE = 1e6
CONNECTION_MODES = ("recorded", "pooled")
MAX_LIVE_SERVERS = 1_000_000  # remembered of a capture, some 100 bytes each
CLIENT_SIDE = "customer"  # as captures name the side at which requests come in


@dataclass(slots=True)
class Survey:
    """What the first reading of a capture shows.

    Attributes:
        live: Addresses that the capture shows in service, as servers.
        exchanges: How many are chosen.
        not_idempotent: How many of those may not run twice.
        client_side: How many of those were recorded towards clients.
    """

    live: set[str] = field(default_factory=set)
    exchanges: int = 0
    not_idempotent: int = 0
    client_side: int = 0


@dataclass(frozen=True, slots=True)
class ReplayTarget:
    """Where requests are sent to.

    Attributes:
        address: The instance's; for a replay in this process, its discovery's.
        configuration: Of the instance that runs in this process, if one does.
    """

    address: Address
    configuration: Configuration | None


def run(source: CaptureSource, selection: ExchangeFilter, options: ReplayOptions, as_json: bool) -> None:
    """Send the chosen requests again and print what became of them.

    Raises:
        CommandLineError: Something is wrong with the options or files, or the guard refuses the target.
        typer.Exit: Status 1 if not all went well, 130 after an interrupt.
    """
    log.configure_logging("warning")
    source.require_files()
    check_options(options)
    targets = read_permitted_targets(options)
    target = resolve_target(options)
    survey = survey_capture(source, selection)
    ledger = Ledger(options.ledger) if options.ledger else None
    guard = open_guard(targets, target, survey, ledger)
    rehearsal = guard.target is not None and guard.target.rehearsal
    if ledger is None and survey.not_idempotent and rehearsal:
        raise CommandLineError(
            f"{survey.not_idempotent} exclusive or ticketed invocations are chosen; they need --ledger FOLDER"
        )
    unsure_before = 0 if ledger is None else len(ledger.book.unsure_entries())
    plan = ReplayPlan(
        source=source,
        selection=selection,
        # A capture of both sides has each request twice: what clients sent is what is played.
        side=CLIENT_SIDE if selection.side is None and survey.client_side else None,
        options=options,
        guard=guard,
        ledger=ledger,
        address=target.address,
        configuration=target.configuration,
        live=survey.live,
        exchanges=survey.exchanges,
    )
    report = uvloop.run(play(plan))
    report["left_unsure_before"] = unsure_before
    replay_output.print_report(report, as_json)


def check_options(options: ReplayOptions) -> None:
    """Raise CommandLineError if options are missing, exclude each other, or have impossible values."""
    if (options.to is None) == (options.inside is None):
        raise CommandLineError("one of --to and --inside is needed")
    if options.orders is None:
        raise CommandLineError("--orders is needed: the operators' file names what may be sent to")
    if not MIN_PACE <= options.pace <= MAX_PACE:
        raise CommandLineError(f"{options.pace} is not between 0.001 and 1000000", "--pace")
    if options.lines not in CONNECTION_MODES:
        raise CommandLineError(
            f"{options.lines!r} is not known; allowed are {', '.join(CONNECTION_MODES)}", "--lines"
        )


def read_permitted_targets(options: ReplayOptions) -> list[Target]:
    """Return the targets that the operators' file names.

    Raises:
        typer.Exit: Status 2 if the file is faulty; standard error has a line for each fault.
    """
    assert options.orders is not None
    try:
        return operators_file.read_operators_file(options.orders).find_all(Target)
    except operators_file.OperatorsFileError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(USAGE_STATUS) from None


def resolve_target(options: ReplayOptions) -> ReplayTarget:
    """Return where the options say that requests go.

    Raises:
        CommandLineError: An address or configuration is wrong, or the configuration names no discovery.
    """
    try:
        if options.to:
            return ReplayTarget(parse_address(options.to, "--to"), None)
        environment = dict(os.environ) | {"ROUTER_CONFIG": str(options.inside)}
        configuration = load_configuration(environment)
    except ConfigurationError as error:
        raise CommandLineError(error) from error
    if configuration.discovery is None:
        raise CommandLineError("it names no discovery", options.inside)
    return ReplayTarget(configuration.discovery, configuration)


def survey_capture(source: CaptureSource, selection: ExchangeFilter) -> Survey:
    """Read the whole capture once.

    Raises:
        typer.Exit: Status 130 after an interrupt.
    """
    survey = Survey()
    try:
        for exchange in source.exchanges():
            if len(survey.live) < MAX_LIVE_SERVERS:
                survey.live.add(exchange.server)
            if selection(exchange):
                survey.exchanges += 1
                survey.not_idempotent += exchange.retry_safety is not RetrySafety.IDEMPOTENT
                survey.client_side += exchange.side == CLIENT_SIDE
    except KeyboardInterrupt:
        warn("interrupted before anything was sent")
        raise typer.Exit(INTERRUPTED_STATUS) from None
    warn_all(source.incomplete)
    return survey


def open_guard(
    targets: Collection[Target], target: ReplayTarget, survey: Survey, ledger: Ledger | None
) -> Guard:
    """Return the guard that decides which requests may be sent, and open the ledger if there is one.

    Raises:
        CommandLineError: The target is refused, or the ledger cannot be read.
    """
    try:
        guard = Guard(targets, address_text(target.address), survey.live)
        if ledger:
            ledger.open()
    except ReplayError as error:
        raise CommandLineError(error) from error
    return guard
