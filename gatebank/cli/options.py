"""Options that several commands share, and a decorator for commands that take groups of options.

An option group is a frozen dataclass whose fields are annotated like typer parameters. A command takes the
group as one parameter, while typer sees one option per field:

    @dataclass(frozen=True)
    class ServerOptions:
        node: Annotated[list[str] | None, typer.Option(help="...")] = None

    @command(app)
    def show(files: Files, servers: ServerOptions) -> None: ...
"""

from __future__ import annotations

import inspect
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from typing import Annotated, Any, get_type_hints

import typer

from gatebank.cli.terminal import CommandLineError, fail

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for programs, one object per line.")]


def command(
    app: typer.Typer, name: str | None = None
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Return a decorator that makes a function a command of ``app``.

    Option groups in the function's signature become single options. If the function raises CommandLineError,
    the process ends with one line on standard error and status 2.

    Args:
        app: The group of commands to which the command is added.
        name: Name of the command on the command line; by default, the function's name.

    Returns:
        A decorator that returns the function called by typer, which takes keyword arguments only.
    """

    def decorate(function: Callable[..., None]) -> Callable[..., None]:
        return app.command(name)(flatten_option_groups(function))

    return decorate


def flatten_option_groups(function: Callable[..., None]) -> Callable[..., None]:
    """Return a wrapper for typer that has one keyword parameter per option of the groups.

    The wrapper builds the groups from its arguments and calls ``function``. A CommandLineError ends the
    process.
    """
    hints = get_type_hints(function, include_extras=True)
    groups: dict[str, type[Any]] = {
        name: hint for name, hint in hints.items() if isinstance(hint, type) and is_dataclass(hint)
    }
    parameters: list[inspect.Parameter] = []
    for parameter in inspect.signature(function).parameters.values():
        if parameter.name in groups:
            parameters += group_parameters(groups[parameter.name])
        else:
            parameters.append(keyword_parameter(parameter.name, hints[parameter.name], parameter.default))

    def run(**values: object) -> None:
        for name, group in groups.items():
            values[name] = group(**{field.name: values.pop(field.name) for field in fields(group)})
        try:
            function(**values)
        except CommandLineError as error:
            fail(error)

    run.__name__ = function.__name__
    run.__doc__ = function.__doc__
    run.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
    run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    return run


def group_parameters(group: type[Any]) -> list[inspect.Parameter]:
    """Return one keyword parameter per field of an option group."""
    hints = get_type_hints(group, include_extras=True)
    return [keyword_parameter(field.name, hints[field.name], field.default) for field in fields(group)]


def keyword_parameter(name: str, annotation: object, default: object) -> inspect.Parameter:
    """Return a keyword-only parameter; unlike positional ones, these may follow parameters with defaults."""
    return inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, annotation=annotation, default=default)
