"""``gatebank learn ...``: shows and compares the items of instances and snapshots, with age and weight."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple, NoReturn

import orjson
import typer

if TYPE_CHECKING:
    from gatebank.state_transfer.items import StateItem

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Show and compare the knowledge of running instances and snapshots.",
)
# Field names of stored items in the order of the text output: first the names that identify the subject of an
# item, then the names of its values.
SUBJECT_NAMES = ("node", "workload", "ratio", "build", "stage", "marshal", "kind")
VALUE_NAMES = ("phase", "cap", "rate", "slow", "faults", "aside", "pace", "bad", "all")
# Fields (age, weight, number of observations) that are not compared, because two instances observe the same
# fact at different times.
NOT_COMPARED = ("age", "weight", "seen")
# Kinds of items of which the text output shows only the number.
SINGLE_EVENT_KINDS = ("sent", "took")

Fields = dict[str, Any]  # Printed fields of an item: its kind, its stored fields and its weight.
SourceArgument = Annotated[
    str, typer.Argument(help="An instance's address:port, or a snapshot file or folder.")
]
FirstSource = Annotated[
    str, typer.Argument(metavar="a", help="An instance's address:port, or a snapshot file or folder.")
]
SecondSource = Annotated[
    str, typer.Argument(metavar="b", help="An instance's address:port, or a snapshot file or folder.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for programs, one object per line.")]
KeysOption = Annotated[
    Path | None, typer.Option(help="A key folder; without it the connection does not use TLS.")
]
ConfigurationOption = Annotated[
    Path | None, typer.Option(help="An instance's configuration, which determines the deployment.")
]


class EventCount(NamedTuple):
    """Group of single-event items that are counted together; the build is 0 if the items have no build."""

    kind: str
    origin: str
    build: int


def exit_with_error(reason: object) -> NoReturn:
    """End the command with status 2 and a one-line message on standard error."""
    typer.echo(f"gatebank: {reason}".replace("\n", " "), err=True)
    raise typer.Exit(2)


def load_items_or_exit(source: str, keys: Path | None, configuration: Path | None) -> list[StateItem]:
    """Return the items of a source, the most valuable first; if they cannot be loaded, end the command."""
    try:
        from gatebank.cli.state_sources import StateSourceError, load_items
    except ModuleNotFoundError as error:
        exit_with_error(f"learn needs the extra gatebank[learning]: {error}")
    try:
        return load_items(source, keys, configuration)
    except StateSourceError as error:
        exit_with_error(error)


def default_weight(item: StateItem) -> float | None:
    """Return the weight of an item with the default half-lives; None for kinds that have no weight."""
    from gatebank.state_transfer import items, weighting

    half_lives = weighting.HalfLives()
    match item:
        case items.EndpointHealth():
            half_life = weighting.health_half_life(item, half_lives)
        case items.UsualLatency():
            half_life = half_lives.usual_latency
        case items.BaselineFailures():
            half_life = half_lives.baseline_failures
        case items.SequentialTestSums():
            half_life = half_lives.test_sums
        case _:
            return None
    return weighting.weight(item, half_life)


def item_fields(item: StateItem) -> Fields:
    """Return an item's kind, stored fields and weight by their names in the JSON output."""
    import msgspec

    fields = msgspec.to_builtins(item)
    return {"what": fields.pop("type"), **fields, "weight": default_weight(item)}


def write_json(value: Fields) -> None:
    """Write an object as one line to standard output; numeric keys, as in test sums, become strings."""
    sys.stdout.buffer.write(orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS) + b"\n")


def print_line(text: str) -> None:
    """Print a line; control characters are replaced because names may come from other machines."""
    from gatebank.capture.terminal import printable

    print(printable(text))


def format_item(item: StateItem) -> str:
    """Format an item as a line of text."""
    fields = item_fields(item)
    subject = " ".join(
        f"{name} {fields[name]}" for name in SUBJECT_NAMES if fields.get(name) not in (None, "")
    )
    values = " ".join(
        f"{name} {format_item_value(fields[name])}"
        for name in VALUE_NAMES
        if fields.get(name) not in (None, False)
    )
    observed = f"{item.age:.1f} s old, by {item.origin}, seen {item.outcomes}"
    weight = "" if fields["weight"] is None else f" weighs {fields['weight']:.2f}"
    return f"{fields['what']:>6} {subject}: {values}; {observed}{weight}"


def format_item_value(value: object) -> str:
    """Format a floating-point value with three digits, and other values as they are."""
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def print_items(items: Iterable[StateItem]) -> None:
    """Print one line per item, and one line per group of single-event items."""
    counts: Counter[EventCount] = Counter()
    for item in items:
        fields = item_fields(item)
        if fields["what"] in SINGLE_EVENT_KINDS:
            counts[EventCount(fields["what"], item.origin, fields.get("build", 0))] += 1
        else:
            print_line(format_item(item))
    for event, count in counts.items():
        build = f", build {event.build}" if event.build else ""
        print_line(f"{event.kind:>6} {count} rows of the last window by {event.origin}{build}")


@app.command()
def show(
    source: SourceArgument,
    as_json: JsonOption = False,
    keys: KeysOption = None,
    configuration: ConfigurationOption = None,
) -> None:
    """Print the items of a source with their age, origin and present weight."""
    items = load_items_or_exit(source, keys, configuration)
    if not as_json:
        print_items(items)
        return
    for item in items:
        write_json(item_fields(item))


def fields_by_identity(items: Iterable[StateItem]) -> dict[str, Fields]:
    """Return the fields of all items except single-event items, by the text of the item's identity."""
    from gatebank.state_transfer.items import AdmittedRequest, SentAttempt, identity

    return {
        str(identity(item)): item_fields(item)
        for item in items
        if not isinstance(item, SentAttempt | AdmittedRequest)
    }


def differing_names(first: Fields, second: Fields) -> list[str]:
    """Return the names of the first item's fields that differ in the second item."""
    return [name for name, value in first.items() if name not in NOT_COMPARED and value != second.get(name)]


@app.command()
def diff(
    first_source: FirstSource,
    second_source: SecondSource,
    as_json: JsonOption = False,
    keys: KeysOption = None,
    configuration: ConfigurationOption = None,
) -> None:
    """Print the items that only one source has, and the items whose values differ.

    Ages, weights and numbers of observations are not compared.
    """
    first_items = fields_by_identity(load_items_or_exit(first_source, keys, configuration))
    second_items = fields_by_identity(load_items_or_exit(second_source, keys, configuration))
    for key in sorted(first_items.keys() | second_items.keys()):
        first = first_items.get(key)
        second = second_items.get(key)
        names = differing_names(first, second) if first and second else []
        if first and second and not names:
            continue
        if as_json:
            write_json({"a": first, "b": second})
        elif first and second:
            values = ", ".join(f"{name} {first[name]} and {second.get(name)}" for name in names)
            print_line(f"{key}: {values}")
        else:
            print_line(f"{key}: only {first_source if first else second_source}")
