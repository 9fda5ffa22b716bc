"""``gatebank learn ...``: what instances and snapshots know, how old it is, and what it would weigh."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, NoReturn

import typer

if TYPE_CHECKING:
    from gatebank.state_transfer.items import Known
    from gatebank.state_transfer.session import Link

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Show and compare what running instances and snapshots know.",
)
FIGURES = ("phase", "cap", "rate", "slow", "faults", "aside", "pace", "bad", "all")
Source = Annotated[str, typer.Argument(help="An instance's address:port, or a snapshot file or folder.")]
AsJson = Annotated[bool, typer.Option("--json", help="For programs: an object a line.")]
Keys = Annotated[Path | None, typer.Option(help="A folder of keys; without it the link is plain.")]
Deployment = Annotated[Path | None, typer.Option(help="A marshal's configuration: whose deployment it is.")]


def refuse(why: object) -> NoReturn:
    typer.echo(f"gatebank: {why}".replace("\n", " "), err=True)
    raise typer.Exit(2)


def known(source: str, keys: Path | None, configuration: Path | None) -> list[Known]:
    """All items of a source, by value; one line and status 2 if there are none to be had."""
    try:
        from gatebank.state_transfer.items import by_value
    except ModuleNotFoundError as trouble:
        refuse(f"learn needs the extra gatebank[learning]: {trouble}")
    path = Path(source)
    if path.exists():
        return by_value(of_snapshot(path))
    from gatebank.proxy.configuration import ConfigurationError, address

    try:
        where = address(source, "source")
    except ConfigurationError as trouble:
        refuse(f"{trouble}, and no such file")
    return by_value(asyncio.run(of_instance(source, where, keys, configuration)))


def of_snapshot(path: Path) -> list[Known]:
    from gatebank.state_transfer import snapshot

    paths = [path / name for name in snapshot.NAMES if (path / name).exists()] if path.is_dir() else [path]
    found, why = [], "no snapshot is there"
    for each in paths:
        try:
            data = each.read_bytes()
            told = snapshot.peek(data)
            found.append((told.at, snapshot.opened(data, told.deployment, max(time.time(), told.at), 1e9)[1]))
        except (OSError, snapshot.Refused) as trouble:
            why = f"{each.name}: {getattr(trouble, 'strerror', None) or trouble}"
    if not found:
        refuse(f"{path}: {why}")
    return max(found, key=lambda row: row[0])[1]


async def told_by(link: Link, deployment: str) -> tuple[list[Known] | None, float | None]:
    """What an instance tells, None if it ends amid that, and s until it may be asked again if it is busy."""
    from gatebank.state_transfer import protocol

    talk, found = protocol.Talk(protocol.Hello(name="show", deployment=deployment)), list[Any]()
    await link.send(talk.hello() + protocol.frame(protocol.ASK, protocol.Ask()))
    while not talk.ended:
        data = await link.read()
        if not data:
            return None, None
        for word in talk.feed(data):
            if isinstance(word, protocol.Refuse):
                return found, word.back_in
            if isinstance(word, list):
                found += word
    return found, None


async def of_instance(
    source: str, where: tuple[str, int], keys: Path | None, configuration: Path | None
) -> list[Known]:
    """As a learner asks; the instance's listener decides whether this one may."""
    import os
    import ssl

    from gatebank.keys.folder import BadKeys, read
    from gatebank.keys.sealed import Sealed
    from gatebank.proxy.configuration import ConfigurationError, load_configuration
    from gatebank.proxy.sockets import opened
    from gatebank.state_transfer import protocol
    from gatebank.state_transfer.session import Link

    deployment = ""
    try:
        if configuration:
            posting = load_configuration(dict(os.environ) | {"ROUTER_CONFIG": str(configuration)})
            deployment = protocol.deployment(posting.settings)
        tls = Sealed(read(keys).client, False) if keys else None
    except (ConfigurationError, BadKeys) as trouble:
        refuse(trouble)
    link: Link | None = None
    why = "no answer in time"
    try:
        async with asyncio.timeout(20):
            while True:  # who is told to come again does so: a donor's customers come first
                link = Link(opened(where), tls)
                await link.loop.sock_connect(link.sock, where)
                await link.shake()
                found, again = await told_by(link, deployment)
                if found is None:
                    refuse(f"{source}: it ended the connection; is this name among its may_learn?")
                if again is None:
                    return found
                why = "busy"
                link.close()
                await asyncio.sleep(again)
    except protocol.Garbled as trouble:
        refuse(f"{source}: {trouble}; --configuration tells which deployment is asked")
    except ssl.SSLError as trouble:
        refuse(f"{source}: TLS: {trouble.reason or trouble}")
    except ConnectionError as trouble:
        refuse(f"{source}: {trouble.strerror}; is this name among its may_learn?")
    except (OSError, TimeoutError) as trouble:
        refuse(f"{source}: {getattr(trouble, 'strerror', None) or why}")
    finally:
        if link:
            link.close()


