"""``gatebank keys ...``: a small authority, instances' keys, what they say and when they end."""

from __future__ import annotations

import importlib.util
import os
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Make, show and check the keys of links between instances.",
)
Folder = Annotated[Path, typer.Argument(help="A folder.")]
Name = Annotated[str, typer.Argument(help="The name in the certificate.")]


@app.callback()
def ready() -> None:
    if importlib.util.find_spec("cryptography") is None:
        refuse("keys need the extra gatebank[learning]; cryptography is missing")


def refuse(why: object) -> None:
    typer.echo(f"gatebank: {why}".replace("\n", " "), err=True)
    raise typer.Exit(2)


def put(path: Path, data: bytes, private: bool = False) -> None:
    """Written aside and renamed: whoever watches the folder sees the old file or the new one."""
    aside = path.with_name(path.name + ".new")
    try:
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600 if private else 0o644)
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(aside, path)
    except OSError as trouble:
        refuse(f"{path}: {trouble.strerror}")


@app.command("authority")
def authority_(
    folder: Folder, title: Name = "gatebank", days: Annotated[float, typer.Option(min=0.01)] = 3650
) -> None:
    """Make a new authority: FOLDER/authority.key stays where instances' keys are made."""
    from gatebank.keys.authority import authority

    if (folder / "authority.key").exists():
        refuse(f"{folder / 'authority.key'}: is there already; a new authority wants a new folder")
    made = authority(title, days=days)
    put(folder / "authority.key", made.key, private=True)
    put(folder / "authority.pem", made.certificate)
    print(f"{folder}: authority {title}, for {days:g} days")


@app.command()
def instance(
    authority: Annotated[Path, typer.Argument(help="The authority's folder.")],
    name: Name,
    folder: Annotated[Path, typer.Argument(help="The instance's folder of keys.")],
    days: Annotated[float, typer.Option(min=0.001)] = 90,
    trust: Annotated[list[Path] | None, typer.Option(help="Another authority.pem to trust too.")] = None,
) -> None:
    """Make a key and a certificate for one instance, in its own folder; anew, it replaces what is there."""
    from gatebank.keys import authority as made
    from gatebank.keys import folder as keys

    try:
        of = made.Pair((authority / "authority.key").read_bytes(), (authority / "authority.pem").read_bytes())
        pair = made.instance(of, name, days=days)
        trusted = of.certificate + b"".join(each.read_bytes() for each in trust or ())
    except OSError as trouble:
        refuse(f"{trouble.filename}: {trouble.strerror}")
    except (ValueError, TypeError) as trouble:
        refuse(f"{authority}: {trouble}")
    put(folder / keys.AUTHORITY, trusted)
    put(folder / keys.KEY, pair.key, private=True)
    put(folder / keys.CERTIFICATE, pair.certificate)
    print(f"{folder}: {name}, for {days:g} days")


@app.command()
def show(file: Annotated[Path, typer.Argument(help="A file of certificates, or a folder of keys.")]) -> None:
    """What certificates say."""
    from gatebank.keys import folder as keys
    from gatebank.keys.authority import shown

    paths = [file / keys.AUTHORITY, file / keys.CERTIFICATE] if file.is_dir() else [file]
    try:
        rows = [(path, each) for path in paths for each in shown(path.read_bytes())]
    except (OSError, ValueError) as trouble:
        refuse(f"{file}: {getattr(trouble, 'strerror', None) or trouble}")
    for path, each in rows:
        kind = "authority" if each.authority else "instance"
        ends = f"{each.begin:%Y-%m-%d %H:%M} to {each.end:%Y-%m-%d %H:%M}"
        print(f"{path.name}: {kind} {each.name}, of {each.issuer}, {ends}, {each.fingerprint[:32]}")


@app.command()
def check(folder: Folder) -> None:
    """Could an instance start with this folder? Status 1 if a certificate ends within two weeks."""
    from gatebank.keys import folder as keys

    try:
        found = keys.read(folder)
    except keys.BadKeys as trouble:
        refuse(trouble)
    soon = found.expires(datetime.now(UTC))
    print(f"{folder}: {found.name}, until {found.instance.end:%Y-%m-%d %H:%M}")
    for each in soon:
        print(each)
    raise typer.Exit(1 if soon else 0)
