"""The command line: commands, options and defaults do not change; option groups become single options."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import pytest
import typer
from typer.testing import CliRunner

from gatebank import __main__ as program
from gatebank.cli import fleet
from gatebank.cli.capture import commands as capture
from gatebank.cli.options import AsJson, command
from gatebank.cli.terminal import CommandLineError

FILTERS = {"--workload": None, "--customer": None, "--side": None}
MORE_FILTERS = FILTERS | {"--key": None, "--id": None, "--ended": None, "--port": None}
SERVERS = {"--node": None, "--marshal": None}
LIMITS = {"--most-streams": 10_000, "--most-gap": 1 << 20, "--idle": 300.0, "--most-message": 8 << 20}
JSON = {"--json": False}
# Options of each command and their defaults. Scripts depend on them.
OPTIONS: dict[str, dict[str, Any]] = {
    "serve": {"--log-level": "info", "--orders": None},
    "check": {"--orders": None},
    "version": {},
    "capture show": MORE_FILTERS | SERVERS | LIMITS | JSON
    | {"--parquet": None, "--from": None, "--to": None},
    "capture check": SERVERS | LIMITS | JSON,
    "capture cut": MORE_FILTERS | SERVERS | {"--from": None, "--to": None, "--whole-streams": False},
    "capture compare": FILTERS | JSON,
    "capture replay": MORE_FILTERS | SERVERS | JSON | {
        "--from": None, "--until": None, "--to": None, "--inside": None, "--orders": None, "--ledger": None,
        "--pace": 1.0, "--lines": "recorded", "--most-lines": 512, "--most-in-hand": 1024, "--patient": False,
    },
    "capture ledger": JSON,
    "fleet counts": JSON | {"--every": 5},
}  # fmt: skip


def commands_of(app: typer.Typer) -> dict[str, Any]:
    """Return the commands of an application by name."""
    return typer.main.get_group(app).commands


def options_of(tested_command: Any) -> dict[str, Any]:
    """Return the defaults of a command's options by the first name of the option."""
    return {
        parameter.opts[0]: parameter.default
        for parameter in tested_command.params
        if parameter.param_type_name == "option"
    }


def test_commands_and_options_keep_their_names_and_defaults() -> None:
    """The commands, options and defaults that scripts depend on are unchanged."""
    found = {name: options_of(value) for name, value in commands_of(program.app).items()}
    for title, group in (("capture", capture), ("fleet", fleet)):
        found |= {f"{title} {name}": options_of(value) for name, value in commands_of(group.app).items()}
    assert found == OPTIONS


@dataclass(frozen=True)
class Colours:
    """An option group."""

    ink: Annotated[str, typer.Option("--ink")] = "black"
    paper: Annotated[list[str] | None, typer.Option()] = None


@pytest.fixture
def application() -> typer.Typer:
    """Provide an application with one command that takes an option group."""
    app = typer.Typer()

    @command(app)
    def paint(name: str, colours: Colours, as_json: AsJson = False) -> None:
        """Paint."""
        if name == "nothing":
            raise CommandLineError("a line\nand more\x1b[31m", name)
        print(name, colours, as_json)

    return app


def test_option_group_is_passed_as_one_parameter(application: typer.Typer) -> None:
    """Each field of an option group is a separate option with its own default."""
    runner = CliRunner()
    assert runner.invoke(application, ["tree"]).output == f"tree {Colours()} False\n"
    result = runner.invoke(application, ["tree", "--ink", "red", "--paper", "a", "--paper", "b", "--json"])
    assert result.output == f"tree {Colours('red', ['a', 'b'])} True\n", result.output
    assert runner.invoke(application, ["tree", "--ink"]).exit_code == 2


def test_command_error_is_one_line_without_control_characters_and_status_2(
    application: typer.Typer,
) -> None:
    """The message of a command's error has neither line breaks nor terminal control characters."""
    result = CliRunner().invoke(application, ["nothing"])
    assert result.exit_code == 2
    assert result.output == "gatebank: nothing: a line\\nand more\\x1b[31m\n", result.output
