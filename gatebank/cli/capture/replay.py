"""``gatebank capture replay``: checks options, target and capture before it sends any request, then replays.

The capture is read twice. The first reading, the survey, collects the live servers and the number of chosen
exchanges, so that the guard can refuse the target. ``replay_session`` reads the capture again and sends the
requests; ``replay_output`` prints the report.
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
# Maximum number of server addresses to remember from a capture. Each takes about 100 bytes.
MAX_LIVE_SERVERS = 1_000_000
CLIENT_SIDE = "customer"  # Name in captures of the side at which an instance receives requests.


@dataclass(slots=True)
class Survey:
    """Results of the first reading of a capture.

    Attributes:
        live: Addresses of the servers in the capture, which count as being in service.
        exchanges: Number of chosen exchanges.
        not_idempotent: Number of chosen exchanges whose request must not be executed twice.
        client_side: Number of chosen exchanges that were recorded between clients and an instance.
    """

    live: set[str] = field(default_factory=set)
    exchanges: int = 0
    not_idempotent: int = 0
    client_side: int = 0


@dataclass(frozen=True, slots=True)
class ReplayTarget:
    """The target of a replay.

    Attributes:
        address: Address of the target instance; for an instance in this process, that of its discovery.
        configuration: Configuration of the instance in this process; None if the target runs elsewhere.
    """

    address: Address
    configuration: Configuration | None


def run(source: CaptureSource, selection: ExchangeFilter, options: ReplayOptions, as_json: bool) -> None:
    """Send the chosen requests again and print a report of their results.

    Raises:
        CommandLineError: An option or file is invalid, or the guard refuses the target.
        typer.Exit: With status 1 if the replay was incomplete or had errors, 130 after an interrupt, 2 if the
            operators' file is faulty.
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
            f"{survey.not_idempotent} exclusive or ticketed requests are chosen; they need --ledger FOLDER"
        )
    unsure_before = 0 if ledger is None else len(ledger.contents.unsure_entries())
    plan = ReplayPlan(
        source=source,
        selection=selection,
        # A capture of both sides contains each request twice: only the client side is replayed then.
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
    """Raise CommandLineError if options are missing, exclude each other, or have invalid values."""
    if (options.to is None) == (options.inside is None):
        raise CommandLineError("one of --to and --inside is needed")
    if options.orders is None:
        raise CommandLineError("--orders is needed: the operators' file names the permitted targets")
    if not MIN_PACE <= options.pace <= MAX_PACE:
        raise CommandLineError(f"{options.pace} is not between 0.001 and 1000000", "--pace")
    if options.lines not in CONNECTION_MODES:
        raise CommandLineError(
            f"{options.lines!r} is not known; allowed are {', '.join(CONNECTION_MODES)}", "--lines"
        )


def read_permitted_targets(options: ReplayOptions) -> list[Target]:
    """Return the targets that the operators' file permits.

    Raises:
        typer.Exit: With status 2 if the file is faulty; standard error has one line per error.
    """
    assert options.orders is not None
    try:
        return operators_file.read_operators_file(options.orders).find_all(Target)
    except operators_file.OperatorsFileError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(USAGE_STATUS) from None


def resolve_target(options: ReplayOptions) -> ReplayTarget:
    """Return the target that the options name.

    Raises:
        CommandLineError: An address or configuration is invalid, or the configuration has no discovery.
    """
    try:
        if options.to:
            return ReplayTarget(parse_address(options.to, "--to"), None)
        environment = dict(os.environ) | {"ROUTER_CONFIG": str(options.inside)}
        configuration = load_configuration(environment)
    except ConfigurationError as error:
        raise CommandLineError(error) from error
    if configuration.discovery is None:
        raise CommandLineError("the configuration has no discovery", options.inside)
    return ReplayTarget(configuration.discovery, configuration)


def survey_capture(source: CaptureSource, selection: ExchangeFilter) -> Survey:
    """Read the whole capture once and return the survey.

    Raises:
        typer.Exit: With status 130 after an interrupt.
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
    """Create the guard that decides which requests may be sent, and open the ledger if there is one.

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
