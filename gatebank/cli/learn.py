"""``gatebank learn ...``: what instances and snapshots know, how old it is, and what it would weigh."""

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
    help="Show and compare what running instances and snapshots know.",
)
# Names in items' stored form, in the order of the text: what an item is of, and its figures.
SUBJECT_NAMES = ("node", "workload", "ratio", "build", "stage", "marshal", "kind")
FIGURE_NAMES = ("phase", "cap", "rate", "slow", "faults", "aside", "pace", "bad", "all")
# Differences in these do not count: two instances saw the same at other times.
NOT_COMPARED = ("age", "weight", "seen")
# Kinds of which the text has a number of rows and not each row.
SINGLE_EVENT_KINDS = ("sent", "took")

Fields = dict[str, Any]  # of an item: its kind, its stored fields and its weight, as they are printed
SourceArgument = Annotated[
    str, typer.Argument(help="An instance's address:port, or a snapshot file or folder.")
]
FirstSource = Annotated[
    str, typer.Argument(metavar="a", help="An instance's address:port, or a snapshot file or folder.")
]
SecondSource = Annotated[
    str, typer.Argument(metavar="b", help="An instance's address:port, or a snapshot file or folder.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="For programs: an object a line.")]
KeysOption = Annotated[Path | None, typer.Option(help="A folder of keys; without it the link is plain.")]
ConfigurationOption = Annotated[
    Path | None, typer.Option(help="A marshal's configuration: whose deployment it is.")
]


class EventCount(NamedTuple):
    """Items of single events that the text counts together; the build is 0 where they have none."""

    kind: str
    origin: str
    build: int


def refuse(reason: object) -> NoReturn:
    """Ends the command with status 2 and a line on standard error."""
    typer.echo(f"gatebank: {reason}".replace("\n", " "), err=True)
    raise typer.Exit(2)


def load_or_refuse(source: str, keys: Path | None, configuration: Path | None) -> list[StateItem]:
    """Returns the items of a source, the most valuable first, or ends the command."""
    try:
        from gatebank.cli.state_sources import StateSourceError, load_items
    except ModuleNotFoundError as error:
        refuse(f"learn needs the extra gatebank[learning]: {error}")
    try:
        return load_items(source, keys, configuration)
    except StateSourceError as error:
        refuse(error)


def default_weight(item: StateItem) -> float | None:
    """Returns what an item weighs by the default half-lives; None for kinds that are not weighed."""
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
    """Returns an item's kind, stored fields and weight, by the names of the JSON output."""
    import msgspec

    fields = msgspec.to_builtins(item)
    return {"what": fields.pop("type"), **fields, "weight": default_weight(item)}


def write_json(value: Fields) -> None:
    """Writes an object as a line of standard output; keys that are numbers, as sums have, become strings."""
    sys.stdout.buffer.write(orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS) + b"\n")


def print_line(text: str) -> None:
    """Prints a line; names in it may come from elsewhere, so control characters are replaced."""
    from gatebank.capture.terminal import printable

    print(printable(text))


def item_text(item: StateItem) -> str:
    """Returns an item as a line of text."""
    fields = item_fields(item)
    subject = " ".join(
        f"{name} {fields[name]}" for name in SUBJECT_NAMES if fields.get(name) not in (None, "")
    )
    figures = " ".join(
        f"{name} {figure_text(fields[name])}"
        for name in FIGURE_NAMES
        if fields.get(name) not in (None, False)
    )
    observed = f"{item.age:.1f} s old, by {item.origin}, seen {item.outcomes}"
    weight = "" if fields["weight"] is None else f" weighs {fields['weight']:.2f}"
    return f"{fields['what']:>6} {subject}: {figures}; {observed}{weight}"


def figure_text(value: object) -> str:
    """Returns a figure in three digits, other values as they are."""
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def print_items(items: Iterable[StateItem]) -> None:
    """Prints a line for each item, and one for all items of single events that are alike."""
    counts: Counter[EventCount] = Counter()
    for item in items:
        fields = item_fields(item)
        if fields["what"] in SINGLE_EVENT_KINDS:
            counts[EventCount(fields["what"], item.origin, fields.get("build", 0))] += 1
        else:
            print_line(item_text(item))
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
    """What is known, how old it is, from whom, and what it would weigh now."""
    items = load_or_refuse(source, keys, configuration)
    if not as_json:
        print_items(items)
        return
    for item in items:
        write_json(item_fields(item))


def fields_by_identity(items: Iterable[StateItem]) -> dict[str, Fields]:
    """Returns the fields of all items but those of single events, by the text of what they are of."""
    from gatebank.state_transfer.items import AdmittedRequest, SentAttempt, identity

    return {
        str(identity(item)): item_fields(item)
        for item in items
        if not isinstance(item, SentAttempt | AdmittedRequest)
    }


def differing_names(first: Fields, second: Fields) -> list[str]:
    """Returns the names of the first's fields in which the second differs."""
    return [name for name, value in first.items() if name not in NOT_COMPARED and value != second.get(name)]


@app.command()
def diff(
    first_source: FirstSource,
    second_source: SecondSource,
    as_json: JsonOption = False,
    keys: KeysOption = None,
    configuration: ConfigurationOption = None,
) -> None:
    """What one knows and the other does not, and where they differ; ages apart do not count."""
    first_items = fields_by_identity(load_or_refuse(first_source, keys, configuration))
    second_items = fields_by_identity(load_or_refuse(second_source, keys, configuration))
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
