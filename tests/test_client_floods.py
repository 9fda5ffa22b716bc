"""Crowds of slow, malformed and greedy clients: memory stays within the limit, others are served in time."""

from __future__ import annotations

import pytest

from tests.support.flooded_instance import MB, FloodedInstance, Observation
from tests.support.ordinary_clients import TIMEOUT_S

pytestmark = pytest.mark.uvloop

CROWD_S = 10.0
SINGLE_CLIENT_S = 6.0
LEAST_MEMORY_MB = 32  # The least that the operators' pages name.
USUAL_MEMORY_MB = 192
DESCRIPTORS = 1024
FEW_DESCRIPTORS = 256  # The fewest that the operators' pages name.
FLOOD_PROGRAMS = 3  # Enough for more bytes than a quarter of a core can handle.
SHARE_OF_CORE = 0.25  # The first deployment gives an instance 250 ms of processor time in a second.
SHORT_TIMEOUTS_MS = ("200", "400", "900", "2000")
# An answer up to half a second after the request's deadline earns nothing, a later one is lost (STANDING); on
# sockets, every time limit is 50 ms longer (PROTOCOL).
MAX_LATENESS_S = 0.55
ANSWER_SLACK_S = 0.1  # The settings' slack of an answer, and PROTOCOL's 50 ms of every time limit.


async def check_flood(kind: str, clients: int, memory_mb: int, seconds: float) -> None:
    """Flood an instance, and check its memory, its descriptors and the answers of ordinary clients."""
    async with FloodedInstance(memory_mb, DESCRIPTORS) as instance:
        observation = await instance.play(kind, clients, seconds)
        assert instance.process.process.returncode is None, "".join(observation.log[-8:])
        reached = {arguments[2].decode() for _, arguments in instance.scenario.world.received}
    text = str(observation)
    assert observation.peak <= memory_mb * MB, text
    assert observation.max_descriptors <= DESCRIPTORS, text
    ordinary = observation.ordinary
    assert "none" not in ordinary.answers, text
    assert not reached & set(ordinary.ended_ids), f"closed after they were read: {text}"
    assert max(ordinary.waits) <= TIMEOUT_S + ANSWER_SLACK_S, text
    assert ordinary.answers["satisfied"] > 0, text
    assert not any("event=fault" in line for line in observation.log), text


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, USUAL_MEMORY_MB])
@pytest.mark.parametrize(
    ("kind", "clients"),
    [
        ("half_body", 500),
        ("half_head", 500),
        ("whole_head", 300),
        ("unread", 300),
        ("out_of_order", 300),
        ("leave", 6),
    ],
)
async def test_crowd_does_not_take_memory_beyond_the_limit(kind: str, clients: int, memory_mb: int) -> None:
    await check_flood(kind, clients, memory_mb, CROWD_S)


@pytest.mark.parametrize(("kind", "clients"), [("pieces", 300), ("garbage", 300), ("connect", 100)])
async def test_crowd_of_other_kinds_is_bounded_at_the_least_memory(kind: str, clients: int) -> None:
    await check_flood(kind, clients, LEAST_MEMORY_MB, SINGLE_CLIENT_S)


@pytest.mark.parametrize("kind", ["ping", "unsound", "new_names", "short", "patient"])
async def test_one_connection_at_full_speed_delays_no_other_client(kind: str) -> None:
    await check_flood(kind, 1, LEAST_MEMORY_MB, SINGLE_CLIENT_S)


@pytest.mark.parametrize("kind", ["unread", "out_of_order"])
async def test_crowd_that_takes_all_places_delays_no_other_client(kind: str) -> None:
    await check_flood(kind, 500, LEAST_MEMORY_MB, CROWD_S)


async def test_crowd_that_never_waits_for_answers_leaves_new_clients_a_place() -> None:
    """Guards against clients with requests in a row without end that hold all places (review/6)."""
    async with FloodedInstance(USUAL_MEMORY_MB, FEW_DESCRIPTORS) as instance:
        observation = await instance.play("patient", 180, SINGLE_CLIENT_S, ("anew", *SHORT_TIMEOUTS_MS))
        assert instance.process.process.returncode is None, "".join(observation.log[-8:])
    check_ordinary_clients(observation, instance)


@pytest.mark.parametrize(
    "kind",
    [
        "empty",
        "blank",
        "blank_pieces",
        "huge_length",
        "negative",
        "endless_line",
        "garbage",
        "unsound",
        "ping",
        "half_head",
        "whole_head",
        "many_fields",
        "payouts",
    ],
)
async def test_crowd_at_full_speed_leaves_others_their_turns_at_a_quarter_of_a_core(kind: str) -> None:
    """Others are answered in time, whatever a crowd sends.

    Guards against input that costs work and is no command, as empty commands were (review/7): the bounds of a
    turn count commands.
    """
    await check_flood_at_part_of_core(kind, SHORT_TIMEOUTS_MS)


@pytest.mark.parametrize("kind", ["huge_length", "negative", "garbage"])
async def test_crowd_that_comes_again_leaves_new_clients_their_place_in_the_backlog(kind: str) -> None:
    """Guards against clients with malformed input whose connections end at once, and who fill the backlog."""
    await check_flood_at_part_of_core(kind, ("anew", *SHORT_TIMEOUTS_MS))


async def check_flood_at_part_of_core(kind: str, ordinary_words: tuple[str, ...]) -> None:
    """Flood an instance that has a quarter of a core, and check that no ordinary request is lost."""
    async with FloodedInstance(USUAL_MEMORY_MB, DESCRIPTORS, SHARE_OF_CORE) as instance:
        observation = await instance.play(kind, 300, SINGLE_CLIENT_S, ordinary_words, FLOOD_PROGRAMS)
        assert instance.process.process.returncode is None, "".join(observation.log[-8:])
    check_ordinary_clients(observation, instance)


def check_ordinary_clients(observation: Observation, instance: FloodedInstance) -> None:
    """Check that no ordinary request was lost in a flood."""
    reached = {arguments[2].decode() for _, arguments in instance.scenario.world.received}
    text = str(observation)
    ordinary = observation.ordinary
    assert "none" not in ordinary.answers, text
    assert not reached & set(ordinary.ended_ids), f"closed after they were read: {text}"
    assert ordinary.max_lateness <= MAX_LATENESS_S, text
