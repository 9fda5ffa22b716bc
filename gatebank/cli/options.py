"""Options that several commands share, and the decorator that lets a command take a group of them.

A group is a frozen dataclass whose fields are annotated as typer's parameters are. A command takes it as one
parameter; typer sees one option for each field:

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

AsJson = Annotated[bool, typer.Option("--json", help="For programs: JSON, one object a line.")]


def command(
    app: typer.Typer, name: str | None = None
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Make the decorated function a command of ``app``.

    Groups of options in its signature become single options. A CommandLineError that it raises ends the
    process with one line on standard error and the error's exit status.

    Args:
        app: The group of commands that it is added to.
        name: What it is called on the command line; without it, the function's name.

    Returns:
        A decorator, which returns what typer calls: a function of keyword arguments.
    """

    def decorate(function: Callable[..., None]) -> Callable[..., None]:
        return app.command(name)(flatten_option_groups(function))

    return decorate


def flatten_option_groups(function: Callable[..., None]) -> Callable[..., None]:
    """Return a function for typer, with one keyword parameter for each option of the groups.

    Called, it gathers the groups again, calls ``function``, and ends the process on a CommandLineError.
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
    """Return one keyword parameter for each field of a group of options."""
    hints = get_type_hints(group, include_extras=True)
    return [keyword_parameter(field.name, hints[field.name], field.default) for field in fields(group)]


def keyword_parameter(name: str, annotation: object, default: object) -> inspect.Parameter:
    """Return a keyword-only parameter: unlike others, these may stand in any order."""
    return inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, annotation=annotation, default=default)
