"""``python -m gatebank``: serve, check a configuration, or tell the version."""

from __future__ import annotations

import gatebank.signal_mask  # noqa: F401  (first, for its effect)

# isort: split
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from gatebank import __version__, composition
from gatebank.proxy import log
from gatebank.proxy.configuration import ConfigurationError, load_configuration
from gatebank.proxy.control_plane import read_initial_knowledge
from gatebank.proxy.discovery import EndpointRegistry

if TYPE_CHECKING:
    from gatebank.operator_config.operators_file import OperatorsFile

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Tries out new builds on live traffic.",
)
OrdersFile = Annotated[Path | None, typer.Option(help="The operators' file; without it all it sets is off.")]


def surroundings(configuration: str | None) -> dict[str, str]:
    return dict(os.environ) | ({"ROUTER_CONFIG": configuration} if configuration else {})


def refuse(trouble: Exception) -> None:
    print(f"gatebank: {trouble}".replace("\n", " "), file=sys.stderr)
    raise typer.Exit(2)


def operators(path: Path | None) -> OperatorsFile | None:
    """The operators' file, checked whole; each fault in it is a line on standard error."""
    if path is None:
        return None
    try:
        from gatebank.operator_config.operators_file import Unusable, read
    except ModuleNotFoundError as trouble:
        print(f"gatebank: --orders needs the extra gatebank[operators]: {trouble}", file=sys.stderr)
        raise typer.Exit(2) from None
    try:
        return read(path)
    except Unusable as trouble:
        print(trouble, file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def serve(
    configuration: str = typer.Argument(None, help="Configuration file; else ROUTER_CONFIG names it."),
    log_level: str = typer.Option("info", help="debug, info, warning or error."),
    orders: OrdersFile = None,
) -> None:
    """Run one marshal until SIGTERM; SIGHUP has it read its configuration again."""
    log.begin(log_level)
    environment = surroundings(configuration)
    try:
        composition.serve(load_configuration(environment), environment, operators(orders))
    except ConfigurationError as trouble:
        refuse(trouble)


@app.command()
def check(
    configuration: str = typer.Argument(None, help="Configuration file; else ROUTER_CONFIG names it."),
    orders: OrdersFile = None,
) -> None:
    """Say whether a marshal can start with this configuration, without starting it."""
    extra = operators(orders)
    try:
        found = load_configuration(surroundings(configuration))
        read_initial_knowledge(found, EndpointRegistry(found.settings))
    except ConfigurationError as trouble:
        refuse(trouble)
    workloads = ", ".join(str(each.name) for each in found.settings.request_classes)
    print(f"{found.name}: listens on {found.listen[0]}:{found.listen[1]}; workloads {workloads}")
    if extra:
        print(f"{orders}: {', '.join(each.section for each, _ in extra.sections) or 'no sections'}")


@app.command()
def version() -> None:
    """Tell the version."""
    print(__version__)


def main() -> None:
    if sys.argv[1:2] != ["serve"]:  # a marshal holds nothing that it does not use
        from gatebank.cli import capture, fleet, keys, learn

        for name, group in (("capture", capture), ("fleet", fleet), ("learn", learn), ("keys", keys)):
            app.add_typer(group.app, name=name)
    app()


if __name__ == "__main__":
    main()
