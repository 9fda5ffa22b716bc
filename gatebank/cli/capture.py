"""``gatebank capture ...``: the words of the commands; the work is in exhibit.py and rehearse.py."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Show, check, cut, compare and replay traffic from capture files. Nothing is captured.",
)

NEEDED = ("dpkt", "hdrh", "msgspec", "starlark")


@app.callback()
def ready() -> None:
    """The libraries of this group are an extra, which the service does without."""
    if missing := [each for each in NEEDED if importlib.util.find_spec(each) is None]:
        said = ", ".join(missing)
        typer.echo(f"gatebank: capture needs the extra gatebank[capture]; missing: {said}", err=True)
        raise typer.Exit(2)


Files = Annotated[list[Path], typer.Argument(help="Capture files, in their order; - is standard input.")]
One = Annotated[Path, typer.Argument(help="A capture file.")]
AsJson = Annotated[bool, typer.Option("--json", help="For programs: JSON, an object a line.")]
Begin = Annotated[str | None, typer.Option("--from", help="Asked at or after: Unix time, or date and time.")]
End = Annotated[str | None, typer.Option("--to", help="Asked before.")]
Until = Annotated[str | None, typer.Option("--until", help="Asked before.")]
Workload = Annotated[list[str] | None, typer.Option(help="Only this workload; may be given again.")]
Customer = Annotated[list[str] | None, typer.Option(help="Only this customer.")]
Key = Annotated[list[str] | None, typer.Option(help="Only this key.")]
Id = Annotated[list[str] | None, typer.Option("--id", help="Only this id.")]
Ended = Annotated[list[str] | None, typer.Option(help="satisfied, rejected, broken_off or none.")]
Side = Annotated[list[str] | None, typer.Option(help="customer or node.")]
Port = Annotated[list[int] | None, typer.Option(help="Either end has this port.")]
Node = Annotated[list[str] | None, typer.Option("--node", help="This server, address:port, is a node.")]
Marshal = Annotated[list[str] | None, typer.Option("--marshal", help="This server is a marshal.")]
Streams = Annotated[int, typer.Option("--most-streams", min=1, help="Connections followed at once.")]
Gap = Annotated[int, typer.Option("--most-gap", min=1024, help="Bytes kept behind a missing segment.")]
Idle = Annotated[float, typer.Option("--idle", min=1, help="Seconds until a silent connection is given up.")]
Message = Annotated[int, typer.Option("--most-message", min=1024, help="Bytes of one command or answer.")]


@app.command()
def show(
    files: Files,
    as_json: AsJson = False,
    parquet: Annotated[Path | None, typer.Option(help="Write columns to this file instead.")] = None,
    begin: Begin = None,
    end: End = None,
    workload: Workload = None,
    customer: Customer = None,
    key: Key = None,
    id_: Id = None,
    ended: Ended = None,
    side: Side = None,
    port: Port = None,
    node: Node = None,
    marshal: Marshal = None,
    most_streams: Streams = 10_000,
    most_gap: Gap = 1 << 20,
    idle: Idle = 300.0,
    most_message: Message = 8 << 20,
) -> None:
    """What was asked and answered: a line an exchange."""
    from gatebank.cli import output, source

    wanted = source.chosen(begin, end, workload, customer, key, id_, ended, side, port)
    bounds = source.bounds(most_streams, most_gap, idle, most_message)
    output.show(source.Source(files, bounds, node, marshal), wanted, as_json, parquet)


@app.command()
def check(
    files: Files,
    as_json: AsJson = False,
    node: Node = None,
    marshal: Marshal = None,
    most_streams: Streams = 10_000,
    most_gap: Gap = 1 << 20,
    idle: Idle = 300.0,
    most_message: Message = 8 << 20,
) -> None:
    """Count what is in a capture, what could not be read, and why; status 1 if there is any of that."""
    from gatebank.cli import output, source

    bounds = source.bounds(most_streams, most_gap, idle, most_message)
    output.check(source.Source(files, bounds, node, marshal), as_json)


@app.command()
def cut(
    file: One,
    out: Annotated[Path, typer.Argument(help="The pcapng file to write.")],
    whole_streams: Annotated[bool, typer.Option(help="All packets of their connections.")] = False,
    begin: Begin = None,
    end: End = None,
    workload: Workload = None,
    customer: Customer = None,
    key: Key = None,
    id_: Id = None,
    ended: Ended = None,
    side: Side = None,
    port: Port = None,
    node: Node = None,
    marshal: Marshal = None,
) -> None:
    """Write the packets of the exchanges that the filters choose."""
    from gatebank.cli import output, source

    wanted = source.chosen(begin, end, workload, customer, key, id_, ended, side, port)
    output.cut(source.Source([file], None, node, marshal), wanted, out, whole_streams)


@app.command()
def compare(
    a: Annotated[Path, typer.Argument(help="A capture file.")],
    b: Annotated[Path, typer.Argument(help="The one it is compared with.")],
    as_json: AsJson = False,
    side: Side = None,
    workload: Workload = None,
    customer: Customer = None,
) -> None:
    """Match the exchanges of two captures: what became otherwise, what is in one only, and latencies."""
    from gatebank.cli import output, source

    wanted = source.chosen(None, None, workload, customer, None, None, None, side, None)
    output.compare(source.Source([a]), source.Source([b]), wanted, as_json)


@app.command()
def replay(
    file: One,
    to: Annotated[str | None, typer.Option(help="A running marshal's address:port.")] = None,
    inside: Annotated[
        Path | None, typer.Option(help="A marshal's configuration: it runs in this process.")
    ] = None,
    orders: Annotated[Path | None, typer.Option(help="The operators' file, which names targets.")] = None,
    ledger: Annotated[Path | None, typer.Option(help="A folder: what was sent is kept there.")] = None,
    pace: Annotated[float, typer.Option(help="2 is twice as fast as recorded.")] = 1.0,
    lines: Annotated[str, typer.Option(help="Connections: recorded, or pooled.")] = "recorded",
    most_lines: Annotated[int, typer.Option(min=1, max=50_000, help="Connections at once.")] = 512,
    most_in_hand: Annotated[int, typer.Option(min=1, help="Open at once; more are not offered.")] = 1024,
    patient: Annotated[bool, typer.Option(help="Ask rejected rerunnable ones again when told to.")] = False,
    as_json: AsJson = False,
    begin: Begin = None,
    until: Until = None,
    workload: Workload = None,
    customer: Customer = None,
    key: Key = None,
    id_: Id = None,
    ended: Ended = None,
    side: Side = None,
    port: Port = None,
    node: Node = None,
    marshal: Marshal = None,
) -> None:
    """Play recorded invocations again: what may run twice to any target that the operators' file names, what
    may not only to a rehearsal target, and once."""
    from gatebank.cli import replay, source

    wanted = source.chosen(begin, until, workload, customer, key, id_, ended, side, port)
    way = replay.Way(to, inside, orders, ledger, pace, lines, most_lines, most_in_hand, patient)
    replay.replay(source.Source([file], None, node, marshal), wanted, way, as_json)


@app.command("ledger")
def ledger_(
    folder: Annotated[Path, typer.Argument(help="A replay's ledger folder.")], as_json: AsJson = False
) -> None:
    """What a ledger holds: how many were replayed, and which are unsure."""
    from gatebank.cli import replay

    replay.show_ledger(folder, as_json)
