"""``python -m gatebank``: runs an instance or a sub-command, such as those of gatebank/cli/."""

from __future__ import annotations

import gatebank.signal_mask  # noqa: F401  (imported first, for its side effect)

# isort: split
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer

from gatebank import __version__, composition
from gatebank.proxy import log
from gatebank.proxy.configuration import ConfigurationError, load_configuration
from gatebank.proxy.control_plane import read_initial_knowledge
from gatebank.proxy.discovery import EndpointRegistry

if TYPE_CHECKING:
    from gatebank.operator_config.operators_file import OperatorsFile

USAGE_STATUS = 2  # Exit status if nothing was started; standard error gives the reason.

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A proxy that tries out new builds on live traffic.",
)
ConfigurationPath = Annotated[
    str | None, typer.Argument(help="The configuration file; by default, the file that ROUTER_CONFIG names.")
]
OperatorsPath = Annotated[
    Path | None, typer.Option(help="The operators' file; without it, all optional parts are off.")
]


def environment_with_configuration(configuration: str | None) -> dict[str, str]:
    """Return a copy of the process's environment; ``configuration``, if given, replaces ROUTER_CONFIG."""
    environment = dict(os.environ)
    if configuration:
        environment["ROUTER_CONFIG"] = configuration
    return environment


def exit_with_error(reason: object) -> NoReturn:
    """Exit with one line on standard error and status 2."""
    print(f"gatebank: {reason}".replace("\n", " "), file=sys.stderr)
    raise typer.Exit(USAGE_STATUS)


def read_operators_file(path: Path | None) -> OperatorsFile | None:
    """Read and check the operators' file; return None if there is none.

    Raises:
        typer.Exit: Status 2 if the libraries for the file are missing or the file has errors; standard error
            has one line for each error.
    """
    if path is None:
        return None
    try:  # The libraries for the file are an optional extra that a service without the file does not need.
        from gatebank.operator_config import operators_file
    except ModuleNotFoundError as error:
        exit_with_error(f"--orders needs the extra gatebank[operators]: {error}")
    try:
        return operators_file.read_operators_file(path)
    except operators_file.OperatorsFileError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(USAGE_STATUS) from None


@app.command()
def serve(
    configuration: ConfigurationPath = None,
    log_level: Annotated[str, typer.Option(help="debug, info, warning or error.")] = "info",
    orders: OperatorsPath = None,
) -> None:
    """Run one instance until SIGTERM; on SIGHUP it reloads its configuration."""
    log.configure_logging(log_level)
    environment = environment_with_configuration(configuration)
    try:
        composition.serve(load_configuration(environment), environment, read_operators_file(orders))
    except ConfigurationError as error:
        exit_with_error(error)


@app.command()
def check(configuration: ConfigurationPath = None, orders: OperatorsPath = None) -> None:
    """Check whether an instance could start with this configuration, without starting it."""
    operators_file = read_operators_file(orders)
    try:
        loaded = load_configuration(environment_with_configuration(configuration))
        read_initial_knowledge(loaded, EndpointRegistry(loaded.settings))
    except ConfigurationError as error:
        exit_with_error(error)
    host, port = loaded.listen
    request_classes = ", ".join(request_class.name for request_class in loaded.settings.request_classes)
    print(f"{loaded.name}: listens on {host}:{port}; workloads {request_classes}")
    if operators_file:
        sections = ", ".join(placed.section.section for placed in operators_file.sections)
        print(f"{orders}: {sections or 'no sections'}")


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> None:
    """Run the command that the command line names."""
    if sys.argv[1:2] != ["serve"]:  # An instance does not load modules of sub-commands that it does not use.
        from gatebank.cli import fleet, keys, learn
        from gatebank.cli.capture import commands as capture

        for name, group in (("capture", capture), ("fleet", fleet), ("learn", learn), ("keys", keys)):
            app.add_typer(group.app, name=name)
    app()


if __name__ == "__main__":
    main()
