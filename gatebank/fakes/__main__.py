"""Command line: ``python -m gatebank.fakes world`` runs a small fleet, ``ask 200`` sends 200 requests."""

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
# Cap on the new build's share of requests, by stage.
CAPS = (0.25, 1.0)
ENDPOINT_COUNT = 4
# Difference between the port of the first endpoint and the port of the new build's first endpoint.
NEW_PORTS_OFFSET = 10
# Mean reply time of an endpoint. Without a reply time, the latencies of the endpoints would differ by chance
# alone, and instances would take some endpoints for slow ones.
MEAN_REPLY_TIME_S = 0.02
OFFER_DELAY_S = 8.0
PAUSE_AFTER_VOTE_S = 2.0
VOTE_TIMEOUT_S = 3600.0
# Exit status of `ask` if the instance could not be reached or closed a connection.
UNAVAILABLE_STATUS = 1

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)


async def run_world(host: str, first_port: int, discovery_port: int, release_service_port: int) -> None:
    """Run the fleet of the example without end, and offer a new build after ``OFFER_DELAY_S``."""
    world = World(host, discovery_port, release_service_port)
    world.mean_reply_time = MEAN_REPLY_TIME_S
    await world.start()
    for number in range(ENDPOINT_COUNT):
        await world.add_endpoint(f"toy-{number}", BASE_BUILD, first_port + number)
    print(
        f"fake world: discovery {host}:{discovery_port}, release service {host}:{release_service_port},"
        f" endpoints from {host}:{first_port}",
        flush=True,
    )
    await asyncio.sleep(OFFER_DELAY_S)
    await offer_build(world, first_port + NEW_PORTS_OFFSET)
    await asyncio.Event().wait()


async def offer_build(world: World, first_port: int) -> None:
    """Move a build from stage to stage as instances vote for it, until it is released or withdrawn."""
    for stage, cap in enumerate(CAPS):
        await world.add_endpoint(f"toy-new-{stage}", NEW_BUILD, first_port + stage)
        world.releases.publish(NEW_BUILD, stage, "trial", cap)
        print(f"build {NEW_BUILD}: stage {stage}, cap {cap}", flush=True)
        vote = await next_vote(world)
        print("vote:", vote, flush=True)
        await asyncio.sleep(PAUSE_AFTER_VOTE_S)
        if vote != "on":
            world.releases.publish(NEW_BUILD, stage, "withdrawn", 0.0)
            return
    world.releases.publish(NEW_BUILD, len(CAPS) - 1, "released", 1.0)
    print(f"build {NEW_BUILD}: released")


async def next_vote(world: World) -> str:
    """Wait for another vote and return its verdict."""
    votes = world.releases.votes
    count_before = len(votes)
    await world.wait_for(lambda: len(votes) > count_before, VOTE_TIMEOUT_S)
    return votes[-1]["opinion"]


@app.command("world")
def world_command(
    host: Annotated[str, typer.Option(help="The address at which all fakes listen.")] = "127.0.0.1",
    nodes: Annotated[int, typer.Option(help="The port of the first endpoint.")] = 7000,
    discovery: Annotated[int, typer.Option(help="The port of discovery.")] = 8500,
    desk: Annotated[int, typer.Option(help="The port of the release service.")] = 6400,
) -> None:
    """Run four endpoints, discovery and a release service that offers a new build after 8 s."""
    with suppress(KeyboardInterrupt):
        asyncio.run(run_world(host, nodes, discovery, desk))


@app.command("ask")
def ask_command(
    count: Annotated[int, typer.Argument(help="The number of requests.")] = 200,
    to: Annotated[
        str | None,
        typer.Option(help="The instance's address. By default, the address in examples/marshal.json."),
    ] = None,
    seed: Annotated[int, typer.Option(help="The seed of the random requests.")] = 1,
) -> None:
    """Send requests over ten connections and count the replies."""
    address: str = to or json.loads(EXAMPLE.read_text())["listen"]
    host, _, port = address.rpartition(":")
    try:
        replies = asyncio.run(send_requests(host, int(port), count, seed))
    except InstanceUnavailableError as error:
        typer.echo(f"ask: {error}", err=True)
        raise typer.Exit(UNAVAILABLE_STATUS) from None
    for reply, number in sorted(replies.items()):
        print(f"{number:6} {reply}")


if __name__ == "__main__":
    app()
