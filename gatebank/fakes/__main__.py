"""``python -m gatebank.fakes world`` runs a small fleet; ``ask 200`` sends a marshal invocations."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from pathlib import Path

import typer

from gatebank.fakes.clients import Unserved, ask
from gatebank.fakes.world import World

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
EXAMPLE = Path(__file__).parents[2] / "examples" / "marshal.json"


async def show(host: str, first: int, discovery: int, desk: int) -> None:
    """The world of the example: a build is offered after some seconds and goes as the marshal votes."""
    world = World(host, discovery, desk)
    world.pace = 0.02  # answers at once would differ by chance alone, and be taken for late ones
    await world.start()
    for number in range(4):
        await world.add(f"toy-{number}", 41, first + number)
    where = f"discovery {host}:{discovery}, release desk {host}:{desk}, nodes from {host}:{first}"
    print(f"toy world: {where}", flush=True)
    await asyncio.sleep(8)
    caps = [0.25, 1.0]
    for stage, cap in enumerate(caps):
        await world.add(f"toy-new-{stage}", 42, first + 10 + stage)
        world.news(42, stage, "trial", cap)
        print(f"build 42: stage {stage}, cap {cap}", flush=True)
        seen = len(world.votes)
        await world.until(lambda seen=seen: len(world.votes) > seen, 3600)
        print("vote:", world.votes[-1]["opinion"], flush=True)
        await asyncio.sleep(2)
        if world.votes[-1]["opinion"] != "on":
            world.news(42, stage, "withdrawn", 0.0)
            break
    else:
        world.news(42, len(caps) - 1, "released", 1.0)
        print("build 42: released")
    await asyncio.Event().wait()


@app.command()
def world(
    host: str = typer.Option("127.0.0.1", help="Where all of it listens."),
    nodes: int = typer.Option(7000, help="The first node's port."),
    discovery: int = typer.Option(8500, help="Discovery's port."),
    desk: int = typer.Option(6400, help="The release desk's port."),
) -> None:
    """Four nodes, discovery and a release desk, which offers a build after 8 s."""
    with suppress(KeyboardInterrupt):
        asyncio.run(show(host, nodes, discovery, desk))


@app.command("ask")
def ask_(
    count: int = typer.Argument(200, help="How many invocations."),
    to: str = typer.Option(None, help="The marshal's address; else that of examples/marshal.json."),
    seed: int = typer.Option(1, help="What is asked for is drawn with it."),
) -> None:
    """Send invocations over ten connections, and count the answers."""
    host, _, port = (to or json.loads(EXAMPLE.read_text())["listen"]).rpartition(":")
    try:
        found = asyncio.run(ask(host, int(port), count, seed))
    except Unserved as trouble:
        typer.echo(f"ask: {trouble}", err=True)
        raise typer.Exit(1) from None
    for what, many in sorted(found.items()):
        print(f"{many:6} {what}")


if __name__ == "__main__":
    app()
