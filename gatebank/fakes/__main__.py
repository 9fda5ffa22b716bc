"""``python -m gatebank.fakes world`` runs a small fleet; ``ask 200`` sends an instance so many requests."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from pathlib import Path
from typing import Annotated

import typer

from gatebank.fakes.clients import InstanceUnavailableError, send_requests
from gatebank.fakes.world import World

EXAMPLE = Path(__file__).parents[2] / "examples" / "marshal.json"
BASE_BUILD = 41
NEW_BUILD = 42
CAPS = (0.25, 1.0)  # the new build's share of requests, by stage
ENDPOINTS = 4
NEW_PORTS_OFFSET = 10  # from the first endpoint's port to the first of the new build
# Endpoints that replied at once would differ by chance alone, and be taken for slow ones.
REPLY_TIME = 0.02  # s
OFFER_AFTER = 8.0  # s
PAUSE_AFTER_VOTE = 2.0  # s
VOTE_TIMEOUT = 3600.0  # s
UNSERVED_STATUS = 1

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)


async def run_world(host: str, first_port: int, discovery_port: int, release_service_port: int) -> None:
    """Run the example's fleet for ever; after some seconds a new build is offered."""
    world = World(host, discovery_port, release_service_port)
    world.mean_reply_time = REPLY_TIME
    await world.start()
    for number in range(ENDPOINTS):
        await world.add_endpoint(f"toy-{number}", BASE_BUILD, first_port + number)
    print(
        f"toy world: discovery {host}:{discovery_port}, release desk {host}:{release_service_port},"
        f" nodes from {host}:{first_port}",
        flush=True,
    )
    await asyncio.sleep(OFFER_AFTER)
    await offer_build(world, first_port + NEW_PORTS_OFFSET)
    await asyncio.Event().wait()


async def offer_build(world: World, first_port: int) -> None:
    """Take a build from stage to stage as it is voted on, until it is released or withdrawn."""
    for stage, cap in enumerate(CAPS):
        await world.add_endpoint(f"toy-new-{stage}", NEW_BUILD, first_port + stage)
        world.releases.publish(NEW_BUILD, stage, "trial", cap)
        print(f"build {NEW_BUILD}: stage {stage}, cap {cap}", flush=True)
        vote = await next_vote(world)
        print("vote:", vote, flush=True)
        await asyncio.sleep(PAUSE_AFTER_VOTE)
        if vote != "on":
            world.releases.publish(NEW_BUILD, stage, "withdrawn", 0.0)
            return
    world.releases.publish(NEW_BUILD, len(CAPS) - 1, "released", 1.0)
    print(f"build {NEW_BUILD}: released")


async def next_vote(world: World) -> str:
    """Return the newest opinion once another vote has come."""
    votes = world.releases.votes
    seen = len(votes)
    await world.wait_for(lambda: len(votes) > seen, VOTE_TIMEOUT)
    return votes[-1]["opinion"]


@app.command("world")
def world_command(
    host: Annotated[str, typer.Option(help="The address that all of it listens at.")] = "127.0.0.1",
    nodes: Annotated[int, typer.Option(help="The port of the first endpoint.")] = 7000,
    discovery: Annotated[int, typer.Option(help="The port of discovery.")] = 8500,
    desk: Annotated[int, typer.Option(help="The port of the release service.")] = 6400,
) -> None:
    """Run four endpoints, discovery and a release service, which offers a new build after 8 s."""
    with suppress(KeyboardInterrupt):
        asyncio.run(run_world(host, nodes, discovery, desk))


@app.command("ask")
def ask_command(
    count: Annotated[int, typer.Argument(help="How many requests.")] = 200,
    to: Annotated[
        str | None, typer.Option(help="The instance's address; without it, that of examples/marshal.json.")
    ] = None,
    seed: Annotated[int, typer.Option(help="The requests are drawn with it.")] = 1,
) -> None:
    """Send requests over ten connections, and count the replies."""
    address: str = to or json.loads(EXAMPLE.read_text())["listen"]
    host, _, port = address.rpartition(":")
    try:
        replies = asyncio.run(send_requests(host, int(port), count, seed))
    except InstanceUnavailableError as error:
        typer.echo(f"ask: {error}", err=True)
        raise typer.Exit(UNSERVED_STATUS) from None
    for reply, number in sorted(replies.items()):
        print(f"{number:6} {reply}")


if __name__ == "__main__":
    app()