def weight_of(item: Known) -> float | None:
    """What it would weigh now, by the defaults' half-lives; None where it is not weighed."""
    from gatebank.state_transfer.items import Health, Past, Sums, Times
    from gatebank.state_transfer.weighting import HalfLives, weight

    lives = HalfLives()
    match item:
        case Health():
            return weight(item, lives.sick if item.aside or item.faults >= 0.2 else lives.well)
        case Times():
            return weight(item, lives.times)
        case Past():
            return weight(item, lives.past)
        case Sums():
            return weight(item, lives.sums)
    return None


def row(item: Known) -> dict[str, Any]:
    import msgspec

    told = msgspec.to_builtins(item)
    return {"what": told.pop("type"), **told, "weight": weight_of(item)}


def thing(item: Known) -> str:
    """What an item is of, in a word or two."""
    told = row(item)
    names = ("node", "workload", "ratio", "build", "stage", "marshal", "kind")
    return " ".join(f"{name} {told[name]}" for name in names if told.get(name) not in (None, ""))


@app.command()
def show(
    source: Source, as_json: AsJson = False, keys: Keys = None, configuration: Deployment = None
) -> None:
    """What is known, how old it is, from whom, and what it would weigh now."""
    import orjson

    from gatebank.capture.terminal import printable

    rows = known(source, keys, configuration)
    if as_json:
        for item in rows:
            sys.stdout.buffer.write(orjson.dumps(row(item)) + b"\n")
        return
    single: dict[tuple[str, str, int], int] = {}
    for item in rows:
        told = row(item)
        if told["what"] in ("sent", "took"):
            key = told["what"], item.by, told.get("build", 0)
            single[key] = single.get(key, 0) + 1
            continue
        figures = {name: told[name] for name in FIGURES if told.get(name) not in (None, False)}
        said = " ".join(f"{n} {v:.3g}" if isinstance(v, float) else f"{n} {v}" for n, v in figures.items())
        weighs = "" if told["weight"] is None else f" weighs {told['weight']:.2f}"
        line = (
            f"{told['what']:>6} {thing(item)}: {said}; {item.age:.1f} s old, by {item.by}, seen {item.seen}"
        )
        print(printable(line + weighs))
    for (kind, by, build), many in single.items():
        print(
            printable(
                f"{kind:>6} {many} rows of the last window by {by}" + (f", build {build}" if build else "")
            )
        )


@app.command()
def diff(
    a: Source, b: Source, as_json: AsJson = False, keys: Keys = None, configuration: Deployment = None
) -> None:
    """What one knows and the other does not, and where they differ; ages apart do not count."""
    import orjson

    from gatebank.capture.terminal import printable
    from gatebank.state_transfer.items import Sent, Took, identity

    tables = []
    for source in (a, b):
        rows = known(source, keys, configuration)
        tables.append({str(identity(each)): row(each) for each in rows if not isinstance(each, Sent | Took)})
    first, second = tables
    for key in sorted(first.keys() | second.keys()):
        one, other = first.get(key), second.get(key)
        same = (
            one and other and all(one[n] == other.get(n) for n in one if n not in ("age", "weight", "seen"))
        )
        if same:
            continue
        if as_json:
            sys.stdout.buffer.write(orjson.dumps({"a": one, "b": other}) + b"\n")
        elif one and other:
            names = [n for n in one if one[n] != other.get(n) and n not in ("age", "weight", "seen")]
            told = ", ".join(f"{n} {one[n]} and {other.get(n)}" for n in names)
            print(printable(f"{key}: {told}"))
        else:
            print(printable(f"{key}: only {a if one else b}"))
